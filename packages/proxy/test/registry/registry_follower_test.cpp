#include <lovagemoor/proxy/registry/registry_follower.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};

item_page page(std::vector<registry_item> items, bool more, registry_revision revision) {
    return {registry_status::done, std::move(items), more, revision};
}

bool lists(const std::optional<registry_follower::call>& call) {
    return call.has_value() && std::holds_alternative<list_items>(*call);
}

bool watches_after(const std::optional<registry_follower::call>& call, registry_revision revision) {
    return call.has_value() && std::holds_alternative<watch_items>(*call) &&
           std::get<watch_items>(*call).after == revision;
}

/// @return A follower that has listed one item at revision 7.
registry_follower listed(follower_settings settings = {}) {
    registry_follower follower{"p/", settings};
    BOOST_REQUIRE(lists(follower.next_call(start)));
    const registry_follower::update update =
        follower.on_page(start, page({{"p/a", "1", 5}}, false, 7));
    BOOST_REQUIRE(update.complete);
    return follower;
}

} // namespace

// Guards against missing changes that happen between the pages of a list.
BOOST_AUTO_TEST_CASE(watch_starts_at_the_revision_of_the_first_page) {
    registry_follower follower{"p/"};
    BOOST_REQUIRE(lists(follower.next_call(start)));
    BOOST_TEST(!follower.next_call(start).has_value());
    BOOST_TEST(!follower.on_page(start, page({{"p/a", "1", 5}}, true, 7)).complete);
    const std::optional<registry_follower::call> second = follower.next_call(start);
    BOOST_REQUIRE(lists(second));
    BOOST_TEST(std::get<list_items>(*second).after_key == "p/a");
    const registry_follower::update update =
        follower.on_page(start, page({{"p/b", "2", 9}}, false, 9));
    BOOST_TEST(update.complete);
    BOOST_TEST(update.changes.size() == 2U);
    BOOST_TEST(watches_after(follower.next_call(start), 7));
}

// Guards against an outdated view after the registry dropped its history.
BOOST_AUTO_TEST_CASE(lost_history_causes_a_new_list) {
    registry_follower follower = listed();
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    const registry_follower::update update =
        follower.on_changes(start, {registry_status::history_lost, {}, 0});
    BOOST_TEST(!update.complete);
    BOOST_TEST(lists(follower.next_call(start)));
}

// Guards against repeating or skipping changes.
BOOST_AUTO_TEST_CASE(watch_continues_after_the_last_change) {
    registry_follower follower = listed();
    BOOST_REQUIRE(follower.next_call(start).has_value());
    const registry_follower::update update =
        follower.on_changes(start, {registry_status::done, {{{"p/a", "2", 8}, false}}, 8});
    BOOST_TEST(update.changes.size() == 1U);
    BOOST_TEST(watches_after(follower.next_call(start), 8));
}

// Guards against calling a failing registry without a delay, and against giving up.
BOOST_AUTO_TEST_CASE(failures_are_retried_with_a_growing_delay) {
    registry_follower follower = listed();
    core::time_point now = start;
    core::duration last_pause{0};
    for (int failure = 0; failure < 6; ++failure) {
        BOOST_REQUIRE(watches_after(follower.next_call(now), 7));
        static_cast<void>(follower.on_changes(now, {registry_status::rejected, {}, 0}));
        BOOST_TEST(!follower.connected());
        BOOST_TEST(!follower.next_call(now).has_value());
        const core::duration pause = follower.retry_at() - now;
        BOOST_TEST((pause >= last_pause));
        BOOST_TEST((pause <= follower_settings{}.retry_pause_max));
        last_pause = pause;
        now = follower.retry_at();
    }
    BOOST_TEST(follower.next_call(now).has_value());
}

