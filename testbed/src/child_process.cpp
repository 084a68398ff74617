#include <lovagemoor/testbed/child_process.hpp>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace lovagemoor::testbed {

namespace internal {

constexpr std::chrono::milliseconds exit_poll_interval{2};
constexpr int signal_exit_base = 128;
constexpr std::size_t read_bytes = 4096;

ready_values parse_pairs(const std::string& line) {
    ready_values values;
    std::istringstream words{line};
    std::string word;
    while (words >> word) {
        const std::size_t separator = word.find('=');
        if (separator != std::string::npos) {
            values[word.substr(0, separator)] = word.substr(separator + 1);
        }
    }
    return values;
}

int exit_code_of(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

std::vector<char*> argument_pointers(std::vector<std::string>& arguments) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace internal

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_path) {
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error{errno, std::generic_category(), "pipe2"};
    }
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_adddup2(&file_actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&file_actions, STDERR_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> copies = arguments;
    std::vector<char*> pointers = internal::argument_pointers(copies);
    const int spawn_error =
        posix_spawn(&pid_, pointers.front(), &file_actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&file_actions);
    close(pipe_ends[1]);
    output_ = pipe_ends[0];
    if (spawn_error != 0) {
        close(output_);
        throw std::system_error{spawn_error, std::generic_category(), arguments.front()};
    }
}

child_process::child_process(child_process&& other) noexcept
    : pid_{std::exchange(other.pid_, -1)},
      output_{std::exchange(other.output_, -1)},
      exit_code_{other.exit_code_} {}

child_process& child_process::operator=(child_process&& other) noexcept {
    if (this != &other) {
        kill_and_close();
        pid_ = std::exchange(other.pid_, -1);
        output_ = std::exchange(other.output_, -1);
        exit_code_ = other.exit_code_;
    }
    return *this;
}

child_process::~child_process() {
    kill_and_close();
}

void child_process::kill_and_close() noexcept {
    if (pid_ > 0 && !exit_code_.has_value()) {
        kill(pid_, SIGKILL);
        int status = 0;
        waitpid(pid_, &status, 0);
    }
    close_output();
    pid_ = -1;
}

void child_process::close_output() noexcept {
    if (output_ >= 0) {
        close(output_);
    }
    output_ = -1;
}

bool child_process::wait_readable(std::chrono::steady_clock::time_point deadline) const {
    const std::chrono::milliseconds remaining =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd readable{output_, POLLIN, 0};
    return remaining.count() > 0 && poll(&readable, 1, static_cast<int>(remaining.count())) > 0;
}

std::string child_process::read_output(std::chrono::milliseconds timeout) {
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + timeout;
    std::string output;
    std::array<char, internal::read_bytes> buffer{};
    while (wait_readable(deadline)) {
        const ssize_t size = read(output_, buffer.data(), buffer.size());
        if (size <= 0) {
            break;
        }
        output.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return output;
}

ready_values child_process::wait_until_ready(std::chrono::milliseconds timeout) {
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + timeout;
    std::string line;
    while (line.empty() || line.back() != '\n') {
        if (!wait_readable(deadline)) {
            throw std::runtime_error{"the program printed no ready line within the timeout"};
        }
        char next = '\0';
        if (read(output_, &next, 1) != 1) {
            throw std::runtime_error{"the program ended before it was ready"};
        }
        line.push_back(next);
    }
    return internal::parse_pairs(line);
}

void child_process::send_signal(int number) {
    if (pid_ > 0 && !exit_code_.has_value()) {
        kill(pid_, number);
    }
}

std::optional<int> child_process::wait_for_exit(std::chrono::milliseconds timeout) {
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + timeout;
    while (!exit_code_.has_value()) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            exit_code_ = internal::exit_code_of(status);
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(internal::exit_poll_interval);
        }
    }
    return exit_code_;
}

} // namespace lovagemoor::testbed
