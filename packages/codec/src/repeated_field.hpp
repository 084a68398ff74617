#pragma once

#include <lovagemoor/codec/record_messages.hpp>

#include "peer_messages.hpp"

#include <boost/outcome/try.hpp>

#include <utility>
#include <vector>

namespace lovagemoor::codec::internal {

/// @brief Converts each message of a repeated field with from_message().
/// @return The records, or the first error.
template <typename Record, typename Messages>
[[nodiscard]] result<std::vector<Record>> from_messages(const Messages& messages) {
    std::vector<Record> records;
    records.reserve(static_cast<std::size_t>(messages.size()));
    for (const auto& message : messages) {
        BOOST_OUTCOME_TRY(record, from_message(message));
        records.push_back(std::move(record));
    }
    return records;
}

/// @brief Converts each record with to_message() and appends the message to a repeated field.
template <typename Records, typename Messages>
void add_messages(const Records& records, Messages& messages) {
    messages.Reserve(static_cast<int>(records.size()));
    for (const auto& record : records) {
        *messages.Add() = to_message(record);
    }
}

} // namespace lovagemoor::codec::internal
