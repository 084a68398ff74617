#pragma once

#include <lovagemoor/core/operator_call.hpp>

#include <operators.pb.h>

#include <optional>

/// @file
/// @brief Conversions between the messages of operators.proto and the types of the core.

namespace lovagemoor::operators::internal {

namespace proto = lovagemoor::operators::v1;

/// @return The change. Nothing when the operation identifier or the service is missing, or when the
/// service has an invalid field.
[[nodiscard]] std::optional<core::change_configuration>
from_message(const proto::ChangeConfigurationRequest& message);

/// @brief Writes the result of a call to the response of its method. Fields that the schema gives
/// in milliseconds are rounded down.
/// @{
void fill_response(const core::change_result& result, proto::ChangeConfigurationResponse& response);
void fill_response(const core::configuration& result, proto::GetConfigurationResponse& response);
void fill_response(const core::status_result& result, proto::StatusResponse& response);
void fill_response(const core::drain_result& result, proto::DrainResponse& response);
void fill_response(const core::promote_result& result, proto::PromoteResponse& response);
void fill_response(const core::burn_result& result, proto::BurnResponse& response);
/// @}

} // namespace lovagemoor::operators::internal
