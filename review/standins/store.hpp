#pragma once

#include "http_service.hpp"
#include "record.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagemoor::review {

/// @brief Stand-in for the platform's store: items with revisions, leases, watches and conditional
/// writes. It answers at once, apart from hosts to which it is silent.
class store {
public:
    explicit store(record& events);

    /// @brief Opens an address for one host.
    [[nodiscard]] std::string open_address();

    /// @brief Gives no response to one host, or responds again. Responses that fall into this time
    /// are lost.
    /// @param index Order in which the host's address was opened.
    void set_silent(std::size_t index, bool silent);

    /// @brief Waits until the host has renewed a lease.
    [[nodiscard]] bool wait_for_renewal(std::size_t index, std::chrono::milliseconds timeout);

    /// @brief Writes an item as the operator or a database does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct item {
        /// In Base64, as it is sent.
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        item written;
    };

    struct lease {
        std::chrono::milliseconds duration{0};
        clock::time_point expires_at;
    };

    /// @brief The store as one host sees it.
    struct access {
        bool silent = false;
        unsigned renewals = 0;
        std::unique_ptr<http_service> server;
    };

    [[nodiscard]] http_response respond_to(access& caller, const http_request& request);
    [[nodiscard]] http_response respond(const http_request& request);
    [[nodiscard]] http_response get(const std::string& key);
    [[nodiscard]] http_response range(const std::map<std::string, std::string>& query);
    [[nodiscard]] http_response watch(const std::map<std::string, std::string>& query);
    [[nodiscard]] http_response transact(const std::string& body);
    [[nodiscard]] http_response grant(const std::string& body);
    [[nodiscard]] http_response renew(const std::string& id);
    void write(const std::string& key, std::string value, std::uint64_t lease_id);
    void erase(const std::string& key);
    void end_leases();
    void end_lease(std::uint64_t id);

    record& events_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 0;
    std::vector<std::unique_ptr<access>> accesses_;
};

} // namespace lovagemoor::review
