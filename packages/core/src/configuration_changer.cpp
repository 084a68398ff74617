#include <lovagemoor/core/configuration_changer.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Number of operation identifiers that the document keeps, enough for five hours of changes at
/// design size.
constexpr std::size_t max_operation_ids = 256;
constexpr std::size_t max_identifier_bytes = 128;
constexpr std::uint32_t max_connections_per_target = 1'000;
constexpr std::chrono::milliseconds max_staleness = std::chrono::hours{1};
constexpr std::chrono::seconds min_retention = std::chrono::minutes{1};
constexpr std::chrono::seconds max_retention = std::chrono::hours{24 * 30};
/// Maximum number of platform calls for one change; after these its result is reported as unknown.
constexpr std::uint32_t max_platform_calls = 8;

constexpr std::array<const char*, 14> problem_names{
    "missing_operation_id",
    "operation_id_too_long",
    "missing_name",
    "name_too_long",
    "missing_groups",
    "unknown_group",
    "repeated_group",
    "group_of_other_service",
    "slots_out_of_range",
    "connections_out_of_range",
    "fewer_connections_than_slots",
    "staleness_out_of_range",
    "retention_out_of_range",
    "unknown_service",
};

using problem = std::optional<invalid_configuration>;

problem find_group_problem(const service_record& service, const configuration& document,
                           const cluster_view& view) {
    if (service.groups.empty()) {
        return invalid_configuration{configuration_problem::missing_groups, service.name.value};
    }
    std::set<group_id> seen;
    for (const group_id& group : service.groups) {
        if (view.find_group(group) == nullptr) {
            return invalid_configuration{configuration_problem::unknown_group, group.value};
        }
        if (!seen.insert(group).second) {
            return invalid_configuration{configuration_problem::repeated_group, group.value};
        }
    }
    for (const service_record& other : document.services) {
        if (other.name == service.name) {
            continue;
        }
        for (const group_id& group : other.groups) {
            if (seen.contains(group)) {
                return invalid_configuration{configuration_problem::group_of_other_service,
                                             group.value};
            }
        }
    }
    return std::nullopt;
}

problem find_range_problem(const service_record& service) {
    const auto invalid = [](configuration_problem kind, auto value) {
        return invalid_configuration{kind, std::to_string(value)};
    };
    if (service.connections_per_target == 0 ||
        service.connections_per_target > max_connections_per_target) {
        return invalid(configuration_problem::connections_out_of_range,
                       service.connections_per_target);
    }
    if (service.slots_per_target == 0) {
        return invalid(configuration_problem::slots_out_of_range, service.slots_per_target);
    }
    if (service.slots_per_target > service.connections_per_target) {
        return invalid(configuration_problem::fewer_connections_than_slots,
                       service.connections_per_target);
    }
    if (service.max_staleness.count() < 0 || service.max_staleness > max_staleness) {
        return invalid(configuration_problem::staleness_out_of_range,
                       service.max_staleness.count());
    }
    if (service.idempotency_retention < min_retention ||
        service.idempotency_retention > max_retention) {
        return invalid(configuration_problem::retention_out_of_range,
                       service.idempotency_retention.count());
    }
    return std::nullopt;
}

problem find_service_problem(const service_record& service, const configuration& document,
                             const cluster_view& view) {
    if (service.name.empty()) {
        return invalid_configuration{configuration_problem::missing_name, {}};
    }
    if (service.name.value.size() > max_identifier_bytes) {
        return invalid_configuration{configuration_problem::name_too_long, service.name.value};
    }
    const problem found = find_group_problem(service, document, view);
    return found.has_value() ? found : find_range_problem(service);
}

std::vector<service_record>::const_iterator find_service(const configuration& document,
                                                         const service_id& name) {
    return std::find_if(document.services.begin(), document.services.end(),
                        [&name](const service_record& service) { return service.name == name; });
}

