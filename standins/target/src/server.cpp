#include "server.hpp"

#include "sql_error.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace lovagemoor::standin_target {

namespace {

constexpr const char* control_application_name = "standin_control";
constexpr std::uint32_t protocol_version = 196608;
constexpr std::uint32_t cancel_request = 80877102;
constexpr std::uint32_t ssl_request = 80877103;
constexpr std::uint32_t gss_request = 80877104;
constexpr std::size_t max_input_bytes = 8U << 20U;

[[noreturn]] void throw_errno(const char* what) {
    throw std::system_error(errno, std::generic_category(), what);
}

int open_listener(const std::string& address, std::uint16_t port) {
    constexpr int backlog = 512;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw_errno("socket");
    }
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    if (::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) != 1) {
        throw std::system_error(EINVAL, std::generic_category(), "listen address");
    }
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0) {
        throw_errno("bind");
    }
    if (::listen(descriptor, backlog) != 0) {
        throw_errno("listen");
    }
    return descriptor;
}

} // namespace

server::server(const server_settings& settings)
    : settings_(settings),
      link_(settings.listen_address, settings.replication_port),
      member_(
          settings.id, settings.begins_as_primary, clock_type::now(),
          [this](const std::string& to, const v1::ReplicationMessage& message) {
              send_replication(to, message);
          },
          [this] { runner_.enqueue_attest_waiters(); }),
      runner_(member_, timers_, settings.slots,
              [this](const std::string& name, const std::string& value) {
                  return control(name, value);
              }),
      listener_(open_listener(settings.listen_address, settings.port)),
      timer_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    runner_.set_service_time(settings.service_time);
    apply_members(settings.members);
}

server::~server() {
    for (const auto& [id, client_session] : runner_.sessions()) {
        ::close(client_session.socket);
    }
    ::close(listener_);
    ::close(timer_);
}

std::uint16_t server::port() const {
    sockaddr_in endpoint{};
    socklen_t size = sizeof endpoint;
    if (::getsockname(listener_, reinterpret_cast<sockaddr*>(&endpoint), &size) != 0) {
        throw_errno("getsockname");
    }
    return ntohs(endpoint.sin_port);
}

void server::run() {
    while (true) {
        wait_for_events(process_events());
    }
}

time_point server::process_events() {
    if (!faults_.frozen) {
        receive_replication();
        timers_.run_due(clock_type::now());
        member_.tick(clock_type::now());
    }
    for (auto& [id, client_session] : runner_.sessions()) {
        if (client_session.phase == session_phase::startup) {
            handle_startup(client_session);
        }
    }
    runner_.run_sessions([this](const session& client_session) {
        return !faults_.frozen || client_session.is_control;
    });
    for (auto& [id, client_session] : runner_.sessions()) {
        write_output(client_session);
    }
    remove_closed_sessions();
    if (faults_.frozen) {
        return time_point::max();
    }
    const time_point next_tick = member_.tick(clock_type::now());
    // The tick or the end of a session may have unblocked other sessions, which run at once.
    return runner_.has_runnable_sessions() ? clock_type::now()
                                           : std::min(next_tick, timers_.next_due());
}

bool server::is_suspended(const session& client_session) const {
    const bool isolated = faults_.isolated_clients.contains(client_session.application_name);
    return !client_session.is_control && client_session.phase != session_phase::startup &&
           (faults_.frozen || isolated);
}

void server::set_timer(time_point wakeup) const {
    itimerspec spec{};
    if (wakeup != time_point::max()) {
        const std::chrono::nanoseconds since_start = wakeup.time_since_epoch();
        const std::chrono::seconds seconds =
            std::chrono::duration_cast<std::chrono::seconds>(since_start);
        spec.it_value.tv_sec = seconds.count();
        spec.it_value.tv_nsec = (since_start - seconds).count();
    }
    ::timerfd_settime(timer_, TFD_TIMER_ABSTIME, &spec, nullptr);
}

