#include <lovagemoor/proxy/lending/connection_lender.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Free connections per slot that restarted hosts find, as long as that is at most half of the
/// limit.
constexpr unsigned reserve_per_slot = 8;

loan_end end_of(target_close_reason reason) noexcept {
    switch (reason) {
    case target_close_reason::refused:
        return loan_end::target_refused;
    case target_close_reason::timed_out:
        return loan_end::target_timed_out;
    case target_close_reason::connection_limit:
        return loan_end::connection_limit;
    case target_close_reason::wrong_target:
        return loan_end::wrong_target;
    case target_close_reason::malformed:
        return loan_end::malformed;
    default:
        return loan_end::connection_closed;
    }
}

const char* to_string(loan_end reason) noexcept {
    switch (reason) {
    case loan_end::busy:
        return "busy";
    case loan_end::stopping:
        return "stopping";
    case loan_end::target_refused:
        return "target_refused";
    case loan_end::target_timed_out:
        return "target_timed_out";
    case loan_end::connection_limit:
        return "connection_limit";
    case loan_end::wrong_target:
        return "wrong_target";
    case loan_end::connection_closed:
        return "connection_closed";
    case loan_end::malformed:
        return "malformed";
    case loan_end::expired:
        return "expired";
    }
    return "connection_closed";
}

bool sets_state(command_kind kind) noexcept {
    return kind == command_kind::set_value || kind == command_kind::prepare_read ||
           kind == command_kind::prepare_write;
}

} // namespace

} // namespace internal

unsigned lending_budget(unsigned connection_limit, unsigned slots, std::size_t holders) noexcept {
    if (connection_limit == 0) {
        return std::max(1U, 2 * slots);
    }
    const unsigned reserve = internal::reserve_per_slot * slots;
    const unsigned beyond_reserve = connection_limit > reserve ? connection_limit - reserve : 0;
    const unsigned all = std::max(connection_limit / 2, beyond_reserve);
    return std::max(1U, all / static_cast<unsigned>(std::max<std::size_t>(1, holders)));
}

connection_lender::connection_lender(connection_lender_settings settings) : settings_{settings} {}

lending_action_list connection_lender::handle(core::time_point now, const lending_event& input) {
    now_ = now;
    out_.clear();
    std::visit([this](const auto& specific) { on(specific); }, input);
    return std::exchange(out_, {});
}

std::size_t connection_lender::connections_to(const core::target_id& target) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? 0 : found->second.connections.size();
}

std::size_t connection_lender::waiting() const noexcept {
    return requests_.size();
}

void connection_lender::on(const loan_requested& input) {
    if (loans_.contains(input.loan) || requests_.contains(input.loan)) {
        // Numbers are unique on a channel, so that the borrower is at fault.
        end(input.loan, loan_end::malformed);
        return;
    }
    if (stopping_) {
        end(input.loan, loan_end::stopping);
        return;
    }
    held_target& wanted = targets_[input.target];
    if (wanted.address != input.address) {
        // The target has moved. Connections to its former address are not lent again.
        wanted.address = input.address;
        wanted.open_after = {};
        const std::vector<core::connection_id> former = wanted.connections;
        for (const core::connection_id id : former) {
            if (connections_.at(id).phase == lending_phase::idle) {
                close(id);
            }
        }
    }
    wanted.service = input.service;
    wanted.connection_limit = input.connection_limit;
    wanted.slots = std::max(1U, input.slots);
    std::size_t already = 0;
    for (const auto& [key, queue] : wanted.queues) {
        already += queue.size();
    }
    if (already >= settings_.max_waiting) {
        end(input.loan, loan_end::busy);
        return;
    }
    const queue_key key{input.any_organisation,
                        input.any_organisation ? core::organisation_id{} : input.organisation};
    std::vector<waiting_loan>& queue = wanted.queues[key];
    const auto after = std::upper_bound(
        queue.begin(), queue.end(), input.priority,
        [](unsigned priority, const waiting_loan& other) { return priority < other.priority; });
    queue.insert(after, {input.loan, input.priority, now_, now_ + input.wait, {}});
    requests_[input.loan] = input.target;
    serve(input.target);
    if (requests_.contains(input.loan)) {
        out_.emplace_back(queue_loan{input.loan});
    }
}

void connection_lender::on(const loan_commands_received& input) {
    const auto lent = loans_.find(input.loan);
    if (lent != loans_.end()) {
        send(connections_.at(lent->second), input.commands);
        return;
    }
    const auto waits = requests_.find(input.loan);
    if (waits == requests_.end()) {
        // The loan has ended, and the borrower learns of it.
        return;
    }
    for (auto& [key, queue] : targets_.at(waits->second).queues) {
        for (waiting_loan& request : queue) {
            if (request.loan == input.loan) {
                request.commands.insert(request.commands.end(), input.commands.begin(),
                                        input.commands.end());
                request.commands_expire =
                    std::min<core::time_point>(request.commands_expire, now_ + input.deadline);
            }
        }
    }
}

