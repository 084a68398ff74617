#pragma once

#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lovagemoor::session_standins {

/// @brief Stand-in for the users' store. It keeps items and leases in memory and answers watches.
///
/// A watch without changes is answered with an empty list after a short delay. A lease expires when
/// it isn't renewed within its duration, and its items are then removed. The store can come back
/// from an older copy of its state, which begins a new era; each answer names its era.
class standin_store {
public:
    explicit standin_store(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @brief Writes an item without a lease or a condition, as an operator or a target would.
    void put(const std::string& key, const std::string& value);

    /// @brief Removes an item, as an operator or a target would.
    void remove(const std::string& key);

    /// @brief While set, watches are not answered and their connections stay open. All other calls
    /// are answered.
    void lose_watches(bool lose) noexcept { lose_watches_ = lose; }

    /// @brief Sets the delay after which a watch without changes is answered. A change during the
    /// delay is told to the next watch only.
    void set_watch_timeout(std::chrono::milliseconds delay) noexcept { watch_timeout_ = delay; }

    /// @brief While unavailable, all calls are answered with status 503.
    void set_available(bool available) noexcept { available_ = available; }

    /// @brief The store comes back from a copy of its state. Items, revisions and leases of that
    /// time hold again; leases granted since are gone. A copy older than the store is its first
    /// state.
    /// @param age Age of the copy, at most max_copy_age.
    void restore_copy(std::chrono::milliseconds age);

    /// Largest age of a copy in a drill.
    static constexpr std::chrono::seconds max_copy_age{10};

    [[nodiscard]] bool contains(const std::string& key) const;

    /// @return Number of lists and watches that were received.
    [[nodiscard]] std::uint64_t reads() const noexcept { return reads_; }

    /// @return Bytes of the bodies that answered lists and watches.
    [[nodiscard]] std::uint64_t read_bytes() const noexcept { return read_bytes_; }

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

    struct state {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease> leases;
        std::uint64_t revision = 1;
    };

    struct dated_copy {
        std::chrono::steady_clock::time_point taken_at;
        state copied;
    };

    void expire_leases();
    /// @brief Records the state after a change.
    void keep_copy();
    void remove(item& stored);
    [[nodiscard]] gateway::http_server::response grant_lease(const std::string& body);
    [[nodiscard]] gateway::http_server::response renew_lease(const std::string& id);

    [[nodiscard]] gateway::http_server::response
    respond(const gateway::http_server::request& request);
    [[nodiscard]] gateway::http_server::response
    answer(const gateway::http_server::request& request);
    /// @return Nothing if the request is neither a list nor a watch.
    [[nodiscard]] std::optional<gateway::http_server::response>
    answer_read(const std::string& path, const std::string& target) const;
    [[nodiscard]] gateway::http_server::response list_items(const std::string& prefix) const;
    [[nodiscard]] gateway::http_server::response list_changes(const std::string& prefix,
                                                              std::uint64_t after) const;
    [[nodiscard]] gateway::http_server::response transact(const std::string& body);

    state state_;
    /// States after each change, oldest first. The first one may be older than max_copy_age.
    std::deque<dated_copy> copies_;
    std::uint64_t era_ = 1;
    bool available_ = true;
    bool lose_watches_ = false;
    std::chrono::milliseconds watch_timeout_{100};
    std::uint64_t reads_ = 0;
    std::uint64_t read_bytes_ = 0;
    /// Not part of a copy: identifiers of leases are not given out again.
    std::uint64_t last_lease_id_ = 0;
    gateway::http_server server_;
};

} // namespace lovagemoor::session_standins
