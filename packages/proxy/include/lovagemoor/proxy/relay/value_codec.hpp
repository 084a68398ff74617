#pragma once

#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Names a value that a host has. The digest tells values apart whose revision the registry
/// has given twice, as it may after it came back from an older copy.
struct held_value {
    std::string key;
    registry_revision revision = 0;
    std::uint64_t digest = 0;

    friend bool operator==(const held_value&, const held_value&) = default;
};

enum class value_encoding : std::uint8_t {
    plain,
    /// A zstd frame.
    compressed,
    /// A zstd frame whose prefix is the value of the same key at the base revision.
    difference,
    /// No bytes: the receiver holds the value at the base revision.
    held,
};

/// @brief A value as it travels between hosts.
struct encoded_value {
    value_encoding encoding = value_encoding::plain;
    registry_revision base = 0;
    std::string bytes;
};

/// @brief Encodes large values of the registry for hosts that hold an earlier one.
///
/// A configuration of thousands of routes changes by a few bytes at a time, and network links are
/// small, so that it must not travel whole to each host with each change.
class value_codec {
public:
    /// Smaller values travel as they are. Above it, compression saves more than the bytes that
    /// name the held values.
    static constexpr std::size_t min_encoded_bytes = 4096;
    /// Limit on a decoded value, twice that of the registry.
    static constexpr std::size_t max_value_bytes = std::size_t{2} << 20U;

    /// @brief Notes a value that this host has read. Small values are not kept.
    void keep(const registry_item& item);

    /// @return The large values below a prefix that this host has, newest first for each key.
    [[nodiscard]] std::vector<held_value> held_below(const std::string& prefix) const;

    /// @param held Values that the receiver has.
    [[nodiscard]] encoded_value encode(const registry_item& item,
                                       const std::vector<held_value>& held);

    /// @return Empty if this host does not have the base, or the bytes are not a valid encoding.
    [[nodiscard]] std::optional<std::string> decode(const std::string& key,
                                                    const encoded_value& encoded) const;

    /// @brief Forgets all values, for example because revisions start afresh.
    void clear();

private:
    /// Versions of a key that are kept. A receiver that reads each second then has the base of an
    /// answer also if it asked before the last changes.
    static constexpr std::size_t max_versions = 4;
    /// Encoded values that are kept, as the hosts that ask mostly hold the same version.
    static constexpr std::size_t max_encoded = 4;

    struct version {
        registry_revision revision = 0;
        std::uint64_t digest = 0;
        std::string value;
    };

    struct cached_encoding {
        std::string key;
        registry_revision revision = 0;
        std::uint64_t digest = 0;
        encoded_value encoded;
    };

    [[nodiscard]] const version* find(const std::string& key, registry_revision revision) const;

    /// Oldest first.
    std::map<std::string, std::deque<version>> versions_;
    std::deque<cached_encoding> encoded_;
};

} // namespace lovagemoor::proxy