void connection_lender::on(const loan_returned& input) {
    if (const std::optional<core::target_id> waited = remove_waiting(input.loan)) {
        serve(*waited);
        return;
    }
    const auto lent = loans_.find(input.loan);
    if (lent != loans_.end()) {
        take_back(lent->second, input.broken);
    }
}

void connection_lender::on(const borrower_lost& input) {
    std::vector<loan_id> ended;
    for (const auto& [loan, id] : requests_) {
        if (loan.borrower == input.borrower) {
            ended.push_back(loan);
        }
    }
    for (const auto& [loan, id] : loans_) {
        if (loan.borrower == input.borrower) {
            ended.push_back(loan);
        }
    }
    for (const loan_id& loan : ended) {
        on(loan_returned{loan, false});
    }
}

void connection_lender::on(const organisation_weights_changed& input) {
    weights_ = input.weights;
}

void connection_lender::on(const target_connected& input) {
    const auto found = connections_.find(input.connection);
    if (found == connections_.end()) {
        out_.emplace_back(close_target{input.connection});
        return;
    }
    connection& opened = found->second;
    const core::target_id id = opened.target;
    if (opened.address != targets_.at(id).address) {
        close(opened.id);
    } else {
        opened.phase = lending_phase::idle;
        opened.position = input.position;
        opened.since = now_;
    }
    serve(id);
}

void connection_lender::on(const target_replied& input) {
    const auto found = connections_.find(input.connection);
    if (found == connections_.end()) {
        return;
    }
    connection& answered = found->second;
    if (answered.expected.empty()) {
        const core::target_id id = answered.target;
        if (answered.phase == lending_phase::lent) {
            end(answered.loan, loan_end::malformed);
        }
        close(answered.id);
        serve(id);
        return;
    }
    const command_kind kind = answered.expected.front();
    answered.expected.pop_front();
    const bool failed = input.reply.result.error.has_value();
    answered.in_transaction = input.reply.result.state != session_state::idle;
    if (kind == command_kind::reset && !failed && !answered.in_transaction) {
        // Inside of a transaction, a rollback could bring the values back.
        answered.holds_state =
            std::any_of(answered.expected.begin(), answered.expected.end(), internal::sets_state);
    }
    if (answered.phase == lending_phase::lent) {
        out_.emplace_back(relay_reply{answered.loan, input.reply});
    } else if (answered.phase == lending_phase::rolling_back) {
        take_back(answered.id, failed || answered.in_transaction);
    }
}

void connection_lender::on(const target_disconnected& input) {
    const auto found = connections_.find(input.connection);
    if (found == connections_.end()) {
        return;
    }
    const connection lost = found->second;
    erase(lost.id);
    held_target& of = targets_.at(lost.target);
    if (lost.phase == lending_phase::lent) {
        end(lost.loan, internal::end_of(input.reason));
    } else if (lost.phase == lending_phase::opening && lost.address == of.address) {
        of.open_after = now_ + settings_.open_pause;
        if (input.reason == target_close_reason::connection_limit) {
            of.accepted = std::max<std::size_t>(1, of.connections.size());
            of.accepted_until = now_ + settings_.limit_retention;
        } else {
            end_waiting(of, internal::end_of(input.reason));
        }
        out_.emplace_back(
            core::log_event{core::log_event::level::info,
                            "lending_connect_failed",
                            {{"target", lost.target.value},
                             {"reason", internal::to_string(internal::end_of(input.reason))},
                             {"connections", std::to_string(of.connections.size())}}});
    }
    serve(lost.target);
}

void connection_lender::on(const stop_requested& /*input*/) {
    stopping_ = true;
    for (auto& [id, waited] : targets_) {
        end_waiting(waited, loan_end::stopping);
    }
}

void connection_lender::on(const timer_expired& /*input*/) {
    for (auto& [id, checked] : targets_) {
        expire(checked);
        serve(id);
    }
    std::erase_if(targets_, [this](const auto& entry) {
        return entry.second.connections.empty() && entry.second.queues.empty() &&
               now_ >= entry.second.accepted_until && now_ >= entry.second.open_after;
    });
}

