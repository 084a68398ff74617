#include "deployment.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>
#include <utility>

namespace lovagemoor::review {

namespace {

using boost::asio::ip::tcp;
using json = nlohmann::json;

constexpr std::chrono::seconds ready_timeout{20};
constexpr std::chrono::milliseconds ready_poll_interval{50};

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::uint16_t find_free_port() {
    boost::asio::io_context context;
    const tcp::acceptor acceptor{context,
                                 tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
}

void replace(std::string& text, const std::string& placeholder, const std::string& value) {
    const std::size_t found = text.find("{{" + placeholder + "}}");
    if (found != std::string::npos) {
        text.replace(found, placeholder.size() + 4, value);
    }
}

} // namespace

deployment::deployment(record& events, std::string root)
    : events_{events},
      root_{std::move(root)},
      store_{events},
      promotions_{[this](const http_request& request) { return answer_promotion(request); }} {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "lovagemoor-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    directory_ = pattern;
}

void deployment::stop() {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (!has_ended(index)) {
            send_signal(index, SIGKILL);
            ::waitpid(hosts_[index].process, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

database_group& deployment::add_group(database_group_settings settings) {
    groups_.push_back(std::make_unique<database_group>(events_, store_, std::move(settings)));
    return *groups_.back();
}

void deployment::configure(const std::vector<route>& routes, unsigned synchronous_replicas) {
    ++version_;
    json list = json::array();
    for (const route& described : routes) {
        json entry{{"name", "r-" + described.database},
                   {"host", described.database},
                   {"path_prefix", "/"},
                   {"route_type", described.type},
                   {"timeout_ms", described.timeout_ms},
                   {"target_latency_ms", described.target_latency_ms},
                   {"priority", 1},
                   {"service", described.service},
                   {"attempts", 2}};
        if (described.max_staleness_ms > 0) {
            entry["max_staleness_ms"] = described.max_staleness_ms;
        }
        list.push_back(std::move(entry));
    }
    json services = json::array();
    for (const auto& group : groups_) {
        services.push_back({{"name", group->service()},
                            {"health_path", "/health"},
                            {"max_connections", 72},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"sync_replicas", synchronous_replicas}});
    }
    const json document{{"config_version", version_},
                        {"routes", list},
                        {"services", services},
                        {"limits", {{"tx_idle_ms", 3000}, {"idle_timeout_ms", 15000}}}};
    store_.put("op/config", document.dump());
}

http_response deployment::answer_promotion(const http_request& request) {
    if (request.method != "POST" || request.path != "/promotion") {
        return {404, "{}"};
    }
    const json body = json::parse(request.body);
    for (const auto& group : groups_) {
        if (group->service() == body.at("service").get<std::string>()) {
            return group->promote(body.at("id").get<std::string>(),
                                  request.headers.at("lovagemoor-duty-holder"),
                                  std::stoull(request.headers.at("lovagemoor-fencing-token")));
        }
    }
    return {409, "{}"};
}

std::string deployment::settings_of(std::size_t index, const host& described) {
    constexpr std::array<const char*, 3> zones{"zone-a", "zone-b", "zone-c"};
    std::string text = read_file(root_ + "/deploy/host.ini");
    replace(text, "node_name", "host-" + std::to_string(index + 1));
    replace(text, "zone", zones.at(index % zones.size()));
    replace(text, "listen.front", "127.0.0.1:" + std::to_string(described.client_port));
    replace(text, "listen.ready_addr", "127.0.0.1:" + std::to_string(described.ready_port));
    replace(text, "bounds.grace_s", "6");
    replace(text, "platform.address", store_.open_address());
    replace(text, "cloud_api.address", promotions_.address());
    replace(text, "bounds.drain_ms", "7000");
    return text;
}

pid_t deployment::start_process(const std::string& settings_path,
                                const std::string& log_path) const {
    const std::string program = root_ + "/target/bin/lovagemoord";
    const std::string settings = "--settings=" + settings_path;
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "--sessions", settings.c_str(), nullptr);
        ::_exit(static_cast<int>(verdict::not_run));
    }
    return process;
}

bool deployment::start_hosts(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        host started;
        started.client_port = find_free_port();
        started.ready_port = find_free_port();
        const std::string name = directory_ + "/host-" + std::to_string(index + 1);
        std::ofstream{name + ".ini"} << settings_of(index, started);
        started.process = start_process(name + ".ini", name + ".log");
        hosts_.push_back(started);
    }
    const clock::time_point deadline = clock::now() + ready_timeout;
    for (const host& started : hosts_) {
        while (!is_ready(started.ready_port)) {
            if (clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(ready_poll_interval);
        }
    }
    events_.add("case", std::to_string(count) + " hosts are ready");
    return true;
}

bool deployment::is_ready(std::uint16_t port) {
    boost::asio::io_context context;
    tcp::socket socket{context};
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (error) {
        return false;
    }
    const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: host\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request), error);
    std::array<char, 64> response{};
    const std::size_t length = socket.read_some(boost::asio::buffer(response), error);
    return std::string{response.data(), length}.starts_with("HTTP/1.1 200");
}

std::uint16_t deployment::client_port(std::size_t host) const {
    return hosts_.at(host).client_port;
}

void deployment::send_signal(std::size_t host, int number) const {
    events_.add("case",
                "sends signal " + std::to_string(number) + " to host-" + std::to_string(host + 1));
    ::kill(hosts_.at(host).process, number);
}

bool deployment::has_ended(std::size_t host) {
    bool& ended = hosts_.at(host).ended;
    if (!ended && ::waitpid(hosts_.at(host).process, nullptr, WNOHANG) != 0) {
        ended = true;
        events_.add("case", "host-" + std::to_string(host + 1) + " has ended");
    }
    return ended;
}

bool with_disruption() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

void run_case(int argc, char** argv, verdict (*play)(record&, deployment&)) {
    if (argc != 3) {
        std::_Exit(static_cast<int>(verdict::not_run));
    }
    std::signal(SIGPIPE, SIG_IGN);
    verdict result = verdict::not_run;
    record events{argv[2]};
    // The threads of the stand-ins use it until the process ends, so it is not destroyed.
    const std::unique_ptr<deployment> site = std::make_unique<deployment>(events, argv[1]);
    try {
        result = play(events, *site);
    } catch (const std::exception& error) {
        events.add("case", std::string{"could not run: "} + error.what());
    }
    site->stop();
    const char* const text = result == verdict::held     ? "the rule held"
                             : result == verdict::broken ? "THE RULE WAS BROKEN"
                                                         : "the case could not run";
    events.add("case", text);
    std::cout << text << std::endl;
    std::_Exit(static_cast<int>(result));
}

} // namespace lovagemoor::review
