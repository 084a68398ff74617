#pragma once

#include "run_history.hpp"
#include "target_group.hpp"

#include <lovagemoor/gateway/line_stream.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::soak {

/// @brief Settings of a caller, and what it can learn about the state of its host.
struct caller_options {
    std::uint64_t session = 0;
    /// Where the host listens for callers.
    boost::asio::ip::tcp::endpoint host;
    std::string database;
    std::chrono::milliseconds max_staleness{0};
    std::uint32_t seed = 0;
    /// @return True if the host was neither killed, paused nor stopped since the given time.
    std::function<bool(clock::time_point)> host_undisturbed_since;
    /// @return True if the host is in a graceful stop without any other fault, so that it must
    /// answer the requests it has accepted.
    std::function<bool()> host_stops_gracefully;
};

/// @brief Runs random operations on one host until the run ends, and checks the answers.
///
/// After an error in a transaction it rolls back. After a lost connection or an answer that does
/// not come in time it opens a new session.
class caller {
public:
    caller(boost::asio::io_context& context, run_history& history, target_group& targets,
           caller_options options);

    void start() { connect(); }

    /// @return When a read, write or commit last succeeded.
    [[nodiscard]] clock::time_point last_success() const noexcept { return last_success_; }

private:
    void connect();
    void reconnect_later();
    void send_after_pause();
    void choose_operation();
    [[nodiscard]] std::string draw_words();
    [[nodiscard]] std::string draw_name();
    [[nodiscard]] std::string draw_statement();
    [[nodiscard]] std::string draw_session_command();
    void send_next();
    void on_line(std::string_view line);
    void on_startup_answer(std::string_view line);
    void on_answer(const std::string& state);
    void on_success(const std::string& id, const std::string& text);
    void on_error(const std::string& id, const sent_statement& sent);
    /// @return READ, WRITE or COMMIT if the statement is of that kind; empty otherwise.
    [[nodiscard]] std::string access_of(const std::string& text) const;
    void on_disconnect();
    void await_answer();
    void on_answer_timeout();
    [[nodiscard]] std::size_t random_below(std::size_t below);

    boost::asio::io_context& context_;
    run_history& history_;
    target_group& targets_;
    caller_options options_;
    std::mt19937 random_;
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    std::shared_ptr<gateway::line_stream> stream_;
    boost::asio::steady_timer pause_timer_;
    boost::asio::steady_timer answer_timer_;
    bool ready_ = false;
    std::deque<std::string> remaining_statements_;
    /// The remaining statements are sent at once, without waiting for answers.
    bool sends_ahead_ = false;
    /// Statements that wait for their answers, in the order in which they were sent.
    std::deque<std::string> outstanding_;
    /// When the first of them became the first.
    clock::time_point waiting_since_;
    std::vector<std::string> rows_;
    std::string completion_;
    std::string error_;
    /// Access of each prepared statement of the session.
    std::map<std::string, std::string> prepared_;
    bool in_transaction_ = false;
    clock::time_point transaction_began_;
    std::uint64_t last_statement_number_ = 0;
    /// Connections that were opened so far, which is part of the session's identifier.
    std::uint64_t connection_count_ = 0;
    clock::time_point last_success_;
};

} // namespace lovagemoor::soak