void connection_lender::expire(held_target& checked) {
    std::vector<loan_id> late;
    for (const auto& [key, queue] : checked.queues) {
        for (const waiting_loan& request : queue) {
            if (now_ >= request.expires) {
                late.push_back(request.loan);
            }
        }
    }
    for (const loan_id& loan : late) {
        static_cast<void>(remove_waiting(loan));
        end(loan, loan_end::busy);
    }
    const std::vector<core::connection_id> connections = checked.connections;
    for (const core::connection_id connection_id : connections) {
        const connection& kept = connections_.at(connection_id);
        const core::duration longest = kept.phase == lending_phase::idle ? settings_.idle_timeout
                                       : kept.phase == lending_phase::rolling_back
                                           ? settings_.rollback_timeout
                                           : core::duration::max();
        if (now_ - kept.since >= longest) {
            close(connection_id);
        }
    }
}

void connection_lender::serve(const core::target_id& id) {
    const auto found = targets_.find(id);
    while (found != targets_.end() && serve_next(id, found->second)) {
    }
}

bool connection_lender::serve_next(const core::target_id& id, held_target& served) {
    for (const queue_key& key : order_of(served)) {
        std::vector<waiting_loan>& queue = served.queues.at(key);
        if (connection* const idle = find_idle(served, key)) {
            waiting_loan next = std::move(queue.front());
            queue.erase(queue.begin());
            if (queue.empty()) {
                served.queues.erase(key);
            }
            requests_.erase(next.loan);
            grant(*idle, std::move(next));
            return true;
        }
        if (open_for(id, served, key)) {
            return true;
        }
    }
    return false;
}

std::vector<connection_lender::queue_key>
connection_lender::order_of(const held_target& served) const {
    struct ranked {
        double load = 0;
        unsigned priority = 0;
        core::time_point arrived;
        queue_key key;
    };

    std::vector<ranked> queues;
    queues.reserve(served.queues.size());
    for (const auto& [key, queue] : served.queues) {
        // Requests that any connection can serve only take moments.
        queues.push_back({key.first ? 0 : load_of(served, key.second), queue.front().priority,
                          queue.front().arrived, key});
    }
    std::stable_sort(queues.begin(), queues.end(), [](const ranked& left, const ranked& right) {
        if (left.load != right.load) {
            return left.load < right.load;
        }
        return left.priority != right.priority ? left.priority < right.priority
                                               : left.arrived < right.arrived;
    });
    std::vector<queue_key> order;
    order.reserve(queues.size());
    for (ranked& entry : queues) {
        order.push_back(std::move(entry.key));
    }
    return order;
}

double connection_lender::load_of(const held_target& served,
                                  const core::organisation_id& organisation,
                                  unsigned additional) const {
    const auto used = std::count_if(
        served.connections.begin(), served.connections.end(), [&](core::connection_id id) {
            const connection& counted = connections_.at(id);
            return counted.phase != lending_phase::idle && counted.organisation == organisation;
        });
    const auto weight = weights_.find(organisation);
    const double share = weight == weights_.end() || weight->second <= 0 ? 1 : weight->second;
    return (static_cast<double>(used) + additional) / share;
}

connection_lender::connection* connection_lender::find_idle(const held_target& served,
                                                            const queue_key& key) {
    connection* best = nullptr;
    for (const core::connection_id id : served.connections) {
        connection& candidate = connections_.at(id);
        if (candidate.phase != lending_phase::idle ||
            (!key.first && candidate.organisation != key.second)) {
            continue;
        }
        // The most recently used one, so that others become idle for long enough to be closed.
        if (best == nullptr || candidate.since >= best->since) {
            best = &candidate;
        }
    }
    return best;
}

std::size_t connection_lender::count(const held_target& served, lending_phase counted) const {
    return static_cast<std::size_t>(std::count_if(
        served.connections.begin(), served.connections.end(),
        [&](core::connection_id id) { return connections_.at(id).phase == counted; }));
}

bool connection_lender::open_for(const core::target_id& id, held_target& served,
                                 const queue_key& key) {
    const auto opening_for = static_cast<std::size_t>(std::count_if(
        served.connections.begin(), served.connections.end(), [&](core::connection_id opened) {
            const connection& counted = connections_.at(opened);
            return counted.phase == lending_phase::opening && counted.organisation == key.second;
        }));
    if (now_ < served.open_after || opening_for >= served.queues.at(key).size() ||
        count(served, lending_phase::opening) >= std::max(1U, served.slots / 2)) {
        return false;
    }
    std::size_t budget = lending_budget(served.connection_limit, served.slots);
    if (now_ < served.accepted_until) {
        budget = std::min(budget, served.accepted);
    }
    if (served.connections.size() >= budget) {
        const connection* const replaced = replaceable(served, key);
        if (replaced == nullptr) {
            return false;
        }
        close(replaced->id);
    }
    const core::connection_id opened = ids_.next() | id_flag;
    connection& added = connections_[opened];
    added.id = opened;
    added.target = id;
    added.organisation = key.second;
    added.address = served.address;
    added.since = now_;
    served.connections.push_back(opened);
    open_target request;
    request.connection = opened;
    request.target = id;
    request.service = served.service;
    request.organisation = key.second;
    request.address = served.address;
    request.connect_timeout = settings_.connect_timeout;
    request.greeting_timeout = settings_.greeting_timeout;
    out_.emplace_back(std::move(request));
    out_.emplace_back(core::count_metric{"lovagemoor_lending_connects_total", {}});
    return true;
}

