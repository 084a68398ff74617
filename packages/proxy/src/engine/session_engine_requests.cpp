#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <lovagemoor/proxy/overload/primary_wait.hpp>
#include <lovagemoor/proxy/overload/wait_queue.hpp>
#include <lovagemoor/proxy/pool/connection_share.hpp>
#include <lovagemoor/proxy/routing/target_choice.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

target_command command(command_kind kind, std::string name = {}, std::string argument = {}) {
    return target_command{kind, {}, std::move(name), std::move(argument), std::nullopt, 0};
}

/// Longest part of a caller's text in a log line.
constexpr std::size_t max_logged_bytes = 80;

/// @return Name of the log event for a request that this host answers with an error.
const char* log_event_of(statement_error_kind kind) {
    switch (kind) {
    case statement_error_kind::in_doubt:
        return "statement_in_doubt";
    case statement_error_kind::timeout:
        return "statement_timed_out";
    case statement_error_kind::aborted:
        return "transaction_aborted";
    default:
        return "statement_refused";
    }
}

} // namespace

} // namespace internal

void session_engine::start_request(session& caller, const statement& work,
                                   std::shared_ptr<const route> via,
                                   core::organisation_id organisation) {
    request& started = caller.current.emplace();
    started.work = work;
    started.writes = writes(caller, work);
    started.received = now_;
    started.deadline = now_ + via->statement_timeout;
    started.via = std::move(via);
    started.organisation = std::move(organisation);
    services_[started.via->service].last_use = now_;
    dispatch_request(caller);
}

bool session_engine::needs_primary(const session& caller) const {
    const request& work = *caller.current;
    if (work.via->reads == read_consistency::latest || work.writes) {
        return true;
    }
    return caller.transaction.has_value() && !caller.transaction->read_only;
}

bool session_engine::has_lease_contact(const core::service_id& service, core::time_point at,
                                       core::duration within) {
    if (at - std::max(demotions_known_at_, registry_contacted_at_) <= within) {
        return true;
    }
    const std::optional<core::target_id>& primary = services_[service].view.primary();
    bool keeps_connection = false;
    for (const target_state* const target : pool_.of_service(service)) {
        if (target->record.id == primary || target->removed_at.has_value() ||
            target->min_connections == 0) {
            continue;
        }
        keeps_connection = true;
        if (at - target->last_answered <= within) {
            return true;
        }
    }
    return !keeps_connection;
}

bool session_engine::primary_lease_valid(const core::service_id& service, core::time_point at) {
    const core::time_point lapsed = services_[service].lease_lapsed_at;
    return at > lapsed && demotions_known_at_ > lapsed &&
           has_lease_contact(service, at, settings_.primary_lease);
}

void session_engine::update_lease(const core::service_id& id, service_state& state) {
    if (!has_lease_contact(id, now_, settings_.primary_lease)) {
        state.lease_lapsed_at = now_;
    } else if (!has_lease_contact(id, now_, settings_.registry_contact_after) &&
               now_ - registry_contact_requested_at_ >= settings_.registry_contact_after) {
        registry_contact_requested_at_ = now_;
        out_.emplace_back(contact_registry{});
    }
    if (demotions_known_at_ <= state.lease_lapsed_at) {
        request_demotions();
    }
}

void session_engine::request_demotions() {
    if (!demotions_requested_at_.has_value() ||
        now_ - *demotions_requested_at_ >= settings_.demotions_list_interval) {
        demotions_requested_at_ = now_;
        demotions_list_due_ = false;
        out_.emplace_back(list_demotions{});
    }
}

bool session_engine::usable(const target_state& target) const {
    if (target.removed_at.has_value() && now_ - *target.removed_at >= settings_.removal_grace) {
        return false;
    }
    if (!target.record.draining) {
        return true;
    }
    const auto service = services_.find(target.record.service);
    const bool leads =
        service != services_.end() && service->second.view.primary() == target.record.id;
    return now_ - target.draining_since <
           (leads ? draining_primary_use_time() : settings_.draining_use_time);
}

