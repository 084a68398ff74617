#include "session_host.hpp"

#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/platform_adapter/host_documents.hpp>
#include <lovagemoor/platform_adapter/registry_documents.hpp>
#include <lovagemoor/platform_adapter/statement_protocol.hpp>
#include <lovagemoor/proxy/registry/restoration_delay.hpp>

#include <boost/asio/post.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <utility>

namespace lovagemoor {

namespace internal {

namespace {

using platform_adapter::demotions_prefix;
using platform_adapter::hosts_prefix;
using platform_adapter::suspicions_prefix;

/// @name Further registry keys that session hosts write
/// @{
/// Prefix of all keys for promotions.
constexpr std::string_view promotion_prefix = "lovagemoor/promotion/";
/// @}

/// Lease duration of a host's registration. The registration of a host that crashed ends after this
/// time; its connections to targets are gone by then.
constexpr std::chrono::seconds registration_duration{9};

/// Interval at which the list of hosts is read. It affects only the hosts' shares of connections
/// and majorities.
constexpr std::chrono::seconds hosts_poll_interval{8};

/// Interval at which the list of hosts is read after a start, so that hosts that start together
/// know each other's links before traffic begins, and time for which it is.
constexpr std::chrono::seconds first_hosts_poll_interval{1};
constexpr std::chrono::seconds first_hosts_polls_time{6};

/// Time for which the first read of the configuration waits for the list of hosts if there are
/// several regions, so that it can go to a relay: hosts that start again together must not read a
/// large document over a small link all at once. It is that of opening a connection.
constexpr std::chrono::milliseconds first_hosts_wait{500};

/// Pauses between watches, so that few calls suffice to learn of targets that start together and of
/// configurations in quick succession. The last change of a series is in force 1 s later; the
/// tightest bound of the reference deployments is 3 s.
constexpr std::chrono::milliseconds targets_watch_pause{200};
constexpr std::chrono::milliseconds configuration_watch_pause{100};
constexpr std::chrono::milliseconds watch_pause_max{800};

/// Pause between watches of the promotion keys, as reports of a lost primary come in quick
/// succession.
constexpr std::chrono::milliseconds suspicions_watch_pause{100};

/// Pause between watches of the quota slots' owners. While an owner is not known, its part of the
/// quotas is not granted.
constexpr std::chrono::milliseconds quota_watch_pause{100};

/// Interval at which a pending watch is checked for a lost answer. With the time limit of the call
/// it is well below the tightest bound of the reference deployments (3 s for a configuration).
constexpr std::chrono::milliseconds watch_check_interval{2400};

/// The process ends this long before the end of its grace time at the latest, even if callers have
/// not read all answers.
constexpr std::chrono::milliseconds stop_margin{500};

/// Shortest interval at which the engine learns of contact with hosts of other failure domains. A
/// tenth of the time without contact after which this host may be cut off.
constexpr std::chrono::milliseconds peer_contact_interval{100};

/// Interval at which the host checks whether a call to the registry is due.
constexpr std::chrono::milliseconds registry_poll_interval{100};

/// Number of proofs of the configuration in the time within which a withdrawn key must be out of
/// use. One proof may fail and be repeated in time.
constexpr int proofs_per_withdrawal = 2;

/// @return The time of a clock that also advances while the machine is suspended, because the age
/// of a proof of leadership must keep growing then.
core::time_point now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

proxy::session_engine_settings engine_settings_from(const settings::session_settings& settings) {
    proxy::session_engine_settings result;
    result.host = settings.id;
    result.domain = settings.domain;
    result.stop_grace = settings.stop_grace;
    result.draining_use_time = settings.target_drain / 2;
    result.drain_time = settings.target_drain;
    result.key_withdrawal = settings.key_withdrawal;
    result.domain_regions = settings.domain_regions;
    result.quota.window = settings.quota_window;
    result.quota.overage = settings.quota_overage;
    result.quota.slack = settings.quota_slack;
    return result;
}

bool has_several_regions(const settings::session_settings& settings) {
    return std::any_of(settings.domain_regions.begin(), settings.domain_regions.end(),
                       [&settings](const auto& entry) {
                           return entry.second != settings.domain_regions.begin()->second;
                       });
}

/// Part of the descriptors for callers that is always left to them, also with a large reserve.
constexpr std::size_t min_caller_divisor = 2;

/// Part of the reserve that each of the two HTTP ports may use, and its bounds.
constexpr std::size_t http_reserve_divisor = 8;
constexpr std::size_t min_http_connections = 4;
constexpr std::size_t max_http_connections = 32;

/// Parts of the memory for callers that one answer, and all incomplete answers, may take. An answer
/// is copied when it is encoded.
constexpr std::size_t answer_divisor = 4;
constexpr std::size_t all_answers_divisor = 2;

/// Headers and bodies of probes are far smaller.
constexpr std::size_t max_probe_bytes = std::size_t{8} * 1024;

/// Probes come once a second, scrapes once a minute and over connections that may be opened again.
constexpr std::chrono::seconds http_idle_timeout{10};

/// @return Number of descriptors that this process may use; 0 for no limit.
std::size_t descriptor_limit(const settings::session_settings& settings) {
    rlimit process{};
    if (::getrlimit(RLIMIT_NOFILE, &process) != 0 || process.rlim_cur == RLIM_INFINITY) {
        return settings.max_descriptors;
    }
    const std::size_t allowed = process.rlim_cur;
    return settings.max_descriptors == 0 ? allowed : std::min(settings.max_descriptors, allowed);
}

std::size_t reserved_descriptors(const settings::session_settings& settings) {
    const std::size_t limit = descriptor_limit(settings);
    return limit == 0 ? settings.reserved_descriptors
                      : std::min(settings.reserved_descriptors, limit / min_caller_divisor);
}

std::size_t caller_memory_bytes(const settings::session_settings& settings) {
    return (settings.memory_mb << 20U) / 100 * settings.caller_memory_percent;
}

gateway::caller_limits caller_limits_from(const settings::session_settings& settings) {
    gateway::caller_limits limits;
    const std::size_t descriptors = descriptor_limit(settings);
    limits.max_sessions = descriptors == 0 ? settings.max_sessions
                                           : std::min(settings.max_sessions,
                                                      descriptors - reserved_descriptors(settings));
    limits.start_timeout = settings.start_timeout;
    limits.message_timeout = settings.message_timeout;
    limits.answer_timeout = settings.answer_timeout;
    limits.memory.total_bytes = caller_memory_bytes(settings);
    return limits;
}

gateway::answer_limits answer_limits_from(const settings::session_settings& settings) {
    gateway::answer_limits limits{.answer_bytes = settings.max_answer_mb << 20U};
    const std::size_t memory = caller_memory_bytes(settings);
    if (memory > 0) {
        limits.answer_bytes = std::min(limits.answer_bytes, memory / answer_divisor);
        limits.total_bytes = memory / all_answers_divisor;
    }
    return limits;
}

/// @brief Makes the allocator return large blocks to the system as soon as they are freed. By
/// default, it raises its threshold up to 32 MB with the first of them, and buffers that grow side
/// by side then leave holes in the heap.
void return_freed_memory() {
    // One read of a line_stream, so that no incomplete message takes a part of the heap.
    constexpr int threshold_bytes = static_cast<int>(gateway::line_stream::read_bytes);
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

gateway::http_server::limits http_limits_from(const settings::session_settings& settings) {
    return {.header_bytes = max_probe_bytes,
            .body_bytes = max_probe_bytes,
            .connections = std::clamp(reserved_descriptors(settings) / http_reserve_divisor,
                                      min_http_connections, max_http_connections),
            .idle_timeout = http_idle_timeout};
}

std::shared_ptr<proxy::registry_follower> make_follower(std::string_view prefix,
                                                        proxy::follower_settings settings) {
    return std::make_shared<proxy::registry_follower>(std::string{prefix}, settings);
}

} // namespace

} // namespace internal

session_host::session_host(const settings::session_settings& settings, std::string settings_file)
    : settings_{settings},
      settings_file_{std::move(settings_file)},
      logger_{settings.id, settings.log_level, std::cout},
      engine_{internal::engine_settings_from(settings)},
      callers_{context_, settings.caller_listen, internal::caller_limits_from(settings),
               platform_adapter::make_statement_codec(),
               [this](const proxy::event& input) { handle(input); }},
      targets_{context_, settings.id.value, platform_adapter::make_statement_codec(),
               [this](const proxy::event& input) {
                   if (lending_.has_value() && connection_lending::concerns_lender(input)) {
                       lending_->on_target_event(input);
                   } else {
                       handle(input);
                   }
               },
               internal::answer_limits_from(settings)},
      ready_server_{
          context_, settings.ready_listen,
          [this](const gateway::http_server::request& request) { return answer_request(request); },
          internal::http_limits_from(settings)},
      registry_client_{context_, settings.registry_address, settings.call_timeout},
      configuration_follower_{internal::make_follower(
          platform_adapter::configuration_key, {.watch_pause = internal::configuration_watch_pause,
                                                .watch_pause_max = internal::watch_pause_max,
                                                .check_interval = internal::watch_check_interval})},
      configuration_proof_{std::string{platform_adapter::configuration_key},
                           settings.key_withdrawal / internal::proofs_per_withdrawal},
      targets_follower_{internal::make_follower(
          platform_adapter::targets_prefix, {.watch_pause = internal::targets_watch_pause,
                                             .watch_pause_max = internal::watch_pause_max,
                                             .check_interval = internal::watch_check_interval})},
      hosts_follower_{internal::make_follower(
          settings.link_listen.empty() ? platform_adapter::hosts_prefix
                                       : platform_adapter::host_keys_prefix,
          {.poll_interval = settings.link_listen.empty() ? internal::hosts_poll_interval
                                                         : internal::first_hosts_poll_interval})},
      registration_{std::string{internal::hosts_prefix} + settings.id.value, settings.domain.value,
                    internal::registration_duration},
      engine_timer_{context_},
      registry_timer_{context_},
      signals_{context_, SIGTERM, SIGINT, SIGHUP} {
    if (settings.memory_mb > 0) {
        internal::return_freed_memory();
    }
    callers_.set_accounting(make_caller_accounting());
    targets_.set_row_observer([this](std::size_t bytes) { callers_.add_memory(bytes); });
    registry_client_.set_answer_filter(
        [this](const std::optional<proxy::registry_era>& era) { return accept_answer(era); });
    if (!settings.link_listen.empty()) {
        open_link();
    }
    registry_client_.set_read_observer(
        [this](std::size_t bytes) { traffic_.add_registry_answer(bytes); });
    registry_client_.set_write_observer([this](platform_adapter::registry_client::write_kind kind) {
        const bool renewal = kind == platform_adapter::registry_client::write_kind::renewal;
        metrics_.perform(
            core::count_metric{"lovagemoor_registry_calls_total",
                               {{"kind", renewal ? "renewal" : "write"}, {"source", "registry"}}});
    });
    // Promotions are not relayed: their delay would add to that of a failover. Nor are demotions,
    // as contact with the registry must prove that this host has heard of them.
    registry_relay::configuration relay_configuration{
        settings.id,
        settings.domain,
        std::string{platform_adapter::configuration_key},
        {std::string{platform_adapter::configuration_key},
         std::string{platform_adapter::targets_prefix},
         std::string{platform_adapter::host_keys_prefix}, std::string{proxy::quota_prefix}},
        {}};
    relay_configuration.settings.threshold = settings.relay_threshold;
    registry_relay_.emplace(registry_client_, link_router_.has_value() ? &*link_router_ : nullptr,
                            std::move(relay_configuration), relay_hooks());
    if (settings.quota_window.count() > 0) {
        open_quota_exchange();
    }
    if (!settings.metrics_listen.empty()) {
        metrics_server_.emplace(
            context_, settings.metrics_listen,
            [this](const gateway::http_server::request& request) {
                return answer_request(request);
            },
            internal::http_limits_from(settings));
    }
    if (!settings.promotion_address.empty()) {
        promotion_client_.emplace(context_, settings.promotion_address, settings.id.value,
                                  settings.call_timeout);
    }
}

registry_relay::hooks session_host::relay_hooks() {
    registry_relay::hooks hooks;
    hooks.now = internal::now;
    hooks.current_era = [this] { return registry_eras_.current(); };
    hooks.accept_answer = [this](const std::optional<proxy::registry_era>& era) {
        return accept_answer(era);
    };
    hooks.count = [this](const core::count_metric& metric) { metrics_.perform(metric); };
    hooks.log = [this](const core::log_event& event) { logger_.perform(event); };
    return hooks;
}

void session_host::open_link() {
    link::link_settings link_settings;
    link_settings.self = settings_.id;
    link_settings.listen_address = settings_.link_listen;
    link_router_.emplace(context_, std::move(link_settings));
    link_router_->on_ended([this](const std::string& host, link::close_reason reason) {
        log(core::log_event::level::info, "link_closed",
            {{"host", host}, {"reason", link::to_string(reason)}});
        metrics_.perform(core::count_metric{"lovagemoor_link_closed_total",
                                            {{"reason", link::to_string(reason)}}});
    });
    link_router_->on_transfer([this](const link_router::transfer& transferred) {
        traffic_.add(transferred.kind, transferred.direction, transferred.bytes);
        if (transferred.direction == link::transfer_direction::received) {
            on_peer_heard(transferred.domain);
        }
    });
    lending_.emplace(
        context_, settings_.id, *link_router_, targets_,
        [this](const proxy::event& input) { handle(input); },
        [this](const proxy::action& action) { dispatch(action); });
    const proxy::link_peer self{settings_.id, settings_.domain, settings_.region,
                                settings_.cpu_share, settings_.link_listen};
    registration_.add_item(std::string{platform_adapter::links_prefix} + settings_.id.value,
                           platform_adapter::encode_link(self));
}

void session_host::on_peer_heard(const core::domain_id& domain) {
    const core::time_point now = internal::now();
    const bool elsewhere = !domain.value.empty() && domain != settings_.domain;
    if (!elsewhere || now - peer_heard_at_ < internal::peer_contact_interval) {
        return;
    }
    peer_heard_at_ = now;
    // Not from within this call, as the link is in the middle of reading the channel.
    boost::asio::post(context_, [this] { handle(proxy::peer_contacted{}); });
}

void session_host::open_quota_exchange() {
    if (!link_router_.has_value()) {
        log(core::log_event::level::error, "quota_without_link",
            {{"reason", "without a link, no operation of an organisation with a rate can run"}});
        return;
    }
    quota_follower_ = internal::make_follower(proxy::quota_prefix,
                                              {.watch_pause = internal::quota_watch_pause,
                                               .watch_pause_max = internal::watch_pause_max,
                                               .check_interval = internal::watch_check_interval});
    quota_exchange_.emplace(
        context_, *link_router_, registry_client_, settings_.id,
        internal::engine_settings_from(settings_).quota, internal::registration_duration,
        quota_exchange_handlers{
            [] { return internal::now(); }, [this](const proxy::event& input) { handle(input); },
            [this](const core::log_event& event) { logger_.perform(event); },
            [this](const core::count_metric& metric) { metrics_.perform(metric); }});
}

void session_host::update_quota_exchange() {
    if (quota_exchange_.has_value()) {
        quota_exchange_->update(registry_eras_.current(), registration_.lease());
    }
}

void session_host::perform(const proxy::request_quota& action) {
    if (quota_exchange_.has_value()) {
        quota_exchange_->perform(action);
        return;
    }
    boost::asio::post(context_, [this, number = action.request.number] {
        handle(proxy::quota_owner_unreachable{number});
    });
}

void session_host::run() {
    started_at_ = internal::now();
    log(core::log_event::level::info, "started",
        {{"failure_domain", settings_.domain.value},
         {"caller_listen", settings_.caller_listen},
         {"registry", settings_.registry_address}});
    wait_for_signals();
    poll_registry();
    schedule_timer();
    context_.run();
    log(core::log_event::level::info, "stopped", {});
}

void session_host::wait_for_signals() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            if (!stop_requested_at_.has_value()) {
                stop_requested_at_ = internal::now();
                if (lending_.has_value()) {
                    lending_->stop();
                }
            }
            if (quota_exchange_.has_value()) {
                quota_exchange_->stop();
            }
            handle(proxy::stop_requested{});
        }
        wait_for_signals();
    });
}

