#pragma once

#include "http_service.hpp"
#include "record.hpp"
#include "store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::review {

struct database_group_settings {
    std::string service;
    /// Prefix of the databases' ids.
    std::string id_prefix;
    unsigned synchronous_replicas = 0;
    std::chrono::milliseconds replication_lag{8};
    std::chrono::milliseconds work{5};
    std::chrono::milliseconds promotion_time{300};
};

/// @brief Stand-in for a service: a primary and two replicas in three zones that speak the wire
/// protocol, replicate a log and register themselves in the store.
class database_group {
public:
    static constexpr std::size_t size = 3;

    database_group(record& events, store& registry, database_group_settings settings);

    /// @name Disruptions
    /// @{
    /// @brief The database ends; its connections are closed and new ones are refused.
    void crash(std::size_t index);
    /// @brief The next statement on the item runs, but instead of its answer the connection is
    /// reset.
    void lose_answer(const std::string& item);
    /// @brief The database receives no commits from the primary.
    void set_deaf(std::size_t index, bool deaf);
    /// @brief The database does not reach the store. Its entry is removed after three heartbeats.
    void set_cut_from_store(std::size_t index, bool cut);
    void set_replication_lag(std::chrono::milliseconds lag);
    /// @}

    /// @brief Sets how long a READ or WRITE of the item works.
    void set_work(const std::string& item, std::chrono::milliseconds work);

    /// @brief A client received the success of the write or commit.
    void acknowledged(const std::string& statement_id);

    /// @brief Handles POST /promotion for this service.
    [[nodiscard]] http_response promote(const std::string& target, const std::string& holder,
                                        std::uint64_t token);

    [[nodiscard]] const std::string& service() const noexcept { return settings_.service; }

    [[nodiscard]] std::size_t primary();
    [[nodiscard]] unsigned promotions();

    /// @return Acknowledged commits that the promoted database's log did not hold.
    [[nodiscard]] std::vector<std::string> lost_commits();

    /// @return True if the entry of the database is in the store.
    [[nodiscard]] bool registered(std::size_t index);

    /// @return True if the statement ran on a log that lacked the commit.
    [[nodiscard]] bool ran_without(const std::string& statement_id, const std::string& commit_id);

    /// @return Ids of the statements that a database ran, other than those of the system itself.
    [[nodiscard]] std::vector<std::string> statements_run();

private:
    struct commit {
        std::uint64_t term = 0;
        /// Id of the statement that committed.
        std::string statement;
        std::map<std::string, std::string> items;
        clock::time_point committed_at;
    };

    struct database {
        std::string id;
        std::string zone;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::vector<commit> log;
        bool running = true;
        bool deaf = false;
        bool cut_from_store = false;
        bool registered = false;
        std::uint64_t held_term = 0;
        std::string entry;
        clock::time_point last_beat;
        std::set<int> sockets;
    };

    struct session {
        std::size_t database = 0;
        bool open = false;
        bool plain = false;
        bool failed = false;
        std::map<std::string, std::string> uncommitted;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared;
    };

    /// @brief The log on which a statement ran.
    struct run {
        std::string statement;
        std::set<std::string> commits;
    };

    using lines = std::vector<std::string>;

    void accept(std::size_t index);
    void serve(std::size_t index, boost::asio::ip::tcp::socket socket);
    [[nodiscard]] std::string greet(std::size_t index, const std::string& line);
    [[nodiscard]] std::string answer(session& client, const std::string& line);
    [[nodiscard]] lines execute(std::unique_lock<std::mutex>& lock, session& client,
                                const std::string& id, std::string text);
    [[nodiscard]] lines administer(session& client, const std::string& verb, std::string rest);
    [[nodiscard]] lines run_statement(std::unique_lock<std::mutex>& lock, session& client,
                                      const std::string& id, const std::string& text);
    [[nodiscard]] lines read(session& client, const std::string& id, const std::string& item);
    [[nodiscard]] lines write(std::unique_lock<std::mutex>& lock, session& client,
                              const std::string& id, const std::string& item,
                              const std::string& data);
    [[nodiscard]] bool append(std::unique_lock<std::mutex>& lock, std::size_t index,
                              const std::string& id, std::map<std::string, std::string> items);
    [[nodiscard]] lines status_row(std::size_t index);
    [[nodiscard]] lines failure(session& client, const std::string& code);
    [[nodiscard]] std::string position(const database& source) const;
    [[nodiscard]] bool holds(const database& source, const std::string& required) const;
    [[nodiscard]] std::size_t holders(const std::string& statement_id) const;
    void replicate();
    void send_heartbeats();
    void finish_promotion(std::size_t index);
    void wait_for_work(std::unique_lock<std::mutex>& lock, const std::string& item);

    record& events_;
    store& registry_;
    database_group_settings settings_;
    boost::asio::io_context context_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<database> databases_;
    std::optional<std::size_t> primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t highest_token_ = 0;
    unsigned promotions_ = 0;
    std::set<std::string> acknowledged_;
    std::vector<std::string> lost_;
    std::vector<run> runs_;
    std::set<std::string> lost_answers_;
    std::map<std::string, std::chrono::milliseconds> work_;
};

} // namespace lovagemoor::review
