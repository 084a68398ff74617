#include <lovagemoor/testbed/platform_client.hpp>

#include <lovagemoor/codec/record_codec.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include <etcd.grpc.pb.h>
#include <grpcpp/grpcpp.h>
#include <standin_platform.grpc.pb.h>

#include <set>
#include <stdexcept>

namespace lovagemoor::testbed {

namespace internal {

namespace control = lovagemoor::standin_platform::v1;

constexpr std::chrono::seconds platform_call_timeout{5};

void set_deadline(grpc::ClientContext& context) {
    context.set_deadline(std::chrono::system_clock::now() + platform_call_timeout);
    context.set_wait_for_ready(true);
}

void check(const grpc::Status& status) {
    if (!status.ok()) {
        throw std::runtime_error{"platform call failed: " + status.error_message()};
    }
}

} // namespace internal

struct platform_client::implementation {
    void set_faults(const internal::control::SetFaultsRequest& request) const {
        grpc::ClientContext context;
        internal::set_deadline(context);
        internal::control::Faults faults;
        internal::check(control->SetFaults(&context, request, &faults));
    }

    std::unique_ptr<etcdserverpb::KV::Stub> store;
    std::unique_ptr<internal::control::PlatformControl::Stub> control;
    std::set<std::string> blocked_hosts;
};

platform_client::platform_client(const std::string& address)
    : implementation_{std::make_unique<implementation>()} {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    const std::shared_ptr<grpc::Channel> channel =
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    implementation_->store = etcdserverpb::KV::NewStub(channel);
    implementation_->control = internal::control::PlatformControl::NewStub(channel);
}

platform_client::platform_client(platform_client&&) noexcept = default;
platform_client& platform_client::operator=(platform_client&&) noexcept = default;
platform_client::~platform_client() = default;

void platform_client::put(const core::platform_record& record) {
    grpc::ClientContext context;
    internal::set_deadline(context);
    etcdserverpb::PutRequest request;
    request.set_key(core::record_key(record));
    request.set_value(codec::encode_record(record));
    etcdserverpb::PutResponse response;
    internal::check(implementation_->store->Put(&context, request, &response));
}

std::optional<core::term_record> platform_client::read_term(const core::group_id& group) {
    grpc::ClientContext context;
    internal::set_deadline(context);
    etcdserverpb::RangeRequest request;
    request.set_key(core::terms_prefix + group.value);
    etcdserverpb::RangeResponse response;
    internal::check(implementation_->store->Range(&context, request, &response));
    if (response.kvs().empty()) {
        return std::nullopt;
    }
    const etcdserverpb::KeyValue& found = response.kvs(0);
    const codec::result<core::platform_record> record =
        codec::decode_record(found.key(), found.value(), found.mod_revision());
    return std::get<core::term_record>(record.value().value);
}

void platform_client::set_outage(bool enabled) {
    internal::control::SetFaultsRequest request;
    request.set_outage(enabled);
    implementation_->set_faults(request);
}

void platform_client::set_delay(std::chrono::milliseconds delay) {
    internal::control::SetFaultsRequest request;
    request.set_delay_ms(static_cast<std::uint32_t>(delay.count()));
    implementation_->set_faults(request);
}

void platform_client::drop_write_responses(std::uint32_t writes) {
    internal::control::SetFaultsRequest request;
    request.set_lose_write_answers(writes);
    implementation_->set_faults(request);
}

void platform_client::block_hosts(const std::vector<core::host_id>& hosts) {
    internal::control::SetFaultsRequest request;
    for (const std::string& host : implementation_->blocked_hosts) {
        request.add_unblock_hosts(host);
    }
    implementation_->set_faults(request);
    request.clear_unblock_hosts();
    implementation_->blocked_hosts.clear();
    for (const core::host_id& host : hosts) {
        request.add_block_hosts(host.value);
        implementation_->blocked_hosts.insert(host.value);
    }
    implementation_->set_faults(request);
}

} // namespace lovagemoor::testbed
