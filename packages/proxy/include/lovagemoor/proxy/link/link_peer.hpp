#pragma once

#include <lovagemoor/core/ids.hpp>

#include <string>

namespace lovagemoor::proxy {

/// @brief A host that other hosts can reach over the link.
struct link_peer {
    core::host_id host;
    core::domain_id domain;
    /// Empty if the deployment does not name regions.
    std::string region;
    /// Share of the work that the host takes, relative to other hosts: its share of a core.
    double weight = 1;
    /// Address of its link, as ip:port.
    std::string address;

    friend bool operator==(const link_peer&, const link_peer&) = default;
};

} // namespace lovagemoor::proxy
