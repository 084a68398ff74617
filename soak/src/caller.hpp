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
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::soak {

/// @brief What a caller is and what it may ask.
struct caller_options {
    std::uint64_t session = 0;
    std::uint16_t port = 0;
    std::string database;
    std::chrono::milliseconds max_staleness{0};
    std::uint32_t seed = 0;
    /// @return True if the host has run without disturbance since then.
    std::function<bool(clock::time_point)> host_undisturbed_since;
    /// @return True if the host may not cut requests.
    std::function<bool()> host_stops_gracefully;
};

/// @brief A caller that runs random operations on one host, over and over, and checks the answers.
class caller {
public:
    caller(boost::asio::io_context& context, run_history& history, target_group& targets,
           caller_options options);

    void start() { connect(); }

    /// @return Last success of a read, write or commit.
    [[nodiscard]] clock::time_point last_success() const noexcept { return last_success_; }

private:
    void connect();
    void reconnect_later();
    void send_after_pause();
    void choose_operation();
    void send_next();
    void on_line(std::string_view line);
    void on_startup_answer(std::string_view line);
    void on_answer(const std::string& state);
    void on_success(const std::string& id, const std::string& text);
    void on_error(const std::string& id, const std::string& text);
    void on_disconnect();
    void on_answer_timeout(const std::string& id);
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
    std::optional<std::string> outstanding_statement_;
    std::vector<std::string> rows_;
    std::string completion_;
    std::string error_;
    std::map<std::string, std::string> session_values_;
    bool in_transaction_ = false;
    clock::time_point transaction_began_;
    std::uint64_t last_statement_number_ = 0;
    /// Connections so far; part of the session's identity.
    std::uint64_t connection_count_ = 0;
    clock::time_point last_success_;
};

} // namespace lovagemoor::soak
