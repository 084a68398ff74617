#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Number of hosts that are considered for a target: the holders, and those that replace them while
/// they are avoided.
constexpr std::size_t ranked_hosts_kept = 4;

} // namespace

} // namespace internal

bool session_engine::through_holders(const target_state& target) const {
    const bool organisations = configuration_.has_value() && !configuration_->organisations.empty();
    return uses_holders(
        {link_peers_.size(), organisations, limit_of(target).connections, hosts_.size()});
}

const std::vector<core::host_id>&
session_engine::holders_of(const target_state& target, const core::organisation_id& organisation) {
    const auto [known, is_new] = ranked_holders_.try_emplace({target.record.id, organisation});
    if (is_new) {
        const auto region = settings_.domain_regions.find(target.record.domain);
        known->second =
            rank_holders({target.record.id, target.record.domain,
                          region == settings_.domain_regions.end() ? std::string{} : region->second,
                          organisation, settings_.host},
                         link_peers_);
        known->second.resize(std::min(known->second.size(), internal::ranked_hosts_kept));
    }
    return known->second;
}

std::optional<core::host_id> session_engine::next_holder(const target_state& target,
                                                         const core::organisation_id& organisation,
                                                         unsigned failed) {
    if (!target.through_holders || failed >= settings_.max_failed_loans) {
        return std::nullopt;
    }
    unsigned without_target = 0;
    for (const core::host_id& holder : holders_of(target, organisation)) {
        if (avoided_holders_.avoided(now_, holder)) {
            continue;
        }
        if (!avoided_holders_.avoided(now_, holder, target.record.id)) {
            return holder;
        }
        if (++without_target >= settings_.max_failed_loans) {
            break;
        }
    }
    return std::nullopt;
}

core::connection_id session_engine::borrow_connection(target_state& target,
                                                      const core::host_id& holder,
                                                      const loan_terms& terms) {
    const core::connection_id id = ids_.next();
    target_connection& borrowed = pool_.borrow(target, id, terms.organisation, holder, now_);
    if (terms.any_organisation) {
        borrowed.any_organisation = true;
        ++target.checking;
    }
    borrowed.lent_by = now_ + terms.wait + settings_.holder_answer_timeout;
    open_target request;
    request.connection = id;
    request.target = target.record.id;
    request.service = target.record.service;
    request.organisation = terms.organisation;
    request.address = target.record.address;
    request.connect_timeout = settings_.connect_timeout;
    request.greeting_timeout = settings_.greeting_timeout;
    request.holder = holder;
    request.any_organisation = terms.any_organisation;
    request.connection_limit = limit_of(target).connections;
    request.slots = target.record.slots;
    request.wait = terms.wait;
    request.priority = terms.priority;
    out_.emplace_back(std::move(request));
    return id;
}

core::connection_id session_engine::open_or_borrow(const session& caller, target_state& target) {
    const request& work = *caller.current;
    const std::optional<core::host_id> holder =
        next_holder(target, work.organisation, work.failed_loans);
    if (!holder.has_value()) {
        return open_connection(target, work.organisation);
    }
    if (now_ < target.borrow_after) {
        return 0;
    }
    const std::chrono::milliseconds wait =
        std::min(settings_.loan_wait,
                 std::chrono::duration_cast<std::chrono::milliseconds>(work.deadline - now_));
    return borrow_connection(target, *holder, {work.organisation, false, wait, work.via->priority});
}

void session_engine::open_check_connection(target_state& target) {
    const std::optional<core::host_id> holder = next_holder(target, {}, target.failed_check_loans);
    if (holder.has_value()) {
        if (now_ >= target.borrow_after) {
            borrow_connection(target, *holder, {{}, true, settings_.probe_timeout, 0});
        }
        return;
    }
    target.failed_check_loans = 0;
    open_connection(target);
}

bool session_engine::loan_pending(const session& caller, const target_state& target) {
    const request& work = *caller.current;
    const target_connection* const pending = pool_.find(work.opened);
    if (pending == nullptr || pending->phase != connection_phase::opening) {
        return false;
    }
    if (pending->target == target.record.id) {
        return true;
    }
    // The choice between replicas changes from event to event, and each change would leave a
    // further request in the queue of a holder.
    return pending->holder.has_value() && !work.check_leadership &&
           std::find(work.avoided.begin(), work.avoided.end(), pending->target) ==
               work.avoided.end();
}

void session_engine::cancel_loan(const request& work) {
    const target_connection* const pending = pool_.find(work.opened);
    if (pending != nullptr && pending->holder.has_value() &&
        pending->phase == connection_phase::opening) {
        out_.emplace_back(close_target{pending->id});
        pool_.erase(pending->id);
    }
}

