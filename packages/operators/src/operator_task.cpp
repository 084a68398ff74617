#include <lovagemoor/operators/operator_task.hpp>

#include "operator_messages.hpp"

#include <grpcpp/grpcpp.h>
#include <operators.grpc.pb.h>

#include <map>
#include <mutex>
#include <utility>

namespace lovagemoor::operators {

namespace internal {

/// Assigns identifiers to the calls in progress, reports them to the sink and passes on their
/// answers. The entry of a call is removed when the core answers it or the task stops.
class call_registry {
public:
    /// Writes the result to the response and ends the call. A null pointer as the result ends the
    /// call with the status UNAVAILABLE.
    using finish_callback = std::function<void(const core::operator_result*)>;

    explicit call_registry(std::function<void(core::event)> sink) : sink_{std::move(sink)} {}

    void start(core::operator_call call, finish_callback finish) {
        core::call_id id = 0;
        {
            const std::lock_guard lock{mutex_};
            id = ++last_id_;
            calls_[id] = std::move(finish);
        }
        sink_(core::operator_called{id, std::move(call)});
    }

    void finish(const core::answer_operator& answer) {
        finish_callback finish;
        {
            const std::lock_guard lock{mutex_};
            const auto found = calls_.find(answer.id);
            if (found == calls_.end()) {
                return;
            }
            finish = std::move(found->second);
            calls_.erase(found);
        }
        finish(&answer.result);
    }

    void finish_all_calls() {
        std::map<core::call_id, finish_callback> calls;
        {
            const std::lock_guard lock{mutex_};
            calls.swap(calls_);
        }
        for (const auto& [id, finish] : calls) {
            finish(nullptr);
        }
    }

private:
    std::function<void(core::event)> sink_;
    std::mutex mutex_;
    std::map<core::call_id, finish_callback> calls_;
    core::call_id last_id_ = 0;
};

/// Starts a call whose answer has the type Result. When the operator cancels a call, its entry
/// stays until the core answers, because a change that has begun cannot be cancelled.
template <typename Result, typename Response>
grpc::ServerUnaryReactor* start_call(call_registry& registry, grpc::CallbackServerContext& context,
                                     const core::operator_call& call, Response& response) {
    grpc::ServerUnaryReactor* reactor = context.DefaultReactor();
    registry.start(call, [reactor, &response](const core::operator_result* result) {
        const Result* value = result == nullptr ? nullptr : std::get_if<Result>(result);
        if (value == nullptr) {
            reactor->Finish(
                {grpc::StatusCode::UNAVAILABLE, "the host stopped before it answered the call"});
            return;
        }
        fill_response(*value, response);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

class operator_service final : public proto::Operators::CallbackService {
public:
    explicit operator_service(call_registry& registry) : registry_{registry} {}

    grpc::ServerUnaryReactor*
    ChangeConfiguration(grpc::CallbackServerContext* context,
                        const proto::ChangeConfigurationRequest* request,
                        proto::ChangeConfigurationResponse* response) override {
        const std::optional<core::change_configuration> change = from_message(*request);
        if (!change.has_value()) {
            fill_response(
                {core::change_status::invalid, 0,
                 "the operation identifier or a field of the service is missing or invalid"},
                *response);
            grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }
        return start_call<core::change_result>(registry_, *context, *change, *response);
    }

    grpc::ServerUnaryReactor* GetConfiguration(grpc::CallbackServerContext* context,
                                               const proto::GetConfigurationRequest* /*request*/,
                                               proto::GetConfigurationResponse* response) override {
        return start_call<core::configuration>(registry_, *context, core::get_configuration{},
                                               *response);
    }

    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
                                     const proto::StatusRequest* /*request*/,
                                     proto::StatusResponse* response) override {
        return start_call<core::status_result>(registry_, *context, core::get_status{}, *response);
    }

    grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* context,
                                    const proto::DrainRequest* request,
                                    proto::DrainResponse* response) override {
        return start_call<core::drain_result>(
            registry_, *context, core::drain_host{core::host_id{request->host()}}, *response);
    }

    grpc::ServerUnaryReactor* Promote(grpc::CallbackServerContext* context,
                                      const proto::PromoteRequest* request,
                                      proto::PromoteResponse* response) override {
        return start_call<core::promote_result>(
            registry_, *context, core::promote_group{core::group_id{request->group()}}, *response);
    }

    grpc::ServerUnaryReactor* Burn(grpc::CallbackServerContext* context,
                                   const proto::BurnRequest* /*request*/,
                                   proto::BurnResponse* response) override {
        return start_call<core::burn_result>(registry_, *context, core::get_burn{}, *response);
    }

private:
    call_registry& registry_;
};

} // namespace internal

listen_error::listen_error(const std::string& address)
    : std::runtime_error{"cannot listen for operators on " + address} {}

class operator_task::implementation {
public:
    implementation(const operator_settings& settings, std::function<void(core::event)> sink)
        : registry_{std::move(sink)}, service_{registry_} {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(settings.listen, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&service_);
        // If several processes could share the port, a second one would receive some of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port == 0) {
            throw listen_error{settings.listen};
        }
        address_ = settings.listen.substr(0, settings.listen.rfind(':') + 1) + std::to_string(port);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() {
        registry_.finish_all_calls();
        server_->Shutdown(std::chrono::system_clock::now());
    }

    void finish(const core::answer_operator& answer) { registry_.finish(answer); }

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

private:
    internal::call_registry registry_;
    internal::operator_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::string address_;
};

operator_task::operator_task(const operator_settings& settings,
                             std::function<void(core::event)> sink)
    : implementation_{std::make_unique<implementation>(settings, std::move(sink))} {}

operator_task::~operator_task() = default;

const std::string& operator_task::address() const noexcept {
    return implementation_->address();
}

void operator_task::perform(const core::answer_operator& action) {
    implementation_->finish(action);
}

} // namespace lovagemoor::operators
