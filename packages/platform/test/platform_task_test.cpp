#include <lovagemoor/platform/platform_task.hpp>

#include "standin_process.hpp"

#include <lovagemoor/codec/record_codec.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include <etcd.grpc.pb.h>
#include <standin_platform.grpc.pb.h>

#include <boost/test/unit_test.hpp>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using lovagemoor::platform::platform_settings;
using lovagemoor::platform::platform_task;
using lovagemoor::platform::standin_process;
namespace codec = lovagemoor::codec;
namespace core = lovagemoor::core;
namespace v1 = lovagemoor::standin_platform::v1;

namespace {

/// Maximum duration of each wait. No test checks how long an operation takes.
constexpr std::chrono::seconds max_wait = 20s;

/// @brief Queue of the task's events in the order of their arrival.
class event_log {
public:
    void push(core::event event) {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(event));
        arrived_.notify_all();
    }

    /// @brief Waits for the next event, which must be of the given type.
    template <typename T>
    T next() {
        std::unique_lock lock(mutex_);
        BOOST_TEST_REQUIRE(arrived_.wait_for(lock, max_wait, [this] { return !events_.empty(); }));
        core::event event = std::move(events_.front());
        events_.pop_front();
        BOOST_TEST_REQUIRE(std::holds_alternative<T>(event));
        return std::get<T>(std::move(event));
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<core::event> events_;
};

platform_settings settings_for(std::uint16_t port, std::chrono::milliseconds call_timeout) {
    platform_settings settings;
    settings.endpoints = {"127.0.0.1:" + std::to_string(port)};
    settings.host = {"h1"};
    settings.call_timeout = call_timeout;
    return settings;
}

core::configuration configuration_with_version(std::uint64_t version) {
    core::configuration value;
    value.version = version;
    return value;
}

core::host_record host_h1(bool leaving = false) {
    core::host_record host;
    host.id = {"h1"};
    host.domain = {"a"};
    host.peer_address = "tcp://127.0.0.1:7400";
    host.caller_address = "127.0.0.1:7401";
    host.operator_address = "127.0.0.1:7402";
    host.leaving = leaving;
    return host;
}

core::group_record group_g1() {
    core::group_record group;
    group.id = {"g1"};
    group.targets.push_back({{"t1"}, {"a"}, "127.0.0.1", 5432, false});
    return group;
}

/// @brief A stand-in of the platform, a platform_task, and direct access to the stand-in's state.
struct platform_fixture {
    explicit platform_fixture(std::chrono::milliseconds call_timeout = max_wait)
        : task(std::make_unique<platform_task>(
              settings_for(process->port(), call_timeout),
              [this](core::event event) { log.push(std::move(event)); })) {}

    /// @brief Performs a call and returns its result, which must be of the given type.
    template <typename T>
    T call(core::platform_call request) {
        task->perform({++last_call, std::move(request)});
        const auto finished = log.next<core::platform_finished>();
        BOOST_TEST_REQUIRE(finished.call == last_call);
        BOOST_TEST_REQUIRE(std::holds_alternative<T>(finished.result));
        return std::get<T>(finished.result);
    }

    void set_faults(const v1::SetFaultsRequest& request) const {
        grpc::ClientContext context;
        v1::Faults faults;
        BOOST_TEST_REQUIRE(control->SetFaults(&context, request, &faults).ok());
    }

    void set_outage(bool outage) const {
        v1::SetFaultsRequest request;
        request.set_outage(outage);
        set_faults(request);
    }

    void put(const std::string& key, const std::string& value) const {
        grpc::ClientContext context;
        etcdserverpb::PutRequest request;
        request.set_key(key);
        request.set_value(value);
        etcdserverpb::PutResponse response;
        BOOST_TEST_REQUIRE(kv->Put(&context, request, &response).ok());
    }

    void put(const core::platform_record& record) const {
        put(core::record_key(record), codec::encode_record(record));
    }

    /// @return The stored key and its value. The returned key is empty when it does not exist.
    [[nodiscard]] etcdserverpb::KeyValue get(const std::string& key) const {
        grpc::ClientContext context;
        etcdserverpb::RangeRequest request;
        request.set_key(key);
        etcdserverpb::RangeResponse response;
        BOOST_TEST_REQUIRE(kv->Range(&context, request, &response).ok());
        return response.kvs_size() == 0 ? etcdserverpb::KeyValue() : response.kvs(0);
    }

    /// @brief Waits until a condition is true.
    static void wait_until_true(const std::function<bool()>& condition) {
        const auto limit = std::chrono::steady_clock::now() + max_wait;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(20ms);
        }
        BOOST_TEST_REQUIRE(condition());
    }

    std::unique_ptr<standin_process> process = std::make_unique<standin_process>();
    std::shared_ptr<grpc::Channel> channel = grpc::CreateChannel(
        "127.0.0.1:" + std::to_string(process->port()), grpc::InsecureChannelCredentials());
    std::unique_ptr<etcdserverpb::KV::Stub> kv = etcdserverpb::KV::NewStub(channel);
    std::unique_ptr<v1::PlatformControl::Stub> control = v1::PlatformControl::NewStub(channel);
    event_log log;
    core::call_id last_call = 0;
    std::unique_ptr<platform_task> task;
};

