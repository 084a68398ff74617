#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>
#include <lovagemoor/proxy/relay/relay_choice.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

struct relay_settings {
    /// Calls go through relays if more hosts than this are linked.
    std::size_t threshold = relay_threshold;
    /// Maximum age of a relay's proof. Older ones mean that the relay is cut off from the registry.
    std::chrono::milliseconds proof_age_max{1500};
    /// Time limit of a relay's answer, apart from the wait of a watch. It is that of a call to the
    /// registry.
    std::chrono::milliseconds answer_timeout{800};
    /// Time between two proofs. With the interval at which calls are made (100 ms) and the time of
    /// a call, proofs stay younger than 1.2 s.
    std::chrono::milliseconds proof_interval{1000};
    /// Time for which a relay that failed is not asked. It doubles with each further failure.
    std::chrono::milliseconds avoidance{2000};
    std::chrono::milliseconds avoidance_max{16000};
    /// Time after the last request for which a standby serves as a relay. Requesters ask for a
    /// proof each second, and return to a relay that was avoided once at the latest after this
    /// time.
    std::chrono::milliseconds standby_retention{4000};
    /// Size from which a document counts as large: a twentieth of a second of a network link of
    /// 10 Mbit/s, the smallest of the reference deployments.
    std::size_t large_document_bytes = std::size_t{64} * 1024;
    /// Shortest and longest time for which a call that may return a large document waits for a
    /// relay before it goes to the registry. The shortest covers the search for a standby. With a
    /// relay's proof of 1.5 s and the transfer, the longest keeps within 5 s, the bound of the
    /// reference deployments with several regions on a configuration.
    std::chrono::milliseconds document_delay_min{1000};
    std::chrono::milliseconds document_delay_max{2500};
};

/// @brief Decides whether a host makes a call to the registry itself or sends it to a relay.
///
/// A relay is first asked for a proof of the configuration. Other calls go to it once it has given
/// one, so that a relay that does not answer delays no change again and again. While the relays
/// fail, standbys are asked, which serve as relays for as long as they are.
class relay_selector {
public:
    relay_selector(core::host_id host, core::domain_id domain, relay_settings settings = {});

    void on_peers(const std::vector<link_peer>& peers);

    /// @return True if this host answers calls of other hosts: it is a relay or a standby that was
    /// asked lately. It calls the registry itself.
    [[nodiscard]] bool is_relay() const noexcept { return is_relay_ || is_standby_; }

    /// @brief Another host has asked this one.
    /// @return True if this host has become a relay.
    [[nodiscard]] bool on_asked(core::time_point now);

    /// @return True if this host is no relay any more, as no other host has asked it lately.
    [[nodiscard]] bool end_standby(core::time_point now);

    /// @return True if the host is a relay that this host may ask.
    [[nodiscard]] bool is_candidate(const core::host_id& host) const;

    /// @return The relay to ask for a proof. Empty if there is none or all have failed lately.
    [[nodiscard]] std::optional<core::host_id> relay_for_proof(core::time_point now) const;

    /// @return The relay that answers other calls. Empty if the registry must be called.
    [[nodiscard]] std::optional<core::host_id> relay(core::time_point now) const;

    /// @brief A relay gave a proof that is young enough.
    void on_proof(const core::host_id& relay);

    /// @brief A relay was lost, did not answer in time, or has no proof that is young enough.
    void on_failure(core::time_point now, const core::host_id& relay);

    /// @return Time until this host may call the registry itself. The hosts of a lost relay spread
    /// their calls.
    [[nodiscard]] core::duration direct_delay(core::time_point now) const;

    /// @return Time for which a call that may return a large document waits for a relay before it
    /// goes to the registry. Zero if there is no relay to wait for.
    [[nodiscard]] core::duration document_delay() const;

    [[nodiscard]] const relay_settings& settings() const noexcept { return settings_; }

private:
    struct candidate {
        core::host_id host;
        bool proved = false;
        unsigned failures = 0;
        core::time_point avoided_until;
    };

    [[nodiscard]] candidate* find(const core::host_id& host);

    core::host_id host_;
    core::domain_id domain_;
    relay_settings settings_;
    bool is_relay_ = false;
    bool is_standby_ = false;
    core::time_point asked_at_;
    /// Relays and standbys, in order of preference.
    std::vector<candidate> candidates_;
    core::time_point direct_from_;
};

} // namespace lovagemoor::proxy
