#include <lovagemoor/proxy/relay/registry_cache.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr core::time_point start{100s};

registry_item make_item(const std::string& key, registry_revision revision) {
    return {key, "value-" + std::to_string(revision), revision, 0};
}

item_page make_page(registry_revision revision, std::vector<registry_item> items,
                    bool more = false) {
    return {registry_status::done, std::move(items), more, revision, {}};
}

item_changes make_changes(registry_revision revision, std::vector<item_change> changes) {
    return {registry_status::done, std::move(changes), revision, {}};
}

/// @return A cache with a = 5 and b = 8 as of revision 10, and the change of c to 12 as of 12.
registry_cache make_cache(registry_cache_settings settings = {}) {
    registry_cache cache{settings};
    cache.on_page(start, start, {"p/", {}, false},
                  make_page(10, {make_item("p/a", 5), make_item("p/b", 8)}));
    cache.on_changes(start, start, {"p/", 10, 25s},
                     make_changes(12, {{make_item("p/c", 12), false}}));
    return cache;
}

std::vector<std::string> keys_of(const std::optional<item_page>& page) {
    std::vector<std::string> keys;
    for (const registry_item& item : page.value().items) {
        keys.push_back(item.key);
    }
    return keys;
}

struct watch_case {
    const char* name;
    registry_revision after;
    std::chrono::milliseconds wait;
    registry_cache::watch_result result;
    registry_status status;
    std::size_t changes;
    registry_revision revision;

    friend std::ostream& operator<<(std::ostream& out, const watch_case& value) {
        return out << value.name;
    }
};

using result = registry_cache::watch_result;

const std::array<watch_case, 6> watch_cases{{
    {"from the list", 10, 1s, result::answered, registry_status::done, 1, 12},
    {"from before the list", 9, 1s, result::answered, registry_status::history_lost, 0, 0},
    {"from the present", 12, 1s, result::pending, registry_status::unknown, 0, 0},
    {"from the present without a wait", 12, 0s, result::answered, registry_status::done, 0, 12},
    {"from beyond the present", 15, 1s, result::pending, registry_status::unknown, 0, 0},
    {"from beyond the present without a wait", 15, 0s, result::answered, registry_status::done, 0,
     15},
}};

} // namespace

// Guards against a watch that misses changes of before its revision's place in the history, and
// against a requester that is sent back to an earlier revision.
BOOST_DATA_TEST_CASE(watches_continue_from_their_revision, watch_cases) {
    registry_cache cache = make_cache();
    item_changes answer;
    BOOST_TEST((cache.watch(start, 1, {"p/", sample.after, sample.wait}, answer) == sample.result));
    BOOST_TEST((answer.status == sample.status));
    BOOST_TEST(answer.changes.size() == sample.changes);
    BOOST_TEST(answer.revision == sample.revision);
}

// Guards against a cache that answers before it knows the items.
BOOST_AUTO_TEST_CASE(unknown_items_are_not_answered) {
    registry_cache cache;
    item_changes answer;
    BOOST_TEST(!cache.list({"p/", {}, false}).has_value());
    BOOST_TEST((cache.watch(start, 1, {"p/", 0, 0s}, answer) == result::not_held));
}

// Guards against pending watches that get no answer, or changes that they know already.
BOOST_AUTO_TEST_CASE(pending_watches_end_with_a_change_or_their_wait) {
    registry_cache cache = make_cache();
    item_changes ignored;
    static_cast<void>(cache.watch(start, 1, {"p/", 12, 1s}, ignored));
    static_cast<void>(cache.watch(start, 2, {"p/", 13, 20s}, ignored));
    BOOST_TEST(cache.take_answers(start + 999ms).empty());
    const std::vector<registry_cache::answered_watch> ended = cache.take_answers(start + 1s);
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended.front().number == 1U);
    BOOST_TEST(ended.front().changes.changes.empty());
    cache.on_changes(
        start, start, {"p/", 12, 25s},
        make_changes(14, {{make_item("p/a", 13), false}, {make_item("p/b", 14), true}}));
    const std::vector<registry_cache::answered_watch> changed = cache.take_answers(start + 2s);
    BOOST_TEST_REQUIRE(changed.size() == 1U);
    BOOST_TEST_REQUIRE(changed.front().changes.changes.size() == 1U);
    BOOST_TEST(changed.front().changes.changes.front().item.key == "p/b");
    BOOST_TEST(changed.front().changes.revision == 14U);
    BOOST_TEST((keys_of(cache.list({"p/", {}, false})) == std::vector<std::string>{"p/a", "p/c"}));
}

