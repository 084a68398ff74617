#pragma once

#include "simulated_platform.hpp"
#include "simulated_targets.hpp"

#include <lovagemoor/core/engine.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lovagemoor::bench {

/// @return Processor time that this process has used so far.
[[nodiscard]] std::chrono::nanoseconds process_cpu_time();

struct fleet_options {
    std::size_t hosts = 15;
    std::size_t domains = 4;
    std::size_t groups = 5;
    std::uint64_t seed = 1;
    /// True when all hosts are registered and know each other at the start, as after a long run.
    bool joined = false;
};

/// @brief Load that one kind of message or event causes.
struct kind_load {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds cpu{0};
};

/// @brief Load of all hosts since the last call of `fleet::reset_load`.
struct fleet_load {
    std::vector<std::uint64_t> bytes_sent;
    std::vector<std::uint64_t> bytes_received;
    /// Processor time of each host's engine, including the encoding and decoding of its messages.
    std::vector<std::chrono::nanoseconds> cpu;
    /// Longest processor time of one event. The host handles nothing else during this time.
    std::chrono::nanoseconds longest_event_cpu{0};
    /// Messages and bytes by the kind of message sent, and processor time by the kind of event
    /// handled.
    std::map<std::string, kind_load> load_by_kind;
    std::map<std::string, std::uint64_t> control_calls;
    platform_load platform_start;
};

/// @brief Simulates many hosts by running their engines on one time-ordered event queue.
///
/// Peer messages are encoded and decoded and arrive after 2 ms. The platform answers after 2 ms,
/// targets answer at once. There are no callers.
class fleet {
public:
    explicit fleet(const fleet_options& options);

    /// @brief Runs the simulation until the given simulated time or until `is_done` returns true.
    /// @return Simulated time at the end of the run.
    core::time_point run_until(core::time_point end, const std::function<bool()>& is_done = {});

    void call_operator(std::size_t host, const core::operator_call& call);
    void stop_host(std::size_t host);

    void stop_target(const core::target_id& target) { targets_.stop(target); }

    void reset_load();

    [[nodiscard]] const fleet_load& load() const noexcept { return load_; }

    [[nodiscard]] const simulated_platform& platform() const noexcept { return platform_; }

    [[nodiscard]] core::time_point now() const noexcept { return now_; }

    [[nodiscard]] const core::service_record& first_service() const noexcept { return service_; }

    /// @return True when the condition has held on each running host. A host on which it has held
    /// is not checked again until the next call with `reset`.
    bool holds_on_all_hosts(const std::function<bool(const core::cluster_view&)>& condition,
                            bool reset = false);

    /// @return Number of hosts whose records differ from those of the first host.
    [[nodiscard]] std::size_t count_differing_views() const;

    /// @return Number of members that a host does not know, summed over all hosts.
    [[nodiscard]] std::size_t count_unknown_members() const;

private:
    struct wire_message {
        std::size_t from = 0;
        std::string bytes;
        const char* kind = "";
    };

    struct wakeup {};

    struct scheduled_event {
        core::time_point at;
        std::uint64_t sequence_number = 0;
        std::size_t host = 0;
        std::variant<wakeup, wire_message, core::event> payload;
    };

    struct occurs_later {
        bool operator()(const scheduled_event& left, const scheduled_event& right) const noexcept {
            return left.at != right.at ? left.at > right.at
                                       : left.sequence_number > right.sequence_number;
        }
    };

    struct simulated_host {
        core::host_record record;
        std::unique_ptr<core::engine> engine;
        bool started = false;
        bool stopped = false;
        core::time_point wakeup = core::time_point::max();
    };

    void add_records(const fleet_options& options);
    void add_hosts(const fleet_options& options);
    void schedule(core::time_point at, std::size_t host,
                  std::variant<wakeup, wire_message, core::event> payload);
    void deliver(const scheduled_event& item);
    void start(std::size_t host);
    void handle_event(std::size_t host, const core::event& value, const std::string& kind);
    void perform_action(std::size_t host, const core::action& value, const std::string& kind);
    void send(std::size_t host, const core::send_to_peer& message, const std::string& kind);
    void call_target(std::size_t host, const core::call_control& call);
    void call_platform(std::size_t host, const core::call_platform& call);
    void add_cpu(std::size_t host, const std::string& kind, std::chrono::nanoseconds since);
    void schedule_wakeup(std::size_t host);

    core::time_point now_{std::chrono::seconds{100}};
    std::uint64_t last_sequence_number_ = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, occurs_later> queue_;
    std::vector<simulated_host> hosts_;
    std::unordered_map<core::host_id, std::size_t> host_indexes_;
    std::vector<bool> condition_held_;
    simulated_platform platform_;
    simulated_targets targets_;
    core::service_record service_;
    /// Membership records of all hosts when they know each other at the start; otherwise empty.
    std::vector<core::member_update> initial_members_;
    fleet_load load_;
};

} // namespace lovagemoor::bench