struct short_timeout_fixture : platform_fixture {
    short_timeout_fixture() : platform_fixture(300ms) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_task_test, platform_fixture)

// Guards against a compare-and-swap that overwrites another host's change or does not return it.
BOOST_AUTO_TEST_CASE(swap_of_configuration_compares_the_revision) {
    BOOST_TEST(!call<core::platform_read>(core::read_configuration{}).record.has_value());
    const auto created =
        call<core::platform_swapped>(core::swap_configuration{0, configuration_with_version(1)});
    BOOST_TEST_REQUIRE(created.succeeded);
    BOOST_TEST(
        (created.current->value == core::platform_record{0, configuration_with_version(1)}.value));
    const std::int64_t revision = created.current->revision;
    BOOST_TEST(get(core::configuration_key).mod_revision() == revision);

    const auto refused =
        call<core::platform_swapped>(core::swap_configuration{0, configuration_with_version(2)});
    BOOST_TEST(!refused.succeeded);
    BOOST_TEST((refused.current == created.current));

    const auto replaced = call<core::platform_swapped>(
        core::swap_configuration{revision, configuration_with_version(2)});
    BOOST_TEST(replaced.succeeded);
    const auto read = call<core::platform_read>(core::read_configuration{});
    BOOST_TEST((read.record == replaced.current));
}

// Guards against term records of different groups that are stored under the same key.
BOOST_AUTO_TEST_CASE(terms_are_kept_per_group) {
    core::term_record term;
    term.group = {"g1"};
    term.term = 3;
    term.candidate = {"h1"};
    const auto swapped = call<core::platform_swapped>(core::swap_term{0, term});
    BOOST_TEST(swapped.succeeded);
    const auto read = call<core::platform_read>(core::read_term{{"g1"}});
    BOOST_TEST((read.record == swapped.current));
    BOOST_TEST(!call<core::platform_read>(core::read_term{{"g2"}}).record.has_value());
    const auto refused = call<core::platform_swapped>(core::swap_term{99, term});
    BOOST_TEST(!refused.succeeded);
    BOOST_TEST((refused.current == swapped.current));
}

// Guards against a view that omits a type of record, or that fails because one record cannot be
// decoded.
BOOST_AUTO_TEST_CASE(view_holds_all_decodable_records) {
    put({0, configuration_with_version(1)});
    put({0, group_g1()});
    put({0, host_h1()});
    put("/platform/groups/broken", "\xff");
    const auto view = call<core::platform_view>(core::read_view{});
    BOOST_TEST_REQUIRE(view.records.size() == 3U);
    BOOST_TEST((view.records[0] == core::platform_record{2, configuration_with_version(1)}));
    BOOST_TEST((view.records[1] == core::platform_record{3, group_g1()}));
    BOOST_TEST((view.records[2] == core::platform_record{4, host_h1()}));
}

// Guards against treating a record that cannot be decoded as absent and overwriting it.
BOOST_AUTO_TEST_CASE(undecodable_record_is_not_absent) {
    put(core::configuration_key, "\xff");
    call<core::platform_unavailable>(core::read_configuration{});
    call<core::platform_unknown>(core::swap_configuration{0, configuration_with_version(1)});
}

// Guards against a write that took effect but is reported as not made, because its answer was lost.
BOOST_AUTO_TEST_CASE(lost_answer_of_a_write_is_unknown) {
    v1::SetFaultsRequest faults;
    faults.set_lose_write_answers(1);
    set_faults(faults);
    call<core::platform_unknown>(core::swap_configuration{0, configuration_with_version(1)});
    BOOST_TEST(call<core::platform_read>(core::read_configuration{}).record.has_value());
}

// Guards against calls that never end during an outage, and against a sent write that is reported
// as not made although its effect is unknown.
BOOST_AUTO_TEST_CASE(outage_makes_reads_unavailable_and_sent_writes_unknown) {
    set_outage(true);
    call<core::platform_unavailable>(core::read_configuration{});
    call<core::platform_unavailable>(core::read_view{});
    call<core::platform_unavailable>(core::set_watch{true});
    call<core::platform_unknown>(core::swap_configuration{0, configuration_with_version(1)});
}

// Guards against calls without the metadata by which the platform identifies hosts.
BOOST_AUTO_TEST_CASE(calls_carry_the_host_id) {
    v1::SetFaultsRequest faults;
    faults.add_block_hosts("h1");
    set_faults(faults);
    call<core::platform_unavailable>(core::read_configuration{});
}

// Guards against a write that was not sent but is reported as unknown, and against a client that
// does not reconnect after an outage.
BOOST_AUTO_TEST_CASE(write_without_connection_is_unavailable_until_the_platform_is_back) {
    call<core::platform_read>(core::read_configuration{});
    const std::uint16_t port = process->port();
    process.reset();
    // A write could be sent before the client detects that the connection is broken. The failed
    // read shows that the client has detected it.
    call<core::platform_unavailable>(core::read_configuration{});
    call<core::platform_unavailable>(core::swap_configuration{0, configuration_with_version(1)});
    process = std::make_unique<standin_process>(port);
    wait_until_true([this] {
        task->perform({++last_call, core::read_configuration{}});
        return std::holds_alternative<core::platform_read>(
            log.next<core::platform_finished>().result);
    });
}

