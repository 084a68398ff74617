#pragma once

#include <lovagemoor/core/statement.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagemoor::target::internal {

/// @brief Result of a keyed write, as it is stored for repeated requests.
struct stored_answer {
    core::row_batch result;
    std::uint64_t affected_rows = 0;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// @return Serialized StoredAnswer in hexadecimal digits, which any text column can hold.
[[nodiscard]] std::string encode_answer(const stored_answer& answer);

/// @return Nothing when the text was not made by encode_answer().
[[nodiscard]] std::optional<stored_answer> decode_answer(std::string_view text);

/// @return Size of a row's values in bytes.
[[nodiscard]] std::size_t byte_size(const core::row& row) noexcept;

} // namespace lovagemoor::target::internal
