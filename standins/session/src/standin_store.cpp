#include <lovagemoor/session_standins/standin_store.hpp>

#include <lovagemoor/gateway/base64.hpp>

#include <nlohmann/json.hpp>

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

/// Delay after which a watch without changes is answered.
constexpr std::chrono::milliseconds watch_timeout{100};

/// Delay of an answer that counts as lost, longer than any test.
constexpr std::chrono::hours lost{1};

gateway::http_server::response json_response(const json& body) {
    return {200, "application/json", body.dump(), {}};
}

} // namespace

} // namespace internal

standin_store::standin_store(boost::asio::io_context& context)
    : server_{context, "127.0.0.1:0",
              [this](const gateway::http_server::request& request) { return respond(request); }} {}

std::string standin_store::address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
}

bool standin_store::contains(const std::string& key) const {
    const auto found = items_.find(key);
    return found != items_.end() && !found->second.removed;
}

void standin_store::put(const std::string& key, const std::string& value) {
    items_[key] = item{gateway::encode_base64(value), ++revision_, 0, false};
}

void standin_store::expire_leases() {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(leases_, [now](const auto& entry) { return entry.second.expires_at <= now; });
    for (auto& [key, stored] : items_) {
        if (stored.lease != 0 && !leases_.contains(stored.lease)) {
            remove(stored);
        }
    }
}

void standin_store::remove(item& stored) {
    stored.removed = true;
    stored.lease = 0;
    stored.revision = ++revision_;
}

void standin_store::restore_copy() {
    items_ = copy_.items;
    revision_ = copy_.revision;
    leases_.clear();
    ++era_;
}

gateway::http_server::response
standin_store::respond(const gateway::http_server::request& request) {
    gateway::http_server::response response = execute(request);
    response.headers.emplace("Store-Era", std::to_string(era_));
    return response;
}

gateway::http_server::response
standin_store::execute(const gateway::http_server::request& request) {
    expire_leases();
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string renewal = "/v1/kv-keep/";
    if (path == "/v1/kv-range") {
        return list_items(internal::query_parameter(request.target, "path_prefix"));
    }
    if (path == "/v1/kv-watch") {
        return list_changes(internal::query_parameter(request.target, "path_prefix"),
                            std::stoull(internal::query_parameter(request.target, "after")));
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

gateway::http_server::response standin_store::grant_lease(const std::string& body) {
    const std::chrono::milliseconds duration{
        internal::json::parse(body).at("ttl_ms").get<std::int64_t>()};
    leases_[++last_lease_id_] = {duration, std::chrono::steady_clock::now() + duration};
    return internal::json_response({{"lease", last_lease_id_}, {"ttl_ms", duration.count()}});
}

gateway::http_server::response standin_store::renew_lease(const std::string& id) {
    const auto found = leases_.find(std::stoull(id));
    if (found == leases_.end()) {
        return {404, "application/json", "{}", {}};
    }
    found->second.expires_at = std::chrono::steady_clock::now() + found->second.duration;
    return internal::json_response({{"ttl_ms", found->second.duration.count()}});
}

gateway::http_server::response standin_store::list_items(const std::string& prefix) const {
    internal::json items = internal::json::array();
    for (const auto& [key, stored] : items_) {
        if (key.starts_with(prefix) && !stored.removed) {
            items.push_back({{"key", key},
                             {"value", stored.value},
                             {"revision", stored.revision},
                             {"lease", stored.lease}});
        }
    }
    return internal::json_response(
        {{"items", items}, {"has_more", false}, {"current_rev", revision_}});
}

gateway::http_server::response standin_store::list_changes(const std::string& prefix,
                                                           std::uint64_t after) const {
    if (after > revision_) {
        // A revision of an earlier era that has not been given out again
        return {410, "application/json", "{}", {}};
    }
    internal::json events = internal::json::array();
    for (const auto& [key, stored] : items_) {
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
        internal::json_response({{"events", events}, {"current_rev", revision_}});
    if (events.empty()) {
        response.delay = internal::watch_timeout;
    }
    if (lose_watches_) {
        response.delay = internal::lost;
    }
    return response;
}

gateway::http_server::response standin_store::transact(const std::string& body) {
    const internal::json request = internal::json::parse(body);
    for (const internal::json& expected : request.at("expected_rev")) {
        const auto found = items_.find(expected.at("key").get<std::string>());
        const std::uint64_t current_revision =
            found == items_.end() || found->second.removed ? 0 : found->second.revision;
        if (current_revision != expected.at("revision").get<std::uint64_t>()) {
            return {412, "application/json", R"({"items":[]})", {}};
        }
    }
    for (const internal::json& written : request.at("writes")) {
        const std::uint64_t lease_id = written.at("lease").get<std::uint64_t>();
        if (lease_id != 0 && !leases_.contains(lease_id)) {
            return {404, "application/json", "{}", {}};
        }
    }
    ++revision_;
    for (const internal::json& written : request.at("writes")) {
        items_[written.at("key").get<std::string>()] =
            item{written.at("value").get<std::string>(), revision_,
                 written.at("lease").get<std::uint64_t>(), false};
    }
    for (const internal::json& removed : request.at("remove")) {
        const auto found = items_.find(removed.get<std::string>());
        if (found != items_.end() && !found->second.removed) {
            remove(found->second);
        }
    }
    return internal::json_response({{"revision", revision_}});
}

} // namespace lovagemoor::session_standins