void session_host::reload() {
    const settings::result<settings::session_settings> read =
        settings::read_session_settings(settings_file_);
    if (!read) {
        log(core::log_event::level::error, "reload_rejected",
            {{"reason", settings::to_string(read.error())}});
        return;
    }
    const settings::session_settings& new_settings = read.value();
    const bool needs_restart = new_settings.id != settings_.id ||
                               new_settings.domain != settings_.domain ||
                               new_settings.caller_listen != settings_.caller_listen ||
                               new_settings.ready_listen != settings_.ready_listen ||
                               new_settings.registry_address != settings_.registry_address;
    log(core::log_event::level::info, "reloaded",
        {{"file", settings_file_}, {"needs_restart", needs_restart ? "true" : "false"}});
}

void session_host::schedule_timer() {
    const core::duration pause =
        std::max(core::duration{1000}, engine_.next_wakeup() - internal::now());
    engine_timer_.expires_after(pause);
    engine_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            handle(proxy::timer_expired{});
            if (lending_.has_value()) {
                lending_->on_timer();
            }
            schedule_timer();
        }
    });
}

void session_host::handle(const proxy::event& input) {
    for (const proxy::action& action : engine_.handle(internal::now(), input)) {
        dispatch(action);
    }
    targets_.flush();
    callers_.flush();
    if (link_router_.has_value()) {
        link_router_->flush();
    }
}

