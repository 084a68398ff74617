#include "../standins/client.hpp"
#include "../standins/deployment.hpp"

#include <thread>

// The store gives no response to one host for two seconds, in which a configuration adds a route.

namespace lovagemoor::review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t host_count = 3;
constexpr std::chrono::milliseconds silence{2000};
/// A host renews its registration at intervals of 3 s.
constexpr std::chrono::seconds renewal_timeout{10};
/// config_apply_ms, and skew_max_ms by which an unstable core stretches it at most.
constexpr std::chrono::milliseconds apply_bound{3000 + 12000};
constexpr std::chrono::seconds observation{28};

const route first_route{"kits", "orders-1", "primary", 1000, 200, 0};
const route added_route{"more-kits", "orders-1", "primary", 1000, 200, 0};

/// @return The answer to a read in a session of its own.
answer read_in_new_session(record& events, deployment& site, std::size_t host,
                           const std::string& name) {
    client session{events, name, site.client_port(host)};
    session.send_bytes("STARTUP more-kits " + name + "\r\n");
    answer result = session.receive(2s);
    if (result.succeeded()) {
        result = session.execute("READ kit-1");
    }
    return result;
}

verdict play(record& events, deployment& site) {
    site.add_group({.service = "orders-1", .id_prefix = "i-"});
    site.configure({first_route});
    if (!site.start_hosts(host_count)) {
        return verdict::not_run;
    }
    std::this_thread::sleep_for(5s);
    if (!site.registry().wait_for_renewal(0, renewal_timeout)) {
        return verdict::not_run;
    }
    std::this_thread::sleep_for(200ms);
    if (with_disruption()) {
        site.registry().set_silent(0, true);
    }
    std::this_thread::sleep_for(silence / 2);
    site.configure({first_route, added_route});
    const clock::time_point acknowledged = clock::now();
    std::this_thread::sleep_for(silence / 2);
    if (with_disruption()) {
        site.registry().set_silent(0, false);
    }
    bool broken = false;
    for (unsigned round = 1; clock::now() - acknowledged < observation; ++round) {
        for (std::size_t host = 0; host < host_count; ++host) {
            const bool is_late = clock::now() - acknowledged > apply_bound;
            const answer result = read_in_new_session(events, site, host,
                                                      "host-" + std::to_string(host + 1) +
                                                          "-client-" + std::to_string(round));
            broken = broken || (is_late && result.error.starts_with("NODB"));
        }
        std::this_thread::sleep_for(500ms);
    }
    return broken ? verdict::broken : verdict::held;
}

} // namespace

} // namespace lovagemoor::review

int main(int argc, char** argv) {
    lovagemoor::review::run_case(argc, argv, lovagemoor::review::play);
}
