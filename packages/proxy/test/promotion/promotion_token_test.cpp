#include <lovagemoor/proxy/promotion/promotion_token.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

constexpr registry_revision last_revision = promotion_token::revisions_per_era - 1;

struct value_case {
    const char* name;
    std::optional<registry_era> era;
    registry_revision revision;
    /// Empty if there is no token.
    std::optional<std::uint64_t> value;

    friend std::ostream& operator<<(std::ostream& output, const value_case& sample) {
        return output << sample.name;
    }
};

const std::vector<value_case> value_cases{
    {"a registry without eras", std::nullopt, 9, 9},
    {"a registry without eras and any revision", std::nullopt, last_revision + 1,
     last_revision + 1},
    {"the first era", 0, 9, 9},
    {"the second era", 1, 9, 1'099'511'627'785U},
    {"a later era", 2, 9, 2'199'023'255'561U},
    {"the last revision of an era", 1, last_revision, 2'199'023'255'551U},
    {"a revision out of bounds", 2, last_revision + 1, std::nullopt},
    {"the last token of all", promotion_token::last_era, last_revision,
     std::numeric_limits<std::int64_t>::max()},
    {"an era out of bounds", promotion_token::last_era + 1, 9, std::nullopt},
};

struct order_case {
    const char* name;
    promotion_token lower;
    promotion_token higher;

    friend std::ostream& operator<<(std::ostream& output, const order_case& sample) {
        return output << sample.name;
    }
};

const std::vector<order_case> order_cases{
    {"a later lock of an era", *promotion_token::make(3, 8), *promotion_token::make(3, 9)},
    {"the same revision in the next era", *promotion_token::make(1, 9),
     *promotion_token::make(2, 9)},
    {"the same revision in the second era", *promotion_token::make(0, 9),
     *promotion_token::make(1, 9)},
    {"a lower revision in the next era", *promotion_token::make(3, last_revision),
     *promotion_token::make(4, 1)},
    {"no lock", promotion_token{}, *promotion_token::make(1, 1)},
};

} // namespace

// Guards against tokens that change for hosts of earlier builds, and against tokens that overflow
// into those of another era.
BOOST_DATA_TEST_CASE(a_token_is_the_revision_within_its_era,
                     boost::unit_test::data::make(value_cases), sample) {
    const std::optional<promotion_token> token = promotion_token::make(sample.era, sample.revision);
    BOOST_REQUIRE(token.has_value() == sample.value.has_value());
    if (token.has_value()) {
        BOOST_TEST(token->value() == *sample.value);
        BOOST_TEST(token->lock_revision() == sample.revision);
    }
}

// Guards against a token that repeats or falls when the registry gives revisions out again (ONE).
BOOST_DATA_TEST_CASE(tokens_grow_with_the_era, boost::unit_test::data::make(order_cases), sample) {
    BOOST_TEST((sample.lower < sample.higher));
    BOOST_TEST(sample.lower.value() < sample.higher.value());
}

} // namespace lovagemoor::proxy
