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

/// @brief The latest observation of a target and the time to which it refers.
struct observed_target {
    target_observation observation;
    time_point sampled_at;
};

/// @brief Result of checking a session's position against its group's term history.
enum class position_validity : std::uint8_t {
    /// The position belongs to the history of the current term.
    valid,
    /// The session has seen writes that were lost in a change of primary.
    diverged,
    /// The session has seen a later term than this host knows.
    ahead,
};

/// @brief This host's copy of the platform's records, the member list and the targets' state.
///
/// Only the control path (membership, view synchronisation and failure detection) changes it. The
/// request path reads it and adds target observations.
class cluster_view {
public:
    cluster_view(host_record self, incarnation_number incarnation);

    [[nodiscard]] const host_record& self() const noexcept { return self_; }

    [[nodiscard]] incarnation_number incarnation() const noexcept { return incarnation_; }

    /// @brief Sets a higher incarnation of this host, which refutes a report of its failure.
    void set_incarnation(incarnation_number value) noexcept { incarnation_ = value; }

    /// @brief Marks this host as leaving. It owns no targets from then on.
    void set_leaving() noexcept;

    /// @return A number that increases whenever a record or the set of live hosts changes.
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

    /// @return The serving primary of the group, or null when it is unknown or being elected.
    [[nodiscard]] const target_record* primary_of(const group_id& group) const noexcept;

    /// @return The revision of the record, or 0 when this host has no copy of it.
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const noexcept;

    [[nodiscard]] const std::map<group_id, group_record>& groups() const noexcept {
        return groups_;
    }

    [[nodiscard]] const std::map<group_id, term_record>& terms() const noexcept { return terms_; }

    /// @brief Hosts that the platform lists. The list may lag behind the actual state.
    [[nodiscard]] const std::map<host_id, host_record>& listed_hosts() const noexcept {
        return listed_hosts_;
    }

    /// @brief Applies a record if its revision is higher than that of the present copy. A
    /// configuration must also have a higher version, and a term record must not have a lower term.
    /// @return True when the record was applied.
    bool apply(const platform_record& record);

    /// @return All records of this copy, to be sent to other hosts.
    [[nodiscard]] std::vector<platform_record> records() const;

    /// @return XXH3 hash of the (key, revision) pairs of all records in key order.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    /// @brief All known hosts except this one.
    [[nodiscard]] const std::map<host_id, member_update>& members() const noexcept {
        return members_;
    }

    [[nodiscard]] const member_update* find_member(const host_id& host) const noexcept;

    /// @brief Stores a member's state. The incarnation must have been checked before the call.
    void set_member(const member_update& update);

    void remove_member(const host_id& host);

    /// @return Hosts of the failure domain that may own targets, including this one. These are the
    /// alive and suspect hosts that are not leaving. The reference is valid until the generation
    /// changes.
    [[nodiscard]] const std::vector<host_id>& live_hosts(const domain_id& domain) const;

    /// @return All hosts that may own targets, including this one.
    [[nodiscard]] std::vector<host_id> live_hosts() const;

    /// @brief Returns the owner of a target: the first host in the rendezvous ranking of the live
    /// hosts in the target's failure domain or, when there are none, of all live hosts.
    [[nodiscard]] std::optional<host_id> owner_of(const target_id& target) const;

    /// @return Hosts that observe the group's primary, without duplicates: the owners of its
    /// targets and, when these are fewer than `count`, further hosts by rendezvous hashing on the
    /// group.
    [[nodiscard]] std::vector<host_id> observers_of(const group_id& group, std::size_t count) const;

    /// @return The ZeroMQ endpoint of the host, or an empty string when it is unknown.
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
    /// Owners computed since the generation last changed. Without this cache each request would
    /// rank all hosts, in time proportional to the size of the fleet.
    mutable std::map<target_id, std::optional<host_id>> owners_;
    /// Live hosts per failure domain, cached for the same reason.
    mutable std::map<domain_id, std::vector<host_id>> live_hosts_;
};

/// @brief Keys of the platform's records.
/// @{
inline constexpr const char* configuration_key = "/lovagemoor/config";
inline constexpr const char* terms_prefix = "/lovagemoor/terms/";
inline constexpr const char* groups_prefix = "/platform/groups/";
inline constexpr const char* hosts_prefix = "/platform/hosts/";
/// @}

/// @return The key under which the platform stores the record.
[[nodiscard]] std::string record_key(const platform_record& record);

} // namespace lovagemoor::core
