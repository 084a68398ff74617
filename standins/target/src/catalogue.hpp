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

/// @brief Statement that the stand-in knows; it is matched by its exact text.
struct statement_definition {
    statement_kind kind;
    std::string sql;
    std::size_t parameter_count = 0;
    std::vector<result_column> columns = {};
    /// True when the statement takes a slot and the service time.
    bool uses_slot = false;
};

/// @brief Finds a statement by its text, without regard to a trailing semicolon.
/// @return Null when the stand-in does not know the statement.
[[nodiscard]] const statement_definition* find_statement(std::string_view sql);

} // namespace lovagemoor::standin_target
