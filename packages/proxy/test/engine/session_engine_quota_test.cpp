#include "fake_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;
using kind = statement_kind;

const core::organisation_id org{"o"};

session_engine_settings settings_with_quota(std::chrono::milliseconds window = 5000ms) {
    session_engine_settings settings = fake_cluster::default_settings();
    settings.quota = {window, 0.1, 20, 250ms};
    return settings;
}

void limit(fake_cluster& cluster, std::int64_t version, double rate_per_s) {
    configuration config;
    config.version = version;
    config.routes["own"] = std::make_shared<const route>(route{"own", core::service_id{"s"},
                                                               read_consistency::read_your_writes,
                                                               2000ms, 1000ms, 200ms, 1, true});
    config.services[core::service_id{"s"}] = {30, 0};
    config.organisations[org] = {org, rate_per_s, 10};
    config.keys["key"] = org;
    cluster.apply(configuration_changed{config});
}

fake_cluster started(double rate_per_s = 10, std::chrono::milliseconds window = 5000ms) {
    fake_cluster cluster{1, settings_with_quota(window)};
    cluster.start_reference();
    limit(cluster, 2, rate_per_s);
    cluster.run_for(500ms);
    return cluster;
}

std::string error_of(const fake_cluster& cluster, const std::string& id) {
    const auto given = cluster.answer(id);
    if (!given.has_value()) {
        return "no answer";
    }
    return given->result.error.has_value() ? given->result.error->text : "";
}

std::vector<quota_request> requests(const fake_cluster& cluster) {
    std::vector<quota_request> sent;
    for (const request_quota& action : cluster.performed<request_quota>()) {
        sent.push_back(action.request);
    }
    return sent;
}

/// @brief Answers the newest request for tokens.
void grant(fake_cluster& cluster, unsigned count, std::chrono::milliseconds retry_after = 0ms) {
    cluster.apply(
        quota_answered{{requests(cluster).back().number, count, 250ms, retry_after, false}});
}

} // namespace

// Guards against operations that are sent to a target before their token is granted.
BOOST_AUTO_TEST_CASE(a_statement_waits_for_its_token) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "no answer");
    BOOST_TEST(cluster.ran_at(write).empty());
    BOOST_REQUIRE(requests(cluster).size() == 1U);
    BOOST_TEST((requests(cluster).front().organisation == org));
    grant(cluster, 1);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "");
    BOOST_TEST(cluster.violations().empty());
}

// Guards against a transaction that counts several times, and against commands that the host
// answers itself and that count at all.
BOOST_AUTO_TEST_CASE(a_transaction_takes_one_token) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    cluster.set_value(caller, "v", "1");
    cluster.send(caller, kind::prepare, "p", "shape", true);
    const std::string begin = cluster.send(caller, kind::begin);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, begin) == "");
    BOOST_TEST(requests(cluster).empty());
    const std::string first = cluster.send(caller, kind::write, "x");
    cluster.run_for(30ms);
    grant(cluster, 1);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, first) == "");
    const std::string second = cluster.send(caller, kind::write, "y");
    const std::string commit = cluster.send(caller, kind::commit);
    cluster.run_for(100ms);
    BOOST_TEST(error_of(cluster, second) == "");
    BOOST_TEST(error_of(cluster, commit) == "");
    BOOST_TEST(requests(cluster).size() == 1U);
    BOOST_TEST(cluster.violations().empty());
}

// Guards against refusals that are late, name no time or concern statements that ran.
BOOST_AUTO_TEST_CASE(a_statement_above_the_quota_is_refused_at_once) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(5ms);
    for (unsigned slot = 0; slot < slots_per_organisation; ++slot) {
        grant(cluster, 0, std::chrono::milliseconds{300 + 100 * slot});
    }
    BOOST_REQUIRE(cluster.answer(write).has_value());
    const statement_error error = *cluster.answer(write)->result.error;
    BOOST_TEST((error.kind == statement_error_kind::busy));
    BOOST_TEST(error.retry_after.value().count() >= 295);
    BOOST_TEST(error.retry_after.value().count() <= 300);
    cluster.run_for(200ms);
    BOOST_TEST(cluster.ran_at(write).empty());
    BOOST_TEST(requests(cluster).size() == slots_per_organisation);
    // Further statements are refused without a message.
    const std::string next = cluster.send(caller, kind::write, "x");
    BOOST_TEST(error_of(cluster, next) == "the quota of the organisation is used up");
    BOOST_TEST(requests(cluster).size() == slots_per_organisation);
}

// Guards against a transaction whose first statement is refused and that goes on.
BOOST_AUTO_TEST_CASE(a_refused_transaction_fails) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    cluster.send(caller, kind::begin);
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(5ms);
    for (unsigned slot = 0; slot < slots_per_organisation; ++slot) {
        grant(cluster, 0, 300ms);
    }
    BOOST_TEST(error_of(cluster, write) == "the quota of the organisation is used up");
    const std::string rollback = cluster.send(caller, kind::rollback);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, rollback) == "");
    BOOST_TEST(cluster.violations().empty());
}

