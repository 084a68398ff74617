#include "replicated_log.hpp"

#include <utility>

namespace lovagemoor::standin_target {

void table_set::apply(const v1::Change& change) {
    switch (change.kind_case()) {
    case v1::Change::kPutOrder:
        orders[change.put_order().id()] = change.put_order();
        break;
    case v1::Change::kPutRequest:
        requests[change.put_request().key()] = change.put_request();
        break;
    case v1::Change::kDeleteRequest:
        requests.erase(change.delete_request());
        break;
    case v1::Change::KIND_NOT_SET:
        break;
    }
}

term_number replicated_log::term_at(log_position position) const noexcept {
    return position == 0 || position > end() ? 0 : entries_[position - 1].term();
}

const v1::LogEntry& replicated_log::entry_at(log_position position) const {
    return entries_.at(position - 1);
}

log_position replicated_log::start_of_first_term_above(term_number term) const noexcept {
    for (const term_start& item : term_starts_) {
        if (item.term > term) {
            return item.start;
        }
    }
    return 0;
}

term_number replicated_log::latest_term_up_to(term_number term) const noexcept {
    term_number latest = 0;
    for (const term_start& item : term_starts_) {
        if (item.term <= term) {
            latest = item.term;
        }
    }
    return latest;
}

log_position replicated_log::end_of_term(term_number term) const noexcept {
    const log_position next = start_of_first_term_above(term);
    return next == 0 ? end() : next - 1;
}

void replicated_log::append(v1::LogEntry entry) {
    for (const v1::Change& change : entry.changes()) {
        tables_.apply(change);
    }
    if (term_starts_.empty() || term_starts_.back().term != entry.term()) {
        term_starts_.push_back({entry.term(), end() + 1});
    }
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate(log_position position) {
    if (position >= end()) {
        return;
    }
    std::vector<v1::LogEntry> remaining = std::move(entries_);
    remaining.resize(position);
    entries_.clear();
    term_starts_.clear();
    tables_ = {};
    for (v1::LogEntry& entry : remaining) {
        append(std::move(entry));
    }
}

} // namespace lovagemoor::standin_target
