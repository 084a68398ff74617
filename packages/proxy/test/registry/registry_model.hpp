#pragma once

#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <lovagemoor/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// @file
/// @brief A model of the registry with all the faults that its users' pages name.

namespace lovagemoor::proxy::model {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

using item_map = std::map<std::string, registry_item>;

/// @brief Calls functions at their times.
class schedule {
public:
    [[nodiscard]] core::time_point now() const { return now_; }

    void after(core::duration delay, std::function<void()> task) {
        tasks_.push({now_ + delay, ++count_, std::move(task)});
    }

    void run_until(core::time_point end) {
        while (!tasks_.empty() && tasks_.top().at <= end) {
            const entry next = tasks_.top();
            tasks_.pop();
            now_ = next.at;
            next.task();
        }
        now_ = end;
    }

private:
    struct entry {
        core::time_point at;
        std::uint64_t order = 0;
        std::function<void()> task;

        [[nodiscard]] friend bool operator<(const entry& left, const entry& right) {
            return std::pair{left.at, left.order} > std::pair{right.at, right.order};
        }
    };

    core::time_point now_{100s};
    std::uint64_t count_ = 0;
    std::priority_queue<entry> tasks_;
};

/// @brief The registry: items, history, eras, watches, lists that may be stale, and faults.
class model_store {
public:
    model_store(schedule& tasks, std::uint64_t seed) : tasks_{tasks}, random_{seed} { record(); }

    [[nodiscard]] int draw(int first, int last) {
        return std::uniform_int_distribution<int>{first, last}(random_);
    }

    /// Share of calls that a fault hits, in percent.
    int lost_percent = 0;
    int cut_percent = 0;
    /// Items on a page of a list.
    std::size_t page_size = 3;
    milliseconds stale_by{0};
    milliseconds latency_max{20};
    bool away = false;

    [[nodiscard]] registry_era era() const { return state_.era; }

    [[nodiscard]] const item_map& items() const { return state_.items; }

    /// @return The era and the items at a time within the last 11 s.
    [[nodiscard]] std::pair<registry_era, item_map> items_at(core::time_point at) const {
        const state& past = state_at(at, false);
        return {past.era, past.items};
    }

    [[nodiscard]] registry_revision revision() const { return state_.revision; }

    void write(const std::string& key, const std::string& value) {
        ++state_.revision;
        const registry_item item{key, value, state_.revision, 0};
        state_.items[key] = item;
        add_change({item, false});
    }

    void remove(const std::string& key) {
        if (state_.items.erase(key) > 0) {
            ++state_.revision;
            add_change({{key, {}, state_.revision, 0}, true});
        }
    }

    /// @brief A change outside of the followed prefix.
    void write_elsewhere() {
        ++state_.revision;
        record();
    }

    /// @param silent Pending watches are not told: they return no changes at the end of their wait.
    void drop_history(bool silent) {
        forget_history();
        for (const pending_watch& watch : std::exchange(watches_, {})) {
            if (silent) {
                wait_out(watch);
            } else {
                answer(watch.done, item_changes{registry_status::history_lost, {}, 0, state_.era});
            }
        }
    }

    void cut_watches() {
        for (const pending_watch& watch : std::exchange(watches_, {})) {
            tasks_.after(0ms, [watch] { watch.done({}); });
        }
    }

    /// @brief Answers to pending watches are lost; their calls end by their time limit.
    void lose_watches() { watches_.clear(); }

    /// @brief Comes back from a copy of the given age. Watches end or are lost.
    void restore(milliseconds age) {
        const registry_era next_era = state_.era + 1;
        state_ = state_at(tasks_.now() - age, false);
        state_.era = next_era;
        std::erase_if(history_, [this](const item_change& change) {
            return change.item.revision > state_.revision;
        });
        history_from_ = std::min(history_from_, state_.revision);
        if (draw(0, 1) == 0) {
            forget_history();
        }
        record();
        if (draw(0, 1) == 0) {
            cut_watches();
        } else {
            lose_watches();
        }
    }

