#pragma once

#include <lovagemoor/proxy/quota/quota_claims.hpp>
#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/quota/quota_floor.hpp>
#include <lovagemoor/proxy/quota/quota_owner.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::proxy::testing {

using namespace std::chrono_literals;

/// @brief Rules of the quotas that a model can switch off.
struct quota_rules {
    /// Tokens are valid for a short time from the sending of the request.
    bool tokens_expire = true;
    /// An owner grants only while its lease cannot have ended.
    bool owner_checks_lease = true;
    /// A new owner starts with empty buckets.
    bool starts_empty = true;
    /// A slot is only claimed if it is free.
    bool claims_are_conditional = true;
    /// After the registry came back from an older copy, claims wait until former leases have ended.
    bool claims_wait_after_return = true;
    /// The floor is divided between the hosts.
    bool floor_is_divided = true;
    /// A host uses the floor only while its registration cannot have ended.
    bool floor_needs_registration = true;
    /// A host uses the floor only once all others know it.
    bool floor_waits_for_lists = true;
    /// The clock of a host also advances while the host is suspended.
    bool clock_counts_suspension = true;
};

/// @brief Hosts, their link and the registry in simulated time. Messages may be late or lost, hosts
/// may be cut off, suspended, killed and started, and the registry may come back from an older
/// copy.
///
/// Every host attempts operations of one organisation in each step, far above its quota.
class quota_cluster {
public:
    static constexpr core::duration step = 10ms;
    static constexpr std::chrono::milliseconds lease_duration = 2000ms;

    quota_cluster(std::uint32_t seed, quota_settings settings, organisation limits,
                  quota_rules rules, std::size_t hosts)
        : random_{seed}, settings_{settings}, limits_{std::move(limits)}, rules_{rules} {
        for (std::size_t index = 0; index < hosts; ++index) {
            start_host(true);
        }
    }

    struct host {
        core::host_id id;
        std::unique_ptr<quota_client> client;
        std::unique_ptr<quota_owner> owner;
        std::unique_ptr<quota_claims> claims;
        std::unique_ptr<quota_floor_hosts> floor;
        /// Time by which a clock that stops in a suspension is behind.
        core::duration clock_lag{0};
        core::time_point frozen_until;
        core::time_point registry_cut_until;
        core::time_point link_cut_until;
        core::time_point renew_at;
        core::time_point read_at;
        lease_id lease = 0;
        registry_era era = 0;
        double attempts_per_step = 1;
        /// Time by which lists of hosts are behind.
        core::duration list_staleness{0};
    };

    /// @return The host that was started.
    host& start_host(bool known_for_long, const std::optional<core::host_id>& id = std::nullopt) {
        auto added = std::make_unique<host>();
        added->id = id.value_or(core::host_id{"h" + std::to_string(next_host_++)});
        quota_settings client_settings = settings_;
        if (!rules_.tokens_expire) {
            client_settings.grant_validity = 10s;
            // The host still uses all slots of the organisation.
            client_settings.slack += 2 * limits_.rate_per_s * 10;
        }
        added->client = std::make_unique<quota_client>(client_settings);
        added->owner = std::make_unique<quota_owner>(settings_, lease_duration);
        added->claims = std::make_unique<quota_claims>(
            added->id, rules_.claims_wait_after_return ? lease_duration : 0ms);
        added->floor =
            std::make_unique<quota_floor_hosts>(added->id, settings_.window, lease_duration);
        added->era = era_;
        added->read_at = now_;
        host& started = *added;
        hosts_.push_back(std::move(added));
        known_for_long_[started.id] = known_for_long || !rules_.floor_waits_for_lists;
        configure(started);
        return started;
    }

    /// @brief Sets the limit of the organisation. Every host learns of it within a second.
    void set_limits(const organisation& limits) {
        limits_ = limits;
        for (const std::unique_ptr<host>& changed : hosts_) {
            after(random_delay(500ms), [this, id = changed->id] {
                if (host* const found = find(id)) {
                    configure(*found);
                }
            });
        }
    }

