#include <lovagemoor/proxy/lending/holder_avoidance.hpp>

#include <boost/test/unit_test.hpp>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::host_id holder{"h"};
const core::target_id target{"t"};
constexpr core::time_point start{std::chrono::seconds{1000}};

} // namespace

// Guards against asking a lost holder again and again, and against avoiding it for ever.
BOOST_AUTO_TEST_CASE(pauses_double_up_to_a_limit) {
    holder_avoidance avoided;
    core::time_point now = start;
    for (const core::duration length : {1s, 2s, 4s, 8s, 8s}) {
        avoided.on_failed(now, holder);
        BOOST_TEST(avoided.avoided(now + length - 1ms, holder));
        BOOST_TEST(!avoided.avoided(now + length, holder));
        now += length;
        avoided.expire(now);
    }
}

// Guards against a long pause because one lost channel ended many loans.
BOOST_AUTO_TEST_CASE(failures_during_a_pause_count_once) {
    holder_avoidance avoided;
    for (int index = 0; index < 10; ++index) {
        avoided.on_failed(start, holder);
    }
    BOOST_TEST(!avoided.avoided(start + 1s, holder));
}

// Guards against long pauses of a holder that has recovered, and against the use of one that
// answers late.
BOOST_AUTO_TEST_CASE(an_answer_after_the_pause_ends_the_series) {
    holder_avoidance avoided;
    avoided.on_failed(start, holder);
    avoided.on_answered(start + 10ms, holder);
    BOOST_TEST(avoided.avoided(start + 999ms, holder));
    avoided.on_answered(start + 1s, holder);
    avoided.on_failed(start + 1s, holder);
    BOOST_TEST(!avoided.avoided(start + 2s, holder));
}

// Guards against avoiding a holder for all targets because one of them is lost.
BOOST_AUTO_TEST_CASE(a_failed_target_only_concerns_itself) {
    holder_avoidance avoided;
    avoided.on_target_failed(start, holder, target);
    BOOST_TEST(!avoided.avoided(start, holder));
    BOOST_TEST(avoided.avoided(start, holder, target));
    BOOST_TEST(!avoided.avoided(start, holder, core::target_id{"u"}));
    BOOST_TEST(!avoided.avoided(start + 1s, holder, target));
}

} // namespace lovagemoor::proxy
