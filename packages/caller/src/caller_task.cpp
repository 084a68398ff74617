#include <lovagemoor/caller/caller_task.hpp>

#include "caller_messages.hpp"

#include <caller.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace lovagemoor::caller {

namespace internal {

core::answer_caller invalid_message(message_error error) {
    core::refused refusal;
    refusal.reason = core::refusal_reason::invalid_request;
    refusal.detail = to_string(error);
    return core::answer_caller{0, refusal, {}, {}};
}

/// A call in progress. The registry finds it by its identifier.
class active_call {
public:
    active_call() = default;
    active_call(const active_call&) = delete;
    active_call& operator=(const active_call&) = delete;
    active_call(active_call&&) = delete;
    active_call& operator=(active_call&&) = delete;
    virtual ~active_call() = default;

    virtual void add_rows(const core::row_batch& batch) = 0;
    virtual void finish(const core::answer_caller& answer) = 0;
};

/// Assigns identifiers to the calls in progress, reports them to the sink and passes on their
/// answers.
///
/// The entry of a call is removed when the core answers or the caller cancels, whichever comes
/// first. A reactor removes its entry before it is deleted, so a call that is found under the lock
/// stays valid while the lock is held.
class call_registry {
public:
    explicit call_registry(std::function<void(core::event)> sink) : sink_{std::move(sink)} {}

    core::request_id add(active_call& call) {
        const std::lock_guard lock{mutex_};
        const core::request_id id = ++last_id_;
        calls_[id] = &call;
        return id;
    }

    void report_call(core::request_id id, core::caller_request request) {
        sink_(core::caller_called{id, std::move(request)});
    }

    void add_rows(const core::send_rows_to_caller& action) {
        const std::lock_guard lock{mutex_};
        const auto found = calls_.find(action.id);
        if (found != calls_.end()) {
            found->second->add_rows(action.batch);
        }
    }

    void finish(const core::answer_caller& answer) {
        const std::lock_guard lock{mutex_};
        const auto found = calls_.find(answer.id);
        if (found != calls_.end()) {
            active_call* call = found->second;
            calls_.erase(found);
            call->finish(answer);
            call_ended_.notify_all();
        }
    }

    /// Removes a call that has ended. Reports caller_cancelled when the core has not answered it.
    void remove(core::request_id id) {
        bool was_active = false;
        {
            const std::lock_guard lock{mutex_};
            was_active = calls_.erase(id) > 0;
            call_ended_.notify_all();
        }
        if (was_active) {
            sink_(core::caller_cancelled{id});
        }
    }

    void wait_until_empty(std::chrono::milliseconds limit) {
        std::unique_lock lock{mutex_};
        call_ended_.wait_for(lock, limit, [this] { return calls_.empty(); });
    }

private:
    std::function<void(core::event)> sink_;
    std::mutex mutex_;
    std::condition_variable call_ended_;
    std::map<core::request_id, active_call*> calls_;
    core::request_id last_id_ = 0;
};

/// An Execute call. gRPC allows one write at a time, so the responses are queued.
class execute_reactor final : public grpc::ServerWriteReactor<proto::ExecuteResponse>,
                              public active_call {
public:
    execute_reactor(call_registry& registry, std::size_t max_pending,
                    const proto::ExecuteRequest& message)
        : registry_{registry}, max_pending_{max_pending} {
        result<core::execute_request> request = from_message(message);
        if (!request) {
            finish(invalid_message(request.error()));
            return;
        }
        id_ = registry_.add(*this);
        registry_.report_call(id_, std::move(request.value()));
    }

    void add_rows(const core::row_batch& batch) override {
        proto::ExecuteResponse response;
        *response.mutable_rows() = to_message(batch);
        enqueue(std::move(response), false);
    }

    void finish(const core::answer_caller& answer) override {
        proto::ExecuteResponse response;
        *response.mutable_outcome() = to_message(answer.result, answer.session_token);
        enqueue(std::move(response), true);
    }

    void OnWriteDone(bool ok) override {
        const std::lock_guard lock{mutex_};
        pending_responses_.pop_front();
        if (!ok) {
            failed_ = true;
            pending_responses_.clear();
        }
        write_next_or_finish();
    }

    void OnCancel() override {
        registry_.remove(id_);
        const std::lock_guard lock{mutex_};
        failed_ = true;
        if (pending_responses_.size() > 1) {
            pending_responses_.erase(std::next(pending_responses_.begin()),
                                     pending_responses_.end());
        }
        if (pending_responses_.empty()) {
            write_next_or_finish();
        }
    }

    void OnDone() override {
        registry_.remove(id_);
        delete this;
    }

private:
    void enqueue(proto::ExecuteResponse response, bool is_last) {
        const std::lock_guard lock{mutex_};
        is_answered_ = is_answered_ || is_last;
        if (failed_) {
            return;
        }
        if (pending_responses_.size() >= max_pending_) {
            failed_ = true;
        }
        pending_responses_.push_back(std::move(response));
        if (pending_responses_.size() == 1) {
            write_next_or_finish();
        }
    }

    /// Starts the next write, or ends the call when it has failed or all responses are written. The
    /// lock must be held, and no write may be in progress.
    void write_next_or_finish() {
        if (is_finished_) {
            return;
        }
        if (!failed_ && !pending_responses_.empty()) {
            StartWrite(&pending_responses_.front());
            return;
        }
        if (failed_ || is_answered_) {
            is_finished_ = true;
            Finish(
                failed_
                    ? grpc::
                          Status{grpc::StatusCode::CANCELLED,
                                 "the caller cancelled the call or did not read its answer in time"}
                    : grpc::Status::OK);
        }
    }

    call_registry& registry_;
    std::size_t max_pending_;
    core::request_id id_ = 0;
    std::mutex mutex_;
    /// Responses that are not written completely. The first one is being written.
    std::deque<proto::ExecuteResponse> pending_responses_;
    bool is_answered_ = false;
    bool failed_ = false;
    bool is_finished_ = false;
};

/// A Begin, Commit or Rollback call.
template <typename Response>
class unary_reactor final : public grpc::ServerUnaryReactor, public active_call {
public:
    unary_reactor(call_registry& registry, Response& response)
        : registry_{registry}, response_{response} {}

