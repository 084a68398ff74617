#pragma once

namespace lovagemoor::platform {

class platform_task;
struct platform_settings;

} // namespace lovagemoor::platform
