#pragma once

namespace lovagemoor::settings {

struct host_settings;
struct key_description;
struct seed_host;
struct settings_error;

} // namespace lovagemoor::settings
