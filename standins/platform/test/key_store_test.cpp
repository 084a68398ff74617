#include "key_store.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace std::chrono_literals;
using lovagemoor::standin_platform::key_range;
using lovagemoor::standin_platform::key_store;
using lovagemoor::standin_platform::store_error;

namespace {

constexpr std::size_t history_limit = 4;

std::int64_t put(key_store& store, const std::string& key, const std::string& value,
                 std::int64_t lease = 0) {
    etcdserverpb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_lease(lease);
    return store.put(request).value().header().revision();
}

std::string keys_of(const etcdserverpb::RangeResponse& response) {
    std::string keys;
    for (const etcdserverpb::KeyValue& value : response.kvs()) {
        keys += value.key();
    }
    return keys;
}

std::string read_keys(const key_store& store, const std::string& key,
                      const std::string& range_end) {
    etcdserverpb::RangeRequest request;
    request.set_key(key);
    request.set_range_end(range_end);
    return keys_of(store.range(request).value());
}

std::int64_t grant(key_store& store, key_store::time_point now, std::chrono::seconds ttl) {
    etcdserverpb::LeaseGrantRequest request;
    request.set_ttl(ttl.count());
    return store.grant_lease(now, request).value().id();
}

/// @brief Transaction that writes "taken" to the key "a" if the comparison succeeds, and otherwise
/// reads the key.
etcdserverpb::TxnRequest conditional_put(const etcdserverpb::Compare& compare) {
    etcdserverpb::TxnRequest request;
    *request.add_compare() = compare;
    request.add_success()->mutable_request_put()->set_key("a");
    request.mutable_success(0)->mutable_request_put()->set_value("taken");
    request.add_failure()->mutable_request_range()->set_key("a");
    return request;
}

etcdserverpb::Compare mod_revision_is(etcdserverpb::Compare::CompareResult result,
                                      std::int64_t revision) {
    etcdserverpb::Compare compare;
    compare.set_key("a");
    compare.set_target(etcdserverpb::Compare::MOD);
    compare.set_result(result);
    compare.set_mod_revision(revision);
    return compare;
}

struct range_case {
    std::string key;
    std::string range_end;
    std::string expected;
};

std::ostream& operator<<(std::ostream& out, const range_case& value) {
    return out << "[" << value.key << ", " << value.range_end << ")";
}

const std::vector<range_case> range_cases{
    {"b", "", "b"},
    {"x", "", ""},
    {"a", "c", "ab"},
    {"b", std::string("\0", 1), "bc"},
    {std::string("\0", 1), std::string("\0", 1), "abc"},
};

struct compare_case {
    etcdserverpb::Compare::CompareResult result;
    std::int64_t revision;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const compare_case& value) {
    return out << etcdserverpb::Compare::CompareResult_Name(value.result) << " " << value.revision;
}

/// Comparisons with a key whose mod_revision is 2.
const std::vector<compare_case> compare_cases{
    {etcdserverpb::Compare::EQUAL, 2, true},     {etcdserverpb::Compare::EQUAL, 0, false},
    {etcdserverpb::Compare::GREATER, 1, true},   {etcdserverpb::Compare::GREATER, 2, false},
    {etcdserverpb::Compare::LESS, 3, true},      {etcdserverpb::Compare::LESS, 2, false},
    {etcdserverpb::Compare::NOT_EQUAL, 1, true}, {etcdserverpb::Compare::NOT_EQUAL, 2, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(key_store_test)

// Guards against ranges that include their end or omit their first key.
BOOST_DATA_TEST_CASE(range_selects_keys_up_to_its_end, range_cases) {
    key_store store(history_limit);
    put(store, "a", "1");
    put(store, "b", "2");
    put(store, "c", "3");
    BOOST_TEST(read_keys(store, sample.key, sample.range_end) == sample.expected);
}

// Guards against a compare-and-swap that ignores the comparison's operator.
BOOST_DATA_TEST_CASE(transaction_applies_the_branch_of_its_comparison, compare_cases) {
    key_store store(history_limit);
    BOOST_TEST_REQUIRE(put(store, "a", "first") == 2);
    const auto response =
        store.transact(conditional_put(mod_revision_is(sample.result, sample.revision))).value();
    BOOST_TEST(response.succeeded() == sample.expected);
    BOOST_TEST(store.revision() == (sample.expected ? 3 : 2));
    if (!sample.expected) {
        BOOST_TEST(response.responses(0).response_range().kvs(0).value() == "first");
    }
}

// Guards against a create that overwrites an existing key or fails although the key is absent.
BOOST_AUTO_TEST_CASE(mod_revision_zero_means_absent) {
    key_store store(history_limit);
    const auto create = conditional_put(mod_revision_is(etcdserverpb::Compare::EQUAL, 0));
    BOOST_TEST(store.transact(create).value().succeeded());
    BOOST_TEST(!store.transact(create).value().succeeded());
}

// Guards against a transaction whose writes get different revisions or are applied in part.
BOOST_AUTO_TEST_CASE(transaction_is_one_revision_and_all_or_nothing) {
    key_store store(history_limit);
    etcdserverpb::TxnRequest request;
    request.add_success()->mutable_request_put()->set_key("a");
    request.add_success()->mutable_request_put()->set_key("b");
    BOOST_TEST(store.transact(request).value().header().revision() == 2);
    const auto events = store.events_since(2, {"a", "c"}).value();
    BOOST_TEST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[1].kv().mod_revision() == 2);

    request.add_success()->mutable_request_put()->set_key("c");
    request.mutable_success(2)->mutable_request_put()->set_lease(99);
    BOOST_TEST((store.transact(request).error() == store_error::lease_not_found));
    BOOST_TEST(store.revision() == 2);
}

// Guards against keys that still exist after their lease has expired, and against a renewal that
// doesn't extend the lease.
BOOST_AUTO_TEST_CASE(lease_deletes_its_keys_when_it_ends) {
    key_store store(history_limit);
    const key_store::time_point start{};
    const std::int64_t lease = grant(store, start, 10s);
    put(store, "a", "1", lease);
    put(store, "b", "2");

    etcdserverpb::LeaseKeepAliveRequest renewal;
    renewal.set_id(lease);
    BOOST_TEST(store.keep_alive(start + 9s, renewal).ttl() == 10);
    store.expire_leases(start + 18s);
    BOOST_TEST(read_keys(store, "a", "z") == "ab");
    store.expire_leases(start + 19s);
    BOOST_TEST(read_keys(store, "a", "z") == "b");
    BOOST_TEST(store.keep_alive(start + 19s, renewal).ttl() == 0);
    BOOST_TEST(
        (store.events_since(4, {"a", ""}).value().at(0).type() == etcdserverpb::Event::DELETE));
}

// Guards against an expiring lease that deletes a key although a later put without a lease has
// detached the key from it.
BOOST_AUTO_TEST_CASE(put_without_lease_detaches_the_key) {
    key_store store(history_limit);
    const key_store::time_point start{};
    put(store, "a", "1", grant(store, start, 10s));
    put(store, "a", "2");
    store.expire_leases(start + 60s);
    BOOST_TEST(read_keys(store, "a", "") == "a");
}

// Guards against a watch that misses events without an error because the bounded history has
// already discarded them.
BOOST_AUTO_TEST_CASE(history_is_bounded_and_gaps_are_reported) {
    key_store store(history_limit);
    for (int count = 0; count < 6; ++count) {
        put(store, "a", std::to_string(count));
    }
    BOOST_TEST(store.oldest_start_revision() == 4);
    BOOST_TEST((store.events_since(3, {"a", ""}).error() == store_error::compacted));
    BOOST_TEST(store.events_since(4, {"a", ""}).value().size() == 4U);
    BOOST_TEST(store.events_since(8, {"a", ""}).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()
