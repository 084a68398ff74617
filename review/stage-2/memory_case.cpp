#include "stage.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>

/// @file
/// @brief Case 6: a client sets session values of legal size and replaces them by small ones. The
/// host keeps the memory of the large ones and exceeds what its machine has.

namespace {

using namespace lovagemoor;
using namespace std::chrono_literals;
using review::clock;

constexpr std::size_t rounds = 3;
/// Hosts that a client of this kind connects to.
constexpr std::size_t used_hosts = 2;
/// Session values that a client sets. Their names and last contents are a few KB in all.
constexpr std::size_t values = 300;
/// With its name, a message of this size is below 1 MiB.
constexpr std::size_t large_bytes = 1'040'000;
constexpr std::size_t ordinary_bytes = 40;
/// The bounds of the rule: ends on each of two hosts.
constexpr unsigned ends_that_count = 3;
constexpr std::size_t hosts_that_count = 2;

/// @brief The platform's part: a process that exceeds its memory is killed, and a process that has
/// ended is started again after a second.
class supervisor {
public:
    supervisor(review::deployment& hosts, review::run_record& record)
        : hosts_{hosts}, record_{record}, thread_{[this] { watch(); }} {}

    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;
    supervisor(supervisor&&) = delete;
    supervisor& operator=(supervisor&&) = delete;

    ~supervisor() {
        stopped_ = true;
        thread_.join();
    }

    [[nodiscard]] unsigned ends(std::size_t host) const { return ends_.at(host); }

    [[nodiscard]] std::size_t peak_kb(std::size_t host) const { return peaks_kb_.at(host); }

private:
    void watch() {
        const std::size_t limit_kb = hosts_.settings().memory_mb * 1024;
        while (!stopped_) {
            for (std::size_t host = 0; host < hosts_.settings().hosts; ++host) {
                const std::size_t used_kb = hosts_.memory_kb(host);
                peaks_kb_.at(host) = std::max<std::size_t>(peaks_kb_.at(host), used_kb);
                if (used_kb > limit_kb) {
                    record_.note("host-" + std::to_string(host) + " uses " +
                                 std::to_string(used_kb) + " KiB of " + std::to_string(limit_kb) +
                                 ": the platform kills it");
                    hosts_.kill(host);
                }
                if (const std::optional<int> code = hosts_.exit_code(host)) {
                    record_.note("host-" + std::to_string(host) + " has ended with " +
                                 std::to_string(*code));
                    ++ends_.at(host);
                    std::this_thread::sleep_for(1s);
                    hosts_.start(host);
                }
            }
            std::this_thread::sleep_for(2ms);
        }
    }

    review::deployment& hosts_;
    review::run_record& record_;
    std::array<std::atomic<unsigned>, 3> ends_{};
    std::array<std::atomic<std::size_t>, 3> peaks_kb_{};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

/// @brief One session that sets values and replaces each by a small one. It waits for each answer.
/// @return What ended it.
std::string set_values(review::deployment& hosts, std::size_t host, std::size_t value_bytes) {
    const std::string value(value_bytes, 'v');
    review::client_session session;
    if (!session.open(hosts.caller_port(host), "orders", 2s)) {
        return "no greeting";
    }
    for (std::size_t index = 0; index < values; ++index) {
        const std::string name = "value" + std::to_string(index);
        for (const std::string& content : {value, std::string{"none"}}) {
            std::string text{"SET "};
            text.append(name).append(" ").append(content);
            const review::client_session::answer answer =
                session.run("q" + std::to_string(index), text, 3s);
            if (!answer.succeeded()) {
                return "SET " + name + ": " + answer.text();
            }
        }
    }
    const review::client_session::answer answer = session.run("last", "READ kit-1", 3s);
    return "all values are set; READ: " + answer.text();
}

bool serves_ordinary_session(review::deployment& hosts, std::size_t host) {
    for (int attempt = 0; attempt < 40; ++attempt) {
        review::client_session session;
        if (session.open(hosts.caller_port(host), "orders", 2s) &&
            session.run("ordinary", "READ kit-1", 2s).succeeded()) {
            return true;
        }
        std::this_thread::sleep_for(250ms);
    }
    return false;
}

int run_case(const std::string& host_program, const std::string& record_path) {
    review::run_record record{record_path};
    review::deployment hosts{host_program, {}, record, {}};
    for (std::size_t host = 0; host < hosts.settings().hosts; ++host) {
        if (!hosts.wait_until_ready(host, 20s) || !serves_ordinary_session(hosts, host)) {
            record.note("host-" + std::to_string(host) + " did not start");
            return 2;
        }
    }
    const std::size_t value_bytes = review::with_trouble() ? large_bytes : ordinary_bytes;
    record.note("values of " + std::to_string(value_bytes) + " bytes");
    const supervisor platform{hosts, record};
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t host = 0; host < used_hosts; ++host) {
            record.note("round " + std::to_string(round) + ", host-" + std::to_string(host) + ": " +
                        set_values(hosts, host, value_bytes));
            record.note("peak so far " + std::to_string(platform.peak_kb(host)) + " KiB");
        }
        for (std::size_t host = 0; host < used_hosts; ++host) {
            record.note("host-" + std::to_string(host) +
                        (serves_ordinary_session(hosts, host) ? " serves" : " does not serve") +
                        " an ordinary session");
        }
    }
    std::size_t ended = 0;
    for (std::size_t host = 0; host < hosts.settings().hosts; ++host) {
        record.note("host-" + std::to_string(host) + ": peak " +
                    std::to_string(platform.peak_kb(host)) + " KiB, ended " +
                    std::to_string(platform.ends(host)) + " times");
        ended += platform.ends(host) >= ends_that_count ? 1 : 0;
    }
    const bool broken = ended >= hosts_that_count;
    record.note(broken ? "Fault: processes ended three times on two hosts" : "the rule held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    if (argument_count != 3) {
        return 2;
    }
    try {
        return run_case(arguments[1], arguments[2]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
