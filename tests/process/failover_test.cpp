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

/// Inserts orders with fresh identifiers through one host after the other.
class order_writer {
public:
    explicit order_writer(cluster& system) {
        for (const cluster_host& host : system.hosts()) {
            clients_.emplace_back(host.caller_address);
        }
    }

    /// @return True when the write was acknowledged.
    bool write(std::size_t host, bool keyed) {
        const std::string id = std::to_string(++last_);
        core::execute_request request = insert_order(id, "barn", 1);
        request.timeout = 2s;
        if (keyed) {
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

    bool write_anywhere() { return write(last_ % clients_.size(), true); }

    [[nodiscard]] const std::set<std::string>& acknowledged() const { return acknowledged_; }

    [[nodiscard]] const std::set<std::string>& refused() const { return refused_; }

private:
    std::vector<caller_client> clients_;
    std::set<std::string> acknowledged_;
    std::set<std::string> refused_;
    std::size_t last_ = 0;
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

/// Checks that nothing acknowledged is lost or doubled and nothing refused was run.
void check_stored(const order_writer& writer, const cluster_target& primary) {
    const std::multiset<std::string> stored = stored_orders(primary);
    for (const std::string& id : writer.acknowledged()) {
        BOOST_TEST(stored.count(id) == 1U, "acknowledged order " << id << " is lost or doubled");
    }
    for (const std::string& id : writer.refused()) {
        BOOST_TEST(stored.count(id) == 0U, "refused order " << id << " was run");
    }
}

struct loss_case {
    const char* name;
    std::function<void(cluster&, cluster_target&)> lose;
};

std::ostream& operator<<(std::ostream& out, const loss_case& value) {
    return out << value.name;
}

const std::vector<loss_case> loss_cases{
    {"killed",
     [](cluster& /*system*/, cluster_target& primary) { primary.process->send_signal(SIGKILL); }},
    {"frozen",
     [](cluster& /*system*/, cluster_target& primary) { primary.process->send_signal(SIGSTOP); }},
    {"isolated with its hosts", [](cluster& system, cluster_target& primary) {
         system.isolate_domain(primary.domain, true);
     }}};

std::size_t host_outside(cluster& system, const core::domain_id& domain) {
    std::size_t index = 0;
    while (system.hosts().at(index).domain == domain) {
        ++index;
    }
    return index;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failover)

// Guards against a lost primary that is not replaced, and against acknowledged writes that do not
// survive the change.
BOOST_DATA_TEST_CASE(a_lost_primary_is_replaced_without_losing_writes, loss_cases, sample) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    for (int count = 0; count < 20; ++count) {
        BOOST_REQUIRE(writer.write_anywhere());
    }
    cluster_target& old_primary = system.find_primary(group);
    sample.lose(system, old_primary);
    const std::size_t survivor = host_outside(system, old_primary.domain);
    BOOST_REQUIRE(wait_until(20s, [&writer, survivor] { return writer.write(survivor, true); }));
    cluster_target& new_primary = system.find_primary(group);
    BOOST_TEST(new_primary.id.value != old_primary.id.value);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(writer.write(survivor, false));
    }
    check_stored(writer, new_primary);
}

// Guards against a replaced primary that still acknowledges writes of callers on its side of a
// partition.
BOOST_AUTO_TEST_CASE(an_isolated_primary_acknowledges_nothing) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    BOOST_REQUIRE(writer.write_anywhere());
    cluster_target& old_primary = system.find_primary(group);
    system.isolate_domain(old_primary.domain, true);
    std::size_t inside = 0;
    while (system.hosts().at(inside).domain != old_primary.domain) {
        ++inside;
    }
    for (int count = 0; count < 3; ++count) {
        BOOST_TEST(!writer.write(inside, false));
    }
    const std::size_t survivor = host_outside(system, old_primary.domain);
    BOOST_REQUIRE(wait_until(20s, [&writer, survivor] { return writer.write(survivor, true); }));
    system.restore_links();
    BOOST_REQUIRE(wait_until(20s, [&writer, inside] { return writer.write(inside, true); }));
    check_stored(writer, system.find_primary(group));
}

// Guards against a host that wakes with an outdated view and acknowledges a write by the primary
// of an earlier term.
BOOST_AUTO_TEST_CASE(a_host_paused_past_a_failover_acts_on_nothing_outdated) {
    cluster system{cluster_options{}};
    order_writer writer{system};
    BOOST_REQUIRE(writer.write_anywhere());
    cluster_target& old_primary = system.find_primary(group);
    std::size_t paused = 0;
    while (system.hosts().at(paused).domain != old_primary.domain) {
        ++paused;
    }
    system.hosts().at(paused).process->send_signal(SIGSTOP);
    old_primary.process->send_signal(SIGSTOP);
    const std::size_t survivor = host_outside(system, old_primary.domain);
    BOOST_REQUIRE(wait_until(20s, [&writer, survivor] { return writer.write(survivor, true); }));
    old_primary.process->send_signal(SIGCONT);
    system.hosts().at(paused).process->send_signal(SIGCONT);
    writer.write(paused, false);
    BOOST_REQUIRE(wait_until(20s, [&writer, paused] { return writer.write(paused, true); }));
    check_stored(writer, system.find_primary(group));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
