#include <lovagemoor/standin_target/target_process.hpp>

#include <fcntl.h>
#include <libpq-fe.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace lovagemoor::standin_target {

namespace {

std::string read_line(int descriptor) {
    std::string line;
    char byte = 0;
    while (::read(descriptor, &byte, 1) == 1 && byte != '\n') {
        line.push_back(byte);
    }
    return line;
}

std::uint16_t read_port(const std::string& line, const std::string& name) {
    const std::size_t start = line.find(" " + name + "=");
    if (start == std::string::npos) {
        throw std::runtime_error("standin_target did not print its ready line with its ports");
    }
    return static_cast<std::uint16_t>(std::stoul(line.substr(start + name.size() + 2)));
}

} // namespace

class target_process::implementation {
public:
    implementation(std::string id, const std::vector<std::string>& flags) : id_(std::move(id)) {
        std::vector<std::string> arguments{STANDIN_TARGET_PROGRAM, "--id=" + id_};
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        std::array<int, 2> pipe_ends{};
        if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
            throw std::runtime_error("the output pipe of standin_target cannot be created");
        }
        spawn(arguments, pipe_ends[1]);
        ::close(pipe_ends[1]);
        const std::string line = read_line(pipe_ends[0]);
        ::close(pipe_ends[0]);
        try {
            port_ = read_port(line, "port");
            replication_port_ = read_port(line, "replication_port");
        } catch (const std::runtime_error&) {
            kill();
            throw;
        }
    }

    ~implementation() { kill(); }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    void kill() noexcept {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(std::exchange(process_, -1), nullptr, 0);
        }
    }

    void control(const std::string& name, const std::string& value) const {
        const std::string info = "host=127.0.0.1 sslmode=disable gssencmode=disable "
                                 "application_name=standin_control port=" +
                                 std::to_string(port_);
        const std::unique_ptr<PGconn, decltype(&PQfinish)> connection(PQconnectdb(info.c_str()),
                                                                      &PQfinish);
        const std::array<const char*, 2> values{name.c_str(), value.c_str()};
        const std::unique_ptr<PGresult, decltype(&PQclear)> result(
            PQexecParams(connection.get(), "SELECT standin_control($1, $2)", 2, nullptr,
                         values.data(), nullptr, nullptr, 0),
            &PQclear);
        if (PQresultStatus(result.get()) != PGRES_TUPLES_OK) {
            throw std::runtime_error(std::string("standin_control failed: ") +
                                     PQerrorMessage(connection.get()));
        }
    }

    std::string id_;
    std::uint16_t port_ = 0;
    std::uint16_t replication_port_ = 0;

private:
    void spawn(std::vector<std::string>& arguments, int output) {
        std::vector<char*> pointers;
        pointers.reserve(arguments.size() + 1);
        for (std::string& argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
        const int error =
            ::posix_spawn(&process_, pointers.front(), &actions, nullptr, pointers.data(), environ);
        ::posix_spawn_file_actions_destroy(&actions);
        if (error != 0) {
            process_ = -1;
            throw std::runtime_error("standin_target cannot be started");
        }
    }

    pid_t process_ = -1;
};

target_process::target_process(const std::string& id, const std::vector<std::string>& flags)
    : implementation_(std::make_unique<implementation>(id, flags)) {}

target_process::~target_process() = default;

const std::string& target_process::id() const noexcept {
    return implementation_->id_;
}

std::uint16_t target_process::port() const noexcept {
    return implementation_->port_;
}

std::uint16_t target_process::replication_port() const noexcept {
    return implementation_->replication_port_;
}

void target_process::control(const std::string& name, const std::string& value) const {
    implementation_->control(name, value);
}

void target_process::kill() noexcept {
    implementation_->kill();
}

std::vector<std::unique_ptr<target_process>> start_group(const std::vector<std::string>& ids,
                                                         const std::vector<std::string>& flags) {
    std::vector<std::unique_ptr<target_process>> group;
    std::string members;
    for (const std::string& id : ids) {
        std::vector<std::string> own = flags;
        if (group.empty()) {
            own.emplace_back("--primary");
        }
        group.push_back(std::make_unique<target_process>(id, own));
        members += (members.empty() ? "" : ",") + id + "=" + std::to_string(group.back()->port()) +
                   ":" + std::to_string(group.back()->replication_port());
    }
    for (const std::unique_ptr<target_process>& member : group) {
        member->control("members", members);
    }
    return group;
}

} // namespace lovagemoor::standin_target
