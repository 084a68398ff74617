#include "stage.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>

/// @file
/// @brief Cases on memory: clients send messages of legal size, and the host keeps them without
/// counting them, until it exceeds the memory of its machine.

namespace {

using namespace lovagemoor;
using namespace std::chrono_literals;
using review::clock;

constexpr std::size_t rounds = 3;
/// Hosts that a client of this kind connects to.
constexpr std::size_t used_hosts = 2;
/// Session values that a client sets. Their names and last contents are a few KB in all.
constexpr std::size_t values = 300;
constexpr std::size_t idle_sessions = 250;
/// What these sessions keep is within the memory for callers.
constexpr std::size_t grouped_sessions = 24;
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

using sessions = std::vector<std::unique_ptr<review::client_session>>;

/// @brief Runs a statement of a session, or opens it, unless something failed before.
class client_step {
public:
    client_step(review::client_session& session, std::string& failure)
        : session_{session}, failure_{failure} {}

    client_step& open(std::uint16_t port, const std::string& database) {
        if (failure_.empty() && !session_.open(port, database, 3s)) {
            failure_ = "no greeting";
        }
        return *this;
    }

    client_step& run(const std::string& text) {
        if (failure_.empty()) {
            const review::client_session::answer answer =
                session_.run("q" + std::to_string(++last_), text, 3s);
            if (!answer.succeeded()) {
                failure_ = text.substr(0, 20) + ": " + answer.text();
            }
        }
        return *this;
    }

private:
    review::client_session& session_;
    std::string& failure_;
    unsigned last_ = 0;
};

/// @brief One session that sets values and replaces each by a small one. It waits for each answer.
/// @return What ended it.
std::string set_values(review::deployment& hosts, std::size_t host, std::size_t value_bytes) {
    const std::string value(value_bytes, 'v');
    std::string failure;
    review::client_session session;
    client_step step{session, failure};
    step.open(hosts.caller_port(host), "orders");
    for (std::size_t index = 0; index < values && failure.empty(); ++index) {
        std::string name{"SET value"};
        name.append(std::to_string(index)).append(" ");
        step.run(name + value).run(name + "none");
    }
    step.run("READ kit-1");
    return failure;
}

/// @brief Sessions whose clients name themselves at length, and read an item each.
std::string open_sessions(review::deployment& hosts, std::size_t host, std::size_t value_bytes) {
    const std::string who(value_bytes, 'w');
    std::string failure;
    sessions opened;
    for (std::size_t index = 0; index < idle_sessions && failure.empty(); ++index) {
        review::client_session& session =
            *opened.emplace_back(std::make_unique<review::client_session>());
        client_step{session, failure}
            .open(hosts.caller_port(host), "orders " + who)
            .run("READ kit-1");
    }
    return failure;
}

/// @brief Groups of sessions, one after the other. Each session executes a prepared statement, sets
/// two values and reads in one transaction. The transactions of a group are open at the same time.
std::string use_connections(review::deployment& hosts, std::size_t host, std::size_t value_bytes) {
    const std::string value(value_bytes, 'v');
    std::string failure;
    for (const std::string database : {"orders", "reports", "reports", "orders", "reports"}) {
        sessions opened;
        for (std::size_t index = 0; index < grouped_sessions && failure.empty(); ++index) {
            review::client_session& session =
                *opened.emplace_back(std::make_unique<review::client_session>());
            client_step{session, failure}
                .open(hosts.caller_port(host), database)
                .run("PREPARE p READ " + value)
                .run("BEGIN READ")
                .run("EXECUTE p kit-1")
                .run("DEALLOC p")
                .run("SET zone " + value)
                .run("SET note " + value)
                .run("READ kit-1");
        }
        for (const std::unique_ptr<review::client_session>& session : opened) {
            client_step{*session, failure}.run("COMMIT");
        }
    }
    return failure;
}

using client_function = std::function<std::string(review::deployment&, std::size_t, std::size_t)>;

const std::map<std::string, client_function> client_kinds{
    {"values", set_values}, {"sessions", open_sessions}, {"connections", use_connections}};

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

int run_case(const std::string& host_program, const std::string& record_path,
             const client_function& clients) {
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
            const std::string failure = clients(hosts, host, value_bytes);
            record.note("round " + std::to_string(round) + ", host-" + std::to_string(host) + ": " +
                        (failure.empty() ? "all statements succeeded" : "ended by " + failure));
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
    if (argument_count != 4) {
        return 2;
    }
    try {
        return run_case(arguments[1], arguments[2], client_kinds.at(arguments[3]));
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