// Guards against one call per change. With 21 configurations in 7 s, each of them cost one call
// from each of 124 hosts (found on halgeld-pool-grown).
BOOST_AUTO_TEST_CASE(frequent_changes_take_few_watches) {
    registry_follower follower = listed({.watch_pause = 100ms, .watch_pause_max = 800ms});
    core::time_point now = start;
    const core::time_point quiet = start + 7s;
    int watches = 0;
    while (now < quiet) {
        BOOST_REQUIRE(follower.next_call(now).has_value());
        ++watches;
        // The next change arrives at most 330 ms after the start of the watch.
        now += 330ms;
        static_cast<void>(
            follower.on_changes(now, {registry_status::done, {{{"p/a", "2", 8}, false}}, 8}));
        BOOST_TEST((follower.retry_at() - now <= 800ms));
        now = follower.retry_at();
    }
    BOOST_TEST(watches < 10);
    now += 2s;
    BOOST_REQUIRE(follower.next_call(now).has_value());
    static_cast<void>(
        follower.on_changes(now, {registry_status::done, {{{"p/a", "3", 9}, false}}, 9}));
    BOOST_TEST((follower.retry_at() - now == 100ms));
}

// Guards against an outdated view after an outage. The first watch was dropped without an error,
// and the host kept an old configuration for the 25 s that a watch may last (found on dala-ops, mix
// --seed 132432860516).
BOOST_AUTO_TEST_CASE(a_watch_after_a_failure_is_short) {
    registry_follower follower = listed();
    BOOST_REQUIRE(follower.next_call(start).has_value());
    static_cast<void>(follower.on_changes(start, {registry_status::unknown, {}, 0}));
    const std::optional<registry_follower::call> again = follower.next_call(follower.retry_at());
    BOOST_REQUIRE(watches_after(again, 7));
    BOOST_TEST((std::get<watch_items>(*again).wait <= 1s));
    static_cast<void>(follower.on_changes(start + 2s, {registry_status::done, {}, 7}));
    const std::optional<registry_follower::call> next = follower.next_call(start + 2s);
    BOOST_REQUIRE(watches_after(next, 7));
    BOOST_TEST((std::get<watch_items>(*next).wait == follower_settings{}.watch_wait));
}

// Guards against waiting for a watch that may have been lost in an outage, and against losing
// changes when it is replaced.
BOOST_AUTO_TEST_CASE(a_restarted_follower_continues_with_a_short_watch) {
    registry_follower follower = listed();
    BOOST_REQUIRE(follower.next_call(start).has_value());
    registry_follower next = follower.restarted(start + 3s);
    BOOST_TEST(!next.connected());
    const std::optional<registry_follower::call> call = next.next_call(next.retry_at());
    BOOST_REQUIRE(watches_after(call, 7));
    BOOST_TEST((std::get<watch_items>(*call).wait <= 1s));
}

// Guards against watching from a revision of an earlier era. It may have been given out again, so
// that the watch misses changes without an error.
BOOST_AUTO_TEST_CASE(a_restored_follower_lists_and_accepts_lower_revisions) {
    registry_follower follower = listed({.check_interval = 2400ms});
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    BOOST_REQUIRE(follower.next_check(start + 3s).has_value());
    registry_follower next = follower.restored(start + 3s, 200ms);
    BOOST_TEST(next.connected());
    BOOST_TEST(!next.next_call(start + 3100ms).has_value());
    BOOST_REQUIRE(lists(next.next_call(start + 3200ms)));
    const registry_follower::update update =
        next.on_page(start + 3200ms, page({{"p/a", "0", 3}}, false, 4));
    BOOST_TEST(update.complete);
    BOOST_REQUIRE(watches_after(next.next_call(start + 3200ms), 4));
    BOOST_REQUIRE(next.next_check(start + 6s).has_value());
    BOOST_TEST((next.on_check(start + 6s, page({{"p/a", "1", 5}}, false, 6)) ==
                registry_follower::check_result::watch_lost));
}

// Guards against a list that is put together from pages of two eras.
BOOST_AUTO_TEST_CASE(a_restored_follower_drops_pages_of_the_earlier_era) {
    registry_follower follower{"p/"};
    BOOST_REQUIRE(follower.next_call(start).has_value());
    static_cast<void>(follower.on_page(start, page({{"p/a", "1", 5}}, true, 7)));
    registry_follower next = follower.restored(start, 0ms);
    const std::optional<registry_follower::call> call = next.next_call(start);
    BOOST_REQUIRE(lists(call));
    BOOST_TEST(std::get<list_items>(*call).after_key.empty());
    const registry_follower::update update = next.on_page(start, page({{"p/b", "1", 3}}, false, 4));
    BOOST_TEST(update.changes.size() == 1U);
}

