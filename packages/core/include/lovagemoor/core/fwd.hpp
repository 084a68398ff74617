#pragma once

namespace lovagemoor::core {

class cluster_view;
class engine;
class id_source;
struct core_settings;

} // namespace lovagemoor::core
