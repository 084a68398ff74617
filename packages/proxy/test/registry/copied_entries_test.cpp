#include <lovagemoor/proxy/registry/copied_entries.hpp>

#include <lovagemoor/proxy/registry/departed_targets.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{1000s};

target_record entry(std::int64_t started_ms = 10) {
    target_record record;
    record.id = core::target_id{"t"};
    record.service = core::service_id{"s"};
    record.address = "10.0.0.1:1";
    record.started_ms = started_ms;
    return record;
}

target_record draining(target_record record) {
    record.draining = true;
    return record;
}

target_record primary(target_record record) {
    record.claims_primary = true;
    return record;
}

target_knowledge knows(const target_record& record) {
    target_knowledge known;
    known.record = record;
    return known;
}

target_knowledge other_primary() {
    target_knowledge known;
    known.other_primary_confirmed = true;
    return known;
}

target_knowledge reused() {
    target_knowledge known;
    known.address_reused = true;
    return known;
}

target_knowledge left(const target_record& record) {
    target_knowledge known;
    known.record = record;
    known.left = true;
    return known;
}

struct judgement_case {
    const char* name;
    target_record listed;
    target_knowledge known;
    std::optional<target_record> now;
    bool later;

    friend std::ostream& operator<<(std::ostream& output, const judgement_case& value) {
        return output << value.name;
    }
};

const std::vector<judgement_case> judgements{
    {"unknown", entry(), target_knowledge{}, entry(), false},
    {"unknown, claims to lead", primary(entry()), target_knowledge{}, primary(entry()), false},
    {"unknown, claims to lead beside a proven primary", primary(entry()), other_primary(), entry(),
     true},
    {"unchanged", entry(), knows(entry()), entry(), false},
    {"drains, ready in the copy", entry(), knows(draining(entry())), draining(entry()), false},
    {"drains in the list only", draining(entry()), knows(entry()), draining(entry()), false},
    {"drains in the list, with another role", draining(primary(entry())), knows(entry()),
     draining(entry()), true},
    {"another role", primary(entry()), knows(entry()), entry(), true},
    {"no longer leads in the copy", entry(), knows(primary(entry())), primary(entry()), true},
    {"a later process", entry(20), knows(draining(entry())), entry(20), false},
    {"a former process", entry(5), knows(entry()), std::nullopt, false},
    {"left", entry(), left(entry()), std::nullopt, true},
    {"drained and left", entry(), left(draining(entry())), std::nullopt, true},
    {"left, a later process", entry(20), left(entry()), entry(20), false},
    {"left, a former process", entry(5), left(entry()), std::nullopt, false},
    {"the address belongs to another", entry(), reused(), std::nullopt, true},
};

} // namespace

// Guards against acting on an older copy where the host knew better, and against leaving out what
// the copy shows first.
BOOST_DATA_TEST_CASE(copied_entries_are_judged, boost::unit_test::data::make(judgements), sample) {
    const copied_entry_use use = judge_copied_entry(sample.listed, sample.known);
    BOOST_TEST((use.now == sample.now));
    BOOST_TEST(use.later == sample.later);
}

namespace {

struct held_case {
    const char* name;
    std::function<void(copied_entries&)> happens;
    /// Time after which the entry is used. Empty if it is dropped.
    std::optional<core::duration> due_after;

    friend std::ostream& operator<<(std::ostream& output, const held_case& value) {
        return output << value.name;
    }
};

const std::vector<held_case> held_entries{
    {"nothing", [](copied_entries&) {}, copied_entries::settle_time},
    {"a change", [](copied_entries& held) { held.on_changed(entry().id); }, std::nullopt},
    {"a list with the entry",
     [](copied_entries& held) {
         BOOST_TEST(held.on_listed(start + 1s, {entry()}).size() == 1U);
         held.hold(start + 1s, entry());
     },
     copied_entries::settle_time},
    {"a list without the entry",
     [](copied_entries& held) { BOOST_TEST(held.on_listed(start + 1s, {}).empty()); },
     std::nullopt},
    {"a list with a newer entry",
     [](copied_entries& held) {
         BOOST_TEST(held.on_listed(start + 1s, {draining(entry())}).empty());
     },
     std::nullopt},
    {"another return",
     [](copied_entries& held) {
         held.on_restored();
         BOOST_TEST(held.on_listed(start + 1s, {entry()}).size() == 1U);
         held.hold(start + 1s, entry());
     },
     copied_entries::settle_time + 1s},
};

} // namespace

// Guards against entries that are held for ever, or used though the registry no longer has them.
BOOST_DATA_TEST_CASE(held_entries_end, boost::unit_test::data::make(held_entries), sample) {
    copied_entries held;
    BOOST_TEST(held.on_listed(start - 1s, {entry()}).empty());
    held.on_restored();
    BOOST_TEST(held.on_listed(start, {entry()}).size() == 1U);
    held.hold(start, entry());
    sample.happens(held);
    const core::duration due_after = sample.due_after.value_or(copied_entries::settle_time);
    BOOST_TEST(held.due(start + due_after - 1ms).empty());
    BOOST_TEST(held.due(start + due_after).size() == (sample.due_after.has_value() ? 1U : 0U));
    BOOST_TEST(held.due(start + 1h).empty());
}

// Guards against forgetting a target before its entry can no longer be in a copy, and against
// keeping all of them for ever.
BOOST_AUTO_TEST_CASE(departed_targets_are_remembered_for_a_time) {
    departed_targets departed;
    departed.remember({draining(entry()), start - 7s, start});
    departed.expire(start + departed_targets::retention);
    BOOST_REQUIRE(departed.find(entry().id) != nullptr);
    BOOST_TEST(departed.find(entry().id)->record.draining);
    departed.expire(start + departed_targets::retention + 1ms);
    BOOST_TEST(departed.find(entry().id) == nullptr);
}

} // namespace lovagemoor::proxy
