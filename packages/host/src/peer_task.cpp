#include <lovagemoor/host/peer_task.hpp>

#include <lovagemoor/codec/peer_codec.hpp>
#include <lovagemoor/telemetry/polled_mailbox.hpp>

#include "peer_link.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace lovagemoor::host {

namespace internal {

namespace {

/// Maximum number of sockets of a task. A cluster is designed for up to 1,800 hosts, each of which
/// needs one socket; the rest is a reserve.
constexpr int max_sockets = 4'096;

/// A received message has four frames: connection identity, sender, receiver and payload.
constexpr std::size_t frame_count = 4;

/// Maximum number of messages that the task receives before it handles outgoing messages again.
constexpr int receive_batch = 256;

struct data_message_visitor {
    bool operator()(const core::forward_request& /*message*/) const noexcept { return true; }

    bool operator()(const core::forward_rows& /*message*/) const noexcept { return true; }

    bool operator()(const core::forward_outcome& /*message*/) const noexcept { return true; }

    bool operator()(const core::forward_cancel& /*message*/) const noexcept { return true; }

    template <typename Control>
    bool operator()(const Control& /*message*/) const noexcept {
        return false;
    }
};

bool is_data(const core::peer_message& message) {
    return std::visit(data_message_visitor{}, message);
}

zmq::context_t make_context() {
    zmq::context_t context{1};
    context.set(zmq::ctxopt::max_sockets, max_sockets);
    return context;
}

zmq::socket_t make_router(zmq::context_t& context, const peer_settings& settings) {
    zmq::socket_t router{context, zmq::socket_type::router};
    router.set(zmq::sockopt::rcvhwm, settings.high_water_mark);
    router.set(zmq::sockopt::linger, 0);
    router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(settings.max_message_bytes));
    try {
        router.bind(settings.bind_endpoint);
    } catch (const zmq::error_t& error) {
        throw peer_bind_error{settings.bind_endpoint, error.what()};
    }
    return router;
}

void block_signals() noexcept {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

} // namespace internal

peer_bind_error::peer_bind_error(const std::string& endpoint, const std::string& reason)
    : std::runtime_error{"cannot listen for other hosts on " + endpoint + ": " + reason} {}

class peer_task::implementation {
public:
    implementation(peer_settings settings, std::function<void(core::event)> sink)
        : settings_{std::move(settings)},
          sink_{std::move(sink)},
          context_{internal::make_context()},
          router_{internal::make_router(context_, settings_)},
          endpoint_{router_.get(zmq::sockopt::last_endpoint)},
          outgoing_{settings_.max_queued_messages},
          thread_{[this] { run(); }} {}

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() {
        outgoing_.close();
        thread_.join();
    }

    [[nodiscard]] const std::string& endpoint() const noexcept { return endpoint_; }

    void perform(const core::send_to_peer& action) {
        if (!outgoing_.push(queued_action{action, internal::steady_clock::now()})) {
            const std::lock_guard lock{mutex_};
            ++counters_.dropped;
        }
    }

    void set_blocked(std::set<core::host_id> hosts) {
        const std::lock_guard lock{mutex_};
        blocked_ = std::move(hosts);
    }

    [[nodiscard]] peer_counters counters() const {
        const std::lock_guard lock{mutex_};
        return counters_;
    }

private:
    struct queued_action {
        core::send_to_peer action;
        internal::steady_clock::time_point created;
    };

    void run() {
        internal::block_signals();
        bool closing = false;
        while (!closing) {
            wait();
            receive();
            // closed() is read before take_all(), so that every message that the queue accepted is
            // sent before the loop ends.
            closing = outgoing_.closed();
            for (queued_action& queued : outgoing_.pop_all()) {
                dispatch(std::move(queued));
            }
            flush_and_close_links(internal::steady_clock::now());
        }
        const std::lock_guard lock{mutex_};
        links_.clear();
    }

    void dispatch(queued_action queued) {
        core::send_to_peer& action = queued.action;
        if (action.to == settings_.self) {
            sink_(core::peer_received{std::move(action.to), std::move(action.message)});
            return;
        }
        internal::outgoing_message message{codec::encode_peer_message(action.message),
                                           internal::is_data(action.message), queued.created};
        const std::lock_guard lock{mutex_};
        if (blocked_.contains(action.to)) {
            ++counters_.blocked;
            return;
        }
        if (internal::peer_link* link = find_or_open_link(action, queued.created)) {
            link->push(std::move(message), counters_);
        }
    }

