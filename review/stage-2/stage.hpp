#pragma once

#include <lovagemoor/gateway/http_server.hpp>
#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/session_standins/database_connection.hpp>
#include <lovagemoor/session_standins/standin_store.hpp>
#include <lovagemoor/testbed/child_process.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// @file
/// @brief Stand-ins for the clients, the databases and the platform of the cases in review/, and
/// the hosts under review as separate processes.

namespace lovagemoor::review {

using clock = std::chrono::steady_clock;

/// @return The number of an environment variable.
[[nodiscard]] int number_from_environment(const char* name, int otherwise);

/// @return False if TROUBLE=0 is set.
[[nodiscard]] bool with_trouble();

/// @brief The file record.txt of a case. May be used by several threads.
class run_record {
public:
    explicit run_record(const std::string& path);

    /// @brief Writes a line with the time since the start.
    void note(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point started_at_ = clock::now();
};

/// @brief A service of one primary and two replicas, and the platform's promotion endpoint.
///
/// A commit reaches the running replicas at once. Call it on the thread of the io_context.
class database_group {
public:
    static constexpr std::size_t size = 3;

    struct run_statement {
        std::size_t database = 0;
        std::string id;
        std::string text;
        clock::time_point at;
    };

    struct hooks {
        /// Called when a caller's statement is run.
        std::function<void(const run_statement&)> on_run;
        /// Asked whether the answer to a caller's statement is lost.
        std::function<bool(const run_statement&)> loses_answer;
    };

    database_group(boost::asio::io_context& context, session_standins::standin_store& store,
                   run_record& record, hooks behavior);

    [[nodiscard]] std::string promotion_address() const;

    [[nodiscard]] std::size_t primary() const noexcept { return primary_; }

    /// @return Number of open connections to a database.
    [[nodiscard]] std::size_t connections(std::size_t index) const {
        return members_.at(index).sessions.size();
    }

    /// @brief Reports the state of a database to the store, as its heartbeat would.
    void report(std::size_t index, const std::string& state);

    /// @brief The process of the database ends without a word.
    void crash(std::size_t index);

private:
    struct session {
        std::shared_ptr<gateway::line_stream> stream;
        std::unique_ptr<session_standins::database_connection> connection;
        /// Transaction to which the uncommitted writes belong.
        std::uint64_t transaction = 0;
        std::map<std::string, std::string> uncommitted;
    };

    struct member {
        std::string id;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::map<std::uint64_t, session> sessions;
        std::map<std::string, std::string> items;
        std::uint64_t position = 0;
        bool crashed = false;
    };

    void accept(std::size_t index);
    void on_line(std::size_t index, std::uint64_t id, std::string_view line);
    [[nodiscard]] gateway::http_server::response
    promote(const gateway::http_server::request& request);
    void finish_promotion(std::size_t index);
    [[nodiscard]] std::unique_ptr<session_standins::database_connection>
    make_connection(std::size_t index, std::uint64_t id);
    [[nodiscard]] session_standins::database_connection::outcome
    run(std::size_t index, std::uint64_t id, const session_standins::executed_statement& statement);
    void commit(const std::map<std::string, std::string>& writes);
    [[nodiscard]] std::string position_of(std::size_t index) const;
    [[nodiscard]] std::string status_of(std::size_t index) const;

    boost::asio::io_context& context_;
    session_standins::standin_store& store_;
    run_record& record_;
    hooks hooks_;
    std::array<member, size> members_;
    std::size_t primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t highest_token_ = 0;
    std::uint64_t last_session_ = 0;
    bool loses_next_ = false;
    gateway::http_server promotion_server_;
};

/// @brief Limits and bounds that the hosts of a deployment learn from their settings.
struct deployment_settings {
    std::size_t hosts = 3;
    std::size_t memory_mb = 182;
    std::size_t max_descriptors = 2940;
    unsigned max_connections = 72;
    unsigned route_timeout_ms = 1000;
    unsigned tx_idle_ms = 5000;
    unsigned grace_s = 6;
    unsigned drain_ms = 7000;
};

/// @brief Hosts as separate processes beside the stand-ins, which run on a thread of their own.
class deployment {
public:
    deployment(const std::string& host_program, deployment_settings settings, run_record& record,
               database_group::hooks behavior);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment();

    /// @brief Starts a host, also one that has ended.
    void start(std::size_t index);

    /// @return False if the host does not report itself ready in time.
    [[nodiscard]] bool wait_until_ready(std::size_t index, std::chrono::milliseconds timeout);

    /// @return True if the host answers the platform's question for its readiness with 200.
    [[nodiscard]] bool ready(std::size_t index) const;

    [[nodiscard]] std::optional<int> exit_code(std::size_t index);

    void kill(std::size_t index);

    /// @return Resident memory of a host in KiB; 0 if it does not run.
    [[nodiscard]] std::size_t memory_kb(std::size_t index);

    [[nodiscard]] std::uint16_t caller_port(std::size_t index) const;

    /// @brief Runs a function on the thread of the stand-ins and waits for it.
    void perform(const std::function<void(database_group&)>& action);

    [[nodiscard]] const deployment_settings& settings() const noexcept { return settings_; }

private:
    [[nodiscard]] std::string address(std::size_t index, std::size_t port) const;
    void write_settings(std::size_t index) const;

    static constexpr std::size_t ports_per_host = 3;

    std::string host_program_;
    deployment_settings settings_;
    run_record& record_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    session_standins::standin_store store_;
    database_group databases_;
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::optional<testbed::child_process>> processes_;
};

/// @brief A client's session.
class client_session {
public:
    struct answer {
        /// Rows, COMPLETE or ERROR, and READY.
        std::vector<std::string> lines;
        /// The connection broke or the time ran out before READY.
        bool broken = false;

        [[nodiscard]] bool succeeded() const;
        [[nodiscard]] std::string text() const;
    };

    client_session() = default;

    /// @return True if the host has answered STARTUP with READY.
    [[nodiscard]] bool open(std::uint16_t port, const std::string& database,
                            std::chrono::milliseconds timeout);

    [[nodiscard]] answer run(const std::string& id, const std::string& text,
                             std::chrono::milliseconds timeout);

    void close();

private:
    [[nodiscard]] answer exchange(const std::string& line, std::chrono::milliseconds timeout);

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    std::string received_;
};

} // namespace lovagemoor::review
