#include <lovagemoor/proxy/overload/wait_queue.hpp>

#include <tuple>

namespace lovagemoor::proxy {

bool served_before(const waiting_request& left, const waiting_request& right,
                   core::time_point now) noexcept {
    const auto rank = [now](const waiting_request& request) {
        const bool late = now + request.service_time > request.preferred_deadline;
        return std::tuple{late, request.priority, request.received};
    };
    return rank(left) < rank(right);
}

bool can_be_served(const waiting_request& request, std::size_t ahead, core::duration interval,
                   core::time_point now) noexcept {
    const core::duration wait = interval * static_cast<core::duration::rep>(ahead);
    return now + wait + request.service_time <= request.deadline;
}

} // namespace lovagemoor::proxy
