#include <lovagemoor/codec/record_codec.hpp>

#include <lovagemoor/codec/record_messages.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include "field_conversion.hpp"

#include <boost/outcome/try.hpp>

#include <utility>

namespace lovagemoor::codec {

namespace internal {

template <typename Message>
result<core::platform_record> decode_as(std::string_view value, std::int64_t revision) {
    Message message;
    BOOST_OUTCOME_TRY(parse(value, message));
    BOOST_OUTCOME_TRY(decoded, from_message(message));
    return core::platform_record{revision, std::move(decoded)};
}

result<core::platform_record> decode_by_key(std::string_view key, std::string_view value,
                                            std::int64_t revision) {
    if (key == core::configuration_key) {
        return decode_as<records::v1::Configuration>(value, revision);
    }
    if (key.starts_with(core::terms_prefix)) {
        return decode_as<records::v1::TermRecord>(value, revision);
    }
    if (key.starts_with(core::groups_prefix)) {
        return decode_as<records::v1::Group>(value, revision);
    }
    if (key.starts_with(core::hosts_prefix)) {
        return decode_as<records::v1::Host>(value, revision);
    }
    return codec_error::unknown_key;
}

} // namespace internal

std::string encode_record(const core::platform_record& record) {
    return std::visit([](const auto& value) { return to_message(value).SerializeAsString(); },
                      record.value);
}

result<core::platform_record> decode_record(std::string_view key, std::string_view value,
                                            std::int64_t revision) {
    BOOST_OUTCOME_TRY(record, internal::decode_by_key(key, value, revision));
    if (core::record_key(record) != key) {
        return codec_error::key_mismatch;
    }
    return record;
}

} // namespace lovagemoor::codec
