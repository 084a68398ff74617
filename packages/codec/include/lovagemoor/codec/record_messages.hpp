#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/records.hpp>

#include <records.pb.h>

/// @file
/// @brief Conversions between the core's records and the messages of records.proto.

namespace lovagemoor::codec {

/// @brief Converts a record of the core to a message. Durations outside the range of their field
/// are clamped to it.
/// @{
[[nodiscard]] records::v1::Service to_message(const core::service_record& service);
[[nodiscard]] records::v1::Configuration to_message(const core::configuration& configuration);
[[nodiscard]] records::v1::TermRecord to_message(const core::term_record& term);
[[nodiscard]] records::v1::Target to_message(const core::target_record& target);
[[nodiscard]] records::v1::Group to_message(const core::group_record& group);
[[nodiscard]] records::v1::Host to_message(const core::host_record& host);
/// @}

/// @brief Converts a message to a record of the core.
/// @return The record, or an error: missing_field when an identifier or a target's address is
/// empty, unknown_enumerator, or out_of_range when a port is outside 1 to 65535 or the terms of a
/// history are not in ascending order.
/// @{
[[nodiscard]] result<core::service_record> from_message(const records::v1::Service& message);
[[nodiscard]] result<core::configuration> from_message(const records::v1::Configuration& message);
[[nodiscard]] result<core::term_record> from_message(const records::v1::TermRecord& message);
[[nodiscard]] result<core::target_record> from_message(const records::v1::Target& message);
[[nodiscard]] result<core::group_record> from_message(const records::v1::Group& message);
[[nodiscard]] result<core::host_record> from_message(const records::v1::Host& message);
/// @}

} // namespace lovagemoor::codec
