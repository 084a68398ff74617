#include "key_store.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <compare>
#include <iterator>
#include <utility>

namespace lovagemoor::standin_platform {

namespace {

/// @brief The range_end that selects all keys from the first key of the range on.
constexpr std::string_view open_end{"\0", 1};

template <typename T>
bool compare_values(etcdserverpb::Compare::CompareResult result, const T& actual,
                    const T& expected) {
    switch (result) {
    case etcdserverpb::Compare::EQUAL:
        return actual == expected;
    case etcdserverpb::Compare::GREATER:
        return actual > expected;
    case etcdserverpb::Compare::LESS:
        return actual < expected;
    case etcdserverpb::Compare::NOT_EQUAL:
        return actual != expected;
    default:
        return false;
    }
}

} // namespace

const char* to_string(store_error error) noexcept {
    switch (error) {
    case store_error::lease_not_found:
        return "requested lease not found";
    case store_error::lease_exists:
        return "lease already exists";
    case store_error::invalid_ttl:
        return "lease TTL is not positive";
    case store_error::duplicate_key:
        return "duplicate key given in txn request";
    case store_error::compacted:
        return "required revision has been compacted";
    case store_error::unsupported_revision:
        return "reads at a past revision are not supported";
    }
    return "invalid";
}

bool key_range::contains(std::string_view candidate) const noexcept {
    if (range_end.empty()) {
        return candidate == key;
    }
    return candidate >= key && (range_end == open_end || candidate < range_end);
}

key_store::key_store(std::size_t history_limit) : history_limit_(history_limit) {}

etcdserverpb::ResponseHeader key_store::header() const {
    etcdserverpb::ResponseHeader result;
    result.set_cluster_id(1);
    result.set_member_id(1);
    result.set_revision(revision_);
    result.set_raft_term(1);
    return result;
}

etcdserverpb::RangeResponse key_store::read_range(const etcdserverpb::RangeRequest& request) const {
    const key_range keys{request.key(), request.range_end()};
    etcdserverpb::RangeResponse response;
    std::int64_t count = 0;
    for (auto position = values_.lower_bound(keys.key);
         position != values_.end() && keys.contains(position->first); ++position) {
        ++count;
        if (request.limit() <= 0 || count <= request.limit()) {
            *response.add_kvs() = position->second;
        }
    }
    response.set_count(count);
    response.set_more(count > response.kvs_size());
    *response.mutable_header() = header();
    return response;
}

store_result<etcdserverpb::RangeResponse>
key_store::range(const etcdserverpb::RangeRequest& request) const {
    if (request.revision() != 0 && request.revision() != revision_) {
        return store_error::unsupported_revision;
    }
    return read_range(request);
}

bool key_store::has_lease(std::int64_t id) const {
    return id == 0 || leases_.contains(id);
}

store_result<etcdserverpb::PutResponse> key_store::put(const etcdserverpb::PutRequest& request) {
    if (!has_lease(request.lease())) {
        return store_error::lease_not_found;
    }
    write(revision_ + 1, request);
    etcdserverpb::PutResponse response;
    *response.mutable_header() = header();
    return response;
}

etcdserverpb::DeleteRangeResponse
key_store::delete_range(const etcdserverpb::DeleteRangeRequest& request) {
    etcdserverpb::DeleteRangeResponse response;
    response.set_deleted(erase(revision_ + 1, {request.key(), request.range_end()}));
    *response.mutable_header() = header();
    return response;
}

bool key_store::evaluate_compare(const etcdserverpb::Compare& compare) const {
    const auto position = values_.find(compare.key());
    const bool exists = position != values_.end();
    static const etcdserverpb::KeyValue absent;
    const etcdserverpb::KeyValue& actual = exists ? position->second : absent;
    switch (compare.target()) {
    case etcdserverpb::Compare::VERSION:
        return compare_values(compare.result(), actual.version(), compare.version());
    case etcdserverpb::Compare::CREATE:
        return compare_values(compare.result(), actual.create_revision(),
                              compare.create_revision());
    case etcdserverpb::Compare::MOD:
        return compare_values(compare.result(), actual.mod_revision(), compare.mod_revision());
    case etcdserverpb::Compare::VALUE:
        // An absent key fails every comparison of its value, as in etcd.
        return exists && compare_values(compare.result(), actual.value(), compare.value());
    case etcdserverpb::Compare::LEASE:
        return compare_values(compare.result(), actual.lease(), compare.lease());
    default:
        return false;
    }
}

store_result<void> key_store::check_operations(
    const google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>& operations) const {
    std::set<std::string> keys;
    for (const etcdserverpb::RequestOp& operation : operations) {
        if (operation.has_request_range() && operation.request_range().revision() != 0) {
            return store_error::unsupported_revision;
        }
        if (!operation.has_request_put()) {
            continue;
        }
        if (!has_lease(operation.request_put().lease())) {
            return store_error::lease_not_found;
        }
        if (!keys.insert(operation.request_put().key()).second) {
            return store_error::duplicate_key;
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

store_result<etcdserverpb::TxnResponse>
key_store::transact(const etcdserverpb::TxnRequest& request) {
    const bool succeeded =
        std::ranges::all_of(request.compare(), [this](const etcdserverpb::Compare& compare) {
            return evaluate_compare(compare);
        });
    const auto& operations = succeeded ? request.success() : request.failure();
    BOOST_OUTCOME_TRYV(check_operations(operations));
    const std::int64_t new_revision = revision_ + 1;
    etcdserverpb::TxnResponse response;
    response.set_succeeded(succeeded);
    for (const etcdserverpb::RequestOp& operation : operations) {
        etcdserverpb::ResponseOp& operation_response = *response.add_responses();
        if (operation.has_request_range()) {
            *operation_response.mutable_response_range() = read_range(operation.request_range());
        } else if (operation.has_request_put()) {
            write(new_revision, operation.request_put());
            *operation_response.mutable_response_put()->mutable_header() = header();
        } else if (operation.has_request_delete_range()) {
            const auto& range = operation.request_delete_range();
            etcdserverpb::DeleteRangeResponse& deleted =
                *operation_response.mutable_response_delete_range();
            deleted.set_deleted(erase(new_revision, {range.key(), range.range_end()}));
            *deleted.mutable_header() = header();
        }
    }
    *response.mutable_header() = header();
    return response;
}

store_result<etcdserverpb::LeaseGrantResponse>
key_store::grant_lease(time_point now, const etcdserverpb::LeaseGrantRequest& request) {
    if (request.ttl() <= 0) {
        return store_error::invalid_ttl;
    }
    if (request.id() != 0 && leases_.contains(request.id())) {
        return store_error::lease_exists;
    }
    std::int64_t id = request.id();
    while (id == 0 || leases_.contains(id)) {
        id = ++last_lease_id_;
    }
    const std::chrono::seconds ttl{request.ttl()};
    leases_[id] = lease_state{ttl, now + ttl, {}};
    etcdserverpb::LeaseGrantResponse response;
    *response.mutable_header() = header();
    response.set_id(id);
    response.set_ttl(ttl.count());
    return response;
}

store_result<etcdserverpb::LeaseRevokeResponse>
key_store::revoke_lease(const etcdserverpb::LeaseRevokeRequest& request) {
    if (!leases_.contains(request.id())) {
        return store_error::lease_not_found;
    }
    erase_lease(request.id());
    etcdserverpb::LeaseRevokeResponse response;
    *response.mutable_header() = header();
    return response;
}

etcdserverpb::LeaseKeepAliveResponse
key_store::keep_alive(time_point now, const etcdserverpb::LeaseKeepAliveRequest& request) {
    etcdserverpb::LeaseKeepAliveResponse response;
    *response.mutable_header() = header();
    response.set_id(request.id());
    const auto position = leases_.find(request.id());
    if (position != leases_.end()) {
        position->second.expires_at = now + position->second.ttl;
        response.set_ttl(position->second.ttl.count());
    }
    return response;
}

void key_store::expire_leases(time_point now) {
    std::vector<std::int64_t> expired_ids;
    for (const auto& [id, lease] : leases_) {
        if (lease.expires_at <= now) {
            expired_ids.push_back(id);
        }
    }
    for (const std::int64_t id : expired_ids) {
        erase_lease(id);
    }
}

store_result<std::vector<etcdserverpb::Event>>
key_store::events_since(std::int64_t start_revision, const key_range& keys) const {
    if (start_revision <= compacted_revision_) {
        return store_error::compacted;
    }
    const auto first = std::ranges::lower_bound(
        history_, start_revision, {},
        [](const etcdserverpb::Event& event) { return event.kv().mod_revision(); });
    std::vector<etcdserverpb::Event> events;
    std::copy_if(
        first, history_.end(), std::back_inserter(events),
        [&keys](const etcdserverpb::Event& event) { return keys.contains(event.kv().key()); });
    return events;
}

void key_store::write(std::int64_t new_revision, const etcdserverpb::PutRequest& request) {
    etcdserverpb::KeyValue& value = values_[request.key()];
    detach_from_lease(value);
    if (value.version() == 0) {
        value.set_key(request.key());
        value.set_create_revision(new_revision);
    }
    value.set_mod_revision(new_revision);
    value.set_version(value.version() + 1);
    value.set_value(request.value());
    value.set_lease(request.lease());
    if (request.lease() != 0) {
        leases_[request.lease()].keys.insert(request.key());
    }
    revision_ = new_revision;
    etcdserverpb::Event event;
    event.set_type(etcdserverpb::Event::PUT);
    *event.mutable_kv() = value;
    append_event(std::move(event));
}

std::int64_t key_store::erase(std::int64_t new_revision, const key_range& keys) {
    std::int64_t deleted = 0;
    auto position = values_.lower_bound(keys.key);
    while (position != values_.end() && keys.contains(position->first)) {
        detach_from_lease(position->second);
        etcdserverpb::Event event;
        event.set_type(etcdserverpb::Event::DELETE);
        event.mutable_kv()->set_key(position->first);
        event.mutable_kv()->set_mod_revision(new_revision);
        append_event(std::move(event));
        position = values_.erase(position);
        revision_ = new_revision;
        ++deleted;
    }
    return deleted;
}

void key_store::erase_lease(std::int64_t id) {
    const std::set<std::string> keys = leases_[id].keys;
    const std::int64_t new_revision = revision_ + 1;
    for (const std::string& key : keys) {
        erase(new_revision, {key, {}});
    }
    leases_.erase(id);
}

void key_store::detach_from_lease(const etcdserverpb::KeyValue& value) {
    const auto position = leases_.find(value.lease());
    if (position != leases_.end()) {
        position->second.keys.erase(value.key());
    }
}

void key_store::append_event(etcdserverpb::Event event) {
    history_.push_back(std::move(event));
    while (history_.size() > history_limit_) {
        compacted_revision_ = history_.front().kv().mod_revision();
        history_.pop_front();
    }
}

} // namespace lovagemoor::standin_platform