namespace {

struct check_case {
    const char* name;
    item_page checked;
    registry_follower::check_result expected;

    friend std::ostream& operator<<(std::ostream& output, const check_case& value) {
        return output << value.name;
    }
};

using check_result = registry_follower::check_result;

const std::vector<check_case> check_cases{
    {"nothing changed", page({{"p/a", "1", 5}}, false, 9), check_result::passed},
    {"an item changed", page({{"p/a", "2", 8}}, false, 9), check_result::watch_lost},
    {"an item was added", page({{"p/a", "1", 5}, {"p/b", "1", 8}}, false, 9),
     check_result::watch_lost},
    {"an item was removed", page({}, false, 9), check_result::watch_lost},
    {"an older list", page({}, false, 6), check_result::passed},
    {"no answer", {}, check_result::failed},
};

} // namespace

// Guards against following no changes for the 25 s of a watch whose answer was lost (review/4), and
// against watches that are given up for a list that is only older than they are.
BOOST_DATA_TEST_CASE(a_pending_watch_is_checked, boost::unit_test::data::make(check_cases),
                     sample) {
    registry_follower follower = listed({.check_interval = 1500ms});
    BOOST_TEST(!follower.next_check(start + 2s).has_value());
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    BOOST_TEST(!follower.next_check(start + 1s).has_value());
    const std::optional<list_items> check = follower.next_check(start + 1500ms);
    BOOST_REQUIRE(check.has_value());
    BOOST_TEST(check->may_be_stale);
    BOOST_TEST(!follower.next_check(start + 1500ms).has_value());
    BOOST_TEST((follower.on_check(start + 1510ms, sample.checked) == sample.expected));
    registry_follower next = follower.resumed();
    BOOST_TEST(next.connected());
    BOOST_TEST(watches_after(next.next_call(start + 1510ms), 7));
}

// Guards against a check that ends at the first page, and against one whose watch has returned.
BOOST_AUTO_TEST_CASE(a_check_reads_all_pages_of_a_pending_watch) {
    registry_follower follower = listed({.check_interval = 1500ms});
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    BOOST_REQUIRE(follower.next_check(start + 2s).has_value());
    BOOST_TEST(
        (follower.on_check(start + 2s, page({{"p/a", "1", 5}}, true, 9)) == check_result::passed));
    const std::optional<list_items> second = follower.next_check(start + 2s);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->after_key == "p/a");
    registry_follower returned = follower;
    BOOST_TEST((follower.on_check(start + 2s, page({{"p/b", "1", 8}}, false, 9)) ==
                check_result::watch_lost));
    static_cast<void>(
        returned.on_changes(start + 2s, {registry_status::done, {{{"p/b", "1", 8}, false}}, 9}));
    BOOST_TEST(
        (returned.on_check(start + 2s, page({{"p/b", "1", 8}}, false, 9)) == check_result::passed));
}

namespace {

struct disturbance_case {
    const char* name;
    bool disturbed;
    /// Revision that the registry had a second ago at most.
    std::optional<registry_revision> recent;
    /// Revision of the list that may be stale.
    registry_revision list_revision;
    bool first_may_be_stale;
    /// Time from the check until the next one is due.
    core::duration next_after;
    bool next_may_be_stale;

    friend std::ostream& operator<<(std::ostream& output, const disturbance_case& value) {
        return output << value.name;
    }
};

const std::vector<disturbance_case> disturbance_cases{
    {"a quiet day", false, {}, 9, true, 2400ms, true},
    {"a quiet day, an old list", false, {}, 6, true, 2400ms, true},
    {"a quiet day, a list older than the registry is", false, 12, 9, true, 2400ms, true},
    {"disturbed, a recent list", true, 12, 12, true, 1200ms, true},
    {"disturbed, a list older than the registry was a second ago", true, 12, 11, true, 0ms, false},
    {"disturbed, a list older than the watch", true, 7, 6, true, 0ms, false},
    {"disturbed, nothing known of the registry", true, {}, 9, false, 2400ms, false},
};

} // namespace

