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

/// @brief One message of a job whose results are awaited.
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

/// @brief Runs one job on an open connection: sends its statements in as few round trips as
/// possible and turns the results into events.
class job_runner {
public:
    job_runner(pg_connection& connection, const target_settings& settings, core::run_job job,
               const std::function<void(core::event)>& sink);

    /// @brief Sends the first statements.
    void start();

    /// @brief Handles the results that have arrived.
    /// @return True when the job has ended and job_finished was sent.
    [[nodiscard]] bool process();

    /// @brief Ends the job because the connection broke.
    void end_with_lost_connection();

    /// @return True when the connection must not be used any more.
    [[nodiscard]] bool is_connection_lost() const noexcept { return is_connection_lost_; }

    /// @return True when job_finished told of the loss; a job that failed before reports its error.
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
    /// @brief Rolls back and, when the claim exists, reads the row that it collided with.
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
    /// The step at the front of `pending_steps_` has got a result.
    bool has_result_ = false;

    /// Result of a keyed write, kept until it is stored.
    stored_answer answer_;
    std::size_t answer_bytes_ = 0;
    /// Row that the claim collided with.
    std::optional<std::string> stored_digest_;
    core::sql_value stored_answer_text_;
};

/// @return The error with which libpq or the protocol would refuse a statement, if any.
[[nodiscard]] std::optional<core::job_error> check_statement(const core::statement& statement);

} // namespace lovagemoor::target::internal
