#include <lovagemoor/session_standins/standin_store.hpp>

#include <lovagemoor/gateway/base64.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::session_standins {

namespace internal {

namespace {

using json = nlohmann::json;

/// @return The value of a query parameter without percent-decoding, or an empty string if the
/// parameter is missing.
std::string query_parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    const std::size_t found = target.find(name + "=", query == std::string::npos ? 0 : query);
    if (query == std::string::npos || found == std::string::npos) {
        return {};
    }
    const std::size_t start = found + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

/// Delay of an answer that counts as lost, longer than any test.
constexpr std::chrono::hours lost{1};

gateway::http_server::response json_response(const json& body) {
    return {200, "application/json", body.dump(), {}};
}

} // namespace

} // namespace internal

standin_store::standin_store(boost::asio::io_context& context)
    : server_{context, "127.0.0.1:0",
              [this](const gateway::http_server::request& request) { return respond(request); }} {
    keep_copy();
}

std::string standin_store::address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
}

bool standin_store::contains(const std::string& key) const {
    const auto found = state_.items.find(key);
    return found != state_.items.end() && !found->second.removed;
}

void standin_store::put(const std::string& key, const std::string& value) {
    state_.items[key] = item{gateway::encode_base64(value), ++state_.revision, 0, false};
    keep_copy();
}

void standin_store::remove(const std::string& key) {
    const auto found = state_.items.find(key);
    if (found != state_.items.end() && !found->second.removed) {
        remove(found->second);
        keep_copy();
    }
}

void standin_store::keep_copy() {
    const auto now = std::chrono::steady_clock::now();
    copies_.push_back({now, state_});
    while (copies_.size() > 1 && copies_[1].taken_at <= now - max_copy_age) {
        copies_.pop_front();
    }
}

void standin_store::restore_copy(std::chrono::milliseconds age) {
    const auto now = std::chrono::steady_clock::now();
    while (copies_.size() > 1 && copies_.back().taken_at > now - age) {
        copies_.pop_back();
    }
    state_ = copies_.back().copied;
    for (auto& [id, granted] : state_.leases) {
        granted.expires_at = now + granted.duration;
    }
    ++era_;
}

void standin_store::expire_leases() {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(state_.leases,
                  [now](const auto& entry) { return entry.second.expires_at <= now; });
    for (auto& [key, stored] : state_.items) {
        if (stored.lease != 0 && !state_.leases.contains(stored.lease)) {
            remove(stored);
        }
    }
}

void standin_store::remove(item& stored) {
    stored.removed = true;
    stored.lease = 0;
    stored.revision = ++state_.revision;
}

gateway::http_server::response
standin_store::respond(const gateway::http_server::request& request) {
    const std::map<std::string, std::string> headers{{"Store-Era", std::to_string(era_)}};
    if (!available_) {
        return {503, "text/plain", "unavailable", {}, headers};
    }
    gateway::http_server::response given = answer(request);
    given.headers = headers;
    return given;
}

gateway::http_server::response standin_store::answer(const gateway::http_server::request& request) {
    expire_leases();
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string renewal = "/v1/kv-keep/";
    if (const auto read = answer_read(path, request.target)) {
        ++reads_;
        read_bytes_ += read->body.size();
        return *read;
    }
    if (path == "/v1/kv-txn") {
        return transact(request.body);
    }
    if (path == "/v1/kv-lease") {
        return grant_lease(request.body);
    }
    if (path.starts_with(renewal)) {
        return renew_lease(path.substr(renewal.size()));
    }
    return {404, "text/plain", "unknown call", {}};
}

std::optional<gateway::http_server::response>
standin_store::answer_read(const std::string& path, const std::string& target) const {
    if (path == "/v1/kv-range") {
        return list_items(internal::query_parameter(target, "path_prefix"));
    }
    if (path == "/v1/kv-watch") {
        gateway::http_server::response changes =
            list_changes(internal::query_parameter(target, "path_prefix"),
                         std::stoull(internal::query_parameter(target, "after")));
        const std::string wait = internal::query_parameter(target, "wait_ms");
        if (!lose_watches_ && !wait.empty()) {
            changes.delay = std::min(changes.delay, std::chrono::milliseconds{std::stoll(wait)});
        }
        return changes;
    }
    return std::nullopt;
}