// Guards against a stale list that counts as a proof after history was lost or a call has failed
// (found on halgeld-pool, day compact-317), and against billed lists on a quiet day.
BOOST_DATA_TEST_CASE(after_a_disturbance_a_stale_list_must_be_recent,
                     boost::unit_test::data::make(disturbance_cases), sample) {
    registry_follower follower = listed({.check_interval = 2400ms});
    if (sample.disturbed) {
        follower.on_disturbance(start);
    }
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    core::time_point now = start + 2400ms;
    const std::optional<list_items> first = follower.next_check(now, sample.recent);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->may_be_stale == sample.first_may_be_stale);
    BOOST_TEST((follower.on_check(now, page({{"p/a", "1", 5}}, false, sample.list_revision)) ==
                check_result::passed));
    if (sample.next_after > 0ms) {
        BOOST_TEST(!follower.next_check(now + sample.next_after - 1ms, sample.recent).has_value());
    }
    now += sample.next_after;
    const std::optional<list_items> next = follower.next_check(now, sample.recent);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->may_be_stale == sample.next_may_be_stale);
}

// Guards against taking a watch for lost that is about to return a change: during a series of
// configurations each check did, each new watch returned the same documents again, and hosts of
// halgeld-pool-grown fell behind (CONFIG).
BOOST_AUTO_TEST_CASE(a_watch_has_time_to_return_what_a_check_shows) {
    registry_follower follower = listed({.check_interval = 2400ms});
    follower.on_disturbance(start);
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    static_cast<void>(follower.on_changes(start + 2300ms, {registry_status::done, {}, 8}));
    BOOST_REQUIRE(watches_after(follower.next_call(start + 2300ms), 8));
    const item_page change = page({{"p/a", "2", 9}}, false, 9);
    BOOST_REQUIRE(follower.next_check(start + 2400ms).has_value());
    BOOST_TEST((follower.on_check(start + 2410ms, change) == check_result::passed));
    BOOST_REQUIRE(follower.next_check(start + 3700ms).has_value());
    BOOST_TEST((follower.on_check(start + 3710ms, change) == check_result::watch_lost));
}

// Guards against billed lists after calls that the registry refused without executing them.
BOOST_AUTO_TEST_CASE(a_refused_call_is_no_disturbance) {
    registry_follower follower = listed({.check_interval = 2400ms});
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    static_cast<void>(follower.on_changes(start, {registry_status::rejected, {}, 0}));
    BOOST_REQUIRE(watches_after(follower.next_call(start + 1s), 7));
    static_cast<void>(follower.on_changes(start + 1s, {registry_status::done, {}, 7}));
    BOOST_REQUIRE(watches_after(follower.next_call(start + 1s), 7));
    const std::optional<list_items> check = follower.next_check(start + 4s);
    BOOST_REQUIRE(check.has_value());
    BOOST_TEST(check->may_be_stale);
}

struct history_loss_case {
    const char* name;
    core::duration pending;
    bool may_be_stale;

    friend std::ostream& operator<<(std::ostream& output, const history_loss_case& value) {
        return output << value.name;
    }
};

const std::vector<history_loss_case> history_losses{
    {"at once", 10ms, false},
    {"after longer than the registry keeps its history", 25s, true},
};

// Guards against billed lists on a quiet day, on which long watches outlive the registry's history.
BOOST_DATA_TEST_CASE(an_early_loss_of_history_is_a_disturbance,
                     boost::unit_test::data::make(history_losses), sample) {
    registry_follower follower = listed({.check_interval = 2400ms});
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    const core::time_point lost = start + sample.pending;
    static_cast<void>(follower.on_changes(lost, {registry_status::history_lost, {}, 0}));
    BOOST_REQUIRE(lists(follower.next_call(lost)));
    static_cast<void>(follower.on_page(lost, page({{"p/a", "1", 5}}, false, 8)));
    BOOST_REQUIRE(watches_after(follower.next_call(lost), 8));
    const std::optional<list_items> check = follower.next_check(lost + 2400ms);
    BOOST_REQUIRE(check.has_value());
    BOOST_TEST(check->may_be_stale == sample.may_be_stale);
}

