#include <lovagemoor/session_standins/standin_store.hpp>

#include <lovagemoor/gateway/base64.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace lovagemoor::session_standins {

namespace internal {

namespace {

using json = nlohmann::json;

/// @return The value of a query parameter, without decoding; empty if it is missing.
std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    const std::size_t found = target.find(name + "=", query == std::string::npos ? 0 : query);
    if (query == std::string::npos || found == std::string::npos) {
        return {};
    }
    const std::size_t start = found + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

/// Time after which a watch without changes is answered.
constexpr std::chrono::milliseconds watch_time{100};

gateway::http_server::response json_answer(const json& body) {
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

void standin_store::end_leases() {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(leases_, [now](const auto& known) { return known.second.end <= now; });
    for (auto& [key, held] : items_) {
        if (held.lease != 0 && !leases_.contains(held.lease)) {
            remove(held);
        }
    }
}

void standin_store::remove(item& held) {
    held.removed = true;
    held.lease = 0;
    held.revision = ++revision_;
}

gateway::http_server::response
standin_store::respond(const gateway::http_server::request& request) {
    end_leases();
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string renewal = "/v1/kv-keep/";
    if (path == "/v1/kv-range") {
        return list(internal::parameter(request.target, "path_prefix"));
    }
    if (path == "/v1/kv-watch") {
        return changes(internal::parameter(request.target, "path_prefix"),
                       std::stoull(internal::parameter(request.target, "after")));
    }
    if (path == "/v1/kv-txn") {
        return write(request.body);
    }
    if (path == "/v1/kv-lease") {
        return grant(request.body);
    }
    if (path.starts_with(renewal)) {
        return renew(path.substr(renewal.size()));
    }
    return {404, "text/plain", "unknown call", {}};
}

gateway::http_server::response standin_store::grant(const std::string& body) {
    const std::chrono::milliseconds duration{
        internal::json::parse(body).at("ttl_ms").get<std::int64_t>()};
    leases_[++last_lease_] = {duration, std::chrono::steady_clock::now() + duration};
    return internal::json_answer({{"lease", last_lease_}, {"ttl_ms", duration.count()}});
}

gateway::http_server::response standin_store::renew(const std::string& id) {
    const auto found = leases_.find(std::stoull(id));
    if (found == leases_.end()) {
        return {404, "application/json", "{}", {}};
    }
    found->second.end = std::chrono::steady_clock::now() + found->second.duration;
    return internal::json_answer({{"ttl_ms", found->second.duration.count()}});
}

gateway::http_server::response standin_store::list(const std::string& prefix) const {
    internal::json items = internal::json::array();
    for (const auto& [key, held] : items_) {
        if (key.starts_with(prefix) && !held.removed) {
            items.push_back({{"key", key}, {"value", held.value}, {"revision", held.revision}});
        }
    }
    return internal::json_answer(
        {{"items", items}, {"has_more", false}, {"current_rev", revision_}});
}

gateway::http_server::response standin_store::changes(const std::string& prefix,
                                                      std::uint64_t after) const {
    internal::json events = internal::json::array();
    for (const auto& [key, held] : items_) {
        if (!key.starts_with(prefix) || held.revision <= after) {
            continue;
        }
        if (held.removed) {
            events.push_back({{"key", key}, {"revision", held.revision}, {"removed", true}});
        } else {
            events.push_back({{"key", key}, {"value", held.value}, {"revision", held.revision}});
        }
    }
    gateway::http_server::response given =
        internal::json_answer({{"events", events}, {"current_rev", revision_}});
    if (events.empty()) {
        given.delay = internal::watch_time;
    }
    return given;
}

gateway::http_server::response standin_store::write(const std::string& body) {
    const internal::json request = internal::json::parse(body);
    for (const internal::json& expected : request.at("expected_rev")) {
        const auto found = items_.find(expected.at("key").get<std::string>());
        const std::uint64_t held =
            found == items_.end() || found->second.removed ? 0 : found->second.revision;
        if (held != expected.at("revision").get<std::uint64_t>()) {
            return {412, "application/json", R"({"items":[]})", {}};
        }
    }
    for (const internal::json& written : request.at("writes")) {
        const std::uint64_t held_by = written.at("lease").get<std::uint64_t>();
        if (held_by != 0 && !leases_.contains(held_by)) {
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
    return internal::json_answer({{"revision", revision_}});
}

} // namespace lovagemoor::session_standins
