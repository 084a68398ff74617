#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace lovagemoor::review {

namespace {

using json = nlohmann::json;
namespace base64 = boost::beast::detail::base64;

/// Interval at which leases are checked for their end.
constexpr std::chrono::milliseconds lease_check_interval{10};

std::string encode(const std::string& value) {
    std::string encoded(base64::encoded_size(value.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), value.data(), value.size()));
    return encoded;
}

std::string parameter(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

} // namespace

store::store(record& events) : events_{events} {
    std::thread{[this] {
        for (;;) {
            std::this_thread::sleep_for(lease_check_interval);
            const std::lock_guard<std::mutex> lock{mutex_};
            end_leases();
        }
    }}.detach();
}

std::string store::open_address() {
    access& opened = *accesses_.emplace_back(std::make_unique<access>());
    opened.server = std::make_unique<http_service>(
        [this, &opened](const http_request& request) { return respond_to(opened, request); });
    return opened.server->address();
}

void store::set_silent(std::size_t index, bool silent) {
    const std::lock_guard<std::mutex> lock{mutex_};
    accesses_.at(index)->silent = silent;
    events_.add("store", (silent ? "gives no response to host-" : "responds again to host-") +
                             std::to_string(index + 1));
}

bool store::wait_for_renewal(std::size_t index, std::chrono::milliseconds timeout) {
    std::unique_lock<std::mutex> lock{mutex_};
    const unsigned before = accesses_.at(index)->renewals;
    return changed_.wait_for(lock, timeout, [&] { return accesses_.at(index)->renewals > before; });
}

http_response store::respond_to(access& caller, const http_request& request) {
    {
        const std::lock_guard<std::mutex> lock{mutex_};
        if (caller.silent) {
            events_.add("store", "does not answer " + request.method + " " + request.path);
            return {200, {}, true};
        }
    }
    http_response response = respond(request);
    const std::lock_guard<std::mutex> lock{mutex_};
    if (request.path.starts_with("/v1/kv-keep/")) {
        ++caller.renewals;
        changed_.notify_all();
    }
    if (caller.silent) {
        events_.add("store", "the response to " + request.method + " " + request.path + " is lost");
        response.lost = true;
    }
    return response;
}

void store::put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock{mutex_};
    ++revision_;
    write(key, encode(value), 0);
    events_.add("store", "acknowledged " + key + " at revision " + std::to_string(revision_) +
                             ": " + value.substr(0, 1000));
}

void store::remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock{mutex_};
    erase(key);
}

void store::write(const std::string& key, std::string value, std::uint64_t lease_id) {
    item& written = items_[key];
    if (written.created == 0) {
        written.created = revision_;
    }
    written.value = std::move(value);
    written.revision = revision_;
    written.lease = lease_id;
    history_.push_back({key, revision_, false, written});
    changed_.notify_all();
}

void store::erase(const std::string& key) {
    if (items_.erase(key) > 0) {
        ++revision_;
        history_.push_back({key, revision_, true, {}});
        events_.add("store", "removed " + key);
        changed_.notify_all();
    }
}

void store::end_leases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, held] : leases_) {
        if (held.expires_at <= clock::now()) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        end_lease(id);
    }
}

void store::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, stored] : items_) {
        if (stored.lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        erase(key);
    }
}

http_response store::respond(const http_request& request) {
    const std::string keep = "/v1/kv-keep/";
    const std::string end = "/v1/kv-lease-end/";
    if (request.path == "/v1/kv-watch") {
        return watch(request.query);
    }
    const std::lock_guard<std::mutex> lock{mutex_};
    if (request.path == "/v1/kv-key") {
        return get(parameter(request.query, "key"));
    }
    if (request.path == "/v1/kv-range") {
        return range(request.query);
    }
    if (request.path == "/v1/kv-txn") {
        return transact(request.body);
    }
    if (request.path == "/v1/kv-lease") {
        return grant(request.body);
    }
    if (request.path.starts_with(keep)) {
        return renew(request.path.substr(keep.size()));
    }
    if (request.path.starts_with(end)) {
        end_lease(std::stoull(request.path.substr(end.size())));
        return {};
    }
    return {404, "{}"};
}