std::chrono::milliseconds session_engine::draining_primary_use_time() const {
    return std::max(settings_.draining_use_time, settings_.drain_time - settings_.drain_margin);
}

connection_limit session_engine::limit_of(const target_state& target) const {
    connection_limit limit{0, hosts_.size(), target.record.slots};
    if (configuration_.has_value()) {
        const auto limits = configuration_->services.find(target.record.service);
        if (limits != configuration_->services.end()) {
            limit.connections = limits->second.max_connections;
        }
    }
    return limit;
}

void session_engine::update_min_connections() {
    std::map<core::service_id, std::vector<core::target_id>> replicas;
    std::map<core::service_id, std::vector<core::target_id>> local;
    for (const auto& [id, target] : pool_.targets()) {
        if (target.removed_at.has_value() || target.record.claims_primary) {
            continue;
        }
        replicas[target.record.service].push_back(id);
        if (target.record.domain == settings_.domain) {
            local[target.record.service].push_back(id);
        }
    }
    for (auto& [id, target] : pool_.targets()) {
        const core::service_id& service = target.record.service;
        const std::vector<core::target_id>& closest_replicas =
            local.contains(service) ? local[service] : replicas[service];
        connection_priority priority;
        priority.preferred =
            !closest_replicas.empty() && preferred_target(settings_.host, closest_replicas) == id;
        if (!target.removed_at.has_value() && !target.record.claims_primary) {
            priority.preferring_hosts = hosts_.size() / replicas[service].size();
        }
        priority.rank = connection_rank(settings_.host, id);
        priority.starting = starting_;
        target.through_holders = through_holders(target);
        target.min_connections =
            target.through_holders ? 0 : min_connections(limit_of(target), priority);
    }
    min_connections_outdated_ = false;
}

void session_engine::dispatch_request(session& caller) {
    request& work = *caller.current;
    work.phase = request_phase::waiting;
    const identification identity = identify(caller, *work.via);
    if (!identity) {
        // The key was withdrawn while the statement waited.
        refuse(caller, identity.error());
        return;
    }
    if (caller.transaction.has_value() && caller.transaction->connection.has_value()) {
        target_connection* const pinned = pool_.find(*caller.transaction->connection);
        if (pinned != nullptr && work.work.kind == statement_kind::commit &&
            !caller.transaction->read_only && !primary_lease_valid(work.via->service, now_)) {
            refuse(caller, {statement_error_kind::aborted, "the primary may have been replaced",
                            std::nullopt});
        } else if (pinned != nullptr) {
            run_on(caller, *pinned);
        }
        return;
    }
    const std::optional<core::target_id> chosen = choose_target(caller);
    if (!chosen.has_value()) {
        if (isolated_since_.has_value()) {
            caller.close_when_idle = true;
            refuse(caller, {statement_error_kind::busy, "this host is cut off from the targets",
                            settings_.isolation_close_delay});
        } else if (work.waits_for == wait_reason::primary) {
            wait_for_primary(caller);
        } else {
            enqueue_waiting(caller, work.waits_for);
        }
        return;
    }
    target_state& target = *pool_.find(*chosen);
    if (!prepare_token(caller, target)) {
        return;
    }
    target_connection* const connection = acquire_connection(caller, target);
    if (connection == nullptr) {
        enqueue_waiting(caller, wait_reason::connection);
        return;
    }
    if (!take_token(caller)) {
        pool_.release(*connection, now_);
        wait_for_token(caller);
        return;
    }
    ++work.attempts;
    run_on(caller, *connection);
}

