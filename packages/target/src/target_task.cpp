#include <lovagemoor/target/target_task.hpp>

#include "clock.hpp"
#include "control_channel.hpp"
#include "data_connection.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace lovagemoor::target {

using internal::clock_type;
using internal::control_channel;
using internal::data_connection;
using internal::time_point;

class target_task::implementation {
public:
    using command = std::variant<core::open_connection, core::close_connection, core::run_job,
                                 core::call_control>;

    implementation(target_settings settings, std::function<void(core::event)> sink)
        : settings_(std::move(settings)),
          sink_(std::move(sink)),
          wakeup_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        if (wakeup_ < 0) {
            throw std::system_error(
                errno, std::generic_category(),
                "cannot create the event descriptor that wakes the target task");
        }
        thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
    }

    ~implementation() {
        thread_.request_stop();
        wake();
        thread_.join();
        ::close(wakeup_);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    void add(command item) {
        {
            const std::lock_guard lock(mutex_);
            commands_.push_back(std::move(item));
        }
        wake();
    }

private:
    /// Identifier of a target, and true for its channel for attest calls. They have a channel of
    /// their own because they may wait at the target.
    using channel_key = std::pair<core::target_id, bool>;

    void wake() const noexcept {
        const std::uint64_t one = 1;
        // A write fails only when the counter is full. The descriptor is readable then, so the
        // write need not be retried.
        static_cast<void>(::write(wakeup_, &one, sizeof one));
    }

    void run(const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            run_commands();
            expire(clock_type::now());
            remove_closed();
            wait_and_handle();
            remove_closed();
        }
        connections_.clear();
        channels_.clear();
    }

    void run_commands() {
        std::vector<command> commands;
        {
            const std::lock_guard lock(mutex_);
            commands.swap(commands_);
        }
        for (const command& item : commands) {
            std::visit([this](const auto& action) { run_command(action); }, item);
        }
    }

    void run_command(const core::open_connection& action) {
        connections_.erase(action.connection);
        connections_.try_emplace(action.connection, settings_, action, sink_, clock_type::now());
    }

    void run_command(const core::close_connection& action) {
        connections_.erase(action.connection);
    }

    void run_command(const core::run_job& action) {
        const auto found = connections_.find(action.connection);
        if (found != connections_.end() && !found->second.is_closed()) {
            found->second.run(action);
            return;
        }
        sink_(core::job_finished{action.connection, action.job, core::job_connection_lost{false}});
    }

    void run_command(const core::call_control& action) {
        const bool is_attest = std::holds_alternative<core::attest_call>(action.request);
        const channel_key key{action.target.id, is_attest};
        const auto found = channels_.try_emplace(key, settings_, action.target, sink_).first;
        found->second.add(action, clock_type::now());
    }

    void expire(time_point now) {
        for (auto& [id, connection] : connections_) {
            if (connection.next_expiry() <= now) {
                connection.expire(now);
            }
        }
        for (auto& [key, channel] : channels_) {
            if (channel.next_expiry() <= now) {
                channel.expire(now);
            }
        }
    }

    void remove_closed() {
        std::erase_if(connections_, [](const auto& item) { return item.second.is_closed(); });
        std::erase_if(channels_, [](const auto& item) { return item.second.is_unused(); });
    }

    /// @return Milliseconds until the next timeout, at most `max_wait_ms`, or -1 to wait without a
    /// limit.
    [[nodiscard]] int poll_timeout() const {
        time_point next = time_point::max();
        for (const auto& [id, connection] : connections_) {
            next = std::min(next, connection.next_expiry());
        }
        for (const auto& [key, channel] : channels_) {
            next = std::min(next, channel.next_expiry());
        }
        if (next == time_point::max()) {
            return -1;
        }
        const std::chrono::milliseconds wait =
            std::chrono::ceil<std::chrono::milliseconds>(next - clock_type::now());
        constexpr std::int64_t max_wait_ms = 60'000;
        return static_cast<int>(std::clamp<std::int64_t>(wait.count(), 0, max_wait_ms));
    }

    void wait_and_handle() {
        collect_sockets();
        if (::poll(sockets_.data(), sockets_.size(), poll_timeout()) < 0) {
            return; // poll() was interrupted by a signal; run() calls it again.
        }
        std::uint64_t count = 0;
        static_cast<void>(::read(wakeup_, &count, sizeof count));
        for (std::size_t index = 0; index < polled_.size(); ++index) {
            if (sockets_[index + 1].revents == 0) {
                continue;
            }
            if (data_connection** connection = std::get_if<data_connection*>(&polled_[index])) {
                (*connection)->handle_ready();
            } else {
                std::get<control_channel*>(polled_[index])->handle_ready(clock_type::now());
            }
        }
    }

    void collect_sockets() {
        sockets_.assign(1, {wakeup_, POLLIN, 0});
        polled_.clear();
        for (auto& [id, connection] : connections_) {
            sockets_.push_back({connection.socket(), connection.poll_events(), 0});
            polled_.emplace_back(&connection);
        }
        for (auto& [key, channel] : channels_) {
            if (channel.socket() >= 0) {
                sockets_.push_back({channel.socket(), channel.poll_events(), 0});
                polled_.emplace_back(&channel);
            }
        }
    }

    const target_settings settings_;
    const std::function<void(core::event)> sink_;
    int wakeup_;
    std::mutex mutex_;
    std::vector<command> commands_;
    std::map<core::connection_id, data_connection> connections_;
    std::map<channel_key, control_channel> channels_;
    /// The wake-up descriptor, followed by the sockets of `polled_`. Both vectors are members so
    /// that their memory is reused.
    std::vector<pollfd> sockets_;
    std::vector<std::variant<data_connection*, control_channel*>> polled_;
    std::jthread thread_;
};

target_task::target_task(const target_settings& settings, std::function<void(core::event)> sink)
    : implementation_(std::make_unique<implementation>(settings, std::move(sink))) {}

target_task::~target_task() = default;

void target_task::perform(const core::open_connection& action) {
    implementation_->add(action);
}

void target_task::perform(const core::close_connection& action) {
    implementation_->add(action);
}

void target_task::perform(const core::run_job& action) {
    implementation_->add(action);
}

void target_task::perform(const core::call_control& action) {
    implementation_->add(action);
}

} // namespace lovagemoor::target
