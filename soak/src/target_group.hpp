#pragma once

#include "fault_link.hpp"
#include "run_history.hpp"

#include <lovagemoor/gateway/http_server.hpp>
#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/session_standins/database_connection.hpp>
#include <lovagemoor/session_standins/standin_store.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lovagemoor::soak {

/// @brief Stand-ins for a primary and two replicas that speak the statement protocol, and for the
/// promotion endpoint.
///
/// Checks each statement that a target runs against the run history.
class target_group {
public:
    static constexpr std::size_t size = 3;

    target_group(boost::asio::io_context& context, session_standins::standin_store& registry,
                 run_history& history);

    [[nodiscard]] std::string promotion_address() const;

    [[nodiscard]] fault_link& link(std::size_t index) { return *members_[index].link; }

    /// @name Faults
    /// @{
    void set_lag(std::size_t index, std::chrono::milliseconds lag) { members_[index].lag = lag; }

    void set_busy(std::size_t index, bool busy) { members_[index].busy = busy; }

    void lose_answers(std::size_t index, unsigned count) { members_[index].lost_answers = count; }

    void crash(std::size_t index);
    void restart(std::size_t index);
    /// @}

    /// @brief Records that the caller of a write or commit was told that it succeeded.
    void acknowledge(const std::string& statement_id);

    /// @brief Checks that the primary's log has no write of a refused statement.
    void check_refusals() const;

    [[nodiscard]] unsigned promotions() const noexcept { return promotions_; }

private:
    struct log_entry {
        std::uint64_t term = 0;
        std::string write_id;
        /// Identifier of the statement whose answer acknowledges the write.
        std::string commit_id;
        std::string item;
        std::string value;
        clock::time_point written_at;
    };

    struct session {
        std::shared_ptr<gateway::line_stream> stream;
        std::unique_ptr<session_standins::database_connection> connection;
        /// Transaction to which the uncommitted writes belong.
        std::uint64_t transaction = 0;
        std::vector<log_entry> uncommitted;
    };

    struct member {
        std::string id;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::unique_ptr<fault_link> link;
        std::map<std::uint64_t, session> sessions;
        std::vector<log_entry> log;
        std::chrono::milliseconds lag{5};
        bool busy = false;
        bool crashed = false;
        unsigned lost_answers = 0;
    };

    void accept(std::size_t index);
    void register_members();
    void replicate();
    gateway::http_server::response promote(const gateway::http_server::request& request);
    void finish_promotion(std::size_t chosen);
    void on_line(std::size_t index, std::uint64_t id, std::string_view line);
    [[nodiscard]] std::unique_ptr<session_standins::database_connection>
    make_connection(std::size_t index, std::uint64_t id);
    session_standins::database_connection::outcome
    run(std::size_t index, std::uint64_t id, const session_standins::executed_statement& statement);
    std::string read(const member& target, const std::string& id, const std::string& item);
    session_standins::database_connection::outcome
    write(std::size_t index, session& current_session,
          const session_standins::executed_statement& statement);
    std::string commit(std::size_t index, session& current_session, const std::string& id);
    void append(member& target, const log_entry& new_entry);
    void check_staleness(const member& target, const std::string& id);
    [[nodiscard]] static std::string position_of(const member& target);
    [[nodiscard]] static bool has_position(const member& target, const std::string& position);

    boost::asio::io_context& context_;
    session_standins::standin_store& registry_;
    run_history& history_;
    std::array<member, size> members_;
    std::size_t primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t highest_fencing_token_ = 0;
    std::map<std::uint64_t, std::string> token_holders_;
    unsigned promotions_ = 0;
    std::uint64_t last_session_id_ = 0;
    boost::asio::steady_timer replication_;
    gateway::http_server promotion_server_;
};

} // namespace lovagemoor::soak
