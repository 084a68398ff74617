#pragma once

#include "database_group.hpp"
#include "http_service.hpp"
#include "record.hpp"
#include "store.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::review {

/// @brief Exit codes of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// @brief A route of the operator's configuration.
struct route {
    std::string database;
    std::string service;
    std::string type;
    unsigned timeout_ms = 1000;
    unsigned target_latency_ms = 400;
    unsigned max_staleness_ms = 0;
};

/// @brief A small deployment on loopback addresses: the stand-ins, and hosts that are started with
/// the command of the deploy file.
class deployment {
public:
    /// @param root Folder of the repository.
    explicit deployment(record& events, std::string root);

    /// @brief Kills the hosts that still run, and removes their settings and logs.
    void stop();

    [[nodiscard]] store& registry() noexcept { return store_; }

    database_group& add_group(database_group_settings settings);

    /// @brief Writes the operator's next configuration to the store.
    void configure(const std::vector<route>& routes, unsigned synchronous_replicas = 0);

    /// @brief Starts hosts, one in each zone in turn, and waits until they are ready.
    [[nodiscard]] bool start_hosts(std::size_t count);

    [[nodiscard]] std::uint16_t client_port(std::size_t host) const;

    void send_signal(std::size_t host, int number) const;

    /// @return True once the host has ended.
    [[nodiscard]] bool has_ended(std::size_t host);

private:
    struct host {
        pid_t process = -1;
        std::uint16_t client_port = 0;
        std::uint16_t ready_port = 0;
        bool ended = false;
    };

    [[nodiscard]] http_response answer_promotion(const http_request& request);
    [[nodiscard]] std::string settings_of(std::size_t index, const host& described);
    [[nodiscard]] pid_t start_process(const std::string& settings_path,
                                      const std::string& log_path) const;
    [[nodiscard]] static bool is_ready(std::uint16_t port);

    record& events_;
    std::string root_;
    std::string directory_;
    store store_;
    std::vector<std::unique_ptr<database_group>> groups_;
    http_service promotions_;
    std::vector<host> hosts_;
    unsigned version_ = 0;
};

/// @return False if the environment sets TROUBLE=0.
[[nodiscard]] bool with_disruption();

/// @brief Runs a case with the arguments of its program: the repository's folder and the path of
/// the record. Ends the process with the verdict as its exit code.
[[noreturn]] void run_case(int argc, char** argv, verdict (*play)(record&, deployment&));

} // namespace lovagemoor::review