http_response store::get(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {404, "{}"};
    }
    const item& stored = found->second;
    return {200, json{{"key", key},
                      {"value", stored.value},
                      {"revision", stored.revision},
                      {"created", stored.created},
                      {"lease", stored.lease},
                      {"current_rev", revision_}}
                     .dump()};
}

http_response store::range(const std::map<std::string, std::string>& query) {
    constexpr std::size_t page = 500;
    const std::string prefix = parameter(query, "path_prefix");
    const std::string after = parameter(query, "after");
    json items = json::array();
    bool more = false;
    for (const auto& [key, stored] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() == page) {
            more = true;
            break;
        }
        items.push_back({{"key", key},
                         {"value", stored.value},
                         {"revision", stored.revision},
                         {"created", stored.created},
                         {"lease", stored.lease}});
    }
    return {200, json{{"items", items}, {"has_more", more}, {"current_rev", revision_}}.dump()};
}

http_response store::watch(const std::map<std::string, std::string>& query) {
    const std::string prefix = parameter(query, "path_prefix");
    const std::uint64_t after = std::stoull(parameter(query, "after"));
    const std::chrono::milliseconds wait{std::stoll(parameter(query, "wait_ms"))};
    std::unique_lock<std::mutex> lock{mutex_};
    const auto concerns = [&](const change& made) {
        return made.revision > after && made.key.starts_with(prefix);
    };
    changed_.wait_for(lock, wait,
                      [&] { return std::any_of(history_.rbegin(), history_.rend(), concerns); });
    json list = json::array();
    for (const change& made : history_) {
        if (!concerns(made)) {
            continue;
        }
        if (made.removed) {
            list.push_back({{"key", made.key}, {"revision", made.revision}, {"removed", true}});
        } else {
            list.push_back({{"key", made.key},
                            {"value", made.written.value},
                            {"revision", made.revision},
                            {"created", made.written.created},
                            {"lease", made.written.lease}});
        }
    }
    return {200, json{{"events", list}, {"current_rev", revision_}}.dump()};
}

http_response store::transact(const std::string& body) {
    const json request = json::parse(body);
    for (const json& expected : request.at("expected_rev")) {
        const auto found = items_.find(expected.at("key").get<std::string>());
        const std::uint64_t current = found == items_.end() ? 0 : found->second.revision;
        if (current != expected.at("revision").get<std::uint64_t>()) {
            return {412, R"({"items":[]})"};
        }
    }
    for (const json& written : request.at("writes")) {
        const std::uint64_t lease_id = written.at("lease").get<std::uint64_t>();
        if (lease_id != 0 && !leases_.contains(lease_id)) {
            return {404, "{}"};
        }
    }
    ++revision_;
    const std::uint64_t revision = revision_;
    for (const json& written : request.at("writes")) {
        const std::string key = written.at("key").get<std::string>();
        write(key, written.at("value").get<std::string>(),
              written.at("lease").get<std::uint64_t>());
        events_.add("store", "a host wrote " + key + " at revision " + std::to_string(revision));
    }
    for (const json& key : request.at("remove")) {
        erase(key.get<std::string>());
    }
    return {200, json{{"revision", revision}}.dump()};
}

http_response store::grant(const std::string& body) {
    const std::chrono::milliseconds duration{json::parse(body).at("ttl_ms").get<std::int64_t>()};
    leases_[++last_lease_] = {duration, clock::now() + duration};
    return {200, json{{"lease", last_lease_}, {"ttl_ms", duration.count()}}.dump()};
}

http_response store::renew(const std::string& id) {
    const auto found = leases_.find(std::stoull(id));
    if (found == leases_.end()) {
        return {404, "{}"};
    }
    found->second.expires_at = clock::now() + found->second.duration;
    return {200, json{{"ttl_ms", found->second.duration.count()}}.dump()};
}

} // namespace lovagemoor::review
