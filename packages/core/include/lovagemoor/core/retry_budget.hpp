#pragma once

#include <algorithm>

namespace lovagemoor::core {

/// @brief Token bucket that limits retries to a share of the requests, so that retries cannot
/// multiply the load during an overload.
class retry_budget {
public:
    /// @param ratio Tokens added per request; a retry costs one token.
    /// @param burst Capacity of the bucket, which starts full.
    retry_budget(double ratio, double burst) noexcept
        : ratio_{ratio}, burst_{burst}, tokens_{burst} {}

    void on_request() noexcept { tokens_ = std::min(burst_, tokens_ + ratio_); }

    /// @return True if a retry is allowed; its token is then spent.
    [[nodiscard]] bool try_retry() noexcept {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace lovagemoor::core
