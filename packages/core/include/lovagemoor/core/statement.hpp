#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::core {

/// @brief SQL value in text format; unset for NULL.
using sql_value = std::optional<std::string>;

/// @brief SQL text with positional parameters $1, $2, ...
struct statement {
    std::string sql;
    std::vector<sql_value> parameters;

    friend bool operator==(const statement&, const statement&) = default;
};

/// @brief One result row, values in column order.
using row = std::vector<sql_value>;

/// @brief Batch of result rows; only the first batch of a result sets `columns`.
struct row_batch {
    std::vector<std::string> columns;
    std::vector<row> rows;

    friend bool operator==(const row_batch&, const row_batch&) = default;
};

} // namespace lovagemoor::core
