#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/core/telemetry_event.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/engine/event.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// @file
/// @brief Events and actions of connection_lender.

namespace lovagemoor::proxy {

/// @brief Identifies a loan at its holder.
struct loan_id {
    /// The channel over which the borrower asked; 0 for this host itself.
    std::uint64_t borrower = 0;
    /// Chosen by the borrower.
    std::uint64_t number = 0;

    friend bool operator==(const loan_id&, const loan_id&) = default;

    friend bool operator<(const loan_id& left, const loan_id& right) noexcept {
        return std::tie(left.borrower, left.number) < std::tie(right.borrower, right.number);
    }
};

/// @name Requests of borrowers
/// @{
struct loan_requested {
    loan_id loan;
    core::target_id target;
    core::service_id service;
    /// ip:port
    std::string address;
    core::organisation_id organisation;
    /// The connection of any organisation will do, since no caller's statement will run on it.
    bool any_organisation = false;
    /// Connections that the target accepts from all hosts; 0 if unknown.
    unsigned connection_limit = 0;
    /// Statements that the target executes at a time.
    unsigned slots = 1;
    /// Time after which the request is refused.
    std::chrono::milliseconds wait{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
};

struct loan_commands_received {
    loan_id loan;
    std::vector<target_command> commands;
    /// Time from receipt after which the commands must not be sent any more.
    std::chrono::milliseconds deadline{0};
};

struct loan_returned {
    loan_id loan;
    /// The state of the connection is unknown.
    bool broken = false;
};

/// @brief The channel to a borrower has ended, and with it all of its loans.
struct borrower_lost {
    std::uint64_t borrower = 0;
};

/// @}

/// @brief Shares of the organisations. An organisation that is not named has a share of 1.
struct organisation_weights_changed {
    std::map<core::organisation_id, double> weights;
};

using lending_event =
    std::variant<loan_requested, loan_commands_received, loan_returned, borrower_lost,
                 organisation_weights_changed, target_connected, target_replied,
                 target_disconnected, stop_requested, timer_expired>;

/// @name Answers to borrowers
/// @{

/// @brief The request waits; it is granted or ended later.
struct queue_loan {
    loan_id loan;
};

struct grant_loan {
    loan_id loan;
    /// Log position of the target when the connection was opened. Only set if it is fresh.
    std::optional<replication_position> position;
    /// No other loan has used the connection.
    bool fresh = false;
    /// Neither session values nor prepared statements of an earlier loan are left.
    bool clean = false;
};

struct relay_reply {
    loan_id loan;
    target_reply reply;
};

enum class loan_end : std::uint8_t {
    /// No connection became free in time.
    busy,
    /// The holder is stopping.
    stopping,
    target_refused,
    target_timed_out,
    connection_limit,
    wrong_target,
    connection_closed,
    malformed,
    /// Commands were too old to be sent.
    expired,
};

struct end_loan {
    loan_id loan;
    loan_end reason = loan_end::busy;
};

/// @}

using lending_action =
    std::variant<queue_loan, grant_loan, relay_reply, end_loan, open_target, send_commands,
                 close_target, core::log_event, core::count_metric, core::observe_duration>;

using lending_action_list = std::vector<lending_action>;

} // namespace lovagemoor::proxy
