#pragma once

namespace lovagemoor::telemetry {

class logger;
class metrics;
template <typename T>
class mailbox;
template <typename T>
class polled_mailbox;
class wakeup_descriptor;

} // namespace lovagemoor::telemetry
