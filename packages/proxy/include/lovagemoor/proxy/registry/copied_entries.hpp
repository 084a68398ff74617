#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/target_record.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief What the host knows of a target that a list names.
struct target_knowledge {
    /// Newest entry of the target. Empty if the host knows none.
    std::optional<target_record> record;
    /// The registry removed the target's entry.
    bool left = false;
    /// A later process, under another id, has the listed address.
    bool address_reused = false;
    /// Another target proved to be the primary of the service.
    bool other_primary_confirmed = false;
};

/// @brief How the host uses an entry of a list that may be an older copy.
struct copied_entry_use {
    /// Entry to use now. Empty if the target's state stays as it is.
    std::optional<target_record> now;
    /// The listed entry is used once the target has confirmed it, or after
    /// copied_entries::settle_time.
    bool later = false;
};

/// @brief Decides how a listed entry is used that may come from an older copy of the registry.
///
/// In a copy, a target that drains or has left is ready again, its address may belong to another,
/// its process may be a former one and its role an earlier one.
[[nodiscard]] copied_entry_use judge_copied_entry(const target_record& listed,
                                                  const target_knowledge& known);

/// @brief Holds back entries that the registry lists after it has come back from an older copy,
/// until they are known to be current.
class copied_entries {
public:
    /// Time after the first list of an era for which its entries may be those of the copy. The
    /// registry removes the entry of a silent target after three heartbeats (3.6 s in the reference
    /// deployments), and a removal whose watch was lost is found by a check after 2.4 s.
    static constexpr core::duration settle_time = std::chrono::seconds{6};

    /// @brief The registry has come back from an older copy. The next list may show the copy.
    void on_restored();

    /// @brief Tells entries of a list that may be those of the copy from newer ones. Held entries
    /// that the list does not confirm are dropped.
    /// @return Ids of the entries that may be those of the copy.
    [[nodiscard]] std::vector<core::target_id> on_listed(core::time_point now,
                                                         const std::vector<target_record>& list);

    /// @brief Holds an entry back until on_changed() or due().
    void hold(core::time_point now, const target_record& record);

    /// @brief The registry reported a change of an entry after the list, or its removal.
    void on_changed(const core::target_id& target);

    /// @return Entries whose time has passed. They are no longer held.
    [[nodiscard]] std::vector<target_record> due(core::time_point now);

private:
    struct held_entry {
        target_record record;
        core::time_point until;
    };

    bool restored_ = false;
    /// Until this time, entries equal to those in first_list_ may be those of the copy.
    std::optional<core::time_point> settled_at_;
    std::map<core::target_id, target_record> first_list_;
    std::map<core::target_id, held_entry> held_;
};

} // namespace lovagemoor::proxy
