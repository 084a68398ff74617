#include <lovagemoor/core/session_token.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <session.pb.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Kinds of token. The kind is part of the authenticated bytes, so that a transaction handle is
/// never accepted as a session token.
constexpr std::string_view session_kind = "session";
constexpr std::string_view transaction_kind = "transaction";
/// Longer input is rejected unparsed. A token of 256 groups with long names is smaller.
constexpr std::size_t max_sealed_bytes = 65'536;

} // namespace internal

const char* to_string(token_error error) noexcept {
    switch (error) {
    case token_error::malformed:
        return "malformed";
    case token_error::bad_mac:
        return "bad_mac";
    case token_error::wrong_service:
        return "wrong_service";
    }
    return "invalid";
}

void merge_position(session_token& token, const group_position& shown) {
    if (shown.term == 0) {
        return;
    }
    for (group_position& held : token.positions) {
        if (held.group == shown.group) {
            const std::pair before{held.term, held.position};
            const std::pair after{shown.term, shown.position};
            if (after > before || (after == before && !shown.holder.empty())) {
                held = shown;
            }
            return;
        }
    }
    token.positions.push_back(shown);
}

group_position position_in(const session_token& token, const group_id& group) {
    for (const group_position& held : token.positions) {
        if (held.group == group) {
            return held;
        }
    }
    return group_position{group, 0, 0};
}

token_sealer::token_sealer(std::string key) : key_{std::move(key)} {}

std::string token_sealer::mac(std::string_view kind, std::string_view payload) const {
    std::string input{kind};
    input.push_back('\0');
    input.append(payload);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(),
         &length);
    return {digest.begin(), digest.begin() + length};
}

std::string token_sealer::seal_payload(std::string_view kind, std::string payload) const {
    session::v1::Sealed sealed;
    sealed.set_mac(mac(kind, payload));
    sealed.set_payload(std::move(payload));
    return sealed.SerializeAsString();
}

token_result<std::string> token_sealer::open_payload(std::string_view kind,
                                                     std::string_view sealed) const {
    session::v1::Sealed message;
    if (sealed.empty() || sealed.size() > internal::max_sealed_bytes ||
        !message.ParseFromArray(sealed.data(), static_cast<int>(sealed.size()))) {
        return token_error::malformed;
    }
    const std::string expected = mac(kind, message.payload());
    if (message.mac().size() != expected.size() ||
        CRYPTO_memcmp(message.mac().data(), expected.data(), expected.size()) != 0) {
        return token_error::bad_mac;
    }
    return std::move(*message.mutable_payload());
}

std::string token_sealer::seal(const session_token& token) const {
    session::v1::SessionToken message;
    message.set_service(token.service.value);
    message.set_configuration_version(token.configuration_version);
    for (const group_position& position : token.positions) {
        session::v1::GroupPosition& entry = *message.add_positions();
        entry.set_group(position.group.value);
        entry.set_term(position.term);
        entry.set_position(position.position);
        entry.set_holder(position.holder.value);
    }
    return seal_payload(internal::session_kind, message.SerializeAsString());
}

std::string token_sealer::seal(const transaction_handle& handle) const {
    session::v1::TransactionHandle message;
    message.set_owner(handle.owner.value);
    message.set_owner_incarnation(handle.owner_incarnation);
    message.set_service(handle.service.value);
    message.set_group(handle.group.value);
    message.set_target(handle.target.value);
    message.set_term(handle.term);
    message.set_transaction_id(handle.transaction);
    return seal_payload(internal::transaction_kind, message.SerializeAsString());
}

token_result<session_token> token_sealer::open_session(std::string_view sealed,
                                                       const service_id& service) const {
    const token_result<std::string> payload = open_payload(internal::session_kind, sealed);
    if (!payload.has_value()) {
        return payload.assume_error();
    }
    session::v1::SessionToken message;
    if (!message.ParseFromString(payload.assume_value())) {
        return token_error::malformed;
    }
    if (message.service() != service.value) {
        return token_error::wrong_service;
    }
    session_token token{service, {}, message.configuration_version()};
    for (const session::v1::GroupPosition& entry : message.positions()) {
        merge_position(token, {group_id{entry.group()}, entry.term(), entry.position(),
                               target_id{entry.holder()}});
    }
    return token;
}

token_result<transaction_handle> token_sealer::open_transaction(std::string_view sealed) const {
    const token_result<std::string> payload = open_payload(internal::transaction_kind, sealed);
    if (!payload.has_value()) {
        return payload.assume_error();
    }
    session::v1::TransactionHandle message;
    if (!message.ParseFromString(payload.assume_value())) {
        return token_error::malformed;
    }
    return transaction_handle{host_id{message.owner()},      message.owner_incarnation(),
                              service_id{message.service()}, group_id{message.group()},
                              target_id{message.target()},   message.term(),
                              message.transaction_id()};
}

token_result<transaction_handle> token_sealer::open_transaction(std::string_view sealed,
                                                                const service_id& service) const {
    token_result<transaction_handle> handle = open_transaction(sealed);
    if (handle.has_value() && handle.assume_value().service != service) {
        return token_error::wrong_service;
    }
    return handle;
}

} // namespace lovagemoor::core
