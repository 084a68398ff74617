#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/request.hpp>

namespace lovagemoor::core {

const char* to_string(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::invalid_request:
        return "invalid_request";
    case refusal_reason::unknown_service:
        return "unknown_service";
    case refusal_reason::invalid_token:
        return "invalid_token";
    case refusal_reason::session_diverged:
        return "session_diverged";
    case refusal_reason::invalid_transaction:
        return "invalid_transaction";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::no_primary:
        return "no_primary";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::too_stale:
        return "too_stale";
    case refusal_reason::host_leaving:
        return "host_leaving";
    case refusal_reason::stale_view:
        return "stale_view";
    case refusal_reason::target_leaving:
        return "target_leaving";
    }
    return "invalid";
}

const char* to_string(failure_reason reason) noexcept {
    switch (reason) {
    case failure_reason::database_error:
        return "database_error";
    case failure_reason::idempotency_conflict:
        return "idempotency_conflict";
    case failure_reason::already_committed:
        return "already_committed";
    case failure_reason::transaction_lost:
        return "transaction_lost";
    case failure_reason::result_too_large:
        return "result_too_large";
    }
    return "invalid";
}

const char* to_string(unknown_reason reason) noexcept {
    switch (reason) {
    case unknown_reason::deadline:
        return "deadline";
    case unknown_reason::connection_lost:
        return "connection_lost";
    case unknown_reason::host_lost:
        return "host_lost";
    case unknown_reason::term_superseded:
        return "term_superseded";
    case unknown_reason::no_quorum:
        return "no_quorum";
    }
    return "invalid";
}

const char* to_string(urgency value) noexcept {
    switch (value) {
    case urgency::urgent:
        return "urgent";
    case urgency::normal:
        return "normal";
    case urgency::bulk:
        return "bulk";
    }
    return "invalid";
}

const char* to_string(member_state value) noexcept {
    switch (value) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "invalid";
}

const char* outcome_kind(const outcome& value) noexcept {
    switch (value.index()) {
    case 0:
        return "done";
    case 1:
        return "refused";
    case 2:
        return "failed";
    default:
        return "unknown";
    }
}

} // namespace lovagemoor::core
