#include <lovagemoor/core/target_queue.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::core {

void round_robin_queue::push(const queued_request& request) {
    std::deque<queued_request>& requests = waiting_[request.service];
    if (requests.empty()) {
        turns_.push_back(request.service);
    }
    requests.push_back(request);
    ++size_;
}

std::optional<queued_request> round_robin_queue::pop() {
    if (turns_.empty()) {
        return std::nullopt;
    }
    const service_id service = std::move(turns_.front());
    turns_.pop_front();
    const auto found = waiting_.find(service);
    queued_request request = std::move(found->second.front());
    found->second.pop_front();
    --size_;
    if (found->second.empty()) {
        waiting_.erase(found);
    } else {
        turns_.push_back(service);
    }
    return request;
}

bool round_robin_queue::erase(const service_id& service, std::uint64_t ticket) {
    const auto found = waiting_.find(service);
    if (found == waiting_.end()) {
        return false;
    }
    std::deque<queued_request>& requests = found->second;
    const auto position =
        std::find_if(requests.begin(), requests.end(),
                     [ticket](const queued_request& entry) { return entry.ticket == ticket; });
    if (position == requests.end()) {
        return false;
    }
    requests.erase(position);
    --size_;
    if (requests.empty()) {
        waiting_.erase(found);
        std::erase(turns_, service);
    }
    return true;
}

std::vector<std::uint64_t> round_robin_queue::tickets() const {
    std::vector<std::uint64_t> result;
    result.reserve(size_);
    for (const auto& [service, requests] : waiting_) {
        for (const queued_request& entry : requests) {
            result.push_back(entry.ticket);
        }
    }
    return result;
}

time_point round_robin_queue::oldest() const noexcept {
    time_point result = time_point::max();
    for (const auto& [service, requests] : waiting_) {
        result = std::min(result, requests.front().queued_at);
    }
    return result;
}

void target_queue::push(const queued_request& request) {
    urgency_level& level = levels_[static_cast<std::size_t>(request.priority)];
    (request.has_connection ? level.in_transaction : level.single).push(request);
}

bool target_queue::erase(const queued_request& request) {
    urgency_level& level = levels_[static_cast<std::size_t>(request.priority)];
    return (request.has_connection ? level.in_transaction : level.single)
        .erase(request.service, request.ticket);
}

std::optional<queued_request> target_queue::pop_level(urgency_level& level,
                                                      const slot_state& state) {
    std::optional<queued_request> request = level.in_transaction.pop();
    if (!request.has_value() && state.has_idle_connection) {
        request = level.single.pop();
    }
    return request;
}

std::optional<queued_request> target_queue::pop(time_point now, const slot_state& state) {
    urgency_level& bulk = levels_[static_cast<std::size_t>(urgency::bulk)];
    const time_point oldest = std::min(bulk.in_transaction.oldest(), bulk.single.oldest());
    if (state.running_bulk == 0 && oldest != time_point::max() && now - oldest > bulk_max_wait_) {
        std::optional<queued_request> request = pop_level(bulk, state);
        if (request.has_value()) {
            return request;
        }
    }
    for (const urgency priority : {urgency::urgent, urgency::normal}) {
        std::optional<queued_request> request =
            pop_level(levels_[static_cast<std::size_t>(priority)], state);
        if (request.has_value()) {
            return request;
        }
    }
    const std::uint32_t bulk_slots = state.slots > 1 ? state.slots - 1 : 1;
    return state.running_bulk < bulk_slots ? pop_level(bulk, state) : std::nullopt;
}

std::array<std::size_t, urgency_count> target_queue::sizes() const noexcept {
    std::array<std::size_t, urgency_count> result{};
    for (std::size_t index = 0; index < urgency_count; ++index) {
        result[index] = levels_[index].in_transaction.size() + levels_[index].single.size();
    }
    return result;
}

std::size_t target_queue::size() const noexcept {
    std::size_t total = 0;
    for (const std::size_t count : sizes()) {
        total += count;
    }
    return total;
}

std::vector<std::uint64_t> target_queue::tickets_without_connection() const {
    std::vector<std::uint64_t> result;
    for (const urgency_level& level : levels_) {
        const std::vector<std::uint64_t> tickets = level.single.tickets();
        result.insert(result.end(), tickets.begin(), tickets.end());
    }
    return result;
}

} // namespace lovagemoor::core
