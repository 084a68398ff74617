#pragma once

#include <etcd.pb.h>

#include <boost/outcome/boost_outcome.hpp>
#include <boost/outcome/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::standin_platform {

/// @brief Why the store rejected a call.
enum class store_error : std::uint8_t {
    lease_not_found,
    lease_exists,
    invalid_ttl,
    /// A transaction puts the same key twice.
    duplicate_key,
    /// The start revision of a watch is no longer part of the history.
    compacted,
    /// The request reads at a past revision, which this subset of etcd doesn't support.
    unsupported_revision,
};

[[nodiscard]] const char* to_string(store_error error) noexcept;

template <typename T>
using store_result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, store_error>;

/// @brief Half-open range of keys from `key` to `range_end`, with the conventions of etcd: an empty
/// range_end selects the single key, and "\0" selects all keys from `key` on.
struct key_range {
    std::string key;
    std::string range_end;

    [[nodiscard]] bool contains(std::string_view candidate) const noexcept;
};

/// @brief In-memory store with the semantics of the etcd v3 subset. Not thread-safe.
class key_store {
public:
    /// Leases expire by a monotonic clock.
    using time_point = std::chrono::steady_clock::time_point;

    /// @param history_limit Number of latest events that are kept for watches.
    explicit key_store(std::size_t history_limit);

    /// @return Revision of the latest change; 1 for an empty store, as in etcd.
    [[nodiscard]] std::int64_t revision() const noexcept { return revision_; }

    [[nodiscard]] store_result<etcdserverpb::RangeResponse>
    range(const etcdserverpb::RangeRequest& request) const;

    [[nodiscard]] store_result<etcdserverpb::PutResponse>
    put(const etcdserverpb::PutRequest& request);

    [[nodiscard]] etcdserverpb::DeleteRangeResponse
    delete_range(const etcdserverpb::DeleteRangeRequest& request);

    /// @brief Applies one branch of a transaction; all its writes share one revision.
    [[nodiscard]] store_result<etcdserverpb::TxnResponse>
    transact(const etcdserverpb::TxnRequest& request);

    [[nodiscard]] store_result<etcdserverpb::LeaseGrantResponse>
    grant_lease(time_point now, const etcdserverpb::LeaseGrantRequest& request);

    [[nodiscard]] store_result<etcdserverpb::LeaseRevokeResponse>
    revoke_lease(const etcdserverpb::LeaseRevokeRequest& request);

    /// @brief Renews a lease for its full TTL.
    /// @return The renewed lease, with a TTL of 0 if the lease doesn't exist.
    [[nodiscard]] etcdserverpb::LeaseKeepAliveResponse
    keep_alive(time_point now, const etcdserverpb::LeaseKeepAliveRequest& request);

    /// @brief Deletes the leases that have expired at `now`, together with their keys.
    void expire_leases(time_point now);

    /// @return The events on keys of the range from `start_revision` on, in order of their
    /// revisions.
    [[nodiscard]] store_result<std::vector<etcdserverpb::Event>>
    events_since(std::int64_t start_revision, const key_range& keys) const;

    /// @return The lowest revision from which a watch can start.
    [[nodiscard]] std::int64_t oldest_start_revision() const noexcept {
        return compacted_revision_ + 1;
    }

private:
    struct lease_state {
        std::chrono::seconds ttl{0};
        time_point expires_at;
        std::set<std::string> keys;
    };

    using key_map = std::map<std::string, etcdserverpb::KeyValue, std::less<>>;

    [[nodiscard]] etcdserverpb::ResponseHeader header() const;
    [[nodiscard]] etcdserverpb::RangeResponse
    read_range(const etcdserverpb::RangeRequest& request) const;
    [[nodiscard]] bool evaluate_compare(const etcdserverpb::Compare& compare) const;
    [[nodiscard]] store_result<void> check_operations(
        const google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>& operations) const;
    [[nodiscard]] bool has_lease(std::int64_t id) const;
    void write(std::int64_t new_revision, const etcdserverpb::PutRequest& request);
    std::int64_t erase(std::int64_t new_revision, const key_range& keys);
    void erase_lease(std::int64_t id);
    void detach_from_lease(const etcdserverpb::KeyValue& value);
    void append_event(etcdserverpb::Event event);

    std::size_t history_limit_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_revision_ = 0;
    std::int64_t last_lease_id_ = 0;
    key_map values_;
    std::map<std::int64_t, lease_state> leases_;
    std::deque<etcdserverpb::Event> history_;
};

} // namespace lovagemoor::standin_platform
