#pragma once

#include <boost/property_tree/ptree.hpp>

#include <chrono>
#include <iosfwd>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovagemoor::bench {

/// @brief A parameter is missing, is unknown or has a value of the wrong type.
class parameter_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// @brief Parameters of one experiment, read from its INI file and the command line.
class parameters {
public:
    /// @param input Parameters as INI text without sections.
    /// @param overrides Assignments of the form key=value. Each key must exist in the INI text.
    /// @throws parameter_error for text that cannot be parsed and for an unknown key.
    parameters(std::istream& input, const std::vector<std::string>& overrides);

    /// @throws parameter_error when the key is missing or its value does not have the type.
    template <typename Value>
    [[nodiscard]] Value get(const std::string& key) const {
        const boost::optional<Value> value = values_.get_optional<Value>(key);
        if (!value) {
            throw parameter_error{"parameter " + key + " is missing or has a wrong type"};
        }
        return *value;
    }

    /// @return The value of a key in milliseconds, which may have a fraction.
    [[nodiscard]] std::chrono::microseconds milliseconds(const std::string& key) const;

    /// @return The value of a key as a list of texts separated by commas.
    [[nodiscard]] std::vector<std::string> list(const std::string& key) const;

    /// @brief Writes all parameters as lines param.KEY=VALUE.
    void print(std::ostream& output) const;

private:
    boost::property_tree::ptree values_;
};

} // namespace lovagemoor::bench
