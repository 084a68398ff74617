#pragma once

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <unordered_map>
#include <utility>

namespace lovagemoor::codec::testing {

/// @brief Seed of all property tests. It is fixed so that a failure can be reproduced.
inline constexpr std::uint64_t property_seed = 20'260'401;

/// @brief Checks a property with the fixed seed and reports a counterexample to Boost.Test.
template <typename Property>
void check_property(const std::string& name, Property&& property) {
    rc::detail::TestParams parameters;
    parameters.seed = property_seed;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    // The overloads without these two arguments use RapidCheck's configuration, which prints a
    // different seed.
    rc::detail::TestListenerAdapter listener;
    const std::unordered_map<std::string, rc::detail::Reproduce> no_reproduction;
    const rc::detail::TestResult outcome =
        rc::detail::checkProperty(rc::detail::toProperty(std::forward<Property>(property)),
                                  metadata, parameters, listener, no_reproduction);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    std::cout << name << ": seed " << property_seed << ": " << text.str() << '\n';
    BOOST_TEST(outcome.template is<rc::detail::SuccessResult>(), text.str());
}

} // namespace lovagemoor::codec::testing
