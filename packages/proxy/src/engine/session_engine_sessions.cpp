#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Memory of an entry of a map beside its texts: the node, two strings and the allocator's share.
constexpr std::size_t entry_bytes = 160;

} // namespace

} // namespace internal

const char* to_string(request_phase phase) noexcept {
    switch (phase) {
    case request_phase::waiting:
        return "waiting";
    case request_phase::checking:
        return "checking";
    case request_phase::confirmed:
        return "confirmed";
    case request_phase::beginning:
        return "beginning";
    case request_phase::running:
        return "running";
    }
    return "unknown";
}

const char* to_string(session_end reason) noexcept {
    switch (reason) {
    case session_end::connection_lost:
        return "connection_lost";
    case session_end::connection_timed_out:
        return "connection_timed_out";
    case session_end::terminated:
        return "terminated";
    case session_end::malformed:
        return "malformed";
    case session_end::caller_limit:
        return "caller_limit";
    case session_end::too_many_statements:
        return "too_many_statements";
    case session_end::finished:
        return "finished";
    case session_end::stopping:
        return "stopping";
    case session_end::isolated:
        return "isolated";
    }
    return "unknown";
}

std::shared_ptr<const route> session_engine::find_route(const std::string& database) const {
    if (!configuration_.has_value()) {
        return nullptr;
    }
    const auto found = configuration_->routes.find(database);
    return found == configuration_->routes.end() ? nullptr : found->second;
}

statement_error session_engine::missing_route() const {
    if (!configuration_.has_value()) {
        return {statement_error_kind::busy, "no configuration yet", settings_.search_interval};
    }
    return {statement_error_kind::unknown_database, "no route", std::nullopt};
}

bool session_engine::writes(const session& caller, const statement& work) const {
    if (work.kind == statement_kind::execute) {
        const auto found = caller.prepared.find(work.name);
        return found != caller.prepared.end() && !found->second.read_only;
    }
    return work.kind == statement_kind::write;
}

void session_engine::resume_sessions() {
    while (!resumable_.empty()) {
        const session_id id = resumable_.front();
        resumable_.pop_front();
        process_backlog(id);
    }
}

void session_engine::process_backlog(session_id id) {
    for (;;) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second.current.has_value()) {
            return;
        }
        session& caller = found->second;
        if (caller.backlog.empty()) {
            if (caller.close_when_idle && caller.state == session_state::idle) {
                finished_sessions_.push_back(id);
            }
            return;
        }
        if (caller.output_above_limit) {
            return;
        }
        const statement next = std::move(caller.backlog.front());
        caller.backlog.pop_front();
        if (!refuse_while_stopping(caller, next)) {
            start_statement(caller, next);
        }
    }
}

bool session_engine::refuse_while_stopping(session& caller, const statement& work) {
    if (!stopping_since_.has_value() || caller.state == session_state::failed_transaction ||
        work.kind == statement_kind::rollback) {
        return false;
    }
    const bool in_transaction = caller.state == session_state::in_transaction;
    const int divisor = in_transaction ? transaction_grace_divisor : statement_grace_divisor;
    if (now_ - *stopping_since_ <= settings_.stop_grace / divisor) {
        return false;
    }
    if (in_transaction) {
        detach_transaction(caller);
        caller.state = session_state::failed_transaction;
    }
    // Another host can serve the caller at once.
    answer_error(caller,
                 {in_transaction ? statement_error_kind::aborted : statement_error_kind::busy,
                  "this host is stopping", std::chrono::milliseconds{0}});
    return true;
}

void session_engine::start_statement(session& caller, const statement& work) {
    if (answer_locally(caller, work)) {
        return;
    }
    const std::shared_ptr<const route> via =
        caller.transaction.has_value() ? caller.transaction->via : find_route(caller.database);
    if (via == nullptr) {
        answer_error(caller, missing_route());
        return;
    }
    const identification identity = identify(caller, *via);
    if (!identity) {
        reject_statement(caller, identity.error());
        return;
    }
    start_request(caller, work, via, identity.value());
}

bool session_engine::may_use_keys() const {
    return settings_.key_withdrawal.count() == 0 ||
           (configuration_confirmed_at_.has_value() &&
            now_ - *configuration_confirmed_at_ <
                settings_.key_withdrawal - settings_.key_withdrawal_margin);
}

session_engine::identification session_engine::identify(const session& caller,
                                                        const route& via) const {
    const auto holder = configuration_->keys.find(caller.key);
    const bool known = holder != configuration_->keys.end();
    if (!via.requires_key) {
        return known && may_use_keys() ? holder->second : core::organisation_id{};
    }
    if (!known) {
        return statement_error{statement_error_kind::not_authorized, "unknown key", std::nullopt};
    }
    if (!may_use_keys()) {
        return statement_error{statement_error_kind::busy,
                               "this host cannot tell whether the key is still valid",
                               settings_.search_interval};
    }
    return holder->second;
}

