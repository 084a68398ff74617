#include <lovagemoor/core/cluster_view.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::core {

namespace {

member_update make_member(const std::string& id, const std::string& domain, member_state state) {
    member_update member;
    member.host.id = host_id{id};
    member.host.domain = domain_id{domain};
    member.host.peer_address = "tcp://127.0.0.1:1";
    member.state = state;
    return member;
}

cluster_view make_view() {
    host_record self;
    self.id = host_id{"self"};
    self.domain = domain_id{"a"};
    cluster_view view{self, 1};
    const group_record group{group_id{"g"},
                             {{target_id{"t1"}, domain_id{"a"}, "127.0.0.1", 1, false},
                              {target_id{"t2"}, domain_id{"b"}, "127.0.0.1", 2, false}}};
    view.apply(platform_record{5, group});
    return view;
}

struct position_case {
    const char* name;
    term_number term;
    log_position position;
    position_validity expected;
};

std::ostream& operator<<(std::ostream& out, const position_case& value) {
    return out << value.name;
}

const std::vector<position_case> position_cases{
    {"new session", 0, 0, position_validity::valid},
    {"present term", 5, 900, position_validity::valid},
    {"earlier term, before the next one began", 3, 99, position_validity::valid},
    {"earlier term, replaced by the next one's opening entry", 3, 100, position_validity::diverged},
    {"start of the first later term counts, not of the last", 3, 150, position_validity::diverged},
    {"later term than known", 6, 1, position_validity::ahead},
};

} // namespace

BOOST_AUTO_TEST_SUITE(cluster_view_test)

// Guards against serving a session data that is older than what it has already read, after a change
// of primary.
BOOST_DATA_TEST_CASE(session_positions_follow_the_term_history, position_cases, sample) {
    cluster_view view = make_view();
    const term_record term{
        group_id{"g"}, 5, term_phase::serving, {}, target_id{"t1"}, {{3, 0}, {4, 100}, {5, 200}}};
    view.apply(platform_record{6, term});
    const group_position shown{group_id{"g"}, sample.term, sample.position};
    BOOST_TEST((view.check_position(shown) == sample.expected));
}

// Guards against a configuration that reverts when an older record arrives from the platform.
BOOST_AUTO_TEST_CASE(lower_versions_and_revisions_are_not_applied) {
    cluster_view view = make_view();
    BOOST_TEST(view.apply(platform_record{10, configuration{3, {}, {}}}));
    BOOST_TEST(!view.apply(platform_record{9, configuration{4, {}, {}}}));
    BOOST_TEST(!view.apply(platform_record{11, configuration{2, {}, {}}}));
    BOOST_TEST(view.current_configuration().version == 3U);
}

// Guards against owners that are dead or leaving, and against a cached owner that is not updated
// after a change of the members.
BOOST_AUTO_TEST_CASE(owner_follows_membership) {
    cluster_view view = make_view();
    BOOST_TEST(view.owner_of(target_id{"t2"})->value == "self");
    view.set_member(make_member("other", "b", member_state::alive));
    BOOST_TEST(view.owner_of(target_id{"t2"})->value == "other");
    view.set_member(make_member("other", "b", member_state::suspect));
    BOOST_TEST(view.owner_of(target_id{"t2"})->value == "other");
    view.set_member(make_member("other", "b", member_state::dead));
    BOOST_TEST(view.owner_of(target_id{"t2"})->value == "self");
    view.set_leaving();
    BOOST_TEST(!view.owner_of(target_id{"t2"}).has_value());
}

// Guards against different digests for equal records, and against equal digests for different
// records.
BOOST_AUTO_TEST_CASE(digest_depends_on_records_and_not_on_their_order) {
    host_record self;
    self.id = host_id{"self"};
    cluster_view left{self, 1};
    cluster_view right{self, 1};
    const platform_record first{1, group_record{group_id{"g1"}, {}}};
    const platform_record second{2, group_record{group_id{"g2"}, {}}};
    left.apply(first);
    BOOST_TEST(left.digest() != right.digest());
    left.apply(second);
    right.apply(second);
    right.apply(first);
    BOOST_TEST(left.digest() == right.digest());
    BOOST_TEST(left.records().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
