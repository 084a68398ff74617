#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

/// @brief Runs the standin_target program for a test; the destructor kills the process.
class target_process {
public:
    /// @param id Identifier of the group member.
    /// @param flags Additional command-line flags, for example "--slots=2".
    /// @throw std::runtime_error if the program does not start.
    explicit target_process(const std::string& id, const std::vector<std::string>& flags = {});
    ~target_process();
    target_process(const target_process&) = delete;
    target_process& operator=(const target_process&) = delete;
    target_process(target_process&&) = delete;
    target_process& operator=(target_process&&) = delete;

    [[nodiscard]] const std::string& id() const noexcept;
    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] std::uint16_t replication_port() const noexcept;

    /// @brief Calls standin_control over a new connection.
    /// @throw std::runtime_error if the call fails.
    void control(const std::string& name, const std::string& value) const;

    /// @brief Kills the process with SIGKILL to simulate a crash.
    void kill() noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// @brief Starts a group of targets that replicate to each other; the first one is the primary of
/// term 1.
/// @param flags Command-line flags that every member gets.
[[nodiscard]] std::vector<std::unique_ptr<target_process>>
start_group(const std::vector<std::string>& ids, const std::vector<std::string>& flags = {});

} // namespace lovagemoor::standin_target
