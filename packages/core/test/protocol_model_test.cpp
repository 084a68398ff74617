#include "protocol_model.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::core::model {

namespace {

/// Sanitizers slow the search down by a factor of three to more than ten. Their builds use lower
/// bounds, since what sanitizers can find does not depend on the bounds of the search.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr bool is_sanitized = true;
#else
constexpr bool is_sanitized = false;
#endif
constexpr std::size_t many_writes = is_sanitized ? 2 : 3;
constexpr std::size_t some_writes = is_sanitized ? 1 : 2;

struct model_case {
    const char* name;
    std::function<void(rules&)> edit;
    violation expected;
};

std::ostream& operator<<(std::ostream& out, const model_case& value) {
    return out << value.name;
}

search_result explore(const model_case& sample) {
    rules given;
    given.restarts = is_sanitized ? 0 : 1;
    sample.edit(given);
    search_result result = search{given}.run();
    std::cout << "model=\"" << sample.name << "\" writes=" << given.writes
              << " reads=" << given.reads << " restarts=" << given.restarts
              << " states=" << result.states << " violation=" << to_string(result.found)
              << " trace=";
    for (const std::string& step : result.trace) {
        std::cout << step << ' ';
    }
    std::cout << '\n';
    return result;
}

void use_primary_only(rules& given) {
    given.writes = 2;
    given.position_on_replicas = false;
}

void use_read(rules& given) {
    given.writes = 1;
    given.reads = 1;
}

const std::vector<model_case> full_protocol{
    {"replicated writes", [](rules& given) { given.writes = many_writes; }, violation::none},
    {"primary_only writes",
     [](rules& given) {
         use_primary_only(given);
         given.writes = many_writes;
     },
     violation::none},
    {"replicated writes and a read without restarts",
     [](rules& given) {
         given.writes = some_writes;
         given.reads = 1;
         given.restarts = 0;
     },
     violation::none},
    {"replicated write and a read", use_read, violation::none},
    {"each attestation a step, without restarts",
     [](rules& given) {
         given.writes = some_writes;
         given.restarts = 0;
         given.attestations_are_steps = true;
     },
     violation::none},
};

const std::vector<model_case> weakened_rules{
    {"position without the term",
     [](rules& given) {
         given.compares_term = false;
         given.writes = 3;
     },
     violation::lost_write},
    {"log of any term", [](rules& given) { given.accepted_log = log_rule::any; },
     violation::lost_write},
    {"log below the promise but not below the last entry",
     [](rules& given) { given.accepted_log = log_rule::last_entry; }, violation::none},
    {"attestation whatever the last entry's term",
     [](rules& given) {
         given.attests_last_entry = false;
         given.writes = 3;
     },
     violation::lost_write},
    {"attestation whatever the promise", [](rules& given) { given.attests_promise = false; },
     violation::lost_write},
    {"attestation whatever the promise, primary_only",
     [](rules& given) {
         use_primary_only(given);
         given.attests_promise = false;
     },
     violation::acknowledged_by_replaced_primary},
    {"attestation before the commit", [](rules& given) { given.attests_after_commit = false; },
     violation::none},
    {"attestation before the commit, primary_only",
     [](rules& given) {
         use_primary_only(given);
         given.attests_after_commit = false;
     },
     violation::acknowledged_by_replaced_primary},
    {"attestation before the read",
     [](rules& given) {
         use_read(given);
         given.attests_after_commit = false;
     },
     violation::stale_read},
    {"promotion without a majority", [](rules& given) { given.fences_majority = false; },
     violation::lost_write},
    {"term claimed without a swap", [](rules& given) { given.claims_by_swap = false; },
     violation::two_primaries},
    {"two targets asked in one term", [](rules& given) { given.promotes_one_target = false; },
     violation::two_primaries},
};

} // namespace

BOOST_AUTO_TEST_SUITE(protocol_model_test)

BOOST_DATA_TEST_CASE(full_protocol_is_safe, full_protocol, sample) {
    BOOST_TEST(to_string(explore(sample).found) == to_string(sample.expected));
}

BOOST_DATA_TEST_CASE(violations_of_weakened_rules, weakened_rules, sample) {
    BOOST_TEST(to_string(explore(sample).found) == to_string(sample.expected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core::model
