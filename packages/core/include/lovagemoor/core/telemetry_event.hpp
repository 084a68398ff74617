#pragma once

#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief One log line; its name and fields are printed as key=value pairs.
struct log_event {
    enum class level : std::uint8_t { debug, info, warning, error };
    level severity = level::info;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// @brief Adds to a counter of the host's metrics.
struct count_metric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 1;
};

/// @brief Records a duration in a histogram of the host's metrics.
struct observe_duration {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    duration value{0};
};

} // namespace lovagemoor::core
