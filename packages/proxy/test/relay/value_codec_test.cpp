#include <lovagemoor/proxy/relay/value_codec.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

constexpr const char* key = "p/configuration";

/// @return A document whose routes hardly resemble each other, with the time limit of one of them.
std::string document(std::size_t routes, int timeout_ms) {
    std::string text;
    std::uint32_t state = 1;
    for (std::size_t index = 0; index < routes; ++index) {
        state = state * 1664525U + 1013904223U;
        text += "{\"host\":\"" + std::to_string(state) +
                "\",\"timeout_ms\":" + std::to_string(index == routes / 2 ? timeout_ms : 800) + "}";
    }
    return text;
}

registry_item item(registry_revision revision, std::string value) {
    return {key, std::move(value), revision, 0};
}

struct encoding_case {
    const char* name;
    /// Revisions that the receiver has. The sender has 1 to 3 and sends 3.
    std::vector<registry_revision> held;
    value_encoding encoding;
    /// Part of the document that may travel.
    std::size_t divisor;

    friend std::ostream& operator<<(std::ostream& output, const encoding_case& value) {
        return output << value.name;
    }
};

const std::vector<encoding_case> encoding_cases{
    {"nothing held", {}, value_encoding::compressed, 1},
    {"an earlier version held", {1}, value_encoding::difference, 50},
    {"two earlier versions held", {1, 2}, value_encoding::difference, 50},
    {"the same version held", {2, 3}, value_encoding::held, 50},
    {"a version held that the sender does not have", {9}, value_encoding::compressed, 1},
};

} // namespace

// Guards against a document that travels whole although its receiver has an earlier one (issue 48).
BOOST_DATA_TEST_CASE(a_value_travels_as_the_difference_to_what_its_receiver_holds,
                     boost::unit_test::data::make(encoding_cases), row) {
    value_codec sender;
    value_codec receiver;
    for (registry_revision revision = 1; revision <= 3; ++revision) {
        sender.keep(item(revision, document(3000, static_cast<int>(revision))));
    }
    for (const registry_revision revision : row.held) {
        receiver.keep(item(revision, document(3000, static_cast<int>(revision))));
    }
    const std::string value = document(3000, 3);
    const encoded_value sent = sender.encode(item(3, value), receiver.held_below(key));
    BOOST_TEST((sent.encoding == row.encoding));
    BOOST_TEST(sent.bytes.size() < value.size() / row.divisor);
    BOOST_TEST((receiver.decode(key, sent) == value));
}

// Guards against another value that the registry has given the revision of a held one.
BOOST_AUTO_TEST_CASE(a_value_of_a_repeated_revision_is_not_taken_for_the_held_one) {
    value_codec sender;
    value_codec receiver;
    receiver.keep(item(3, document(1000, 7)));
    const std::string value = document(1000, 8);
    const encoded_value sent = sender.encode(item(3, value), receiver.held_below(key));
    BOOST_TEST((sent.encoding == value_encoding::compressed));
    BOOST_TEST((receiver.decode(key, sent) == value));
}

// Guards against a wrong document after a base was lost or bytes were damaged.
BOOST_AUTO_TEST_CASE(an_encoding_that_cannot_be_decoded_gives_no_value) {
    value_codec sender;
    value_codec receiver;
    receiver.keep(item(1, document(1000, 1)));
    sender.keep(item(1, document(1000, 1)));
    encoded_value sent = sender.encode(item(2, document(1000, 2)), receiver.held_below(key));
    BOOST_TEST((sent.encoding == value_encoding::difference));
    encoded_value damaged = sent;
    damaged.bytes.back() = static_cast<char>(damaged.bytes.back() ^ 1);
    BOOST_TEST(!receiver.decode(key, damaged).has_value());
    damaged.bytes.clear();
    BOOST_TEST(!receiver.decode(key, damaged).has_value());
    receiver.clear();
    BOOST_TEST(!receiver.decode(key, sent).has_value());
    BOOST_TEST(receiver.held_below(key).empty());
}

// Guards against memory that grows with each change of a document.
BOOST_AUTO_TEST_CASE(few_versions_of_a_value_are_kept) {
    value_codec codec;
    for (registry_revision revision = 1; revision <= 20; ++revision) {
        codec.keep(item(revision, document(200, static_cast<int>(revision))));
    }
    codec.keep({"p/small", "x", 21, 0});
    const std::vector<held_value> held = codec.held_below("p/");
    BOOST_TEST(held.size() == 4U);
    BOOST_TEST(held.front().revision == 20U);
}

} // namespace lovagemoor::proxy
