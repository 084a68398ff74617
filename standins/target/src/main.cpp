#include "server.hpp"

#include <gflags/gflags.h>

#include <cstdint>
#include <exception>
#include <iostream>

DEFINE_string(id, "", "identifier of this member of the group");
DEFINE_string(members, "", "members of the group: id=port:replication_port,...");
DEFINE_string(listen, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "client port; 0 uses the port in --members, or else an ephemeral port");
DEFINE_uint32(replication_port, 0,
              "replication port; 0 uses the port in --members, or else an ephemeral port");
DEFINE_uint32(slots, 5, "number of statements that can execute at the same time");
DEFINE_uint32(max_connections, 70,
              "number of connections above which new ones are refused with SQLSTATE 53300");
DEFINE_double(connection_cost_ms, 0, "simulated duration of opening a connection");
DEFINE_uint64(service_time_us, 0, "simulated duration of a statement on a table");
DEFINE_double(link_delay_ms, 0, "one-way delay of replication messages");
DEFINE_bool(primary, false, "start as the primary of term 1");

namespace {

std::chrono::microseconds from_milliseconds(double value) {
    constexpr double microseconds_per_millisecond = 1000;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(value * microseconds_per_millisecond));
}

lovagemoor::standin_target::server_settings read_settings() {
    lovagemoor::standin_target::server_settings settings;
    settings.id = FLAGS_id;
    settings.members = lovagemoor::standin_target::parse_members(FLAGS_members);
    settings.listen_address = FLAGS_listen;
    const auto own_ports = settings.members.find(FLAGS_id);
    if (own_ports != settings.members.end()) {
        settings.port = own_ports->second.client;
        settings.replication_port = own_ports->second.replication;
    }
    if (FLAGS_port != 0) {
        settings.port = static_cast<std::uint16_t>(FLAGS_port);
    }
    if (FLAGS_replication_port != 0) {
        settings.replication_port = static_cast<std::uint16_t>(FLAGS_replication_port);
    }
    settings.slots = FLAGS_slots;
    settings.max_connections = FLAGS_max_connections;
    settings.connection_cost = from_milliseconds(FLAGS_connection_cost_ms);
    settings.service_time = std::chrono::microseconds(FLAGS_service_time_us);
    settings.link_delay = from_milliseconds(FLAGS_link_delay_ms);
    settings.begins_as_primary = FLAGS_primary;
    return settings;
}

} // namespace

int main(int argc, char** argv) {
    try {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        lovagemoor::standin_target::server server(read_settings());
        std::cout << "event=ready id=" << FLAGS_id << " port=" << server.port()
                  << " replication_port=" << server.replication_port() << std::endl;
        server.run();
    } catch (const std::exception& error) {
        std::cerr << "event=start_failed error=\"" << error.what() << "\"\n";
        return 1;
    }
}
