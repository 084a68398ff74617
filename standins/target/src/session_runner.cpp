#include "session_runner.hpp"

#include "sql_error.hpp"

#include <algorithm>
#include <utility>

namespace lovagemoor::standin_target {

namespace {

/// A session whose unsent output exceeds this size processes no further messages.
constexpr std::size_t max_output_bytes = 1U << 20U;
/// Size of PostgreSQL's output buffer, which it sends without a Sync or Flush when it is full.
constexpr std::size_t send_buffer_bytes = 8192;

char transaction_status(const transaction& current_transaction) {
    if (current_transaction.failed) {
        return 'E';
    }
    return current_transaction.in_block ? 'T' : 'I';
}

const statement_definition& require_statement(std::string_view sql) {
    const statement_definition* definition = find_statement(sql);
    if (definition == nullptr) {
        throw sql_error("42601", "statement is not supported by the stand-in");
    }
    return *definition;
}

void require_text_formats(body_reader& body) {
    const std::uint16_t count = body.read_uint16();
    for (std::uint16_t index = 0; index < count; ++index) {
        if (body.read_uint16() != 0) {
            throw sql_error("0A000", "binary format is not supported");
        }
    }
}

void write_columns(message_writer& writer, const std::vector<result_column>& columns) {
    if (columns.empty()) {
        writer.write_empty('n');
    } else {
        writer.write_row_description(columns);
    }
}

} // namespace

void session_runner::enqueue_attest_waiters() {
    for (auto& [id, client_session] : sessions_) {
        if (client_session.running &&
            client_session.running->stage == statement_stage::attest_wait) {
            client_session.running->stage = statement_stage::attest_check;
            enqueue(id);
        }
    }
}

void session_runner::run_sessions(const std::function<bool(const session&)>& may_run) {
    std::deque<session_id> postponed;
    while (!runnable_.empty()) {
        const session_id id = runnable_.front();
        runnable_.pop_front();
        const auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second.phase != session_phase::ready) {
            continue;
        }
        if (may_run(found->second)) {
            run_session(found->second);
        } else {
            postponed.push_back(id);
        }
    }
    runnable_ = std::move(postponed);
}

void session_runner::run_session(session& client_session) {
    try {
        while (!client_session.closing) {
            if (client_session.running && !advance_statement(client_session)) {
                return;
            }
            client_session.output_full = client_session.output.size() > max_output_bytes;
            if (client_session.broken || client_session.output_full) {
                return;
            }
            const std::optional<frontend_message> message =
                parse_message(client_session.input, client_session.input_offset, false);
            if (!message) {
                client_session.closing = client_session.input_closed;
                return;
            }
            handle_message(client_session, *message);
        }
    } catch (const sql_error& error) {
        message_writer(client_session.output).write_error("FATAL", error.sqlstate(), error.what());
        client_session.sendable = client_session.output.size();
        client_session.closing = true;
    }
}

void session_runner::handle_message(session& client_session, const frontend_message& message) {
    if (client_session.skip_until_sync && message.type != 'S' && message.type != 'X') {
        return;
    }
    const body_reader body(message.body);
    try {
        switch (message.type) {
        case 'P':
            handle_parse(client_session, body);
            break;
        case 'B':
            handle_bind(client_session, body);
            break;
        case 'D':
            handle_describe(client_session, body);
            break;
        case 'E':
            handle_execute(client_session, body);
            break;
        case 'C':
            handle_close(client_session, body);
            break;
        case 'Q':
            handle_query(client_session, body);
            break;
        case 'H':
            client_session.sendable = client_session.output.size();
            break;
        case 'S':
            handle_sync(client_session);
            break;
        case 'X':
            client_session.closing = true;
            break;
        default:
            throw sql_error("08P01", "invalid frontend message type");
        }
    } catch (const sql_error& error) {
        client_session.skip_until_sync = message.type != 'Q';
        fail_statement(client_session, error.sqlstate(), error.what());
        if (message.type == 'Q') {
            end_transaction_and_report(client_session);
        }
    }
}

void session_runner::handle_parse(session& client_session, body_reader body) {
    const std::string name = body.read_string();
    const std::string sql = body.read_string();
    const statement_definition& definition = require_statement(sql);
    const bool ends_transaction =
        definition.kind == statement_kind::commit || definition.kind == statement_kind::rollback;
    if (client_session.current_transaction.failed && !ends_transaction) {
        throw sql_error("25P02", "current transaction is aborted, commands ignored until end of "
                                 "transaction block");
    }
    client_session.prepared[name] = &definition;
    message_writer(client_session.output).write_empty('1');
}

