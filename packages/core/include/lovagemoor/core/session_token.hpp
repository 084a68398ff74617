#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::core {

/// @brief Positions that a session has written or seen, at most one per group.
struct session_token {
    service_id service;
    std::vector<group_position> positions;
    /// Latest version of the configuration document under which the session was served.
    std::uint64_t configuration_version = 0;

    friend bool operator==(const session_token&, const session_token&) = default;
};

/// @brief Identifies an open transaction and the owner host that runs it.
struct transaction_handle {
    host_id owner;
    incarnation_number owner_incarnation = 0;
    service_id service;
    group_id group;
    target_id target;
    term_number term = 0;
    transaction_id transaction = 0;

    friend bool operator==(const transaction_handle&, const transaction_handle&) = default;
};

enum class token_error : std::uint8_t {
    /// The bytes are not a sealed message of the expected form.
    malformed,
    /// The bytes were not sealed with this key, or were sealed as another kind of token.
    bad_mac,
    /// The token belongs to another service.
    wrong_service,
};

[[nodiscard]] const char* to_string(token_error error) noexcept;

template <typename T>
using token_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, token_error>;

/// @brief Sets the group's position in the token, unless the token has a higher (term, position).
void merge_position(session_token& token, const group_position& shown);

/// @return The group's position; its term is 0 if the session has seen nothing of the group.
[[nodiscard]] group_position position_in(const session_token& token, const group_id& group);

/// @brief Serialises tokens and authenticates them with HMAC-SHA256, so that callers can only pass
/// them back unchanged. Callers must treat tokens as opaque.
class token_sealer {
public:
    /// @param key Secret shared by all hosts.
    explicit token_sealer(std::string key);

    [[nodiscard]] std::string seal(const session_token& token) const;
    [[nodiscard]] std::string seal(const transaction_handle& handle) const;

    /// @param service Service of the request that carries the token.
    [[nodiscard]] token_result<session_token> open_session(std::string_view sealed,
                                                           const service_id& service) const;

    [[nodiscard]] token_result<transaction_handle> open_transaction(std::string_view sealed) const;

    /// @param service Service of the request that carries the handle.
    [[nodiscard]] token_result<transaction_handle>
    open_transaction(std::string_view sealed, const service_id& service) const;

private:
    [[nodiscard]] std::string mac(std::string_view kind, std::string_view payload) const;
    [[nodiscard]] std::string seal_payload(std::string_view kind, std::string payload) const;
    [[nodiscard]] token_result<std::string> open_payload(std::string_view kind,
                                                         std::string_view sealed) const;

    std::string key_;
};

} // namespace lovagemoor::core
