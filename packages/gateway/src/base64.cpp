#include <lovagemoor/gateway/base64.hpp>

#include <openssl/evp.h>

#include <stdexcept>

namespace lovagemoor::gateway {

std::string encode_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                       reinterpret_cast<const unsigned char*>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decode_base64(const std::string& text) {
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        throw std::invalid_argument{"the text is not valid base64"};
    }
    // EVP_DecodeBlock counts the padding characters as decoded bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace lovagemoor::gateway
