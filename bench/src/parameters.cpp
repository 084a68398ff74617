#include "parameters.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <istream>
#include <ostream>
#include <sstream>

namespace lovagemoor::bench {

parameters::parameters(std::istream& input, const std::vector<std::string>& overrides) {
    try {
        boost::property_tree::read_ini(input, values_);
    } catch (const boost::property_tree::ini_parser_error& error) {
        throw parameter_error{error.what()};
    }
    for (const std::string& text : overrides) {
        const std::size_t separator = text.find('=');
        const std::string key = text.substr(0, separator);
        if (separator == std::string::npos || values_.find(key) == values_.not_found()) {
            throw parameter_error{"unknown parameter " + text};
        }
        values_.put(key, text.substr(separator + 1));
    }
}

std::chrono::microseconds parameters::milliseconds(const std::string& key) const {
    const std::chrono::duration<double, std::milli> value{get<double>(key)};
    return std::chrono::round<std::chrono::microseconds>(value);
}

std::vector<std::string> parameters::list(const std::string& key) const {
    std::vector<std::string> result;
    std::istringstream text{get<std::string>(key)};
    std::string item;
    while (std::getline(text, item, ',')) {
        result.push_back(item);
    }
    return result;
}

void parameters::print(std::ostream& output) const {
    for (const auto& [key, value] : values_) {
        output << "param." << key << '=' << value.data() << '\n';
    }
}

} // namespace lovagemoor::bench
