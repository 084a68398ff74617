#pragma once

namespace lovagemoor::host {

class peer_task;
struct peer_settings;
struct peer_counters;
struct peer_traffic;

} // namespace lovagemoor::host