configuration apply(const change_configuration& change, const configuration& document) {
    configuration next = document;
    ++next.version;
    next.operation_ids.push_back(change.operation_id);
    if (next.operation_ids.size() > max_operation_ids) {
        next.operation_ids.erase(next.operation_ids.begin());
    }
    const put_service* put = std::get_if<put_service>(&change.change);
    const service_id& name =
        put != nullptr ? put->service.name : std::get<remove_service>(change.change).name;
    const auto held = find_service(document, name);
    const auto position = next.services.begin() + (held - document.services.begin());
    if (put == nullptr) {
        next.services.erase(position);
    } else if (position == next.services.end()) {
        next.services.push_back(put->service);
    } else {
        *position = put->service;
    }
    return next;
}

} // namespace internal

const char* to_string(configuration_problem value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < internal::problem_names.size() ? internal::problem_names.at(index) : "invalid";
}

std::optional<invalid_configuration> find_problem(const change_configuration& change,
                                                  const configuration& document,
                                                  const cluster_view& view) {
    if (change.operation_id.empty()) {
        return invalid_configuration{configuration_problem::missing_operation_id, {}};
    }
    if (change.operation_id.size() > internal::max_identifier_bytes) {
        return invalid_configuration{configuration_problem::operation_id_too_long,
                                     change.operation_id};
    }
    if (const put_service* put = std::get_if<put_service>(&change.change)) {
        return internal::find_service_problem(put->service, document, view);
    }
    const service_id& name = std::get<remove_service>(change.change).name;
    if (internal::find_service(document, name) == document.services.end()) {
        return invalid_configuration{configuration_problem::unknown_service, name.value};
    }
    return std::nullopt;
}

configuration_changer::configuration_changer(const core_settings& settings,
                                             const cluster_view& view, id_source& ids)
    : settings_{settings}, view_{view}, ids_{ids} {}

void configuration_changer::submit(time_point /*now*/, call_id id,
                                   const change_configuration& change, action_list& actions) {
    pending_change& pending = pending_[id];
    pending = pending_change{};
    pending.change = change;
    pending.document = view_.current_configuration();
    pending.revision = view_.revision_of(configuration_key);
    // This host's copy may be out of date: the operator has seen a later version, or this host has
    // not received the document yet, although the platform may have one.
    const bool is_behind =
        pending.revision == 0 || change.expected_version > pending.document.version;
    if (is_behind) {
        read(id, pending, actions);
    } else {
        check_and_swap(id, pending, actions);
    }
}

bool configuration_changer::on_platform_finished(time_point now, const platform_finished& finished,
                                                 action_list& actions) {
    const auto call = calls_.find(finished.call);
    if (call == calls_.end()) {
        return false;
    }
    const call_id id = call->second;
    calls_.erase(call);
    pending_change& pending = pending_.at(id);
    if (const platform_read* read = std::get_if<platform_read>(&finished.result)) {
        on_read(id, pending, *read, actions);
    } else if (const auto* swapped = std::get_if<platform_swapped>(&finished.result)) {
        on_swapped(id, pending, *swapped, actions);
    } else {
        on_failed(now, id, pending, std::holds_alternative<platform_unknown>(finished.result),
                  actions);
    }
    return true;
}

void configuration_changer::on_timer(time_point now, action_list& actions) {
    for (auto& [id, pending] : pending_) {
        if (now >= pending.due) {
            pending.due = time_point::max();
            read(id, pending, actions);
        }
    }
}

std::vector<platform_record> configuration_changer::take_new_records() {
    return std::exchange(new_records_, {});
}

time_point configuration_changer::next_wakeup() const {
    time_point wakeup = time_point::max();
    for (const auto& [id, pending] : pending_) {
        wakeup = std::min(wakeup, pending.due);
    }
    return wakeup;
}

