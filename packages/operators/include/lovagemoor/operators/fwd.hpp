#pragma once

namespace lovagemoor::operators {

class operator_task;
struct operator_settings;

} // namespace lovagemoor::operators
