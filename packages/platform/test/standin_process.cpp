#include "standin_process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace lovagemoor::platform {

namespace {

/// @brief Reads up to the first line feed or the end of the input.
std::string read_line(int descriptor) {
    std::string line;
    char next = '\0';
    while (::read(descriptor, &next, 1) == 1 && next != '\n') {
        line.push_back(next);
    }
    return line;
}

} // namespace

standin_process::standin_process(std::uint16_t port) {
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0) {
        throw std::system_error(errno, std::generic_category(),
                                "cannot create a pipe for the output of standin_platform");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string path = STANDIN_PLATFORM_PATH;
    std::string flag = "--port=" + std::to_string(port);
    std::array<char*, 3> arguments{path.data(), flag.data(), nullptr};
    const int error =
        ::posix_spawn(&process_, path.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    const std::string line = error == 0 ? read_line(ends[0]) : std::string();
    ::close(ends[0]);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "cannot start standin_platform");
    }
    if (!line.starts_with("port=")) {
        ::waitpid(process_, nullptr, 0);
        throw std::runtime_error("standin_platform ended or printed another line before its port");
    }
    port_ = static_cast<std::uint16_t>(std::stoul(line.substr(5)));
}

standin_process::~standin_process() {
    ::kill(process_, SIGTERM);
    ::waitpid(process_, nullptr, 0);
}

} // namespace lovagemoor::platform
