#pragma once

#include "executor.hpp"
#include "session.hpp"
#include "timer_queue.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string_view>

namespace lovagemoor::standin_target {

/// @brief Processes the messages of sessions that are ready: it implements the protocol,
/// transactions, row locks and execution slots.
class session_runner {
public:
    session_runner(group_member& member, timer_queue& timers, std::size_t slots,
                   std::function<std::string(const std::string&, const std::string&)> control)
        : executor_(member, locks_, std::move(control)),
          member_(member),
          timers_(timers),
          free_slots_(slots) {}

    void set_service_time(std::chrono::microseconds value) { service_time_ = value; }

    /// @brief Makes the next COMMIT that writes to the log close its connection without an answer.
    void drop_next_commit() { drop_next_commit_ = true; }

    [[nodiscard]] std::map<session_id, session>& sessions() noexcept { return sessions_; }

    /// @brief Adds a session to the run queue, for example because input arrived.
    void enqueue(session_id id) { runnable_.push_back(id); }

    [[nodiscard]] bool has_runnable_sessions() const noexcept { return !runnable_.empty(); }

    /// @brief Adds the sessions that wait in an attest call to the run queue.
    void enqueue_attest_waiters();

    /// @brief Runs all sessions in the run queue that `may_run` accepts; the others stay in it.
    void run_sessions(const std::function<bool(const session&)>& may_run);

    /// @brief Drops a session's running statement and releases its slot and row locks.
    void end_session(session& client_session);

private:
    void run_session(session& client_session);
    void handle_message(session& client_session, const frontend_message& message);
    void handle_parse(session& client_session, body_reader body);
    void handle_bind(session& client_session, body_reader body);
    void handle_describe(session& client_session, body_reader body);
    void handle_execute(session& client_session, body_reader body);
    void handle_close(session& client_session, body_reader body);
    void handle_query(session& client_session, body_reader body);
    void handle_sync(session& client_session);

    /// @brief Runs the current statement as far as possible.
    /// @return True if the statement has ended.
    [[nodiscard]] bool advance_statement(session& client_session);
    /// @return False if the statement has to wait in its current stage.
    [[nodiscard]] bool advance_stage(session& client_session, running_statement& running);
    [[nodiscard]] bool start_service(session& client_session, running_statement& running);
    [[nodiscard]] bool check_attest(session& client_session, running_statement& running);
    void finish_statement(session& client_session, const statement_result& result);
    void fail_statement(session& client_session, const std::string& sqlstate,
                        const std::string& message);
    void end_transaction_and_report(session& client_session);
    void release_slot(running_statement& running);
    void release_locks(session& client_session);
    void start_statement(session& client_session, bound_statement statement, bool simple_query);
    /// @brief Moves a statement from one stage to another after a delay.
    void schedule_stage(session& client_session, std::chrono::microseconds delay,
                        statement_stage from, statement_stage to);

    row_locks locks_;
    executor executor_;
    group_member& member_;
    timer_queue& timers_;
    std::map<session_id, session> sessions_;
    std::deque<session_id> runnable_;
    std::deque<session_id> slot_queue_;
    std::size_t free_slots_;
    std::chrono::microseconds service_time_{0};
    bool drop_next_commit_ = false;
};

} // namespace lovagemoor::standin_target
