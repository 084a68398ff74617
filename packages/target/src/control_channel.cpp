#include "control_channel.hpp"

#include <algorithm>
#include <utility>

namespace lovagemoor::target::internal {

control_channel::control_channel(const target_settings& settings, core::target_record target,
                                 const std::function<void(core::event)>& sink)
    : settings_(settings), target_(std::move(target)), sink_(sink) {}

void control_channel::add(const core::call_control& call, time_point now) {
    if (call.target.address != target_.address || call.target.port != target_.port) {
        fail_all_calls(false);
        target_ = call.target;
    }
    calls_.push_back({call, now + call.timeout});
    last_used_ = now;
    if (!connection_) {
        open(now);
    } else if (is_open_) {
        send_next_call();
    }
}

void control_channel::open(time_point now) {
    opened_at_ = now;
    connection_.emplace(settings_, target_.address, target_.port);
    if (connection_->socket() < 0) {
        fail_all_calls(false);
    }
}

void control_channel::close() {
    connection_.reset();
    is_open_ = false;
    is_first_call_sent_ = false;
    result_.reset();
}

void control_channel::handle_ready(time_point now) {
    if (!is_open_) {
        continue_opening();
        return;
    }
    const bool is_connected = connection_->transfer();
    read_results(now);
    if (connection_ && !is_connected) {
        // Only the call that was sent fails. The queued calls use a new connection.
        if (is_first_call_sent_) {
            finish_first_call(core::control_unreachable{false});
        }
        close();
        if (!calls_.empty()) {
            open(now);
        }
    }
}

void control_channel::continue_opening() {
    switch (connection_->continue_opening()) {
    case open_progress::in_progress:
        break;
    case open_progress::open:
        is_open_ = true;
        send_next_call();
        break;
    case open_progress::failed:
        fail_all_calls(connection_->refused_for_capacity());
        break;
    }
}

void control_channel::send_next_call() {
    if (is_first_call_sent_ || calls_.empty()) {
        return;
    }
    const core::statement statement = control_statement(calls_.front().call.request);
    is_first_call_sent_ = true;
    if (!connection_->send(statement.sql, statement.parameters) || !connection_->send_sync()) {
        fail_all_calls(false);
    }
}

void control_channel::read_results(time_point now) {
    // libpq ends the results of each statement with a null pointer. A second one in a row means
    // that there are no more results, for example on a broken connection.
    bool after_null = false;
    while (connection_ && is_first_call_sent_ && !connection_->is_busy()) {
        const result_pointer result = connection_->next_result();
        if (!result && after_null) {
            return;
        }
        after_null = !result;
        if (!result) {
            continue;
        }
        if (PQresultStatus(result.get()) != PGRES_PIPELINE_SYNC) {
            handle_result(result.get());
            continue;
        }
        is_first_call_sent_ = false;
        last_used_ = now;
        finish_first_call(result_.value_or(core::control_unreachable{false}));
        result_.reset();
        send_next_call();
    }
}

void control_channel::handle_result(const PGresult* result) {
    if (PQresultStatus(result) == PGRES_TUPLES_OK) {
        result_ = parse_reply(calls_.front().call.request, result);
    } else if (is_fatal(result)) {
        fail_all_calls(false);
    } else {
        result_ = core::control_error{sqlstate_of(result)};
    }
}

void control_channel::finish_first_call(core::control_result result) {
    const core::call_control call = std::move(calls_.front().call);
    calls_.pop_front();
    sink_(core::control_finished{call.call, call.target.id, std::move(result)});
}

void control_channel::fail_all_calls(bool capacity) {
    close();
    while (!calls_.empty()) {
        finish_first_call(core::control_unreachable{capacity});
    }
}

void control_channel::expire(time_point now) {
    const bool first_expired = !calls_.empty() && calls_.front().deadline <= now;
    const bool is_idle = calls_.empty() && last_used_ + settings_.control_idle_timeout <= now;
    if (is_idle) {
        close();
        return;
    }
    if (first_expired) {
        finish_first_call(core::control_unreachable{false});
        close();
    }
    for (std::size_t index = calls_.size(); index > 0; --index) {
        queued_call queued = std::move(calls_.front());
        calls_.pop_front();
        if (queued.deadline > now) {
            calls_.push_back(std::move(queued));
        } else {
            sink_(core::control_finished{queued.call.call, queued.call.target.id,
                                         core::control_unreachable{false}});
        }
    }
    if (!connection_ && !calls_.empty()) {
        open(now);
    }
}

time_point control_channel::next_expiry() const {
    if (calls_.empty()) {
        return connection_ ? last_used_ + settings_.control_idle_timeout : time_point::max();
    }
    time_point next = time_point::max();
    for (const queued_call& queued : calls_) {
        next = std::min(next, queued.deadline);
    }
    return next;
}

} // namespace lovagemoor::target::internal
