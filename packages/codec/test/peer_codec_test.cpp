#include <lovagemoor/codec/peer_codec.hpp>

#include <google/protobuf/stubs/logging.h>
#include <peer.pb.h>

#include "check_property.hpp"
#include "equality.hpp"
#include "generators.hpp"

#include <boost/test/data/test_case.hpp>

#include <iostream>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace codec = lovagemoor::codec;
namespace core = lovagemoor::core;
namespace peer = lovagemoor::peer::v1;
namespace caller = lovagemoor::caller::v1;
using codec::codec_error;

constexpr std::size_t alternative_count = std::variant_size_v<core::peer_message>;

struct rejected_message {
    std::string name;
    std::string bytes;
    codec_error expected;
};

std::ostream& operator<<(std::ostream& out, const rejected_message& sample) {
    return out << sample.name;
}

core::host_record host() {
    return core::host_record{{"h1"}, {"a"}, "tcp://127.0.0.1:1", "", "", false};
}

core::forward_request request() {
    core::forward_request value;
    value.target.value = "t1";
    value.statement.sql = "SELECT count(*) FROM orders";
    return value;
}

core::membership_ping ping() {
    return core::membership_ping{1, {core::member_update{host(), 1, {}, 0}, {}, 0}};
}

/// @brief Encodes a message with a change to its protobuf form that no message of the core can
/// express.
template <typename Change>
std::string encode_changed(const core::peer_message& message, Change change) {
    peer::PeerMessage envelope;
    BOOST_REQUIRE(envelope.ParseFromString(codec::encode_peer_message(message)));
    change(envelope);
    return envelope.SerializeAsString();
}

std::vector<rejected_message> rejected_requests() {
    core::forward_outcome refusal;
    refusal.result = core::refused{};
    const std::string valid = codec::encode_peer_message(request());
    const std::uint64_t eleven_years_us = 11ULL * 365 * 24 * 3600 * 1'000'000;
    return {
        {"empty", "", codec_error::missing_field},
        {"garbage", "\xff\xff\xff\xff", codec_error::malformed},
        {"unknown alternative", "\xfa\x07\x01x", codec_error::missing_field},
        {"truncated", valid.substr(0, valid.size() - 1), codec_error::malformed},
        {"no statement",
         encode_changed(request(), [](auto& m) { m.mutable_forward_request()->clear_statement(); }),
         codec_error::missing_field},
        {"no guard",
         encode_changed(request(), [](auto& m) { m.mutable_forward_request()->clear_guard(); }),
         codec_error::missing_field},
        {"no target",
         encode_changed(request(), [](auto& m) { m.mutable_forward_request()->clear_target(); }),
         codec_error::missing_field},
        {"operation unspecified",
         encode_changed(request(), [](auto& m) { m.mutable_forward_request()->clear_operation(); }),
         codec_error::unknown_enumerator},
        {"operation of a later version",
         encode_changed(request(),
                        [](auto& m) {
                            m.mutable_forward_request()->set_operation(
                                static_cast<peer::Operation>(7));
                        }),
         codec_error::unknown_enumerator},
        {"negative urgency",
         encode_changed(request(),
                        [](auto& m) {
                            m.mutable_forward_request()->set_urgency(
                                static_cast<caller::Urgency>(-1));
                        }),
         codec_error::unknown_enumerator},
        {"remaining time too long",
         encode_changed(request(),
                        [eleven_years_us](auto& m) {
                            m.mutable_forward_request()->set_remaining_us(eleven_years_us);
                        }),
         codec_error::out_of_range},
        {"no batch",
         encode_changed(core::forward_rows{},
                        [](auto& m) { m.mutable_forward_rows()->clear_batch(); }),
         codec_error::missing_field},
        {"no result",
         encode_changed(refusal, [](auto& m) { m.mutable_forward_outcome()->clear_result(); }),
         codec_error::missing_field},
        {"no kind of outcome",
         encode_changed(refusal,
                        [](auto& m) { m.mutable_forward_outcome()->mutable_result()->Clear(); }),
         codec_error::missing_field},
        {"no observation",
         encode_changed(refusal, [](auto& m) { m.mutable_forward_outcome()->clear_observation(); }),
         codec_error::missing_field},
        {"refusal without reason",
         encode_changed(
             refusal,
             [](auto& m) {
                 m.mutable_forward_outcome()->mutable_result()->mutable_refused()->clear_reason();
             }),
         codec_error::unknown_enumerator},
    };
}

std::vector<rejected_message> rejected_control_messages() {
    const core::view_push push{1, {core::platform_record{1, host()}}};
    const core::primary_report report{{"g1"}, {"t1"}, 1, true, {}};
    return {
        {"no gossip",
         encode_changed(ping(), [](auto& m) { m.mutable_membership_ping()->clear_gossip(); }),
         codec_error::missing_field},
        {"no sender",
         encode_changed(
             ping(),
             [](auto& m) { m.mutable_membership_ping()->mutable_gossip()->clear_sender(); }),
         codec_error::missing_field},
        {"sender without host",
         encode_changed(
             ping(),
             [](auto& m) {
                 m.mutable_membership_ping()->mutable_gossip()->mutable_sender()->clear_host();
             }),
         codec_error::missing_field},
        {"update with unknown state",
         encode_changed(ping(),
                        [](auto& m) {
                            auto& gossip = *m.mutable_membership_ping()->mutable_gossip();
                            *gossip.add_updates() = gossip.sender();
                            gossip.mutable_updates(0)->set_state(static_cast<peer::MemberState>(5));
                        }),
         codec_error::unknown_enumerator},
        {"ack without subject",
         codec::encode_peer_message(core::membership_ack{1, {}, ping().gossip}),
         codec_error::missing_field},
        {"record without value",
         encode_changed(push,
                        [](auto& m) { m.mutable_view_push()->mutable_records(0)->clear_host(); }),
         codec_error::missing_field},
        {"revision without key", codec::encode_peer_message(core::view_request{{{"", 1}}}),
         codec_error::missing_field},
        {"report without group",
         encode_changed(report, [](auto& m) { m.mutable_primary_report()->clear_group(); }),
         codec_error::missing_field},
    };
}

