#include "fleet.hpp"

#include <lovagemoor/codec/peer_codec.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;

constexpr core::duration network_delay = 2ms;
constexpr core::duration platform_delay = 2ms;
/// Each host starts at a random time within this delay.
constexpr core::duration max_start_delay = 1s;
/// Resolution of the poll in the driver of an engine. It also ensures that simulated time advances
/// when a wakeup is overdue.
constexpr core::duration wakeup_resolution = 1ms;
constexpr std::size_t targets_per_group = 3;
constexpr std::size_t groups_per_service = 3;
constexpr std::size_t seed_hosts = 3;

constexpr std::array<const char*, std::variant_size_v<core::peer_message>> message_kinds{
    "forward_request",
    "forward_rows",
    "forward_outcome",
    "forward_cancel",
    "membership_ping",
    "membership_ack",
    "membership_ping_request",
    "membership_sync",
    "view_push",
    "view_request",
    "view_reply",
    "primary_report"};

constexpr std::array<const char*, std::variant_size_v<core::control_call>> control_kinds{
    "status", "raise", "promote", "attest"};

} // namespace

std::chrono::nanoseconds process_cpu_time() {
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

fleet::fleet(const fleet_options& options) {
    add_records(options);
    add_hosts(options);
    reset_load();
}

void fleet::add_records(const fleet_options& options) {
    core::configuration document;
    document.version = 1;
    std::size_t target_number = 0;
    for (std::size_t number = 0; number < options.groups; ++number) {
        core::group_record group;
        group.id = core::group_id{"group-" + std::to_string(number)};
        for (std::size_t member = 0; member < targets_per_group; ++member, ++target_number) {
            core::target_record target;
            target.id = core::target_id{group.id.value + "-" + std::to_string(member)};
            target.domain =
                core::domain_id{"zone-" + std::to_string(target_number % options.domains)};
            target.address = "10.2." + std::to_string(target_number / 250) + "." +
                             std::to_string(target_number % 250);
            target.port = 5432;
            targets_.add(target.id, member == 0);
            group.targets.push_back(target);
        }
        if (number % groups_per_service == 0) {
            core::service_record service;
            service.name = core::service_id{"service-" + std::to_string(document.services.size())};
            document.services.push_back(service);
        }
        document.services.back().groups.push_back(group.id);
        platform_.put({0, core::term_record{group.id,
                                            1,
                                            core::term_phase::serving,
                                            core::host_id{"host-0"},
                                            group.targets.front().id,
                                            {{1, 1}}}});
        platform_.put({0, std::move(group)});
    }
    service_ = document.services.front();
    platform_.put({0, std::move(document)});
    static_cast<void>(platform_.drain_changes());
}

void fleet::add_hosts(const fleet_options& options) {
    std::mt19937_64 random{options.seed};
    std::uniform_int_distribution<core::duration::rep> start{0, max_start_delay.count()};
    for (std::size_t number = 0; number < options.hosts; ++number) {
        const std::string address =
            "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        core::host_record record;
        record.id = core::host_id{"host-" + std::to_string(number)};
        record.domain = core::domain_id{"zone-" + std::to_string(number % options.domains)};
        record.peer_address = "tcp://" + address + ":7400";
        record.caller_address = address + ":7401";
        record.operator_address = address + ":7402";
        host_indexes_[record.id] = number;
        if (options.joined) {
            platform_.put({0, record});
            initial_members_.push_back({record,
                                        core::incarnation_number{1} << core::refutation_bits,
                                        core::member_state::alive, 0});
        }
        hosts_.push_back({record, nullptr, false, false, core::time_point::max()});
    }
    for (std::size_t number = 0; number < options.hosts; ++number) {
        core::engine_identity identity;
        identity.self = hosts_[number].record;
        identity.incarnation = core::incarnation_number{1} << core::refutation_bits;
        identity.session_key = "key";
        identity.random_seed = random();
        for (std::size_t seed = 0; seed < std::min(seed_hosts, options.hosts); ++seed) {
            identity.seeds.push_back(hosts_[seed].record);
        }
        hosts_[number].engine =
            std::make_unique<core::engine>(core::core_settings{}, std::move(identity));
        hosts_[number].wakeup = now_ + core::duration{start(random)};
        schedule(hosts_[number].wakeup, number, wakeup{});
    }
    condition_held_.resize(options.hosts);
    static_cast<void>(platform_.drain_changes());
}

core::time_point fleet::run_until(core::time_point end, const std::function<bool()>& is_done) {
    while (!queue_.empty() && queue_.top().at <= end) {
        const scheduled_event item = queue_.top();
        queue_.pop();
        now_ = item.at;
        if (!hosts_[item.host].stopped) {
            deliver(item);
        }
        if (is_done && is_done()) {
            return now_;
        }
    }
    now_ = end;
    return now_;
}

void fleet::call_operator(std::size_t host, const core::operator_call& call) {
    schedule(now_, host, core::event{core::operator_called{1, call}});
}

void fleet::stop_host(std::size_t host) {
    hosts_[host].stopped = true;
    platform_.stop_host(host);
}

void fleet::reset_load() {
    load_ = fleet_load{};
    load_.bytes_sent.resize(hosts_.size());
    load_.bytes_received.resize(hosts_.size());
    load_.cpu.resize(hosts_.size());
    load_.platform_start = platform_.load();
}

bool fleet::holds_on_all_hosts(const std::function<bool(const core::cluster_view&)>& condition,
                               bool reset) {
    if (reset) {
        condition_held_.assign(hosts_.size(), false);
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        if (!condition_held_[host] && !hosts_[host].stopped) {
            if (!condition(hosts_[host].engine->view())) {
                return false;
            }
            condition_held_[host] = true;
        }
    }
    return true;
}

std::size_t fleet::count_differing_views() const {
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [this](const simulated_host& host) {
            return host.engine->view().digest() != hosts_.front().engine->view().digest();
        }));
}

