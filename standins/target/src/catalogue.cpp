#include "catalogue.hpp"

#include <map>

namespace lovagemoor::standin_target {

namespace {

constexpr std::uint32_t bool_oid = 16;
constexpr std::uint32_t bigint_oid = 20;
constexpr std::uint32_t text_oid = 25;
constexpr std::uint32_t void_oid = 2278;

std::vector<result_column> bigint_columns(const std::vector<std::string>& names) {
    std::vector<result_column> columns;
    columns.reserve(names.size());
    for (const std::string& name : names) {
        columns.push_back({name, bigint_oid});
    }
    return columns;
}

std::vector<statement_definition> table_statements() {
    const std::vector<result_column> order_columns{
        {"id", bigint_oid}, {"kit", text_oid}, {"quantity", bigint_oid}};
    using kind = statement_kind;
    return {
        {kind::insert_order,
         "INSERT INTO orders (id, kit, quantity) VALUES ($1, $2, $3)",
         3,
         {},
         true},
        {kind::update_order, "UPDATE orders SET quantity = $2 WHERE id = $1", 2, {}, true},
        {kind::select_order, "SELECT id, kit, quantity FROM orders WHERE id = $1", 1, order_columns,
         true},
        {kind::select_orders, "SELECT id, kit, quantity FROM orders ORDER BY id", 0, order_columns,
         true},
        {kind::count_orders, "SELECT count(*) FROM orders", 0, bigint_columns({"count"}), true},
        {kind::sleep, "SELECT pg_sleep($1)", 1, {{"pg_sleep", void_oid}}, true},
        {kind::insert_request,
         "INSERT INTO request_record (key, digest, expires_at) VALUES ($1, $2, now() + "
         "$3::interval)",
         3,
         {},
         true},
        {kind::update_request, "UPDATE request_record SET answer = $2 WHERE key = $1", 2, {}, true},
        {kind::select_request,
         "SELECT digest, answer FROM request_record WHERE key = $1",
         1,
         {{"digest", text_oid}, {"answer", text_oid}},
         true},
        {kind::delete_requests, "DELETE FROM request_record WHERE expires_at < now()", 0, {}, true},
    };
}

std::vector<statement_definition> transaction_and_group_statements() {
    using kind = statement_kind;
    std::vector<result_column> status_columns =
        bigint_columns({"promised_term", "last_term", "position"});
    status_columns.push_back({"is_primary", bool_oid});
    status_columns.push_back({"age_ms", bigint_oid});
    status_columns.push_back({"primary_silence_ms", bigint_oid});
    const std::vector<result_column> term_columns =
        bigint_columns({"promised_term", "last_term", "position"});
    return {
        {kind::begin, "BEGIN"},
        {kind::begin_read_only, "BEGIN READ ONLY"},
        {kind::commit, "COMMIT"},
        {kind::rollback, "ROLLBACK"},
        {kind::discard, "DISCARD ALL"},
        {kind::group_status, "SELECT * FROM db_group_status()", 0, status_columns},
        {kind::group_raise, "SELECT * FROM db_group_raise($1)", 1, term_columns},
        {kind::group_promote, "SELECT * FROM db_group_promote($1)", 1,
         bigint_columns({"term", "start_position"})},
        {kind::group_attest, "SELECT * FROM db_group_attest($1,$2,$3)", 3, term_columns},
        {kind::group_guard, "SELECT * FROM db_group_guard($1,$2,$3)", 3,
         bigint_columns({"term", "position", "age_ms"})},
        {kind::group_position, "SELECT * FROM db_group_position()", 0,
         bigint_columns({"term", "position"})},
        {kind::standin_control,
         "SELECT standin_control($1, $2)",
         2,
         {{"standin_control", text_oid}}},
    };
}

std::map<std::string, statement_definition, std::less<>> make_catalogue() {
    std::map<std::string, statement_definition, std::less<>> catalogue;
    for (const statement_definition& definition : table_statements()) {
        catalogue.emplace(definition.sql, definition);
    }
    for (const statement_definition& definition : transaction_and_group_statements()) {
        catalogue.emplace(definition.sql, definition);
    }
    return catalogue;
}

} // namespace

const statement_definition* find_statement(std::string_view sql) {
    static const std::map<std::string, statement_definition, std::less<>> catalogue =
        make_catalogue();
    if (!sql.empty() && sql.back() == ';') {
        sql.remove_suffix(1);
    }
    const auto found = catalogue.find(sql);
    return found == catalogue.end() ? nullptr : &found->second;
}

} // namespace lovagemoor::standin_target
