#pragma once

#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// @file
/// @brief Messages between a host and its relay.

namespace lovagemoor::proxy {

/// @brief A call to the registry that a relay answers.
struct relay_request {
    /// Chosen by the requester.
    std::uint64_t number = 0;
    std::variant<list_items, watch_items> call;
    /// The registry's era that the requester knows.
    std::optional<registry_era> era;

    [[nodiscard]] const std::string& prefix() const {
        const list_items* const list = std::get_if<list_items>(&call);
        return list != nullptr ? list->prefix : std::get<watch_items>(call).prefix;
    }
};

enum class relay_refusal : std::uint8_t {
    none,
    /// The relay does not follow the items, or cannot answer this call.
    not_held,
    /// The relay knows an earlier era of the registry than the requester.
    outdated_era,
    /// The relay has no proof that is young enough: it may be cut off from the registry.
    no_proof,
    /// The host is not a relay.
    not_relay,
};

struct relay_answer {
    std::uint64_t number = 0;
    relay_refusal refusal = relay_refusal::none;
    /// The alternative belongs to that of the request's call.
    std::variant<item_page, item_changes> result;
    /// Age of the relay's last proof of the configuration when it answered. For answers about the
    /// configuration, it is the age of the state. In refusals, it is for logs only.
    std::chrono::milliseconds proof_age{0};
};

} // namespace lovagemoor::proxy
