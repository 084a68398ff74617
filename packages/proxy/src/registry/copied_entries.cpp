#include <lovagemoor/proxy/registry/copied_entries.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

copied_entry_use judge_copied_entry(const target_record& listed, const target_knowledge& known) {
    if (known.address_reused) {
        return {std::nullopt, true};
    }
    const bool new_process =
        !known.record.has_value() || listed.started_ms > known.record->started_ms;
    if (new_process) {
        target_record used = listed;
        // The claim of a target that the host does not know does not replace a proven primary.
        used.claims_primary = listed.claims_primary && !known.other_primary_confirmed;
        return {used, used != listed};
    }
    if (listed.started_ms < known.record->started_ms) {
        // The entry of a former process is never current.
        return {std::nullopt, false};
    }
    if (known.left) {
        return {std::nullopt, true};
    }
    target_record used = *known.record;
    used.draining = used.draining || listed.draining;
    target_record expected = listed;
    expected.draining = used.draining;
    return {used, used != expected};
}

void copied_entries::on_restored() {
    restored_ = true;
    settled_at_.reset();
    first_list_.clear();
    held_.clear();
}

std::vector<core::target_id> copied_entries::on_listed(core::time_point now,
                                                       const std::vector<target_record>& list) {
    std::map<core::target_id, target_record> listed;
    for (const target_record& record : list) {
        listed[record.id] = record;
    }
    std::erase_if(held_, [&](const auto& entry) {
        const auto found = listed.find(entry.first);
        return found == listed.end() || found->second != entry.second.record;
    });
    if (restored_) {
        restored_ = false;
        settled_at_ = now + settle_time;
        first_list_ = listed;
    }
    std::vector<core::target_id> copied;
    if (!settled_at_.has_value() || now >= *settled_at_) {
        return copied;
    }
    for (const auto& [id, record] : listed) {
        const auto first = first_list_.find(id);
        if (first != first_list_.end() && first->second == record) {
            copied.push_back(id);
        }
    }
    return copied;
}

void copied_entries::hold(core::time_point now, const target_record& record) {
    held_.try_emplace(record.id, held_entry{record, settled_at_.value_or(now)});
}

void copied_entries::on_changed(const core::target_id& target) {
    held_.erase(target);
    first_list_.erase(target);
}

std::vector<target_record> copied_entries::due(core::time_point now) {
    std::vector<target_record> records;
    for (auto entry = held_.begin(); entry != held_.end();) {
        if (now >= entry->second.until) {
            records.push_back(entry->second.record);
            entry = held_.erase(entry);
        } else {
            ++entry;
        }
    }
    return records;
}

} // namespace lovagemoor::proxy
