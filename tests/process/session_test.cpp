#include <lovagemoor/testbed/cluster.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

namespace {

using namespace std::chrono_literals;

struct lag_case {
    const char* name;
    std::chrono::milliseconds lag;
};

std::ostream& operator<<(std::ostream& out, const lag_case& value) {
    return out << value.name;
}

const std::vector<lag_case> lag_cases{{"no lag", 0ms}, {"lag 50 ms", 50ms}, {"lag 400 ms", 400ms}};

constexpr std::uint32_t update_count = 20;

std::vector<caller_client> connect_to_all(cluster& system) {
    std::vector<caller_client> clients;
    for (const cluster_host& host : system.hosts()) {
        clients.emplace_back(host.caller_address);
    }
    return clients;
}

/// Delays replication to one replica. Writes are still acknowledged, as soon as the other replica
/// has them.
void set_lag_of_one_replica(cluster& system, std::chrono::milliseconds lag) {
    const cluster_target& primary = system.find_primary(core::group_id{"g0"});
    for (const cluster_target& target : system.targets()) {
        if (target.id != primary.id) {
            target_client{target.port}.control("lag_ms", std::to_string(lag.count()));
            return;
        }
    }
}

std::uint32_t quantity_of(const call_reply& reply) {
    return static_cast<std::uint32_t>(std::stoul(reply.rows.at(0).at(2).value()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(session)

// Guards against a session that moves between hosts and reads data older than its own writes. The
// same reads without the session token show that the replication lag does make replicas stale.
BOOST_DATA_TEST_CASE(a_moving_session_reads_its_own_writes, lag_cases, sample) {
    cluster system{cluster_options{}};
    std::vector<caller_client> clients = connect_to_all(system);
    const call_reply inserted = clients.at(0).execute(insert_order("1", "barn", 0));
    BOOST_REQUIRE_MESSAGE(inserted.is_done(), describe(inserted));
    set_lag_of_one_replica(system, sample.lag);
    std::string token = inserted.session_token;
    std::uint32_t stale_without_token = 0;
    for (std::uint32_t quantity = 1; quantity <= update_count; ++quantity) {
        core::execute_request write = update_order("1", quantity);
        write.session_token = token;
        const call_reply written = clients.at(quantity % clients.size()).execute(write);
        BOOST_REQUIRE_MESSAGE(written.is_done(), describe(written));
        token = written.session_token;

        core::execute_request read = select_order("1");
        read.max_staleness = 5000ms;
        caller_client& reader = clients.at((quantity + 1) % clients.size());
        const call_reply read_without_token = reader.execute(read);
        if (read_without_token.is_done() && quantity_of(read_without_token) < quantity) {
            ++stale_without_token;
        }
        read.session_token = token;
        const call_reply read_with_token = reader.execute(read);
        BOOST_REQUIRE_MESSAGE(read_with_token.is_done(), describe(read_with_token));
        BOOST_TEST(quantity_of(read_with_token) == quantity);
        token = read_with_token.session_token;
    }
    if (sample.lag > 100ms) {
        BOOST_TEST(stale_without_token > 0U);
    }
}

// Guards against invalid requests that are run or that change data: a modified session token, an
// unknown service, an empty statement, a timeout of 0, a statement of 2 MB, and a malformed
// transaction handle.
BOOST_AUTO_TEST_CASE(invalid_requests_are_refused_without_changing_data) {
    cluster system{cluster_options{}};
    caller_client client{system.hosts().front().caller_address};
    const call_reply inserted = client.execute(insert_order("1", "barn", 7));
    BOOST_REQUIRE_MESSAGE(inserted.is_done(), describe(inserted));

    core::execute_request changed_token = select_order("1");
    changed_token.session_token = inserted.session_token;
    changed_token.session_token.back() ^= 1;
    core::execute_request unknown_service = select_order("1");
    unknown_service.service = core::service_id{"other"};
    core::execute_request no_statement = select_order("1");
    no_statement.statement.sql.clear();
    core::execute_request no_timeout = select_order("1");
    no_timeout.timeout = core::duration{0};
    core::execute_request oversized = select_order("1");
    oversized.statement.sql.append(2'000'000, ' ');
    core::execute_request bad_handle = select_order("1");
    bad_handle.transaction = "garbage";
    for (const core::execute_request& request :
         {changed_token, unknown_service, no_statement, no_timeout, oversized, bad_handle}) {
        const call_reply reply = client.execute(request);
        BOOST_TEST(std::holds_alternative<core::refused>(reply.result), describe(reply));
    }
    BOOST_TEST(quantity_of(client.execute(select_order("1"))) == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