    template <typename Request>
    void start(result<Request> request) {
        if (!request) {
            finish(invalid_message(request.error()));
            return;
        }
        id_ = registry_.add(*this);
        registry_.report_call(id_, std::move(request.value()));
    }

    void add_rows(const core::row_batch& /*batch*/) override {}

    void finish(const core::answer_caller& answer) override {
        *response_.mutable_outcome() = to_message(answer.result, answer.session_token);
        if constexpr (std::is_same_v<Response, proto::BeginResponse>) {
            response_.set_transaction(answer.transaction);
        }
        if (!is_finished_.exchange(true)) {
            Finish(grpc::Status::OK);
        }
    }

    void OnCancel() override {
        registry_.remove(id_);
        if (!is_finished_.exchange(true)) {
            Finish(grpc::Status{grpc::StatusCode::CANCELLED, "the caller cancelled the call"});
        }
    }

    void OnDone() override {
        registry_.remove(id_);
        delete this;
    }

private:
    call_registry& registry_;
    Response& response_;
    core::request_id id_ = 0;
    std::atomic<bool> is_finished_{false};
};

class caller_service final : public proto::Caller::CallbackService {
public:
    caller_service(call_registry& registry, std::size_t max_pending)
        : registry_{registry}, max_pending_{max_pending} {}

    // Each reactor deletes itself in OnDone, which is the last function that gRPC calls on it.
    // NOLINTBEGIN(cppcoreguidelines-owning-memory)
    grpc::ServerWriteReactor<proto::ExecuteResponse>*
    Execute(grpc::CallbackServerContext* /*context*/,
            const proto::ExecuteRequest* request) override {
        return new execute_reactor{registry_, max_pending_, *request};
    }

    grpc::ServerUnaryReactor* Begin(grpc::CallbackServerContext* /*context*/,
                                    const proto::BeginRequest* request,
                                    proto::BeginResponse* response) override {
        unary_reactor<proto::BeginResponse>* reactor =
            new unary_reactor<proto::BeginResponse>{registry_, *response};
        reactor->start(from_message(*request));
        return reactor;
    }

    grpc::ServerUnaryReactor* Commit(grpc::CallbackServerContext* /*context*/,
                                     const proto::EndRequest* request,
                                     proto::EndResponse* response) override {
        return start_end(*request, *response, core::transaction_end::commit);
    }

    grpc::ServerUnaryReactor* Rollback(grpc::CallbackServerContext* /*context*/,
                                       const proto::EndRequest* request,
                                       proto::EndResponse* response) override {
        return start_end(*request, *response, core::transaction_end::rollback);
    }

private:
    grpc::ServerUnaryReactor* start_end(const proto::EndRequest& request,
                                        proto::EndResponse& response, core::transaction_end end) {
        unary_reactor<proto::EndResponse>* reactor =
            new unary_reactor<proto::EndResponse>{registry_, response};
        reactor->start(from_message(request, end));
        return reactor;
    }

    // NOLINTEND(cppcoreguidelines-owning-memory)

    call_registry& registry_;
    std::size_t max_pending_;
};

} // namespace internal

listen_error::listen_error(const std::string& address)
    : std::runtime_error{"cannot listen for callers on " + address} {}

class caller_task::implementation {
public:
    implementation(const caller_settings& settings, std::function<void(core::event)> sink)
        : registry_{std::move(sink)}, service_{registry_, settings.max_pending_batches} {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(settings.listen, grpc::InsecureServerCredentials(), &port);
        builder.SetMaxReceiveMessageSize(static_cast<int>(settings.max_message_bytes));
        builder.RegisterService(&service_);
        // If several processes could share the port, a second one would receive some of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        server_ = builder.BuildAndStart();
        if (server_ == nullptr || port == 0) {
            throw listen_error{settings.listen};
        }
        address_ = settings.listen.substr(0, settings.listen.rfind(':') + 1) + std::to_string(port);
    }

    internal::call_registry& registry() noexcept { return registry_; }

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    void shutdown(std::chrono::milliseconds limit) {
        registry_.wait_until_empty(limit);
        server_->Shutdown(std::chrono::system_clock::now() + limit);
    }

private:
    internal::call_registry registry_;
    internal::caller_service service_;
    std::unique_ptr<grpc::Server> server_;
    std::string address_;
};

caller_task::caller_task(const caller_settings& settings, std::function<void(core::event)> sink)
    : implementation_{std::make_unique<implementation>(settings, std::move(sink))} {}

caller_task::~caller_task() {
    implementation_->shutdown(std::chrono::milliseconds{0});
}

const std::string& caller_task::address() const noexcept {
    return implementation_->address();
}

void caller_task::perform(const core::send_rows_to_caller& action) {
    implementation_->registry().add_rows(action);
}

void caller_task::perform(const core::answer_caller& action) {
    implementation_->registry().finish(action);
}

void caller_task::shutdown(std::chrono::milliseconds limit) {
    implementation_->shutdown(limit);
}

} // namespace lovagemoor::caller
