#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

struct registry_cache_settings {
    /// Limits on the history of changes. A host that lags further behind lists the items again.
    std::size_t history_changes = 512;
    std::size_t history_bytes = std::size_t{1} << 20U;
    /// From this size on, a change takes the place of earlier ones of its key: a host that lags
    /// needs the last version of a large document only, and few versions fit in the history.
    std::size_t superseded_bytes = 4096;
    /// Limit on the items of a page. At least one item is returned.
    std::size_t page_bytes = std::size_t{256} << 10U;
};

/// @brief What a relay knows of the registry's items below a prefix, from answers that it got from
/// the registry itself.
///
/// Holds the items as of a revision and the changes since an earlier one. It answers lists and
/// watches as the registry would have answered at that revision.
class registry_cache {
public:
    /// Identifies a pending watch. Chosen by the owner of the cache.
    using ticket = std::uint64_t;

    struct answered_watch {
        ticket number = 0;
        item_changes changes;
    };

    explicit registry_cache(registry_cache_settings settings = {});

    /// @name Answers of the registry to this host
    /// @{

    /// @param sent Time at which the call was sent.
    void on_page(core::time_point now, core::time_point sent, const list_items& call,
                 const item_page& page);
    void on_changes(core::time_point now, core::time_point sent, const watch_items& call,
                    const item_changes& changes);

    /// @brief Forgets the items, for example because the registry has come back from an older copy.
    /// Pending watches end with lost history.
    void reset();
    /// @}

    /// @name Calls of other hosts
    /// @{

    /// @return Empty if the items are not known.
    [[nodiscard]] std::optional<item_page> list(const list_items& call) const;

    enum class watch_result : std::uint8_t {
        /// The watch has its answer already.
        answered,
        /// The answer follows from take_answers().
        pending,
        /// The items are not known or not watched.
        not_held,
    };

    /// @param number Ticket of the watch if it becomes pending.
    /// @param answer Set if the watch is answered.
    [[nodiscard]] watch_result watch(core::time_point now, ticket number, const watch_items& call,
                                     item_changes& answer);

    /// @brief Abandons a pending watch.
    void forget(ticket number);

    /// @return The watches that are answered now: by changes, by lost history or by the end of
    /// their wait.
    [[nodiscard]] std::vector<answered_watch> take_answers(core::time_point now);

    /// @return All pending watches, which end without an answer.
    [[nodiscard]] std::vector<ticket> abandon_watches();

    /// @}

    [[nodiscard]] bool known() const noexcept { return known_; }

    /// @return True if the items come from lists that may be stale instead of from watches.
    [[nodiscard]] bool polled() const noexcept { return polled_; }

    /// @return Time as of which the items were the newest. Empty if they were not proved. For
    /// polled items, the time at which their list was requested.
    [[nodiscard]] const std::optional<core::time_point>& proved_as_of() const noexcept {
        return proved_as_of_;
    }

    [[nodiscard]] registry_revision revision() const noexcept { return revision_; }

private:
    struct listing {
        core::time_point sent;
        registry_revision revision = 0;
        std::string last_key;
        std::map<std::string, registry_item> items;
    };

    struct pending_watch {
        registry_revision after = 0;
        core::time_point until;
        bool history_lost = false;
    };

    void apply(core::time_point now, const list_items& call, listing complete);
    void start_afresh(listing complete);
    /// @return True if a list shows a change that an earlier answer to a watch has left out.
    [[nodiscard]] bool has_missed(const listing& complete) const;
    /// @return True if a watch returns a change that an earlier answer has left out.
    [[nodiscard]] bool has_missed(const item_changes& changes) const;
    void apply_difference(listing complete);
    void prove(core::time_point as_of);
    void append(const item_change& change);
    void trim_history();
    /// @return The changes after a revision. Empty if they are not in the history.
    [[nodiscard]] std::optional<std::vector<item_change>>
    changes_after(registry_revision after) const;

    registry_cache_settings settings_;
    bool known_ = false;
    bool polled_ = false;
    std::map<std::string, registry_item> items_;
    /// All changes up to this revision are contained in the items.
    registry_revision revision_ = 0;
    /// The history has all changes after this revision, in the order of their revisions.
    registry_revision history_from_ = 0;
    /// Watches from this revision or before it may have left out a change. 0 if none can have.
    registry_revision history_lost_until_ = 0;
    std::deque<item_change> history_;
    std::size_t history_bytes_ = 0;
    std::optional<core::time_point> proved_as_of_;
    /// Time at which the answer that last changed the revision arrived.
    core::time_point revised_at_;
    std::optional<listing> listing_;
    std::map<ticket, pending_watch> pending_;
};

} // namespace lovagemoor::proxy
