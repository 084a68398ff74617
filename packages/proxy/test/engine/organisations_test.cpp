#include "fake_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;

session_engine_settings settings_with_withdrawal() {
    session_engine_settings settings = fake_cluster::default_settings();
    settings.key_withdrawal = 5000ms;
    return settings;
}

configuration configuration_with(std::int64_t version,
                                 const std::map<std::string, std::string>& keys) {
    configuration config;
    config.version = version;
    route keyed{"keyed", core::service_id{"s"}, read_consistency::latest, 0ms, 1000ms, 200ms, 1};
    keyed.requires_key = true;
    route open = keyed;
    open.database = "open";
    open.requires_key = false;
    config.routes["keyed"] = std::make_shared<const route>(keyed);
    config.routes["open"] = std::make_shared<const route>(open);
    config.services[core::service_id{"s"}] = {30, 0};
    for (const auto& [key, holder] : keys) {
        const core::organisation_id id{holder};
        config.keys[key] = id;
        config.organisations[id].id = id;
    }
    return config;
}

/// @brief A host with two organisations whose configuration is proved to be the newest.
struct keyed_host {
    keyed_host() {
        cluster.start_reference();
        configure(2, {{"key-a", "org-a"}, {"key-b", "org-b"}});
        confirm();
        cluster.run_for(500ms);
        confirm();
    }

    void configure(std::int64_t version, const std::map<std::string, std::string>& keys) {
        cluster.apply(configuration_changed{configuration_with(version, keys)});
    }

    void confirm() { cluster.apply(configuration_confirmed{cluster.now()}); }

    session_id open(const std::string& key, const std::string& database = "keyed") {
        const session_id id = ++last_session;
        cluster.apply(session_opened{id, database, key});
        return id;
    }

    std::optional<statement_result> run(session_id session, statement_kind kind) {
        const std::string id = cluster.send(session, kind, "x");
        cluster.run_for(100ms);
        ran = cluster.ran_at(id).size();
        const auto answer = cluster.answer(id);
        return answer.has_value() ? std::optional<statement_result>{answer->result} : std::nullopt;
    }

    std::optional<statement_error_kind> error_of(session_id session, statement_kind kind) {
        const std::optional<statement_result> result = run(session, kind);
        BOOST_REQUIRE(result.has_value());
        return result->error.has_value() ? std::optional{result->error->kind} : std::nullopt;
    }

    fake_cluster cluster{1, settings_with_withdrawal()};
    session_id last_session = 100;
    /// Number of times that the last statement ran.
    std::size_t ran = 0;
};

struct opening {
    std::string name;
    std::string key;
    std::string database;
    bool accepted;
};

std::ostream& operator<<(std::ostream& out, const opening& sample) {
    return out << sample.name;
}

