#include <lovagemoor/proxy/relay/value_codec.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace lovagemoor::proxy {

namespace internal {

namespace {

constexpr int compression_level = 3;

/// Limits of the logarithm of the window, which must span the prefix and the value: that of the
/// smallest window of zstd, and twice the largest value.
constexpr int min_window_log = 10;
constexpr int max_window_log = 22;

std::uint64_t digest_of(const std::string& value) {
    return XXH3_64bits(value.data(), value.size());
}

/// @param prefix Empty for none.
/// @return Empty if zstd fails, for example for lack of memory.
std::optional<std::string> compress(const std::string& value, const std::string& prefix) {
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context{ZSTD_createCCtx(),
                                                                       &ZSTD_freeCCtx};
    if (context == nullptr) {
        return std::nullopt;
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!prefix.empty()) {
        const int log = static_cast<int>(std::bit_width(value.size() + prefix.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                               std::clamp(log, min_window_log, max_window_log));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    }
    std::string compressed(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(),
                                            value.data(), value.size());
    if (ZSTD_isError(size) != 0) {
        return std::nullopt;
    }
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

std::optional<std::string> decompress(const std::string& compressed, const std::string& prefix) {
    const unsigned long long size = // NOLINT(google-runtime-int)
        ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    // The results that stand for an unknown size and an error are larger than the limit.
    if (size > value_codec::max_value_bytes) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context{ZSTD_createDCtx(),
                                                                       &ZSTD_freeDCtx};
    if (context == nullptr) {
        return std::nullopt;
    }
    if (!prefix.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    }
    std::string value(static_cast<std::size_t>(size), '\0');
    const std::size_t decoded = ZSTD_decompressDCtx(context.get(), value.data(), value.size(),
                                                    compressed.data(), compressed.size());
    if (ZSTD_isError(decoded) != 0 || decoded != value.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

} // namespace internal

const value_codec::version* value_codec::find(const std::string& key,
                                              registry_revision revision) const {
    const auto known = versions_.find(key);
    if (known == versions_.end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(known->second.begin(), known->second.end(),
                     [revision](const version& kept) { return kept.revision == revision; });
    return found == known->second.end() ? nullptr : &*found;
}

void value_codec::keep(const registry_item& item) {
    if (item.value.size() < min_encoded_bytes || find(item.key, item.revision) != nullptr) {
        return;
    }
    std::deque<version>& kept = versions_[item.key];
    const auto newer = std::find_if(kept.begin(), kept.end(), [&item](const version& known) {
        return known.revision > item.revision;
    });
    kept.insert(newer, {item.revision, internal::digest_of(item.value), item.value});
    if (kept.size() > max_versions) {
        kept.pop_front();
    }
}

std::vector<held_value> value_codec::held_below(const std::string& prefix) const {
    std::vector<held_value> held;
    for (auto known = versions_.lower_bound(prefix);
         known != versions_.end() && known->first.starts_with(prefix); ++known) {
        for (auto kept = known->second.rbegin(); kept != known->second.rend(); ++kept) {
            held.push_back({known->first, kept->revision, kept->digest});
        }
    }
    return held;
}

encoded_value value_codec::encode(const registry_item& item, const std::vector<held_value>& held) {
    if (item.value.size() < min_encoded_bytes) {
        return {value_encoding::plain, 0, item.value};
    }
    keep(item);
    const std::uint64_t digest = internal::digest_of(item.value);
    if (std::find(held.begin(), held.end(), held_value{item.key, item.revision, digest}) !=
        held.end()) {
        return {value_encoding::held, item.revision, {}};
    }
    const version* base = nullptr;
    for (const held_value& known : held) {
        const version* const kept =
            known.key == item.key ? find(item.key, known.revision) : nullptr;
        if (kept != nullptr && kept->digest == known.digest &&
            (base == nullptr || kept->revision > base->revision)) {
            base = kept;
        }
    }
    const registry_revision base_revision = base == nullptr ? 0 : base->revision;
    const auto cached =
        std::find_if(encoded_.begin(), encoded_.end(), [&](const cached_encoding& known) {
            return known.key == item.key && known.revision == item.revision &&
                   known.digest == digest && known.encoded.base == base_revision;
        });
    if (cached != encoded_.end()) {
        return cached->encoded;
    }
    std::optional<std::string> compressed =
        internal::compress(item.value, base == nullptr ? std::string{} : base->value);
    if (!compressed.has_value()) {
        return {value_encoding::plain, 0, item.value};
    }
    const value_encoding encoding =
        base == nullptr ? value_encoding::compressed : value_encoding::difference;
    encoded_.push_back(
        {item.key, item.revision, digest, {encoding, base_revision, std::move(*compressed)}});
    if (encoded_.size() > max_encoded) {
        encoded_.pop_front();
    }
    return encoded_.back().encoded;
}

std::optional<std::string> value_codec::decode(const std::string& key,
                                               const encoded_value& encoded) const {
    switch (encoded.encoding) {
    case value_encoding::plain:
        return encoded.bytes;
    case value_encoding::compressed:
        return internal::decompress(encoded.bytes, {});
    case value_encoding::difference:
    case value_encoding::held:
        break;
    }
    const version* const base = find(key, encoded.base);
    if (base == nullptr) {
        return std::nullopt;
    }
    return encoded.encoding == value_encoding::held
               ? std::optional<std::string>{base->value}
               : internal::decompress(encoded.bytes, base->value);
}

void value_codec::clear() {
    versions_.clear();
    encoded_.clear();
}

} // namespace lovagemoor::proxy
