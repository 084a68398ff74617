#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <peer.pb.h>

/// @file
/// @brief Conversions between the core's peer messages and the messages of peer.proto.

namespace lovagemoor::codec {

[[nodiscard]] peer::v1::ForwardRequest to_message(const core::forward_request& request);
[[nodiscard]] peer::v1::ForwardRows to_message(const core::forward_rows& rows);
[[nodiscard]] peer::v1::ForwardOutcome to_message(const core::forward_outcome& outcome);
[[nodiscard]] peer::v1::ForwardCancel to_message(const core::forward_cancel& cancel);
[[nodiscard]] peer::v1::MemberUpdate to_message(const core::member_update& update);
[[nodiscard]] peer::v1::MembershipPing to_message(const core::membership_ping& ping);
[[nodiscard]] peer::v1::MembershipAck to_message(const core::membership_ack& ack);
[[nodiscard]] peer::v1::MembershipPingRequest
to_message(const core::membership_ping_request& request);
[[nodiscard]] peer::v1::MembershipSync to_message(const core::membership_sync& sync);
[[nodiscard]] peer::v1::PlatformRecord to_message(const core::platform_record& record);
[[nodiscard]] peer::v1::ViewPush to_message(const core::view_push& push);
[[nodiscard]] peer::v1::RecordRevision to_message(const core::record_revision& revision);
[[nodiscard]] peer::v1::ViewRequest to_message(const core::view_request& request);
[[nodiscard]] peer::v1::ViewReply to_message(const core::view_reply& reply);
[[nodiscard]] peer::v1::PrimaryReport to_message(const core::primary_report& report);

[[nodiscard]] result<core::forward_request> from_message(const peer::v1::ForwardRequest& message);
[[nodiscard]] result<core::forward_rows> from_message(const peer::v1::ForwardRows& message);
[[nodiscard]] result<core::forward_outcome> from_message(const peer::v1::ForwardOutcome& message);
[[nodiscard]] result<core::forward_cancel> from_message(const peer::v1::ForwardCancel& message);
[[nodiscard]] result<core::member_update> from_message(const peer::v1::MemberUpdate& message);
[[nodiscard]] result<core::membership_ping> from_message(const peer::v1::MembershipPing& message);
[[nodiscard]] result<core::membership_ack> from_message(const peer::v1::MembershipAck& message);
[[nodiscard]] result<core::membership_ping_request>
from_message(const peer::v1::MembershipPingRequest& message);
[[nodiscard]] result<core::membership_sync> from_message(const peer::v1::MembershipSync& message);
[[nodiscard]] result<core::platform_record> from_message(const peer::v1::PlatformRecord& message);
[[nodiscard]] result<core::view_push> from_message(const peer::v1::ViewPush& message);
[[nodiscard]] result<core::record_revision> from_message(const peer::v1::RecordRevision& message);
[[nodiscard]] result<core::view_request> from_message(const peer::v1::ViewRequest& message);
[[nodiscard]] result<core::view_reply> from_message(const peer::v1::ViewReply& message);
[[nodiscard]] result<core::primary_report> from_message(const peer::v1::PrimaryReport& message);

} // namespace lovagemoor::codec