const std::vector<opening> openings{
    {"a known key", "key-a", "keyed", true},
    {"an unknown key", "key-c", "keyed", false},
    {"no key", "", "keyed", false},
    {"the name of an organisation", "org-a", "keyed", false},
    {"a route without keys", "u3f1", "open", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(organisations)

// Guards against callers without a key of any organisation.
BOOST_DATA_TEST_CASE(sessions_need_a_known_key, boost::unit_test::data::make(openings)) {
    keyed_host host;
    (void)host.open(sample.key, sample.database);
    const std::vector<reject_session> rejected = host.cluster.performed<reject_session>();
    BOOST_TEST(rejected.empty() == sample.accepted);
    if (!sample.accepted) {
        BOOST_TEST((rejected.front().error.kind == statement_error_kind::not_authorized));
    }
}

// Guards against a statement that runs on a connection of another organisation, and against targets
// that are told a key.
BOOST_AUTO_TEST_CASE(connections_belong_to_one_organisation) {
    keyed_host host;
    const session_id first = host.open("key-a");
    const session_id second = host.open("key-b");
    for (int round = 0; round < 3; ++round) {
        for (const session_id caller : {first, second}) {
            BOOST_TEST(!host.error_of(caller, statement_kind::write).has_value());
        }
    }
    std::map<core::connection_id, core::organisation_id> opened;
    for (const open_target& request : host.cluster.performed<open_target>()) {
        opened[request.connection] = request.organisation;
        BOOST_TEST(request.organisation.value.find("key") == std::string::npos);
    }
    std::map<std::string, int> statements;
    for (const send_commands& sent : host.cluster.performed<send_commands>()) {
        for (const target_command& command : sent.commands) {
            if (!command.id.empty()) {
                ++statements[opened[sent.connection].value];
            }
        }
    }
    BOOST_TEST(statements["org-a"] == 3);
    BOOST_TEST(statements["org-b"] == 3);
}

// Guards against a key that stays in use in sessions that were open when it was withdrawn.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_ends_open_sessions) {
    keyed_host host;
    const session_id idle = host.open("key-a");
    const session_id active = host.open("key-a");
    const session_id other = host.open("key-b");
    BOOST_TEST(!host.error_of(active, statement_kind::begin).has_value());
    BOOST_TEST(!host.error_of(active, statement_kind::write).has_value());

    host.configure(3, {{"key-b", "org-b"}});
    host.confirm();
    BOOST_TEST(
        (host.error_of(active, statement_kind::write) == statement_error_kind::not_authorized));
    BOOST_TEST(host.ran == 0U);
    BOOST_TEST((host.error_of(active, statement_kind::commit) == statement_error_kind::malformed));
    BOOST_TEST((host.error_of(idle, statement_kind::read) == statement_error_kind::not_authorized));
    BOOST_TEST(host.ran == 0U);
    BOOST_TEST(!host.error_of(other, statement_kind::write).has_value());
    BOOST_TEST(host.cluster.violations().empty());
}

// Guards against a withdrawn key that a host which is cut off from the registry goes on using, also
// if the host was suspended meanwhile.
BOOST_AUTO_TEST_CASE(keys_are_used_only_while_the_configuration_is_proved) {
    keyed_host host;
    const session_id caller = host.open("key-a");
    const session_id open_route = host.open("", "open");
    host.cluster.run_for(4500ms);
    BOOST_TEST(!host.error_of(caller, statement_kind::write).has_value());
    host.cluster.run_for(200ms);
    const std::optional<statement_result> refused = host.run(caller, statement_kind::write);
    BOOST_REQUIRE(refused.has_value() && refused->error.has_value());
    BOOST_TEST((refused->error->kind == statement_error_kind::busy));
    BOOST_TEST(refused->error->retry_after.has_value());
    BOOST_TEST(host.ran == 0U);
    BOOST_TEST(!host.error_of(open_route, statement_kind::write).has_value());
    BOOST_TEST(!host.cluster.performed<set_ready>().back().ready);

    host.confirm();
    host.cluster.run_for(100ms);
    BOOST_TEST(host.cluster.performed<set_ready>().back().ready);
    BOOST_TEST(!host.error_of(host.open("key-a"), statement_kind::write).has_value());
}

// Guards against a transaction that goes on, or is said to have been kept, after the proof lapsed.
BOOST_AUTO_TEST_CASE(a_transaction_is_aborted_without_a_proof) {
    keyed_host host;
    const session_id caller = host.open("key-a");
    BOOST_TEST(!host.error_of(caller, statement_kind::begin).has_value());
    host.cluster.run_for(2300ms);
    BOOST_TEST(!host.error_of(caller, statement_kind::write).has_value());
    host.cluster.run_for(2400ms);
    BOOST_TEST((host.error_of(caller, statement_kind::commit) == statement_error_kind::aborted));
    BOOST_TEST(host.ran == 0U);
}

// Guards against a withdrawn key that is in use again after the registry came back from a copy.
BOOST_AUTO_TEST_CASE(a_copy_does_not_bring_a_withdrawn_key_back) {
    keyed_host host;
    const session_id caller = host.open("key-a");
    host.configure(4, {{"key-b", "org-b"}});
    host.confirm();
    host.cluster.apply(registry_restored{1, 2});
    host.configure(2, {{"key-a", "org-a"}, {"key-b", "org-b"}});
    host.confirm();
    BOOST_TEST(
        (host.error_of(caller, statement_kind::write) == statement_error_kind::not_authorized));
}

// Guards against keys in log lines.
BOOST_AUTO_TEST_CASE(keys_are_not_logged) {
    keyed_host host;
    const session_id caller = host.open("key-a");
    (void)host.open("key-unknown");
    (void)host.run(caller, statement_kind::write);
    host.configure(3, {});
    (void)host.run(caller, statement_kind::write);
    for (const core::log_event& line : host.cluster.performed<core::log_event>()) {
        for (const auto& [name, value] : line.fields) {
            BOOST_TEST(value.find("key-") == std::string::npos);
        }
    }
    for (const core::count_metric& metric : host.cluster.performed<core::count_metric>()) {
        for (const auto& [name, value] : metric.labels) {
            BOOST_TEST(value.find("key-") == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::proxy
