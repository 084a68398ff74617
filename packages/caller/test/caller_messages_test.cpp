#include "caller_messages.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

namespace lovagemoor::caller::internal {

namespace {

proto::ExecuteRequest valid_request() {
    proto::ExecuteRequest message;
    message.set_service("orders-db");
    message.mutable_statement()->set_sql("SELECT 1");
    message.set_access(proto::ACCESS_READ);
    message.set_timeout_ms(100);
    return message;
}

struct invalid_case {
    const char* name;
    std::function<void(proto::ExecuteRequest&)> invalidate;
    message_error expected;
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

const std::vector<invalid_case> invalid_cases{
    {"no statement", [](proto::ExecuteRequest& message) { message.clear_statement(); },
     message_error::missing_statement},
    {"no timeout", [](proto::ExecuteRequest& message) { message.clear_timeout_ms(); },
     message_error::missing_timeout},
    {"no access", [](proto::ExecuteRequest& message) { message.clear_access(); },
     message_error::invalid_access},
    {"unknown access",
     [](proto::ExecuteRequest& message) { message.set_access(static_cast<proto::Access>(9)); },
     message_error::invalid_access},
    {"unknown urgency",
     [](proto::ExecuteRequest& message) { message.set_urgency(static_cast<proto::Urgency>(9)); },
     message_error::unknown_urgency},
};

struct outcome_case {
    core::outcome value;
    proto::Outcome::KindCase kind;
    int reason;
};

std::ostream& operator<<(std::ostream& out, const outcome_case& value) {
    return out << core::outcome_kind(value.value);
}

const std::vector<outcome_case> outcome_cases{
    {core::done{}, proto::Outcome::kDone, 0},
    {core::refused{core::refusal_reason::invalid_request, {}, {}, {}}, proto::Outcome::kRefused,
     proto::REFUSAL_REASON_INVALID_REQUEST},
    {core::refused{core::refusal_reason::target_leaving, {}, {}, {}}, proto::Outcome::kRefused,
     proto::REFUSAL_REASON_TARGET_LEAVING},
    {core::failed{core::failure_reason::database_error, {}, {}}, proto::Outcome::kFailed,
     proto::FAILURE_REASON_DATABASE_ERROR},
    {core::failed{core::failure_reason::result_too_large, {}, {}}, proto::Outcome::kFailed,
     proto::FAILURE_REASON_RESULT_TOO_LARGE},
    {core::outcome_unknown{core::unknown_reason::deadline}, proto::Outcome::kUnknown,
     proto::UNKNOWN_REASON_DEADLINE},
    {core::outcome_unknown{core::unknown_reason::no_quorum}, proto::Outcome::kUnknown,
     proto::UNKNOWN_REASON_NO_QUORUM},
};

int reason_of(const proto::Outcome& message) {
    switch (message.kind_case()) {
    case proto::Outcome::kRefused:
        return message.refused().reason();
    case proto::Outcome::kFailed:
        return message.failed().reason();
    case proto::Outcome::kUnknown:
        return message.unknown().reason();
    default:
        return 0;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_messages)

// Guards against incomplete or invalid messages that are passed to the core.
BOOST_DATA_TEST_CASE(invalid_messages_are_typed_errors, invalid_cases, sample) {
    proto::ExecuteRequest message = valid_request();
    BOOST_REQUIRE(from_message(message).has_value());
    sample.invalidate(message);
    const result<core::execute_request> request = from_message(message);
    BOOST_REQUIRE(!request.has_value());
    BOOST_TEST((request.error() == sample.expected));
}

// Guards against enumerations of the core whose values differ from those of the schema.
BOOST_DATA_TEST_CASE(outcomes_are_encoded_with_kind_and_reason, outcome_cases, sample) {
    const proto::Outcome message = to_message(sample.value, "token");
    BOOST_TEST((message.kind_case() == sample.kind));
    BOOST_TEST(reason_of(message) == sample.reason);
    BOOST_TEST(message.session_token() == "token");
}

// Guards against an absent staleness limit that is converted to zero, and a limit of zero that is
// treated as absent.
BOOST_AUTO_TEST_CASE(absent_staleness_stays_absent) {
    proto::ExecuteRequest message = valid_request();
    BOOST_TEST(!from_message(message).value().max_staleness.has_value());
    message.set_max_staleness_ms(0);
    BOOST_TEST(from_message(message).value().max_staleness.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::caller::internal
