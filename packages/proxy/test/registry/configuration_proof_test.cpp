#include <lovagemoor/proxy/registry/configuration_proof.hpp>

#include <boost/test/unit_test.hpp>

#include <variant>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

core::time_point at(core::duration time) {
    return core::time_point{time};
}

configuration_proof make_proof() {
    return configuration_proof{"op/config", 2500ms};
}

item_page page_at(registry_revision revision) {
    item_page page;
    page.status = registry_status::done;
    page.items = {registry_item{"op/config", "{}", revision, 0}};
    page.revision = revision;
    return page;
}

item_changes changes_at(registry_revision revision) {
    item_changes changes;
    changes.status = registry_status::done;
    changes.revision = revision;
    return changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_proof_test)

// Guards against a proof that transfers a document again that the host's watch has returned.
BOOST_AUTO_TEST_CASE(a_proof_does_not_return_a_document_that_was_read_by_another_call) {
    configuration_proof proof = make_proof();
    BOOST_REQUIRE(proof.next_call(at(1s)).has_value());
    static_cast<void>(proof.on_page(at(1s), page_at(7)));
    proof.on_read(9);
    const auto watch = proof.next_call(at(4s));
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(std::get<watch_items>(*watch).after == 9U);
    // A revision of before a loss of history may not be one of the registry's.
    static_cast<void>(proof.on_changes(at(4s), {registry_status::history_lost, {}, 0}));
    BOOST_TEST(std::holds_alternative<list_items>(*proof.next_call(at(4s))));
}

// Guards against a proof that seems younger than the state that it shows: the registry may have
// answered at any time since the call was sent.
BOOST_AUTO_TEST_CASE(a_proof_is_as_old_as_its_call) {
    configuration_proof proof = make_proof();
    const auto list = proof.next_call(at(1s));
    BOOST_REQUIRE(list.has_value());
    BOOST_TEST(std::holds_alternative<list_items>(*list));
    BOOST_TEST(!std::get<list_items>(*list).may_be_stale);
    const configuration_proof::outcome listed = proof.on_page(at(1700ms), page_at(7));
    BOOST_TEST((listed.as_of == at(1s)));
    BOOST_TEST(listed.changes.size() == 1U);
    BOOST_TEST(!proof.next_call(at(3400ms)).has_value());

    const auto watch = proof.next_call(at(3500ms));
    BOOST_REQUIRE(watch.has_value());
    BOOST_REQUIRE(std::holds_alternative<watch_items>(*watch));
    // A watch that waits may skip changes if the history is lost under it.
    BOOST_TEST((std::get<watch_items>(*watch).wait == 0ms));
    BOOST_TEST(std::get<watch_items>(*watch).after == 7U);
    BOOST_TEST((proof.on_changes(at(3600ms), changes_at(12)).as_of == at(3500ms)));
    BOOST_TEST(std::get<watch_items>(*proof.next_call(at(6s))).after == 12U);
}

// Guards against a proof that rests on history which the registry has lost, or on no answer.
BOOST_AUTO_TEST_CASE(lost_history_and_lost_answers_prove_nothing) {
    configuration_proof proof = make_proof();
    (void)proof.next_call(at(1s));
    (void)proof.on_page(at(1s), page_at(7));
    (void)proof.next_call(at(4s));
    item_changes lost;
    lost.status = registry_status::history_lost;
    BOOST_TEST(!proof.on_changes(at(4s), lost).as_of.has_value());
    BOOST_TEST(std::holds_alternative<list_items>(*proof.next_call(at(4s))));
    BOOST_TEST(!proof.on_page(at(4800ms), item_page{}).as_of.has_value());
    BOOST_TEST(!proof.next_call(at(4900ms)).has_value());
    BOOST_TEST(proof.next_call(at(4950ms)).has_value());
}

// Guards against a revision of an earlier era, which the registry gives out again.
BOOST_AUTO_TEST_CASE(a_restored_registry_is_listed_again) {
    configuration_proof proof = make_proof();
    (void)proof.next_call(at(1s));
    (void)proof.on_page(at(1s), page_at(7));
    (void)proof.next_call(at(4s));
    proof.on_restored(at(4100ms));
    BOOST_TEST(std::holds_alternative<list_items>(*proof.next_call(at(4100ms))));
}

// Guards against a relay that keeps the long interval of its own proofs when other hosts begin to
// ask for them.
BOOST_AUTO_TEST_CASE(a_shorter_interval_holds_at_once) {
    configuration_proof proof = make_proof();
    (void)proof.next_call(at(1s));
    (void)proof.on_page(at(1s), page_at(7));
    BOOST_TEST(!proof.next_call(at(2s)).has_value());
    proof.set_interval(1000ms);
    BOOST_TEST(proof.next_call(at(2s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::proxy
