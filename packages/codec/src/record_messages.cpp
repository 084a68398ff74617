#include <lovagemoor/codec/record_messages.hpp>

#include "field_conversion.hpp"
#include "repeated_field.hpp"

#include <boost/outcome/try.hpp>

#include <utility>

namespace lovagemoor::codec {

namespace internal {

records::v1::Durability to_enum(core::durability value) noexcept {
    switch (value) {
    case core::durability::replicated:
        return records::v1::DURABILITY_REPLICATED;
    case core::durability::primary_only:
        return records::v1::DURABILITY_PRIMARY_ONLY;
    }
    return records::v1::DURABILITY_UNSPECIFIED;
}

result<core::durability> from_enum(records::v1::Durability value) noexcept {
    switch (value) {
    case records::v1::DURABILITY_REPLICATED:
        return core::durability::replicated;
    case records::v1::DURABILITY_PRIMARY_ONLY:
        return core::durability::primary_only;
    default:
        return codec_error::unknown_enumerator;
    }
}

records::v1::TermPhase to_enum(core::term_phase value) noexcept {
    switch (value) {
    case core::term_phase::electing:
        return records::v1::TERM_PHASE_ELECTING;
    case core::term_phase::serving:
        return records::v1::TERM_PHASE_SERVING;
    }
    return records::v1::TERM_PHASE_UNSPECIFIED;
}

result<core::term_phase> from_enum(records::v1::TermPhase value) noexcept {
    switch (value) {
    case records::v1::TERM_PHASE_ELECTING:
        return core::term_phase::electing;
    case records::v1::TERM_PHASE_SERVING:
        return core::term_phase::serving;
    default:
        return codec_error::unknown_enumerator;
    }
}

} // namespace internal

records::v1::Service to_message(const core::service_record& service) {
    records::v1::Service message;
    message.set_name(service.name.value);
    for (const core::group_id& group : service.groups) {
        message.add_groups(group.value);
    }
    message.set_max_staleness_ms(internal::clamped_uint32_count(service.max_staleness));
    message.set_connections_per_target(service.connections_per_target);
    message.set_slots_per_target(service.slots_per_target);
    message.set_durability(internal::to_enum(service.write_durability));
    message.set_idempotency_retention_s(
        internal::clamped_uint32_count(service.idempotency_retention));
    return message;
}

result<core::service_record> from_message(const records::v1::Service& message) {
    core::service_record service;
    BOOST_OUTCOME_TRY(
        internal::assign(service.name.value, internal::require_non_empty(message.name())));
    service.groups.reserve(static_cast<std::size_t>(message.groups_size()));
    for (const std::string& group : message.groups()) {
        BOOST_OUTCOME_TRY(internal::assign(service.groups.emplace_back().value,
                                           internal::require_non_empty(group)));
    }
    service.max_staleness = std::chrono::milliseconds{message.max_staleness_ms()};
    service.connections_per_target = message.connections_per_target();
    service.slots_per_target = message.slots_per_target();
    BOOST_OUTCOME_TRY(
        internal::assign(service.write_durability, internal::from_enum(message.durability())));
    service.idempotency_retention = std::chrono::seconds{message.idempotency_retention_s()};
    return service;
}

records::v1::Configuration to_message(const core::configuration& configuration) {
    records::v1::Configuration message;
    message.set_version(configuration.version);
    internal::add_messages(configuration.services, *message.mutable_services());
    for (const std::string& operation : configuration.operation_ids) {
        message.add_operation_ids(operation);
    }
    return message;
}

result<core::configuration> from_message(const records::v1::Configuration& message) {
    core::configuration configuration;
    configuration.version = message.version();
    BOOST_OUTCOME_TRY(internal::assign(
        configuration.services, internal::from_messages<core::service_record>(message.services())));
    configuration.operation_ids.assign(message.operation_ids().begin(),
                                       message.operation_ids().end());
    return configuration;
}

records::v1::TermRecord to_message(const core::term_record& term) {
    records::v1::TermRecord message;
    message.set_group(term.group.value);
    message.set_term(term.term);
    message.set_phase(internal::to_enum(term.phase));
    message.set_candidate(term.candidate.value);
    message.set_primary(term.primary.value);
    for (const core::term_start& start : term.history) {
        records::v1::TermStart& entry = *message.add_history();
        entry.set_term(start.term);
        entry.set_start_position(start.start);
    }
    return message;
}

result<core::term_record> from_message(const records::v1::TermRecord& message) {
    core::term_record term;
    BOOST_OUTCOME_TRY(
        internal::assign(term.group.value, internal::require_non_empty(message.group())));
    term.term = message.term();
    BOOST_OUTCOME_TRY(internal::assign(term.phase, internal::from_enum(message.phase())));
    term.candidate.value = message.candidate();
    term.primary.value = message.primary();
    term.history.reserve(static_cast<std::size_t>(message.history_size()));
    for (const records::v1::TermStart& entry : message.history()) {
        if (!term.history.empty() && entry.term() <= term.history.back().term) {
            return codec_error::out_of_range;
        }
        term.history.push_back(core::term_start{entry.term(), entry.start_position()});
    }
    return term;
}

records::v1::Target to_message(const core::target_record& target) {
    records::v1::Target message;
    message.set_id(target.id.value);
    message.set_failure_domain(target.domain.value);
    message.set_address(target.address);
    message.set_port(target.port);
    message.set_leaving(target.leaving);
    return message;
}

result<core::target_record> from_message(const records::v1::Target& message) {
    core::target_record target;
    BOOST_OUTCOME_TRY(internal::assign(target.id.value, internal::require_non_empty(message.id())));
    target.domain.value = message.failure_domain();
    BOOST_OUTCOME_TRY(
        internal::assign(target.address, internal::require_non_empty(message.address())));
    if (message.port() == 0 || !std::in_range<std::uint16_t>(message.port())) {
        return codec_error::out_of_range;
    }
    target.port = static_cast<std::uint16_t>(message.port());
    target.leaving = message.leaving();
    return target;
}

records::v1::Group to_message(const core::group_record& group) {
    records::v1::Group message;
    message.set_id(group.id.value);
    internal::add_messages(group.targets, *message.mutable_targets());
    return message;
}

result<core::group_record> from_message(const records::v1::Group& message) {
    core::group_record group;
    BOOST_OUTCOME_TRY(internal::assign(group.id.value, internal::require_non_empty(message.id())));
    BOOST_OUTCOME_TRY(internal::assign(
        group.targets, internal::from_messages<core::target_record>(message.targets())));
    return group;
}

records::v1::Host to_message(const core::host_record& host) {
    records::v1::Host message;
    message.set_id(host.id.value);
    message.set_failure_domain(host.domain.value);
    message.set_peer_address(host.peer_address);
    message.set_caller_address(host.caller_address);
    message.set_operator_address(host.operator_address);
    message.set_leaving(host.leaving);
    return message;
}

result<core::host_record> from_message(const records::v1::Host& message) {
    core::host_record host;
    BOOST_OUTCOME_TRY(internal::assign(host.id.value, internal::require_non_empty(message.id())));
    host.domain.value = message.failure_domain();
    host.peer_address = message.peer_address();
    host.caller_address = message.caller_address();
    host.operator_address = message.operator_address();
    host.leaving = message.leaving();
    return host;
}

} // namespace lovagemoor::codec
