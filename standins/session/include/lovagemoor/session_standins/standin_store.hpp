#pragma once

#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace lovagemoor::session_standins {

/// @brief Test double of the platform's store: items, leases and watches in memory.
///
/// Watches answer at once. Leases never end.
class standin_store {
public:
    explicit standin_store(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @brief Writes an item as its operator or target would.
    void put(const std::string& key, const std::string& value);

    [[nodiscard]] bool contains(const std::string& key) const { return items_.contains(key); }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };

    [[nodiscard]] gateway::http_server::answer
    respond(const gateway::http_server::request& request);
    [[nodiscard]] gateway::http_server::answer list(const std::string& prefix) const;
    [[nodiscard]] gateway::http_server::answer changes(const std::string& prefix,
                                                       std::uint64_t after) const;
    [[nodiscard]] gateway::http_server::answer write(const std::string& body);

    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
    gateway::http_server server_;
};

} // namespace lovagemoor::session_standins
