#include "process_stats.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lovagemoor::bench {

namespace {

std::chrono::microseconds processor_time(pid_t pid) {
    // User and kernel time are fields 14 and 15 of the line. The fields are counted from the end of
    // field 2, because the process name in it may contain spaces.
    constexpr int fields_before_utime = 11;
    std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
    std::string line;
    if (!std::getline(file, line)) {
        throw std::runtime_error{"cannot read the processor time: the host process has ended"};
    }
    std::istringstream fields{line.substr(line.rfind(')') + 1)};
    std::string skipped;
    for (int index = 0; index < fields_before_utime; ++index) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    fields >> user >> kernel;
    return std::chrono::microseconds{std::chrono::seconds{user + kernel}} / sysconf(_SC_CLK_TCK);
}

/// TCP connection to a port on loopback. The destructor closes the socket.
class metrics_connection {
public:
    explicit metrics_connection(std::uint16_t port)
        : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0) {
            ::close(descriptor_);
            throw std::runtime_error{"cannot connect to the metrics endpoint of a host"};
        }
    }

    metrics_connection(const metrics_connection&) = delete;
    metrics_connection& operator=(const metrics_connection&) = delete;
    metrics_connection(metrics_connection&&) = delete;
    metrics_connection& operator=(metrics_connection&&) = delete;

    ~metrics_connection() { ::close(descriptor_); }

    void send(const std::string& text) const {
        static_cast<void>(::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL));
    }

    /// @return All bytes that arrive until the host closes the connection.
    [[nodiscard]] std::string receive() const {
        std::string text;
        std::array<char, 65536> buffer{};
        ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        while (count > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
            count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        }
        return text;
    }

private:
    int descriptor_;
};

std::string fetch_metrics(const std::string& address) {
    const metrics_connection http{
        static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))};
    http.send("GET /metrics HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n");
    return http.receive();
}

} // namespace

std::chrono::microseconds hosts_processor_time(testbed::cluster& system) {
    std::chrono::microseconds sum{0};
    for (const testbed::cluster_host& host : system.hosts()) {
        sum += processor_time(host.process->pid());
    }
    return sum;
}

double sum_counter(testbed::cluster& system, const std::string& counter, const std::string& label) {
    double sum = 0;
    for (const testbed::cluster_host& host : system.hosts()) {
        std::istringstream lines{fetch_metrics(host.metrics_address)};
        std::string line;
        while (std::getline(lines, line)) {
            const bool matches = line.find(counter + "{") != std::string::npos &&
                                 line.find(label) != std::string::npos;
            if (matches && line.front() != '#') {
                sum += std::stod(line.substr(line.rfind(' ') + 1));
            }
        }
    }
    return sum;
}

} // namespace lovagemoor::bench
