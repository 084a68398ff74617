#pragma once

namespace lovagemoor::caller {

class caller_task;
struct caller_settings;

} // namespace lovagemoor::caller
