#pragma once

#include "link_router.hpp"

#include <lovagemoor/gateway/target_connections.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/lending/connection_lender.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor {

/// @brief Borrows connections from other hosts for the session engine, and lends this host's
/// connections to others and to the engine. Translates between frames of the link and the events
/// and actions of the engine and of the lender.
class connection_lending {
public:
    /// @param targets Opens the connections that this host lends.
    /// @param engine_events Receives the engine's events, never from within perform().
    /// @param telemetry Receives log lines and metrics.
    connection_lending(boost::asio::io_context& context, core::host_id self, link_router& router,
                       gateway::target_connections& targets,
                       std::function<void(const proxy::event&)> engine_events,
                       std::function<void(const proxy::action&)> telemetry);

    /// @return True if the connection is borrowed.
    [[nodiscard]] bool borrowed(core::connection_id connection) const {
        return loans_.contains(connection);
    }

    /// @brief Borrows a connection from the holder that the action names.
    void perform(const proxy::open_target& action);
    void perform(const proxy::send_commands& action);
    void perform(const proxy::close_target& action);
    void perform(const proxy::return_target& action);

    /// @return True if the event concerns a connection that this host lends.
    [[nodiscard]] static bool concerns_lender(const proxy::event& input);

    /// @brief Passes an event of a connection that this host lends to the lender.
    void on_target_event(const proxy::event& input);

    /// @brief Lends no more connections.
    void stop();

    /// @brief Detects timeouts. To be called several times a second.
    void on_timer();

    /// @return True if other hosts use connections of this one.
    [[nodiscard]] bool lends() const noexcept { return !lent_.empty(); }

private:
    /// @brief A connection that this host borrows, or has asked for.
    struct loan {
        /// Channel to the holder; 0 if the holder is this host.
        link::channel_id channel = 0;
        bool granted = false;
        /// Commands have been sent over it.
        bool used = false;
        /// Answers that the holder still owes.
        int expected = 0;
        /// Rows of a reply of which further rows follow.
        std::vector<std::string> rows;
    };

    void lend(const proxy::lending_event& input);
    void answer(const proxy::queue_loan& action);
    void answer(const proxy::grant_loan& action);
    void answer(const proxy::relay_reply& action);
    void answer(const proxy::end_loan& action);
    void give_back(core::connection_id connection, bool broken);
    void expect(loan& changed, int change);
    /// @brief Passes an event to the engine after the current one has been processed.
    void post(proxy::event input);

    void on_borrow(link::channel_id channel, const link::frame& message);
    void on_commands(link::channel_id channel, const link::frame& message);
    void on_return(link::channel_id channel, const link::frame& message);
    void on_lent(link::channel_id channel, const link::frame& message);
    void on_replies(link::channel_id channel, const link::frame& message);
    void on_ended(link::channel_id channel, const link::frame& message);
    void on_channel_closed(link::channel_id channel);
    /// @return The loan, if it uses the channel; nullptr if it has ended.
    [[nodiscard]] loan* find(link::channel_id channel, std::uint64_t number);

    boost::asio::io_context& context_;
    core::host_id self_;
    link_router& router_;
    gateway::target_connections& targets_;
    std::function<void(const proxy::event&)> engine_events_;
    std::function<void(const proxy::action&)> telemetry_;
    proxy::connection_lender lender_;
    std::map<core::connection_id, loan> loans_;
    /// Loans of other hosts that are open.
    std::set<proxy::loan_id> lent_;
};

} // namespace lovagemoor
