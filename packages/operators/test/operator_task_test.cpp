#include <lovagemoor/operators/operator_task.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <grpcpp/grpcpp.h>
#include <operators.grpc.pb.h>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::operators {

namespace {

namespace proto = lovagemoor::operators::v1;

/// An operator_task whose sink answers every call with the same result, and a client of the task.
class fixed_result_host {
public:
    explicit fixed_result_host(core::operator_result result)
        : result_{std::move(result)},
          task_{operator_settings{},
                [this](const core::event& value) {
                    const core::operator_called& called = std::get<core::operator_called>(value);
                    calls_.push_back(called.call);
                    task_.perform(core::answer_operator{called.id, result_});
                }},
          stub_{proto::Operators::NewStub(
              grpc::CreateChannel(task_.address(), grpc::InsecureChannelCredentials()))} {}

    [[nodiscard]] proto::Operators::Stub& stub() { return *stub_; }

    [[nodiscard]] const std::vector<core::operator_call>& calls() const { return calls_; }

private:
    core::operator_result result_;
    std::vector<core::operator_call> calls_;
    operator_task task_;
    std::unique_ptr<proto::Operators::Stub> stub_;
};

struct change_case {
    core::change_status status;
    proto::ChangeResult expected;
};

std::ostream& operator<<(std::ostream& out, const change_case& value) {
    return out << proto::ChangeResult_Name(value.expected);
}

const std::vector<change_case> change_cases{
    {core::change_status::accepted, proto::CHANGE_RESULT_ACCEPTED},
    {core::change_status::conflict, proto::CHANGE_RESULT_CONFLICT},
    {core::change_status::invalid, proto::CHANGE_RESULT_INVALID},
    {core::change_status::unknown, proto::CHANGE_RESULT_UNKNOWN},
    {core::change_status::platform_unavailable, proto::CHANGE_RESULT_PLATFORM_UNAVAILABLE},
};

proto::ChangeConfigurationRequest make_change() {
    proto::ChangeConfigurationRequest request;
    request.set_operation_id("op-1");
    request.mutable_change()->set_remove("orders-db");
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_task_test)

// Guards against a configuration change whose result is sent to the operator as a different result.
BOOST_DATA_TEST_CASE(change_results_are_encoded, change_cases, sample) {
    fixed_result_host host{core::change_result{sample.status, 7, "detail"}};
    grpc::ClientContext context;
    proto::ChangeConfigurationResponse response;
    BOOST_REQUIRE(host.stub().ChangeConfiguration(&context, make_change(), &response).ok());
    BOOST_TEST((response.result() == sample.expected));
    BOOST_TEST(response.version() == 7U);
}

// Guards against accepting a change without an operation identifier. If its answer were lost, the
// operator could not find out whether it took effect.
BOOST_AUTO_TEST_CASE(a_change_without_operation_id_is_invalid) {
    fixed_result_host host{core::change_result{}};
    proto::ChangeConfigurationRequest request = make_change();
    request.clear_operation_id();
    grpc::ClientContext context;
    proto::ChangeConfigurationResponse response;
    BOOST_REQUIRE(host.stub().ChangeConfiguration(&context, request, &response).ok());
    BOOST_TEST((response.result() == proto::CHANGE_RESULT_INVALID));
    BOOST_TEST(host.calls().empty());
}

// Guards against fields of the status that are not sent to the operator.
BOOST_AUTO_TEST_CASE(status_fields_are_sent) {
    core::status_result status;
    status.host = core::host_id{"h1"};
    status.configuration_version = 4;
    status.members.resize(2);
    core::target_status target;
    target.target = core::target_id{"t1"};
    target.primary = true;
    target.connections = 9;
    status.targets = {target};
    fixed_result_host host{status};
    grpc::ClientContext context;
    proto::StatusResponse response;
    BOOST_REQUIRE(host.stub().Status(&context, proto::StatusRequest{}, &response).ok());
    BOOST_TEST(response.host() == "h1");
    BOOST_TEST(response.configuration_version() == 4U);
    BOOST_TEST(response.members_size() == 2);
    BOOST_TEST(response.targets(0).primary());
    BOOST_TEST(response.targets(0).connections() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::operators