void server::wait_for_events(time_point wakeup) {
    set_timer(wakeup);
    std::vector<zmq::pollitem_t> items{{nullptr, listener_, ZMQ_POLLIN, 0},
                                       {nullptr, timer_, ZMQ_POLLIN, 0}};
    std::vector<session_id> polled_sessions;
    for (const auto& [id, client_session] : runner_.sessions()) {
        const bool wants_input =
            !client_session.input_closed && client_session.input.size() < max_input_bytes;
        const int events =
            (wants_input ? ZMQ_POLLIN : 0) | (client_session.sendable > 0 ? ZMQ_POLLOUT : 0);
        if (client_session.socket >= 0 && !client_session.broken && !is_suspended(client_session) &&
            events != 0) {
            items.push_back({nullptr, client_session.socket, static_cast<short>(events), 0});
            polled_sessions.push_back(id);
        }
    }
    const std::size_t session_items = items.size();
    if (!faults_.frozen) {
        items.push_back({link_.handle(), 0, ZMQ_POLLIN, 0});
    }
    try {
        zmq::poll(items, std::chrono::milliseconds{-1});
    } catch (const zmq::error_t& error) {
        if (error.num() != EINTR) {
            throw;
        }
        return;
    }
    std::uint64_t expirations = 0;
    static_cast<void>(::read(timer_, &expirations, sizeof expirations));
    for (std::size_t index = 2; index < session_items; ++index) {
        if ((items[index].revents & (ZMQ_POLLIN | ZMQ_POLLERR)) != 0) {
            read_input(runner_.sessions().at(polled_sessions[index - 2]));
        }
    }
    if (items.front().revents != 0) {
        accept_connections();
    }
}

void server::accept_connections() {
    while (true) {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const session_id id = next_session_++;
        session& client_session = runner_.sessions()[id];
        client_session.id = id;
        client_session.socket = descriptor;
    }
}

void server::read_input(session& client_session) {
    constexpr std::size_t chunk_bytes = 65536;
    std::string buffer(chunk_bytes, '\0');
    const ssize_t count = ::recv(client_session.socket, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        client_session.input.append(buffer, 0, static_cast<std::size_t>(count));
    } else if (count == 0) {
        client_session.input_closed = true;
    } else if (errno != EAGAIN && errno != EINTR) {
        client_session.broken = true;
    }
    runner_.enqueue(client_session.id);
}

void server::write_output(session& client_session) {
    if (client_session.socket < 0 || client_session.broken || is_suspended(client_session)) {
        return;
    }
    while (client_session.sendable > 0) {
        const ssize_t count = ::send(client_session.socket, client_session.output.data(),
                                     client_session.sendable, MSG_NOSIGNAL);
        if (count < 0) {
            client_session.broken = errno != EAGAIN && errno != EINTR;
            return;
        }
        client_session.output.erase(0, static_cast<std::size_t>(count));
        client_session.sendable -= static_cast<std::size_t>(count);
    }
    if (client_session.output_full) {
        runner_.enqueue(client_session.id);
    }
}

void server::handle_startup(session& client_session) {
    try {
        while (client_session.phase == session_phase::startup && !client_session.closing) {
            const std::optional<frontend_message> message =
                parse_message(client_session.input, client_session.input_offset, true);
            if (!message) {
                client_session.closing = client_session.input_closed;
                return;
            }
            body_reader body(message->body);
            const std::uint32_t code = body.read_uint32();
            if (code == ssl_request || code == gss_request) {
                client_session.output.push_back('N');
                client_session.sendable = client_session.output.size();
            } else if (code == cancel_request) {
                client_session.closing = true;
            } else if (code == protocol_version) {
                open_session(client_session, body);
            } else {
                refuse_connection(client_session, "0A000", "unsupported frontend protocol");
            }
        }
    } catch (const sql_error& error) {
        refuse_connection(client_session, error.sqlstate(), error.what());
    }
}

void server::open_session(session& client_session, body_reader body) {
    while (!body.empty()) {
        const std::string name = body.read_string();
        if (name.empty()) {
            break;
        }
        const std::string value = body.read_string();
        if (name == "application_name") {
            client_session.application_name = value;
        }
    }
    client_session.is_control = client_session.application_name == control_application_name;
    if (client_session.is_control) {
        complete_startup(client_session);
        return;
    }
    const std::size_t open_connections = connection_count();
    client_session.phase = session_phase::opening;
    if (!faults_.reject_sqlstate.empty()) {
        refuse_connection(client_session, faults_.reject_sqlstate,
                          "connection refused by fault injection");
    } else if (open_connections >= settings_.max_connections) {
        refuse_connection(client_session, "53300", "sorry, too many clients already");
    } else {
        timers_.schedule(clock_type::now() + settings_.connection_cost,
                         [this, id = client_session.id] {
                             const auto found = runner_.sessions().find(id);
                             if (found != runner_.sessions().end()) {
                                 complete_startup(found->second);
                             }
                         });
    }
}