std::optional<core::target_id> session_engine::choose_target(session& caller) {
    request& work = *caller.current;
    service_state& service = services_[work.via->service];
    work.check_leadership = needs_primary(caller);
    work.required.reset();
    if (!work.check_leadership) {
        if (requirement_of(caller).has_value()) {
            std::optional<core::target_id> chosen = choose_replica(caller);
            if (chosen.has_value()) {
                return chosen;
            }
            work.waits_for = wait_reason::connection;
        }
        work.check_leadership = true;
    }
    const std::optional<core::target_id>& primary = service.view.primary();
    const target_state* const target = primary_of(service);
    if (target == nullptr || !usable(*target) || !primary_lease_valid(work.via->service, now_) ||
        primary_outage_time(service).has_value()) {
        work.waits_for = wait_reason::primary;
        return std::nullopt;
    }
    if (std::find(work.avoided.begin(), work.avoided.end(), *primary) != work.avoided.end() &&
        now_ < target->avoid_until) {
        work.waits_for = wait_reason::connection;
        return std::nullopt;
    }
    return primary;
}

target_state* session_engine::primary_of(const service_state& service) {
    const std::optional<core::target_id>& primary = service.view.primary();
    return primary.has_value() ? pool_.find(*primary) : nullptr;
}

std::optional<replication_position> session_engine::required_position(session& caller) const {
    std::optional<read_requirement>& required = caller.current->required;
    required = requirement_of(caller);
    return required.has_value() ? std::optional<replication_position>{required->position}
                                : std::nullopt;
}

std::optional<read_requirement> session_engine::requirement_of(const session& caller) const {
    const request& work = *caller.current;
    const auto service = services_.find(work.via->service);
    if (service == services_.end()) {
        return std::nullopt;
    }
    const core::time_point arrived =
        caller.transaction.has_value() ? caller.transaction->began : work.received;
    const std::optional<primary_checks::check> bound =
        service->second.checks.find(arrived - work.via->max_staleness);
    if (!bound.has_value()) {
        return std::nullopt;
    }
    const std::optional<replication_position> seen = seen_position(caller, work.via->service);
    if (seen.has_value() && *seen > bound->position) {
        return read_requirement{*seen, true, bound->sent};
    }
    return read_requirement{bound->position, false, bound->sent};
}

std::optional<replication_position> session_engine::seen_position(const session& caller,
                                                                  const core::service_id& service) {
    const auto found = caller.seen.find(service);
    return found == caller.seen.end() ? std::nullopt
                                      : std::optional<replication_position>{found->second};
}

void session_engine::record_seen(session& caller, const core::service_id& service,
                                 const std::optional<replication_position>& position) const {
    if (!position.has_value()) {
        return;
    }
    replication_position& newest = caller.seen[service];
    newest = std::max(newest, *position);
    if (configuration_.has_value() && caller.seen.size() > configuration_->services.size()) {
        std::erase_if(caller.seen, [&](const auto& entry) {
            return entry.first != service && !configuration_->services.contains(entry.first);
        });
    }
}

std::optional<core::target_id> session_engine::choose_replica(session& caller) {
    const request& work = *caller.current;
    const std::optional<core::target_id>& primary = services_[work.via->service].view.primary();
    const target_connection* const lent = pool_.find(work.opened);
    std::vector<read_candidate> candidates;
    bool some_idle = false;
    for (const target_state* const target : pool_.of_service(work.via->service)) {
        const core::target_id& id = target->record.id;
        read_candidate candidate;
        candidate.target = id;
        candidate.mean_latency = target->mean_latency;
        candidate.in_use = target->in_use;
        candidate.slots = target->record.slots;
        candidate.same_domain = target->record.domain == settings_.domain;
        candidate.primary = primary == id;
        candidate.connected = pool_.has_idle(*target, work.organisation);
        candidate.full = !candidate.connected && !target->through_holders && !may_open(*target);
        candidate.avoided =
            !usable(*target) || target->record.draining || now_ < target->avoid_until ||
            target->failing_since.has_value() ||
            (!candidate.primary && now_ < target->lagging_until) ||
            std::find(work.avoided.begin(), work.avoided.end(), id) != work.avoided.end();
        if (lent != nullptr && lent->holder.has_value() && lent->phase == connection_phase::idle &&
            lent->target == id && candidate.connected && !candidate.avoided) {
            // It was borrowed for this request.
            return id;
        }
        some_idle = some_idle || (candidate.connected && !candidate.avoided);
        candidates.push_back(std::move(candidate));
    }
    if (!some_idle) {
        for (read_candidate& candidate : candidates) {
            candidate.connected = pool_.find(candidate.target)->through_holders;
        }
    }
    const std::optional<std::size_t> chosen = choose_read_target(candidates);
    return chosen.has_value() ? std::optional<core::target_id>{candidates[*chosen].target}
                              : std::nullopt;
}

