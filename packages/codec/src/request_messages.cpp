#include "field_conversion.hpp"
#include "peer_messages.hpp"

#include <boost/outcome/try.hpp>

#include <utility>

namespace lovagemoor::codec {

namespace internal {

static_assert(static_cast<int>(core::urgency::bulk) + 1 == caller::v1::Urgency_MAX);
static_assert(static_cast<int>(core::refusal_reason::target_leaving) + 1 ==
              caller::v1::RefusalReason_MAX);
static_assert(static_cast<int>(core::failure_reason::result_too_large) + 1 ==
              caller::v1::FailureReason_MAX);
static_assert(static_cast<int>(core::unknown_reason::no_quorum) + 1 ==
              caller::v1::UnknownReason_MAX);
static_assert(static_cast<int>(core::forwarded_operation::rollback) + 1 == peer::v1::Operation_MAX);

template <typename Values>
void add_values(const std::vector<core::sql_value>& values, Values& messages) {
    messages.Reserve(static_cast<int>(values.size()));
    for (const core::sql_value& value : values) {
        caller::v1::Value& message = *messages.Add();
        if (value.has_value()) {
            message.set_text(*value);
        } else {
            message.set_is_null(true);
        }
    }
}

template <typename Values>
std::vector<core::sql_value> parse_values(const Values& messages) {
    std::vector<core::sql_value> values;
    values.reserve(static_cast<std::size_t>(messages.size()));
    for (const caller::v1::Value& message : messages) {
        if (message.is_null()) {
            values.emplace_back(std::nullopt);
        } else {
            values.emplace_back(message.text());
        }
    }
    return values;
}

void write_guard(const core::read_guard& guard, peer::v1::ReadGuard& message) {
    message.set_term(guard.term);
    message.set_position(guard.position);
    if (guard.max_age.has_value()) {
        message.set_max_age_ms(clamped_count(*guard.max_age));
    }
}

result<void> parse_guard(const peer::v1::ReadGuard& message, core::read_guard& guard) {
    guard.term = message.term();
    guard.position = message.position();
    if (message.has_max_age_ms()) {
        return parse_duration(message.max_age_ms(), guard.max_age.emplace());
    }
    return boost::outcome_v2::success();
}

struct outcome_writer {
    peer::v1::Outcome& message;

    void operator()(const core::done& value) const {
        peer::v1::Done& done = *message.mutable_done();
        done.set_row_count(value.row_count);
        done.set_affected_rows(value.affected_rows);
        done.set_replayed(value.replayed);
    }

    void operator()(const core::refused& value) const {
        peer::v1::Refused& refused = *message.mutable_refused();
        refused.set_reason(to_message_enum<caller::v1::RefusalReason>(value.reason));
        refused.set_retry_after_us(clamped_count(value.retry_after));
        refused.set_alternative_host(value.alternative_host);
        refused.set_detail(value.detail);
    }

    void operator()(const core::failed& value) const {
        peer::v1::Failed& failed = *message.mutable_failed();
        failed.set_reason(to_message_enum<caller::v1::FailureReason>(value.reason));
        failed.set_sqlstate(value.sqlstate);
        failed.set_detail(value.detail);
    }

