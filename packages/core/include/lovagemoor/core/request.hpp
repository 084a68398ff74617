#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/statement.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace lovagemoor::core {

enum class access_mode : std::uint8_t {
    read,
    write,
};

/// @brief Scheduling class of a request, most urgent first.
enum class urgency : std::uint8_t {
    urgent,
    normal,
    bulk,
};

[[nodiscard]] const char* to_string(urgency value) noexcept;

/// @brief One statement, inside or outside a transaction.
struct execute_request {
    service_id service;
    /// Selects the database group within the service.
    std::string shard_key;
    core::statement statement;
    access_mode access = access_mode::read;
    urgency priority = urgency::normal;
    duration timeout{0};
    /// Maximum age of data that the caller accepts; unset requires fresh data.
    std::optional<std::chrono::milliseconds> max_staleness;
    /// Key that makes a retried write run at most once; a write without a key is never retried once
    /// it may have run.
    std::string idempotency_key;
    /// Sealed session token, empty for a new session.
    std::string session_token;
    /// Sealed transaction handle, empty outside a transaction.
    std::string transaction;
};

/// @brief Starts a transaction on the group's primary.
struct begin_request {
    service_id service;
    std::string shard_key;
    urgency priority = urgency::normal;
    duration timeout{0};
    std::string idempotency_key;
    std::string session_token;
};

enum class transaction_end : std::uint8_t {
    commit,
    rollback,
};

/// @brief Ends a transaction.
struct end_request {
    transaction_end how = transaction_end::commit;
    std::string transaction;
    duration timeout{0};
    std::string session_token;
};

/// @brief Any call of a caller.
using caller_request = std::variant<execute_request, begin_request, end_request>;

} // namespace lovagemoor::core