/// @return A valid encoding of each type of message. The result is the same in every run.
std::vector<std::string> sample_encodings() {
    constexpr int sample_size = 20;
    std::vector<std::string> samples;
    for (std::size_t alternative = 0; alternative < alternative_count; ++alternative) {
        const rc::Gen<core::peer_message> generator =
            rc::gen::exec([alternative] { return codec::testing::any_peer_message(alternative); });
        const rc::Random random{codec::testing::property_seed + alternative};
        samples.push_back(codec::encode_peer_message(generator(random, sample_size).value()));
    }
    return samples;
}

/// @brief Randomly changes bytes, removes or repeats a range of bytes, or joins the start of one
/// message to the end of another.
std::string mutate(std::string bytes, const std::string& other, std::mt19937_64& random) {
    const auto number_up_to = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>{0, limit}(random);
    };
    switch (number_up_to(3)) {
    case 0:
        for (std::size_t count = number_up_to(4); !bytes.empty() && count > 0; --count) {
            bytes[number_up_to(bytes.size() - 1)] = static_cast<char>(number_up_to(255));
        }
        return bytes;
    case 1:
        return bytes.erase(number_up_to(bytes.size()), number_up_to(8));
    case 2: {
        const std::size_t start = number_up_to(bytes.size());
        return bytes.insert(start, bytes.substr(start, number_up_to(16)));
    }
    default:
        return bytes.substr(0, number_up_to(bytes.size())) +
               other.substr(number_up_to(other.size()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_codec)

// Guards against a field of a message that is omitted or mixed up with another one when the message
// is encoded or decoded.
BOOST_DATA_TEST_CASE(messages_are_equal_after_a_round_trip,
                     boost::unit_test::data::xrange(alternative_count)) {
    codec::testing::check_property("peer message " + std::to_string(sample), [sample] {
        const core::peer_message message = codec::testing::any_peer_message(sample);
        RC_ASSERT(message.index() == sample);
        const codec::result<core::peer_message> decoded =
            codec::decode_peer_message(codec::encode_peer_message(message));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(codec::testing::equal(decoded.value(), message));
    });
}

// Guards against damaged or incomplete messages that reach the core.
BOOST_DATA_TEST_CASE(invalid_messages_are_rejected,
                     boost::unit_test::data::make(rejected_requests()) +
                         boost::unit_test::data::make(rejected_control_messages())) {
    const codec::result<core::peer_message> decoded = codec::decode_peer_message(sample.bytes);
    BOOST_REQUIRE(decoded.has_error());
    BOOST_TEST((decoded.error() == sample.expected), make_error_code(decoded.error()).message());
}

// Guards against a crash on a message that is truncated at any position.
BOOST_DATA_TEST_CASE(truncated_messages_do_not_throw,
                     boost::unit_test::data::make(sample_encodings())) {
    for (std::size_t length = 0; length < sample.size(); ++length) {
        BOOST_CHECK_NO_THROW((void)codec::decode_peer_message(sample.substr(0, length)));
    }
}

// Guards against a crash on damaged input, and against accepting input that does not have the same
// value after it is encoded and decoded again.
BOOST_AUTO_TEST_CASE(mutated_messages_are_rejected_or_valid) {
    constexpr int mutations = 50'000;
    // Protobuf would log every string that is not valid UTF-8.
    const google::protobuf::LogSilencer silencer;
    std::mt19937_64 random{codec::testing::property_seed};
    const std::vector<std::string> samples = sample_encodings();
    std::uniform_int_distribution<std::size_t> any_sample{0, samples.size() - 1};
    int accepted = 0;
    for (int count = 0; count < mutations; ++count) {
        const std::string bytes =
            mutate(samples[any_sample(random)], samples[any_sample(random)], random);
        const codec::result<core::peer_message> decoded = codec::decode_peer_message(bytes);
        if (decoded.has_error()) {
            continue;
        }
        ++accepted;
        const codec::result<core::peer_message> again =
            codec::decode_peer_message(codec::encode_peer_message(decoded.value()));
        BOOST_REQUIRE(again.has_value());
        BOOST_REQUIRE(codec::testing::equal(again.value(), decoded.value()));
    }
    std::cout << "mutated messages: seed " << codec::testing::property_seed << ": " << accepted
              << " of " << mutations << " accepted\n";
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < mutations);
}

// Guards against a negative remaining time, which results from a passed deadline, being decoded as
// a very long one.
BOOST_AUTO_TEST_CASE(durations_are_bounded) {
    core::forward_request value = request();
    value.remaining = core::duration{-5};
    value.guard.max_age = std::chrono::milliseconds::max();
    const codec::result<core::peer_message> decoded =
        codec::decode_peer_message(codec::encode_peer_message(value));
    BOOST_REQUIRE(decoded.has_value());
    const core::forward_request& read = std::get<core::forward_request>(decoded.value());
    BOOST_TEST(read.remaining.count() == 0);
    BOOST_TEST((read.guard.max_age == std::chrono::hours{10 * 365 * 24}));
}

BOOST_AUTO_TEST_SUITE_END()
