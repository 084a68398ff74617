#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/operator_call.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief Counts good and bad outcomes per service and urgency over sliding windows of 5 minutes,
/// 1 hour and 6 hours, from which operators compute the burn rate of the error budget.
class burn_tracker {
public:
    void record(time_point now, const service_id& service, urgency priority, bool good);

    /// @return One entry per service, urgency and window, in that order.
    [[nodiscard]] std::vector<burn_entry> entries(time_point now) const;

private:
    /// Number of buckets in a window; the window's length is exact to one thirtieth.
    static constexpr std::size_t buckets_per_window = 30;
    static constexpr std::array<std::chrono::seconds, 3> windows{
        std::chrono::minutes{5}, std::chrono::hours{1}, std::chrono::hours{6}};

    struct bucket {
        /// Number of bucket lengths since the clock's epoch, which tells outdated counts from
        /// current ones when the bucket is reused.
        std::int64_t number = -1;
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };

    using ring = std::array<bucket, buckets_per_window>;
    using series = std::array<ring, windows.size()>;

    [[nodiscard]] static std::int64_t bucket_number(time_point now, std::size_t window) noexcept;

    std::map<std::pair<service_id, urgency>, series> series_;
};

} // namespace lovagemoor::core
