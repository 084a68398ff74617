#pragma once

#include <lovagemoor/core/statement.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagemoor::target::internal {

/// @brief Result of a write with an idempotency key, which is stored to answer repeated requests.
struct stored_answer {
    core::row_batch result;
    std::uint64_t affected_rows = 0;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// @return The serialized StoredAnswer in hexadecimal digits, because any text column can store
/// them.
[[nodiscard]] std::string encode_answer(const stored_answer& answer);

/// @return The answer, or nothing when encode_answer() cannot have produced the text.
[[nodiscard]] std::optional<stored_answer> decode_answer(std::string_view text);

/// @return The total size of a row's values in bytes.
[[nodiscard]] std::size_t byte_size(const core::row& row) noexcept;

} // namespace lovagemoor::target::internal
