#include <lovagemoor/proxy/quota/quota_client.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <ostream>
#include <set>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{1000}};
const quota_settings rule{5000ms, 0.1, 20, 250ms};
const core::organisation_id org{"o"};

std::map<core::organisation_id, organisation> limits(double rate_per_s = 30) {
    return {{org, organisation{org, rate_per_s, 30}}};
}

quota_client configured() {
    quota_client client{rule};
    client.configure(start - 1s, limits());
    return client;
}

quota_request ask(quota_client& client, core::time_point now) {
    const quota_client::outcome asked = client.ask(now, org, true);
    BOOST_REQUIRE(asked.request.has_value());
    return *asked.request;
}

quota_grant granted(const quota_request& request, unsigned count) {
    return {request.number, count, 250ms, {}, false};
}

quota_grant refused(const quota_request& request, std::chrono::milliseconds retry_after) {
    return {request.number, 0, 250ms, retry_after, false};
}

struct token_case {
    const char* name;
    /// Receives a client with a request sent at the start.
    std::function<void(quota_client&, const quota_request&)> happens;
    core::time_point used;
    /// Number of tokens that can be taken then.
    unsigned taken;

    friend std::ostream& operator<<(std::ostream& output, const token_case& value) {
        return output << value.name;
    }
};

const token_case token_cases[] = {
    {"granted tokens are used",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
     },
     start + 249ms, 3},
    {"tokens expire with their request's age",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
     },
     start + 250ms, 0},
    {"a host wakes with a grant after a suspension",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 30s, granted(request, 3));
     },
     start + 30s, 0},
    {"a grant of a longer validity than this host's",
     [](quota_client& client, const quota_request& request) {
         quota_grant grant = granted(request, 3);
         grant.valid_for = 1h;
         client.on_grant(start + 2ms, grant);
     },
     start + 250ms, 0},
    {"a grant of a shorter validity",
     [](quota_client& client, const quota_request& request) {
         quota_grant grant = granted(request, 3);
         grant.valid_for = 100ms;
         client.on_grant(start + 2ms, grant);
     },
     start + 100ms, 0},
    {"an answer is used once",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
         client.on_grant(start + 3ms, granted(request, 3));
     },
     start + 5ms, 3},
    {"an answer to another process of this host",
     [](quota_client& client, const quota_request& request) {
         quota_grant grant = granted(request, 3);
         grant.number += 100;
         client.on_grant(start + 2ms, grant);
     },
     start + 5ms, 0},
    {"a late answer is used while it is valid",
     [](quota_client& client, const quota_request& request) {
         static_cast<void>(client.ask(start + 120ms, org, false));
         client.on_grant(start + 150ms, granted(request, 3));
     },
     start + 200ms, 3},
    {"a lowered limit drops tokens",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
         client.configure(start + 3ms, limits(10));
     },
     start + 5ms, 0},
    {"a lowered limit drops grants under way",
     [](quota_client& client, const quota_request& request) {
         client.configure(start + 1ms, limits(10));
         client.on_grant(start + 2ms, granted(request, 3));
     },
     start + 5ms, 0},
    {"an unchanged limit keeps tokens",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
         client.configure(start + 3ms, limits());
     },
     start + 5ms, 3},
    {"a removed organisation that is back has no tokens",
     [](quota_client& client, const quota_request& request) {
         client.on_grant(start + 2ms, granted(request, 3));
         client.configure(start + 3ms, {});
         client.configure(start + 4ms, limits());
     },
     start + 5ms, 0},
};

} // namespace

// Guards against tokens that are used after the owner, or its successor, counts them as unused.
BOOST_DATA_TEST_CASE(tokens_are_used_while_valid, boost::unit_test::data::make(token_cases),
                     tested) {
    quota_client client = configured();
    const quota_request request = ask(client, start);
    tested.happens(client, request);
    unsigned taken = 0;
    while (taken < 10 && client.take(tested.used, org)) {
        ++taken;
    }
    BOOST_TEST(taken == tested.taken);
}

// Guards against limits where the configuration has none: without a rate, or for an organisation
// that was removed, operations need no token.
BOOST_AUTO_TEST_CASE(only_organisations_with_a_rate_need_tokens) {
    quota_client client{rule};
    BOOST_TEST(!client.limits(org));
    client.configure(start, limits());
    BOOST_TEST(client.limits(org));
    BOOST_TEST(!client.take(start, org));
    client.configure(start, limits(0));
    BOOST_TEST(!client.limits(org));
    BOOST_TEST(client.take(start, org));
}

// Guards against a refusal while another owner still has tokens.
BOOST_AUTO_TEST_CASE(all_slots_are_asked_before_a_refusal) {
    quota_client client = configured();
    std::set<quota_slot> asked;
    for (int turn = 0; turn < 3; ++turn) {
        const quota_request request = ask(client, start);
        asked.insert(request.slot);
        client.on_grant(start, refused(request, std::chrono::milliseconds{100 + 50 * turn}));
    }
    BOOST_TEST(asked.size() == slots_per_organisation);
    const quota_client::outcome last = client.ask(start, org, false);
    BOOST_REQUIRE(last.refusal.has_value());
    BOOST_TEST((last.refusal->reason == quota_refusal_reason::exceeded));
    BOOST_TEST(last.refusal->retry_after.count() == 100);
    // The next caller is told the time of the next token.
    BOOST_TEST(client.ask(start, org, true).refusal->retry_after.count() > 100);
}