target_connection* session_engine::acquire_connection(session& caller, target_state& target) {
    request& work = *caller.current;
    if (target_connection* const idle = pool_.acquire(target, caller.id, work.organisation, now_)) {
        return idle;
    }
    // A waiting request is dispatched again on every event of its service and must not open a
    // further connection each time.
    if (!loan_pending(caller, target)) {
        cancel_loan(work);
        work.opened = open_or_borrow(caller, target);
    }
    return nullptr;
}

bool session_engine::may_open(const target_state& target) const {
    return now_ >= target.connect_after &&
           (target.own_connections() < max_connections(limit_of(target)) || !target.idle.empty());
}

bool session_engine::close_idle_connection(target_state& target,
                                           const core::organisation_id& organisation) {
    const auto replaced =
        std::find_if(target.idle.begin(), target.idle.end(), [&](core::connection_id id) {
            const target_connection& candidate = pool_.connections().at(id);
            return candidate.organisation != organisation && !candidate.holder.has_value();
        });
    if (replaced == target.idle.end()) {
        return false;
    }
    const core::connection_id id = *replaced;
    out_.emplace_back(close_target{id});
    pool_.erase(id);
    return true;
}

core::connection_id session_engine::open_connection(target_state& target,
                                                    const core::organisation_id& organisation) {
    if (!may_open(target)) {
        return 0;
    }
    if (target.own_connections() >= max_connections(limit_of(target)) &&
        !close_idle_connection(target, organisation)) {
        return 0;
    }
    const core::connection_id id = ids_.next();
    pool_.open(target, id, organisation, now_);
    open_target request;
    request.connection = id;
    request.target = target.record.id;
    request.service = target.record.service;
    request.organisation = organisation;
    request.address = target.record.address;
    request.connect_timeout = settings_.connect_timeout;
    request.greeting_timeout = settings_.greeting_timeout;
    out_.emplace_back(std::move(request));
    return id;
}

void session_engine::enqueue_waiting(session& caller, wait_reason reason) {
    request& work = *caller.current;
    work.waits_for = reason;
    std::vector<session_id>& waiting = services_[work.via->service].waiting;
    if (std::find(waiting.begin(), waiting.end(), caller.id) == waiting.end()) {
        waiting.push_back(caller.id);
    }
}

waiting_request session_engine::waiting_request_of(const session& caller) {
    const request& work = *caller.current;
    const std::chrono::milliseconds objective = work.via->latency_objective.count() > 0
                                                    ? work.via->latency_objective
                                                    : work.via->statement_timeout;
    return {work.via->priority, work.received, work.deadline, work.received + objective,
            services_[work.via->service].mean_service_time};
}

void session_engine::dispatch_waiting(const core::service_id& service) {
    std::vector<session_id> waiting = std::exchange(services_[service].waiting, {});
    std::erase_if(waiting, [this](session_id id) {
        const auto found = sessions_.find(id);
        return found == sessions_.end() || !found->second.current.has_value() ||
               found->second.current->phase != request_phase::waiting;
    });
    std::vector<std::pair<waiting_request, session_id>> ordered;
    ordered.reserve(waiting.size());
    for (const session_id id : waiting) {
        ordered.emplace_back(waiting_request_of(sessions_.at(id)), id);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [this](const auto& left, const auto& right) {
        return served_before(left.first, right.first, now_);
    });
    for (const auto& [request, id] : ordered) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.current.has_value() &&
            found->second.current->phase == request_phase::waiting) {
            dispatch_request(found->second);
        }
    }
    refuse_unservable(service);
}

