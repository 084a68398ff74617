#include <lovagemoor/platform/platform_task.hpp>

#include "etcd_messages.hpp"

#include <lovagemoor/codec/record_codec.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include <etcd.grpc.pb.h>

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stop_token>
#include <thread>
#include <utility>

namespace lovagemoor::platform {

namespace {

using namespace std::chrono_literals;
using steady_clock = std::chrono::steady_clock;

constexpr const char* host_metadata_key = "lovagemoor-host";

/// Interval at which the thread checks for a stop request while it waits for a connection. It
/// limits the time that the destructor waits for the thread.
constexpr std::chrono::milliseconds connect_poll_interval = 50ms;

/// Minimum and maximum time between attempts to connect. The defaults of gRPC, 1 s and 120 s, would
/// prolong a short outage.
/// @{
constexpr std::chrono::milliseconds min_reconnect_interval = 100ms;
constexpr std::chrono::milliseconds max_reconnect_interval = 1s;
/// @}

/// Pings detect connections that a network partition has broken without an error. etcd accepts one
/// ping every 5 s.
/// @{
constexpr std::chrono::milliseconds ping_interval = 10s;
constexpr std::chrono::milliseconds ping_timeout = 3s;
/// @}

/// Maximum time that the idle thread waits before it checks its conditions again. It is woken
/// earlier when there is work, so the value affects no call.
constexpr std::chrono::hours idle_interval = 1h;

/// A lease is renewed after a third of its duration, so that two renewals in a row may fail.
constexpr int renewals_per_lease = 3;

std::shared_ptr<grpc::Channel> make_channel(const platform_settings& settings) {
    std::string target = "ipv4:";
    for (const std::string& endpoint : settings.endpoints) {
        target += target.back() == ':' ? endpoint : "," + endpoint;
    }
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     static_cast<int>(min_reconnect_interval.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                     static_cast<int>(max_reconnect_interval.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                     static_cast<int>(max_reconnect_interval.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(ping_interval.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(ping_timeout.count()));
    // If gRPC retried a transaction whose first attempt took effect, the compare would fail because
    // of that attempt's own write, and the write would be reported as not made.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments);
}

/// @brief A watch from set_watch until its end. An open session owns itself until its stream has
/// ended.
class watch_session final
    : public grpc::ClientBidiReactor<etcdserverpb::WatchRequest, etcdserverpb::WatchResponse>,
      public std::enable_shared_from_this<watch_session> {
public:
    struct hooks {
        std::function<void(const etcdserverpb::KeyValue&)> changed;
        std::function<void()> established;
        /// Is called when the watch ends without a request. The argument is true when the watch had
        /// been established.
        std::function<void(bool)> lost;
        /// Is called when the stream has ended. The context must not be cancelled afterwards.
        std::function<void(grpc::ClientContext&)> ended;
        /// Is called last, after the session has dropped its reference to itself, by which the
        /// stream's context may have been destroyed.
        std::function<void()> completed;
    };

    explicit watch_session(hooks callbacks) : hooks_(std::move(callbacks)) {}

    void open(etcdserverpb::Watch::Stub& stub, std::int64_t start_revision) {
        self_ = shared_from_this();
        start_revision_ = start_revision;
        stub.async()->Watch(&context_, this);
        write_next();
        StartRead(&response_);
        StartCall();
    }

    /// @brief Ends the session. Only the hooks `ended` and `completed` are called afterwards.
    /// @return True when the session had not been stopped, established or lost before.
    bool stop() {
        bool pending = false;
        {
            const std::lock_guard lock(mutex_);
            pending = !stopped_ && !ended_ && !established_;
            stopped_ = true;
        }
        context_.TryCancel();
        return pending;
    }

    /// @brief Calls a function unless the session has been stopped.
    /// @return False when the session has been stopped.
    bool run_unless_stopped(const std::function<void()>& function) {
        const std::lock_guard lock(mutex_);
        if (!stopped_) {
            function();
        }
        return !stopped_;
    }

    [[nodiscard]] grpc::ClientContext& context() noexcept { return context_; }

    void OnWriteDone(bool ok) override {
        if (ok) {
            write_next();
        }
    }

    void OnReadDone(bool ok) override {
        if (!ok) {
            return;
        }
        if (response_.canceled()) {
            context_.TryCancel();
            return;
        }
        deliver();
        StartRead(&response_);
    }

    void OnDone(const grpc::Status& /*status*/) override {
        {
            const std::lock_guard lock(mutex_);
            ended_ = true;
            if (!stopped_) {
                hooks_.lost(established_);
            }
        }
        hooks_.ended(context_);
        const std::function<void()> completed = hooks_.completed;
        // This may destroy the object.
        std::exchange(self_, nullptr).reset();
        completed();
    }

private:
    void write_next() {
        if (requested_watches_ < internal::record_prefixes.size()) {
            request_ = internal::watch_request(internal::record_prefixes[requested_watches_++],
                                               start_revision_);
            StartWrite(&request_);
        }
    }

    void deliver() {
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            return;
        }
        if (response_.created()) {
            ++created_watches_;
            if (created_watches_ == internal::record_prefixes.size()) {
                established_ = true;
                hooks_.established();
            }
        }
        for (const etcdserverpb::Event& event : response_.events()) {
            if (event.type() == etcdserverpb::Event::PUT) {
                hooks_.changed(event.kv());
            }
        }
    }

    hooks hooks_;
    std::shared_ptr<watch_session> self_;
    grpc::ClientContext context_;
    etcdserverpb::WatchRequest request_;
    etcdserverpb::WatchResponse response_;
    std::int64_t start_revision_ = 0;
    std::size_t requested_watches_ = 0;
    std::size_t created_watches_ = 0;
    std::mutex mutex_;
    bool established_ = false;
    bool stopped_ = false;
    bool ended_ = false;
};

/// @brief A single renewal of a lease, for which it opens its own stream.
class lease_renewal final : public grpc::ClientBidiReactor<etcdserverpb::LeaseKeepAliveRequest,
                                                           etcdserverpb::LeaseKeepAliveResponse> {
public:
    /// @param finished Is called once, after the renewal has deleted itself. Its argument is the
    /// remaining duration of the lease, 0 when the lease was lost, or nothing when the call failed.
    /// @param ended Is called before `finished`. The context must not be cancelled afterwards.
    void start(etcdserverpb::Lease::Stub& stub, std::int64_t lease,
               std::function<void(std::optional<std::chrono::seconds>)> finished,
               std::function<void(grpc::ClientContext&)> ended) {
        finished_ = std::move(finished);
        ended_ = std::move(ended);
        request_.set_id(lease);
        stub.async()->LeaseKeepAlive(&context_, this);
        StartWriteLast(&request_, {});
        StartRead(&response_);
        StartCall();
    }

    [[nodiscard]] grpc::ClientContext& context() noexcept { return context_; }

    void OnReadDone(bool ok) override {
        if (ok) {
            remaining_ = std::chrono::seconds{response_.ttl()};
        }
    }

    void OnDone(const grpc::Status& /*status*/) override {
        const auto finished = std::move(finished_);
        const std::optional<std::chrono::seconds> remaining = remaining_;
        ended_(context_);
        delete this;
        finished(remaining);
    }

private:
    std::function<void(std::optional<std::chrono::seconds>)> finished_;
    std::function<void(grpc::ClientContext&)> ended_;
    grpc::ClientContext context_;
    etcdserverpb::LeaseKeepAliveRequest request_;
    etcdserverpb::LeaseKeepAliveResponse response_;
    std::optional<std::chrono::seconds> remaining_;
};

} // namespace

/// The task's thread waits for the connection and starts calls. Threads of gRPC finish them.
class platform_task::implementation {
public:
    implementation(platform_settings settings, std::function<void(core::event)> sink)
        : settings_(std::move(settings)),
          sink_(std::move(sink)),
          channel_(make_channel(settings_)),
          kv_(etcdserverpb::KV::NewStub(channel_)),
          watch_(etcdserverpb::Watch::NewStub(channel_)),
          lease_(etcdserverpb::Lease::NewStub(channel_)),
          thread_([this](const std::stop_token& stop) { run(stop); }) {}

    ~implementation() {
        thread_.request_stop();
        thread_.join();
        std::unique_lock lock(mutex_);
        stopping_ = true;
        for (grpc::ClientContext* const context : contexts_) {
            context->TryCancel();
        }
        call_ended_.wait(lock, [this] { return outstanding_ == 0; });
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    void perform(const core::call_platform& call) {
        std::visit([this, id = call.call](const auto& request) { start(id, request); },
                   call.request);
    }

private:
    /// @brief A call that is queued until there is a connection.
    struct pending_call {
        steady_clock::time_point deadline;
        /// Starts the call. The argument is the call's deadline.
        std::function<void(steady_clock::time_point)> send;
        std::function<void()> reject;
    };

    struct registration {
        /// Identifier of the call. It is unset when the task itself writes the record again.
        std::optional<core::call_id> call;
        core::register_host request;
    };

    template <typename Request, typename Response>
    struct unary_call {
        grpc::ClientContext context;
        Request request;
        Response response;
    };

    // Start of each type of call.

    void start(core::call_id id, const core::read_configuration& /*request*/) {
        read_key(id, core::configuration_key);
    }

    void start(core::call_id id, const core::read_term& request) {
        read_key(id, core::terms_prefix + request.group.value);
    }

    void start(core::call_id id, const core::swap_configuration& request) {
        swap(id, {0, request.value}, request.expected_revision);
    }

    void start(core::call_id id, const core::swap_term& request) {
        swap(id, {0, request.value}, request.expected_revision);
    }

    void start(core::call_id id, const core::read_view& /*request*/) {
        read_snapshot(
            [this, id](internal::snapshot found) {
                finish(id, core::platform_view{std::move(found.records)});
            },
            [this, id] { finish(id, core::platform_unavailable{}); });
    }

    void start(core::call_id id, const core::set_watch& request) {
        if (request.enabled) {
            start_watch(id);
        } else {
            replace_watch(0, nullptr);
            finish(id, core::platform_ok{});
        }
    }

    void start(core::call_id id, const core::register_host& request) {
        const std::lock_guard lock(mutex_);
        registrations_.push_back({id, request});
        wake_.notify_one();
    }

    void read_key(core::call_id id, const std::string& key) {
        send<etcdserverpb::RangeResponse>(
            internal::range_request(key),
            [this](auto&&... arguments) { kv_->async()->Range(arguments...); },
            [this, id](const grpc::Status& status, const etcdserverpb::RangeResponse& response) {
                finish(id, status.ok() ? internal::parse_read_result(settings_, response)
                                       : core::platform_unavailable{});
            },
            [this, id] { finish(id, core::platform_unavailable{}); });
    }

    void swap(core::call_id id, const core::platform_record& wanted,
              std::int64_t expected_revision) {
        send<etcdserverpb::TxnResponse>(
            internal::swap_request(wanted, expected_revision),
            [this](auto&&... arguments) { kv_->async()->Txn(arguments...); },
            [this, id, wanted](const grpc::Status& status,
                               const etcdserverpb::TxnResponse& response) {
                finish(id, status.ok() ? internal::parse_swap_result(settings_, wanted, response)
                                       : core::platform_unknown{});
            },
            [this, id] { finish(id, core::platform_unavailable{}); });
    }

    void read_snapshot(std::function<void(internal::snapshot)> done, std::function<void()> failed) {
        send<etcdserverpb::TxnResponse>(
            internal::snapshot_request(),
            [this](auto&&... arguments) { kv_->async()->Txn(arguments...); },
            [this, done = std::move(done), failed](const grpc::Status& status,
                                                   const etcdserverpb::TxnResponse& response) {
                if (status.ok()) {
                    done(internal::parse_snapshot(settings_, response));
                } else {
                    failed();
                }
            },
            failed);
    }

    // Watch.

    void start_watch(core::call_id id) {
        auto session = std::make_shared<watch_session>(watch_session::hooks{
            .changed = [this](const etcdserverpb::KeyValue& value) { report_change(value); },
            .established = [this, id] { finish(id, core::platform_ok{}); },
            .lost =
                [this, id](bool established) {
                    if (established) {
                        sink_(core::platform_watch_lost{});
                    } else {
                        finish(id, core::platform_unavailable{});
                    }
                },
            .ended = [this](grpc::ClientContext& context) { untrack_context(context); },
            .completed = [this] { end_tracking(); }});
        replace_watch(id, session);
        read_snapshot(
            [this, session](const internal::snapshot& found) { open_watch(*session, found); },
            [this, id, session] {
                if (session->stop()) {
                    finish(id, core::platform_unavailable{});
                }
            });
    }

    void open_watch(watch_session& session, const internal::snapshot& found) {
        const bool wanted = session.run_unless_stopped([this, &found] {
            for (const core::platform_record& record : found.records) {
                sink_(core::platform_changed{record});
            }
        });
        if (wanted && track_call(session.context())) {
            add_host_metadata(session.context());
            session.open(*watch_, found.revision + 1);
        }
    }

    /// @brief Replaces the current session and stops the previous one. A previous set_watch that
    /// was not established yet ends with the result platform_unavailable.
    void replace_watch(core::call_id id, std::shared_ptr<watch_session> session) {
        std::shared_ptr<watch_session> previous;
        core::call_id previous_id = 0;
        {
            const std::lock_guard lock(mutex_);
            previous = std::exchange(session_, std::move(session));
            previous_id = std::exchange(session_call_, id);
        }
        if (previous && previous->stop()) {
            finish(previous_id, core::platform_unavailable{});
        }
    }

    // Registration of the host. `registering_` is true while a registration or renewal is in
    // progress; there is at most one at a time.

    void begin_registration(const registration& wanted) {
        bool has_lease = false;
        {
            const std::lock_guard lock(mutex_);
            if (record_ && record_->lease != wanted.request.lease) {
                lease_id_ = 0;
            }
            record_ = wanted.request;
            record_written_ = false;
            has_lease = lease_id_ != 0;
        }
        if (has_lease) {
            put_record(wanted);
        } else {
            grant_lease(wanted);
        }
    }

    void grant_lease(const registration& wanted) {
        etcdserverpb::LeaseGrantRequest request;
        request.set_ttl(wanted.request.lease.count());
        const auto failed = [this, wanted] {
            end_registration(wanted, core::platform_unavailable{});
        };
        send<etcdserverpb::LeaseGrantResponse>(
            request, [this](auto&&... arguments) { lease_->async()->LeaseGrant(arguments...); },
            [this, wanted, failed](const grpc::Status& status,
                                   const etcdserverpb::LeaseGrantResponse& response) {
                if (!status.ok() || response.id() == 0) {
                    failed();
                    return;
                }
                {
                    const std::lock_guard lock(mutex_);
                    lease_id_ = response.id();
                }
                put_record(wanted);
            },
            failed);
    }

    void put_record(const registration& wanted) {
        const core::platform_record record{0, wanted.request.host};
        etcdserverpb::PutRequest request;
        request.set_key(core::record_key(record));
        request.set_value(codec::encode_record(record));
        {
            const std::lock_guard lock(mutex_);
            request.set_lease(lease_id_);
        }
        send<etcdserverpb::PutResponse>(
            request, [this](auto&&... arguments) { kv_->async()->Put(arguments...); },
            [this, wanted](const grpc::Status& status,
                           const etcdserverpb::PutResponse& /*response*/) {
                if (status.error_code() == grpc::StatusCode::NOT_FOUND) {
                    // The lease has expired since it was granted.
                    grant_lease(wanted);
                } else if (status.ok()) {
                    end_registration(wanted, core::platform_ok{});
                } else {
                    end_registration(wanted, core::platform_unknown{});
                }
            },
            [this, wanted] { end_registration(wanted, core::platform_unavailable{}); });
    }

    void end_registration(const registration& wanted, core::platform_result result) {
        {
            const std::lock_guard lock(mutex_);
            record_written_ = std::holds_alternative<core::platform_ok>(result);
            registering_ = false;
            next_renewal_ = steady_clock::now() + wanted.request.lease / renewals_per_lease;
            wake_.notify_one();
        }
        if (wanted.call) {
            finish(*wanted.call, std::move(result));
        }
    }

    void renew_lease(std::int64_t lease) {
        const std::lock_guard lock(mutex_);
        pending_.push_back(
            {steady_clock::now() + settings_.call_timeout,
             [this, lease](steady_clock::time_point deadline) { send_renewal(lease, deadline); },
             [this] { end_renewal(std::nullopt); }});
    }

    void send_renewal(std::int64_t lease, steady_clock::time_point deadline) {
        // The renewal deletes itself in OnDone.
        auto renewal = std::make_unique<lease_renewal>();
        grpc::ClientContext& context = renewal->context();
        if (!track_call(context)) {
            return;
        }
        add_host_metadata(context);
        set_deadline(context, deadline);
        renewal.release()->start(
            *lease_, lease,
            [this](std::optional<std::chrono::seconds> remaining) {
                end_renewal(remaining);
                end_tracking();
            },
            [this](grpc::ClientContext& ended) { untrack_context(ended); });
    }

    void end_renewal(std::optional<std::chrono::seconds> remaining) {
        const std::lock_guard lock(mutex_);
        registering_ = false;
        next_renewal_ = steady_clock::now();
        if (remaining == 0s) {
            lease_id_ = 0;
        } else {
            next_renewal_ += record_->lease / renewals_per_lease;
        }
        wake_.notify_one();
    }

    // The task's thread.

    void run(const std::stop_token& stop) {
        std::unique_lock lock(mutex_);
        while (!stop.stop_requested()) {
            if (!pending_.empty()) {
                const pending_call call = std::move(pending_.front());
                pending_.pop_front();
                lock.unlock();
                if (connect(stop, call.deadline)) {
                    call.send(call.deadline);
                } else {
                    call.reject();
                }
                lock.lock();
            } else if (!registering_ && registration_due()) {
                registering_ = true;
                start_registration(lock);
            } else {
                const auto ready = [this] {
                    return !pending_.empty() || (!registering_ && registration_due());
                };
                const bool timed = record_ && !registering_;
                wake_.wait_until(
                    lock, stop, timed ? next_renewal_ : steady_clock::now() + idle_interval, ready);
            }
        }
    }

    [[nodiscard]] bool registration_due() const {
        return !registrations_.empty() || (record_ && steady_clock::now() >= next_renewal_);
    }

    void start_registration(std::unique_lock<std::mutex>& lock) {
        std::optional<registration> wanted;
        if (!registrations_.empty()) {
            wanted = std::move(registrations_.front());
            registrations_.pop_front();
        } else if (lease_id_ == 0 || !record_written_) {
            wanted = registration{std::nullopt, *record_};
        }
        const std::int64_t lease = lease_id_;
        lock.unlock();
        if (wanted) {
            begin_registration(*wanted);
        } else {
            renew_lease(lease);
        }
        lock.lock();
    }

    /// @brief Waits until the channel is connected.
    /// @return False when the last attempt to connect failed, the deadline has passed or the task
    /// stops. In these cases nothing was sent.
    [[nodiscard]] bool connect(const std::stop_token& stop, steady_clock::time_point deadline) {
        while (!stop.stop_requested()) {
            const grpc_connectivity_state state = channel_->GetState(true);
            if (state == GRPC_CHANNEL_READY) {
                return true;
            }
            if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN ||
                steady_clock::now() >= deadline) {
                return false;
            }
            channel_->WaitForStateChange(state,
                                         std::chrono::system_clock::now() + connect_poll_interval);
        }
        return false;
    }

    // Sending and tracking of calls.

    /// @brief Queues a unary call.
    /// @param invoke Calls the stub with the context, the request, the response and a callback.
    /// @param done Is called with the status and the response after the call was sent.
    /// @param reject Is called instead when the call was not sent, because there was no connection
    /// before its deadline or the task is stopping.
    template <typename Response, typename Request, typename Invoke, typename Done>
    void send(Request request, Invoke invoke, Done done, std::function<void()> reject) {
        auto call = std::make_shared<unary_call<Request, Response>>();
        call->request = std::move(request);
        const auto start = [this, call, invoke, done,
                            reject](steady_clock::time_point deadline) mutable {
            add_host_metadata(call->context);
            set_deadline(call->context, deadline);
            if (!track_call(call->context)) {
                reject();
                return;
            }
            grpc::ClientContext* const context = &call->context;
            const auto* const sent = &call->request;
            Response* const response = &call->response;
            std::function<void(grpc::Status)> callback =
                [this, call, done](const grpc::Status& status) mutable {
                    {
                        const Done finished = std::move(done);
                        finished(status, call->response);
                    }
                    untrack_context(call->context);
                    call.reset();
                    end_tracking();
                };
            invoke(context, sent, response, callback);
        };
        const std::lock_guard lock(mutex_);
        pending_.push_back(
            {steady_clock::now() + settings_.call_timeout, start, std::move(reject)});
        wake_.notify_one();
    }

    /// @brief Registers an outstanding call, so that the destructor cancels it and waits for its
    /// end.
    /// @return False when the task is stopping and the call must not be started.
    [[nodiscard]] bool track_call(grpc::ClientContext& context) {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return false;
        }
        contexts_.insert(&context);
        ++outstanding_;
        return true;
    }

    /// @brief Removes the context of a call that has ended, so that the destructor does not cancel
    /// it.
    void untrack_context(grpc::ClientContext& context) {
        const std::lock_guard lock(mutex_);
        contexts_.erase(&context);
    }

    /// @brief Removes a call from the outstanding ones, for which the destructor waits. The task
    /// may be destroyed as soon as this function returns.
    ///
    /// The call's context must be destroyed before, because it refers to the channel. If a callback
    /// dropped the last reference to the channel, gRPC would join its callback thread on that
    /// thread itself.
    void end_tracking() {
        const std::lock_guard lock(mutex_);
        --outstanding_;
        call_ended_.notify_all();
    }

    void add_host_metadata(grpc::ClientContext& context) const {
        if (!settings_.host.empty()) {
            context.AddMetadata(host_metadata_key, settings_.host.value);
        }
    }

    static void set_deadline(grpc::ClientContext& context, steady_clock::time_point deadline) {
        context.set_deadline(
            std::chrono::system_clock::now() +
            std::chrono::duration_cast<std::chrono::microseconds>(deadline - steady_clock::now()));
    }

    void finish(core::call_id id, core::platform_result result) {
        sink_(core::platform_finished{id, std::move(result)});
    }

    void report_change(const etcdserverpb::KeyValue& value) {
        if (std::optional<core::platform_record> record = internal::decode(settings_, value)) {
            sink_(core::platform_changed{std::move(*record)});
        }
    }

    platform_settings settings_;
    std::function<void(core::event)> sink_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<etcdserverpb::KV::Stub> kv_;
    std::unique_ptr<etcdserverpb::Watch::Stub> watch_;
    std::unique_ptr<etcdserverpb::Lease::Stub> lease_;
    std::mutex mutex_;
    std::condition_variable_any wake_;
    std::condition_variable call_ended_;
    std::deque<pending_call> pending_;
    /// Contexts of the outstanding calls that can be cancelled.
    std::set<grpc::ClientContext*> contexts_;
    /// Number of calls that gRPC has not finished yet.
    std::size_t outstanding_ = 0;
    bool stopping_ = false;
    std::shared_ptr<watch_session> session_;
    core::call_id session_call_ = 0;
    std::deque<registration> registrations_;
    bool registering_ = false;
    std::optional<core::register_host> record_;
    bool record_written_ = false;
    std::int64_t lease_id_ = 0;
    steady_clock::time_point next_renewal_;
    std::jthread thread_;
};

platform_task::platform_task(platform_settings settings, std::function<void(core::event)> sink)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(sink))) {}

platform_task::~platform_task() = default;

void platform_task::perform(const core::call_platform& call) {
    implementation_->perform(call);
}

} // namespace lovagemoor::platform