    void run_for(core::duration time) {
        const core::time_point end = now_ + time;
        while (now_ < end) {
            now_ += step;
            run_messages();
            for (std::size_t index = 0; index < hosts_.size(); ++index) {
                if (now_ >= hosts_[index]->frozen_until) {
                    run_host(*hosts_[index]);
                }
            }
        }
    }

    /// @brief Injects one of the faults, chosen at random.
    void inject_fault() {
        for (const std::unique_ptr<host>& caller : hosts_) {
            if (!demand_varies) {
                break;
            }
            constexpr double rates[] = {0, 0.05, 1, 3};
            caller->attempts_per_step = rates[pick(std::size(rates))];
        }
        host& hit = *hosts_[pick(hosts_.size())];
        switch (pick(7)) {
        case 0:
            freeze(hit, random_delay(4s));
            break;
        case 1:
            hit.registry_cut_until = now_ + random_delay(5s);
            break;
        case 2:
            hit.link_cut_until = now_ + random_delay(5s);
            break;
        case 3:
            kill(hit.id);
            if (pick(2) == 0) {
                start_host(false);
            }
            break;
        case 4: {
            const core::host_id id = hit.id;
            kill(id);
            start_host(false, id);
            break;
        }
        case 5:
            for (const std::unique_ptr<host>& cut : hosts_) {
                if (pick(2) == 0) {
                    cut->registry_cut_until = now_ + random_delay(3s);
                }
            }
            return_registry();
            break;
        default: {
            const core::time_point until = now_ + random_delay(4s);
            for (const std::unique_ptr<host>& cut : hosts_) {
                cut->registry_cut_until = until;
            }
            break;
        }
        }
    }

    void freeze(host& hit, core::duration time) {
        hit.frozen_until = now_ + time;
        if (!rules_.clock_counts_suspension) {
            hit.clock_lag += time;
        }
    }

    void kill(const core::host_id& id) {
        std::erase_if(hosts_, [&](const auto& known) { return known->id == id; });
        if (hosts_.empty()) {
            start_host(false);
        }
    }

    /// @brief The registry comes back from an older copy: leases and what depends on them are gone.
    void return_registry() {
        ++era_;
        leases_.clear();
        registered_.clear();
        items_.clear();
    }

