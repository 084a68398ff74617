#pragma once

#include <lovagemoor/core/ids.hpp>

#include <bitset>
#include <cstddef>

namespace lovagemoor::core {

/// @brief Detects duplicate requests of one entry host.
///
/// Messages between hosts may be delayed, reordered and duplicated, and a second copy of a request
/// must not run. Request numbers that have left the window count as already received.
class replay_window {
public:
    /// @brief Marks a request number as received.
    /// @return True if the number had not been received before.
    [[nodiscard]] bool accept(request_id id) {
        if (id > highest_) {
            advance(id);
        } else if (highest_ - id >= width || received_.test(id % width)) {
            return false;
        }
        received_.set(id % width);
        return true;
    }

private:
    /// Number of request numbers in the window. At 400 requests a second per entry host it covers
    /// 160 s, which is longer than the longest timeout.
    static constexpr std::size_t width = 65'536;

    void advance(request_id id) {
        if (id - highest_ >= width) {
            received_.reset();
        } else {
            for (request_id skipped = highest_ + 1; skipped < id; ++skipped) {
                received_.reset(skipped % width);
            }
        }
        highest_ = id;
    }

    std::bitset<width> received_;
    request_id highest_ = 0;
};

} // namespace lovagemoor::core