// Guards against retries that take further tokens.
BOOST_AUTO_TEST_CASE(a_retry_takes_no_token) {
    fake_cluster cluster = started();
    for (auto& [id, target] : cluster.targets) {
        target.busy = true;
    }
    const session_id caller = cluster.open("own", "key");
    const std::string read = cluster.send(caller, kind::read, "x");
    cluster.run_for(5ms);
    grant(cluster, 1);
    cluster.run_for(60ms);
    for (auto& [id, target] : cluster.targets) {
        target.busy = false;
    }
    cluster.run_for(500ms);
    BOOST_TEST(error_of(cluster, read) == "");
    BOOST_TEST(requests(cluster).size() == 1U);
}

// Guards against tokens that count when they are granted: an operation that waits for a connection
// while its token expires needs another one, as it is sent in a later window.
BOOST_AUTO_TEST_CASE(a_token_that_expired_in_the_queue_is_replaced) {
    fake_cluster cluster = started();
    for (auto& [id, target] : cluster.targets) {
        target.connect_time = 400ms;
    }
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(2ms);
    grant(cluster, 1);
    cluster.run_for(395ms);
    const std::size_t before = requests(cluster).size();
    BOOST_TEST(before == 1U);
    BOOST_TEST(error_of(cluster, write) == "no answer");
    cluster.run_for(50ms);
    BOOST_REQUIRE(requests(cluster).size() == before + 1);
    BOOST_TEST(cluster.ran_at(write).empty());
    grant(cluster, 1);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "");
}

namespace {

struct wait_case {
    const char* name;
    /// Called for each request for tokens.
    std::function<void(fake_cluster&)> answer;
    core::duration longest;
    std::string error;

    friend std::ostream& operator<<(std::ostream& output, const wait_case& value) {
        return output << value.name;
    }
};

const char* const no_owner = "no owner of the organisation's quota answers";

const wait_case wait_cases[] = {
    {"no owner answers", [](fake_cluster&) {}, 330ms, no_owner},
    {"no owner is known",
     [](fake_cluster& cluster) {
         cluster.apply(quota_owner_unreachable{requests(cluster).back().number});
     },
     30ms, no_owner},
    {"the hosts that are asked do not own the slots",
     [](fake_cluster& cluster) {
         cluster.apply(quota_answered{{requests(cluster).back().number, 0, 0ms, 0ms, true}});
     },
     30ms, no_owner},
};

} // namespace

// Guards against statements that wait until their deadline for an owner that is gone.
BOOST_DATA_TEST_CASE(waiting_for_a_token_is_short, boost::unit_test::data::make(wait_cases),
                     tested) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    const core::time_point sent = cluster.now();
    const std::string write = cluster.send(caller, kind::write, "x");
    std::size_t answered = 0;
    while (!cluster.answer(write).has_value() && cluster.now() - sent < 1s) {
        while (answered < requests(cluster).size()) {
            ++answered;
            tested.answer(cluster);
        }
        cluster.run_for(5ms);
    }
    BOOST_TEST(error_of(cluster, write) == tested.error);
    BOOST_TEST((cluster.answer(write)->at - sent <= tested.longest));
    BOOST_TEST(cluster.answer(write)->result.error->retry_after.value().count() > 0);
    BOOST_TEST(cluster.ran_at(write).empty());
}

// Guards against a host without owners that serves nothing although it may use its part of the
// floor.
BOOST_AUTO_TEST_CASE(a_host_without_owners_uses_the_floor) {
    fake_cluster cluster = started(100);
    cluster.apply(quota_floor_changed{{2, cluster.now() + 1min}});
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    for (unsigned slot = 0; slot < slots_per_organisation; ++slot) {
        cluster.run_for(3ms);
        cluster.apply(quota_owner_unreachable{requests(cluster).back().number});
    }
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "");
}

namespace {

struct unlimited_case {
    const char* name;
    double rate_per_s;
    std::chrono::milliseconds window;

    friend std::ostream& operator<<(std::ostream& output, const unlimited_case& value) {
        return output << value.name;
    }
};

const unlimited_case unlimited_cases[] = {
    {"the organisation has no rate", 0, 5000ms},
    {"the settings have no window", 10, 0ms},
};

} // namespace

// Guards against quotas where neither configuration nor settings call for them.
BOOST_DATA_TEST_CASE(without_a_quota_no_token_is_needed,
                     boost::unit_test::data::make(unlimited_cases), tested) {
    fake_cluster cluster = started(tested.rate_per_s, tested.window);
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "");
    BOOST_TEST(requests(cluster).empty());
}

// Guards against statements that stay in the queue after the limit they wait for was removed.
BOOST_AUTO_TEST_CASE(waiting_statements_run_when_the_limit_is_removed) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own", "key");
    const std::string write = cluster.send(caller, kind::write, "x");
    cluster.run_for(10ms);
    limit(cluster, 3, 0);
    cluster.run_for(80ms);
    BOOST_TEST(error_of(cluster, write) == "");
}

// Guards against a crash or a lost token when a caller goes away while it waits.
BOOST_AUTO_TEST_CASE(a_caller_leaves_while_it_waits) {
    fake_cluster cluster = started();
    const session_id leaving = cluster.open("own", "key");
    const session_id staying = cluster.open("own", "key");
    cluster.send(leaving, kind::write, "x");
    const std::string write = cluster.send(staying, kind::write, "x");
    cluster.run_for(5ms);
    cluster.close(leaving);
    grant(cluster, 1);
    cluster.run_for(50ms);
    BOOST_TEST(error_of(cluster, write) == "");
}

} // namespace lovagemoor::proxy
