#pragma once

#include <cstdint>

namespace lovagemoor::core {

/// @brief Generates numbers for calls, jobs, connections and requests that are unique within the
/// process.
class id_source {
public:
    /// @return The next number, starting from 1.
    [[nodiscard]] std::uint64_t next() noexcept { return ++last_; }

private:
    std::uint64_t last_ = 0;
};

} // namespace lovagemoor::core