void session_host::dispatch(const proxy::action& action) {
    std::visit(core::overloaded{
                   [this](const proxy::accept_session& value) { callers_.perform(value); },
                   [this](const proxy::reject_session& value) { callers_.perform(value); },
                   [this](const proxy::answer_statement& value) { callers_.perform(value); },
                   [this](const proxy::drain_session& value) { callers_.perform(value); },
                   [this](const proxy::close_session& value) { callers_.perform(value); },
                   [this](const proxy::open_target& value) {
                       if (lending_.has_value() && value.holder.has_value()) {
                           lending_->perform(value);
                       } else {
                           targets_.perform(value);
                       }
                   },
                   [this](const proxy::send_commands& value) { perform_at_target(value); },
                   [this](const proxy::close_target& value) { perform_at_target(value); },
                   [this](const proxy::return_target& value) {
                       if (lending_.has_value()) {
                           lending_->perform(value);
                       }
                   },
                   [this](const proxy::set_ready& value) { ready_ = value.ready; },
                   [this](const proxy::stop_process& /*value*/) { stop_when_sent(); },
                   [this](const core::log_event& value) { logger_.perform(value); },
                   [this](const core::count_metric& value) { metrics_.perform(value); },
                   [this](const core::observe_duration& value) { metrics_.perform(value); },
                   [this](const auto& value) { perform(value); },
               },
               action);
}

