#include "operator_messages.hpp"

#include <lovagemoor/codec/record_messages.hpp>

#include <chrono>
#include <utility>

namespace lovagemoor::operators::internal {

namespace {

void fill_member_status(const core::member_update& member, proto::MemberStatus& message) {
    message.set_host(member.host.id.value);
    message.set_failure_domain(member.host.domain.value);
    message.set_state(core::to_string(member.state));
    message.set_configuration_version(member.configuration_version);
    message.set_caller_address(member.host.caller_address);
    message.set_operator_address(member.host.operator_address);
}

void fill_target_status(const core::target_status& target, proto::TargetStatus& message) {
    message.set_target(target.target.value);
    message.set_group(target.group.value);
    message.set_owner(target.owner.value);
    message.set_primary(target.primary);
    message.set_reachable(target.reachable);
    message.set_term(target.term);
    message.set_position(target.position);
    message.set_age_ms(static_cast<std::uint64_t>(target.age.count()));
    message.set_queued(target.queued);
    message.set_running(target.running);
    message.set_connections(target.connections);
    message.set_leaving(target.leaving);
}

} // namespace

std::optional<core::change_configuration>
from_message(const proto::ChangeConfigurationRequest& message) {
    if (message.operation_id().empty()) {
        return std::nullopt;
    }
    core::change_configuration change;
    change.expected_version = message.expected_version();
    change.operation_id = message.operation_id();
    if (message.change().has_put()) {
        const codec::result<core::service_record> service =
            codec::from_message(message.change().put());
        if (!service) {
            return std::nullopt;
        }
        change.change = core::put_service{service.value()};
        return change;
    }
    if (message.change().remove().empty()) {
        return std::nullopt;
    }
    change.change = core::remove_service{core::service_id{message.change().remove()}};
    return change;
}

void fill_response(const core::change_result& result,
                   proto::ChangeConfigurationResponse& response) {
    // The schema has the same values in the same order after UNSPECIFIED.
    response.set_result(static_cast<proto::ChangeResult>(static_cast<int>(result.status) + 1));
    response.set_version(result.version);
    response.set_detail(result.detail);
}

void fill_response(const core::configuration& result, proto::GetConfigurationResponse& response) {
    *response.mutable_configuration() = codec::to_message(result);
}

void fill_response(const core::status_result& result, proto::StatusResponse& response) {
    response.set_host(result.host.value);
    response.set_configuration_version(result.configuration_version);
    response.set_draining(result.draining);
    for (const core::member_update& member : result.members) {
        fill_member_status(member, *response.add_members());
    }
    for (const core::target_status& target : result.targets) {
        fill_target_status(target, *response.add_targets());
    }
}

void fill_response(const core::drain_result& result, proto::DrainResponse& response) {
    response.set_requests_in_progress(result.requests_in_progress);
}

void fill_response(const core::promote_result& result, proto::PromoteResponse& response) {
    response.set_started(result.started);
    response.set_detail(result.detail);
}

void fill_response(const core::burn_result& result, proto::BurnResponse& response) {
    response.set_host(result.host.value);
    for (const core::burn_entry& entry : result.entries) {
        proto::BurnEntry* message = response.add_entries();
        message->set_service(entry.service.value);
        message->set_urgency(core::to_string(entry.priority));
        message->set_window_s(static_cast<std::uint32_t>(entry.window.count()));
        message->set_good(entry.good);
        message->set_bad(entry.bad);
    }
}

} // namespace lovagemoor::operators::internal
