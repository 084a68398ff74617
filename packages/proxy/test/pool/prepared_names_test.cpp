#include <lovagemoor/proxy/pool/prepared_names.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

struct binding_case {
    const char* name;
    /// Shapes that are bound one after the other.
    std::vector<std::string> shapes;
    prepared_limits limits;
    /// Names that the last one evicts.
    std::vector<std::string> evicted;
    std::string last_name;
    bool last_is_new;

    friend std::ostream& operator<<(std::ostream& output, const binding_case& value) {
        return output << value.name;
    }
};

const std::vector<binding_case> bindings{
    {"first use", {"a"}, {2, 100}, {}, "p1", true},
    {"second use", {"a", "a"}, {2, 100}, {}, "p1", false},
    {"limit reached", {"a", "b"}, {2, 100}, {}, "p2", true},
    {"one name too many", {"a", "b", "c"}, {2, 100}, {"p1"}, "p3", true},
    {"the least recently used is evicted", {"a", "b", "a", "c"}, {2, 100}, {"p2"}, "p3", true},
    {"an evicted shape gets a new name", {"a", "b", "c", "a"}, {2, 100}, {"p2"}, "p4", true},
    {"too many bytes", {"aaaa", "bbb", "cccc"}, {9, 8}, {"p1"}, "p3", true},
    {"a shape above the limit is alone", {"a", "b", "ccccccccc"}, {9, 8}, {"p1", "p2"}, "p3", true},
    {"a shape above the limit gives way", {"ccccccccc", "a"}, {9, 8}, {"p1"}, "p2", true},
};

} // namespace

// Guards against names and shapes that grow without a bound at a target and in this host.
BOOST_DATA_TEST_CASE(least_recently_used_names_are_evicted, boost::unit_test::data::make(bindings),
                     sample) {
    prepared_names names;
    prepared_names::binding last;
    for (const std::string& shape : sample.shapes) {
        last = names.bind({true, shape}, sample.limits);
    }
    BOOST_TEST(last.name == sample.last_name);
    BOOST_TEST(last.is_new == sample.last_is_new);
    BOOST_TEST(last.evicted == sample.evicted, boost::test_tools::per_element());
}

// Guards against a name that still stands for another statement at the target.
BOOST_AUTO_TEST_CASE(no_name_is_given_twice) {
    const prepared_limits limits{3, 100};
    prepared_names names;
    std::set<std::string> given;
    for (int index = 0; index < 50; ++index) {
        if (index % 10 == 9) {
            names.clear();
        }
        const prepared_names::binding bound =
            names.bind({index % 2 == 0, std::to_string(index)}, limits);
        BOOST_TEST(bound.is_new);
        BOOST_TEST(given.insert(bound.name).second);
        BOOST_TEST(names.size() <= 3U);
    }
}

} // namespace lovagemoor::proxy