void session_engine::reject_statement(session& caller, const statement_error& error) {
    statement_error answered = error;
    if (caller.transaction.has_value()) {
        detach_transaction(caller);
        caller.state = session_state::failed_transaction;
        if (answered.kind == statement_error_kind::busy) {
            answered.kind = statement_error_kind::aborted;
        }
    }
    log(core::log_event::level::info, "statement_rejected",
        {{"session", std::to_string(caller.id)},
         {"database", caller.database},
         {"reason", answered.text}});
    count("lovagemoor_statements_rejected_total", {{"reason", to_string(answered.kind)}});
    caller.close_when_idle = true;
    answer_error(caller, answered);
    resumable_.push_back(caller.id);
}

bool session_engine::answer_locally(session& caller, const statement& work) {
    if (caller.transaction_error.has_value() && caller.state == session_state::in_transaction) {
        caller.state = session_state::failed_transaction;
        if (work.kind != statement_kind::rollback) {
            answer_error(caller, *std::exchange(caller.transaction_error, std::nullopt));
            return true;
        }
    }
    if (work.kind == statement_kind::rollback) {
        roll_back(caller);
        return true;
    }
    if (caller.state == session_state::failed_transaction) {
        answer_error(caller, {statement_error_kind::malformed,
                              "the transaction failed; only ROLLBACK ends it", std::nullopt});
        return true;
    }
    switch (work.kind) {
    case statement_kind::begin:
        begin_transaction(caller, work);
        return true;
    case statement_kind::commit:
        if (caller.state == session_state::idle) {
            answer_error(caller, {statement_error_kind::malformed, "no transaction", std::nullopt});
            return true;
        }
        return false;
    case statement_kind::set:
    case statement_kind::prepare:
    case statement_kind::deallocate:
        change_session(caller, work);
        return true;
    case statement_kind::execute:
        if (!caller.prepared.contains(work.name)) {
            answer_error(caller,
                         {statement_error_kind::not_prepared, "unknown name", std::nullopt});
            return true;
        }
        return false;
    case statement_kind::too_large:
        answer_error(caller, {statement_error_kind::too_large,
                              "the statement is too large to be sent to a target", std::nullopt});
        return true;
    case statement_kind::unknown:
        answer_error(caller, {statement_error_kind::malformed, "unknown or incomplete statement",
                              std::nullopt});
        return true;
    default:
        return false;
    }
}

bool session_engine::reserve(session& caller, std::size_t replaced, std::size_t added) {
    const std::size_t kept = caller.kept_bytes - replaced + added;
    if (kept > settings_.max_session_bytes) {
        answer_error(caller,
                     {statement_error_kind::too_large,
                      "the session keeps too many values and prepared statements", std::nullopt});
        return false;
    }
    caller.kept_bytes = kept;
    return true;
}

void session_engine::change_session(session& caller, const statement& work) {
    const std::size_t size = internal::entry_bytes + work.name.size() + work.argument.size();
    if (work.kind == statement_kind::set) {
        const auto known = caller.values.find(work.name);
        const std::size_t replaced =
            known == caller.values.end()
                ? 0
                : internal::entry_bytes + work.name.size() + known->second.size();
        if (reserve(caller, replaced, size)) {
            caller.values[work.name] = work.argument;
            answer_success(caller);
        }
        return;
    }
    const auto known = caller.prepared.find(work.name);
    const std::size_t replaced =
        known == caller.prepared.end()
            ? 0
            : internal::entry_bytes + work.name.size() + known->second.shape.size();
    if (work.kind == statement_kind::prepare) {
        if (reserve(caller, replaced, size)) {
            caller.prepared[work.name] = prepared_statement{work.read_only, work.argument};
            answer_success(caller);
        }
    } else if (known == caller.prepared.end()) {
        answer_error(caller, {statement_error_kind::not_prepared, "unknown name", std::nullopt});
    } else {
        caller.kept_bytes -= replaced;
        caller.prepared.erase(known);
        answer_success(caller);
    }
}

void session_engine::begin_transaction(session& caller, const statement& work) {
    if (caller.state != session_state::idle) {
        answer_error(caller,
                     {statement_error_kind::malformed, "a transaction is open", std::nullopt});
        return;
    }
    const std::shared_ptr<const route> via = find_route(caller.database);
    if (via == nullptr) {
        answer_error(caller, missing_route());
        return;
    }
    const identification identity = identify(caller, *via);
    if (!identity) {
        reject_statement(caller, identity.error());
        return;
    }
    transaction& begun = caller.transaction.emplace();
    begun.organisation = identity.value();
    begun.read_only = work.read_only;
    begun.via = via;
    begun.began = now_;
    begun.idle_since = now_;
    caller.state = session_state::in_transaction;
    answer_success(caller);
}

void session_engine::roll_back(session& caller) {
    detach_transaction(caller);
    caller.transaction_error.reset();
    caller.state = session_state::idle;
    answer_success(caller);
}

void session_engine::detach_transaction(session& caller) {
    if (caller.transaction.has_value()) {
        release_transaction_connection(caller);
        caller.transaction.reset();
    }
}