    void operator()(const core::outcome_unknown& value) const {
        message.mutable_unknown()->set_reason(
            to_message_enum<caller::v1::UnknownReason>(value.reason));
    }
};

result<core::outcome> parse_outcome(const peer::v1::Outcome& message) {
    switch (message.kind_case()) {
    case peer::v1::Outcome::kDone:
        return core::done{message.done().row_count(), message.done().affected_rows(),
                          message.done().replayed()};
    case peer::v1::Outcome::kRefused: {
        const peer::v1::Refused& part = message.refused();
        core::refused value;
        BOOST_OUTCOME_TRY(
            parse_enum(part.reason(), core::refusal_reason::target_leaving, value.reason));
        BOOST_OUTCOME_TRY(parse_duration(part.retry_after_us(), value.retry_after));
        value.alternative_host = part.alternative_host();
        value.detail = part.detail();
        return value;
    }
    case peer::v1::Outcome::kFailed: {
        const peer::v1::Failed& part = message.failed();
        core::failed value;
        BOOST_OUTCOME_TRY(
            parse_enum(part.reason(), core::failure_reason::result_too_large, value.reason));
        value.sqlstate = part.sqlstate();
        value.detail = part.detail();
        return value;
    }
    case peer::v1::Outcome::kUnknown: {
        core::outcome_unknown value;
        BOOST_OUTCOME_TRY(
            parse_enum(message.unknown().reason(), core::unknown_reason::no_quorum, value.reason));
        return value;
    }
    case peer::v1::Outcome::KIND_NOT_SET:
        break;
    }
    return codec_error::missing_field;
}

void write_observation(const core::target_observation& observation,
                       peer::v1::TargetObservation& message) {
    message.set_target(observation.target.value);
    message.set_term(observation.term);
    message.set_position(observation.position);
    message.set_age_ms(clamped_count(observation.age));
    message.set_is_primary(observation.is_primary);
    message.set_reachable(observation.reachable);
    message.set_queue_wait_us(clamped_count(observation.queue_wait));
}

result<void> parse_observation(const peer::v1::TargetObservation& message,
                               core::target_observation& observation) {
    observation.target.value = message.target();
    observation.term = message.term();
    observation.position = message.position();
    BOOST_OUTCOME_TRY(parse_duration(message.age_ms(), observation.age));
    observation.is_primary = message.is_primary();
    observation.reachable = message.reachable();
    return parse_duration(message.queue_wait_us(), observation.queue_wait);
}

} // namespace internal

peer::v1::ForwardRequest to_message(const core::forward_request& request) {
    peer::v1::ForwardRequest message;
    message.set_id(request.id);
    message.set_operation(internal::to_message_enum<peer::v1::Operation>(request.operation));
    message.set_service(request.service.value);
    message.set_group(request.group.value);
    message.set_target(request.target.value);
    message.mutable_statement()->set_sql(request.statement.sql);
    internal::add_values(request.statement.parameters,
                         *message.mutable_statement()->mutable_parameters());
    message.set_urgency(internal::to_message_enum<caller::v1::Urgency>(request.priority));
    message.set_remaining_us(internal::clamped_count(request.remaining));
    internal::write_guard(request.guard, *message.mutable_guard());
    message.set_idempotency_key(request.idempotency_key);
    message.set_digest(request.digest);
    message.set_transaction(request.transaction);
    message.set_owner_incarnation(request.owner_incarnation);
    return message;
}

result<core::forward_request> from_message(const peer::v1::ForwardRequest& message) {
    if (!message.has_statement() || !message.has_guard()) {
        return codec_error::missing_field;
    }
    core::forward_request request;
    request.id = message.id();
    BOOST_OUTCOME_TRY(internal::parse_enum(message.operation(), core::forwarded_operation::rollback,
                                           request.operation));
    request.service.value = message.service();
    request.group.value = message.group();
    BOOST_OUTCOME_TRY(
        internal::assign(request.target.value, internal::require_non_empty(message.target())));
    request.statement.sql = message.statement().sql();
    request.statement.parameters = internal::parse_values(message.statement().parameters());
    BOOST_OUTCOME_TRY(
        internal::parse_enum(message.urgency(), core::urgency::bulk, request.priority));
    BOOST_OUTCOME_TRY(internal::parse_duration(message.remaining_us(), request.remaining));
    BOOST_OUTCOME_TRY(internal::parse_guard(message.guard(), request.guard));
    request.idempotency_key = message.idempotency_key();
    request.digest = message.digest();
    request.transaction = message.transaction();
    request.owner_incarnation = message.owner_incarnation();
    return request;
}

peer::v1::ForwardRows to_message(const core::forward_rows& rows) {
    peer::v1::ForwardRows message;
    message.set_id(rows.id);
    message.set_sequence(rows.sequence);
    peer::v1::RowBatch& batch = *message.mutable_batch();
    for (const std::string& column : rows.batch.columns) {
        batch.add_columns(column);
    }
    for (const core::row& row : rows.batch.rows) {
        internal::add_values(row, *batch.add_rows()->mutable_values());
    }
    return message;
}

result<core::forward_rows> from_message(const peer::v1::ForwardRows& message) {
    if (!message.has_batch()) {
        return codec_error::missing_field;
    }
    core::forward_rows rows;
    rows.id = message.id();
    rows.sequence = message.sequence();
    rows.batch.columns.assign(message.batch().columns().begin(), message.batch().columns().end());
    rows.batch.rows.reserve(static_cast<std::size_t>(message.batch().rows_size()));
    for (const caller::v1::Row& row : message.batch().rows()) {
        rows.batch.rows.push_back(internal::parse_values(row.values()));
    }
    return rows;
}

peer::v1::ForwardOutcome to_message(const core::forward_outcome& outcome) {
    peer::v1::ForwardOutcome message;
    message.set_id(outcome.id);
    std::visit(internal::outcome_writer{*message.mutable_result()}, outcome.result);
    message.set_batches(outcome.batches);
    peer::v1::GroupPosition& shown = *message.mutable_shown();
    shown.set_group(outcome.shown.group.value);
    shown.set_term(outcome.shown.term);
    shown.set_position(outcome.shown.position);
    shown.set_holder(outcome.shown.holder.value);
    message.set_transaction(outcome.transaction);
    message.set_owner_incarnation(outcome.owner_incarnation);
    internal::write_observation(outcome.observation, *message.mutable_observation());
    return message;
}

result<core::forward_outcome> from_message(const peer::v1::ForwardOutcome& message) {
    if (!message.has_result() || !message.has_shown() || !message.has_observation()) {
        return codec_error::missing_field;
    }
    core::forward_outcome outcome;
    outcome.id = message.id();
    BOOST_OUTCOME_TRY(internal::assign(outcome.result, internal::parse_outcome(message.result())));
    outcome.batches = message.batches();
    outcome.shown = core::group_position{{message.shown().group()},
                                         message.shown().term(),
                                         message.shown().position(),
                                         {message.shown().holder()}};
    outcome.transaction = message.transaction();
    outcome.owner_incarnation = message.owner_incarnation();
    BOOST_OUTCOME_TRY(internal::parse_observation(message.observation(), outcome.observation));
    return outcome;
}

peer::v1::ForwardCancel to_message(const core::forward_cancel& cancel) {
    peer::v1::ForwardCancel message;
    message.set_id(cancel.id);
    return message;
}

result<core::forward_cancel> from_message(const peer::v1::ForwardCancel& message) {
    return core::forward_cancel{message.id()};
}

} // namespace lovagemoor::codec
