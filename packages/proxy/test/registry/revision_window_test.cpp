#include <lovagemoor/proxy/registry/revision_window.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};

} // namespace

// Guards against taking a list for recent that is older than the window.
BOOST_AUTO_TEST_CASE(the_oldest_revision_of_the_window_is_returned) {
    revision_window window;
    BOOST_TEST(!window.oldest(start).has_value());
    window.note(start, 5);
    window.note(start + 500ms, 8);
    BOOST_TEST((window.oldest(start + 1s) == std::optional<registry_revision>{5}));
    BOOST_TEST((window.oldest(start + 1400ms) == std::optional<registry_revision>{8}));
    BOOST_TEST(!window.oldest(start + 2s).has_value());
}

} // namespace lovagemoor::proxy
