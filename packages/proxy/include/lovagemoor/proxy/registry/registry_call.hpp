#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Calls to the registry, which is the platform's key-value store.

namespace lovagemoor::proxy {

/// @brief Counter that the registry increments with each change.
using registry_revision = std::uint64_t;
using lease_id = std::uint64_t;
/// @brief Counter that rises by one each time the registry comes back from an older copy of its
/// items. Revisions and leases of different eras are not comparable.
using registry_era = std::uint64_t;

struct registry_item {
    std::string key;
    std::string value;
    /// Revision of its last change.
    registry_revision revision = 0;
    /// Lease on which the item depends; 0 if none.
    lease_id lease = 0;
};

/// @name Reading
/// @{
struct list_items {
    std::string prefix;
    /// Last key of the previous page; empty for the first page.
    std::string after_key;
    /// Allows an answer that is seconds old. Such a call is cheaper.
    bool may_be_stale = false;
};

struct watch_items {
    std::string prefix;
    registry_revision after = 0;
    /// Maximum time to wait for a change.
    std::chrono::milliseconds wait{0};
};

enum class registry_status : std::uint8_t {
    done,
    /// Watch only: the registry no longer has the changes since the requested revision.
    history_lost,
    /// Write only: a key does not have its expected revision.
    conflict,
    /// The lease has expired.
    lease_ended,
    /// The call was not executed: the registry is overloaded or rejects this host.
    rejected,
    /// The call was not answered. A write may have been executed or may still be executed.
    unknown,
};

struct item_page {
    registry_status status = registry_status::unknown;
    std::vector<registry_item> items;
    bool more = false;
    /// Revision of the registry when the page was read.
    registry_revision revision = 0;
    /// Empty if the answer names none.
    std::optional<registry_era> era{};
};

struct item_change {
    registry_item item;
    bool removed = false;
};

struct item_changes {
    registry_status status = registry_status::unknown;
    std::vector<item_change> changes;
    /// Revision from which the next watch must continue.
    registry_revision revision = 0;
    /// Empty if the answer names none.
    std::optional<registry_era> era{};
};

/// @}

/// @name Writing
/// @{
struct expected_revision {
    std::string key;
    /// 0 requires that the key does not exist.
    registry_revision revision = 0;
};

struct item_write {
    std::string key;
    std::string value;
    /// Lease whose end removes the item; 0 for none.
    lease_id lease = 0;
};

/// @brief Writes and removes items atomically if all expected revisions match.
struct write_items {
    std::vector<expected_revision> expected;
    std::vector<item_write> writes;
    std::vector<std::string> removals;
};

struct write_outcome {
    registry_status status = registry_status::unknown;
    registry_revision revision = 0;
    /// Empty if the answer names none.
    std::optional<registry_era> era{};
};

struct lease_outcome {
    registry_status status = registry_status::unknown;
    lease_id lease = 0;
    std::chrono::milliseconds duration{0};
    /// Empty if the answer names none.
    std::optional<registry_era> era{};
};

/// @}

} // namespace lovagemoor::proxy