void session_host::stop_when_sent() {
    // The engine asks again with each timer event.
    const bool in_time =
        stop_requested_at_.has_value() &&
        internal::now() - *stop_requested_at_ < settings_.stop_grace - internal::stop_margin;
    // Other hosts may still use connections of this one.
    const bool lends = lending_.has_value() && lending_->lends();
    const bool closing = callers_.closing();
    if (!in_time || (!closing && !lends)) {
        const core::duration taken = stop_requested_at_.has_value()
                                         ? internal::now() - *stop_requested_at_
                                         : core::duration{0};
        log(core::log_event::level::info, "stop_completed",
            {{"after_ms",
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(taken).count())},
             {"open_connections", std::to_string(callers_.session_count())},
             {"closing", closing ? "true" : "false"},
             {"lends", lends ? "true" : "false"}});
        context_.stop();
    }
}

void session_host::perform(const proxy::promote_target& action) {
    if (promotion_client_.has_value()) {
        promotion_client_->promote(
            action, [this](const proxy::promotion_answered& answer) { handle(answer); });
    }
}

gateway::http_server::response
session_host::answer_request(const gateway::http_server::request& request) const {
    if (request.target == "/metrics") {
        return {200, "text/plain; version=0.0.4", metrics_.render(), {}};
    }
    return ready_ ? gateway::http_server::response{200, "text/plain", "ready\n", {}}
                  : gateway::http_server::response{503, "text/plain", "not ready\n", {}};
}

void session_host::poll_registry() {
    update_lock_era();
    slow_down_hosts_polls();
    registry_relay_->poll();
    maintain_registration();
    read_configuration();
    run_follower(targets_follower_);
    run_follower(hosts_follower_);
    for (const std::shared_ptr<proxy::registry_follower>& follower :
         {demotions_follower_, promotion_follower_, quota_follower_}) {
        if (follower != nullptr) {
            run_follower(follower);
        }
    }
    check_watches();
    update_quota_exchange();
    report_traffic();
    registry_timer_.expires_after(internal::registry_poll_interval);
    registry_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            poll_registry();
        }
    });
}

void session_host::read_configuration() {
    const bool knows_relays = hosts_listed_ || !internal::has_several_regions(settings_) ||
                              internal::now() - started_at_ >= internal::first_hosts_wait;
    if (knows_relays) {
        // Before the follower, whose calls go to a relay once it has given a proof.
        prove_configuration();
        run_follower(configuration_follower_);
    }
}

void session_host::report_traffic() {
    const std::size_t unsent = link_router_.has_value() ? link_router_->unsent_bytes() : 0;
    const std::optional<core::log_event> line =
        traffic_.take(internal::now(), unsent,
                      [this](const core::count_metric& counted) { metrics_.perform(counted); });
    if (line.has_value()) {
        logger_.perform(*line);
    }
}

void session_host::slow_down_hosts_polls() {
    if (hosts_polls_slowed_ || !link_router_.has_value() ||
        internal::now() - started_at_ < internal::first_hosts_polls_time) {
        return;
    }
    hosts_polls_slowed_ = true;
    hosts_follower_ = internal::make_follower(platform_adapter::host_keys_prefix,
                                              {.poll_interval = internal::hosts_poll_interval});
}

void session_host::resume_configuration_watch() {
    const std::optional<proxy::item_change> change = std::exchange(proved_change_, std::nullopt);
    if (!change.has_value() || change->item.revision <= configuration_follower_->revision() ||
        !configuration_follower_->connected()) {
        return;
    }
    // A whole interval of proofs has passed, in which a watch that waits would have returned it.
    log(core::log_event::level::warning, "watch_lost",
        {{"prefix", configuration_follower_->prefix()},
         {"revision", std::to_string(change->item.revision)}});
    configuration_follower_ =
        std::make_shared<proxy::registry_follower>(configuration_follower_->resumed_after(*change));
    run_follower(configuration_follower_);
}

std::optional<std::chrono::milliseconds> session_host::required_proof_interval() const {
    std::optional<std::chrono::milliseconds> required;
    if (registry_relay_->is_large(applied_configuration_.bytes)) {
        required = internal::watch_check_interval;
    }
    if (settings_.key_withdrawal.count() > 0) {
        const std::chrono::milliseconds interval =
            settings_.key_withdrawal / internal::proofs_per_withdrawal;
        required = std::min(required.value_or(interval), interval);
    }
    return required;
}

void session_host::prove_configuration() {
    const std::optional<std::chrono::milliseconds> interval =
        registry_relay_->proof_interval(required_proof_interval());
    if (!interval.has_value()) {
        return;
    }
    configuration_proof_.set_interval(*interval);
    const std::optional<proxy::configuration_proof::call> call =
        configuration_proof_.next_call(internal::now());
    if (!call.has_value()) {
        return;
    }
    const auto apply = [this, sent_in = registry_eras_.current()](
                           const registry_relay::origin& origin, proxy::registry_status status,
                           const auto& read_answer) {
        if (registry_eras_.restored_since(sent_in)) {
            return;
        }
        const bool unanswered = status == proxy::registry_status::unknown;
        if (unanswered && registry_relay_->is_large(applied_configuration_.bytes) &&
            !registry_client_.receiving()) {
            // As after a failed check, whose place the proof takes.
            restart_watches();
        }
        const proxy::configuration_proof::outcome outcome = read_answer();
        resume_configuration_watch();
        for (const proxy::item_change& change : outcome.changes) {
            apply_configuration(change);
            proved_change_ = change;
            proved_change_->item.value.clear();
        }
        if (outcome.as_of.has_value()) {
            // The age that a relay states is counted from the sending of the request, so an answer
            // that was delayed does not appear younger than it is.
            const core::time_point as_of = *outcome.as_of - origin.proof_age;
            metrics_.perform(core::observe_duration{
                "lovagemoor_configuration_proof_age_seconds", {}, internal::now() - as_of});
            handle(proxy::configuration_confirmed{as_of});
        }
    };
    std::visit(core::overloaded{
                   [&](const proxy::list_items& value) {
                       registry_relay_->list(value, registry_relay::purpose::prove,
                                             [this, apply](const proxy::item_page& page,
                                                           const registry_relay::origin& origin) {
                                                 apply(origin, page.status, [&] {
                                                     return configuration_proof_.on_page(
                                                         internal::now(), page);
                                                 });
                                             });
                   },
                   [&](const proxy::watch_items& value) {
                       registry_relay_->watch(value, registry_relay::purpose::prove,
                                              [this, apply](const proxy::item_changes& changes,
                                                            const registry_relay::origin& origin) {
                                                  apply(origin, changes.status, [&] {
                                                      return configuration_proof_.on_changes(
                                                          internal::now(), changes);
                                                  });
                                              });
                   },
               },
               *call);
}

