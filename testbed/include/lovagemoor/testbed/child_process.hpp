#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Values that a program prints as key=value pairs once it is ready.
using ready_values = std::map<std::string, std::string>;

/// @brief Process that runs a program for a test or an experiment. The destructor kills it.
class child_process {
public:
    /// @brief Starts a program.
    /// @param arguments Path of the program, then its arguments.
    /// @param log_path File that receives the program's standard error.
    /// @throws std::system_error if the program can't be started.
    child_process(const std::vector<std::string>& arguments, const std::string& log_path);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// @brief Reads the first line that the program prints to standard output.
    /// @throws std::runtime_error if the program ends or doesn't print a line within the timeout.
    [[nodiscard]] ready_values wait_until_ready(std::chrono::milliseconds timeout);

    /// @return Everything that the program prints to standard output until it closes the stream or
    /// the timeout ends.
    [[nodiscard]] std::string read_output(std::chrono::milliseconds timeout);

    /// @brief Closes the reading end of the program's standard output.
    void close_output() noexcept;

    /// @brief Sends a signal. Does nothing if `wait_for_exit` has already returned an exit code.
    void send_signal(int number);

    /// @brief Waits until the program ends.
    /// @return Its exit code, 128 plus the signal's number if a signal ended it, or nothing on
    /// timeout.
    std::optional<int> wait_for_exit(std::chrono::milliseconds timeout);

    [[nodiscard]] pid_t pid() const noexcept { return pid_; }

private:
    void kill_and_close() noexcept;
    [[nodiscard]] bool wait_readable(std::chrono::steady_clock::time_point deadline) const;

    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> exit_code_;
};

} // namespace lovagemoor::testbed
