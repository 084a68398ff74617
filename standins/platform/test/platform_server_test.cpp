#include "platform_server.hpp"

#include <etcd.grpc.pb.h>
#include <standin_platform.grpc.pb.h>

#include <boost/test/unit_test.hpp>
#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

using lovagemoor::standin_platform::platform_server;
namespace v1 = lovagemoor::standin_platform::v1;

namespace {

/// Deadline of each call. No test checks how long a call takes.
constexpr std::chrono::seconds call_timeout{20};

struct running_server {
    platform_server server{0, 100};
    std::shared_ptr<grpc::Channel> channel = grpc::CreateChannel(
        "127.0.0.1:" + std::to_string(server.port()), grpc::InsecureChannelCredentials());
    std::unique_ptr<etcdserverpb::KV::Stub> kv = etcdserverpb::KV::NewStub(channel);
    std::unique_ptr<etcdserverpb::Watch::Stub> watch = etcdserverpb::Watch::NewStub(channel);
    std::unique_ptr<etcdserverpb::Lease::Stub> lease = etcdserverpb::Lease::NewStub(channel);
    std::unique_ptr<v1::PlatformControl::Stub> control = v1::PlatformControl::NewStub(channel);

    [[nodiscard]] grpc::StatusCode put(const std::string& key, const std::string& value,
                                       const std::string& host = {},
                                       std::int64_t lease_id = 0) const {
        grpc::ClientContext context;
        prepare(context, host);
        etcdserverpb::PutRequest request;
        request.set_key(key);
        request.set_value(value);
        request.set_lease(lease_id);
        etcdserverpb::PutResponse response;
        return kv->Put(&context, request, &response).error_code();
    }

    /// @return The value of the key, "absent" if it doesn't exist, or "failed" if the call fails.
    [[nodiscard]] std::string get(const std::string& key) const {
        grpc::ClientContext context;
        prepare(context, {});
        etcdserverpb::RangeRequest request;
        request.set_key(key);
        etcdserverpb::RangeResponse response;
        if (!kv->Range(&context, request, &response).ok()) {
            return "failed";
        }
        return response.kvs_size() == 0 ? "absent" : response.kvs(0).value();
    }

    void set_faults(const v1::SetFaultsRequest& request) const {
        grpc::ClientContext context;
        prepare(context, {});
        v1::Faults faults;
        BOOST_TEST_REQUIRE(control->SetFaults(&context, request, &faults).ok());
    }

    [[nodiscard]] v1::Counters counters() const {
        grpc::ClientContext context;
        prepare(context, {});
        v1::Counters counters;
        BOOST_TEST_REQUIRE(control->GetCounters(&context, {}, &counters).ok());
        return counters;
    }

    static void prepare(grpc::ClientContext& context, const std::string& host) {
        context.set_deadline(std::chrono::system_clock::now() + call_timeout);
        if (!host.empty()) {
            context.AddMetadata("lovagemoor-host", host);
        }
    }
};

/// @brief A watch stream on all keys that begin with "a".
class watch_client {
public:
    watch_client(const running_server& server, std::int64_t start_revision) {
        running_server::prepare(context_, "h1");
        stream_ = server.watch->Watch(&context_);
        etcdserverpb::WatchRequest request;
        request.mutable_create_request()->set_key("a");
        request.mutable_create_request()->set_range_end("b");
        request.mutable_create_request()->set_start_revision(start_revision);
        stream_->Write(request);
    }

    etcdserverpb::WatchResponse read_response() {
        etcdserverpb::WatchResponse response;
        BOOST_TEST_REQUIRE(stream_->Read(&response));
        return response;
    }

