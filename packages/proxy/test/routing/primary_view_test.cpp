#include <lovagemoor/proxy/routing/primary_view.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace lovagemoor::proxy {

namespace {

const core::target_id a{"a"};
const core::target_id b{"b"};

std::string primary_of(const primary_view& view) {
    return view.primary().has_value() ? view.primary()->value : "none";
}

} // namespace

// Guards against trusting outdated information from the registry.
BOOST_AUTO_TEST_CASE(a_confirmation_overrides_the_registry) {
    primary_view view;
    view.on_claim(a, true);
    BOOST_TEST(primary_of(view) == "a");
    BOOST_TEST(!view.confirmed());
    view.on_confirmed(b, 2);
    view.on_claim(a, true);
    BOOST_TEST(primary_of(view) == "b");
    BOOST_TEST(view.confirmed());
}

// Guards against writes to a former primary that returns after its replacement.
BOOST_AUTO_TEST_CASE(a_confirmation_of_an_older_term_is_ignored) {
    primary_view view;
    view.on_confirmed(b, 3);
    BOOST_TEST(!view.on_confirmed(a, 2));
    BOOST_TEST(primary_of(view) == "b");
}

// Guards against further use of a demoted primary.
BOOST_AUTO_TEST_CASE(a_refuted_primary_is_dropped) {
    primary_view view;
    view.on_claim(a, true);
    view.on_confirmed(a, 1);
    BOOST_TEST(!view.on_refuted(b));
    BOOST_TEST(view.on_refuted(a));
    BOOST_TEST(primary_of(view) == "none");
    view.on_claim(b, true);
    BOOST_TEST(primary_of(view) == "b");
}

// Guards against waiting for a primary that was removed.
BOOST_AUTO_TEST_CASE(a_removed_primary_is_dropped) {
    primary_view view;
    view.on_claim(a, true);
    view.on_removed(a);
    BOOST_TEST(primary_of(view) == "none");
}

// Guards against a former primary that leads again because its entry was removed and came back.
BOOST_AUTO_TEST_CASE(a_removed_target_stays_demoted) {
    primary_view view;
    view.on_claim(a, true);
    view.on_demoted(a, 2);
    view.on_removed(a);
    view.on_claim(a, true);
    BOOST_TEST(primary_of(view) == "none");
    BOOST_TEST(!view.on_confirmed(a, 1));
    BOOST_TEST(view.on_confirmed(a, 2));
}

// Guards against returning to a former primary that still considers itself the primary: positions
// carry the term of the last commit, so both may show the same one.
BOOST_AUTO_TEST_CASE(a_confirmation_of_the_same_term_does_not_replace_a_primary) {
    primary_view view;
    view.on_claim(a, true);
    view.on_confirmed(a, 1);
    view.on_claim(b, true);
    BOOST_TEST(primary_of(view) == "b");
    BOOST_TEST(!view.on_confirmed(a, 1));
    BOOST_TEST(primary_of(view) == "b");
    view.on_refuted(b);
    BOOST_TEST(primary_of(view) == "a");
}

// Guards against further use of a primary after its demotion was announced.
BOOST_AUTO_TEST_CASE(a_demoted_primary_is_only_used_in_later_terms) {
    primary_view view;
    view.on_claim(a, true);
    view.on_confirmed(a, 3);
    BOOST_TEST(view.on_demoted(a, 4));
    BOOST_TEST(primary_of(view) == "none");
    BOOST_TEST(view.superseded(a, 3));
    BOOST_TEST(!view.on_confirmed(a, 3));
    view.on_claim(a, false);
    view.on_claim(a, true);
    BOOST_TEST(primary_of(view) == "none");
    view.on_leading(a, 3);
    BOOST_TEST(view.demoted(a));
    view.on_leading(a, 4);
    BOOST_TEST(view.on_confirmed(a, 3));
    BOOST_TEST(primary_of(view) == "a");
}

} // namespace lovagemoor::proxy