// Guards against billed lists after a disturbance is over.
BOOST_AUTO_TEST_CASE(a_disturbance_ends) {
    registry_follower follower = listed({.check_interval = 2400ms});
    follower.on_disturbance(start);
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    const std::optional<list_items> check = follower.next_check(start + 10s);
    BOOST_REQUIRE(check.has_value());
    BOOST_TEST(check->may_be_stale);
}

// Guards against a change that an answer without events skipped: a watch from the newest revision
// does not return it, and the check compared revisions with that one only.
BOOST_AUTO_TEST_CASE(a_change_that_an_empty_answer_skipped_is_listed) {
    registry_follower follower = listed({.check_interval = 2400ms});
    BOOST_REQUIRE(follower.next_call(start).has_value());
    static_cast<void>(follower.on_changes(start + 25s, {registry_status::done, {}, 20}));
    BOOST_REQUIRE(watches_after(follower.next_call(start + 25s), 20));
    BOOST_REQUIRE(follower.next_check(start + 28s).has_value());
    BOOST_TEST((follower.on_check(start + 28s, page({{"p/a", "2", 15}}, false, 21)) ==
                check_result::watch_lost));
    BOOST_TEST(lists(follower.resumed().next_call(start + 28s)));
}

// Guards against going back to an older value: the watch after a list of several pages begins at
// the first page and repeats what the later pages have shown.
BOOST_AUTO_TEST_CASE(changes_before_a_later_page_are_not_repeated) {
    registry_follower follower{"p/"};
    BOOST_REQUIRE(follower.next_call(start).has_value());
    static_cast<void>(follower.on_page(start, page({{"p/a", "1", 5}}, true, 7)));
    BOOST_REQUIRE(follower.next_call(start).has_value());
    static_cast<void>(follower.on_page(start, page({{"p/b", "3", 9}}, false, 9)));
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    const registry_follower::update update = follower.on_changes(
        start, {registry_status::done, {{{"p/b", "2", 8}, false}, {{"p/a", "2", 10}, false}}, 10});
    BOOST_REQUIRE(update.changes.size() == 1U);
    BOOST_TEST(update.changes.front().item.key == "p/a");
}

// Guards against two calls every few milliseconds to a registry that drops its history continually.
BOOST_AUTO_TEST_CASE(history_lost_in_succession_is_answered_after_a_pause) {
    registry_follower follower = listed();
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    static_cast<void>(follower.on_changes(start, {registry_status::history_lost, {}, 0}));
    BOOST_REQUIRE(lists(follower.next_call(start)));
    static_cast<void>(follower.on_page(start + 10ms, page({{"p/a", "1", 5}}, false, 8)));
    BOOST_REQUIRE(watches_after(follower.next_call(start + 10ms), 8));
    static_cast<void>(follower.on_changes(start + 20ms, {registry_status::history_lost, {}, 0}));
    BOOST_TEST(!follower.next_call(start + 20ms).has_value());
    BOOST_TEST(lists(follower.next_call(start + 170ms)));
}

// Guards against waking all hosts for each registration of a host, as their watches did (found on
// dala-ops-grown).
BOOST_AUTO_TEST_CASE(polled_items_are_listed_without_watches) {
    registry_follower follower = listed({.poll_interval = 8s});
    BOOST_TEST(!follower.next_call(start + 7s).has_value());
    const std::optional<registry_follower::call> call = follower.next_call(start + 8s);
    BOOST_REQUIRE(lists(call));
    BOOST_TEST(std::get<list_items>(*call).may_be_stale);
}

// Guards against a watch that transfers a large document again that a proof has returned.
BOOST_AUTO_TEST_CASE(a_watch_is_resumed_after_a_change_that_was_read_by_another_call) {
    registry_follower follower = listed({});
    BOOST_REQUIRE(watches_after(follower.next_call(start), 7));
    registry_follower next = follower.resumed_after({{"p/a", "2", 9, 0}, false});
    BOOST_TEST(watches_after(next.next_call(start + 1s), 9));
}

} // namespace lovagemoor::proxy
