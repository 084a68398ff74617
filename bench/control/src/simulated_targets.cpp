#include "simulated_targets.hpp"

#include <algorithm>

namespace lovagemoor::bench {

void simulated_targets::add(const core::target_id& target, bool is_primary) {
    core::status_reply state;
    state.promised_term = 1;
    state.last_term = 1;
    state.position = 1;
    state.is_primary = is_primary;
    states_[target] = state;
}

core::control_result simulated_targets::perform(const core::target_id& target,
                                                const core::control_call& call) {
    core::status_reply& state = states_.at(target);
    if (std::holds_alternative<core::status_call>(call)) {
        return state;
    }
    if (const core::fence_call* fence = std::get_if<core::fence_call>(&call)) {
        if (fence->term < state.promised_term) {
            return core::control_error{core::sqlstate::term_superseded};
        }
        state.is_primary = state.is_primary && fence->term == state.promised_term;
        state.promised_term = fence->term;
    }
    if (const core::promote_call* promote = std::get_if<core::promote_call>(&call)) {
        if (promote->term != state.promised_term) {
            return core::control_error{core::sqlstate::term_superseded};
        }
        state.is_primary = true;
        state.last_term = promote->term;
        ++state.position;
        return core::promote_reply{promote->term, state.position};
    }
    return core::promise_reply{state.promised_term, state.last_term, state.position};
}

} // namespace lovagemoor::bench
