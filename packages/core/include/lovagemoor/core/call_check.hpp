#pragma once

#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/session_token.hpp>
#include <lovagemoor/core/settings.hpp>

#include <boost/outcome.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace lovagemoor::core {

/// @brief A caller's call that passed validation.
struct checked_call {
    /// The request to forward to an owner. The entry service sets its group, target, guard and
    /// remaining time when it routes and sends the request; a call in a transaction already has the
    /// group and target of its handle.
    forward_request request;
    std::string shard_key;
    duration timeout{0};
    /// Maximum age of data that the caller accepts, before the service's limit is applied.
    std::optional<std::chrono::milliseconds> max_staleness;
    session_token session;
    /// Host that holds the call's transaction; unset outside a transaction.
    std::optional<host_id> transaction_owner;
};

template <typename T>
using check_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, refused>;

/// @brief Validates the sizes and limits of a call and verifies its tokens.
/// @return The validated call, or the refusal of a call that no retry can make valid.
[[nodiscard]] check_result<checked_call>
check_call(const core_settings& settings, const token_sealer& sealer, const caller_request& call);

/// @return True if the call carries a transaction handle or ends a transaction.
[[nodiscard]] bool has_transaction(const caller_request& call) noexcept;

} // namespace lovagemoor::core
