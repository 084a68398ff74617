#pragma once

#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace lovagemoor::core {

/// @brief Why a request was not run.
enum class refusal_reason : std::uint8_t {
    invalid_request,
    unknown_service,
    invalid_token,
    session_diverged,
    invalid_transaction,
    overloaded,
    deadline,
    no_primary,
    no_target,
    too_stale,
    host_leaving,
    stale_view,
    target_leaving,
};

/// @brief Why a request that reached a target had no effect.
enum class failure_reason : std::uint8_t {
    database_error,
    idempotency_conflict,
    already_committed,
    transaction_lost,
    result_too_large,
};

/// @brief Why it is not known whether a request took effect.
enum class unknown_reason : std::uint8_t {
    deadline,
    connection_lost,
    host_lost,
    term_superseded,
    no_quorum,
};

/// @brief The request ran, and its effects are as durable as the service's setting requires.
struct done {
    std::uint64_t row_count = 0;
    std::uint64_t affected_rows = 0;
    /// True when this is the stored answer of an earlier request with the same idempotency key.
    bool replayed = false;

    friend bool operator==(const done&, const done&) = default;
};

/// @brief The request had no effect at all and is safe to send again.
struct refused {
    refusal_reason reason = refusal_reason::invalid_request;
    duration retry_after{0};
    /// Address at which another live host accepts callers; set with refusal_reason::host_leaving.
    std::string alternative_host;
    std::string detail;

    friend bool operator==(const refused&, const refused&) = default;
};

/// @brief The target rejected the request and rolled it back.
struct failed {
    failure_reason reason = failure_reason::database_error;
    /// Five-character SQLSTATE, empty when the failure has none.
    std::string sqlstate;
    std::string detail;

    friend bool operator==(const failed&, const failed&) = default;
};

/// @brief The request may or may not have taken effect.
struct outcome_unknown {
    unknown_reason reason = unknown_reason::connection_lost;

    friend bool operator==(const outcome_unknown&, const outcome_unknown&) = default;
};

/// @brief Outcome of a request; there are no others.
using outcome = std::variant<done, refused, failed, outcome_unknown>;

/// @return Name of the reason as used in logs, metrics and details of API answers.
[[nodiscard]] const char* to_string(refusal_reason reason) noexcept;
[[nodiscard]] const char* to_string(failure_reason reason) noexcept;
[[nodiscard]] const char* to_string(unknown_reason reason) noexcept;

/// @return Name of the outcome's kind: done, refused, failed or unknown.
[[nodiscard]] const char* outcome_kind(const outcome& value) noexcept;

} // namespace lovagemoor::core