void session_engine::dispatch_all_waiting() {
    for (const auto& [service, state] : services_) {
        if (!state.waiting.empty()) {
            dispatch_waiting(service);
        }
    }
}

void session_engine::refuse_unservable(const core::service_id& service) {
    service_state& state = services_[service];
    std::vector<session_id> unservable;
    std::size_t ahead = 0;
    for (const session_id id : state.waiting) {
        const session& caller = sessions_.at(id);
        if (caller.current->waits_for != wait_reason::connection) {
            continue;
        }
        if (can_be_served(waiting_request_of(caller), ahead, state.mean_completion_interval,
                          now_)) {
            ++ahead;
        } else {
            unservable.push_back(id);
        }
    }
    const core::duration queue_time =
        state.mean_completion_interval * static_cast<core::duration::rep>(ahead);
    for (const session_id id : unservable) {
        refuse(sessions_.at(id), {statement_error_kind::busy, "the targets are overloaded",
                                  std::chrono::ceil<std::chrono::milliseconds>(queue_time)});
    }
}

void session_engine::record_service_time(service_state& state, core::duration service_time) {
    state.mean_service_time += (service_time - state.mean_service_time) / service_weight;
    // Only completions while other requests wait indicate the throughput of the queue.
    if (!state.waiting.empty() && state.last_completion != core::time_point{}) {
        const core::duration interval = std::min<core::duration>(now_ - state.last_completion,
                                                                 settings_.max_completion_interval);
        state.mean_completion_interval +=
            (interval - state.mean_completion_interval) / service_weight;
    }
    state.last_completion = state.waiting.empty() ? core::time_point{} : now_;
}

std::optional<core::duration>
session_engine::primary_outage_time(const service_state& state) const {
    std::optional<core::time_point> since = state.missing_since;
    if (state.failing_since.has_value() &&
        now_ - *state.failing_since >= settings_.suspicion_delay) {
        since = state.failing_since;
    }
    return since.has_value() ? std::optional<core::duration>{now_ - *since} : std::nullopt;
}

void session_engine::wait_for_primary(session& caller) {
    const request& work = *caller.current;
    const primary_outage outage{
        primary_outage_time(services_[work.via->service]).value_or(core::duration::zero()),
        registry_reachable_, settings_.usual_failover_time, work.deadline - now_};
    if (should_wait_for_primary(outage)) {
        enqueue_waiting(caller, wait_reason::primary);
        return;
    }
    refuse(caller, {statement_error_kind::busy, "no primary", settings_.primary_retry_after});
}

void session_engine::add_preparation(const session& caller, target_connection& connection,
                                     std::vector<target_command>& commands) {
    bool reset = !connection.values_known;
    for (const auto& [name, value] : connection.values) {
        reset = reset || !caller.values.contains(name);
    }
    if (reset) {
        commands.push_back(internal::command(command_kind::reset));
        connection.values.clear();
        connection.prepared.clear();
        connection.values_known = true;
    }
    for (const auto& [name, value] : caller.values) {
        const auto held = connection.values.find(name);
        if (held == connection.values.end() || held->second != value) {
            commands.push_back(internal::command(command_kind::set_value, name, value));
            connection.values[name] = value;
        }
    }
}

std::string session_engine::prepare_on(const session& caller, target_connection& connection,
                                       std::vector<target_command>& commands) {
    const statement& work = caller.current->work;
    const prepared_statement& prepared = caller.prepared.at(work.name);
    const prepared_names::binding bound = connection.prepared.bind(prepared, settings_.prepared);
    for (const std::string& evicted : bound.evicted) {
        commands.push_back(internal::command(command_kind::deallocate, evicted));
    }
    if (bound.is_new) {
        log(core::log_event::level::debug, "statement_prepared",
            {{"connection", std::to_string(connection.id)},
             {"target", connection.target.value},
             {"session", std::to_string(caller.id)},
             {"id", work.id},
             {"name", bound.name},
             {"access", prepared.read_only ? "read" : "write"},
             {"shape", prepared.shape.substr(0, internal::max_logged_bytes)},
             {"shape_bytes", std::to_string(prepared.shape.size())}});
        commands.push_back(internal::command(prepared.read_only ? command_kind::prepare_read
                                                                : command_kind::prepare_write,
                                             bound.name, prepared.shape));
    }
    return bound.name;
}

