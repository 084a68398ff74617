#pragma once

#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/statement.hpp>

#include <boost/outcome/result.hpp>

#include <caller.pb.h>

#include <string>

/// @file
/// @brief Conversion between the messages of caller.proto and the core's types.

namespace lovagemoor::caller::internal {

namespace proto = lovagemoor::caller::v1;

/// @brief Why a message from a caller is invalid.
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

/// @brief Message to request. Fields whose validity depends on the view, such as the service, are
/// checked by the core.
/// @{
[[nodiscard]] result<core::execute_request> from_message(const proto::ExecuteRequest& message);
[[nodiscard]] result<core::begin_request> from_message(const proto::BeginRequest& message);
[[nodiscard]] result<core::end_request> from_message(const proto::EndRequest& message,
                                                     core::transaction_end end);
/// @}

/// @brief Outcome and session token to message. A retry_after below 1 ms is rounded up.
[[nodiscard]] proto::Outcome to_message(const core::outcome& value,
                                        const std::string& session_token);

[[nodiscard]] proto::RowBatch to_message(const core::row_batch& batch);

} // namespace lovagemoor::caller::internal