// Guards against a watch that omits existing records or changes, or that reports deletions.
BOOST_AUTO_TEST_CASE(watch_delivers_present_records_and_then_changes) {
    put({0, group_g1()});
    task->perform({++last_call, core::set_watch{true}});
    const auto present = log.next<core::platform_changed>();
    BOOST_TEST((present.record == core::platform_record{2, group_g1()}));
    BOOST_TEST(
        (std::holds_alternative<core::platform_ok>(log.next<core::platform_finished>().result)));

    put({0, configuration_with_version(1)});
    BOOST_TEST((log.next<core::platform_changed>().record ==
                core::platform_record{3, configuration_with_version(1)}));
    grpc::ClientContext context;
    etcdserverpb::DeleteRangeRequest deletion;
    deletion.set_key(core::configuration_key);
    etcdserverpb::DeleteRangeResponse deleted;
    BOOST_TEST_REQUIRE(kv->DeleteRange(&context, deletion, &deleted).ok());
    put({0, host_h1()});
    BOOST_TEST((log.next<core::platform_changed>().record == core::platform_record{5, host_h1()}));
}

// Guards against a watch whose loss is not reported or that cannot be started again.
BOOST_AUTO_TEST_CASE(lost_watch_is_reported_and_can_be_started_again) {
    call<core::platform_ok>(core::set_watch{true});
    set_outage(true);
    log.next<core::platform_watch_lost>();
    set_outage(false);
    call<core::platform_ok>(core::set_watch{true});
    put({0, host_h1()});
    log.next<core::platform_changed>();
}

// Guards against a stopped watch that leaves its stream open or reports its end as a loss.
BOOST_AUTO_TEST_CASE(stopped_watch_reports_no_loss) {
    call<core::platform_ok>(core::set_watch{true});
    call<core::platform_ok>(core::set_watch{false});
    wait_until_true([this] {
        grpc::ClientContext context;
        v1::Counters counters;
        BOOST_TEST_REQUIRE(control->GetCounters(&context, {}, &counters).ok());
        return counters.waiting_watches() == 0;
    });
    put({0, host_h1()});
    call<core::platform_read>(core::read_configuration{});
}

// Guards against a host record that is written without a lease or not updated by a later
// registration.
BOOST_AUTO_TEST_CASE(registration_is_written_under_a_lease) {
    const std::string key = core::record_key({0, host_h1()});
    call<core::platform_ok>(core::register_host{host_h1(), 30s});
    const std::int64_t lease = get(key).lease();
    BOOST_TEST(lease != 0);
    call<core::platform_ok>(core::register_host{host_h1(true), 30s});
    BOOST_TEST(get(key).lease() == lease);
    BOOST_TEST(get(key).value() == codec::encode_record({0, host_h1(true)}));
}

// Guards against a host that is not registered again after its lease expired during a network
// partition.
BOOST_AUTO_TEST_CASE(lost_lease_is_registered_again) {
    const std::string key = core::record_key({0, host_h1()});
    call<core::platform_ok>(core::register_host{host_h1(), 1s});
    const std::int64_t lease = get(key).lease();
    v1::SetFaultsRequest faults;
    faults.add_block_hosts("h1");
    set_faults(faults);
    wait_until_true([&] { return get(key).key().empty(); });
    faults.Clear();
    faults.add_unblock_hosts("h1");
    set_faults(faults);
    wait_until_true([&] { return !get(key).key().empty(); });
    BOOST_TEST(get(key).lease() != lease);
}

// Guards against a destructor that waits for outstanding calls without cancelling them, or that
// returns before they have ended.
BOOST_AUTO_TEST_CASE(destructor_cancels_outstanding_calls) {
    call<core::platform_ok>(core::register_host{host_h1(), 30s});
    task->perform({++last_call, core::set_watch{true}});
    log.next<core::platform_changed>();
    log.next<core::platform_finished>();
    v1::SetFaultsRequest faults;
    faults.set_delay_ms(60'000);
    set_faults(faults);
    task->perform({++last_call, core::read_configuration{}});
    task->perform({++last_call, core::set_watch{true}});
    task->perform({++last_call, core::register_host{host_h1(true), 30s}});
    task.reset();
}

// Guards against reporting a write that has timed out as not made, because it may take effect
// later.
BOOST_FIXTURE_TEST_CASE(write_that_times_out_is_unknown, short_timeout_fixture) {
    call<core::platform_read>(core::read_configuration{});
    v1::SetFaultsRequest faults;
    faults.set_delay_ms(60'000);
    set_faults(faults);
    call<core::platform_unknown>(core::swap_configuration{0, configuration_with_version(1)});
    call<core::platform_unavailable>(core::read_configuration{});
}

BOOST_AUTO_TEST_SUITE_END()
