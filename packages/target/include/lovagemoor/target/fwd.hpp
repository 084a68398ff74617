#pragma once

namespace lovagemoor::target {

class target_task;
struct target_settings;

} // namespace lovagemoor::target
