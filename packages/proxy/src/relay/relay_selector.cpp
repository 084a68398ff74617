#include <lovagemoor/proxy/relay/relay_selector.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

relay_selector::relay_selector(core::host_id host, core::domain_id domain, relay_settings settings)
    : host_{std::move(host)}, domain_{std::move(domain)}, settings_{settings} {}

void relay_selector::on_peers(const std::vector<link_peer>& peers) {
    std::vector<candidate> updated;
    is_relay_ = false;
    const bool linked = std::any_of(peers.begin(), peers.end(),
                                    [this](const link_peer& peer) { return peer.host == host_; });
    if (linked && peers.size() > settings_.threshold) {
        std::vector<core::host_id> asked = relays_for(peers, host_, domain_);
        is_relay_ = asked.empty();
        const std::vector<core::host_id> standbys = standbys_for(peers, host_, domain_);
        asked.insert(asked.end(), standbys.begin(), standbys.end());
        for (const core::host_id& host : asked) {
            const candidate* const known = find(host);
            updated.push_back(known != nullptr ? *known : candidate{host, false, 0, {}});
        }
    }
    candidates_ = std::move(updated);
    is_standby_ = is_standby_ && !candidates_.empty();
}

bool relay_selector::on_asked(core::time_point now) {
    asked_at_ = now;
    return !is_relay_ && !candidates_.empty() && !std::exchange(is_standby_, true);
}

bool relay_selector::end_standby(core::time_point now) {
    return is_standby_ && now - asked_at_ >= settings_.standby_retention &&
           std::exchange(is_standby_, false);
}

bool relay_selector::is_candidate(const core::host_id& host) const {
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&host](const candidate& known) { return known.host == host; });
}

std::optional<core::host_id> relay_selector::relay_for_proof(core::time_point now) const {
    if (is_standby_) {
        return std::nullopt;
    }
    for (const candidate& known : candidates_) {
        if (now >= known.avoided_until) {
            return known.host;
        }
    }
    return std::nullopt;
}

std::optional<core::host_id> relay_selector::relay(core::time_point now) const {
    if (is_standby_) {
        return std::nullopt;
    }
    for (const candidate& known : candidates_) {
        if (known.proved && now >= known.avoided_until) {
            return known.host;
        }
    }
    return std::nullopt;
}

void relay_selector::on_proof(const core::host_id& relay) {
    if (candidate* const known = find(relay)) {
        known->proved = true;
        known->failures = 0;
    }
}

void relay_selector::on_failure(core::time_point now, const core::host_id& relay) {
    candidate* const failed = find(relay);
    if (failed == nullptr) {
        return;
    }
    if (now < failed->avoided_until) {
        // Several calls fail with the relay; together they count once.
        return;
    }
    if (std::exchange(failed->proved, false)) {
        direct_from_ = now + relay_loss_delay(host_);
    }
    const unsigned doublings = std::min(failed->failures, 4U);
    ++failed->failures;
    failed->avoided_until =
        now + std::min(settings_.avoidance * (1U << doublings), settings_.avoidance_max);
}

core::duration relay_selector::direct_delay(core::time_point now) const {
    return std::max(core::duration{0}, core::duration{direct_from_ - now});
}

core::duration relay_selector::document_delay() const {
    if (is_relay() || candidates_.empty()) {
        return core::duration{0};
    }
    const double place = relay_loss_delay(host_) / std::chrono::duration<double>{relay_loss_spread};
    const std::chrono::milliseconds spread =
        settings_.document_delay_max - settings_.document_delay_min;
    return settings_.document_delay_min +
           std::chrono::duration_cast<core::duration>(spread * place);
}

relay_selector::candidate* relay_selector::find(const core::host_id& host) {
    const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                    [&host](const candidate& known) { return known.host == host; });
    return found == candidates_.end() ? nullptr : &*found;
}

} // namespace lovagemoor::proxy
