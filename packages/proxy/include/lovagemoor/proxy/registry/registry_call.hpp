#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Calls to the registry: the platform's key-value store, as this project uses it.

namespace lovagemoor::proxy {

/// @brief The registry's counter of changes.
using registry_revision = std::uint64_t;
using lease_id = std::uint64_t;

struct registry_item {
    std::string key;
    std::string value;
    /// Revision of its last change.
    registry_revision revision = 0;
};

/// @name Reading
/// @{
struct list_items {
    std::string prefix;
    /// Last key of the page before; empty for the first page.
    std::string after_key;
    /// The answer may be seconds old; such a call is cheaper.
    bool may_be_stale = false;
};

struct watch_items {
    std::string prefix;
    registry_revision after = 0;
    /// Longest wait for a change.
    std::chrono::milliseconds wait{0};
};

enum class registry_status : std::uint8_t {
    done,
    /// watch: the changes since the revision are no longer known.
    history_lost,
    /// write: a condition does not hold.
    conflict,
    /// The lease has ended.
    lease_ended,
    /// Nothing was done; the registry is overloaded or rejects this host.
    rejected,
    /// No answer; a write may have been executed or may be executed later.
    unknown,
};

struct item_page {
    registry_status status = registry_status::unknown;
    std::vector<registry_item> items;
    bool more = false;
    /// Revision of the registry when the page was read.
    registry_revision revision = 0;
};

struct item_change {
    registry_item item;
    bool removed = false;
};

struct item_changes {
    registry_status status = registry_status::unknown;
    std::vector<item_change> changes;
    /// Revision from which the next watch continues.
    registry_revision revision = 0;
};

/// @}

/// @name Writing
/// @{
struct expected_revision {
    std::string key;
    /// 0: the key does not exist.
    registry_revision revision = 0;
};

struct item_write {
    std::string key;
    std::string value;
    /// The item is removed when this lease ends; 0 for none.
    lease_id lease = 0;
};

/// @brief All or nothing.
struct write_items {
    std::vector<expected_revision> expected;
    std::vector<item_write> writes;
    std::vector<std::string> removals;
};

struct write_outcome {
    registry_status status = registry_status::unknown;
    registry_revision revision = 0;
};

struct lease_outcome {
    registry_status status = registry_status::unknown;
    lease_id lease = 0;
    std::chrono::milliseconds duration{0};
};

/// @}

} // namespace lovagemoor::proxy