// Guards against a host that never asks again after refusals.
BOOST_AUTO_TEST_CASE(slots_are_asked_again_after_a_pause) {
    quota_client client = configured();
    for (int turn = 0; turn < 3; ++turn) {
        client.on_grant(start, refused(ask(client, start), 4000ms));
    }
    BOOST_TEST(
        client.ask(start + quota_client::refused_pause_max - 1ms, org, true).refusal.has_value());
    BOOST_TEST(client.ask(start + quota_client::refused_pause_max, org, true).request.has_value());
}

// Guards against one message per operation: a request covers all operations that wait.
BOOST_AUTO_TEST_CASE(one_request_covers_the_operations_that_wait) {
    quota_client client = configured();
    const quota_request first = ask(client, start);
    BOOST_TEST(first.wanted == 1U);
    for (int waiting = 0; waiting < 4; ++waiting) {
        BOOST_TEST(!client.ask(start, org, true).request.has_value());
    }
    client.on_grant(start + 2ms, granted(first, 1));
    BOOST_TEST(client.take(start + 2ms, org));
    BOOST_TEST(ask(client, start + 2ms).wanted >= 4U);
}

// Guards against operations of a busy organisation that each wait for a message: its requests ask
// for the need of the last intervals.
BOOST_AUTO_TEST_CASE(requests_ask_for_the_recent_need) {
    quota_client client = configured();
    core::time_point now = start;
    for (int interval = 0; interval < 8; ++interval, now += 250ms) {
        client.on_grant(now, granted(ask(client, now), 10));
        for (int used = 0; used < 10; ++used) {
            BOOST_TEST(client.take(now, org));
        }
    }
    BOOST_TEST(ask(client, now).wanted == 10U);
    // The need is forgotten once it is over.
    BOOST_TEST(ask(client, now + 10s).wanted == 1U);
}

// Guards against one lost owner that stops an organisation: the others are asked.
BOOST_AUTO_TEST_CASE(an_owner_that_does_not_answer_is_avoided) {
    quota_client client = configured();
    const quota_request first = ask(client, start);
    BOOST_TEST(!client.ask(start + 99ms, org, false).request.has_value());
    const quota_request second = ask(client, start + 100ms);
    BOOST_TEST(second.slot != first.slot);
    client.on_unreachable(start + 101ms, second.number);
    const quota_request third = ask(client, start + 101ms);
    BOOST_TEST(third.slot != first.slot);
    BOOST_TEST(third.slot != second.slot);
    client.on_grant(start + 102ms, granted(third, 1));
    BOOST_TEST(client.take(start + 102ms, org));
}

namespace {

struct floor_case {
    const char* name;
    quota_floor floor;
    /// The owner of one slot answers.
    bool one_owner;
    unsigned taken;

    friend std::ostream& operator<<(std::ostream& output, const floor_case& value) {
        return output << value.name;
    }
};

// The floor of 30 operations per second with a burst of 30: 1.1 x 180 + 20 - 33 - 157.5 = 27.5.
const floor_case floor_cases[] = {
    {"no owner, four hosts", {4, start + 1min}, false, 6},
    {"no owner, more hosts than the floor has operations", {109, start + 1min}, false, 0},
    {"no owner, the number of hosts is not known", {0, start + 1min}, false, 0},
    {"no owner, the registration may have ended", {4, start}, false, 0},
    {"an owner that refuses", {4, start + 1min}, true, 0},
};

} // namespace

// Guards against a floor that is used beside the tokens of an owner, or by hosts that do not count
// each other.
BOOST_DATA_TEST_CASE(hosts_without_any_owner_use_the_floor,
                     boost::unit_test::data::make(floor_cases), tested) {
    quota_client client = configured();
    client.set_floor(tested.floor);
    for (unsigned turn = 0; turn < slots_per_organisation; ++turn) {
        const quota_request request = ask(client, start);
        if (tested.one_owner && turn == 0) {
            client.on_grant(start, refused(request, 300ms));
        } else {
            client.on_unreachable(start, request.number);
        }
    }
    unsigned taken = 0;
    while (taken < 100 && client.take(start, org)) {
        ++taken;
    }
    BOOST_TEST(taken == tested.taken);
    const quota_client::outcome asked = client.ask(start, org, true);
    BOOST_REQUIRE(asked.refusal.has_value());
    BOOST_TEST((asked.refusal->reason == (tested.one_owner ? quota_refusal_reason::exceeded
                                                           : quota_refusal_reason::unreachable)));
    BOOST_TEST(asked.refusal->retry_after.count() > 0);
}

// Guards against a floor that starts afresh in the same window because the organisation was removed
// and added.
BOOST_AUTO_TEST_CASE(the_floor_is_used_once_in_a_window) {
    quota_client client = configured();
    client.set_floor({20, start + 1min});
    const auto lose_owners = [&client](core::time_point now) {
        for (unsigned turn = 0; turn < slots_per_organisation; ++turn) {
            client.on_unreachable(now, ask(client, now).number);
        }
    };
    lose_owners(start);
    BOOST_TEST(client.take(start, org));
    BOOST_TEST(!client.take(start, org));
    client.configure(start + 1s, {});
    client.expire(start + 1s);
    client.configure(start + 2s, limits());
    lose_owners(start + 2s);
    BOOST_TEST(!client.take(start + 2s, org));
    lose_owners(start + 5100ms);
    BOOST_TEST(client.take(start + 5100ms, org));
}

} // namespace lovagemoor::proxy
