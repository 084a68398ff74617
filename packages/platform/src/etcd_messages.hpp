#pragma once

#include <lovagemoor/core/platform_call.hpp>
#include <lovagemoor/platform/platform_settings.hpp>

#include <etcd.pb.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Conversions between the calls of the core and the messages of etcd. They do not use gRPC.

namespace lovagemoor::platform::internal {

/// @brief Prefixes of the keys of all records.
inline constexpr std::array<std::string_view, 2> record_prefixes{"/lovagemoor/", "/platform/"};

/// @brief All records at one revision of the platform.
struct snapshot {
    std::int64_t revision = 0;
    std::vector<core::platform_record> records;
};

/// @return The first key that follows all keys with the prefix. The last byte of the prefix must
/// not be 0xff.
[[nodiscard]] std::string prefix_end(std::string_view prefix);

[[nodiscard]] etcdserverpb::RangeRequest range_request(const std::string& key);

/// @return A transaction that reads all records at one revision.
[[nodiscard]] etcdserverpb::TxnRequest snapshot_request();

/// @return A transaction that writes the record if its key has the expected revision. Otherwise the
/// transaction reads the key.
/// @param expected_revision Revision of the key's last change, or 0 when the key must not exist.
[[nodiscard]] etcdserverpb::TxnRequest swap_request(const core::platform_record& wanted,
                                                    std::int64_t expected_revision);

/// @return A request to watch all changes of keys with a prefix, starting at a revision.
[[nodiscard]] etcdserverpb::WatchRequest watch_request(std::string_view prefix,
                                                       std::int64_t start_revision);

/// @return The record. When it cannot be decoded, the function reports this to
/// platform_settings::undecodable_record and returns nothing.
[[nodiscard]] std::optional<core::platform_record> decode(const platform_settings& settings,
                                                          const etcdserverpb::KeyValue& value);

/// @return platform_read, or platform_unavailable when the record cannot be decoded.
[[nodiscard]] core::platform_result parse_read_result(const platform_settings& settings,
                                                      const etcdserverpb::RangeResponse& response);

[[nodiscard]] snapshot parse_snapshot(const platform_settings& settings,
                                      const etcdserverpb::TxnResponse& response);

/// @return platform_swapped, or platform_unknown when the current record cannot be decoded.
[[nodiscard]] core::platform_result parse_swap_result(const platform_settings& settings,
                                                      core::platform_record wanted,
                                                      const etcdserverpb::TxnResponse& response);

} // namespace lovagemoor::platform::internal
