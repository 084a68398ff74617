#include "etcd_messages.hpp"

#include <lovagemoor/codec/record_codec.hpp>
#include <lovagemoor/core/cluster_view.hpp>

#include <utility>

namespace lovagemoor::platform::internal {

std::string prefix_end(std::string_view prefix) {
    std::string end(prefix);
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1U);
    return end;
}

etcdserverpb::RangeRequest range_request(const std::string& key) {
    etcdserverpb::RangeRequest request;
    request.set_key(key);
    return request;
}

etcdserverpb::TxnRequest snapshot_request() {
    etcdserverpb::TxnRequest request;
    for (const std::string_view prefix : record_prefixes) {
        etcdserverpb::RangeRequest& range = *request.add_success()->mutable_request_range();
        range.set_key(std::string(prefix));
        range.set_range_end(prefix_end(prefix));
    }
    return request;
}

etcdserverpb::TxnRequest swap_request(const core::platform_record& wanted,
                                      std::int64_t expected_revision) {
    const std::string key = core::record_key(wanted);
    etcdserverpb::TxnRequest request;
    etcdserverpb::Compare& compare = *request.add_compare();
    compare.set_key(key);
    compare.set_target(etcdserverpb::Compare::MOD);
    compare.set_result(etcdserverpb::Compare::EQUAL);
    compare.set_mod_revision(expected_revision);
    etcdserverpb::PutRequest& put = *request.add_success()->mutable_request_put();
    put.set_key(key);
    put.set_value(codec::encode_record(wanted));
    *request.add_failure()->mutable_request_range() = range_request(key);
    return request;
}

etcdserverpb::WatchRequest watch_request(std::string_view prefix, std::int64_t start_revision) {
    etcdserverpb::WatchRequest request;
    etcdserverpb::WatchCreateRequest& create = *request.mutable_create_request();
    create.set_key(std::string(prefix));
    create.set_range_end(prefix_end(prefix));
    create.set_start_revision(start_revision);
    return request;
}

std::optional<core::platform_record> decode(const platform_settings& settings,
                                            const etcdserverpb::KeyValue& value) {
    auto record = codec::decode_record(value.key(), value.value(), value.mod_revision());
    if (!record) {
        if (settings.undecodable_record) {
            settings.undecodable_record(value.key(), codec::make_error_code(record.error()));
        }
        return std::nullopt;
    }
    return std::move(record).value();
}

core::platform_result parse_read_result(const platform_settings& settings,
                                        const etcdserverpb::RangeResponse& response) {
    if (response.kvs().empty()) {
        return core::platform_read{};
    }
    std::optional<core::platform_record> record = decode(settings, response.kvs(0));
    if (!record) {
        return core::platform_unavailable{};
    }
    return core::platform_read{std::move(record)};
}

snapshot parse_snapshot(const platform_settings& settings,
                        const etcdserverpb::TxnResponse& response) {
    snapshot result;
    result.revision = response.header().revision();
    for (const etcdserverpb::ResponseOp& part : response.responses()) {
        for (const etcdserverpb::KeyValue& value : part.response_range().kvs()) {
            if (std::optional<core::platform_record> record = decode(settings, value)) {
                result.records.push_back(std::move(*record));
            }
        }
    }
    return result;
}

core::platform_result parse_swap_result(const platform_settings& settings,
                                        core::platform_record wanted,
                                        const etcdserverpb::TxnResponse& response) {
    if (response.succeeded()) {
        wanted.revision = response.header().revision();
        return core::platform_swapped{true, std::move(wanted)};
    }
    if (response.responses().empty() || response.responses(0).response_range().kvs().empty()) {
        return core::platform_swapped{false, std::nullopt};
    }
    std::optional<core::platform_record> current =
        decode(settings, response.responses(0).response_range().kvs(0));
    if (!current) {
        return core::platform_unknown{};
    }
    return core::platform_swapped{false, std::move(current)};
}

} // namespace lovagemoor::platform::internal