// Guards against a state that counts as proved by a watch whose answer may have waited.
BOOST_AUTO_TEST_CASE(only_calls_without_a_wait_prove_the_state) {
    registry_cache cache = make_cache();
    BOOST_TEST((cache.proved_as_of() == start));
    cache.on_changes(start + 2s, start + 1s, {"p/", 12, 25s}, make_changes(13, {}));
    BOOST_TEST((cache.proved_as_of() == start));
    cache.on_changes(start + 3s, start + 2s, {"p/", 12, 0s}, make_changes(14, {}));
    BOOST_TEST((cache.proved_as_of() == start + 2s));
    // An answer that comes late does not make the proof older.
    cache.on_changes(start + 4s, start + 1s, {"p/", 12, 0s}, make_changes(13, {}));
    BOOST_TEST((cache.proved_as_of() == start + 2s));
    BOOST_TEST(cache.revision() == 14U);
}

// Guards against a gap: the changes between two answers are not known.
BOOST_AUTO_TEST_CASE(an_answer_that_leaves_a_gap_starts_afresh) {
    registry_cache cache = make_cache();
    item_changes ignored;
    static_cast<void>(cache.watch(start, 1, {"p/", 12, 20s}, ignored));
    cache.on_changes(start, start, {"p/", 15, 25s}, make_changes(16, {}));
    BOOST_TEST(!cache.known());
    const std::vector<registry_cache::answered_watch> ended = cache.take_answers(start);
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended.front().changes.status == registry_status::history_lost));
}

// Guards against hosts that keep items whose removal only a list has shown.
BOOST_AUTO_TEST_CASE(a_later_list_becomes_changes) {
    registry_cache cache = make_cache();
    cache.on_page(start, start, {"p/", {}, false},
                  make_page(20, {make_item("p/b", 15), make_item("p/c", 12)}));
    item_changes answer;
    BOOST_TEST((cache.watch(start, 1, {"p/", 12, 1s}, answer) == result::answered));
    BOOST_TEST_REQUIRE(answer.changes.size() == 2U);
    BOOST_TEST(answer.changes.front().item.key == "p/b");
    BOOST_TEST(answer.changes.back().item.key == "p/a");
    BOOST_TEST(answer.changes.back().removed);
    BOOST_TEST(answer.revision == 20U);
}

