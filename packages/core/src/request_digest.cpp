#include <lovagemoor/core/request_digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <cstdint>

namespace lovagemoor::core {

namespace internal {

void append_number(std::string& output, std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) {
        output.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

void append_field(std::string& output, std::string_view field) {
    append_number(output, field.size());
    output.append(field);
}

std::string to_hexadecimal(const unsigned char* bytes, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text.push_back(digits[bytes[index] >> 4U]);
        text.push_back(digits[bytes[index] & 0xfU]);
    }
    return text;
}

} // namespace internal

std::string request_digest(const service_id& service, std::string_view shard_key,
                           const statement& request) {
    std::string input;
    internal::append_field(input, service.value);
    internal::append_field(input, shard_key);
    internal::append_field(input, request.sql);
    internal::append_number(input, request.parameters.size());
    for (const sql_value& parameter : request.parameters) {
        // The marker byte distinguishes NULL from the empty string.
        input.push_back(parameter.has_value() ? '\1' : '\0');
        internal::append_field(input, parameter.has_value() ? std::string_view{*parameter}
                                                            : std::string_view{});
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return internal::to_hexadecimal(digest.data(), length);
}

} // namespace lovagemoor::core