void session_engine::send(target_connection& connection, std::vector<target_command> commands,
                          reply_role role) {
    for (std::size_t sent = 0; sent < commands.size(); ++sent) {
        connection.expected.push_back({role, now_});
    }
    out_.emplace_back(send_commands{connection.id, std::move(commands)});
}

void session_engine::run_on(session& caller, target_connection& connection) {
    request& work = *caller.current;
    work.connection = connection.id;
    std::vector<target_command> commands;
    if (caller.transaction.has_value() && !caller.transaction->connection.has_value()) {
        // Statements must not be sent before the transaction has begun: if the begin fails, they
        // would run outside of the transaction.
        const bool on_primary = work.check_leadership;
        work.phase = request_phase::beginning;
        target_command begin =
            internal::command(on_primary ? command_kind::begin : command_kind::begin_read_only);
        if (!on_primary) {
            begin.required_position = required_position(caller);
        }
        commands.push_back(std::move(begin));
        send(connection, std::move(commands), reply_role::transaction_begin);
        return;
    }
    if (!caller.transaction.has_value() && !work.writes && work.check_leadership) {
        work.phase = request_phase::checking;
        send(connection, {internal::command(command_kind::begin)}, reply_role::leadership_check);
        send(connection, {internal::command(command_kind::rollback)}, reply_role::check_end);
        return;
    }
    send_statement(caller, connection, std::move(commands));
}

void session_engine::send_statement(session& caller, target_connection& connection,
                                    std::vector<target_command> commands) {
    request& work = *caller.current;
    add_preparation(caller, connection, commands);
    std::string name;
    if (work.work.kind == statement_kind::execute) {
        name = prepare_on(caller, connection, commands);
    }
    for (std::size_t sent = 0; sent < commands.size(); ++sent) {
        connection.expected.push_back({reply_role::preparation, now_});
    }
    target_command forwarded;
    forwarded.id = work.work.id;
    if (work.work.kind == statement_kind::execute) {
        forwarded.kind = command_kind::execute;
        forwarded.name = std::move(name);
        forwarded.argument = work.work.argument;
    } else {
        forwarded.name = work.work.text;
    }
    if (!caller.transaction.has_value() && !work.check_leadership) {
        forwarded.required_position = required_position(caller);
    }
    commands.push_back(std::move(forwarded));
    connection.expected.push_back({reply_role::caller_statement, now_});
    work.phase = request_phase::running;
    work.sent = now_;
    out_.emplace_back(send_commands{connection.id, std::move(commands)});
}

void session_engine::retry_or_refuse(session& caller, const core::target_id& target,
                                     statement_error error, bool avoid) {
    request& work = *caller.current;
    work.connection = 0;
    log_request("statement_retried", caller,
                std::string{to_string(error.kind)} + " at " + target.value);
    if (avoid) {
        work.avoided.push_back(target);
    }
    if (work.attempts >= settings_.max_attempts) {
        refuse(caller, std::move(error));
        return;
    }
    dispatch_request(caller);
}

void session_engine::refuse(session& caller, statement_error error) {
    const request& work = *caller.current;
    log_request(internal::log_event_of(error.kind), caller, error.text);
    count_request(work, to_string(error.kind));
    std::erase(services_[work.via->service].waiting, caller.id);
    if (caller.transaction.has_value()) {
        detach_transaction(caller);
        caller.state = session_state::failed_transaction;
    }
    statement_result result;
    result.error = std::move(error);
    end_request(caller, std::move(result));
}