// Guards against hosts that continue from beyond a change that a watch of the relay has left out.
BOOST_AUTO_TEST_CASE(a_list_that_shows_a_missed_change_ends_the_history) {
    registry_cache cache = make_cache();
    cache.on_page(start, start, {"p/", {}, false},
                  make_page(20, {make_item("p/a", 11), make_item("p/b", 8), make_item("p/c", 12)}));
    item_changes answer;
    BOOST_TEST((cache.watch(start, 1, {"p/", 12, 1s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::history_lost));
}

// Guards against a list that was delayed and takes back later changes.
BOOST_AUTO_TEST_CASE(an_earlier_list_is_ignored_unless_the_registry_went_back) {
    registry_cache cache = make_cache();
    const item_page earlier = make_page(7, {make_item("p/a", 5)});
    cache.on_page(start + 1s, start - 1ms, {"p/", {}, false}, earlier);
    BOOST_TEST(cache.revision() == 12U);
    cache.on_page(start + 2s, start + 1s, {"p/", {}, false}, earlier);
    BOOST_TEST(cache.revision() == 7U);
    item_changes answer;
    BOOST_TEST((cache.watch(start, 1, {"p/", 6, 1s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::history_lost));
}

// Guards against a list whose pages come from different listings, and against lost last pages.
BOOST_AUTO_TEST_CASE(the_pages_of_a_list_are_joined) {
    registry_cache cache;
    cache.on_page(start, start, {"p/", {}, false}, make_page(10, {make_item("p/a", 5)}, true));
    BOOST_TEST(!cache.known());
    cache.on_page(start, start, {"p/", "p/x", false}, make_page(10, {make_item("p/y", 6)}));
    BOOST_TEST(!cache.known());
    cache.on_page(start, start, {"p/", "p/a", false}, make_page(11, {make_item("p/b", 11)}));
    BOOST_TEST(cache.known());
    // Changes since the first page are watched.
    BOOST_TEST(cache.revision() == 10U);
    BOOST_TEST((keys_of(cache.list({"p/", {}, false})) == std::vector<std::string>{"p/a", "p/b"}));
}

// Guards against pages that do not fit in a frame of the link.
BOOST_AUTO_TEST_CASE(lists_are_answered_in_bounded_pages) {
    registry_cache cache = make_cache({.page_bytes = 1});
    std::string after;
    std::vector<std::string> keys;
    bool more = true;
    while (more && keys.size() < 10) {
        const item_page page = cache.list({"p/", after, false}).value();
        BOOST_TEST_REQUIRE(page.items.size() == 1U);
        after = page.items.back().key;
        keys.push_back(after);
        more = page.more;
    }
    BOOST_TEST((keys == std::vector<std::string>{"p/a", "p/b", "p/c"}));
}

// Guards against a proof that covers a change which an earlier watch has left out: the relay and
// its requesters would stay on the former configuration (review of issue 48).
BOOST_AUTO_TEST_CASE(a_watch_that_returns_a_missed_change_ends_the_history) {
    registry_cache cache = make_cache();
    cache.on_changes(start, start, {"p/", 12, 25s}, make_changes(20, {}));
    cache.on_changes(start + 1s, start + 1s, {"p/", 12, 0s},
                     make_changes(21, {{make_item("p/a", 15), false}}));
    BOOST_TEST(!cache.proved_as_of().has_value());
    BOOST_TEST(!cache.known());
    cache.on_page(start + 2s, start + 2s, {"p/", {}, false},
                  make_page(20, {make_item("p/a", 15), make_item("p/b", 8), make_item("p/c", 12)}));
    item_changes answer;
    BOOST_TEST((cache.watch(start + 2s, 1, {"p/", 20, 0s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::history_lost));
    cache.on_changes(start + 3s, start + 3s, {"p/", 20, 0s}, make_changes(22, {}));
    BOOST_TEST(cache.proved_as_of().has_value());
    BOOST_TEST((cache.watch(start + 3s, 2, {"p/", 22, 0s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::done));
}

// Guards against a relay that refuses all watches after the registry has come back from an older
// copy, with lower revisions.
BOOST_AUTO_TEST_CASE(a_reset_forgets_up_to_which_revision_the_history_is_lost) {
    registry_cache cache = make_cache();
    cache.on_changes(start, start, {"p/", 12, 25s}, make_changes(20, {}));
    cache.on_changes(start + 1s, start + 1s, {"p/", 12, 0s},
                     make_changes(21, {{make_item("p/a", 15), false}}));
    cache.reset();
    cache.on_page(start + 2s, start + 2s, {"p/", {}, false}, make_page(6, {make_item("p/a", 5)}));
    item_changes answer;
    BOOST_TEST((cache.watch(start + 2s, 1, {"p/", 6, 0s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::done));
}

// Guards against requesters that list a large document whole because its versions do not fit in the
// history together (issue 48).
BOOST_AUTO_TEST_CASE(a_large_change_takes_the_place_of_earlier_ones_of_its_key) {
    registry_cache cache = make_cache();
    for (registry_revision revision = 13; revision <= 20; ++revision) {
        registry_item large = make_item("p/a", revision);
        large.value.resize(300000, 'x');
        cache.on_changes(start, start, {"p/", revision - 1, 25s},
                         make_changes(revision, {{large, false}}));
    }
    item_changes answer;
    BOOST_TEST((cache.watch(start, 1, {"p/", 10, 0s}, answer) == result::answered));
    BOOST_TEST((answer.status == registry_status::done));
    BOOST_TEST(answer.revision == 20U);
    BOOST_TEST_REQUIRE(answer.changes.size() == 2U);
    BOOST_TEST(answer.changes.front().item.key == "p/c");
    BOOST_TEST(answer.changes.back().item.revision == 20U);
}

// Guards against a history that grows without bound on hosts with 112 MB.
BOOST_AUTO_TEST_CASE(the_history_is_bounded) {
    for (const registry_cache_settings& settings : {registry_cache_settings{.history_changes = 3},
                                                    registry_cache_settings{.history_bytes = 50}}) {
        registry_cache cache = make_cache(settings);
        for (registry_revision revision = 13; revision <= 40; ++revision) {
            cache.on_changes(start, start, {"p/", revision - 1, 25s},
                             make_changes(revision, {{make_item("p/a", revision), false}}));
        }
        item_changes answer;
        static_cast<void>(cache.watch(start, 1, {"p/", 20, 1s}, answer));
        BOOST_TEST((answer.status == registry_status::history_lost));
        static_cast<void>(cache.watch(start, 1, {"p/", 38, 1s}, answer));
        BOOST_TEST(answer.changes.size() == 2U);
    }
}

// Guards against items that may be stale and are taken for watched ones.
BOOST_AUTO_TEST_CASE(stale_lists_do_not_replace_watched_items) {
    registry_cache watched = make_cache();
    watched.on_page(start, start, {"p/", {}, true}, make_page(20, {}));
    BOOST_TEST(watched.revision() == 12U);
    registry_cache polled;
    polled.on_page(start, start, {"p/", {}, true}, make_page(20, {make_item("p/a", 5)}));
    BOOST_TEST(polled.polled());
    item_changes answer;
    BOOST_TEST((polled.watch(start, 1, {"p/", 20, 1s}, answer) == result::not_held));
    BOOST_TEST((keys_of(polled.list({"p/", {}, true})) == std::vector<std::string>{"p/a"}));
}

// Guards against answers with revisions of before the return of the registry from a copy.
BOOST_AUTO_TEST_CASE(a_return_of_the_registry_ends_pending_watches) {
    registry_cache cache = make_cache();
    item_changes ignored;
    static_cast<void>(cache.watch(start, 1, {"p/", 12, 20s}, ignored));
    cache.reset();
    BOOST_TEST(!cache.known());
    BOOST_TEST(!cache.proved_as_of().has_value());
    const std::vector<registry_cache::answered_watch> ended = cache.take_answers(start);
    BOOST_TEST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended.front().changes.status == registry_status::history_lost));
}

} // namespace lovagemoor::proxy
