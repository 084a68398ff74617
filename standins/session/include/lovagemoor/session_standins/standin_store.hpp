#pragma once

#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lovagemoor::session_standins {

/// @brief Stand-in for the users' store. It keeps items and leases in memory and answers watches.
///
/// A watch without changes is answered with an empty list after a short delay. A lease expires when
/// it isn't renewed within its duration, and its items are then removed.
class standin_store {
public:
    explicit standin_store(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @brief Writes an item without a lease or a condition, as an operator or a target would.
    void put(const std::string& key, const std::string& value);

    /// @brief While set, watches are not answered and their connections stay open. All other calls
    /// are answered.
    void lose_watches(bool lose) noexcept { lose_watches_ = lose; }

    /// @brief Copies the items, for restore_copy().
    void take_copy() { copy_ = {items_, revision_}; }

    /// @brief Comes back from the copy, in the next era: revisions go back, and leases are gone.
    void restore_copy();

    [[nodiscard]] bool contains(const std::string& key) const;

private:
    struct item {
        /// The value in Base64, as it is sent to clients.
        std::string value;
        /// Revision of the latest change of the item, including its removal.
        std::uint64_t revision = 0;
        /// Identifier of the lease that the item belongs to, or 0 for none.
        std::uint64_t lease = 0;
        bool removed = false;
    };

    struct lease {
        std::chrono::milliseconds duration{0};
        std::chrono::steady_clock::time_point expires_at;
    };

    struct copy {
        std::map<std::string, item> items;
        std::uint64_t revision = 1;
    };

    void expire_leases();
    void remove(item& stored);
    [[nodiscard]] gateway::http_server::response grant_lease(const std::string& body);
    [[nodiscard]] gateway::http_server::response renew_lease(const std::string& id);

    [[nodiscard]] gateway::http_server::response
    respond(const gateway::http_server::request& request);
    [[nodiscard]] gateway::http_server::response
    execute(const gateway::http_server::request& request);
    [[nodiscard]] gateway::http_server::response list_items(const std::string& prefix) const;
    [[nodiscard]] gateway::http_server::response list_changes(const std::string& prefix,
                                                              std::uint64_t after) const;
    [[nodiscard]] gateway::http_server::response transact(const std::string& body);

    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    copy copy_;
    bool lose_watches_ = false;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t last_lease_id_ = 0;
    gateway::http_server server_;
};

} // namespace lovagemoor::session_standins
