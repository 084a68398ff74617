#include "field_conversion.hpp"
#include "peer_messages.hpp"
#include "repeated_field.hpp"

#include <boost/outcome/try.hpp>

namespace lovagemoor::codec {

namespace internal {

static_assert(static_cast<int>(core::member_state::dead) + 1 == peer::v1::MemberState_MAX);

void write_gossip(const core::gossip_header& gossip, peer::v1::Gossip& message) {
    *message.mutable_sender() = to_message(gossip.sender);
    add_messages(gossip.updates, *message.mutable_updates());
    message.set_view_digest(gossip.view_digest);
}

/// @brief Converts the gossip header of a membership message.
/// @return missing_field when the header or its sender is missing.
template <typename Message>
result<void> parse_gossip(const Message& message, core::gossip_header& gossip) {
    if (!message.has_gossip() || !message.gossip().has_sender()) {
        return codec_error::missing_field;
    }
    BOOST_OUTCOME_TRY(assign(gossip.sender, from_message(message.gossip().sender())));
    BOOST_OUTCOME_TRY(
        assign(gossip.updates, from_messages<core::member_update>(message.gossip().updates())));
    gossip.view_digest = message.gossip().view_digest();
    return boost::outcome_v2::success();
}

} // namespace internal

peer::v1::MemberUpdate to_message(const core::member_update& update) {
    peer::v1::MemberUpdate message;
    *message.mutable_host() = to_message(update.host);
    message.set_incarnation(update.incarnation);
    message.set_state(internal::to_message_enum<peer::v1::MemberState>(update.state));
    message.set_configuration_version(update.configuration_version);
    return message;
}

result<core::member_update> from_message(const peer::v1::MemberUpdate& message) {
    core::member_update update;
    BOOST_OUTCOME_TRY(internal::assign(update.host, from_message(message.host())));
    update.incarnation = message.incarnation();
    BOOST_OUTCOME_TRY(
        internal::parse_enum(message.state(), core::member_state::dead, update.state));
    update.configuration_version = message.configuration_version();
    return update;
}

peer::v1::MembershipPing to_message(const core::membership_ping& ping) {
    peer::v1::MembershipPing message;
    message.set_sequence(ping.sequence);
    internal::write_gossip(ping.gossip, *message.mutable_gossip());
    return message;
}

result<core::membership_ping> from_message(const peer::v1::MembershipPing& message) {
    core::membership_ping ping;
    ping.sequence = message.sequence();
    BOOST_OUTCOME_TRY(internal::parse_gossip(message, ping.gossip));
    return ping;
}

peer::v1::MembershipAck to_message(const core::membership_ack& ack) {
    peer::v1::MembershipAck message;
    message.set_sequence(ack.sequence);
    message.set_subject(ack.subject.value);
    internal::write_gossip(ack.gossip, *message.mutable_gossip());
    return message;
}

result<core::membership_ack> from_message(const peer::v1::MembershipAck& message) {
    core::membership_ack ack;
    ack.sequence = message.sequence();
    BOOST_OUTCOME_TRY(
        internal::assign(ack.subject.value, internal::require_non_empty(message.subject())));
    BOOST_OUTCOME_TRY(internal::parse_gossip(message, ack.gossip));
    return ack;
}

peer::v1::MembershipPingRequest to_message(const core::membership_ping_request& request) {
    peer::v1::MembershipPingRequest message;
    message.set_sequence(request.sequence);
    message.set_subject(request.subject.value);
    internal::write_gossip(request.gossip, *message.mutable_gossip());
    return message;
}

result<core::membership_ping_request> from_message(const peer::v1::MembershipPingRequest& message) {
    core::membership_ping_request request;
    request.sequence = message.sequence();
    BOOST_OUTCOME_TRY(
        internal::assign(request.subject.value, internal::require_non_empty(message.subject())));
    BOOST_OUTCOME_TRY(internal::parse_gossip(message, request.gossip));
    return request;
}

peer::v1::MembershipSync to_message(const core::membership_sync& sync) {
    peer::v1::MembershipSync message;
    message.set_is_reply(sync.is_reply);
    internal::write_gossip(sync.gossip, *message.mutable_gossip());
    return message;
}

result<core::membership_sync> from_message(const peer::v1::MembershipSync& message) {
    core::membership_sync sync;
    sync.is_reply = message.is_reply();
    BOOST_OUTCOME_TRY(internal::parse_gossip(message, sync.gossip));
    return sync;
}

} // namespace lovagemoor::codec