void session_engine::release_transaction_connection(session& caller) {
    const std::optional<core::connection_id> id =
        std::exchange(caller.transaction->connection, std::nullopt);
    target_connection* const connection = id.has_value() ? pool_.find(*id) : nullptr;
    if (connection != nullptr) {
        connection->values_known = false;
        send(*connection, {target_command{command_kind::rollback, {}, {}, {}, std::nullopt, 0}},
             reply_role::release);
    }
}

void session_engine::answer(session& caller, statement_result result) {
    result.state = caller.state;
    if (!result.position.has_value()) {
        const std::shared_ptr<const route> via =
            caller.transaction.has_value() ? caller.transaction->via : find_route(caller.database);
        result.position = via == nullptr ? std::nullopt : seen_position(caller, via->service);
    }
    if (caller.transaction.has_value()) {
        caller.transaction->idle_since = now_;
    }
    caller.last_output = now_;
    if (caller.close_when_idle) {
        put_off_close(caller);
    }
    out_.emplace_back(answer_statement{caller.id, std::move(result)});
}

void session_engine::answer_success(session& caller) {
    answer(caller, statement_result{});
}

void session_engine::answer_error(session& caller, statement_error error) {
    statement_result result;
    result.error = std::move(error);
    answer(caller, std::move(result));
}

void session_engine::close_sessions(const std::vector<session_id>& ids, session_end reason) {
    for (const session_id id : ids) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && !found->second.ending.has_value()) {
            found->second.ending = reason;
            out_.emplace_back(drain_session{id});
        }
    }
}

void session_engine::on(const session_drained& input) {
    const auto found = sessions_.find(input.session);
    if (found == sessions_.end() || !found->second.ending.has_value()) {
        return;
    }
    const session_end reason = *std::exchange(found->second.ending, std::nullopt);
    if (input.complete && may_end(found->second, reason)) {
        out_.emplace_back(close_session{input.session, reason});
        on(session_closed{input.session, reason});
    } else if (reason == session_end::finished) {
        finished_sessions_.push_back(input.session);
    }
}

bool session_engine::may_end(const session& caller, session_end reason) const {
    const bool may_abort =
        reason == session_end::stopping && stopping_since_.has_value() &&
        now_ - *stopping_since_ > settings_.stop_grace / transaction_grace_divisor;
    return all_answered(caller) && (caller.state == session_state::idle || may_abort);
}

void session_engine::put_off_close(session& caller) const {
    const core::time_point quiet = now_ + settings_.close_delay;
    // A caller that goes on sending statements although they are refused must not stay for good.
    const bool may_go_on =
        stopping_since_.has_value() &&
        now_ - *stopping_since_ <= settings_.stop_grace / transaction_grace_divisor;
    caller.close_after = may_go_on ? quiet : caller.close_after.value_or(quiet);
}

bool session_engine::refuses_statements() const {
    return stopping_since_.has_value() &&
           now_ - *stopping_since_ > settings_.stop_grace / statement_grace_divisor;
}

void session_engine::report_unanswered(const session& caller, session_end reason) {
    if (!caller.current.has_value() && caller.backlog.empty()) {
        return;
    }
    const statement& first =
        caller.current.has_value() ? caller.current->work : caller.backlog.front();
    const target_connection* const connection =
        caller.current.has_value() ? pool_.find(caller.current->connection) : nullptr;
    const core::duration age =
        caller.current.has_value() ? now_ - caller.current->received : core::duration::zero();
    log(core::log_event::level::info, "session_ended_unanswered",
        {{"session", std::to_string(caller.id)},
         {"database", caller.database},
         {"reason", to_string(reason)},
         {"id", first.id},
         {"phase", caller.current.has_value() ? to_string(caller.current->phase) : "not_begun"},
         {"statements",
          std::to_string(caller.backlog.size() + (caller.current.has_value() ? 1 : 0))},
         {"target", connection != nullptr ? connection->target.value : "none"},
         {"holder", connection != nullptr && connection->holder.has_value()
                        ? connection->holder->value
                        : "none"},
         {"age_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())}});
    count("lovagemoor_sessions_ended_unanswered_total", {{"reason", to_string(reason)}});
}

bool session_engine::all_answered(const session& caller) const {
    return !caller.current.has_value() && caller.backlog.empty() &&
           now_ >= caller.close_after.value_or(caller.last_output + settings_.close_delay);
}

void session_engine::close_finished_sessions() {
    std::vector<session_id> done;
    std::vector<session_id> waiting;
    for (const session_id id : std::exchange(finished_sessions_, {})) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second.state != session_state::idle ||
            found->second.current.has_value() || !found->second.backlog.empty()) {
            // Its next answer puts it back on the list.
            continue;
        }
        (all_answered(found->second) ? done : waiting).push_back(id);
    }
    finished_sessions_ = std::move(waiting);
    close_sessions(done, session_end::finished);
}

} // namespace lovagemoor::proxy
