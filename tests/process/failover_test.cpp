#include <lovagemoor/testbed/cluster.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <functional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

namespace {

using namespace std::chrono_literals;

const core::group_id group{"g0"};

/// Inserts orders with new identifiers and records which were acknowledged and which were refused.
class order_writer {
public:
    explicit order_writer(cluster& system) {
        for (const cluster_host& host : system.hosts()) {
            clients_.emplace_back(host.caller_address);
        }
    }

    /// @brief Inserts one order through the given host.
    /// @return True if the write was acknowledged.
    bool write(std::size_t host, bool with_idempotency_key) {
        const std::string id = std::to_string(++last_id_);
        core::execute_request request = insert_order(id, "barn", 1);
        request.timeout = 2s;
        if (with_idempotency_key) {
            request.idempotency_key = "key-" + id;
        }
        const call_reply reply = clients_.at(host).execute(request);
        if (reply.is_done()) {
            acknowledged_.insert(id);
        } else if (std::holds_alternative<core::refused>(reply.result)) {
            refused_.insert(id);
        }
        return reply.is_done();
    }

    bool write_through_next_host() { return write(last_id_ % clients_.size(), true); }

    [[nodiscard]] const std::set<std::string>& acknowledged() const { return acknowledged_; }

    [[nodiscard]] const std::set<std::string>& refused() const { return refused_; }

private:
    std::vector<caller_client> clients_;
    std::set<std::string> acknowledged_;
    std::set<std::string> refused_;
    std::size_t last_id_ = 0;
};

std::multiset<std::string> stored_orders(const cluster_target& target) {
    std::multiset<std::string> ids;
    target_client client{target.port};
    for (const std::vector<std::string>& row :
         client.query("SELECT id, kit, quantity FROM orders ORDER BY id")) {
        ids.insert(row.at(0));
    }
    return ids;
}

/// Checks that the primary stores each acknowledged order exactly once and no refused order.
void check_stored(const order_writer& writer, const cluster_target& primary) {
    const std::multiset<std::string> stored = stored_orders(primary);
    for (const std::string& id : writer.acknowledged()) {
        BOOST_TEST(stored.count(id) == 1U,
                   "acknowledged order " << id << " is lost or stored twice");
    }
    for (const std::string& id : writer.refused()) {
        BOOST_TEST(stored.count(id) == 0U, "refused order " << id << " was stored");
    }
}

struct primary_failure {
    const char* name;
    std::function<void(cluster&, cluster_target&)> inject;
};

std::ostream& operator<<(std::ostream& out, const primary_failure& value) {
    return out << value.name;
}

const std::vector<primary_failure> primary_failures{
    {"killed",
     [](cluster& /*system*/, cluster_target& primary) { primary.process->send_signal(SIGKILL); }},
    {"frozen",
     [](cluster& /*system*/, cluster_target& primary) { primary.process->send_signal(SIGSTOP); }},
    {"isolated with its hosts", [](cluster& system, cluster_target& primary) {
         system.isolate_domain(primary.domain, true);
     }}};

std::size_t first_host_outside(cluster& system, const core::domain_id& domain) {
    std::size_t index = 0;
    while (system.hosts().at(index).domain == domain) {
        ++index;
    }
    return index;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failover)

// Guards against a lost primary that is not replaced, and against acknowledged writes that are lost
// or stored twice by the promotion. The primary is killed, frozen, or isolated with the hosts of
// its failure domain.
BOOST_DATA_TEST_CASE(a_lost_primary_is_replaced_without_losing_writes, primary_failures, sample) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    for (int count = 0; count < 20; ++count) {
        BOOST_REQUIRE(writer.write_through_next_host());
    }
    cluster_target& old_primary = system.find_primary(group);
    sample.inject(system, old_primary);
    const std::size_t surviving_host = first_host_outside(system, old_primary.domain);
    BOOST_REQUIRE(
        wait_until(20s, [&writer, surviving_host] { return writer.write(surviving_host, true); }));
    cluster_target& new_primary = system.find_primary(group);
    BOOST_TEST(new_primary.id.value != old_primary.id.value);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(writer.write(surviving_host, false));
    }
    check_stored(writer, new_primary);
}

// Guards against a replaced primary that still acknowledges writes of callers on its side of a
// network partition.
BOOST_AUTO_TEST_CASE(an_isolated_primary_acknowledges_nothing) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    BOOST_REQUIRE(writer.write_through_next_host());
    cluster_target& old_primary = system.find_primary(group);
    system.isolate_domain(old_primary.domain, true);
    std::size_t isolated_host = 0;
    while (system.hosts().at(isolated_host).domain != old_primary.domain) {
        ++isolated_host;
    }
    for (int count = 0; count < 3; ++count) {
        BOOST_TEST(!writer.write(isolated_host, false));
    }
    const std::size_t surviving_host = first_host_outside(system, old_primary.domain);
    BOOST_REQUIRE(
        wait_until(20s, [&writer, surviving_host] { return writer.write(surviving_host, true); }));
    system.restore_links();
    BOOST_REQUIRE(
        wait_until(20s, [&writer, isolated_host] { return writer.write(isolated_host, true); }));
    check_stored(writer, system.find_primary(group));
}

// Guards against a host that is paused during a failover, resumes with an outdated view and
// acknowledges a write that ran on the primary of the earlier term.
BOOST_AUTO_TEST_CASE(a_host_paused_during_a_failover_uses_no_outdated_primary) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    BOOST_REQUIRE(writer.write_through_next_host());
    cluster_target& old_primary = system.find_primary(group);
    std::size_t paused_host = 0;
    while (system.hosts().at(paused_host).domain != old_primary.domain) {
        ++paused_host;
    }
    system.hosts().at(paused_host).process->send_signal(SIGSTOP);
    old_primary.process->send_signal(SIGSTOP);
    const std::size_t surviving_host = first_host_outside(system, old_primary.domain);
    BOOST_REQUIRE(
        wait_until(20s, [&writer, surviving_host] { return writer.write(surviving_host, true); }));
    old_primary.process->send_signal(SIGCONT);
    system.hosts().at(paused_host).process->send_signal(SIGCONT);
    writer.write(paused_host, false);
    BOOST_REQUIRE(
        wait_until(20s, [&writer, paused_host] { return writer.write(paused_host, true); }));
    check_stored(writer, system.find_primary(group));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