bool session_host::accept_answer(const std::optional<proxy::registry_era>& era) {
    const std::optional<proxy::registry_era> previous = registry_eras_.current();
    const proxy::registry_era_tracker::assignment assigned = registry_eras_.assign(era);
    update_lock_era();
    switch (assigned) {
    case proxy::registry_era_tracker::assignment::current:
        return true;
    case proxy::registry_era_tracker::assignment::newer:
        handle(proxy::registry_restored{*previous, *era});
        restart_after_restoration();
        return true;
    case proxy::registry_era_tracker::assignment::outdated:
        break;
    }
    log(core::log_event::level::debug, "registry_answer_ignored",
        {{"era", era.has_value() ? std::to_string(*era) : "none"},
         {"current_era", previous.has_value() ? std::to_string(*previous) : "none"}});
    return false;
}

void session_host::restart_after_restoration() {
    const core::time_point time = internal::now();
    const std::chrono::milliseconds delay = proxy::restoration_delay(settings_.id);
    const auto start_afresh = [&](std::shared_ptr<proxy::registry_follower>& follower,
                                  core::duration pause) {
        if (follower != nullptr) {
            follower = std::make_shared<proxy::registry_follower>(follower->restored(time, pause));
        }
    };
    log(core::log_event::level::info, "registry_reread",
        {{"revision", std::to_string(configuration_follower_->revision())},
         {"lease", std::to_string(registration_.lease())},
         {"delay_ms", std::to_string(delay.count())}});
    // Before the first new call, as this abandons the calls through relays.
    registry_relay_->on_restored();
    configuration_proof_.on_restored(time);
    proved_change_.reset();
    for (std::shared_ptr<proxy::registry_follower>* const urgent :
         {&configuration_follower_, &targets_follower_, &demotions_follower_}) {
        start_afresh(*urgent, {});
        if (*urgent != nullptr) {
            run_follower(*urgent);
        }
    }
    recent_revisions_ = {};
    start_afresh(hosts_follower_, delay);
    start_afresh(promotion_follower_, delay);
    start_afresh(quota_follower_, delay);
    registration_.on_restored(time, delay);
    update_quota_exchange();
}

void session_host::maintain_registration() {
    const std::optional<proxy::lease_keeper::call> call = registration_.next_call(internal::now());
    if (!call.has_value()) {
        return;
    }
    // The registration starts anew when the registry is restored, and the id of a lease may be
    // given out again, so results of calls that were sent before are ignored.
    const std::optional<proxy::registry_era> sent_in = registry_eras_.current();
    const auto on_lease = [this, sent_in,
                           sent = internal::now()](const proxy::lease_outcome& outcome) {
        if (registry_eras_.restored_since(sent_in)) {
            return;
        }
        registration_.on_lease(internal::now(), outcome);
        if (quota_exchange_.has_value()) {
            if (outcome.status == proxy::registry_status::done) {
                quota_exchange_->on_lease_renewed(sent);
            } else if (outcome.status == proxy::registry_status::lease_ended) {
                quota_exchange_->on_lease_lost();
            }
        }
        const bool lost =
            outcome.status == proxy::registry_status::unknown && !registry_client_.receiving();
        if (lost || outcome.status == proxy::registry_status::rejected) {
            restart_watches();
        }
        maintain_registration();
    };
    std::visit(
        core::overloaded{
            [&](const proxy::grant_lease& value) { registry_client_.grant(value, on_lease); },
            [&](const proxy::renew_lease& value) { registry_client_.renew(value, on_lease); },
            [&](const proxy::write_items& value) {
                registry_client_.write(value, [this, sent_in](const proxy::write_outcome& outcome) {
                    if (registry_eras_.restored_since(sent_in)) {
                        return;
                    }
                    registration_.on_written(internal::now(), outcome);
                    maintain_registration();
                });
            },
        },
        *call);
}

void session_host::run_follower(const std::shared_ptr<proxy::registry_follower>& follower) {
    // While the registry is unreachable, only the follower of the configuration calls it.
    if (follower != configuration_follower_ && !follower->connected() &&
        !configuration_follower_->connected()) {
        return;
    }
    const std::optional<proxy::registry_follower::call> call = follower->next_call(internal::now());
    if (!call.has_value()) {
        return;
    }
    // The result is ignored if the follower has been destroyed in the meantime.
    const auto process_result =
        [this, weak = std::weak_ptr<proxy::registry_follower>{follower}](const auto& apply_result) {
            if (const std::shared_ptr<proxy::registry_follower> source = weak.lock()) {
                const bool was_connected = source->connected();
                const proxy::registry_follower::update update = apply_result(*source);
                handle_connection_change(*source, was_connected);
                apply_update(*source, update);
            }
            if (const std::shared_ptr<proxy::registry_follower> still_followed = weak.lock()) {
                run_follower(still_followed);
            }
        };
    std::visit(
        core::overloaded{
            [&](const proxy::list_items& value) {
                // A list shows at least the state of the time at which it was requested.
                const auto on_page =
                    [this, process_result, sent = internal::now(), stale = value.may_be_stale](
                        const proxy::item_page& page, const registry_relay::origin& origin) {
                        const bool exact = !stale && !origin.relayed;
                        if (page.status == proxy::registry_status::done && exact) {
                            recent_revisions_.note(sent, page.revision);
                        }
                        process_result([&page](proxy::registry_follower& source) {
                            return source.on_page(internal::now(), page);
                        });
                    };
                registry_relay_->list(value, registry_relay::purpose::follow, on_page);
            },
            [&](const proxy::watch_items& value) {
                registry_relay_->watch(
                    value, registry_relay::purpose::follow,
                    [this, process_result](const proxy::item_changes& changes,
                                           const registry_relay::origin& origin) {
                        if (changes.status == proxy::registry_status::done && !origin.relayed) {
                            recent_revisions_.note(internal::now(), changes.revision);
                        }
                        process_result([&changes, this](proxy::registry_follower& source) {
                            if (changes.status == proxy::registry_status::history_lost &&
                                source.lost_history_early(internal::now())) {
                                note_disturbance();
                            }
                            return source.on_changes(internal::now(), changes);
                        });
                    });
            },
        },
        *call);
}

std::array<std::shared_ptr<proxy::registry_follower>*, 5> session_host::watching_followers() {
    return {&configuration_follower_, &targets_follower_, &demotions_follower_,
            &promotion_follower_, &quota_follower_};
}

