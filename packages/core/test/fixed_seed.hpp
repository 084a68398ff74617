#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

namespace lovagemoor::core {

/// @brief Checks a RapidCheck property with a fixed seed, which is printed.
/// @return True when no example falsifies the property.
template <typename Property>
bool holds_for_seed(const std::string& name, std::uint64_t seed, int examples,
                    Property&& property) {
    std::cout << "property=" << name << " seed=" << seed << " examples=" << examples << '\n';
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = examples;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    if (result.is<rc::detail::SuccessResult>()) {
        return true;
    }
    rc::detail::printResultMessage(result, std::cout);
    std::cout << '\n';
    return false;
}

} // namespace lovagemoor::core
