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

/// @brief Runs the messages of ready sessions: protocol, transactions, row locks and slots.
class session_runner {
public:
    session_runner(group_member& member, timer_queue& timers, std::size_t slots,
                   std::function<std::string(const std::string&, const std::string&)> control)
        : executor_(member, locks_, std::move(control)),
          member_(member),
          timers_(timers),
          free_slots_(slots) {}

    void set_service_time(std::chrono::microseconds value) { service_time_ = value; }

    /// @brief Makes the next COMMIT that wrote close its connection instead of answering.
    void drop_next_commit() { drop_next_commit_ = true; }

    [[nodiscard]] std::map<session_id, session>& sessions() noexcept { return sessions_; }

    /// @brief Queues a session to be run, for example because input arrived.
    void enqueue(session_id id) { runnable_.push_back(id); }

    [[nodiscard]] bool has_runnable_sessions() const noexcept { return !runnable_.empty(); }

    /// @brief Queues the sessions that wait in an attest call.
    void enqueue_attest_waiters();

    /// @brief Runs all queued sessions that `may_run` accepts; the others stay queued.
    void run_sessions(const std::function<bool(const session&)>& may_run);

    /// @brief Ends a session's transaction and gives back what it holds.
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

    /// @return True when the statement has ended.
    [[nodiscard]] bool advance_statement(session& client_session);
    /// @return False when the statement has to wait in its present stage.
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
    /// @brief Sets a waiting statement's stage after a delay.
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