void server::refuse_connection(session& client_session, const std::string& sqlstate,
                               const std::string& message) const {
    message_writer(client_session.output).write_error("FATAL", sqlstate, message);
    client_session.sendable = client_session.output.size();
    client_session.closing = true;
}

void server::complete_startup(session& client_session) {
    message_writer writer(client_session.output);
    writer.write_authentication_ok();
    writer.write_parameter_status("server_version", "15.0");
    writer.write_parameter_status("server_encoding", "UTF8");
    writer.write_parameter_status("client_encoding", "UTF8");
    writer.write_parameter_status("application_name", client_session.application_name);
    writer.write_parameter_status("integer_datetimes", "on");
    writer.write_parameter_status("standard_conforming_strings", "on");
    writer.write_backend_key(static_cast<std::uint32_t>(client_session.id), 0);
    writer.write_ready('I');
    client_session.sendable = client_session.output.size();
    client_session.phase = session_phase::ready;
    runner_.enqueue(client_session.id);
}

std::size_t server::connection_count() {
    std::size_t count = 0;
    for (const auto& [id, client_session] : runner_.sessions()) {
        const bool is_counted =
            client_session.phase != session_phase::startup && !client_session.is_control;
        count += is_counted && !client_session.closing && !client_session.broken ? 1U : 0U;
    }
    return count;
}

void server::remove_closed_sessions() {
    std::map<session_id, session>& sessions = runner_.sessions();
    for (auto entry = sessions.begin(); entry != sessions.end();) {
        session& client_session = entry->second;
        const bool is_output_finished =
            client_session.closing && (client_session.sendable == 0 || client_session.input_closed);
        if (!client_session.broken && !(is_output_finished && !is_suspended(client_session))) {
            ++entry;
            continue;
        }
        if (client_session.socket >= 0) {
            ::close(std::exchange(client_session.socket, -1));
        }
        if (client_session.running && client_session.running->stage == statement_stage::service) {
            ++entry;
            continue;
        }
        runner_.end_session(client_session);
        entry = sessions.erase(entry);
    }
}

void server::receive_replication() {
    while (std::optional<v1::ReplicationMessage> message = link_.receive()) {
        if (!faults_.replication_cut) {
            member_.receive(*message, clock_type::now());
        }
    }
}

void server::send_replication(const std::string& to, const v1::ReplicationMessage& message) {
    if (faults_.replication_cut) {
        return;
    }
    if (settings_.link_delay.count() == 0) {
        link_.send(to, message);
        return;
    }
    timers_.schedule(clock_type::now() + settings_.link_delay, [this, to, message] {
        if (!faults_.replication_cut) {
            link_.send(to, message);
        }
    });
}

void server::apply_members(const std::map<std::string, member_ports>& members) {
    std::vector<std::string> names;
    std::map<std::string, std::uint16_t> ports;
    for (const auto& [id, member] : members) {
        names.push_back(id);
        if (id != settings_.id) {
            ports[id] = member.replication;
        }
    }
    member_.set_members(names);
    link_.set_members(ports);
}

std::string server::control(const std::string& name, const std::string& value) {
    if (name == "freeze") {
        faults_.frozen = parse_switch(value);
    } else if (name == "lag_ms") {
        member_.set_lag(std::chrono::milliseconds(parse_integer(value)));
    } else if (name == "cut_replication") {
        faults_.replication_cut = parse_switch(value);
    } else if (name == "service_time_us") {
        runner_.set_service_time(std::chrono::microseconds(parse_integer(value)));
    } else if (name == "reject_connections") {
        constexpr std::size_t sqlstate_length = 5;
        const bool is_sqlstate = value.size() == sqlstate_length;
        faults_.reject_sqlstate = is_sqlstate ? value : parse_switch(value) ? "57P03" : "";
    } else if (name == "drop_after_commit") {
        runner_.drop_next_commit();
    } else if (name == "isolate") {
        const std::vector<std::string> clients = split_list(value);
        faults_.isolated_clients = {clients.begin(), clients.end()};
    } else if (name == "members") {
        apply_members(parse_members(value));
    } else {
        throw sql_error("22023", "unknown standin_control setting " + name);
    }
    return "ok";
}

} // namespace lovagemoor::standin_target
