#include <lovagemoor/core/statement_cost_table.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lovagemoor::core {

namespace internal {

/// Weight of a new measurement in the moving average. It is low, so that one slow run among fast
/// ones does not make a statement bulk.
constexpr double cost_weight = 0.2;

std::uint64_t sql_digest(std::string_view sql) noexcept {
    return XXH3_64bits(sql.data(), sql.size());
}

} // namespace internal

statement_cost_table::statement_cost_table(duration bulk_threshold, std::size_t capacity)
    : bulk_threshold_{bulk_threshold}, capacity_{capacity} {}

void statement_cost_table::record(std::string_view sql, duration measured) {
    const std::uint64_t digest = internal::sql_digest(sql);
    const auto found = entries_.find(digest);
    const double sample = static_cast<double>(measured.count());
    if (found != entries_.end()) {
        double& mean_us = found->second->mean_us;
        mean_us += internal::cost_weight * (sample - mean_us);
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    if (entries_.size() >= capacity_ && !recent_.empty()) {
        entries_.erase(recent_.back().digest);
        recent_.pop_back();
    }
    recent_.push_front(entry{digest, sample});
    entries_.emplace(digest, recent_.begin());
}

duration statement_cost_table::mean(std::string_view sql) const {
    const auto found = entries_.find(internal::sql_digest(sql));
    return found == entries_.end() ? duration{0}
                                   : duration{static_cast<duration::rep>(found->second->mean_us)};
}

urgency statement_cost_table::classify(std::string_view sql, urgency declared) const {
    return mean(sql) > bulk_threshold_ ? urgency::bulk : declared;
}

} // namespace lovagemoor::core
