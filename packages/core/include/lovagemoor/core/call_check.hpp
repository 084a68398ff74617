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

/// @brief A caller's call after validation.
struct checked_call {
    /// Group, target, guard and remaining time are filled in when it is sent, but for calls of a
    /// transaction, whose group and target are known.
    forward_request request;
    std::string shard_key;
    duration timeout{0};
    /// Age of data that the caller accepts, before the service's limit is applied.
    std::optional<std::chrono::milliseconds> max_staleness;
    session_token session;
    /// Owner host of the call's transaction.
    std::optional<host_id> transaction_owner;
};

template <typename T>
using check_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, refused>;

/// @brief Checks sizes and limits and opens the tokens of a call.
/// @return The reason why the call can never run, as a refusal.
[[nodiscard]] check_result<checked_call>
check_call(const core_settings& settings, const token_sealer& sealer, const caller_request& call);

/// @return True for calls that carry a transaction handle.
[[nodiscard]] bool has_transaction(const caller_request& call) noexcept;

} // namespace lovagemoor::core
