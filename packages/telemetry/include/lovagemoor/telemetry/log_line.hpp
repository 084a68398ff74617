#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace lovagemoor::telemetry {

/// @return The name of the level: debug, info, warning or error.
[[nodiscard]] const char* to_string(core::log_event::level value) noexcept;

/// @brief Formats an event as one line of key=value pairs: ts (UTC with microseconds), level, event
/// and host, followed by the fields of the event in their order.
/// @return The line without a line break. A value that is empty or contains a space, a quote, an
/// equals sign, a backslash or a control character is quoted, with escape sequences as in C.
[[nodiscard]] std::string format_log_line(const core::log_event& event, const core::host_id& host,
                                          std::chrono::system_clock::time_point now);

} // namespace lovagemoor::telemetry
