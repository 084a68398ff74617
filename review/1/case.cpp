#include "../standins/client.hpp"
#include "../standins/deployment.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

// A service with a synchronous replica: that replica is cut off from the store only, the other one
// receives nothing, and the primary crashes.

namespace lovagemoor::review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t host_count = 3;

constexpr std::size_t primary = 0;
constexpr std::size_t synchronous = 1;
constexpr std::size_t behind = 2;

/// Length of srv_cut, the default of its for_s.
constexpr std::chrono::seconds cut_length{5};
/// Time for hosts to learn that an entry was removed.
constexpr std::chrono::milliseconds notice{200};
/// Time for a failover after the cut.
constexpr std::chrono::seconds failover_time{8};

/// @brief Sessions that write, one on each host.
using sessions = std::vector<std::unique_ptr<client>>;

void write_for(const sessions& writers, database_group& group, std::chrono::milliseconds duration) {
    const clock::time_point end = clock::now() + duration;
    while (clock::now() < end) {
        for (const std::unique_ptr<client>& writer : writers) {
            if (writer->execute("WRITE kit-7 changed").succeeded()) {
                group.acknowledged(writer->last_id());
            }
        }
        std::this_thread::sleep_for(20ms);
    }
}

verdict play(record& events, deployment& site) {
    database_group& group =
        site.add_group({.service = "orders-1", .id_prefix = "i-first-", .synchronous_replicas = 1});
    // A second service, so that one database is less than a fifth of all.
    site.add_group({.service = "orders-2", .id_prefix = "i-second-"});
    site.configure({{"kits", "orders-1", "primary", 1000, 200, 0}}, 1);
    if (!site.start_hosts(host_count)) {
        return verdict::not_run;
    }
    sessions writers;
    for (std::size_t host = 0; host < host_count; ++host) {
        writers.push_back(std::make_unique<client>(events, "session-" + std::to_string(host + 1),
                                                   site.client_port(host)));
        if (!writers.back()->start("kits")) {
            return verdict::not_run;
        }
    }
    // Hosts list each other every 8 s.
    write_for(writers, group, 9s);
    const clock::time_point cut_at = clock::now();
    if (with_disruption()) {
        group.set_deaf(behind, true);
        group.set_cut_from_store(synchronous, true);
    }
    while (with_disruption() && group.registered(synchronous)) {
        write_for(writers, group, 50ms);
    }
    write_for(writers, group, notice);
    if (with_disruption()) {
        group.crash(primary);
    }
    bool healed = false;
    while (clock::now() - cut_at < cut_length + failover_time && group.promotions() == 0) {
        if (!healed && clock::now() - cut_at >= cut_length) {
            group.set_cut_from_store(synchronous, false);
            healed = true;
        }
        std::this_thread::sleep_for(10ms);
    }
    const std::vector<std::string> lost = group.lost_commits();
    for (const std::string& id : lost) {
        events.add("case", "acknowledged, but not in the log of the promoted database: " + id);
    }
    return lost.empty() ? verdict::held : verdict::broken;
}

} // namespace

} // namespace lovagemoor::review

int main(int argc, char** argv) {
    lovagemoor::review::run_case(argc, argv, lovagemoor::review::play);
}
