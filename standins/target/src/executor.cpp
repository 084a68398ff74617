#include "executor.hpp"

#include "sql_error.hpp"

#include <charconv>
#include <map>

namespace lovagemoor::standin_target {

namespace {

const std::string& require_text(const sql_value& value) {
    if (!value) {
        throw sql_error("22004", "null value not allowed");
    }
    return *value;
}

std::int64_t current_microseconds() {
    const std::chrono::system_clock::duration since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

std::uint64_t parse_unsigned(const sql_value& value) {
    const std::int64_t number = parse_integer(value);
    if (number < 0) {
        throw sql_error("22003", "value out of range");
    }
    return static_cast<std::uint64_t>(number);
}

/// Returns microseconds. Accepts a number with an optional unit, for example "86400 seconds" or
/// "24 hours"; the default unit is the second.
std::int64_t parse_interval(const sql_value& value) {
    static const std::map<std::string, std::int64_t> units{
        {"", 1},         {"s", 1},       {"second", 1},   {"seconds", 1}, {"minute", 60},
        {"minutes", 60}, {"hour", 3600}, {"hours", 3600}, {"day", 86400}, {"days", 86400}};
    const std::string& text = require_text(value);
    const std::size_t digits = std::min(text.find_first_not_of("-0123456789"), text.size());
    std::string unit = text.substr(digits);
    unit.erase(0, unit.find_first_not_of(' '));
    const auto found = units.find(unit);
    if (digits == 0 || found == units.end()) {
        throw sql_error("22007", "invalid input syntax for type interval");
    }
    return parse_integer(text.substr(0, digits)) * found->second * 1'000'000;
}

/// Returns the committed row with a key, or null.
template <typename Rows>
typename Rows::mapped_type const* find_row(const Rows& rows, const typename Rows::key_type& key) {
    const auto found = rows.find(key);
    return found == rows.end() ? nullptr : &found->second;
}

/// Finds an order among the transaction's own changes, then among the committed rows.
std::optional<v1::PutOrder> find_order(const table_set& tables,
                                       const transaction& current_transaction, std::int64_t id) {
    for (auto change = current_transaction.changes.rbegin();
         change != current_transaction.changes.rend(); ++change) {
        if (change->has_put_order() && change->put_order().id() == id) {
            return change->put_order();
        }
    }
    const v1::PutOrder* row = find_row(tables.orders, id);
    return row == nullptr ? std::nullopt : std::optional<v1::PutOrder>(*row);
}

/// Finds a request among the transaction's own changes, then among the committed rows.
std::optional<v1::PutRequest> find_request(const table_set& tables,
                                           const transaction& current_transaction,
                                           const std::string& key) {
    for (auto change = current_transaction.changes.rbegin();
         change != current_transaction.changes.rend(); ++change) {
        if (change->has_put_request() && change->put_request().key() == key) {
            return change->put_request();
        }
        if (change->kind_case() == v1::Change::kDeleteRequest && change->delete_request() == key) {
            return std::nullopt;
        }
    }
    const v1::PutRequest* row = find_row(tables.requests, key);
    return row == nullptr ? std::nullopt : std::optional<v1::PutRequest>(*row);
}

sql_row order_values(const v1::PutOrder& order) {
    return {std::to_string(order.id()), order.kit(), std::to_string(order.quantity())};
}

statement_result select_result(std::vector<sql_row> rows) {
    const std::string tag = "SELECT " + std::to_string(rows.size());
    return {std::move(rows), tag};
}

/// Returns the orders that the transaction itself wrote.
std::map<std::int64_t, v1::PutOrder> own_orders(const transaction& current_transaction) {
    table_set own;
    for (const v1::Change& change : current_transaction.changes) {
        own.apply(change);
    }
    return std::move(own.orders);
}

statement_result select_orders(const table_set& tables, const transaction& current_transaction) {
    std::map<std::int64_t, v1::PutOrder> own = own_orders(current_transaction);
    std::vector<sql_row> rows;
    rows.reserve(tables.orders.size() + own.size());
    auto next_own = own.begin();
    for (const auto& [id, order] : tables.orders) {
        for (; next_own != own.end() && next_own->first < id; ++next_own) {
            rows.push_back(order_values(next_own->second));
        }
        const bool is_changed = next_own != own.end() && next_own->first == id;
        rows.push_back(order_values(is_changed ? (next_own++)->second : order));
    }
    for (; next_own != own.end(); ++next_own) {
        rows.push_back(order_values(next_own->second));
    }
    return select_result(std::move(rows));
}

statement_result count_orders(const table_set& tables, const transaction& current_transaction) {
    std::size_t count = tables.orders.size();
    for (const auto& [id, order] : own_orders(current_transaction)) {
        count += tables.orders.contains(id) ? 0 : 1;
    }
    return select_result({{std::to_string(count)}});
}

statement_result insert_order(const table_set& tables, const std::vector<sql_value>& parameters,
                              transaction& current_transaction) {
    const std::int64_t id = parse_integer(parameters[0]);
    if (find_order(tables, current_transaction, id)) {
        throw sql_error("23505", "duplicate key value violates unique constraint \"orders_pkey\"");
    }
    v1::Change change;
    change.mutable_put_order()->set_id(id);
    change.mutable_put_order()->set_kit(require_text(parameters[1]));
    change.mutable_put_order()->set_quantity(parse_integer(parameters[2]));
    current_transaction.changes.push_back(change);
    return {{}, "INSERT 0 1"};
}

statement_result update_order(const table_set& tables, const std::vector<sql_value>& parameters,
                              transaction& current_transaction) {
    std::optional<v1::PutOrder> order =
        find_order(tables, current_transaction, parse_integer(parameters[0]));
    if (!order) {
        return {{}, "UPDATE 0"};
    }
    order->set_quantity(parse_integer(parameters[1]));
    v1::Change change;
    *change.mutable_put_order() = *order;
    current_transaction.changes.push_back(change);
    return {{}, "UPDATE 1"};
}

statement_result insert_request(const table_set& tables, const std::vector<sql_value>& parameters,
                                transaction& current_transaction) {
    const std::string& key = require_text(parameters[0]);
    if (find_request(tables, current_transaction, key)) {
        throw sql_error("23505",
                        "duplicate key value violates unique constraint \"request_record_pkey\"");
    }
    v1::Change change;
    change.mutable_put_request()->set_key(key);
    change.mutable_put_request()->set_digest(require_text(parameters[1]));
    change.mutable_put_request()->set_expires_at(current_microseconds() +
                                                 parse_interval(parameters[2]));
    current_transaction.changes.push_back(change);
    return {{}, "INSERT 0 1"};
}

statement_result update_request(const table_set& tables, const std::vector<sql_value>& parameters,
                                transaction& current_transaction) {
    std::optional<v1::PutRequest> request =
        find_request(tables, current_transaction, require_text(parameters[0]));
    if (!request) {
        return {{}, "UPDATE 0"};
    }
    request->clear_answer();
    if (parameters[1]) {
        request->set_answer(*parameters[1]);
    }
    v1::Change change;
    *change.mutable_put_request() = *request;
    current_transaction.changes.push_back(change);
    return {{}, "UPDATE 1"};
}

statement_result select_request(const table_set& tables, const std::vector<sql_value>& parameters,
                                const transaction& current_transaction) {
    const std::optional<v1::PutRequest> request =
        find_request(tables, current_transaction, require_text(parameters[0]));
    if (!request) {
        return select_result({});
    }
    const sql_value answer = request->has_answer() ? sql_value(request->answer()) : std::nullopt;
    return select_result({{request->digest(), answer}});
}

sql_row integer_row(std::initializer_list<std::uint64_t> values) {
    sql_row row;
    for (const std::uint64_t value : values) {
        row.emplace_back(std::to_string(value));
    }
    return row;
}

bool is_table_write(statement_kind kind) {
    switch (kind) {
    case statement_kind::insert_order:
    case statement_kind::update_order:
    case statement_kind::insert_request:
    case statement_kind::update_request:
    case statement_kind::delete_requests:
        return true;
    default:
        return false;
    }
}

} // namespace

std::int64_t parse_integer(const sql_value& value) {
    const std::string& text = require_text(value);
    std::int64_t number = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        throw sql_error("22P02", "invalid input syntax for type bigint");
    }
    return number;
}

std::chrono::microseconds parse_seconds(const sql_value& value) {
    const std::string& text = require_text(value);
    double seconds = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        throw sql_error("22P02", "invalid input syntax for type double precision");
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

std::string executor::check_statement(const statement_definition& statement,
                                      const std::vector<sql_value>& parameters,
                                      const transaction& current_transaction) const {
    const bool ends_transaction =
        statement.kind == statement_kind::commit || statement.kind == statement_kind::rollback;
    if (current_transaction.failed && !ends_transaction) {
        throw sql_error("25P02", "current transaction is aborted, commands ignored until end of "
                                 "transaction block");
    }
    if (is_table_write(statement.kind) &&
        (current_transaction.read_only || !member_.is_primary())) {
        throw sql_error("25006", "cannot execute in a read-only transaction");
    }
    switch (statement.kind) {
    case statement_kind::insert_order:
    case statement_kind::update_order:
        return "orders " + std::to_string(parse_integer(parameters[0]));
    case statement_kind::insert_request:
    case statement_kind::update_request:
        return "request_record " + require_text(parameters[0]);
    default:
        return {};
    }
}

statement_result executor::execute(const statement_definition& statement,
                                   const std::vector<sql_value>& parameters,
                                   transaction& current_transaction, session_id session,
                                   time_point now) {
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
    case statement_kind::commit:
    case statement_kind::rollback:
    case statement_kind::discard:
        return execute_transaction(statement.kind, current_transaction);
    default:
        break;
    }
    current_transaction.active = true;
    if (statement.uses_slot) {
        return execute_table(statement.kind, parameters, current_transaction, session);
    }
    return execute_group(statement.kind, parameters, now);
}

statement_result executor::execute_table(statement_kind kind,
                                         const std::vector<sql_value>& parameters,
                                         transaction& current_transaction,
                                         session_id session) const {
    const table_set& tables = member_.log().tables();
    switch (kind) {
    case statement_kind::insert_order:
        return insert_order(tables, parameters, current_transaction);
    case statement_kind::update_order:
        return update_order(tables, parameters, current_transaction);
    case statement_kind::select_order: {
        const std::optional<v1::PutOrder> order =
            find_order(tables, current_transaction, parse_integer(parameters[0]));
        return order ? select_result({order_values(*order)}) : select_result({});
    }
    case statement_kind::select_orders:
        return select_orders(tables, current_transaction);
    case statement_kind::count_orders:
        return count_orders(tables, current_transaction);
    case statement_kind::insert_request:
        return insert_request(tables, parameters, current_transaction);
    case statement_kind::update_request:
        return update_request(tables, parameters, current_transaction);
    case statement_kind::select_request:
        return select_request(tables, parameters, current_transaction);
    case statement_kind::delete_requests:
        return delete_expired_requests(current_transaction, session);
    default:
        return select_result({{""}}); // pg_sleep
    }
}

statement_result executor::delete_expired_requests(transaction& current_transaction,
                                                   session_id session) const {
    const std::int64_t now = current_microseconds();
    std::size_t count = 0;
    for (const auto& [key, request] : member_.log().tables().requests) {
        // Rows that another transaction has locked are left for the next call.
        const bool locked = locks_.is_locked_by_other("request_record " + key, session);
        if (request.expires_at() < now && !locked) {
            v1::Change change;
            change.set_delete_request(key);
            current_transaction.changes.push_back(change);
            ++count;
        }
    }
    return {{}, "DELETE " + std::to_string(count)};
}

statement_result executor::execute_transaction(statement_kind kind,
                                               transaction& current_transaction) {
    switch (kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        current_transaction.active = true;
        current_transaction.in_block = true;
        current_transaction.read_only =
            current_transaction.read_only || kind == statement_kind::begin_read_only;
        return {{}, "BEGIN"};
    case statement_kind::commit: {
        if (current_transaction.failed) {
            current_transaction = {};
            return {{}, "ROLLBACK"};
        }
        const bool wrote = commit(current_transaction);
        return {{}, "COMMIT", wrote};
    }
    case statement_kind::rollback:
        current_transaction = {};
        return {{}, "ROLLBACK"};
    default:
        if (current_transaction.active) {
            throw sql_error("25001", "DISCARD ALL cannot run inside a transaction block");
        }
        return {{}, "DISCARD ALL"};
    }
}

bool executor::commit(transaction& current_transaction) {
    const std::vector<v1::Change> changes = std::move(current_transaction.changes);
    current_transaction = {};
    if (changes.empty()) {
        return false;
    }
    member_.commit(changes);
    return true;
}

statement_result executor::execute_group(statement_kind kind,
                                         const std::vector<sql_value>& parameters, time_point now) {
    switch (kind) {
    case statement_kind::group_raise:
        member_.fence(parse_unsigned(parameters[0]));
        break;
    case statement_kind::group_promote: {
        const term_number term = parse_unsigned(parameters[0]);
        return select_result({integer_row({term, member_.promote(term, now)})});
    }
    case statement_kind::group_guard:
        member_.check_position(parse_unsigned(parameters[0]), parse_unsigned(parameters[1]),
                               std::chrono::milliseconds(parse_integer(parameters[2])), now);
        break;
    case statement_kind::standin_control:
        return select_result(
            {{control_(require_text(parameters[0]), require_text(parameters[1]))}});
    default:
        break;
    }
    const member_status status = member_.status(now);
    const std::uint64_t age = static_cast<std::uint64_t>(status.age.count());
    if (kind == statement_kind::group_guard) {
        return select_result({integer_row({status.last_term, status.position, age})});
    }
    if (kind == statement_kind::group_position) {
        return select_result({integer_row({status.last_term, status.position})});
    }
    sql_row row = integer_row({status.promised_term, status.last_term, status.position});
    if (kind == statement_kind::group_status) {
        row.emplace_back(status.is_primary ? "t" : "f");
        row.emplace_back(std::to_string(age));
        row.emplace_back(std::to_string(status.primary_silence.count()));
    }
    return select_result({row});
}

} // namespace lovagemoor::standin_target
