#include <lovagemoor/core/request_digest.hpp>
#include <lovagemoor/core/session_token.hpp>

#include "fixed_seed.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <ostream>
#include <random>

namespace lovagemoor::core {

namespace {

const service_id service{"orders"};
const session_token token{
    service, {{group_id{"g"}, 4, 17, target_id{"t1"}}, {group_id{"h"}, 2, 3}}, 9};
const transaction_handle handle{host_id{"h"}, 3, service, group_id{"g"}, target_id{"t"}, 4, 77};

std::string with_flipped_bit(std::string text, std::size_t index) {
    text.at(index) = static_cast<char>(text.at(index) ^ 1);
    return text;
}

struct bad_token {
    const char* name;
    std::string sealed;
    token_error expected;

    friend std::ostream& operator<<(std::ostream& output, const bad_token& value) {
        return output << value.name;
    }
};

const token_sealer sealer{"key"};
const std::string sealed_token = sealer.seal(token);
const std::vector<bad_token> bad_tokens{
    {"empty", "", token_error::malformed},
    {"garbage", "\xff\xff\xff garbage", token_error::malformed},
    {"huge", std::string(70'000, 'x'), token_error::malformed},
    {"cut", sealed_token.substr(0, sealed_token.size() - 5), token_error::malformed},
    {"changed position", with_flipped_bit(sealed_token, 20), token_error::bad_mac},
    {"changed mac", with_flipped_bit(sealed_token, sealed_token.size() - 1), token_error::bad_mac},
    {"other key", token_sealer{"other"}.seal(token), token_error::bad_mac},
    {"handle as token", sealer.seal(handle), token_error::bad_mac},
    {"other service", sealer.seal(session_token{service_id{"rent"}, {}, 1}),
     token_error::wrong_service},
};

struct request_pair {
    const char* name;
    std::string shard;
    statement left;
    std::string other_shard;
    statement right;

    friend std::ostream& operator<<(std::ostream& output, const request_pair& value) {
        return output << value.name;
    }
};

const std::vector<request_pair> similar_requests{
    {"moved boundary of the shard key", "a", {"bc", {}}, "ab", {"c", {}}},
    {"moved boundary of parameters", "a", {"s", {"12", "3"}}, "a", {"s", {"1", "23"}}},
    {"parameter in the text", "a", {"s1", {}}, "a", {"s", {"1"}}},
    {"null and empty", "a", {"s", {std::nullopt}}, "a", {"s", {""}}},
    {"count of empty parameters", "a", {"s", {""}}, "a", {"s", {"", ""}}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(session_token_test)

// Guards against values that are lost or changed when they are sealed and opened again.
BOOST_AUTO_TEST_CASE(sealed_values_round_trip) {
    BOOST_TEST((sealer.open_session(sealed_token, service).assume_value() == token));
    BOOST_TEST((sealer.open_transaction(sealer.seal(handle), service).assume_value() == handle));
    BOOST_TEST((sealer.open_transaction(sealer.seal(handle), service_id{"rent"}).assume_error() ==
                token_error::wrong_service));
}

// Guards against accepting tokens that are damaged, forged or issued for another purpose or
// service.
BOOST_DATA_TEST_CASE(bad_tokens_are_rejected, boost::unit_test::data::make(bad_tokens), bad) {
    const token_result<session_token> opened = sealer.open_session(bad.sealed, service);
    BOOST_REQUIRE(!opened.has_value());
    BOOST_TEST(to_string(opened.assume_error()) == to_string(bad.expected));
}

// Guards against a session that loses its newest position when answers arrive out of order.
BOOST_AUTO_TEST_CASE(merging_keeps_the_highest_position) {
    const bool holds = holds_for_seed("merging_keeps_the_highest_position", 20261204, 300, [] {
        session_token merged;
        std::pair<term_number, log_position> highest{0, 0};
        const auto shown = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 20)));
        for (const auto& [term, position] : shown) {
            const std::pair<term_number, log_position> next{term, position};
            highest = term == 0 ? highest : std::max(highest, next);
            merge_position(merged, {group_id{"g"}, next.first, next.second});
        }
        const group_position held = position_in(merged, group_id{"g"});
        RC_ASSERT((std::pair{held.term, held.position}) == highest);
        RC_ASSERT(merged.positions.size() <= 1U);
    });
    BOOST_TEST(holds);
}

// Guards against accepting a modified token, and against input that crashes the decoder.
BOOST_AUTO_TEST_CASE(mutated_tokens_are_refused) {
    constexpr int mutations = 20'000;
    std::mt19937_64 random{20261204};
    for (int count = 0; count < mutations; ++count) {
        std::string mutated = sealed_token;
        for (std::uint64_t changes = random() % 4 + 1; changes > 0; --changes) {
            mutated.at(random() % mutated.size()) = static_cast<char>(random());
        }
        mutated.resize(random() % 8 == 0 ? random() % mutated.size() : mutated.size());
        if (mutated != sealed_token) {
            BOOST_REQUIRE(!sealer.open_session(mutated, service).has_value());
            BOOST_REQUIRE(!sealer.open_transaction(mutated).has_value());
        }
    }
}

// Guards against two different requests with the same digest, of which one would be taken for a
// retry of the other.
BOOST_DATA_TEST_CASE(similar_requests_differ, boost::unit_test::data::make(similar_requests),
                     pair) {
    const std::string left = request_digest(service, pair.shard, pair.left);
    BOOST_TEST(left != request_digest(service, pair.other_shard, pair.right));
    BOOST_TEST(left == request_digest(service, pair.shard, pair.left));
    BOOST_TEST(left.size() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
