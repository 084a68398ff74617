#include "relay_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

/// @file
/// @brief How often the hosts of two regions read the configuration from the registry.

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using model::model_host;
using model::model_link;
using model::model_store;
using model::schedule;
using std::chrono::milliseconds;

/// Times that a region may read a changed configuration from the registry, whatever the number of
/// its hosts.
constexpr int max_reads_of_region = 8;

/// Bound of the reference deployments with several regions on the time until a configuration is in
/// force.
constexpr milliseconds configuration_bound{5000};

enum class disturbance { none, relays_killed, most_hosts_killed, relays_restarted, relays_cut_off };

struct change_case {
    const char* name;
    std::size_t hosts;
    disturbance kind;
    /// From the start of the hosts.
    milliseconds disturbed_at;
    milliseconds changed_at;

    friend std::ostream& operator<<(std::ostream& out, const change_case& value) {
        return out << value.name;
    }
};

const std::array<change_case, 7> change_cases{{
    {"18 s after the start", 78, disturbance::none, 0ms, 18000ms},
    {"18 s after the start of 300 hosts", 300, disturbance::none, 0ms, 18000ms},
    {"after the loss of all relays", 78, disturbance::relays_killed, 28000ms, 30000ms},
    {"after the loss of 60% of the hosts", 78, disturbance::most_hosts_killed, 28000ms, 30000ms},
    {"after the loss of 60% of 300 hosts", 300, disturbance::most_hosts_killed, 28000ms, 30000ms},
    {"after a restart of all relays", 78, disturbance::relays_restarted, 28000ms, 30000ms},
    {"while the relays are cut off from the registry", 78, disturbance::relays_cut_off, 28000ms,
     30000ms},
}};

class region_cluster {
public:
    explicit region_cluster(std::size_t size) {
        store_.page_size = 10;
        store_.write(model::configuration_key, "1");
        std::vector<link_peer> peers;
        for (std::size_t index = 0; index < size; ++index) {
            const std::string region = index % 2 == 0 ? "near" : "far";
            const std::string domain = region + "-" + std::to_string(index / 2 % 3);
            // Every sixth host is a large one, as in the reference deployments.
            peers.push_back({core::host_id{"h-" + std::to_string(index)}, core::domain_id{domain},
                             region, index / 2 % 6 == 0 ? 0.5 : 0.12, "127.0.0.1:1"});
        }
        for (std::size_t index = 0; index < size; ++index) {
            hosts_.push_back(std::make_unique<model_host>(tasks_, store_, link_, index, peers, 0));
            hosts_.back()->single_document = true;
            link_.add(*hosts_.back());
        }
        for (const std::unique_ptr<model_host>& host : hosts_) {
            host->begin();
        }
    }

    void run_for(milliseconds time) { tasks_.run_until(tasks_.now() + time); }

    void disturb(disturbance kind) {
        constexpr milliseconds for_good{60000};
        constexpr milliseconds restart_time{1000};
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            model_host& host = *hosts_[index];
            const bool is_relay = host.is_relay();
            if (kind == disturbance::relays_cut_off && is_relay) {
                host.cut_off = true;
            } else if (kind == disturbance::relays_restarted && is_relay) {
                host.kill(restart_time);
            } else if ((kind == disturbance::relays_killed && is_relay) ||
                       (kind == disturbance::most_hosts_killed && (is_relay || index % 5 < 3))) {
                host.kill(for_good);
            }
        }
    }

    void change_configuration() {
        for (const std::unique_ptr<model_host>& host : hosts_) {
            host->document_reads = 0;
        }
        store_.write(model::configuration_key, "2");
    }

    /// @return Reads of the configuration from the registry since its change, by region.
    [[nodiscard]] std::map<std::string, int> reads() const {
        std::map<std::string, int> result;
        for (const std::unique_ptr<model_host>& host : hosts_) {
            result[host->region()] += host->document_reads;
        }
        return result;
    }

    /// @return Number of running hosts that reach the registry and lack the change.
    [[nodiscard]] int late_hosts() const {
        int late = 0;
        for (const std::unique_ptr<model_host>& host : hosts_) {
            late += host->running() && !host->cut_off && host->configuration() != 2 ? 1 : 0;
        }
        return late;
    }

private:
    schedule tasks_;
    model_store store_{tasks_, 1};
    model_link link_{tasks_, store_};
    std::vector<std::unique_ptr<model_host>> hosts_;
};

} // namespace

// Guards against a change of a large configuration that each host of a region reads from the
// registry itself, which fills the link between the regions (CONFIG, issue 54).
BOOST_DATA_TEST_CASE(a_region_reads_a_changed_configuration_a_few_times, change_cases) {
    region_cluster cluster{sample.hosts};
    cluster.run_for(sample.disturbed_at);
    cluster.disturb(sample.kind);
    cluster.run_for(sample.changed_at - sample.disturbed_at);
    cluster.change_configuration();
    cluster.run_for(configuration_bound);
    BOOST_TEST(cluster.late_hosts() == 0);
    for (const auto& [region, reads] : cluster.reads()) {
        BOOST_TEST(reads <= max_reads_of_region, region << ": " << reads << " reads");
    }
}

} // namespace lovagemoor::proxy