void session_runner::handle_bind(session& client_session, body_reader body) {
    const std::string portal = body.read_string();
    const auto prepared = client_session.prepared.find(body.read_string());
    if (prepared == client_session.prepared.end()) {
        throw sql_error("26000", "prepared statement does not exist");
    }
    require_text_formats(body);
    bound_statement bound{prepared->second, {}};
    const std::uint16_t count = body.read_uint16();
    if (count != bound.definition->parameter_count) {
        throw sql_error("08P01", "wrong number of parameters");
    }
    constexpr std::uint32_t null_length = 0xFFFFFFFFU;
    for (std::uint16_t index = 0; index < count; ++index) {
        const std::uint32_t length = body.read_uint32();
        bound.parameters.push_back(length == null_length ? sql_value{}
                                                         : sql_value(body.read_bytes(length)));
    }
    require_text_formats(body);
    client_session.portals[portal] = std::move(bound);
    message_writer(client_session.output).write_empty('2');
}

void session_runner::handle_describe(session& client_session, body_reader body) {
    const char kind = body.read_byte();
    const std::string name = body.read_string();
    message_writer writer(client_session.output);
    if (kind == 'S') {
        const auto prepared = client_session.prepared.find(name);
        if (prepared == client_session.prepared.end()) {
            throw sql_error("26000", "prepared statement does not exist");
        }
        writer.write_parameter_description(prepared->second->parameter_count);
        write_columns(writer, prepared->second->columns);
        return;
    }
    const auto portal = client_session.portals.find(name);
    if (portal == client_session.portals.end()) {
        throw sql_error("34000", "portal does not exist");
    }
    write_columns(writer, portal->second.definition->columns);
}

void session_runner::handle_execute(session& client_session, body_reader body) {
    const auto portal = client_session.portals.find(body.read_string());
    if (portal == client_session.portals.end()) {
        throw sql_error("34000", "portal does not exist");
    }
    start_statement(client_session, portal->second, false);
}

void session_runner::handle_close(session& client_session, body_reader body) {
    const char kind = body.read_byte();
    const std::string name = body.read_string();
    if (kind == 'S') {
        client_session.prepared.erase(name);
    } else {
        client_session.portals.erase(name);
    }
    message_writer(client_session.output).write_empty('3');
}

void session_runner::handle_query(session& client_session, body_reader body) {
    const std::string sql = body.read_string();
    if (sql.empty()) {
        message_writer(client_session.output).write_empty('I');
        end_transaction_and_report(client_session);
        return;
    }
    const statement_definition& definition = require_statement(sql);
    if (definition.parameter_count != 0) {
        throw sql_error("42P02", "there is no parameter $1");
    }
    start_statement(client_session, {&definition, {}}, true);
}

void session_runner::handle_sync(session& client_session) {
    client_session.skip_until_sync = false;
    end_transaction_and_report(client_session);
}

void session_runner::end_transaction_and_report(session& client_session) {
    if (!client_session.current_transaction.in_block) {
        try {
            executor_.commit(client_session.current_transaction);
        } catch (const sql_error& error) {
            message_writer(client_session.output)
                .write_error("ERROR", error.sqlstate(), error.what());
        }
        release_locks(client_session);
    }
    message_writer(client_session.output)
        .write_ready(transaction_status(client_session.current_transaction));
    client_session.sendable = client_session.output.size();
}

void session_runner::start_statement(session& client_session, bound_statement statement,
                                     bool simple_query) {
    ++client_session.statement_number;
    client_session.running = running_statement{std::move(statement), simple_query};
}

bool session_runner::advance_statement(session& client_session) {
    running_statement& running = *client_session.running;
    try {
        while (running.stage != statement_stage::execution) {
            if (!advance_stage(client_session, running)) {
                return false;
            }
        }
        const statement_result result = executor_.execute(
            *running.statement.definition, running.statement.parameters,
            client_session.current_transaction, client_session.id, clock_type::now());
        release_slot(running);
        finish_statement(client_session, result);
    } catch (const sql_error& error) {
        release_slot(running);
        client_session.skip_until_sync = !running.simple_query;
        fail_statement(client_session, error.sqlstate(), error.what());
        if (running.simple_query) {
            end_transaction_and_report(client_session);
        }
    }
    client_session.running.reset();
    return true;
}

bool session_runner::advance_stage(session& client_session, running_statement& running) {
    const statement_definition& definition = *running.statement.definition;
    switch (running.stage) {
    case statement_stage::check: {
        const std::string key = executor_.check_statement(definition, running.statement.parameters,
                                                          client_session.current_transaction);
        running.stage = statement_stage::slot_request;
        if (key.empty()) {
            return true;
        }
        const row_locks::acquisition lock = locks_.acquire(key, client_session.id);
        if (lock == row_locks::acquisition::deadlock) {
            throw sql_error("40P01", "deadlock detected");
        }
        if (lock == row_locks::acquisition::queued) {
            running.stage = statement_stage::lock_wait;
        }
        return true;
    }
    case statement_stage::slot_request:
        if (!definition.uses_slot) {
            running.stage = statement_stage::attest_check;
        } else if (free_slots_ > 0) {
            --free_slots_;
            running.holds_slot = true;
            running.stage = statement_stage::service_start;
        } else {
            slot_queue_.push_back(client_session.id);
            running.stage = statement_stage::slot_wait;
        }
        return true;
    case statement_stage::service_start:
        return start_service(client_session, running);
    case statement_stage::attest_check:
        return check_attest(client_session, running);
    default:
        return false;
    }
}

