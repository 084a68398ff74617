#include <lovagemoor/codec/peer_codec.hpp>

#include "field_conversion.hpp"
#include "peer_messages.hpp"

#include <boost/outcome/try.hpp>

#include <utility>

namespace lovagemoor::codec {

namespace internal {

struct message_writer {
    peer::v1::PeerMessage& message;

    void operator()(const core::forward_request& value) const {
        *message.mutable_forward_request() = to_message(value);
    }

    void operator()(const core::forward_rows& value) const {
        *message.mutable_forward_rows() = to_message(value);
    }

    void operator()(const core::forward_outcome& value) const {
        *message.mutable_forward_outcome() = to_message(value);
    }

    void operator()(const core::forward_cancel& value) const {
        *message.mutable_forward_cancel() = to_message(value);
    }

    void operator()(const core::membership_ping& value) const {
        *message.mutable_membership_ping() = to_message(value);
    }

    void operator()(const core::membership_ack& value) const {
        *message.mutable_membership_ack() = to_message(value);
    }

    void operator()(const core::membership_ping_request& value) const {
        *message.mutable_membership_ping_request() = to_message(value);
    }

    void operator()(const core::membership_sync& value) const {
        *message.mutable_membership_sync() = to_message(value);
    }

    void operator()(const core::view_push& value) const {
        *message.mutable_view_push() = to_message(value);
    }

    void operator()(const core::view_request& value) const {
        *message.mutable_view_request() = to_message(value);
    }

    void operator()(const core::view_reply& value) const {
        *message.mutable_view_reply() = to_message(value);
    }

    void operator()(const core::primary_report& value) const {
        *message.mutable_primary_report() = to_message(value);
    }
};

template <typename Message>
result<core::peer_message> to_peer_message(const Message& message) {
    BOOST_OUTCOME_TRY(value, from_message(message));
    return core::peer_message{std::move(value)};
}

} // namespace internal

std::string encode_peer_message(const core::peer_message& message) {
    peer::v1::PeerMessage envelope;
    std::visit(internal::message_writer{envelope}, message);
    return envelope.SerializeAsString();
}

result<core::peer_message> decode_peer_message(std::string_view bytes) {
    peer::v1::PeerMessage envelope;
    BOOST_OUTCOME_TRY(internal::parse(bytes, envelope));
    switch (envelope.kind_case()) {
    case peer::v1::PeerMessage::kForwardRequest:
        return internal::to_peer_message(envelope.forward_request());
    case peer::v1::PeerMessage::kForwardRows:
        return internal::to_peer_message(envelope.forward_rows());
    case peer::v1::PeerMessage::kForwardOutcome:
        return internal::to_peer_message(envelope.forward_outcome());
    case peer::v1::PeerMessage::kForwardCancel:
        return internal::to_peer_message(envelope.forward_cancel());
    case peer::v1::PeerMessage::kMembershipPing:
        return internal::to_peer_message(envelope.membership_ping());
    case peer::v1::PeerMessage::kMembershipAck:
        return internal::to_peer_message(envelope.membership_ack());
    case peer::v1::PeerMessage::kMembershipPingRequest:
        return internal::to_peer_message(envelope.membership_ping_request());
    case peer::v1::PeerMessage::kMembershipSync:
        return internal::to_peer_message(envelope.membership_sync());
    case peer::v1::PeerMessage::kViewPush:
        return internal::to_peer_message(envelope.view_push());
    case peer::v1::PeerMessage::kViewRequest:
        return internal::to_peer_message(envelope.view_request());
    case peer::v1::PeerMessage::kViewReply:
        return internal::to_peer_message(envelope.view_reply());
    case peer::v1::PeerMessage::kPrimaryReport:
        return internal::to_peer_message(envelope.primary_report());
    case peer::v1::PeerMessage::KIND_NOT_SET:
        break;
    }
    return codec_error::missing_field;
}

} // namespace lovagemoor::codec
