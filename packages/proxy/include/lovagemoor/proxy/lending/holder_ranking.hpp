#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Number of hosts that keep the connections to a target. One keeps none if the other is
/// lost, and each further one divides the target's connection limit again.
inline constexpr std::size_t holders_per_target = 2;

/// @brief Whom and for what a host asks for a connection.
struct holder_query {
    core::target_id target;
    /// Failure domain of the target.
    core::domain_id domain;
    /// Region of the target; empty if it is not known.
    std::string region;
    /// Organisation that uses the connection; empty if there are none.
    core::organisation_id organisation;
    /// Host that asks. Spreads the load if there are no organisations.
    core::host_id borrower;
};

/// @brief Orders the hosts from which connections to a target can be borrowed.
///
/// The holders are the first holders_per_target hosts of the target's failure domain by weighted
/// rendezvous hashing, then those of its region, then any. They come first, in an order that
/// depends on the organisation, or else on the borrower. All others follow by rank. The result
/// depends only on the arguments, so that hosts with the same list agree.
/// @return All hosts, best first.
[[nodiscard]] std::vector<core::host_id> rank_holders(const holder_query& query,
                                                      const std::vector<link_peer>& peers);

/// @brief What decides whether a target is used through holders.
struct holder_activation {
    /// Hosts that can be reached over the link; 0 if there is no link or they are not known.
    std::size_t peers = 0;
    /// Some route requires the key of an organisation.
    bool organisations = false;
    /// Connections that the target accepts from all hosts; 0 if unknown.
    unsigned max_connections = 0;
    /// Live hosts; 0 if unknown.
    std::size_t hosts = 0;
};

/// @return True if connections to the target are borrowed: there are too few for all hosts to keep
/// one, or each organisation needs connections of its own.
[[nodiscard]] bool uses_holders(const holder_activation& activation) noexcept;

} // namespace lovagemoor::proxy