void session_host::restart_watches() {
    // A watch that waits for changes may have been lost in an outage without an error.
    for (std::shared_ptr<proxy::registry_follower>* const follower : watching_followers()) {
        if (*follower != nullptr && (*follower)->connected()) {
            *follower =
                std::make_shared<proxy::registry_follower>((*follower)->restarted(internal::now()));
            handle_connection_change(**follower, true);
        }
    }
}

void session_host::note_disturbance() {
    // Other watches may lose changes in the same disruption without an error.
    for (const std::shared_ptr<proxy::registry_follower>* const follower : watching_followers()) {
        if (*follower != nullptr) {
            (*follower)->on_disturbance(internal::now());
        }
    }
}

void session_host::check_watches() {
    for (const std::shared_ptr<proxy::registry_follower>* const slot : watching_followers()) {
        // Proofs take the place of checks that would transfer a large document each time.
        if (*slot == nullptr || (*slot == configuration_follower_ &&
                                 registry_relay_->is_large(applied_configuration_.bytes))) {
            continue;
        }
        const core::time_point time = internal::now();
        const std::optional<proxy::list_items> check =
            (*slot)->next_check(time, recent_revisions_.oldest(time));
        if (check.has_value()) {
            const bool is_exact = !check->may_be_stale;
            registry_relay_->list(
                *check, registry_relay::purpose::check,
                [this, time, is_exact, weak = std::weak_ptr<proxy::registry_follower>{*slot}](
                    const proxy::item_page& page, const registry_relay::origin& origin) {
                    if (is_exact && !origin.relayed &&
                        page.status == proxy::registry_status::done) {
                        recent_revisions_.note(time, page.revision);
                    }
                    if (const auto checked = weak.lock()) {
                        finish_check(checked, page);
                    }
                });
        }
    }
}

void session_host::finish_check(const std::shared_ptr<proxy::registry_follower>& checked,
                                const proxy::item_page& page) {
    using check_result = proxy::registry_follower::check_result;
    const check_result result = checked->on_check(internal::now(), page);
    if (result == check_result::failed && !registry_client_.receiving()) {
        restart_watches();
    }
    if (result != check_result::watch_lost) {
        return;
    }
    log(core::log_event::level::warning, "watch_lost",
        {{"prefix", checked->prefix()}, {"revision", std::to_string(page.revision)}});
    for (std::shared_ptr<proxy::registry_follower>* const slot : watching_followers()) {
        if (*slot == checked) {
            *slot = std::make_shared<proxy::registry_follower>(checked->resumed());
            run_follower(*slot);
            return;
        }
    }
}

void session_host::handle_connection_change(const proxy::registry_follower& follower,
                                            bool was_connected) {
    if (follower.connected() == was_connected) {
        return;
    }
    log(core::log_event::level::warning, was_connected ? "registry_lost" : "registry_regained",
        {{"prefix", follower.prefix()}});
    handle(proxy::registry_reachable{configuration_follower_->connected()});
}

void session_host::apply_update(const proxy::registry_follower& follower,
                                const proxy::registry_follower::update& update) {
    if (&follower == configuration_follower_.get()) {
        for (const proxy::item_change& change : update.changes) {
            apply_configuration(change);
            configuration_proof_.on_read(change.item.revision);
        }
    } else if (&follower == targets_follower_.get()) {
        apply_targets(update);
    } else if (&follower == hosts_follower_.get()) {
        apply_hosts(update);
    } else if (&follower == demotions_follower_.get()) {
        apply_demotions(update);
    } else if (&follower == quota_follower_.get()) {
        quota_exchange_->apply(update);
    } else {
        apply_promotions(update);
    }
}

void session_host::apply_configuration(const proxy::item_change& change) {
    if (change.removed || change.item.key != platform_adapter::configuration_key) {
        return;
    }
    const applied_document read{change.item.revision, change.item.value.size(),
                                std::hash<std::string>{}(change.item.value)};
    if (read == applied_configuration_) {
        // The watch and the proof both return each change.
        return;
    }
    applied_configuration_ = read;
    const platform_adapter::document_result<platform_adapter::configuration_document> parsed =
        platform_adapter::parse_configuration(change.item.value);
    if (!parsed) {
        log(core::log_event::level::error, "configuration_rejected",
            {{"revision", std::to_string(change.item.revision)},
             {"reason", parsed.error().reason}});
        return;
    }
    for (const std::string& reason : parsed.value().rejected_entries) {
        log(core::log_event::level::error, "configuration_entry_rejected",
            {{"revision", std::to_string(change.item.revision)}, {"reason", reason}});
    }
    if (quota_exchange_.has_value()) {
        quota_exchange_->configure(parsed.value().configuration);
    }
    handle(proxy::configuration_changed{parsed.value().configuration});
}

void session_host::apply_targets(const proxy::registry_follower::update& update) {
    proxy::targets_listed listed;
    for (const proxy::item_change& change : update.changes) {
        const std::optional<core::target_id> id = platform_adapter::target_of_key(change.item.key);
        if (!id.has_value()) {
            log(core::log_event::level::warning, "target_entry_rejected",
                {{"target", change.item.key},
                 {"revision", std::to_string(change.item.revision)},
                 {"reason", "the key names no target"}});
            continue;
        }
        if (change.removed) {
            handle(proxy::target_removed{*id});
            continue;
        }
        const platform_adapter::document_result<proxy::target_record> parsed =
            platform_adapter::parse_target(id->value, change.item.value);
        if (!parsed) {
            log(core::log_event::level::warning, "target_entry_rejected",
                {{"target", id->value},
                 {"revision", std::to_string(change.item.revision)},
                 {"reason", parsed.error().reason}});
            if (!update.complete) {
                // As in a list, the entry names no target that may be used.
                handle(proxy::target_removed{*id});
            }
        } else if (update.complete) {
            listed.targets.push_back(parsed.value());
        } else {
            handle(proxy::target_changed{parsed.value()});
        }
    }
    if (update.complete) {
        handle(listed);
    }
}

