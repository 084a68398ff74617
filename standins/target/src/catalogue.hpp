#pragma once

#include "wire.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::standin_target {

enum class statement_kind {
    insert_order,
    update_order,
    select_order,
    select_orders,
    count_orders,
    sleep,
    begin,
    begin_read_only,
    commit,
    rollback,
    discard,
    insert_request,
    update_request,
    select_request,
    delete_requests,
    group_status,
    group_raise,
    group_promote,
    group_attest,
    group_guard,
    group_position,
    standin_control,
};

/// @brief Statement that the stand-in supports; it is matched by its exact text.
struct statement_definition {
    statement_kind kind;
    std::string sql;
    std::size_t parameter_count = 0;
    std::vector<result_column> columns = {};
    /// True if execution occupies a slot for the service time.
    bool uses_slot = false;
};

/// @brief Finds a statement by its text; a trailing semicolon is ignored.
/// @return Null if the stand-in does not support the statement.
[[nodiscard]] const statement_definition* find_statement(std::string_view sql);

} // namespace lovagemoor::standin_target
