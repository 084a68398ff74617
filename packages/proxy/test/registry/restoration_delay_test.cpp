#include <lovagemoor/proxy/registry/restoration_delay.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace lovagemoor::proxy {

// Guards against a fleet that makes its calls at the same moment after the registry was restored:
// its rate limit would refuse a part of them. 300 hosts are the largest deployment of issue 37.
BOOST_AUTO_TEST_CASE(hosts_spread_their_calls_after_a_restoration) {
    std::array<int, 10> per_tenth{};
    for (int index = 0; index < 300; ++index) {
        const core::host_id host{"front-" + std::to_string(index)};
        const std::chrono::milliseconds delay = restoration_delay(host);
        BOOST_REQUIRE((delay >= std::chrono::milliseconds{0} && delay < restoration_spread));
        BOOST_REQUIRE((delay == restoration_delay(host)));
        ++per_tenth.at(delay * per_tenth.size() / restoration_spread);
    }
    // Twice the mean
    BOOST_TEST(*std::max_element(per_tenth.begin(), per_tenth.end()) <= 60);
}

} // namespace lovagemoor::proxy