void session_host::apply_hosts(const proxy::registry_follower::update& update) {
    if (!update.complete) {
        return;
    }
    proxy::hosts_listed listed;
    proxy::link_peers_listed links;
    bool registered = false;
    for (const proxy::item_change& change : update.changes) {
        if (change.item.key.starts_with(platform_adapter::links_prefix)) {
            const std::optional<proxy::link_peer> peer =
                platform_adapter::parse_link(change.item.key, change.item.value);
            if (peer.has_value()) {
                links.peers.push_back(*peer);
            } else {
                log_rejected_item("link_entry_rejected", change.item);
            }
            continue;
        }
        const std::optional<core::host_id> host = platform_adapter::host_of_key(change.item.key);
        if (!host.has_value()) {
            log_rejected_item("host_entry_rejected", change.item);
            continue;
        }
        registered = registered || *host == settings_.id;
        listed.hosts.push_back({*host, core::domain_id{change.item.value}});
    }
    if (!registered) {
        registration_.on_lost(internal::now());
    }
    handle(listed);
    if (quota_exchange_.has_value()) {
        std::vector<core::host_id> hosts;
        for (const proxy::host_record& record : listed.hosts) {
            hosts.push_back(record.host);
        }
        quota_exchange_->on_hosts(hosts);
    }
    if (link_router_.has_value()) {
        link_router_->set_peers(links.peers);
        registry_relay_->set_peers(links.peers);
        handle(links);
    }
    if (!std::exchange(hosts_listed_, true)) {
        read_configuration();
    }
}

void session_host::apply_demotions(const proxy::registry_follower::update& update) {
    proxy::demotions_listed listed;
    for (const proxy::item_change& change : update.changes) {
        std::optional<proxy::primary_demotion> demotion =
            change.removed ? std::nullopt
                           : platform_adapter::parse_demotion(change.item.key, change.item.value);
        if (demotion.has_value()) {
            demotion->revision = change.item.revision;
        }
        if (demotion.has_value() && update.complete) {
            listed.demotions.push_back(*demotion);
        } else if (demotion.has_value()) {
            handle(proxy::demotion_announced{*demotion});
        } else {
            log_rejected_item("demotion_rejected", change.item);
        }
    }
    if (update.complete) {
        handle(listed);
    }
}

void session_host::apply_promotions(const proxy::registry_follower::update& update) {
    proxy::suspicions_listed listed;
    const auto concerns_lock = [](const proxy::item_change& change) {
        return change.item.key == proxy::promotion_lock_key;
    };
    if (update.complete &&
        std::none_of(update.changes.begin(), update.changes.end(), concerns_lock)) {
        lock_claim_.on_lock_unknown();
    }
    for (const proxy::item_change& change : update.changes) {
        const std::string& key = change.item.key;
        if (key == proxy::promotion_lock_key) {
            apply_promotion_lock(change);
        }
        if (!key.starts_with(internal::suspicions_prefix)) {
            continue;
        }
        const std::optional<platform_adapter::suspicion_key> names =
            platform_adapter::parse_suspicion_key(key);
        if (!names.has_value()) {
            log_rejected_item("suspicion_rejected", change.item);
            continue;
        }
        const auto& [service, host] = *names;
        const proxy::suspicion_report report{service, core::target_id{change.item.value}, host};
        if (update.complete) {
            listed.reports.push_back(report);
        } else if (change.removed) {
            handle(proxy::suspicion_withdrawn{service, host});
        } else {
            handle(proxy::suspicion_reported{report});
        }
    }
    if (update.complete) {
        handle(listed);
    }
}

void session_host::apply_promotion_lock(const proxy::item_change& change) {
    update_lock_era();
    const std::optional<proxy::promotion_token> token =
        proxy::promotion_token::make(registry_eras_.current(), change.item.revision);
    if (!token.has_value()) {
        log_token_out_of_bounds(change.item.revision);
        return;
    }
    if (change.removed) {
        lock_claim_.on_lock_unknown();
        handle(proxy::promotion_lock_released{*token});
        return;
    }
    lock_claim_.on_lock_seen(internal::now(), change.item.revision);
    switch (lock_claim_.owner_of(change.item, settings_.id)) {
    case proxy::promotion_lock_owner::other:
        handle(proxy::promotion_lock_taken{*token});
        break;
    case proxy::promotion_lock_owner::pending_claim:
        // The lock was claimed, but the response to the claim was lost.
        finish_lock_claim(change.item.revision);
        break;
    case proxy::promotion_lock_owner::known_claim:
        break;
    }
}

void session_host::perform(const proxy::follow_promotions& action) {
    if (!action.active) {
        promotion_follower_.reset();
        lock_claim_.on_lock_unknown();
        return;
    }
    promotion_follower_ = internal::make_follower(
        internal::promotion_prefix, {.watch_pause = internal::suspicions_watch_pause,
                                     .check_interval = internal::watch_check_interval});
    run_follower(promotion_follower_);
}

void session_host::update_lock_era() {
    if (lock_claim_.on_era(internal::now(), registry_eras_.current())) {
        handle(proxy::promotion_lock_answered{});
    }
}

void session_host::perform(const proxy::acquire_promotion_lock& action) {
    lock_claim_.on_era(internal::now(), registry_eras_.current());
    const std::chrono::milliseconds wait =
        lock_claim_.time_until_claim(internal::now(), action.duration);
    if (wait.count() > 0) {
        handle(
            proxy::promotion_lock_answered{proxy::promotion_lock_result::too_early, {}, {}, wait});
        return;
    }
    const proxy::promotion_lock_claim::claim_number number =
        lock_claim_.start(internal::now(), action.duration);
    registry_client_.grant(proxy::grant_lease{action.duration},
                           [this, number](const proxy::lease_outcome& granted) {
                               if (!lock_claim_.pending(number)) {
                                   return;
                               }
                               if (granted.status != proxy::registry_status::done) {
                                   finish_lock_claim(proxy::promotion_lock_answered{});
                                   return;
                               }
                               lock_claim_.on_granted(granted.lease);
                               write_lock_claim(number);
                           });
}

void session_host::write_lock_claim(proxy::promotion_lock_claim::claim_number number) {
    const proxy::write_items claim = lock_claim_.claim_of(internal::now(), settings_.id);
    registry_client_.write(claim, [this, number](const proxy::write_outcome& written) {
        using status = proxy::registry_status;
        if (!lock_claim_.pending(number)) {
            return;
        }
        if (written.status == status::done) {
            finish_lock_claim(written.revision);
        } else if (written.status == status::conflict) {
            finish_lock_claim({proxy::promotion_lock_result::held_by_other, {}, {}});
        } else if (written.status == status::lease_ended) {
            finish_lock_claim(proxy::promotion_lock_answered{});
        } else {
            // The claim may still be executed; the follower then sees the lock's item.
            log(core::log_event::level::warning, "duty_claim_unanswered", {});
        }
    });
}

void session_host::finish_lock_claim(proxy::registry_revision revision) {
    const std::optional<proxy::promotion_token> token =
        proxy::promotion_token::make(registry_eras_.current(), revision);
    if (!token.has_value()) {
        // The lock expires unused.
        log_token_out_of_bounds(revision);
        finish_lock_claim(proxy::promotion_lock_answered{});
        return;
    }
    finish_lock_claim({proxy::promotion_lock_result::acquired, *token, {}});
}

