#include <lovagemoor/proxy/pool/prepared_names.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

prepared_names::binding prepared_names::bind(const prepared_statement& statement,
                                             const prepared_limits& limits) {
    ++uses_;
    const auto known = entries_.find(statement);
    if (known != entries_.end()) {
        known->second.last_use = uses_;
        return {known->second.name, false, {}};
    }
    binding added;
    added.is_new = true;
    while (!entries_.empty() && (entries_.size() >= limits.names ||
                                 shape_bytes_ + statement.shape.size() > limits.shape_bytes)) {
        added.evicted.push_back(evict_least_recent());
    }
    added.name = "p" + std::to_string(++last_number_);
    entries_[statement] = {added.name, uses_};
    shape_bytes_ += statement.shape.size();
    return added;
}

void prepared_names::clear() noexcept {
    entries_.clear();
    shape_bytes_ = 0;
}

std::string prepared_names::evict_least_recent() {
    const auto oldest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
            return left.second.last_use < right.second.last_use;
        });
    shape_bytes_ -= oldest->first.shape.size();
    std::string name = std::move(oldest->second.name);
    entries_.erase(oldest);
    return name;
}

} // namespace lovagemoor::proxy
