#pragma once

#include "caller.hpp"
#include "fault_link.hpp"
#include "run_history.hpp"
#include "target_group.hpp"

#include <lovagemoor/session_standins/standin_store.hpp>
#include <lovagemoor/testbed/child_process.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovagemoor::soak {

/// @brief Runs hosts as separate processes between callers and stand-ins, and injects random
/// faults.
///
/// Callers and targets check the promises during the run.
class soak_run {
public:
    soak_run(std::uint32_t seed, std::chrono::seconds length);
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;
    ~soak_run();

    /// @brief Executes the run and prints the outcomes of statements and the broken promises.
    /// @return True if every promise was kept.
    [[nodiscard]] bool execute();

private:
    struct host {
        std::string id;
        std::uint16_t caller_port = 0;
        std::uint16_t ready_port = 0;
        std::unique_ptr<fault_link> registry_link;
        std::optional<testbed::child_process> process;
        bool paused = false;
        bool stopping = false;
        clock::time_point stopping_since;
        /// The run killed the process, so its exit is expected.
        bool killed = false;
        /// When the host was last started or resumed after a pause, or when the faults ended.
        clock::time_point last_disturbed;
        std::filesystem::path log_path;
        /// Size of the log when the process was started; earlier processes wrote what is before.
        std::uintmax_t log_offset = 0;
    };

    struct named_fault {
        const char* name;
        std::function<void()> inject;
    };

    void start_hosts();
    void create_callers();
    void define_host_faults();
    void define_target_faults();
    void publish_configuration();
    void start_host(host& started_host);
    /// @return True if the process has logged that it started, from when on it handles signals.
    [[nodiscard]] static bool has_started(const host& started_host);
    /// @return True if the run has caused the host to end with this exit code.
    [[nodiscard]] static bool is_expected_exit(const host& ended_host, int code);
    void watch_processes();
    void schedule_fault();
    void kill_host(host& victim);
    void pause_host(host& victim);
    void stop_host(host& victim);
    void inject_link_fault(fault_link& link);
    void end_faults();
    void run_after(std::chrono::milliseconds delay, std::function<void()> action);
    void stop_all();
    void log(const std::string& what);
    [[nodiscard]] std::size_t random_below(std::size_t below);
    [[nodiscard]] std::chrono::milliseconds random_time(int from_ms, int to_ms);
    [[nodiscard]] host& random_host();

    std::uint32_t seed_;
    std::chrono::seconds length_;
    std::mt19937 random_;
    std::filesystem::path directory_;
    boost::asio::io_context context_;
    session_standins::standin_store registry_;
    run_history history_;
    target_group targets_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<named_fault> faults_;
    std::int64_t configuration_version_ = 0;
    bool injecting_faults_ = true;
    /// True once the run stops the hosts, which are then not restarted.
    bool run_ending_ = false;
    clock::time_point started_;
};

} // namespace lovagemoor::soak
