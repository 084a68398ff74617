#include "caller_messages.hpp"

#include <chrono>
#include <optional>
#include <utility>
#include <variant>

namespace lovagemoor::caller::internal {

namespace {

std::optional<core::urgency> parse_urgency(proto::Urgency value) noexcept {
    switch (value) {
    case proto::URGENCY_URGENT:
        return core::urgency::urgent;
    case proto::URGENCY_UNSPECIFIED:
    case proto::URGENCY_NORMAL:
        return core::urgency::normal;
    case proto::URGENCY_BULK:
        return core::urgency::bulk;
    default:
        return std::nullopt;
    }
}

core::statement parse_statement(const proto::Statement& message) {
    core::statement statement;
    statement.sql = message.sql();
    statement.parameters.reserve(static_cast<std::size_t>(message.parameters_size()));
    for (const proto::Value& value : message.parameters()) {
        statement.parameters.push_back(value.is_null() ? core::sql_value{}
                                                       : core::sql_value{value.text()});
    }
    return statement;
}

std::uint32_t to_milliseconds(core::duration value) {
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

// The enumerations of the core have the values of the schema in the same order, but without
// UNSPECIFIED.
template <typename Message, typename Reason>
Message reason_to_message(Reason reason) {
    return static_cast<Message>(static_cast<int>(reason) + 1);
}

struct outcome_writer {
    proto::Outcome& message;

    void operator()(const core::done& value) const {
        proto::Done* done = message.mutable_done();
        done->set_row_count(value.row_count);
        done->set_affected_rows(value.affected_rows);
        done->set_replayed(value.replayed);
    }

    void operator()(const core::refused& value) const {
        proto::Refused* refused = message.mutable_refused();
        refused->set_reason(reason_to_message<proto::RefusalReason>(value.reason));
        refused->set_retry_after_ms(to_milliseconds(value.retry_after));
        refused->set_alternative_host(value.alternative_host);
        refused->set_detail(value.detail);
    }

    void operator()(const core::failed& value) const {
        proto::Failed* failed = message.mutable_failed();
        failed->set_reason(reason_to_message<proto::FailureReason>(value.reason));
        failed->set_sqlstate(value.sqlstate);
        failed->set_detail(value.detail);
    }

    void operator()(const core::outcome_unknown& value) const {
        message.mutable_unknown()->set_reason(
            reason_to_message<proto::UnknownReason>(value.reason));
    }
};

} // namespace

const char* to_string(message_error error) noexcept {
    switch (error) {
    case message_error::missing_statement:
        return "the statement is empty or missing";
    case message_error::missing_timeout:
        return "the timeout is zero or missing";
    case message_error::invalid_access:
        return "the access mode is missing or has an unknown value";
    case message_error::unknown_urgency:
        return "the urgency has an unknown value";
    case message_error::missing_transaction:
        return "the transaction handle is empty or missing";
    }
    return "the message is invalid";
}

result<core::execute_request> from_message(const proto::ExecuteRequest& message) {
    if (message.statement().sql().empty()) {
        return message_error::missing_statement;
    }
    if (message.timeout_ms() == 0) {
        return message_error::missing_timeout;
    }
    if (message.access() != proto::ACCESS_READ && message.access() != proto::ACCESS_WRITE) {
        return message_error::invalid_access;
    }
    const std::optional<core::urgency> priority = parse_urgency(message.urgency());
    if (!priority.has_value()) {
        return message_error::unknown_urgency;
    }
    core::execute_request request;
    request.service = core::service_id{message.service()};
    request.shard_key = message.shard_key();
    request.statement = parse_statement(message.statement());
    request.access =
        message.access() == proto::ACCESS_READ ? core::access_mode::read : core::access_mode::write;
    request.priority = *priority;
    request.timeout = std::chrono::milliseconds{message.timeout_ms()};
    if (message.has_max_staleness_ms()) {
        request.max_staleness = std::chrono::milliseconds{message.max_staleness_ms()};
    }
    request.idempotency_key = message.idempotency_key();
    request.session_token = message.session_token();
    request.transaction = message.transaction();
    return request;
}

result<core::begin_request> from_message(const proto::BeginRequest& message) {
    if (message.timeout_ms() == 0) {
        return message_error::missing_timeout;
    }
    const std::optional<core::urgency> priority = parse_urgency(message.urgency());
    if (!priority.has_value()) {
        return message_error::unknown_urgency;
    }
    core::begin_request request;
    request.service = core::service_id{message.service()};
    request.shard_key = message.shard_key();
    request.priority = *priority;
    request.timeout = std::chrono::milliseconds{message.timeout_ms()};
    request.idempotency_key = message.idempotency_key();
    request.session_token = message.session_token();
    return request;
}

result<core::end_request> from_message(const proto::EndRequest& message,
                                       core::transaction_end end) {
    if (message.transaction().empty()) {
        return message_error::missing_transaction;
    }
    if (message.timeout_ms() == 0) {
        return message_error::missing_timeout;
    }
    return core::end_request{end, message.transaction(),
                             std::chrono::milliseconds{message.timeout_ms()},
                             message.session_token()};
}

proto::Outcome to_message(const core::outcome& value, const std::string& session_token) {
    proto::Outcome message;
    std::visit(outcome_writer{message}, value);
    message.set_session_token(session_token);
    return message;
}

proto::RowBatch to_message(const core::row_batch& batch) {
    proto::RowBatch message;
    for (const std::string& column : batch.columns) {
        message.add_columns(column);
    }
    for (const core::row& source : batch.rows) {
        proto::Row* row = message.add_rows();
        for (const core::sql_value& value : source) {
            proto::Value* target = row->add_values();
            target->set_is_null(!value.has_value());
            target->set_text(value.value_or(""));
        }
    }
    return message;
}

} // namespace lovagemoor::caller::internal