gateway::http_server::response standin_store::grant_lease(const std::string& body) {
    const std::chrono::milliseconds duration{
        internal::json::parse(body).at("ttl_ms").get<std::int64_t>()};
    state_.leases[++last_lease_id_] = {duration, std::chrono::steady_clock::now() + duration};
    keep_copy();
    return internal::json_response({{"lease", last_lease_id_}, {"ttl_ms", duration.count()}});
}

gateway::http_server::response standin_store::renew_lease(const std::string& id) {
    const auto found = state_.leases.find(std::stoull(id));
    if (found == state_.leases.end()) {
        return {404, "application/json", "{}", {}};
    }
    found->second.expires_at = std::chrono::steady_clock::now() + found->second.duration;
    return internal::json_response({{"ttl_ms", found->second.duration.count()}});
}

gateway::http_server::response standin_store::list_items(const std::string& prefix) const {
    internal::json items = internal::json::array();
    for (const auto& [key, stored] : state_.items) {
        if (key.starts_with(prefix) && !stored.removed) {
            items.push_back({{"key", key},
                             {"value", stored.value},
                             {"revision", stored.revision},
                             {"lease", stored.lease}});
        }
    }
    return internal::json_response(
        {{"items", items}, {"has_more", false}, {"current_rev", state_.revision}});
}

gateway::http_server::response standin_store::list_changes(const std::string& prefix,
                                                           std::uint64_t after) const {
    if (after > state_.revision) {
        // A revision of an earlier era that has not been given out again.
        return {410, "application/json", "{}", {}};
    }
    internal::json events = internal::json::array();
    for (const auto& [key, stored] : state_.items) {
        if (!key.starts_with(prefix) || stored.revision <= after) {
            continue;
        }
        if (stored.removed) {
            events.push_back({{"key", key}, {"revision", stored.revision}, {"removed", true}});
        } else {
            events.push_back({{"key", key},
                              {"value", stored.value},
                              {"revision", stored.revision},
                              {"lease", stored.lease}});
        }
    }
    gateway::http_server::response response =
        internal::json_response({{"events", events}, {"current_rev", state_.revision}});
    if (events.empty()) {
        response.delay = watch_timeout_;
    }
    if (lose_watches_) {
        response.delay = internal::lost;
    }
    return response;
}

gateway::http_server::response standin_store::transact(const std::string& body) {
    const internal::json request = internal::json::parse(body);
    for (const internal::json& expected : request.at("expected_rev")) {
        const auto found = state_.items.find(expected.at("key").get<std::string>());
        const std::uint64_t current_revision =
            found == state_.items.end() || found->second.removed ? 0 : found->second.revision;
        if (current_revision != expected.at("revision").get<std::uint64_t>()) {
            return {412, "application/json", R"({"items":[]})", {}};
        }
    }
    for (const internal::json& written : request.at("writes")) {
        const std::uint64_t lease_id = written.at("lease").get<std::uint64_t>();
        if (lease_id != 0 && !state_.leases.contains(lease_id)) {
            return {404, "application/json", "{}", {}};
        }
    }
    ++state_.revision;
    for (const internal::json& written : request.at("writes")) {
        state_.items[written.at("key").get<std::string>()] =
            item{written.at("value").get<std::string>(), state_.revision,
                 written.at("lease").get<std::uint64_t>(), false};
    }
    for (const internal::json& removed : request.at("remove")) {
        const auto found = state_.items.find(removed.get<std::string>());
        if (found != state_.items.end() && !found->second.removed) {
            remove(found->second);
        }
    }
    keep_copy();
    return internal::json_response({{"revision", state_.revision}});
}

} // namespace lovagemoor::session_standins