std::size_t fleet::count_unknown_members() const {
    std::size_t missing = 0;
    for (const simulated_host& host : hosts_) {
        missing += hosts_.size() - 1 - host.engine->view().members().size();
    }
    return missing;
}

void fleet::schedule(core::time_point at, std::size_t host,
                     std::variant<wakeup, wire_message, core::event> payload) {
    queue_.push(scheduled_event{at, ++last_sequence_number_, host, std::move(payload)});
}

void fleet::deliver(const scheduled_event& item) {
    simulated_host& host = hosts_[item.host];
    if (std::holds_alternative<wakeup>(item.payload)) {
        if (host.wakeup != item.at) {
            return;
        }
        host.wakeup = core::time_point::max();
        if (!host.started) {
            start(item.host);
        } else if (host.engine->next_wakeup() > now_) {
            schedule_wakeup(item.host);
        } else {
            handle_event(item.host, core::timer_expired{}, "timer");
        }
    } else if (const wire_message* message = std::get_if<wire_message>(&item.payload)) {
        if (!host.started) {
            return;
        }
        load_.bytes_received[item.host] += message->bytes.size();
        const std::chrono::nanoseconds before = process_cpu_time();
        codec::result<core::peer_message> decoded = codec::decode_peer_message(message->bytes);
        add_cpu(item.host, message->kind, before);
        if (!decoded.has_value()) {
            throw std::runtime_error{"a peer message cannot be decoded"};
        }
        handle_event(
            item.host,
            core::peer_received{hosts_[message->from].record.id, std::move(decoded).value()},
            message->kind);
    } else {
        const core::event& value = std::get<core::event>(item.payload);
        const bool is_control = std::holds_alternative<core::control_finished>(value);
        handle_event(item.host, value, is_control ? "control_finished" : "other_event");
    }
}

void fleet::start(std::size_t host) {
    hosts_[host].started = true;
    for (const core::action& value : hosts_[host].engine->start(now_)) {
        perform_action(host, value, "start");
    }
    if (initial_members_.empty()) {
        schedule_wakeup(host);
        return;
    }
    core::membership_sync list;
    list.is_reply = true;
    list.gossip.sender = initial_members_[host == 0 ? 1 : 0];
    list.gossip.updates = initial_members_;
    const core::host_id from = list.gossip.sender.host.id;
    handle_event(host, core::peer_received{from, std::move(list)}, "start");
}

void fleet::handle_event(std::size_t host, const core::event& value, const std::string& kind) {
    const std::chrono::nanoseconds before = process_cpu_time();
    const core::action_list actions = hosts_[host].engine->handle(now_, value);
    add_cpu(host, kind, before);
    for (const core::action& next : actions) {
        perform_action(host, next, kind);
    }
    schedule_wakeup(host);
}

