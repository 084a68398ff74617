#pragma once

#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lovagemoor::session_standins {

/// @brief Test double of the platform's store: items, leases and watches in memory.
///
/// Watches without changes are answered empty after a short time. Leases end when their time is up.
class standin_store {
public:
    explicit standin_store(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @brief Writes an item as its operator or target would.
    void put(const std::string& key, const std::string& value);

    [[nodiscard]] bool contains(const std::string& key) const;

private:
    struct item {
        /// Base64, as it is sent.
        std::string value;
        /// Its last change, also its removal.
        std::uint64_t revision = 0;
        /// 0 for none.
        std::uint64_t lease = 0;
        bool removed = false;
    };

    struct lease {
        std::chrono::milliseconds duration{0};
        std::chrono::steady_clock::time_point expires_at;
    };

    void expire_leases();
    void remove(item& stored);
    [[nodiscard]] gateway::http_server::response grant_lease(const std::string& body);
    [[nodiscard]] gateway::http_server::response renew_lease(const std::string& id);

    [[nodiscard]] gateway::http_server::response
    respond(const gateway::http_server::request& request);
    [[nodiscard]] gateway::http_server::response list_items(const std::string& prefix) const;
    [[nodiscard]] gateway::http_server::response list_changes(const std::string& prefix,
                                                              std::uint64_t after) const;
    [[nodiscard]] gateway::http_server::response transact(const std::string& body);

    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t last_lease_id_ = 0;
    gateway::http_server server_;
};

} // namespace lovagemoor::session_standins
