#include <lovagemoor/codec/record_codec.hpp>

#include <lovagemoor/codec/record_messages.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include "check_property.hpp"
#include "generators.hpp"

#include <boost/test/data/test_case.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace {

namespace codec = lovagemoor::codec;
namespace core = lovagemoor::core;
namespace records = lovagemoor::records::v1;
using codec::codec_error;

struct rejected_value {
    std::string name;
    std::string key;
    std::string value;
    codec_error expected;
};

std::ostream& operator<<(std::ostream& out, const rejected_value& sample) {
    return out << sample.name;
}

records::TermRecord term_message() {
    return codec::to_message(
        core::term_record{{"g1"}, 3, core::term_phase::serving, {"h1"}, {"t1"}, {{1, 0}, {3, 40}}});
}

records::Group group_message() {
    return codec::to_message(
        core::group_record{{"g1"}, {core::target_record{{"t1"}, {"a"}, "127.0.0.1", 5432, false}}});
}

records::Configuration configuration_message() {
    core::configuration value;
    core::service_record& service = value.services.emplace_back();
    service.name.value = "orders";
    service.groups = {{"g1"}};
    return codec::to_message(value);
}

template <typename Message, typename Change>
std::string encode_changed(Message message, Change change) {
    change(message);
    return message.SerializeAsString();
}

std::vector<rejected_value> rejected_values() {
    const std::string term_key = "/lovagemoor/terms/g1";
    const std::string group_key = "/platform/groups/g1";
    const std::string configuration_key = core::configuration_key;
    const std::string term = term_message().SerializeAsString();
    return {
        {"garbage", term_key, "\xff\xff\xff\xff", codec_error::malformed},
        {"truncated", term_key, term.substr(0, term.size() - 1), codec_error::malformed},
        {"empty", term_key, "", codec_error::missing_field},
        {"unknown key", "/elsewhere/g1", term, codec_error::unknown_key},
        {"prefix only", "/lovagemoor/terms/", term, codec_error::key_mismatch},
        {"other group", "/lovagemoor/terms/g2", term, codec_error::key_mismatch},
        {"phase unspecified", term_key,
         encode_changed(term_message(), [](auto& m) { m.clear_phase(); }),
         codec_error::unknown_enumerator},
        {"phase of a later version", term_key,
         encode_changed(term_message(),
                        [](auto& m) { m.set_phase(static_cast<records::TermPhase>(9)); }),
         codec_error::unknown_enumerator},
        {"history descends", term_key,
         encode_changed(term_message(), [](auto& m) { m.mutable_history(1)->set_term(1); }),
         codec_error::out_of_range},
        {"port 0", group_key,
         encode_changed(group_message(), [](auto& m) { m.mutable_targets(0)->set_port(0); }),
         codec_error::out_of_range},
        {"port 65536", group_key,
         encode_changed(group_message(), [](auto& m) { m.mutable_targets(0)->set_port(65'536); }),
         codec_error::out_of_range},
        {"target without id", group_key,
         encode_changed(group_message(), [](auto& m) { m.mutable_targets(0)->clear_id(); }),
         codec_error::missing_field},
        {"service without name", configuration_key,
         encode_changed(configuration_message(),
                        [](auto& m) { m.mutable_services(0)->clear_name(); }),
         codec_error::missing_field},
        {"durability unspecified", configuration_key,
         encode_changed(configuration_message(),
                        [](auto& m) { m.mutable_services(0)->clear_durability(); }),
         codec_error::unknown_enumerator},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_codec)

// Guards against a field of a record that is omitted or mixed up with another one when the record
// is encoded or decoded.
BOOST_AUTO_TEST_CASE(records_are_equal_after_a_round_trip) {
    codec::testing::check_property("record round trip", [] {
        const core::platform_record record = codec::testing::any_record();
        const codec::result<core::platform_record> decoded = codec::decode_record(
            core::record_key(record), codec::encode_record(record), record.revision);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == record);
    });
}

// Guards against accepting a damaged value, or a value of another application, as a record.
BOOST_DATA_TEST_CASE(invalid_values_are_rejected, boost::unit_test::data::make(rejected_values())) {
    const codec::result<core::platform_record> decoded =
        codec::decode_record(sample.key, sample.value, 1);
    BOOST_REQUIRE(decoded.has_error());
    BOOST_TEST((decoded.error() == sample.expected), make_error_code(decoded.error()).message());
}

// Guards against a duration above its field's maximum that wraps around to a short one.
BOOST_AUTO_TEST_CASE(durations_saturate) {
    core::service_record service;
    service.max_staleness = std::chrono::hours{24 * 365};
    BOOST_TEST(codec::to_message(service).max_staleness_ms() == 4'294'967'295U);
    service.max_staleness = std::chrono::milliseconds{-1};
    BOOST_TEST(codec::to_message(service).max_staleness_ms() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
