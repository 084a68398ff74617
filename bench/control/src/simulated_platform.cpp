#include "simulated_platform.hpp"

#include <lovagemoor/core/cluster_view.hpp>

#include <utility>

namespace lovagemoor::bench {

core::platform_record simulated_platform::put(core::platform_record record) {
    record.revision = ++revision_;
    records_[core::record_key(record)] = record;
    changes_.push_back(record);
    return record;
}

core::platform_result simulated_platform::perform(std::size_t host,
                                                  const core::platform_call& call) {
    if (std::holds_alternative<core::read_configuration>(call)) {
        ++load_.reads;
        return read(core::configuration_key);
    }
    if (const core::read_term* term = std::get_if<core::read_term>(&call)) {
        ++load_.reads;
        return read(core::terms_prefix + term->group.value);
    }
    if (std::holds_alternative<core::read_view>(call)) {
        ++load_.reads;
        load_.records_read += records_.size();
        core::platform_view view;
        for (const auto& [key, record] : records_) {
            view.records.push_back(record);
        }
        return view;
    }
    if (const core::set_watch* watch = std::get_if<core::set_watch>(&call)) {
        if (watch->enabled) {
            watchers_.insert(host);
        } else {
            watchers_.erase(host);
        }
        return core::platform_ok{};
    }
    ++load_.writes;
    if (const auto* swapped = std::get_if<core::swap_configuration>(&call)) {
        return swap(swapped->expected_revision, {0, swapped->value});
    }
    if (const core::swap_term* swapped = std::get_if<core::swap_term>(&call)) {
        return swap(swapped->expected_revision, {0, swapped->value});
    }
    // Repeating the registration of an unchanged host only renews its lease. The record keeps its
    // revision.
    const core::platform_record record{0, std::get<core::register_host>(call).host};
    const core::platform_read stored = read(core::record_key(record));
    if (!stored.record.has_value() || stored.record->value != record.value) {
        put(record);
    }
    return core::platform_ok{};
}

std::vector<core::platform_record> simulated_platform::drain_changes() {
    return std::exchange(changes_, {});
}

bool simulated_platform::is_serving(const core::group_id& group, core::term_number term) const {
    const core::platform_read stored = read(core::terms_prefix + group.value);
    if (!stored.record.has_value()) {
        return false;
    }
    const auto& value = std::get<core::term_record>(stored.record->value);
    return value.term >= term && value.phase == core::term_phase::serving;
}

core::platform_read simulated_platform::read(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? core::platform_read{} : core::platform_read{found->second};
}

core::platform_swapped simulated_platform::swap(std::int64_t expected_revision,
                                                core::platform_record record) {
    const core::platform_read stored = read(core::record_key(record));
    const std::int64_t revision = stored.record.has_value() ? stored.record->revision : 0;
    if (revision != expected_revision) {
        return {false, stored.record};
    }
    return {true, put(std::move(record))};
}

} // namespace lovagemoor::bench
