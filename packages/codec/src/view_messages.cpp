#include "field_conversion.hpp"
#include "peer_messages.hpp"
#include "repeated_field.hpp"

#include <boost/outcome/try.hpp>

#include <utility>

namespace lovagemoor::codec {

namespace internal {

struct record_writer {
    peer::v1::PlatformRecord& message;

    void operator()(const core::configuration& value) const {
        *message.mutable_configuration() = to_message(value);
    }

    void operator()(const core::term_record& value) const {
        *message.mutable_term() = to_message(value);
    }

    void operator()(const core::group_record& value) const {
        *message.mutable_group() = to_message(value);
    }

    void operator()(const core::host_record& value) const {
        *message.mutable_host() = to_message(value);
    }
};

template <typename Message>
result<core::platform_record> to_platform_record(std::int64_t revision, const Message& message) {
    BOOST_OUTCOME_TRY(value, from_message(message));
    return core::platform_record{revision, std::move(value)};
}

} // namespace internal

peer::v1::PlatformRecord to_message(const core::platform_record& record) {
    peer::v1::PlatformRecord message;
    message.set_revision(record.revision);
    std::visit(internal::record_writer{message}, record.value);
    return message;
}

result<core::platform_record> from_message(const peer::v1::PlatformRecord& message) {
    switch (message.value_case()) {
    case peer::v1::PlatformRecord::kConfiguration:
        return internal::to_platform_record(message.revision(), message.configuration());
    case peer::v1::PlatformRecord::kTerm:
        return internal::to_platform_record(message.revision(), message.term());
    case peer::v1::PlatformRecord::kGroup:
        return internal::to_platform_record(message.revision(), message.group());
    case peer::v1::PlatformRecord::kHost:
        return internal::to_platform_record(message.revision(), message.host());
    case peer::v1::PlatformRecord::VALUE_NOT_SET:
        break;
    }
    return codec_error::missing_field;
}

peer::v1::ViewPush to_message(const core::view_push& push) {
    peer::v1::ViewPush message;
    message.set_hops(push.hops);
    internal::add_messages(push.records, *message.mutable_records());
    return message;
}

result<core::view_push> from_message(const peer::v1::ViewPush& message) {
    core::view_push push;
    push.hops = message.hops();
    BOOST_OUTCOME_TRY(internal::assign(
        push.records, internal::from_messages<core::platform_record>(message.records())));
    return push;
}

peer::v1::RecordRevision to_message(const core::record_revision& revision) {
    peer::v1::RecordRevision message;
    message.set_key(revision.key);
    message.set_revision(revision.revision);
    return message;
}

result<core::record_revision> from_message(const peer::v1::RecordRevision& message) {
    core::record_revision revision;
    BOOST_OUTCOME_TRY(internal::assign(revision.key, internal::require_non_empty(message.key())));
    revision.revision = message.revision();
    return revision;
}

peer::v1::ViewRequest to_message(const core::view_request& request) {
    peer::v1::ViewRequest message;
    internal::add_messages(request.known, *message.mutable_known());
    return message;
}

result<core::view_request> from_message(const peer::v1::ViewRequest& message) {
    core::view_request request;
    BOOST_OUTCOME_TRY(internal::assign(
        request.known, internal::from_messages<core::record_revision>(message.known())));
    return request;
}

peer::v1::ViewReply to_message(const core::view_reply& reply) {
    peer::v1::ViewReply message;
    internal::add_messages(reply.records, *message.mutable_records());
    return message;
}

result<core::view_reply> from_message(const peer::v1::ViewReply& message) {
    core::view_reply reply;
    BOOST_OUTCOME_TRY(internal::assign(
        reply.records, internal::from_messages<core::platform_record>(message.records())));
    return reply;
}

peer::v1::PrimaryReport to_message(const core::primary_report& report) {
    peer::v1::PrimaryReport message;
    message.set_group(report.group.value);
    message.set_primary(report.primary.value);
    message.set_term(report.term);
    message.set_reachable(report.reachable);
    message.set_unreachable_for_us(internal::clamped_count(report.unreachable_for));
    return message;
}

result<core::primary_report> from_message(const peer::v1::PrimaryReport& message) {
    core::primary_report report;
    BOOST_OUTCOME_TRY(
        internal::assign(report.group.value, internal::require_non_empty(message.group())));
    report.primary.value = message.primary();
    report.term = message.term();
    report.reachable = message.reachable();
    BOOST_OUTCOME_TRY(
        internal::parse_duration(message.unreachable_for_us(), report.unreachable_for));
    return report;
}

} // namespace lovagemoor::codec
