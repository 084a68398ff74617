#pragma once

#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/statement.hpp>

#include <boost/outcome/result.hpp>

#include <caller.pb.h>

#include <string>

/// @file
/// @brief Conversions between the messages of caller.proto and the types of the core.

namespace lovagemoor::caller::internal {

namespace proto = lovagemoor::caller::v1;

/// @brief Reason why a message from a caller is invalid.
enum class message_error {
    missing_statement = 1,
    missing_timeout,
    invalid_access,
    unknown_urgency,
    missing_transaction,
};

[[nodiscard]] const char* to_string(message_error error) noexcept;

template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, message_error>;

/// @brief Converts a message to a request. The core checks the fields whose validity depends on the
/// cluster view, such as the service.
/// @{
[[nodiscard]] result<core::execute_request> from_message(const proto::ExecuteRequest& message);
[[nodiscard]] result<core::begin_request> from_message(const proto::BeginRequest& message);
[[nodiscard]] result<core::end_request> from_message(const proto::EndRequest& message,
                                                     core::transaction_end end);
/// @}

/// @brief Converts an outcome and a session token to a message. retry_after is rounded up to whole
/// milliseconds.
[[nodiscard]] proto::Outcome to_message(const core::outcome& value,
                                        const std::string& session_token);

[[nodiscard]] proto::RowBatch to_message(const core::row_batch& batch);

} // namespace lovagemoor::caller::internal