void configuration_changer::check_and_swap(call_id id, pending_change& pending,
                                           action_list& actions) {
    const configuration& document = pending.document;
    if (answer_if_applied(id, pending, document, actions)) {
        return;
    }
    const std::uint64_t expected = pending.change.expected_version;
    if (expected != 0 && expected != document.version) {
        answer(id,
               {change_status::conflict, document.version,
                "expected_version is not the current version"},
               actions);
        return;
    }
    const std::optional<invalid_configuration> problem =
        find_problem(pending.change, document, view_);
    if (problem.has_value()) {
        std::string detail = to_string(problem->problem);
        detail += ": ";
        detail += problem->subject;
        answer(id, {change_status::invalid, document.version, std::move(detail)}, actions);
        return;
    }
    swap(id, pending, actions);
}

void configuration_changer::read(call_id id, pending_change& pending, action_list& actions) {
    const call_id call = ids_.next();
    calls_.emplace(call, id);
    pending.is_reading = true;
    ++pending.platform_calls;
    actions.emplace_back(call_platform{call, read_configuration{}});
}

void configuration_changer::swap(call_id id, pending_change& pending, action_list& actions) {
    const call_id call = ids_.next();
    calls_.emplace(call, id);
    pending.is_reading = false;
    ++pending.platform_calls;
    actions.emplace_back(
        call_platform{call, swap_configuration{pending.revision,
                                               internal::apply(pending.change, pending.document)}});
}

void configuration_changer::on_read(call_id id, pending_change& pending,
                                    const platform_read& result, action_list& actions) {
    configuration document;
    std::int64_t revision = 0;
    if (result.record.has_value()) {
        new_records_.push_back(*result.record);
        document = std::get<configuration>(result.record->value);
        revision = result.record->revision;
    }
    if (answer_if_applied(id, pending, document, actions)) {
        return;
    }
    if (!pending.may_be_applied) {
        pending.document = std::move(document);
        pending.revision = revision;
        check_and_swap(id, pending, actions);
    } else if (revision != pending.revision) {
        // The document has a newer revision than the swap expects, so the swap can no longer
        // succeed.
        answer(id, {change_status::conflict, document.version, "another change was accepted"},
               actions);
    } else {
        // The first swap may still arrive. Both swaps expect the same revision, so only one of them
        // can take effect.
        swap(id, pending, actions);
    }
}

void configuration_changer::on_swapped(call_id id, pending_change& pending,
                                       const platform_swapped& result, action_list& actions) {
    configuration current;
    if (result.current.has_value()) {
        new_records_.push_back(*result.current);
        current = std::get<configuration>(result.current->value);
    }
    if (result.succeeded) {
        answer(id, {change_status::accepted, pending.document.version + 1, {}}, actions);
    } else if (!answer_if_applied(id, pending, current, actions)) {
        answer(id, {change_status::conflict, current.version, "another change was accepted"},
               actions);
    }
}

void configuration_changer::on_failed(time_point now, call_id id, pending_change& pending,
                                      bool is_unknown, action_list& actions) {
    const bool is_swap = !pending.is_reading;
    pending.may_be_applied = pending.may_be_applied || (is_swap && is_unknown);
    if (pending.platform_calls < internal::max_platform_calls && pending.may_be_applied) {
        pending.due = now + settings_.platform_retry_interval;
        return;
    }
    const change_status status =
        pending.may_be_applied ? change_status::unknown : change_status::platform_unavailable;
    answer(id, {status, view_.current_configuration().version, "the platform did not answer"},
           actions);
}

bool configuration_changer::answer_if_applied(call_id id, const pending_change& pending,
                                              const configuration& document, action_list& actions) {
    const std::vector<std::string>& known = document.operation_ids;
    const auto found = std::find(known.begin(), known.end(), pending.change.operation_id);
    if (found == known.end()) {
        return false;
    }
    // Each accepted change adds one identifier and increments the version, so the number of later
    // identifiers gives the version that this change produced.
    const auto later = static_cast<std::uint64_t>(known.end() - found - 1);
    answer(id, {change_status::accepted, document.version - later, {}}, actions);
    return true;
}

void configuration_changer::answer(call_id id, const change_result& result, action_list& actions) {
    actions.emplace_back(answer_operator{id, result});
    pending_.erase(id);
}

} // namespace lovagemoor::core