void session_engine::end_request(session& caller, statement_result result) {
    cancel_loan(*caller.current);
    caller.current.reset();
    resumable_.push_back(caller.id);
    answer(caller, std::move(result));
}

void session_engine::log_request(const char* name, const session& caller, std::string reason) {
    const request& work = *caller.current;
    const auto milliseconds = [](core::duration value) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    };
    const service_state& service = services_[work.via->service];
    const std::optional<core::time_point> check = service.checks.newest();
    const bool sent = work.phase == request_phase::running;
    const target_connection* const connection = pool_.find(work.connection);
    const target_state* const target =
        connection != nullptr ? pool_.find(connection->target) : nullptr;
    const std::string started =
        target != nullptr ? std::to_string(target->record.started_ms) : "none";
    const std::string required = work.check_leadership       ? "primary"
                                 : work.required.has_value() ? to_string(work.required->position)
                                                             : "none";
    log(core::log_event::level::info, name,
        {{"id", work.work.id},
         {"session", std::to_string(caller.id)},
         {"database", caller.database},
         {"organisation", work.organisation.empty() ? "none" : work.organisation.value},
         {"service", work.via->service.value},
         {"primary", service.view.primary().has_value() ? service.view.primary()->value : "none"},
         {"target", connection != nullptr ? connection->target.value : "none"},
         {"reason", std::move(reason)},
         {"attempts", std::to_string(work.attempts)},
         {"age_ms", milliseconds(now_ - work.received)},
         {"at_target_ms", sent ? milliseconds(now_ - work.sent) : "0"},
         {"check_age_ms", check.has_value() ? milliseconds(now_ - *check) : "none"},
         {"required", required},
         {"required_by", !work.required.has_value()       ? "none"
                         : work.required->seen_by_session ? "session"
                                                          : "check"},
         {"required_check_age_ms",
          work.required.has_value() ? milliseconds(now_ - work.required->checked_at) : "none"},
         {"target_started_ms", started},
         {"configuration",
          std::to_string(configuration_.has_value() ? configuration_->version : -1)}});
}

void session_engine::count_request(const request& work, const char* outcome) {
    const char* const route_type = work.via->reads == read_consistency::latest ? "latest"
                                   : work.via->reads == read_consistency::bounded_staleness
                                       ? "bounded_staleness"
                                       : "read_your_writes";
    count("lovagemoor_statements_total", {{"outcome", outcome}, {"route_type", route_type}});
    out_.emplace_back(core::observe_duration{
        "lovagemoor_statement_seconds", {{"route_type", route_type}}, now_ - work.received});
}

void session_engine::log_if_objective_missed(const session& caller) {
    const request& work = *caller.current;
    if (work.via->latency_objective.count() > 0 &&
        now_ - work.received > work.via->latency_objective) {
        log_request("statement_late", caller, "answered after the latency objective");
    }
}

void session_engine::time_out_request(session& caller) {
    const request& work = *caller.current;
    const char* const reason =
        work.phase == request_phase::running     ? "the target did not answer in time"
        : work.waits_for == wait_reason::primary ? "no primary"
        : work.waits_for == wait_reason::quota   ? "no token of the quota in time"
                                                 : "no connection free";
    give_up_request(caller, reason, settings_.search_interval);
}

void session_engine::give_up_request(session& caller, const char* reason,
                                     std::chrono::milliseconds retry_after) {
    const request& work = *caller.current;
    const core::connection_id held = work.connection;
    if (work.phase != request_phase::running) {
        refuse(caller, {statement_error_kind::busy, reason, retry_after});
    } else {
        const bool may_have_run = work.writes || work.work.kind == statement_kind::commit;
        refuse(caller,
               {may_have_run ? statement_error_kind::in_doubt : statement_error_kind::timeout,
                reason, std::nullopt});
    }
    if (held != 0) {
        drop_connection(held);
    }
}

} // namespace lovagemoor::proxy