    /// @return Greatest number of operations in any window that begins at or after the given time.
    [[nodiscard]] std::size_t most_in_a_window(core::time_point from = {}) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < operations_.size(); ++last) {
            while (operations_[first] < from ||
                   operations_[last] - operations_[first] >= settings_.window) {
                ++first;
                if (first > last) {
                    break;
                }
            }
            if (first <= last) {
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    [[nodiscard]] std::size_t operations() const noexcept { return operations_.size(); }

    [[nodiscard]] core::time_point now() const noexcept { return now_; }

    std::mt19937& random() noexcept { return random_; }

    [[nodiscard]] host& host_at(std::size_t index) { return *hosts_.at(index); }

    [[nodiscard]] std::size_t host_count() const noexcept { return hosts_.size(); }

    [[nodiscard]] std::optional<core::host_id> owner_of(quota_slot slot) const {
        const auto found = items_.find(slot);
        return found == items_.end()
                   ? std::nullopt
                   : std::optional<core::host_id>{core::host_id{found->second.value}};
    }

    /// Part of the messages that is lost.
    double loss = 0.02;
    core::duration longest_delay = 60ms;
    /// The demand at each host changes with each fault.
    bool demand_varies = false;

private:
    std::size_t pick(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
    }

    core::duration random_delay(core::duration longest) {
        return core::duration{
            std::uniform_int_distribution<core::duration::rep>{0, longest.count()}(random_)};
    }

    bool lost() { return std::bernoulli_distribution{loss}(random_); }

    void after(core::duration delay, std::function<void()> run) {
        messages_.emplace(std::pair{now_ + delay, ++order_}, std::move(run));
    }

    void run_messages() {
        while (!messages_.empty() && messages_.begin()->first.first <= now_) {
            const std::function<void()> run = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            run();
        }
    }

    host* find(const core::host_id& id) {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                        [&](const auto& known) { return known->id == id; });
        return found == hosts_.end() ? nullptr : found->get();
    }

    /// @brief Runs a function on a host, once the host is no longer suspended.
    void deliver(const core::host_id& id, const host* process, std::function<void(host&)> run) {
        host* const found = find(id);
        if (found == nullptr || found != process) {
            return;
        }
        if (now_ < found->frozen_until) {
            after(found->frozen_until - now_,
                  [this, id, process, run] { deliver(id, process, run); });
            return;
        }
        run(*found);
    }

    core::time_point clock_of(const host& reader) const { return now_ - reader.clock_lag; }

    void configure(host& changed) {
        const std::map<core::organisation_id, organisation> listed{{limits_.id, limits_}};
        changed.client->configure(clock_of(changed), listed);
        changed.owner->configure(rules_.starts_empty ? clock_of(changed) : clock_of(changed) - 1h,
                                 listed);
    }

    void run_host(host& running) {
        const core::time_point time = clock_of(running);
        running.client->expire(time);
        if (time >= running.renew_at) {
            renew(running);
        }
        if (time >= running.read_at) {
            read_registry(running);
        }
        for (const quota_claims::claim& claim : running.claims->next_claims(time)) {
            send_claim(running, claim);
        }
        if (const auto release = running.claims->next_release(time)) {
            update_owned(running);
            send_release(running, *release);
        }
        update_owned(running);
        quota_floor floor = running.floor->floor(time);
        if (!rules_.floor_needs_registration && running.floor->floor(time).hosts == 0 &&
            last_floor_.contains(running.id)) {
            floor = {last_floor_.at(running.id), core::time_point::max()};
        }
        if (floor.hosts > 0) {
            last_floor_[running.id] = floor.hosts;
            if (!rules_.floor_is_divided) {
                floor.hosts = 1;
            }
        }
        running.client->set_floor(rules_.tokens_expire ? floor : quota_floor{});
        attempt_operations(running);
    }

    void attempt_operations(host& running) {
        const core::time_point time = clock_of(running);
        const auto attempts =
            static_cast<unsigned>(running.attempts_per_step) +
            (std::bernoulli_distribution{running.attempts_per_step -
                                         std::floor(running.attempts_per_step)}(random_)
                 ? 1U
                 : 0U);
        for (unsigned attempt = 0; attempt < attempts; ++attempt) {
            if (running.client->take(time, limits_.id)) {
                operations_.push_back(now_);
                continue;
            }
            const quota_client::outcome asked = running.client->ask(time, limits_.id, true);
            if (asked.request.has_value()) {
                send_request(running, *asked.request);
            }
        }
    }

    void send_request(host& from, const quota_request& request) {
        const std::optional<core::host_id> owner = from.claims->owner_of(request.slot);
        const core::host_id asker = from.id;
        const host* const process = &from;
        host* const to = owner.has_value() ? find(*owner) : nullptr;
        if (to == nullptr || lost() || now_ < from.link_cut_until || now_ < to->link_cut_until) {
            if (to == nullptr || pick(2) == 0) {
                static_cast<void>(from.client->on_unreachable(clock_of(from), request.number));
            }
            return;
        }
        after(random_delay(longest_delay), [this, owner, to, asker, process, request] {
            deliver(*owner, to, [this, asker, process, request](host& granting) {
                const quota_owner::answer answer = granting.owner->grant(
                    clock_of(granting), request.organisation, request.slot, request.wanted);
                if (lost()) {
                    return;
                }
                const quota_grant grant{request.number, answer.granted,
                                        rules_.tokens_expire ? settings_.grant_validity
                                                             : std::chrono::milliseconds{10s},
                                        answer.retry_after, answer.not_owner};
                after(random_delay(longest_delay), [this, asker, process, grant] {
                    deliver(asker, process, [this, grant](host& asking) {
                        asking.client->on_grant(clock_of(asking), grant);
                    });
                });
            });
        });
    }

    void update_owned(host& running) {
        const core::time_point time = clock_of(running);
        for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
            const bool owns = running.claims->owns(slot);
            if (owns == running.owner->owns(slot)) {
                continue;
            }
            if (owns) {
                running.owner->acquire(rules_.starts_empty ? time : time - 1h, slot);
            } else {
                running.owner->release(slot);
            }
        }
    }

    void on_era(host& known, registry_era era) {
        if (era <= known.era) {
            return;
        }
        known.era = era;
        known.owner->on_lease_lost();
        known.floor->on_lease_lost();
        known.lease = 0;
        known.renew_at = clock_of(known);
        known.claims->on_era(clock_of(known), era);
        known.claims->on_lease(0);
    }

    /// @brief Calls the registry. The request or its answer may be lost.
    void call_registry(host& from, std::function<void()> execute, std::function<void(host&)> use) {
        const core::host_id id = from.id;
        const host* const process = &from;
        if (lost() || now_ < from.registry_cut_until) {
            return;
        }
        after(random_delay(longest_delay), [this, id, process, execute, use] {
            execute();
            const registry_era era = era_;
            if (lost()) {
                return;
            }
            after(random_delay(longest_delay), [this, id, process, use, era] {
                deliver(id, process, [this, use, era](host& reader) {
                    on_era(reader, era);
                    if (reader.era == era) {
                        use(reader);
                    }
                });
            });
        });
    }

    [[nodiscard]] bool lease_valid(lease_id lease) {
        const auto found = leases_.find(lease);
        return found != leases_.end() && now_ < found->second;
    }

    /// @brief Removes what depends on leases that have ended.
    void expire_leases() {
        std::erase_if(items_,
                      [this](const auto& entry) { return !lease_valid(entry.second.lease); });
        std::erase_if(registered_,
                      [this](const auto& entry) { return !lease_valid(entry.second); });
    }

    void renew(host& renewing) {
        renewing.renew_at = clock_of(renewing) + lease_duration / 3;
        const core::time_point sent = clock_of(renewing);
        const lease_id held = renewing.lease;
        const core::host_id id = renewing.id;
        const registry_era era = renewing.era;
        const auto given = std::make_shared<lease_id>(0);
        call_registry(
            renewing,
            [this, held, id, era, given] {
                expire_leases();
                if (held != 0 && era == era_ && lease_valid(held)) {
                    *given = held;
                } else if (held == 0) {
                    *given = ++last_lease_;
                }
                if (*given != 0) {
                    leases_[*given] = now_ + lease_duration;
                    registered_[id] = *given;
                }
            },
            [this, sent, held, given](host& renewed) {
                if (*given == 0 || renewed.lease != held) {
                    if (renewed.lease == held) {
                        renewed.lease = 0;
                        renewed.owner->on_lease_lost();
                        renewed.floor->on_lease_lost();
                        renewed.claims->on_lease(0);
                        renewed.renew_at = clock_of(renewed);
                    }
                    return;
                }
                renewed.lease = *given;
                renewed.claims->on_lease(*given);
                // Without the rule, a lease once granted counts for good.
                const core::time_point counted = rules_.owner_checks_lease ? sent : sent + 1h;
                renewed.owner->on_lease_renewed(counted);
                renewed.floor->on_lease_renewed(sent);
            });
    }

    void read_registry(host& reader) {
        reader.read_at = clock_of(reader) + 100ms;
        const auto items = std::make_shared<std::vector<registry_item>>();
        const auto hosts = std::make_shared<std::vector<core::host_id>>();
        call_registry(
            reader,
            [this, items, hosts, staleness = reader.list_staleness] {
                expire_leases();
                for (const auto& [slot, item] : items_) {
                    items->push_back(item);
                }
                *hosts = listed_at(now_ - staleness);
            },
            [this, items, hosts](host& informed) {
                const core::time_point time = clock_of(informed);
                informed.claims->on_listed(time, *items);
                informed.claims->on_hosts(*hosts);
                const bool listed =
                    std::find(hosts->begin(), hosts->end(), informed.id) != hosts->end();
                if (listed && std::exchange(known_for_long_[informed.id], false)) {
                    for (core::duration age = 40s; age > 0s; age -= 5s) {
                        informed.floor->on_listed(time - age, *hosts);
                    }
                }
                informed.floor->on_listed(time, *hosts);
            });
    }

    /// @return The hosts that were registered at the given time.
    [[nodiscard]] std::vector<core::host_id> listed_at(core::time_point at) {
        std::vector<core::host_id> now_listed;
        for (const auto& [id, lease] : registered_) {
            now_listed.push_back(id);
        }
        history_.emplace_back(now_, now_listed);
        if (at == now_) {
            return now_listed;
        }
        std::vector<core::host_id> found = history_.front().second;
        for (const auto& [recorded, listed] : history_) {
            if (recorded <= at) {
                found = listed;
            }
        }
        return found;
    }

    void send_claim(host& claiming, const quota_claims::claim& claim) {
        const auto outcome = std::make_shared<write_outcome>();
        const registry_era era = claiming.era;
        const core::host_id id = claiming.id;
        call_registry(
            claiming,
            [this, claim, outcome, era, id] {
                expire_leases();
                const auto held = items_.find(claim.slot);
                const registry_revision revision = held == items_.end() ? 0 : held->second.revision;
                if (!lease_valid(claim.lease) || era != era_) {
                    outcome->status = registry_status::lease_ended;
                } else if (rules_.claims_are_conditional &&
                           revision != claim.call.expected.front().revision) {
                    outcome->status = registry_status::conflict;
                } else {
                    outcome->status = registry_status::done;
                    outcome->revision = ++revision_;
                    items_[claim.slot] = {key_of(claim.slot), id.value, revision_, claim.lease};
                }
            },
            [this, claim, outcome](host& informed) {
                informed.claims->on_written(clock_of(informed), claim, *outcome);
            });
        // The client of the registry reports a call without an answer after its time limit.
        after(800ms, [this, id, process = &claiming, claim, outcome] {
            deliver(id, process, [this, claim, outcome](host& informed) {
                if (outcome->status == registry_status::unknown) {
                    informed.claims->on_written(clock_of(informed), claim, *outcome);
                }
            });
        });
    }

    void send_release(host& releasing, const quota_claims::release& release) {
        const auto outcome = std::make_shared<write_outcome>();
        call_registry(
            releasing,
            [this, release, outcome, era = releasing.era] {
                expire_leases();
                const auto held = items_.find(release.slot);
                if (era == era_ && held != items_.end() &&
                    held->second.revision == release.call.expected.front().revision) {
                    items_.erase(held);
                    outcome->status = registry_status::done;
                } else {
                    outcome->status = registry_status::conflict;
                }
            },
            [release, outcome](host& informed) {
                informed.claims->on_released(release, *outcome);
            });
    }

    std::mt19937 random_;
    quota_settings settings_;
    organisation limits_;
    quota_rules rules_;
    core::time_point now_{std::chrono::hours{2}};
    std::uint64_t order_ = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> messages_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::size_t next_host_ = 0;
    std::map<core::host_id, bool> known_for_long_;
    std::map<core::host_id, std::size_t> last_floor_;
    registry_era era_ = 0;
    std::map<lease_id, core::time_point> leases_;
    std::map<core::host_id, lease_id> registered_;
    std::map<quota_slot, registry_item> items_;
    /// Hosts that were registered, by time.
    std::vector<std::pair<core::time_point, std::vector<core::host_id>>> history_;
    lease_id last_lease_ = 0;
    registry_revision revision_ = 0;
    std::vector<core::time_point> operations_;
};

} // namespace lovagemoor::proxy::testing
