#pragma once

#include "fault_settings.hpp"
#include "group_member.hpp"
#include "member_list.hpp"
#include "replication_link.hpp"
#include "session_runner.hpp"
#include "timer_queue.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

struct server_settings {
    std::string id;
    std::map<std::string, member_ports> members;
    std::string listen_address = "127.0.0.1";
    /// Client port; 0 selects an ephemeral port.
    std::uint16_t port = 0;
    std::uint16_t replication_port = 0;
    std::size_t slots = 5;
    std::size_t max_connections = 70;
    std::chrono::microseconds connection_cost{0};
    std::chrono::microseconds service_time{0};
    /// One-way delay of replication messages.
    std::chrono::microseconds link_delay{0};
    bool begins_as_primary = false;
};

/// @brief Serves the stand-in's sockets and timers and applies its faults in one poll loop.
class server {
public:
    explicit server(const server_settings& settings);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    [[nodiscard]] std::uint16_t replication_port() const { return link_.port(); }

    /// @brief Serves clients and members until the process ends.
    [[noreturn]] void run();

private:
    /// @return Time at which the timers have to be processed again.
    [[nodiscard]] time_point process_events();
    void wait_for_events(time_point wakeup);
    void set_timer(time_point wakeup) const;
    void accept_connections();
    void read_input(session& client_session);
    void write_output(session& client_session);
    void handle_startup(session& client_session);
    void open_session(session& client_session, body_reader body);
    void refuse_connection(session& client_session, const std::string& sqlstate,
                           const std::string& message) const;
    void complete_startup(session& client_session);
    void remove_closed_sessions();
    void receive_replication();
    void send_replication(const std::string& to, const v1::ReplicationMessage& message);
    void apply_members(const std::map<std::string, member_ports>& members);
    [[nodiscard]] std::string control(const std::string& name, const std::string& value);
    [[nodiscard]] bool is_suspended(const session& client_session) const;
    /// @return Number of connections that count towards `max_connections`; control connections do
    /// not.
    [[nodiscard]] std::size_t connection_count();

    server_settings settings_;
    fault_settings faults_;
    timer_queue timers_;
    replication_link link_;
    group_member member_;
    session_runner runner_;
    int listener_;
    int timer_;
    session_id next_session_ = 1;
};

} // namespace lovagemoor::standin_target
