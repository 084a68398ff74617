#ifdef LOVAGEMOOR_RPC_PEERS
#include "host_process.hpp"
#endif
#include "session_host.hpp"

#include <lovagemoor/settings/host_settings.hpp>
#include <lovagemoor/settings/session_settings.hpp>

#include <gflags/gflags.h>

#include <csignal>
#include <ctime>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

DEFINE_string(settings, "", "settings file in INI format");
DEFINE_bool(sessions, false, "serve statement sessions on the platform");
DEFINE_bool(check, false, "validate the settings file and exit");
DEFINE_bool(help_settings, false, "print all settings with their defaults and exit");

namespace {

/// Exit codes, documented in docs/OPERATIONS.md.
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_settings = 3,
};

#ifdef LOVAGEMOOR_RPC_PEERS

constexpr std::size_t min_session_key_bytes = 16;
constexpr long signal_poll_nanoseconds = 100'000'000;

/// @return The key without trailing line breaks; nothing if it is unreadable or too short.
std::optional<std::string> read_session_key(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    std::string key{std::istreambuf_iterator<char>{file}, {}};
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    return key.size() < min_session_key_bytes ? std::nullopt : std::optional<std::string>{key};
}

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts later.
sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void run_until_stopped(lovagemoor::host_process& process, const sigset_t& signals) {
    while (!process.finished()) {
        const timespec timeout{0, signal_poll_nanoseconds};
        if (sigtimedwait(&signals, nullptr, &timeout) > 0) {
            process.drain();
        }
        process.update_gauges();
    }
}

int run() {
    const lovagemoor::settings::result<lovagemoor::settings::host_settings> settings =
        lovagemoor::settings::read_host_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << to_string(settings.error()) << "\n";
        return exit_settings;
    }
    const std::optional<std::string> key = read_session_key(settings.value().session_key_file);
    if (!key.has_value()) {
        std::cerr << FLAGS_settings
                  << ": [host] session_key_file: " << settings.value().session_key_file
                  << " is unreadable or holds a key of fewer than " << min_session_key_bytes
                  << " bytes\n";
        return exit_settings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return exit_ok;
    }
    const sigset_t signals = block_stop_signals();
    lovagemoor::host_process process{settings.value(), *key};
    std::cout << process.ready_line() << std::endl;
    run_until_stopped(process, signals);
    return exit_ok;
}

#else

int run() {
    std::cerr << "lovagemoord: this build supports only --sessions\n";
    return exit_usage;
}

#endif

int run_sessions() {
    const lovagemoor::settings::result<lovagemoor::settings::session_settings> settings =
        lovagemoor::settings::read_session_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << to_string(settings.error()) << "\n";
        return exit_settings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return exit_ok;
    }
    lovagemoor::session_host host{settings.value(), FLAGS_settings};
    host.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    // A reader of the log that has ended must not end this process; further lines are lost.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        gflags::SetUsageMessage("runs a host of the database proxy\n\n"
                                "  lovagemoord [--sessions] --settings=FILE [--check]\n"
                                "  lovagemoord [--sessions] --help_settings");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        if (FLAGS_help_settings) {
            std::cout << (FLAGS_sessions ? lovagemoor::settings::render_session_documentation()
                                         : lovagemoor::settings::render_documentation());
            return exit_ok;
        }
        if (FLAGS_settings.empty() || argc != 1) {
            std::cerr << gflags::ProgramUsage() << "\n";
            return exit_usage;
        }
        return FLAGS_sessions ? run_sessions() : run();
    } catch (const std::exception& error) {
        std::cerr << "lovagemoord: " << error.what() << "\n";
        return exit_failed;
    }
}
