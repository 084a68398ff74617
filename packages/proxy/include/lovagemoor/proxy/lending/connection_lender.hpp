#pragma once

#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/lending/holder_ranking.hpp>
#include <lovagemoor/proxy/lending/lending_event.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Limits and intervals of connection_lender.
struct connection_lender_settings {
    /// Timeout for establishing a TCP connection to a target, as in session_engine_settings.
    std::chrono::milliseconds connect_timeout{400};
    /// Timeout for a target's greeting, as in session_engine_settings.
    std::chrono::milliseconds greeting_timeout{2000};
    /// Pause before the next connection to a target that could not be reached or has reached its
    /// limit on connections.
    std::chrono::milliseconds open_pause{100};
    /// Time for which the number of connections that a target accepted before it reached its limit
    /// is taken as the budget. Targets count the connections of lost hosts for 3 s.
    std::chrono::milliseconds limit_retention{1000};
    /// Timeout for the answer to a rollback, as session_engine_settings::command_timeout.
    std::chrono::milliseconds rollback_timeout{1000};
    /// Idle connections are closed after this time. Small organisations send a statement to a
    /// target every few seconds. Long enough for them, and short enough that a host which is no
    /// longer a holder gives up its connections.
    std::chrono::milliseconds idle_timeout{60000};
    /// Limit on the requests that wait for connections to one target.
    std::size_t max_waiting = 1024;
};

/// @brief Number of connections that one holder keeps to a target.
///
/// Leaves half of the target's limit free, or eight connections per slot if that is less, so that
/// restarted hosts find free connections while the target still counts the former ones.
/// @param connection_limit Connections that the target accepts from all hosts; 0 if unknown.
/// @return At least 1.
[[nodiscard]] unsigned lending_budget(unsigned connection_limit, unsigned slots,
                                      std::size_t holders = holders_per_target) noexcept;

/// @brief Keeps connections to targets and lends them to other hosts and to this one.
///
/// Deterministic: it maps events and the time passed by the driver to actions. Ids of its
/// connections have the highest bit set, so that they differ from those of the session engine.
class connection_lender {
public:
    /// Set in the ids of all connections of a lender.
    static constexpr core::connection_id id_flag = core::connection_id{1} << 63U;

    explicit connection_lender(connection_lender_settings settings = {});

    [[nodiscard]] lending_action_list handle(core::time_point now, const lending_event& input);

    /// @return Number of connections to a target, including those that are being opened.
    [[nodiscard]] std::size_t connections_to(const core::target_id& target) const;

    /// @return Number of requests that wait for a connection.
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    enum class lending_phase : std::uint8_t {
        opening,
        idle,
        lent,
        /// Waits for the end of a transaction that the last loan left open.
        rolling_back,
    };

    struct connection {
        core::connection_id id = 0;
        core::target_id target;
        core::organisation_id organisation;
        std::string address;
        lending_phase phase = lending_phase::opening;
        /// Set while it is lent.
        loan_id loan;
        /// Kinds of the commands that the target has not answered.
        std::deque<command_kind> expected;
        std::optional<replication_position> position;
        bool in_transaction = false;
        /// A loan has sent commands.
        bool used = false;
        /// Session values or prepared statements may be set.
        bool holds_state = false;
        /// Time of the last change of the phase.
        core::time_point since;
    };

    struct waiting_loan {
        loan_id loan;
        unsigned priority = 0;
        core::time_point arrived;
        core::time_point expires;
        /// Commands that arrived before the connection was lent.
        std::vector<target_command> commands;
        core::time_point commands_expire = core::time_point::max();
    };

    /// @brief Requests that the same connections can serve: those of an organisation, or with true
    /// those that any connection can serve.
    using queue_key = std::pair<bool, core::organisation_id>;

    struct held_target {
        core::service_id service;
        std::string address;
        unsigned connection_limit = 0;
        unsigned slots = 1;
        /// Earliest time at which the next connection is opened.
        core::time_point open_after;
        /// Connections that the target accepted before it reached its limit.
        std::size_t accepted = 0;
        /// Time until which `accepted` is the budget.
        core::time_point accepted_until;
        std::vector<core::connection_id> connections;
        /// By priority and arrival. No queue is empty.
        std::map<queue_key, std::vector<waiting_loan>> queues;
    };

    void on(const loan_requested& input);
    void on(const loan_commands_received& input);
    void on(const loan_returned& input);
    void on(const borrower_lost& input);
    void on(const organisation_weights_changed& input);
    void on(const target_connected& input);
    void on(const target_replied& input);
    void on(const target_disconnected& input);
    void on(const stop_requested& input);
    void on(const timer_expired& input);

    /// @brief Grants and opens connections to a target until nothing more can be done.
    void serve(const core::target_id& id);
    [[nodiscard]] bool serve_next(const core::target_id& id, held_target& served);
    /// @return The queues in the order in which they are served.
    [[nodiscard]] std::vector<queue_key> order_of(const held_target& served) const;
    /// @return Connections of an organisation that are lent or being opened, relative to its
    /// weight.
    [[nodiscard]] double load_of(const held_target& served,
                                 const core::organisation_id& organisation,
                                 unsigned additional = 0) const;
    [[nodiscard]] connection* find_idle(const held_target& served, const queue_key& key);
    /// @brief Opens a connection for a queue, if necessary in place of an idle one.
    /// @return False if none may be opened now.
    [[nodiscard]] bool open_for(const core::target_id& id, held_target& served,
                                const queue_key& key);
    /// @return The idle connection that gives way to one for the queue; nullptr if there is none.
    [[nodiscard]] const connection* replaceable(const held_target& served,
                                                const queue_key& key) const;
    [[nodiscard]] std::size_t count(const held_target& served, lending_phase counted) const;
    void grant(connection& lent, waiting_loan request);
    void send(connection& lent, std::vector<target_command> commands);
    /// @brief Takes back a connection whose loan has ended.
    void take_back(core::connection_id id, bool broken);
    void close(core::connection_id id);
    void erase(core::connection_id id);
    void end(const loan_id& loan, loan_end reason);
    /// @brief Ends all requests that wait for the target.
    void end_waiting(held_target& ended, loan_end reason);
    void expire(held_target& checked);
    /// @brief Removes a request that waits.
    /// @return The target that it waited for; empty if it does not wait.
    [[nodiscard]] std::optional<core::target_id> remove_waiting(const loan_id& loan);

    connection_lender_settings settings_;
    core::id_source ids_;
    core::time_point now_;
    lending_action_list out_;
    std::map<core::target_id, held_target> targets_;
    std::map<core::connection_id, connection> connections_;
    /// Connections by the loan that uses them.
    std::map<loan_id, core::connection_id> loans_;
    /// Targets by the request that waits for them.
    std::map<loan_id, core::target_id> requests_;
    std::map<core::organisation_id, double> weights_;
    bool stopping_ = false;
};

} // namespace lovagemoor::proxy
