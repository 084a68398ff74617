#include <lovagemoor/gateway/address.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::gateway {

namespace {

struct address_case {
    std::string text;
    /// The address in the notation of Boost.Asio; empty if the text is refused.
    std::string expected;

    friend std::ostream& operator<<(std::ostream& output, const address_case& value) {
        return output << value.text;
    }
};

const std::vector<address_case> addresses{
    {"127.0.0.1:80", "127.0.0.1:80"},
    {"[::1]:80", "[::1]:80"},
    {"[::1:80", ""},
    {"::1]:80", ""},
    {"[127.0.0.1]:80", ""},
    {"[]:80", ""},
    {"[:80", ""},
    {"127.0.0.1", ""},
    {"127.0.0.1:", ""},
    {"127.0.0.1:65536", ""},
    {"127.0.0.1:-1", ""},
    {"127.0.0.1:80 ", ""},
    {"127.0.0.1:80\r\n", ""},
    {" 127.0.0.1:80", ""},
    {"localhost:80", ""},
    {"", ""},
    {":", ""},
};

} // namespace

// Guards against addresses that the settings accept and a host cannot use: it ended at its start
// with "[::1]:80".
BOOST_DATA_TEST_CASE(addresses_are_decoded_or_refused, boost::unit_test::data::make(addresses),
                     sample) {
    std::string actual;
    try {
        const boost::asio::ip::tcp::endpoint endpoint = parse_endpoint(sample.text);
        const std::string ip = endpoint.address().to_string();
        actual = (endpoint.address().is_v6() ? "[" + ip + "]" : ip) + ":" +
                 std::to_string(endpoint.port());
    } catch (const boost::system::system_error&) {
        actual.clear();
    }
    BOOST_TEST(actual == sample.expected);
}

} // namespace lovagemoor::gateway
