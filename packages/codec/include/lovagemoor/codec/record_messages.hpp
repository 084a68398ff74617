#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/records.hpp>

#include <records.pb.h>

/// @file
/// @brief Conversions between the core's records and the messages of records.proto.

namespace lovagemoor::codec {

/// @brief Core record to message. Durations saturate at the range of their field.
/// @{
[[nodiscard]] records::v1::Service to_message(const core::service_record& service);
[[nodiscard]] records::v1::Configuration to_message(const core::configuration& configuration);
[[nodiscard]] records::v1::TermRecord to_message(const core::term_record& term);
[[nodiscard]] records::v1::Target to_message(const core::target_record& target);
[[nodiscard]] records::v1::Group to_message(const core::group_record& group);
[[nodiscard]] records::v1::Host to_message(const core::host_record& host);
/// @}

/// @brief Message to core record.
/// @return missing_field without an identifier, unknown_enumerator, or out_of_range for a port
/// outside 1 to 65535 and for a term history that does not ascend.
/// @{
[[nodiscard]] result<core::service_record> from_message(const records::v1::Service& message);
[[nodiscard]] result<core::configuration> from_message(const records::v1::Configuration& message);
[[nodiscard]] result<core::term_record> from_message(const records::v1::TermRecord& message);
[[nodiscard]] result<core::target_record> from_message(const records::v1::Target& message);
[[nodiscard]] result<core::group_record> from_message(const records::v1::Group& message);
[[nodiscard]] result<core::host_record> from_message(const records::v1::Host& message);
/// @}

} // namespace lovagemoor::codec
