#include "group_member.hpp"

#include "sql_error.hpp"

#include <algorithm>
#include <utility>

namespace lovagemoor::standin_target {

namespace {

constexpr std::chrono::milliseconds announcement_interval{50};
/// A fetch from a replica that has the whole log is answered after this time even if nothing was
/// written, so that the replica's age stays low.
constexpr std::chrono::milliseconds max_fetch_wait{10};
constexpr std::chrono::milliseconds fetch_timeout{200};
constexpr log_position max_entries_per_reply = 1000;
/// Age reported by a member that does not know when it was last up to date.
constexpr std::chrono::milliseconds unknown_age{1'000'000'000};

std::chrono::milliseconds to_ms(time_point::duration value) {
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

} // namespace

group_member::group_member(std::string id, bool begins_as_primary, time_point now,
                           send_function send, std::function<void()> on_change)
    : id_(std::move(id)),
      send_(std::move(send)),
      on_change_(std::move(on_change)),
      primary_contact_at_(now),
      next_announcement_(now) {
    if (begins_as_primary) {
        open_term(1, now);
    }
}

void group_member::set_members(const std::vector<std::string>& members) {
    members_ = members;
    std::erase(members_, id_);
}

bool group_member::is_primary() const noexcept {
    return primary_id_ == id_ && primary_term_ == promised_term_;
}

bool group_member::is_following() const noexcept {
    return !primary_id_.empty() && primary_id_ != id_ && primary_term_ >= promised_term_;
}

std::chrono::milliseconds group_member::age(time_point now) const {
    if (is_primary()) {
        return std::chrono::milliseconds{0};
    }
    return current_as_of_ ? to_ms(now - *current_as_of_) : unknown_age;
}

member_status group_member::status(time_point now) const {
    member_status result;
    result.promised_term = promised_term_;
    result.last_term = log_.last_term();
    result.position = log_.end();
    result.is_primary = is_primary();
    result.age = age(now);
    result.primary_silence =
        is_primary() ? std::chrono::milliseconds{0} : to_ms(now - primary_contact_at_);
    return result;
}

void group_member::fence(term_number term) {
    if (term < promised_term_) {
        throw sql_error("DG001", "term superseded");
    }
    promised_term_ = term;
    on_change_();
}

log_position group_member::promote(term_number term, time_point now) {
    if (term == primary_term_ && is_primary()) {
        return log_.start_of_first_term_above(term - 1);
    }
    if (term < promised_term_ || term <= primary_term_ || term <= log_.last_term()) {
        throw sql_error("DG001", "term superseded");
    }
    open_term(term, now);
    on_change_();
    return log_.end();
}

void group_member::open_term(term_number term, time_point now) {
    promised_term_ = term;
    primary_term_ = term;
    primary_id_ = id_;
    received_batches_.clear();
    sent_fetch_.reset();
    current_as_of_.reset();
    v1::LogEntry opening;
    opening.set_term(term);
    log_.append(std::move(opening));
    announce(now);
}

void group_member::check_position(term_number term, log_position position,
                                  std::chrono::milliseconds max_age, time_point now) const {
    if (term > log_.last_term() || (term == log_.last_term() && position > log_.end())) {
        throw sql_error("DG002", "behind the requested position");
    }
    // The opening entry of a later term replaces the earlier term's entry at the same position, so
    // the start position of the later term itself is not part of the earlier term either.
    const log_position next_start = log_.start_of_first_term_above(term);
    if (next_start != 0 && position >= next_start) {
        throw sql_error("DG003", "the requested position is not in this log");
    }
    if (max_age.count() >= 0 && age(now) > max_age) {
        throw sql_error("DG004", "data too old");
    }
}

bool group_member::attest_result_is_known(term_number term, log_position position) const {
    const bool superseded = promised_term_ > term || log_.last_term() > term;
    return superseded || (log_.last_term() == term && log_.end() >= position);
}

void group_member::commit(const std::vector<v1::Change>& changes) {
    if (!is_primary()) {
        throw sql_error("25006", "cannot execute in a read-only transaction");
    }
    v1::LogEntry entry;
    entry.set_term(primary_term_);
    for (const v1::Change& change : changes) {
        *entry.add_changes() = change;
    }
    log_.append(std::move(entry));
    std::erase_if(pending_fetches_, [this](const auto& item) {
        return answer_fetch(item.first, item.second.request, false);
    });
    on_change_();
}

void group_member::receive(const v1::ReplicationMessage& message, time_point now) {
    switch (message.kind_case()) {
    case v1::ReplicationMessage::kAnnouncement:
        receive_announcement(message.from(), message.announcement().term(), now);
        break;
    case v1::ReplicationMessage::kFetchRequest:
        receive_fetch(message.from(), message.fetch_request(), now);
        break;
    case v1::ReplicationMessage::kFetchReply:
        receive_reply(message.from(), message.fetch_reply(), now);
        break;
    case v1::ReplicationMessage::KIND_NOT_SET:
        break;
    }
}

void group_member::receive_announcement(const std::string& from, term_number term, time_point now) {
    if (term < promised_term_ || term < primary_term_ ||
        (term == primary_term_ && from != primary_id_)) {
        return;
    }
    primary_contact_at_ = now;
    if (term == primary_term_) {
        return;
    }
    promised_term_ = term;
    primary_term_ = term;
    primary_id_ = from;
    pending_fetches_.clear();
    received_batches_.clear();
    sent_fetch_.reset();
    received_position_ = log_.end();
    received_term_ = log_.last_term();
    on_change_();
}

void group_member::receive_fetch(const std::string& from, const v1::FetchRequest& request,
                                 time_point now) {
    if (!is_primary() || request.term() != primary_term_) {
        return;
    }
    if (answer_fetch(from, request, false)) {
        pending_fetches_.erase(from);
    } else {
        pending_fetches_[from] = {request, now + max_fetch_wait};
    }
}

bool group_member::answer_fetch(const std::string& to, const v1::FetchRequest& request,
                                bool even_if_empty) const {
    v1::ReplicationMessage message;
    v1::FetchReply& reply = *message.mutable_fetch_reply();
    reply.set_term(primary_term_);
    reply.set_sequence(request.sequence());
    const bool known =
        request.position() <= log_.end() && log_.term_at(request.position()) == request.last_term();
    if (!known) {
        reply.set_diverged(true);
        reply.set_branch_term(log_.latest_term_up_to(request.last_term()));
        reply.set_branch_end(log_.end_of_term(reply.branch_term()));
        send(to, std::move(message));
        return true;
    }
    if (request.position() == log_.end() && !even_if_empty) {
        return false;
    }
    const log_position last = std::min(log_.end(), request.position() + max_entries_per_reply);
    for (log_position position = request.position() + 1; position <= last; ++position) {
        *reply.add_entries() = log_.entry_at(position);
    }
    reply.set_complete(last == log_.end());
    send(to, std::move(message));
    return true;
}

void group_member::receive_reply(const std::string& from, const v1::FetchReply& reply,
                                 time_point now) {
    if (!is_following() || from != primary_id_ || reply.term() != primary_term_) {
        return;
    }
    primary_contact_at_ = now;
    if (!sent_fetch_ || sent_fetch_->sequence != reply.sequence()) {
        return;
    }
    const time_point requested_at = sent_fetch_->requested_at;
    sent_fetch_.reset();
    if (reply.diverged()) {
        truncate_diverged(reply);
        return;
    }
    if (!reply.entries().empty()) {
        received_position_ += static_cast<log_position>(reply.entries_size());
        received_term_ = reply.entries().rbegin()->term();
    }
    time_point due = now + lag_;
    if (!received_batches_.empty()) {
        due = std::max(due, received_batches_.back().due);
    }
    received_batches_.push_back({reply, requested_at, due});
}

void group_member::truncate_diverged(const v1::FetchReply& reply) {
    received_batches_.clear();
    log_position new_end = std::min(reply.branch_end(), log_.end_of_term(reply.branch_term()));
    // A member that restarted with an empty log may have reused a term. Removing one entry in that
    // case makes sure that the comparison of the logs ends.
    if (new_end >= log_.end() && new_end > 0) {
        new_end = log_.end() - 1;
    }
    log_.truncate(new_end);
    received_position_ = log_.end();
    received_term_ = log_.last_term();
    current_as_of_.reset();
    on_change_();
}

void group_member::apply_received(time_point now) {
    bool applied = false;
    while (!received_batches_.empty() && received_batches_.front().due <= now) {
        const received_batch& batch = received_batches_.front();
        for (const v1::LogEntry& entry : batch.reply.entries()) {
            log_.append(entry);
            applied = true;
        }
        if (batch.reply.complete()) {
            current_as_of_ = batch.requested_at;
        }
        received_batches_.pop_front();
    }
    if (applied) {
        on_change_();
    }
}

void group_member::send_fetch(time_point now) {
    sent_fetch_ = sent_fetch{next_sequence_++, now};
    v1::ReplicationMessage message;
    v1::FetchRequest& request = *message.mutable_fetch_request();
    request.set_term(primary_term_);
    request.set_sequence(sent_fetch_->sequence);
    request.set_last_term(received_term_);
    request.set_position(received_position_);
    send(primary_id_, std::move(message));
}

void group_member::announce(time_point now) {
    v1::ReplicationMessage message;
    message.mutable_announcement()->set_term(primary_term_);
    for (const std::string& member : members_) {
        send(member, message);
    }
    next_announcement_ = now + announcement_interval;
}

void group_member::answer_expired_fetches(time_point now) {
    std::erase_if(pending_fetches_, [this, now](const auto& item) {
        return item.second.deadline <= now && answer_fetch(item.first, item.second.request, true);
    });
}

time_point group_member::tick(time_point now) {
    time_point next = time_point::max();
    if (is_primary()) {
        if (next_announcement_ <= now) {
            announce(now);
        }
        answer_expired_fetches(now);
        next = next_announcement_;
        for (const auto& [member, pending] : pending_fetches_) {
            next = std::min(next, pending.deadline);
        }
    } else if (is_following()) {
        apply_received(now);
        if (!sent_fetch_ || sent_fetch_->requested_at + fetch_timeout <= now) {
            send_fetch(now);
        }
        next = sent_fetch_->requested_at + fetch_timeout;
        if (!received_batches_.empty()) {
            next = std::min(next, received_batches_.front().due);
        }
    }
    return next;
}

void group_member::send(const std::string& to, v1::ReplicationMessage message) const {
    message.set_from(id_);
    send_(to, message);
}

} // namespace lovagemoor::standin_target
