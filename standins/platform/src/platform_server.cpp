#include "platform_server.hpp"

#include "platform_state.hpp"

#include <etcd.grpc.pb.h>
#include <standin_platform.grpc.pb.h>

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lovagemoor::standin_platform {

namespace {

using namespace std::chrono_literals;

/// Metadata key under which a host's platform client sends its host identifier.
constexpr const char* host_metadata_key = "lovagemoor-host";

/// Interval at which expired leases are deleted.
constexpr std::chrono::milliseconds expiry_interval = 50ms;

/// Shortest interval of HTTP/2 pings that clients may use. With gRPC's default of 5 minutes the
/// server closes the connections of clients that check their connections more often.
constexpr std::chrono::milliseconds min_ping_interval = 1s;

std::string host_of(const grpc::ServerContextBase& context) {
    const auto& metadata = context.client_metadata();
    const auto position = metadata.find(host_metadata_key);
    return position == metadata.end()
               ? std::string()
               : std::string(position->second.data(), position->second.size());
}

grpc::Status unavailable(const char* detail) {
    return {grpc::StatusCode::UNAVAILABLE, detail};
}

grpc::Status to_status(store_error error) {
    switch (error) {
    case store_error::lease_not_found:
        return {grpc::StatusCode::NOT_FOUND, to_string(error)};
    case store_error::lease_exists:
        return {grpc::StatusCode::FAILED_PRECONDITION, to_string(error)};
    case store_error::compacted:
        return {grpc::StatusCode::OUT_OF_RANGE, to_string(error)};
    case store_error::unsupported_revision:
        return {grpc::StatusCode::UNIMPLEMENTED, to_string(error)};
    case store_error::invalid_ttl:
    case store_error::duplicate_key:
        break;
    }
    return {grpc::StatusCode::INVALID_ARGUMENT, to_string(error)};
}

template <typename Response>
grpc::Status set_response(store_result<Response>&& result, Response& response) {
    if (!result) {
        return to_status(result.error());
    }
    response = std::move(result).value();
    return grpc::Status::OK;
}

/// @brief A unary call. It is admitted, delayed and run on the store; an injected fault can then
/// replace its response by UNAVAILABLE.
class unary_call final : public grpc::ServerUnaryReactor {
public:
    using store_operation = std::function<grpc::Status(key_store&)>;

    unary_call(platform_state& state, const grpc::CallbackServerContext& context, call_kind kind,
               store_operation operation)
        : state_(state), host_(host_of(context)), operation_(std::move(operation)) {
        if (!state_.admit(kind, host_)) {
            Finish(unavailable("platform outage"));
            return;
        }
        const std::chrono::milliseconds delay = state_.delay();
        if (delay == 0ms) {
            execute();
            return;
        }
        alarm_.Set(std::chrono::system_clock::now() + delay, [this](bool expired) {
            if (expired) {
                execute();
            } else {
                Finish(grpc::Status::CANCELLED);
            }
        });
    }

    void OnCancel() override { alarm_.Cancel(); }

    void OnDone() override { delete this; }

private:
    void execute() {
        if (!state_.is_available(host_)) {
            Finish(unavailable("platform outage"));
            return;
        }
        grpc::Status status;
        const bool drop_response =
            state_.execute([this, &status](key_store& store) { status = operation_(store); });
        Finish(drop_response ? unavailable("answer lost") : status);
    }

    platform_state& state_;
    std::string host_;
    store_operation operation_;
    grpc::Alarm alarm_;
};

bool has_write(const google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>& operations) {
    return std::ranges::any_of(operations, [](const etcdserverpb::RequestOp& operation) {
        return operation.has_request_put() || operation.has_request_delete_range();
    });
}

class kv_service final : public etcdserverpb::KV::CallbackService {
public:
    explicit kv_service(platform_state& state) : state_(state) {}

    grpc::ServerUnaryReactor* Range(grpc::CallbackServerContext* context,
                                    const etcdserverpb::RangeRequest* request,
                                    etcdserverpb::RangeResponse* response) override {
        return new unary_call(state_, *context, call_kind::read,
                              [request, response](const key_store& store) {
                                  return set_response(store.range(*request), *response);
                              });
    }

    grpc::ServerUnaryReactor* Put(grpc::CallbackServerContext* context,
                                  const etcdserverpb::PutRequest* request,
                                  etcdserverpb::PutResponse* response) override {
        return new unary_call(state_, *context, call_kind::write,
                              [request, response](key_store& store) {
                                  return set_response(store.put(*request), *response);
                              });
    }

    grpc::ServerUnaryReactor* DeleteRange(grpc::CallbackServerContext* context,
                                          const etcdserverpb::DeleteRangeRequest* request,
                                          etcdserverpb::DeleteRangeResponse* response) override {
        return new unary_call(state_, *context, call_kind::write,
                              [request, response](key_store& store) {
                                  *response = store.delete_range(*request);
                                  return grpc::Status::OK;
                              });
    }

    grpc::ServerUnaryReactor* Txn(grpc::CallbackServerContext* context,
                                  const etcdserverpb::TxnRequest* request,
                                  etcdserverpb::TxnResponse* response) override {
        const bool writes = has_write(request->success()) || has_write(request->failure());
        return new unary_call(state_, *context, writes ? call_kind::write : call_kind::read,
                              [request, response](key_store& store) {
                                  return set_response(store.transact(*request), *response);
                              });
    }

private:
    platform_state& state_;
};

/// @brief One watch stream with any number of watches.
///
/// gRPC can call the reactor back from within StartWrite, StartRead and Finish, so these are called
/// without holding the mutex. At most one write is outstanding. The stream isn't finished before
/// that write is done.
class watch_stream final
    : public grpc::ServerBidiReactor<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse> {
public:
    explicit watch_stream(platform_state& state, const grpc::CallbackServerContext& context)
        : state_(state), host_(host_of(context)) {}

    /// @brief Creates a stream, which owns itself until OnDone, and admits or rejects it.
    static watch_stream* start(platform_state& state, const grpc::CallbackServerContext& context) {
        auto stream = std::make_shared<watch_stream>(state, context);
        watch_stream* const reactor = stream.get();
        reactor->self_ = stream;
        if (!state.admit(call_kind::watch, reactor->host_)) {
            reactor->end(unavailable("platform outage"));
            return reactor;
        }
        const std::weak_ptr<watch_stream> weak = stream;
        reactor->listener_ = state.add_listener([weak] {
            if (const std::shared_ptr<watch_stream> locked = weak.lock()) {
                locked->send_next();
            }
        });
        reactor->StartRead(&reactor->request_);
        return reactor;
    }

    void OnReadDone(bool ok) override {
        if (!ok) {
            end(grpc::Status::OK);
            return;
        }
        apply_request();
        StartRead(&request_);
        send_next();
    }

    void OnWriteDone(bool ok) override {
        {
            const std::lock_guard lock(mutex_);
            writing_ = false;
        }
        if (!ok) {
            end(grpc::Status::CANCELLED);
        }
        send_next();
    }

    void OnCancel() override { end(grpc::Status::CANCELLED); }

    void OnDone() override {
        if (listener_) {
            state_.remove_listener(*listener_);
        }
        const std::shared_ptr<watch_stream> last = std::move(self_);
    }

private:
    struct watch {
        std::int64_t id = 0;
        key_range keys;
        std::int64_t next_revision = 0;
        bool created_sent = false;
    };

    enum class step : std::uint8_t { none, write, finish };

    void apply_request() {
        const std::lock_guard lock(mutex_);
        if (request_.has_create_request()) {
            const etcdserverpb::WatchCreateRequest& create = request_.create_request();
            std::int64_t start = create.start_revision();
            if (start <= 0) {
                state_.read([&start](const key_store& store) { start = store.revision() + 1; });
            }
            watches_.push_back({next_watch_id_++, {create.key(), create.range_end()}, start});
        } else if (request_.has_cancel_request()) {
            const std::int64_t id = request_.cancel_request().watch_id();
            if (std::erase_if(watches_, [id](const watch& each) { return each.id == id; }) > 0) {
                cancelled_.push_back(id);
            }
        }
    }

    void end(grpc::Status status) {
        {
            const std::lock_guard lock(mutex_);
            if (!end_status_) {
                end_status_ = std::move(status);
            }
        }
        send_next();
    }

    /// @brief Finishes the stream or writes the next response, unless a write is outstanding.
    void send_next() {
        const bool available = state_.is_available(host_);
        step next = step::none;
        grpc::Status status;
        {
            const std::lock_guard lock(mutex_);
            if (!available && !end_status_) {
                end_status_ = unavailable("platform outage");
            }
            if (writing_ || finished_) {
                return;
            }
            if (end_status_) {
                finished_ = true;
                status = *end_status_;
                next = step::finish;
            } else if (fill_response()) {
                writing_ = true;
                next = step::write;
            }
        }
        if (next == step::write) {
            StartWrite(&response_);
        } else if (next == step::finish) {
            Finish(status);
        }
    }

    /// @return True if there is a response to send.
    bool fill_response() {
        response_.Clear();
        if (!cancelled_.empty()) {
            response_.set_watch_id(cancelled_.back());
            response_.set_canceled(true);
            cancelled_.pop_back();
            return true;
        }
        return std::ranges::any_of(watches_, [this](watch& each) { return fill_from_watch(each); });
    }

    bool fill_from_watch(watch& source) {
        std::int64_t revision = 0;
        std::int64_t oldest = 0;
        std::optional<std::vector<etcdserverpb::Event>> events;
        state_.read([&](const key_store& store) {
            revision = store.revision();
            oldest = store.oldest_start_revision();
            if (auto found = store.events_since(source.next_revision, source.keys)) {
                events = std::move(found).value();
            }
        });
        response_.mutable_header()->set_revision(revision);
        response_.set_watch_id(source.id);
        if (!source.created_sent) {
            source.created_sent = true;
            response_.set_created(true);
            return true;
        }
        if (!events) {
            response_.set_canceled(true);
            response_.set_compact_revision(oldest);
            std::erase_if(watches_, [id = source.id](const watch& each) { return each.id == id; });
            return true;
        }
        source.next_revision = std::max(source.next_revision, revision + 1);
        for (etcdserverpb::Event& event : *events) {
            *response_.add_events() = std::move(event);
        }
        return response_.events_size() > 0;
    }

    platform_state& state_;
    const std::string host_;
    std::optional<std::uint64_t> listener_;
    std::shared_ptr<watch_stream> self_;
    etcdserverpb::WatchRequest request_;
    std::mutex mutex_;
    etcdserverpb::WatchResponse response_;
    std::vector<watch> watches_;
    std::vector<std::int64_t> cancelled_;
    std::int64_t next_watch_id_ = 0;
    bool writing_ = false;
    bool finished_ = false;
    std::optional<grpc::Status> end_status_;
};

class watch_service final : public etcdserverpb::Watch::CallbackService {
public:
    explicit watch_service(platform_state& state) : state_(state) {}

    grpc::ServerBidiReactor<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse>*
    Watch(grpc::CallbackServerContext* context) override {
        return watch_stream::start(state_, *context);
    }

private:
    platform_state& state_;
};

/// @brief Answers a client's lease renewals one after the other.
class keep_alive_stream final
    : public grpc::ServerBidiReactor<etcdserverpb::LeaseKeepAliveRequest,
                                     etcdserverpb::LeaseKeepAliveResponse> {
public:
    keep_alive_stream(platform_state& state, const grpc::CallbackServerContext& context)
        : state_(state), host_(host_of(context)) {
        StartRead(&request_);
    }

    void OnReadDone(bool ok) override {
        if (!ok) {
            Finish(grpc::Status::OK);
            return;
        }
        if (!state_.admit(call_kind::lease, host_)) {
            Finish(unavailable("platform outage"));
            return;
        }
        state_.execute([this](key_store& store) {
            response_ = store.keep_alive(std::chrono::steady_clock::now(), request_);
        });
        StartWrite(&response_);
    }

    void OnWriteDone(bool ok) override {
        if (ok) {
            StartRead(&request_);
        } else {
            Finish(grpc::Status::CANCELLED);
        }
    }

    void OnDone() override { delete this; }

private:
    platform_state& state_;
    const std::string host_;
    etcdserverpb::LeaseKeepAliveRequest request_;
    etcdserverpb::LeaseKeepAliveResponse response_;
};

class lease_service final : public etcdserverpb::Lease::CallbackService {
public:
    explicit lease_service(platform_state& state) : state_(state) {}

    grpc::ServerUnaryReactor* LeaseGrant(grpc::CallbackServerContext* context,
                                         const etcdserverpb::LeaseGrantRequest* request,
                                         etcdserverpb::LeaseGrantResponse* response) override {
        return new unary_call(
            state_, *context, call_kind::lease, [request, response](key_store& store) {
                return set_response(store.grant_lease(std::chrono::steady_clock::now(), *request),
                                    *response);
            });
    }

    grpc::ServerUnaryReactor* LeaseRevoke(grpc::CallbackServerContext* context,
                                          const etcdserverpb::LeaseRevokeRequest* request,
                                          etcdserverpb::LeaseRevokeResponse* response) override {
        return new unary_call(state_, *context, call_kind::lease,
                              [request, response](key_store& store) {
                                  return set_response(store.revoke_lease(*request), *response);
                              });
    }

    grpc::ServerBidiReactor<etcdserverpb::LeaseKeepAliveRequest,
                            etcdserverpb::LeaseKeepAliveResponse>*
    LeaseKeepAlive(grpc::CallbackServerContext* context) override {
        return new keep_alive_stream(state_, *context);
    }

private:
    platform_state& state_;
};

class control_service final : public v1::PlatformControl::CallbackService {
public:
    explicit control_service(platform_state& state) : state_(state) {}

    grpc::ServerUnaryReactor* SetFaults(grpc::CallbackServerContext* context,
                                        const v1::SetFaultsRequest* request,
                                        v1::Faults* response) override {
        *response = state_.set_faults(*request);
        return finish_call(*context);
    }

    grpc::ServerUnaryReactor* GetCounters(grpc::CallbackServerContext* context,
                                          const v1::GetCountersRequest* /*request*/,
                                          v1::Counters* response) override {
        *response = state_.counters();
        return finish_call(*context);
    }

private:
    static grpc::ServerUnaryReactor* finish_call(grpc::CallbackServerContext& context) {
        grpc::ServerUnaryReactor* const reactor = context.DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    platform_state& state_;
};

} // namespace

class platform_server::implementation {
public:
    implementation(std::uint16_t port, std::size_t history_limit)
        : state_(history_limit), kv_(state_), watch_(state_), lease_(state_), control_(state_) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:" + std::to_string(port),
                                 grpc::InsecureServerCredentials(), &port_);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                                   static_cast<int>(min_ping_interval.count()));
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        builder.RegisterService(&kv_);
        builder.RegisterService(&watch_);
        builder.RegisterService(&lease_);
        builder.RegisterService(&control_);
        server_ = builder.BuildAndStart();
        expiry_thread_ =
            std::jthread([this](const std::stop_token& stop) { run_lease_expiry(stop); });
    }

    ~implementation() {
        expiry_thread_.request_stop();
        if (server_) {
            server_->Shutdown(std::chrono::system_clock::now());
            server_->Wait();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept {
        return server_ ? static_cast<std::uint16_t>(port_) : std::uint16_t{0};
    }

private:
    void run_lease_expiry(const std::stop_token& stop) {
        std::mutex mutex;
        std::condition_variable_any wake;
        std::unique_lock lock(mutex);
        while (!stop.stop_requested()) {
            wake.wait_for(lock, stop, expiry_interval, [] { return false; });
            state_.expire_leases();
        }
    }

    platform_state state_;
    kv_service kv_;
    watch_service watch_;
    lease_service lease_;
    control_service control_;
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
    std::jthread expiry_thread_;
};

platform_server::platform_server(std::uint16_t port, std::size_t history_limit)
    : implementation_(std::make_unique<implementation>(port, history_limit)) {}

platform_server::~platform_server() = default;

std::uint16_t platform_server::port() const noexcept {
    return implementation_->port();
}

} // namespace lovagemoor::standin_platform