void session_engine::on(const loan_queued& input) {
    target_connection* const waiting = pool_.find(input.connection);
    if (waiting != nullptr && waiting->holder.has_value()) {
        waiting->queued = true;
        avoided_holders_.on_answered(now_, *waiting->holder);
    }
}

void session_engine::on_lent(target_connection& lent, bool clean) {
    const core::connection_id id = lent.id;
    const core::target_id target_name = lent.target;
    avoided_holders_.on_answered(now_, *lent.holder);
    // A statement must neither see the values of another session nor run under its names. The
    // connection is reset before its first statement.
    lent.values_known = clean;
    pool_.on_opened(lent, now_);
    target_state* const target = pool_.find(target_name);
    if (lent.any_organisation) {
        send_pending_inspections();
        const target_connection* const unused = pool_.find(id);
        if (target != nullptr && unused != nullptr && unused->phase == connection_phase::idle) {
            probe(*target);
        }
    } else if (target != nullptr) {
        dispatch_waiting(core::service_id{target->record.service});
    }
    return_if_idle(id);
}

void session_engine::return_if_idle(core::connection_id id) {
    const target_connection* const connection = pool_.find(id);
    if (connection != nullptr && connection->holder.has_value() &&
        connection->phase == connection_phase::idle) {
        out_.emplace_back(return_target{id});
        pool_.erase(id);
    }
}

bool session_engine::is_distant(const core::host_id& host) const {
    return std::any_of(link_peers_.begin(), link_peers_.end(), [&](const link_peer& peer) {
        return peer.host == host && peer.domain != settings_.domain;
    });
}

void session_engine::recheck_failed_targets(const core::service_id& id) {
    for (target_state* const target : pool_.of_service(id)) {
        if (target->through_holders && target->failing_since.has_value() &&
            !target->removed_at.has_value() && target->checking == 0 &&
            now_ >= target->recheck_after) {
            target->recheck_after = now_ + settings_.recheck_interval;
            probe(*target);
        }
    }
}

void session_engine::on_loan_lost(const target_connection& lost, target_close_reason reason) {
    const bool was_open = lost.phase != connection_phase::opening;
    const bool holder_failed = caused_by_holder(reason);
    const bool busy = reason == target_close_reason::holder_busy;
    // Under overload, requests are refused with each statement.
    log(busy ? core::log_event::level::debug : core::log_event::level::info, "loan_lost",
        {{"target", lost.target.value},
         {"holder", lost.holder->value},
         {"reason", to_string(reason)},
         {"was_open", was_open ? "true" : "false"}});
    count("lovagemoor_loans_lost_total", {{"reason", to_string(reason)}});
    target_state* const target = pool_.find(lost.target);
    if (busy && target != nullptr) {
        target->borrow_after = now_ + settings_.loan_retry_pause;
    }
    if (!holder_failed || busy) {
        avoided_holders_.on_answered(now_, *lost.holder);
    } else {
        avoided_holders_.on_failed(now_, *lost.holder);
    }
    if (!holder_failed && !was_open) {
        avoided_holders_.on_target_failed(now_, *lost.holder, lost.target);
        if (target != nullptr && is_distant(*lost.holder)) {
            target->lost_at_holder = now_;
        }
    }
    if (!was_open && !busy) {
        for (auto& [id, caller] : sessions_) {
            if (caller.current.has_value() && caller.current->opened == lost.id) {
                ++caller.current->failed_loans;
            }
        }
    }
    on_connection_lost(lost, was_open, !holder_failed);
    if (lost.any_organisation && !busy) {
        repeat_check(lost);
    }
}

void session_engine::repeat_check(const target_connection& lost) {
    target_state* const target = pool_.find(lost.target);
    if (target != nullptr && target->through_holders) {
        ++target->failed_check_loans;
        open_check_connection(*target);
    }
}

void session_engine::give_up_slow_holders() {
    std::vector<core::connection_id> late;
    for (const auto& [id, connection] : pool_.connections()) {
        if (connection.holder.has_value() && connection.phase == connection_phase::opening &&
            (now_ >= connection.lent_by ||
             (!connection.queued &&
              now_ - connection.requested >= settings_.holder_answer_timeout))) {
            late.push_back(id);
        }
    }
    for (const core::connection_id id : late) {
        const target_connection* const found = pool_.find(id);
        if (found != nullptr) {
            const target_connection lost = *found;
            pool_.erase(id);
            out_.emplace_back(close_target{id});
            on_loan_lost(lost, target_close_reason::holder_lost);
        }
    }
    avoided_holders_.expire(now_);
}

} // namespace lovagemoor::proxy