void fleet::perform_action(std::size_t host, const core::action& value, const std::string& kind) {
    if (const auto* message = std::get_if<core::send_to_peer>(&value)) {
        send(host, *message, kind);
    } else if (const auto* control = std::get_if<core::call_control>(&value)) {
        call_target(host, *control);
    } else if (const auto* platform = std::get_if<core::call_platform>(&value)) {
        call_platform(host, *platform);
    } else if (const auto* open = std::get_if<core::open_connection>(&value)) {
        const core::target_id& target = open->target.id;
        if (targets_.is_stopped(target)) {
            schedule(now_ + 1s, host,
                     core::event{core::connection_closed{open->connection, target, false}});
        } else {
            schedule(now_, host, core::event{core::connection_opened{open->connection, target}});
        }
    } else if (const auto* job = std::get_if<core::run_job>(&value)) {
        schedule(now_, host,
                 core::event{core::job_finished{job->connection, job->job, core::job_done{}}});
    }
}

void fleet::send(std::size_t host, const core::send_to_peer& message, const std::string& kind) {
    const std::chrono::nanoseconds before = process_cpu_time();
    std::string bytes = codec::encode_peer_message(message.message);
    add_cpu(host, kind, before);
    const char* sent_kind = message_kinds.at(message.message.index());
    // The identifiers of sender and receiver are sent as separate frames. Headers of ZeroMQ and TCP
    // are not counted.
    const std::size_t size =
        bytes.size() + hosts_[host].record.id.value.size() + message.to.value.size();
    kind_load& load = load_.load_by_kind[sent_kind];
    ++load.messages;
    load.bytes += size;
    load_.bytes_sent[host] += size;
    const auto receiver = host_indexes_.find(message.to);
    // A message to a seed host may be sent before the identifier of the host is known, so the
    // receiver is then found by its address.
    const std::size_t to =
        receiver != host_indexes_.end()
            ? receiver->second
            : static_cast<std::size_t>(std::find_if(hosts_.begin(), hosts_.end(),
                                                    [&message](const simulated_host& candidate) {
                                                        return candidate.record.peer_address ==
                                                               message.address;
                                                    }) -
                                       hosts_.begin());
    if (to < hosts_.size()) {
        schedule(now_ + network_delay, to, wire_message{host, std::move(bytes), sent_kind});
    }
}

void fleet::call_target(std::size_t host, const core::call_control& call) {
    ++load_.control_calls[control_kinds.at(call.request.index())];
    const core::target_id& target = call.target.id;
    if (targets_.is_stopped(target)) {
        schedule(
            now_ + call.timeout, host,
            core::event{core::control_finished{call.call, target, core::control_unreachable{}}});
        return;
    }
    schedule(now_, host,
             core::event{core::control_finished{call.call, target,
                                                targets_.perform(target, call.request)}});
}

void fleet::call_platform(std::size_t host, const core::call_platform& call) {
    core::platform_result result = platform_.perform(host, call.request);
    schedule(now_ + platform_delay, host,
             core::event{core::platform_finished{call.call, std::move(result)}});
    for (const core::platform_record& record : platform_.drain_changes()) {
        for (const std::size_t watcher : platform_.watchers()) {
            schedule(now_ + platform_delay, watcher, core::event{core::platform_changed{record}});
        }
    }
}

void fleet::add_cpu(std::size_t host, const std::string& kind, std::chrono::nanoseconds since) {
    const std::chrono::nanoseconds used = process_cpu_time() - since;
    load_.cpu[host] += used;
    load_.longest_event_cpu = std::max(load_.longest_event_cpu, used);
    load_.load_by_kind[kind].cpu += used;
}

void fleet::schedule_wakeup(std::size_t host) {
    simulated_host& simulated = hosts_[host];
    const std::chrono::nanoseconds before = process_cpu_time();
    const core::time_point next = simulated.engine->next_wakeup();
    add_cpu(host, "next_wakeup", before);
    const core::time_point at = std::max(next, now_ + wakeup_resolution);
    if (at < simulated.wakeup) {
        simulated.wakeup = at;
        schedule(at, host, wakeup{});
    }
}

} // namespace lovagemoor::bench
