#pragma once

#include "pg_connection.hpp"
#include "row_collector.hpp"
#include "stored_answer.hpp"

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::target::internal {

/// @brief A step of a job: a statement or a Sync message whose result is pending.
enum class job_step {
    begin,
    guard,
    claim,
    statement,
    store_answer,
    commit,
    position,
    lookup,
    rollback,
    discard,
    sync,
};

/// @brief Runs one job on an open connection. Sends the statements of the job in as few round trips
/// as possible and reports their results as events.
class job_runner {
public:
    job_runner(pg_connection& connection, const target_settings& settings, core::run_job job,
               const std::function<void(core::event)>& sink);

    /// @brief Sends the first statements.
    void start();

    /// @brief Processes the results that have arrived.
    /// @return True when the job has ended and job_finished was reported.
    [[nodiscard]] bool process();

    /// @brief Ends the job after the connection broke and reports job_finished.
    void end_with_lost_connection();

    /// @return True when the connection broke or its state is unknown, so it must not be used
    /// again.
    [[nodiscard]] bool is_connection_lost() const noexcept { return is_connection_lost_; }

    /// @return True when job_finished reported the loss of the connection. A job that had failed
    /// before reports its error instead.
    [[nodiscard]] bool has_reported_loss() const noexcept { return is_connection_lost_ && !error_; }

private:
    void start_job(const core::read_job& job);
    void start_job(const core::write_job& job);
    void start_job(const core::begin_job& job);
    void start_job(const core::transaction_job& job);
    void start_job(const core::commit_job& job);
    void start_job(const core::rollback_job& job);
    void start_job(const core::reset_job& job);

    void send(job_step step, const std::string& sql,
              const std::vector<core::sql_value>& parameters = {});
    void send_guard(const core::read_guard& guard);
    void send_claim(const core::idempotency_claim& claim);
    void send_sync();
    void send_stored_answer();
    /// @brief Sends ROLLBACK. When the idempotency key is already claimed, also sends the query for
    /// the existing claim's row.
    void send_rollback_and_lookup();
    void prepare_next_result();

    void handle_result(const PGresult* result);
    void handle_error(job_step step, const PGresult* result);
    void handle_rows(job_step step, const PGresult* result);
    void handle_command(job_step step, const PGresult* result);
    void read_statement_rows(const PGresult* result);
    void end_step(job_step step);
    void end_claimed_statement();
    void end_sync();

    void finish();
    [[nodiscard]] core::job_result make_result();
    [[nodiscard]] core::job_result make_replayed_result();
    [[nodiscard]] const core::idempotency_claim* claim() const;
    [[nodiscard]] bool is_claimed_write() const;

    pg_connection& connection_;
    const target_settings& settings_;
    core::run_job job_;
    const std::function<void(core::event)>& sink_;
    row_collector rows_;

    std::deque<job_step> pending_steps_;
    core::job_done done_;
    std::optional<core::job_error> error_;
    bool claim_exists_ = false;
    bool is_rolling_back_ = false;
    bool is_connection_lost_ = false;
    /// True when the step at the front of `pending_steps_` has received a result.
    bool has_result_ = false;

    /// Result of a write with an idempotency key, collected for storing.
    stored_answer answer_;
    std::size_t answer_bytes_ = 0;
    /// Digest and answer in the row of an existing claim with the same idempotency key.
    std::optional<std::string> stored_digest_;
    core::sql_value stored_answer_text_;
};

/// @return An error when libpq or the PostgreSQL protocol cannot transmit the statement.
[[nodiscard]] std::optional<core::job_error> check_statement(const core::statement& statement);

} // namespace lovagemoor::target::internal