bool session_runner::start_service(session& client_session, running_statement& running) {
    const bool is_sleep = running.statement.definition->kind == statement_kind::sleep;
    const std::chrono::microseconds cost =
        is_sleep ? parse_seconds(running.statement.parameters[0]) : service_time_;
    if (cost.count() <= 0) {
        running.stage = statement_stage::execution;
        return true;
    }
    running.stage = statement_stage::service;
    schedule_stage(client_session, cost, statement_stage::service, statement_stage::execution);
    return false;
}

bool session_runner::check_attest(session& client_session, running_statement& running) {
    running.stage = statement_stage::execution;
    const std::vector<sql_value>& parameters = running.statement.parameters;
    if (running.statement.definition->kind != statement_kind::group_attest ||
        running.attest_expired) {
        return true;
    }
    const term_number term = static_cast<term_number>(parse_integer(parameters[0]));
    const log_position position = static_cast<log_position>(parse_integer(parameters[1]));
    const std::chrono::milliseconds wait(parse_integer(parameters[2]));
    if (wait.count() <= 0 || member_.attest_result_is_known(term, position)) {
        return true;
    }
    running.stage = statement_stage::attest_wait;
    const std::uint64_t statement_number = client_session.statement_number;
    timers_.schedule(clock_type::now() + wait, [this, id = client_session.id, statement_number] {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.running &&
            found->second.statement_number == statement_number) {
            found->second.running->attest_expired = true;
            found->second.running->stage = statement_stage::attest_check;
            enqueue(id);
        }
    });
    return false;
}

void session_runner::schedule_stage(session& client_session, std::chrono::microseconds delay,
                                    statement_stage from, statement_stage to) {
    const std::uint64_t statement_number = client_session.statement_number;
    timers_.schedule(clock_type::now() + delay,
                     [this, id = client_session.id, statement_number, from, to] {
                         const auto found = sessions_.find(id);
                         if (found == sessions_.end()) {
                             return;
                         }
                         session& waiting = found->second;
                         if (waiting.running && waiting.statement_number == statement_number &&
                             waiting.running->stage == from) {
                             waiting.running->stage = to;
                             enqueue(id);
                         }
                     });
}

void session_runner::finish_statement(session& client_session, const statement_result& result) {
    const bool simple_query = client_session.running->simple_query;
    const statement_definition& definition = *client_session.running->statement.definition;
    if (definition.kind == statement_kind::commit || definition.kind == statement_kind::rollback) {
        release_locks(client_session);
    }
    if (definition.kind == statement_kind::discard) {
        client_session.prepared.clear();
        client_session.portals.clear();
    }
    if (result.committed_write && std::exchange(drop_next_commit_, false)) {
        client_session.output.clear();
        client_session.sendable = 0;
        client_session.broken = true;
        return;
    }
    message_writer writer(client_session.output);
    if (simple_query && !definition.columns.empty()) {
        writer.write_row_description(definition.columns);
    }
    for (const sql_row& row : result.rows) {
        writer.write_data_row(row);
    }
    writer.write_command_complete(result.tag);
    if (simple_query) {
        end_transaction_and_report(client_session);
    } else if (client_session.output.size() - client_session.sendable > send_buffer_bytes) {
        client_session.sendable = client_session.output.size();
    }
}

void session_runner::fail_statement(session& client_session, const std::string& sqlstate,
                                    const std::string& message) {
    message_writer(client_session.output).write_error("ERROR", sqlstate, message);
    // PostgreSQL sends errors at once. The stand-in has to do the same here, because a Flush
    // message that follows the error is skipped.
    client_session.sendable = client_session.output.size();
    const bool in_block = client_session.current_transaction.in_block;
    client_session.current_transaction = {};
    client_session.current_transaction.in_block = in_block;
    client_session.current_transaction.failed = in_block;
    release_locks(client_session);
}

void session_runner::release_slot(running_statement& running) {
    if (!std::exchange(running.holds_slot, false)) {
        return;
    }
    ++free_slots_;
    if (slot_queue_.empty()) {
        return;
    }
    const session_id next = slot_queue_.front();
    slot_queue_.pop_front();
    running_statement& waiting = *sessions_.at(next).running;
    --free_slots_;
    waiting.holds_slot = true;
    waiting.stage = statement_stage::service_start;
    enqueue(next);
}

void session_runner::release_locks(session& client_session) {
    for (const session_id granted : locks_.release_all(client_session.id)) {
        sessions_.at(granted).running->stage = statement_stage::slot_request;
        enqueue(granted);
    }
}

void session_runner::end_session(session& client_session) {
    std::erase(slot_queue_, client_session.id);
    if (client_session.running) {
        release_slot(*client_session.running);
    }
    client_session.running.reset();
    release_locks(client_session);
}

} // namespace lovagemoor::standin_target