void session_host::log_token_out_of_bounds(proxy::registry_revision revision) {
    log(core::log_event::level::error, "duty_token_out_of_bounds",
        {{"revision", std::to_string(revision)},
         {"era", std::to_string(registry_eras_.current().value_or(0))}});
}

void session_host::finish_lock_claim(const proxy::promotion_lock_answered& result) {
    if (!lock_claim_.pending()) {
        return;
    }
    proxy::promotion_lock_answered claimed = result;
    claimed.valid_for = lock_claim_.finish(internal::now());
    handle(claimed);
}

void session_host::perform(const proxy::publish_demotion& action) {
    const proxy::primary_demotion& demotion = action.demotion;
    // The conditions also hold back a write that the registry executes late, after another host has
    // acquired the lock.
    const proxy::write_items announcement{
        proxy::lock_conditions(action.fencing_token),
        {{std::string{internal::demotions_prefix} + demotion.service.value,
          std::to_string(demotion.term) + ' ' + demotion.target.value, 0}},
        {}};
    registry_client_.write(announcement, [this, demotion](const proxy::write_outcome& outcome) {
        const bool published = outcome.status == proxy::registry_status::done;
        if (!published) {
            log(core::log_event::level::warning, "demotion_not_published",
                {{"service", demotion.service.value}});
        }
        handle(proxy::demotion_publish_answered{demotion, published});
    });
}

void session_host::perform(const proxy::restore_demotion& action) {
    const proxy::primary_demotion& demotion = action.demotion;
    const std::string key = std::string{internal::demotions_prefix} + demotion.service.value;
    // A demotion holds for good, so it needs no lock. The condition keeps a later one.
    const proxy::write_items announcement{
        {{key, action.listed_revision}},
        {{key, std::to_string(demotion.term) + ' ' + demotion.target.value, 0}},
        {}};
    registry_client_.write(announcement,
                           [this, service = demotion.service](const proxy::write_outcome& outcome) {
                               handle(proxy::demotion_restore_answered{
                                   service, outcome.status == proxy::registry_status::done});
                           });
}

void session_host::perform(const proxy::list_demotions& /*action*/) {
    demotions_follower_ = internal::make_follower(
        internal::demotions_prefix, {.check_interval = internal::watch_check_interval});
    run_follower(demotions_follower_);
}

void session_host::perform(const proxy::contact_registry& /*action*/) {
    if (registration_.lease() == 0) {
        return;
    }
    // A renewal is billed at a tenth of other calls.
    const core::time_point sent = internal::now();
    registry_client_.renew(proxy::renew_lease{registration_.lease()},
                           [this, sent](const proxy::lease_outcome& outcome) {
                               if (outcome.status == proxy::registry_status::done) {
                                   handle(proxy::registry_contacted{sent});
                               }
                           });
}

void session_host::perform(const proxy::publish_suspicion& action) {
    if (registration_.lease() == 0) {
        // Without a lease the report would stay in the registry after this process has ended.
        log(core::log_event::level::warning, "suspicion_not_published",
            {{"service", action.report.service.value}, {"reason", "not registered"}});
        handle(proxy::suspicion_publish_failed{action.report.service});
        return;
    }
    const std::string key = std::string{internal::suspicions_prefix} + action.report.service.value +
                            "/" + settings_.id.value;
    registry_client_.write(
        proxy::write_items{{}, {{key, action.report.primary.value, registration_.lease()}}, {}},
        [this, service = action.report.service](const proxy::write_outcome& outcome) {
            if (outcome.status != proxy::registry_status::done) {
                log(core::log_event::level::warning, "suspicion_not_published",
                    {{"service", service.value}});
                handle(proxy::suspicion_publish_failed{service});
            }
        });
}

void session_host::perform(const proxy::withdraw_suspicion& action) {
    const std::string key =
        std::string{internal::suspicions_prefix} + action.service.value + "/" + settings_.id.value;
    registry_client_.write(proxy::write_items{{}, {}, {key}},
                           [this, service = action.service](const proxy::write_outcome& outcome) {
                               if (outcome.status != proxy::registry_status::done) {
                                   log(core::log_event::level::warning, "suspicion_not_withdrawn",
                                       {{"service", service.value}});
                                   handle(proxy::suspicion_withdrawal_failed{service});
                               }
                           });
}

gateway::caller_accounting session_host::make_caller_accounting() {
    return {.memory_of = [this](proxy::session_id id) { return engine_.memory_of(id); },
            .shared_bytes = [this] { return targets_.required_bytes(); },
            .on_closed = [this](gateway::caller_close_reason reason) { on_caller_closed(reason); },
            .on_discarded =
                [this](const gateway::discarded_statements& discarded) {
                    on_statements_discarded(discarded);
                }};
}

void session_host::on_statements_discarded(const gateway::discarded_statements& discarded) {
    const bool late = discarded.since_close.has_value();
    log(core::log_event::level::info, "statements_discarded",
        {{"session", std::to_string(discarded.session)},
         {"reason", proxy::to_string(discarded.reason)},
         {"id", discarded.first_id.empty() ? "none" : discarded.first_id},
         {"statements", std::to_string(discarded.count)},
         {"unread_bytes", std::to_string(discarded.unread_bytes)},
         {"since_close_ms", late ? std::to_string(discarded.since_close->count()) : "none"}});
    metrics_.perform(core::count_metric{"lovagemoor_statements_discarded_total",
                                        {{"arrived", late ? "after_close" : "before_close"},
                                         {"reason", proxy::to_string(discarded.reason)}}});
}

void session_host::on_caller_closed(gateway::caller_close_reason reason) {
    const std::string name = gateway::to_string(reason);
    metrics_.perform(core::count_metric{"lovagemoor_callers_closed_total", {{"reason", name}}});
    if (const std::optional<std::uint64_t> callers = caller_closes_.add(internal::now(), name)) {
        log(core::log_event::level::warning, "callers_closed",
            {{"reason", name}, {"callers", std::to_string(*callers)}});
    }
}

void session_host::log_rejected_item(const char* name, const proxy::registry_item& item) {
    log(core::log_event::level::warning, name,
        {{"key", item.key}, {"revision", std::to_string(item.revision)}});
}

void session_host::log(core::log_event::level severity, const char* name,
                       std::vector<std::pair<std::string, std::string>> fields) {
    logger_.perform(core::log_event{severity, name, std::move(fields)});
}

} // namespace lovagemoor