    /// @return The link to the action's host and address. Null when the address is invalid or no
    /// socket is available.
    internal::peer_link* find_or_open_link(const core::send_to_peer& action,
                                           internal::steady_clock::time_point now) {
        const auto found = links_.find(action.to);
        if (found != links_.end()) {
            if (found->second.address() == action.address) {
                return &found->second;
            }
            found->second.drop_messages(counters_);
            links_.erase(found);
        }
        try {
            return &links_
                        .try_emplace(action.to, context_, settings_, action.to, action.address, now)
                        .first->second;
        } catch (const zmq::error_t& error) {
            ++(error.num() == EMFILE ? counters_.dropped : counters_.invalid_addresses);
            return nullptr;
        }
    }

    void flush_and_close_links(internal::steady_clock::time_point now) {
        const std::lock_guard lock{mutex_};
        for (auto& [host, link] : links_) {
            link.flush(now, counters_);
        }
        std::erase_if(links_, [now](const auto& entry) { return entry.second.idle_at(now); });
        counters_.open_links = links_.size();
    }

    /// @brief Waits until a message arrives, an outgoing message is queued, a link with queued
    /// messages can send, or the next timeout ends.
    void wait() {
        std::vector<zmq::pollitem_t> items{{router_.handle(), 0, ZMQ_POLLIN, 0},
                                           {nullptr, outgoing_.descriptor(), ZMQ_POLLIN, 0}};
        internal::steady_clock::time_point wakeup = internal::steady_clock::time_point::max();
        for (auto& [host, link] : links_) {
            wakeup = std::min(wakeup, link.next_expiry());
            if (link.has_pending_messages()) {
                items.push_back({link.socket().handle(), 0, ZMQ_POLLOUT, 0});
            }
        }
        try {
            zmq::poll(items, poll_timeout(wakeup));
        } catch (const zmq::error_t& error) {
            if (error.num() != EINTR) {
                throw;
            }
        }
    }

    /// @return The time until `wakeup`, rounded up to milliseconds, or -1 to wait without a limit.
    static std::chrono::milliseconds
    poll_timeout(internal::steady_clock::time_point wakeup) noexcept {
        if (wakeup == internal::steady_clock::time_point::max()) {
            return std::chrono::milliseconds{-1};
        }
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(wakeup - internal::steady_clock::now());
        return std::max(left, std::chrono::milliseconds{0});
    }

    void receive() {
        std::vector<zmq::message_t> frames;
        for (int count = 0; count < internal::receive_batch; ++count) {
            frames.clear();
            do {
                if (!router_.recv(frames.emplace_back(), zmq::recv_flags::dontwait).has_value()) {
                    return;
                }
            } while (frames.back().more());
            handle_frames(frames);
        }
    }

    void handle_frames(const std::vector<zmq::message_t>& frames) {
        if (frames.size() != internal::frame_count) {
            increment(counters_.malformed);
            return;
        }
        core::host_id from{frames[1].to_string()};
        codec::result<core::peer_message> message =
            codec::decode_peer_message(frames[3].to_string_view());
        if (from.empty() || message.has_error()) {
            increment(counters_.malformed);
            return;
        }
        if (frames[2].to_string_view() != settings_.self.value) {
            increment(counters_.misdirected);
            return;
        }
        {
            const std::lock_guard lock{mutex_};
            if (blocked_.contains(from)) {
                ++counters_.blocked;
                return;
            }
            peer_traffic& traffic = internal::is_data(message.value()) ? counters_.received_data
                                                                       : counters_.received_control;
            ++traffic.messages;
            traffic.bytes += internal::frames_size(from, settings_.self, frames[3].size());
        }
        sink_(core::peer_received{std::move(from), std::move(message).value()});
    }

    void increment(std::uint64_t& counter) {
        const std::lock_guard lock{mutex_};
        ++counter;
    }

    const peer_settings settings_;
    const std::function<void(core::event)> sink_;
    zmq::context_t context_;
    zmq::socket_t router_;
    const std::string endpoint_;
    telemetry::polled_mailbox<queued_action> outgoing_;
    /// Protects counters_ and blocked_. Only the task's thread uses router_ and links_.
    mutable std::mutex mutex_;
    peer_counters counters_;
    std::set<core::host_id> blocked_;
    std::map<core::host_id, internal::peer_link> links_;
    std::jthread thread_;
};

peer_task::peer_task(peer_settings settings, std::function<void(core::event)> sink)
    : implementation_{std::make_unique<implementation>(std::move(settings), std::move(sink))} {}

peer_task::~peer_task() = default;

const std::string& peer_task::endpoint() const noexcept {
    return implementation_->endpoint();
}

void peer_task::perform(const core::send_to_peer& action) {
    implementation_->perform(action);
}

void peer_task::set_blocked(std::set<core::host_id> hosts) {
    implementation_->set_blocked(std::move(hosts));
}

peer_counters peer_task::counters() const {
    return implementation_->counters();
}

} // namespace lovagemoor::host
