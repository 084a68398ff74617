#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/operator_call.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::core {

/// @brief Reason why a change of the configuration is invalid.
enum class configuration_problem : std::uint8_t {
    missing_operation_id,
    operation_id_too_long,
    missing_name,
    name_too_long,
    missing_groups,
    unknown_group,
    repeated_group,
    group_of_other_service,
    slots_out_of_range,
    connections_out_of_range,
    fewer_connections_than_slots,
    staleness_out_of_range,
    retention_out_of_range,
    unknown_service,
};

[[nodiscard]] const char* to_string(configuration_problem value) noexcept;

/// @brief A problem and the name or value that causes it.
struct invalid_configuration {
    configuration_problem problem = configuration_problem::missing_name;
    std::string subject;
};

/// @brief Checks a change against the document that it would replace.
/// @param view Provides the groups that the platform lists.
/// @return The first problem found, or std::nullopt when the change is valid.
[[nodiscard]] std::optional<invalid_configuration> find_problem(const change_configuration& change,
                                                                const configuration& document,
                                                                const cluster_view& view);

/// @brief Applies operators' changes to the configuration document.
///
/// A change replaces the document by a compare-and-swap on its revision. The new document contains
/// the change's operation identifier, so that reading it shows whether a repeated change, or a swap
/// whose answer was lost, has taken effect. The result `conflict` guarantees that the change is not
/// part of the document and never will be.
class configuration_changer {
public:
    configuration_changer(const core_settings& settings, const cluster_view& view, id_source& ids);

    /// @brief Starts a change. Its result is the action answer_operator{id, change_result}.
    void submit(time_point now, call_id id, const change_configuration& change,
                action_list& actions);

    /// @return True if the call was issued by this object.
    bool on_platform_finished(time_point now, const platform_finished& finished,
                              action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @return Documents read or written since the last call, to be passed to view_sync::publish().
    [[nodiscard]] std::vector<platform_record> take_new_records();

    [[nodiscard]] time_point next_wakeup() const;

private:
    struct pending_change {
        change_configuration change;
        configuration document;
        std::int64_t revision = 0;
        /// True after a swap that may or may not have taken effect.
        bool may_be_applied = false;
        /// True while the outstanding platform call is a read of the document.
        bool is_reading = false;
        std::uint32_t platform_calls = 0;
        time_point due = time_point::max();
    };

    /// Answers the change if it is already applied or invalid; otherwise replaces the document.
    void check_and_swap(call_id id, pending_change& pending, action_list& actions);
    void read(call_id id, pending_change& pending, action_list& actions);
    void swap(call_id id, pending_change& pending, action_list& actions);
    void on_read(call_id id, pending_change& pending, const platform_read& result,
                 action_list& actions);
    void on_swapped(call_id id, pending_change& pending, const platform_swapped& result,
                    action_list& actions);
    void on_failed(time_point now, call_id id, pending_change& pending, bool is_unknown,
                   action_list& actions);
    /// @return True if the document contains the change's operation identifier; it is then
    /// answered.
    bool answer_if_applied(call_id id, const pending_change& pending, const configuration& document,
                           action_list& actions);
    void answer(call_id id, const change_result& result, action_list& actions);

    const core_settings& settings_;
    const cluster_view& view_;
    id_source& ids_;
    std::map<call_id, pending_change> pending_;
    /// Maps platform calls to the operators' calls that caused them.
    std::map<call_id, call_id> calls_;
    std::vector<platform_record> new_records_;
};

} // namespace lovagemoor::core
