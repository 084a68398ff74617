#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/records.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::core {

/// @brief What this host knows of a target, and since when.
struct observed_target {
    target_observation observation;
    time_point sampled_at;
};

/// @brief Where a session's position stands in the present term of its group.
enum class position_validity : std::uint8_t {
    /// The position is part of the present term's history.
    valid,
    /// The session has seen writes that did not survive a change of primary.
    diverged,
    /// The session has seen a later term than this host knows.
    ahead,
};

/// @brief This host's copy of the platform's records, the members and the targets' state.
///
/// Only the control path changes it; the request path reads it and adds observations.
class cluster_view {
public:
    cluster_view(host_record self, incarnation_number incarnation);

    [[nodiscard]] const host_record& self() const noexcept { return self_; }

    [[nodiscard]] incarnation_number incarnation() const noexcept { return incarnation_; }

    /// @brief Raises this host's incarnation to refute a report of its failure.
    void set_incarnation(incarnation_number value) noexcept { incarnation_ = value; }

    /// @brief Marks this host as leaving: it owns no targets from now on.
    void set_leaving() noexcept;

    /// @return A number that grows whenever a record or the set of live hosts changes.
    [[nodiscard]] std::uint64_t generation() const noexcept { return generation_; }

    [[nodiscard]] const configuration& current_configuration() const noexcept;
    [[nodiscard]] const service_record* find_service(const service_id& name) const noexcept;
    [[nodiscard]] const group_record* find_group(const group_id& group) const noexcept;
    [[nodiscard]] const term_record* find_term(const group_id& group) const noexcept;
    [[nodiscard]] const target_record* find_target(const target_id& target) const noexcept;

    /// @return The group that lists the target, or null.
    [[nodiscard]] const group_record* group_of(const target_id& target) const noexcept;

    /// @return The service that lists the group, or null.
    [[nodiscard]] const service_record* service_of(const group_id& group) const noexcept;

    /// @return The serving primary of the group, or null during an election or when unknown.
    [[nodiscard]] const target_record* primary_of(const group_id& group) const noexcept;

    /// @return The revision of a record, 0 when it is not held.
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const noexcept;

    [[nodiscard]] const std::map<group_id, group_record>& groups() const noexcept {
        return groups_;
    }

    [[nodiscard]] const std::map<group_id, term_record>& terms() const noexcept { return terms_; }

    /// @brief Hosts as the platform lists them; the list lags behind the actual state.
    [[nodiscard]] const std::map<host_id, host_record>& listed_hosts() const noexcept {
        return listed_hosts_;
    }

    /// @brief Applies a record if its revision (and, for a configuration, its version) is higher.
    /// @return True when the record was applied.
    bool apply(const platform_record& record);

    /// @return All records held, for gossip.
    [[nodiscard]] std::vector<platform_record> records() const;

    /// @return XXH3 over the (key, revision) pairs of all records, in key order.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    /// @brief Known hosts except this one.
    [[nodiscard]] const std::map<host_id, member_update>& members() const noexcept {
        return members_;
    }

    [[nodiscard]] const member_update* find_member(const host_id& host) const noexcept;

    /// @brief Stores a member's state; the caller has checked its incarnation.
    void set_member(const member_update& update);

    void remove_member(const host_id& host);

    /// @return Hosts of the domain that may own targets, this one included: alive or suspect.
    /// The reference is valid until the next change of generation.
    [[nodiscard]] const std::vector<host_id>& live_hosts(const domain_id& domain) const;

    /// @return All hosts that may own targets, this one included.
    [[nodiscard]] std::vector<host_id> live_hosts() const;

    /// @brief Owner of a target: the first by rendezvous hashing of the live hosts of the target's
    /// failure domain, else of all live hosts.
    [[nodiscard]] std::optional<host_id> owner_of(const target_id& target) const;

    /// @return Hosts that observe the group's primary: the owners of its targets, filled up to
    /// `count` by rendezvous hashing on the group. Without duplicates.
    [[nodiscard]] std::vector<host_id> observers_of(const group_id& group, std::size_t count) const;

    /// @return The ZeroMQ endpoint of a host, empty when unknown.
    [[nodiscard]] std::string peer_address(const host_id& host) const;

    /// @brief Stores the latest observation of a target.
    void observe(time_point now, const target_observation& observation);

    [[nodiscard]] const observed_target* find_observation(const target_id& target) const noexcept;

    /// @brief Checks a session's position against the term history of its group.
    [[nodiscard]] position_validity check_position(const group_position& shown) const noexcept;

private:
    [[nodiscard]] std::optional<host_id> find_owner(const target_id& target) const;
    void change_generation() noexcept;
    bool apply_configuration(const configuration& value);
    void update_digest();

    host_record self_;
    incarnation_number incarnation_;
    configuration configuration_;
    std::map<group_id, group_record> groups_;
    std::map<group_id, term_record> terms_;
    std::map<target_id, group_id> group_of_target_;
    std::map<host_id, host_record> listed_hosts_;
    std::map<std::string, std::int64_t> revisions_;
    std::uint64_t digest_ = 0;
    std::map<host_id, member_update> members_;
    std::map<target_id, observed_target> observations_;
    std::uint64_t generation_ = 0;
    /// Owners computed since the last change of generation; ranking all hosts for each request
    /// would cost time in proportion to the fleet.
    mutable std::map<target_id, std::optional<host_id>> owners_;
    /// Live hosts per failure domain, for the same reason.
    mutable std::map<domain_id, std::vector<host_id>> live_hosts_;
};

/// @brief Keys of the platform's records.
/// @{
inline constexpr const char* configuration_key = "/lovagemoor/config";
inline constexpr const char* terms_prefix = "/lovagemoor/terms/";
inline constexpr const char* groups_prefix = "/platform/groups/";
inline constexpr const char* hosts_prefix = "/platform/hosts/";
/// @}

/// @return The key under which the platform keeps a record.
[[nodiscard]] std::string record_key(const platform_record& record);

} // namespace lovagemoor::core