const connection_lender::connection* connection_lender::replaceable(const held_target& served,
                                                                    const queue_key& key) const {
    const connection* oldest = nullptr;
    for (const core::connection_id id : served.connections) {
        const connection& candidate = connections_.at(id);
        if (candidate.phase != lending_phase::idle || candidate.organisation == key.second) {
            continue;
        }
        const auto own_queue = served.queues.find({false, candidate.organisation});
        if (own_queue != served.queues.end()) {
            // Its own organisation would use it. It gives way if the other organisation still has
            // no larger share then, or has none at all and came first. Otherwise two organisations
            // of the same load would replace each other's connections with each statement.
            const double load = load_of(served, key.second);
            const bool smaller =
                load_of(served, key.second, 1) <= load_of(served, candidate.organisation);
            const bool first = load == 0 && served.queues.at(key).front().arrived <
                                                own_queue->second.front().arrived;
            if (!smaller && !first) {
                continue;
            }
        }
        if (oldest == nullptr || candidate.since < oldest->since) {
            oldest = &candidate;
        }
    }
    return oldest;
}

void connection_lender::grant(connection& lent, waiting_loan request) {
    const bool expired = !request.commands.empty() && now_ >= request.commands_expire;
    if (expired) {
        end(request.loan, loan_end::expired);
        return;
    }
    lent.phase = lending_phase::lent;
    lent.loan = request.loan;
    lent.since = now_;
    loans_[request.loan] = lent.id;
    const bool fresh = !lent.used;
    out_.emplace_back(grant_loan{request.loan,
                                 fresh ? lent.position : std::optional<replication_position>{},
                                 fresh, !lent.holds_state});
    out_.emplace_back(
        core::observe_duration{"lovagemoor_lending_wait_seconds", {}, now_ - request.arrived});
    if (!request.commands.empty()) {
        send(lent, std::move(request.commands));
    }
}

void connection_lender::send(connection& lent, std::vector<target_command> commands) {
    for (const target_command& command : commands) {
        lent.expected.push_back(command.kind);
        lent.holds_state = lent.holds_state || internal::sets_state(command.kind);
    }
    lent.used = true;
    out_.emplace_back(send_commands{lent.id, std::move(commands)});
}

void connection_lender::take_back(core::connection_id id, bool broken) {
    connection& returned = connections_.at(id);
    const core::target_id of = returned.target;
    loans_.erase(returned.loan);
    returned.since = now_;
    if (broken || !returned.expected.empty() || returned.address != targets_.at(of).address) {
        // The target rolls back when the connection ends.
        close(id);
    } else if (returned.in_transaction) {
        returned.phase = lending_phase::rolling_back;
        send(returned, {target_command{command_kind::rollback, {}, {}, {}, std::nullopt, 0}});
    } else {
        returned.phase = lending_phase::idle;
    }
    serve(of);
}

void connection_lender::close(core::connection_id id) {
    out_.emplace_back(close_target{id});
    erase(id);
}

void connection_lender::erase(core::connection_id id) {
    const auto found = connections_.find(id);
    if (found->second.phase == lending_phase::lent) {
        loans_.erase(found->second.loan);
    }
    std::erase(targets_.at(found->second.target).connections, id);
    connections_.erase(found);
}

void connection_lender::end(const loan_id& loan, loan_end reason) {
    out_.emplace_back(end_loan{loan, reason});
    out_.emplace_back(core::count_metric{"lovagemoor_lending_refusals_total",
                                         {{"reason", internal::to_string(reason)}}});
}

void connection_lender::end_waiting(held_target& ended, loan_end reason) {
    for (const auto& [key, queue] : std::exchange(ended.queues, {})) {
        for (const waiting_loan& request : queue) {
            requests_.erase(request.loan);
            end(request.loan, reason);
        }
    }
}

std::optional<core::target_id> connection_lender::remove_waiting(const loan_id& loan) {
    const auto found = requests_.find(loan);
    if (found == requests_.end()) {
        return std::nullopt;
    }
    const core::target_id id = found->second;
    requests_.erase(found);
    held_target& waited = targets_.at(id);
    for (auto queue = waited.queues.begin(); queue != waited.queues.end();) {
        std::erase_if(queue->second,
                      [&](const waiting_loan& request) { return request.loan == loan; });
        queue = queue->second.empty() ? waited.queues.erase(queue) : std::next(queue);
    }
    return id;
}

} // namespace lovagemoor::proxy