    /// @return The status with which the stream ends.
    grpc::StatusCode wait_for_end() {
        etcdserverpb::WatchResponse response;
        BOOST_TEST(!stream_->Read(&response));
        return stream_->Finish().error_code();
    }

private:
    grpc::ClientContext context_;
    std::unique_ptr<
        grpc::ClientReaderWriter<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse>>
        stream_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_server_test, running_server)

// Guards against an outage that rejects a write but still applies it.
BOOST_AUTO_TEST_CASE(outage_rejects_calls_without_effect) {
    BOOST_TEST(put("a", "1") == grpc::StatusCode::OK);
    v1::SetFaultsRequest faults;
    faults.set_outage(true);
    set_faults(faults);
    BOOST_TEST(put("a", "2") == grpc::StatusCode::UNAVAILABLE);
    BOOST_TEST(get("a") == "failed");
    faults.set_outage(false);
    set_faults(faults);
    BOOST_TEST(get("a") == "1");
    BOOST_TEST(counters().rejected() == 2U);
}

// Guards against a dropped response whose write isn't applied, against a fault that drops more
// responses than requested, and against calls that are counted wrongly.
BOOST_AUTO_TEST_CASE(lost_answer_leaves_the_effect) {
    v1::SetFaultsRequest faults;
    faults.set_lose_write_answers(1);
    set_faults(faults);
    BOOST_TEST(put("a", "1") == grpc::StatusCode::UNAVAILABLE);
    BOOST_TEST(get("a") == "1");
    BOOST_TEST(put("a", "2") == grpc::StatusCode::OK);
    const v1::Counters counted = counters();
    BOOST_TEST(counted.reads() == 1U);
    BOOST_TEST(counted.writes() == 2U);
}

// Guards against a block that also rejects the calls of other hosts, or that can't be lifted.
BOOST_AUTO_TEST_CASE(block_applies_to_the_named_host) {
    v1::SetFaultsRequest faults;
    faults.add_block_hosts("h1");
    set_faults(faults);
    BOOST_TEST(put("a", "1", "h1") == grpc::StatusCode::UNAVAILABLE);
    BOOST_TEST(put("a", "2", "h2") == grpc::StatusCode::OK);
    faults.Clear();
    faults.add_unblock_hosts("h1");
    set_faults(faults);
    BOOST_TEST(put("a", "3", "h1") == grpc::StatusCode::OK);
}

// Guards against a delayed call that never finishes or isn't applied.
BOOST_AUTO_TEST_CASE(delayed_call_takes_effect) {
    v1::SetFaultsRequest faults;
    faults.set_delay_ms(20);
    set_faults(faults);
    BOOST_TEST(put("a", "1") == grpc::StatusCode::OK);
    BOOST_TEST(get("a") == "1");
}

// Guards against a watch that misses changes made before or after its start, or that reports keys
// outside its range.
BOOST_AUTO_TEST_CASE(watch_delivers_past_and_new_events_of_its_range) {
    BOOST_TEST_REQUIRE(put("a1", "past") == grpc::StatusCode::OK);
    watch_client client(*this, 2);
    BOOST_TEST(client.read_response().created());
    const etcdserverpb::WatchResponse past = client.read_response();
    BOOST_TEST_REQUIRE(past.events_size() == 1);
    BOOST_TEST(past.events(0).kv().value() == "past");
    BOOST_TEST(counters().waiting_watches() == 1U);
    BOOST_TEST_REQUIRE(put("b", "outside") == grpc::StatusCode::OK);
    BOOST_TEST_REQUIRE(put("a2", "new") == grpc::StatusCode::OK);
    const etcdserverpb::WatchResponse fresh = client.read_response();
    BOOST_TEST_REQUIRE(fresh.events_size() == 1);
    BOOST_TEST(fresh.events(0).kv().key() == "a2");
    BOOST_TEST(fresh.events(0).kv().mod_revision() == 4);
}

// Guards against a watch that stays open during an outage without delivering events.
BOOST_AUTO_TEST_CASE(outage_ends_watches) {
    watch_client client(*this, 0);
    BOOST_TEST(client.read_response().created());
    v1::SetFaultsRequest faults;
    faults.set_outage(true);
    set_faults(faults);
    BOOST_TEST(client.wait_for_end() == grpc::StatusCode::UNAVAILABLE);
}

// Guards against a block that leaves the host's watch open.
BOOST_AUTO_TEST_CASE(block_ends_watches_of_the_host) {
    watch_client client(*this, 0);
    BOOST_TEST(client.read_response().created());
    v1::SetFaultsRequest faults;
    faults.add_block_hosts("h1");
    set_faults(faults);
    BOOST_TEST(client.wait_for_end() == grpc::StatusCode::UNAVAILABLE);
}

// Guards against a watch that starts at a discarded revision and isn't told that events are
// missing.
BOOST_AUTO_TEST_CASE(watch_before_the_history_is_cancelled) {
    for (int count = 0; count < 102; ++count) {
        BOOST_TEST_REQUIRE(put("a", std::to_string(count)) == grpc::StatusCode::OK);
    }
    watch_client client(*this, 2);
    BOOST_TEST(client.read_response().created());
    const etcdserverpb::WatchResponse refused = client.read_response();
    BOOST_TEST(refused.canceled());
    BOOST_TEST(refused.compact_revision() == 4);
}

// Guards against leases that expire only when the next call arrives. Watches must receive the
// deletion of the lease's keys without any call.
BOOST_AUTO_TEST_CASE(lease_expiry_reaches_watches) {
    grpc::ClientContext context;
    prepare(context, {});
    etcdserverpb::LeaseGrantRequest request;
    request.set_ttl(1);
    etcdserverpb::LeaseGrantResponse granted;
    BOOST_TEST_REQUIRE(lease->LeaseGrant(&context, request, &granted).ok());
    watch_client client(*this, 0);
    BOOST_TEST(client.read_response().created());
    BOOST_TEST(put("a", "1", {}, granted.id()) == grpc::StatusCode::OK);
    BOOST_TEST((client.read_response().events(0).type() == etcdserverpb::Event::PUT));
    BOOST_TEST((client.read_response().events(0).type() == etcdserverpb::Event::DELETE));
}

BOOST_AUTO_TEST_SUITE_END()
