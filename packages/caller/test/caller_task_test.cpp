#include <lovagemoor/caller/caller_task.hpp>

#include <boost/test/unit_test.hpp>

#include <caller.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lovagemoor::caller {

namespace {

namespace proto = lovagemoor::caller::v1;

constexpr std::chrono::seconds max_wait{10};

/// Records the events of a caller_task and lets a test wait for them.
class event_recorder {
public:
    void add(const core::event& value) {
        const std::lock_guard lock{mutex_};
        events_.push_back(value);
        changed_.notify_all();
    }

    template <typename Event>
    [[nodiscard]] bool wait_for(std::size_t count) {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, max_wait, [this, count] {
            std::size_t found = 0;
            for (const core::event& value : events_) {
                found += std::holds_alternative<Event>(value) ? 1U : 0U;
            }
            return found >= count;
        });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<core::event> events_;
};

proto::ExecuteRequest make_request() {
    proto::ExecuteRequest message;
    message.set_service("orders-db");
    message.mutable_statement()->set_sql("SELECT 1");
    message.set_access(proto::ACCESS_READ);
    message.set_timeout_ms(5000);
    return message;
}

std::unique_ptr<proto::Caller::Stub> make_stub(const caller_task& task) {
    return proto::Caller::NewStub(
        grpc::CreateChannel(task.address(), grpc::InsecureChannelCredentials()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_task_test)

// Guards against rows that are lost, reordered or sent after the outcome.
BOOST_AUTO_TEST_CASE(rows_arrive_in_order_before_the_outcome) {
    constexpr int batches = 200;
    event_recorder events;
    caller_task task{caller_settings{}, [&events](const core::event& value) { events.add(value); }};
    const std::unique_ptr<proto::Caller::Stub> stub = make_stub(task);
    grpc::ClientContext context;
    const std::unique_ptr<grpc::ClientReader<proto::ExecuteResponse>> reader =
        stub->Execute(&context, make_request());
    BOOST_REQUIRE(events.wait_for<core::caller_called>(1));
    for (int index = 0; index < batches; ++index) {
        core::send_rows_to_caller rows{1, {}};
        rows.batch.rows = {{std::to_string(index)}};
        task.perform(rows);
    }
    task.perform(core::answer_caller{1, core::done{batches, 0, false}, "token", {}});
    proto::ExecuteResponse response;
    int received = 0;
    while (reader->Read(&response) && response.has_rows()) {
        BOOST_TEST(response.rows().rows(0).values(0).text() == std::to_string(received));
        ++received;
    }
    BOOST_TEST(received == batches);
    BOOST_TEST(response.outcome().has_done());
    BOOST_TEST(!reader->Read(&response));
    BOOST_TEST(reader->Finish().ok());
}

// Guards against a core that continues to process a call after the caller has cancelled it.
BOOST_AUTO_TEST_CASE(a_cancelled_call_is_reported_once) {
    event_recorder events;
    caller_task task{caller_settings{}, [&events](const core::event& value) { events.add(value); }};
    const std::unique_ptr<proto::Caller::Stub> stub = make_stub(task);
    grpc::ClientContext context;
    const std::unique_ptr<grpc::ClientReader<proto::ExecuteResponse>> reader =
        stub->Execute(&context, make_request());
    BOOST_REQUIRE(events.wait_for<core::caller_called>(1));
    context.TryCancel();
    BOOST_TEST(events.wait_for<core::caller_cancelled>(1));
    task.perform(core::answer_caller{1, core::done{}, "token", {}});
    BOOST_TEST(!reader->Finish().ok());
}

// Guards against a shutdown that cancels a call whose answer is not yet delivered.
BOOST_AUTO_TEST_CASE(shutdown_waits_for_calls_in_progress) {
    event_recorder events;
    caller_task task{caller_settings{}, [&events](const core::event& value) { events.add(value); }};
    const std::unique_ptr<proto::Caller::Stub> stub = make_stub(task);
    grpc::ClientContext context;
    const std::unique_ptr<grpc::ClientReader<proto::ExecuteResponse>> reader =
        stub->Execute(&context, make_request());
    BOOST_REQUIRE(events.wait_for<core::caller_called>(1));
    std::thread shutdown_thread{[&task] { task.shutdown(max_wait); }};
    task.perform(core::answer_caller{1, core::done{}, "token", {}});
    proto::ExecuteResponse response;
    BOOST_TEST(reader->Read(&response));
    BOOST_TEST(response.outcome().has_done());
    BOOST_TEST(reader->Finish().ok());
    shutdown_thread.join();
}

// Guards against an invalid message that is accepted, or that is refused but still passed to the
// core.
BOOST_AUTO_TEST_CASE(an_invalid_message_is_refused_without_the_core) {
    bool reached = false;
    caller_task task{caller_settings{},
                     [&reached](const core::event& /*value*/) { reached = true; }};
    const std::unique_ptr<proto::Caller::Stub> stub = make_stub(task);
    grpc::ClientContext context;
    proto::EndResponse response;
    BOOST_TEST(stub->Commit(&context, proto::EndRequest{}, &response).ok());
    BOOST_TEST((response.outcome().refused().reason() == proto::REFUSAL_REASON_INVALID_REQUEST));
    BOOST_TEST(!reached);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::caller
