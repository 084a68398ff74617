#pragma once

#include <lovagemoor/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lovagemoor {

/// @brief Limits the log lines of events that come in bursts to one line in each interval.
class burst_counter {
public:
    /// @return Number of events of the kind since its last line, this one included, if a line is
    /// to be logged now.
    [[nodiscard]] std::optional<std::uint64_t> add(core::time_point now, const std::string& kind) {
        burst& current = bursts_[kind];
        ++current.events;
        if (current.logged_at.has_value() && now - *current.logged_at < interval) {
            return std::nullopt;
        }
        current.logged_at = now;
        const std::uint64_t events = current.events;
        current.events = 0;
        return events;
    }

private:
    static constexpr std::chrono::seconds interval{5};

    struct burst {
        std::uint64_t events = 0;
        std::optional<core::time_point> logged_at;
    };

    std::map<std::string, burst> bursts_;
};

} // namespace lovagemoor
