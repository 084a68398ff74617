#include "host_process.hpp"

#include <lovagemoor/core/membership.hpp>
#include <lovagemoor/core/overloaded.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <system_error>
#include <utility>
#include <variant>

namespace lovagemoor {

namespace internal {

/// Limit on the time that a stopping host waits for callers to read their last answers.
constexpr std::chrono::seconds answer_delivery_timeout{5};

std::unique_ptr<telemetry::metrics> make_metrics(const std::string& address) {
    return address.empty() ? std::make_unique<telemetry::metrics>()
                           : std::make_unique<telemetry::metrics>(address);
}

host::peer_settings peer_settings_from(const settings::host_settings& settings) {
    host::peer_settings result;
    result.self = settings.id;
    result.bind_endpoint = settings.peer_listen;
    result.source_address = settings.peer_source;
    return result;
}

target::target_settings target_settings_from(const settings::host_settings& settings) {
    target::target_settings result;
    result.host = settings.id;
    return result;
}

platform::platform_settings platform_settings_from(const settings::host_settings& settings,
                                                   telemetry::logger& logger) {
    platform::platform_settings result;
    result.endpoints = settings.platform_endpoints;
    result.host = settings.id;
    result.undecodable_record = [&logger](const std::string& key, std::error_code error) {
        logger.perform(core::log_event{core::log_event::level::error,
                                       "record_undecodable",
                                       {{"key", key}, {"error", error.message()}}});
    };
    return result;
}

/// @return A number that grows with each start of a host, so that other hosts can tell its new
/// process from the previous one.
core::incarnation_number first_incarnation() {
    const std::chrono::milliseconds since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return static_cast<core::incarnation_number>(since_epoch.count()) << core::refutation_bits;
}

} // namespace internal

host_process::host_process(const settings::host_settings& settings, std::string session_key)
    : logger_{settings.id, settings.log_level},
      metrics_{internal::make_metrics(settings.metrics_listen)},
      peers_{internal::peer_settings_from(settings),
             [this](core::event value) { (void)inbox_.push(std::move(value)); }},
      targets_{internal::target_settings_from(settings),
               [this](core::event value) { (void)inbox_.push(std::move(value)); }},
      platform_{internal::platform_settings_from(settings, logger_),
                [this](core::event value) { (void)inbox_.push(std::move(value)); }},
      callers_{{settings.caller_listen},
               [this](core::event value) { (void)inbox_.push(std::move(value)); }},
      operators_{{settings.operator_listen},
                 [this](core::event value) { (void)inbox_.push(std::move(value)); }} {
    engine_ = std::make_unique<engine_task>(settings.core,
                                            make_identity(settings, std::move(session_key)), inbox_,
                                            [this](const core::action& value) { perform(value); });
}

host_process::~host_process() {
    callers_.shutdown(internal::answer_delivery_timeout);
    engine_.reset();
}

core::engine_identity host_process::make_identity(const settings::host_settings& settings,
                                                  std::string session_key) const {
    core::engine_identity identity;
    identity.self.id = settings.id;
    identity.self.domain = settings.domain;
    identity.self.peer_address =
        settings.peer_advertise.empty() ? peers_.endpoint() : settings.peer_advertise;
    identity.self.caller_address = callers_.address();
    identity.self.operator_address = operators_.address();
    identity.incarnation = internal::first_incarnation();
    for (const settings::seed_host& seed : settings.seeds) {
        core::host_record record;
        record.id = seed.id;
        record.peer_address = seed.endpoint;
        identity.seeds.push_back(std::move(record));
    }
    identity.session_key = std::move(session_key);
    identity.random_seed = std::random_device{}();
    return identity;
}

std::string host_process::ready_line() const {
    return "event=ready caller=" + callers_.address() + " operator=" + operators_.address() +
           " peer=" + peers_.endpoint() + " metrics=127.0.0.1:" + std::to_string(metrics_->port());
}

void host_process::drain() {
    (void)inbox_.push(core::drain_requested{});
}

void host_process::update_gauges() {
    const host::peer_counters counters = peers_.counters();
    const auto set = [this](const char* direction, const char* kind,
                            const host::peer_traffic& traffic) {
        const telemetry::label_list labels{{"direction", direction}, {"kind", kind}};
        metrics_->set_gauge("lovagemoor_peer_messages", labels,
                            static_cast<double>(traffic.messages));
        metrics_->set_gauge("lovagemoor_peer_bytes", labels, static_cast<double>(traffic.bytes));
    };
    set("sent", "control", counters.sent_control);
    set("received", "control", counters.received_control);
    set("sent", "data", counters.sent_data);
    set("received", "data", counters.received_data);
    metrics_->set_gauge("lovagemoor_peer_dropped", {}, static_cast<double>(counters.dropped));
    metrics_->set_gauge("lovagemoor_engine_queue", {}, static_cast<double>(inbox_.size()));
}

void host_process::perform(const core::action& value) {
    const core::overloaded handlers{
        [this](const core::send_rows_to_caller& action) { callers_.perform(action); },
        [this](const core::answer_caller& action) { callers_.perform(action); },
        [this](const core::send_to_peer& action) { peers_.perform(action); },
        [this](const core::open_connection& action) { targets_.perform(action); },
        [this](const core::close_connection& action) { targets_.perform(action); },
        [this](const core::run_job& action) { targets_.perform(action); },
        [this](const core::call_control& action) { targets_.perform(action); },
        [this](const core::call_platform& action) { platform_.perform(action); },
        [this](const core::answer_operator& action) { operators_.perform(action); },
        [this](const core::log_event& action) { logger_.perform(action); },
        [this](const core::count_metric& action) { metrics_->perform(action); },
        [this](const core::observe_duration& action) { metrics_->perform(action); },
        [](const core::stop_process& /*action*/) {}};
    std::visit(handlers, value);
}

} // namespace lovagemoor