    void list(const list_items& call, const std::function<void(const item_page&)>& done) {
        if (is_hit(done)) {
            return;
        }
        const state& shown = call.may_be_stale ? state_at(tasks_.now() - stale_by, true) : state_;
        item_page page{registry_status::done, {}, false, shown.revision, shown.era};
        for (auto item = shown.items.upper_bound(call.after_key);
             item != shown.items.end() && !page.more; ++item) {
            if (page.items.size() == page_size) {
                page.more = true;
            } else {
                page.items.push_back(item->second);
            }
        }
        answer(done, std::move(page));
    }

    void watch(const watch_items& call, const std::function<void(const item_changes&)>& done) {
        if (is_hit(done)) {
            return;
        }
        if (call.after < history_from_ || call.after > state_.revision) {
            answer(done, item_changes{registry_status::history_lost, {}, 0, state_.era});
            return;
        }
        item_changes changes{registry_status::done, {}, state_.revision, state_.era};
        std::copy_if(history_.begin(), history_.end(), std::back_inserter(changes.changes),
                     [&](const item_change& change) { return change.item.revision > call.after; });
        if (!changes.changes.empty()) {
            answer(done, std::move(changes));
            return;
        }
        watches_.push_back({++watch_count_, tasks_.now() + call.wait, done});
        tasks_.after(call.wait, [this, id = watch_count_] { end_wait(id); });
    }

private:
    struct state {
        registry_era era = 1;
        registry_revision revision = 10;
        item_map items;
    };

    struct pending_watch {
        std::uint64_t id = 0;
        core::time_point until;
        std::function<void(const item_changes&)> done;
    };

    template <typename Done, typename Result>
    void answer(const Done& done, Result result) {
        const milliseconds delay{draw(1, static_cast<int>(latency_max.count()))};
        tasks_.after(delay, [done, result = std::move(result)] { done(result); });
    }

    /// @return True if a fault hits the call. A call without an answer ends by its time limit.
    template <typename Done>
    bool is_hit(const Done& done) {
        if (away || draw(1, 100) <= cut_percent) {
            tasks_.after(1ms, [done] { done({}); });
            return true;
        }
        return draw(1, 100) <= lost_percent;
    }

    void forget_history() {
        history_.clear();
        history_from_ = state_.revision;
    }

    void add_change(const item_change& change) {
        history_.push_back(change);
        record();
        for (const pending_watch& watch : std::exchange(watches_, {})) {
            if (draw(1, 100) > lost_percent) {
                answer(watch.done,
                       item_changes{registry_status::done, {change}, state_.revision, state_.era});
            }
        }
    }

    void end_wait(std::uint64_t id) {
        const auto found =
            std::find_if(watches_.begin(), watches_.end(),
                         [id](const pending_watch& watch) { return watch.id == id; });
        if (found != watches_.end()) {
            answer(found->done,
                   item_changes{registry_status::done, {}, state_.revision, state_.era});
            watches_.erase(found);
        }
    }

    void wait_out(const pending_watch& watch) {
        tasks_.after(watch.until - tasks_.now(), [this, done = watch.done, era = state_.era] {
            if (era == state_.era) {
                answer(done, item_changes{registry_status::done, {}, state_.revision, state_.era});
            }
        });
    }

    void record() {
        past_.emplace_back(tasks_.now(), state_);
        while (past_.size() > 2 && past_[1].first < tasks_.now() - 11s) {
            past_.pop_front();
        }
    }

    /// @param current_era Not from before the last return.
    [[nodiscard]] const state& state_at(core::time_point at, bool current_era) const {
        auto best = past_.rbegin();
        for (auto entry = past_.rbegin(); entry != past_.rend(); ++entry) {
            if (current_era && entry->second.era != state_.era) {
                break;
            }
            best = entry;
            if (entry->first <= at) {
                break;
            }
        }
        return best->second;
    }

    schedule& tasks_;
    std::mt19937_64 random_;
    state state_;
    /// Changes after history_from_.
    std::vector<item_change> history_;
    registry_revision history_from_ = state_.revision;
    /// States of the last seconds, for stale lists and copies.
    std::deque<std::pair<core::time_point, state>> past_;
    std::vector<pending_watch> watches_;
    std::uint64_t watch_count_ = 0;
};

} // namespace lovagemoor::proxy::model
