#include "soak_run.hpp"

#include <lovagemoor/testbed/free_ports.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace lovagemoor::soak {

namespace internal {

namespace {

constexpr std::size_t host_count = 3;
constexpr std::size_t callers_per_host_and_database = 2;
constexpr std::chrono::seconds stop_grace{3};
/// Each caller must be served within this time after the last fault (the platform's bound).
constexpr std::chrono::seconds recovery_limit{12};
/// Delay before the first fault, in which the hosts become ready.
constexpr std::chrono::milliseconds fault_start_delay{1500};
constexpr std::chrono::milliseconds watch_interval{20};
/// Exit code that `child_process` returns for a process that SIGTERM ended.
constexpr int sigterm_exit = 128 + SIGTERM;
constexpr const char* started_event = " event=started ";

struct database {
    const char* name;
    const char* route_type;
    std::chrono::milliseconds max_staleness;
};

constexpr database databases[] = {
    {"latest", "primary", std::chrono::milliseconds{0}},
    {"bounded", "bounded_staleness", std::chrono::milliseconds{1000}},
    {"own", "read_your_writes", std::chrono::milliseconds{2000}},
};

/// @return The loopback address on which the hosts of this run listen, and no other run's. On a
/// shared address, another run's host can take the port of a host that is about to be restarted,
/// and then receives this run's callers.
boost::asio::ip::address_v4 run_address() {
    constexpr std::uint32_t first_address = 0x7f40'0000; // 127.64.0.0
    constexpr std::uint32_t process_ids = 1U << 22U;     // Linux gives out no more
    return boost::asio::ip::address_v4{first_address +
                                       static_cast<std::uint32_t>(::getpid()) % process_ids};
}

std::int64_t milliseconds_since(clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
}

} // namespace

} // namespace internal

soak_run::soak_run(std::uint32_t seed, std::chrono::seconds length)
    : seed_{seed},
      length_{length},
      random_{seed},
      directory_{std::filesystem::temp_directory_path() /
                 ("lovagemoor-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed))},
      registry_{context_},
      targets_{context_, registry_, history_},
      started_{clock::now()} {
    std::filesystem::create_directories(directory_);
    publish_configuration();
    start_hosts();
    create_callers();
    define_host_faults();
    define_target_faults();
}

void soak_run::start_hosts() {
    const std::uint16_t registry_port = static_cast<std::uint16_t>(
        std::stoul(registry_.address().substr(registry_.address().rfind(':') + 1)));
    const std::vector<std::uint16_t> ports = testbed::find_free_ports(2 * internal::host_count);
    for (std::size_t index = 0; index < internal::host_count; ++index) {
        host& new_host = *hosts_.emplace_back(std::make_unique<host>());
        new_host.id = "host-" + std::to_string(index);
        new_host.caller_port = ports[2 * index];
        new_host.ready_port = ports[2 * index + 1];
        new_host.registry_link = std::make_unique<fault_link>(context_, registry_port);
        start_host(new_host);
    }
}

void soak_run::create_callers() {
    std::uint64_t session = 0;
    for (const auto& current_host : hosts_) {
        for (const internal::database& database : internal::databases) {
            for (std::size_t copy = 0; copy < internal::callers_per_host_and_database; ++copy) {
                host* const connected_host = current_host.get();
                callers_.push_back(std::make_unique<caller>(
                    context_, history_, targets_,
                    caller_options{++session,
                                   {internal::run_address(), connected_host->caller_port},
                                   database.name,
                                   database.max_staleness,
                                   static_cast<std::uint32_t>(random_()),
                                   [connected_host](clock::time_point since) {
                                       return !connected_host->paused &&
                                              !connected_host->stopping &&
                                              !connected_host->killed &&
                                              connected_host->last_disturbed < since;
                                   },
                                   [connected_host] {
                                       return connected_host->stopping && !connected_host->killed &&
                                              !connected_host->paused &&
                                              connected_host->last_disturbed <
                                                  connected_host->stopping_since;
                                   }}));
            }
        }
    }
}

void soak_run::define_host_faults() {
    faults_ = {
        {"kill", [this] { kill_host(random_host()); }},
        {"pause", [this] { pause_host(random_host()); }},
        {"stop", [this] { stop_host(random_host()); }},
        {"reload",
         [this] {
             host& reloaded = random_host();
             // Before it has started, a host has no handler for SIGHUP, so the signal would end it.
             if (reloaded.process.has_value() && !reloaded.stopping && has_started(reloaded)) {
                 reloaded.process->send_signal(SIGHUP);
             }
         }},
        {"target link",
         [this] { inject_link_fault(targets_.link(random_below(target_group::size))); }},
        {"registry link", [this] { inject_link_fault(*random_host().registry_link); }},
        {"registry outage",
         [this] {
             for (const auto& current_host : hosts_) {
                 current_host->registry_link->apply({{}, true, true, false});
             }
             run_after(random_time(500, 3000), [this] {
                 for (const auto& current_host : hosts_) {
                     current_host->registry_link->apply({});
                 }
             });
         }},
    };
}

void soak_run::define_target_faults() {
    const std::vector<named_fault> target_faults{
        {"target crash",
         [this] {
             const std::size_t victim = random_below(target_group::size);
             targets_.crash(victim);
             run_after(random_time(500, 4000), [this, victim] { targets_.restart(victim); });
         }},
        {"target busy",
         [this] {
             const std::size_t victim = random_below(target_group::size);
             targets_.set_busy(victim, true);
             run_after(random_time(100, 800), [this, victim] { targets_.set_busy(victim, false); });
         }},
        {"replica lag",
         [this] {
             const std::size_t victim = random_below(target_group::size);
             targets_.set_lag(victim, random_time(100, 3000));
             run_after(random_time(500, 4000),
                       [this, victim] { targets_.set_lag(victim, std::chrono::milliseconds{5}); });
         }},
        {"lost answers",
         [this] {
             targets_.lose_answers(random_below(target_group::size),
                                   static_cast<unsigned>(1 + random_below(5)));
         }},
        {"configuration", [this] { publish_configuration(); }},
    };
    faults_.insert(faults_.end(), target_faults.begin(), target_faults.end());
}

soak_run::~soak_run() {
    hosts_.clear();
    if (history_.violations().empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::size_t soak_run::random_below(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(random_);
}

std::chrono::milliseconds soak_run::random_time(int from_ms, int to_ms) {
    return std::chrono::milliseconds{std::uniform_int_distribution<int>{from_ms, to_ms}(random_)};
}

soak_run::host& soak_run::random_host() {
    return *hosts_[random_below(hosts_.size())];
}

void soak_run::log(const std::string& what) {
    std::cout << internal::milliseconds_since(started_) << " ms " << what << "\n";
}

void soak_run::publish_configuration() {
    nlohmann::json config{{"config_version", ++configuration_version_},
                          {"routes", nlohmann::json::array()},
                          {"services", {{{"name", "s"}, {"max_connections", 40}}}},
                          {"limits", {{"tx_idle_ms", 5000}}}};
    for (const internal::database& database : internal::databases) {
        config["routes"].push_back({{"host", database.name},
                                    {"service", "s"},
                                    {"route_type", database.route_type},
                                    {"max_staleness_ms", database.max_staleness.count()},
                                    {"timeout_ms", 1000},
                                    {"target_latency_ms", 200},
                                    {"priority", 1}});
    }
    registry_.put("op/config", config.dump());
}

void soak_run::start_host(host& started_host) {
    const std::string address = internal::run_address().to_string();
    const std::string base_path = (directory_ / started_host.id).string();
    std::ofstream file{base_path + ".ini"};
    file << "[host]\nid = " << started_host.id << "\nfailure_domain = " << started_host.id.back()
         << "\ncaller_listen = " << address << ":" << started_host.caller_port
         << "\nready_listen = " << address << ":" << started_host.ready_port
         << "\nstop_grace_s = " << internal::stop_grace.count()
         << "\n[registry]\naddress = " << started_host.registry_link->address()
         << "\npromotion_address = " << targets_.promotion_address() << "\n[log]\nlevel = info\n";
    file.close();
    started_host.paused = false;
    started_host.stopping = false;
    started_host.killed = false;
    started_host.last_disturbed = clock::now();
    started_host.log_path = base_path + ".log";
    std::error_code missing;
    const std::uintmax_t log_size = std::filesystem::file_size(started_host.log_path, missing);
    started_host.log_offset = missing ? 0 : log_size;
    // The shell redirects the log and then replaces itself with the host, which keeps its process
    // id.
    started_host.process.emplace(
        std::vector<std::string>{"/bin/sh", "-c",
                                 std::string{"exec "} + testbed::host_program() +
                                     " --sessions --settings=" + base_path + ".ini >> " +
                                     base_path + ".log"},
        base_path + ".err");
}

bool soak_run::has_started(const host& started_host) {
    std::ifstream file{started_host.log_path};
    file.seekg(static_cast<std::streamoff>(started_host.log_offset));
    std::string line;
    while (std::getline(file, line)) {
        if (line.find(internal::started_event) != std::string::npos) {
            return true;
        }
    }
    return false;
}

bool soak_run::is_expected_exit(const host& ended_host, int code) {
    if (ended_host.killed) {
        return true;
    }
    // A process that SIGTERM reaches before it has installed its handler is ended by the signal.
    return ended_host.stopping &&
           (code == 0 || (code == internal::sigterm_exit && !has_started(ended_host)));
}

void soak_run::watch_processes() {
    for (const auto& current_host : hosts_) {
        host& watched = *current_host;
        if (!watched.process.has_value()) {
            continue;
        }
        const std::optional<int> code =
            watched.process->wait_for_exit(std::chrono::milliseconds{0});
        if (!code.has_value()) {
            continue;
        }
        if (!is_expected_exit(watched, *code)) {
            history_.report_violation("CRASH",
                                      watched.id + " ended with code " + std::to_string(*code));
        }
        watched.process.reset();
        if (!run_ending_) {
            run_after(random_time(50, 1500), [this, &watched] {
                if (!watched.process.has_value() && !run_ending_) {
                    start_host(watched);
                }
            });
        }
    }
    run_after(internal::watch_interval, [this] { watch_processes(); });
}

void soak_run::run_after(std::chrono::milliseconds delay, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error) {
            action();
        }
    });
}

void soak_run::schedule_fault() {
    if (!injecting_faults_) {
        return;
    }
    const named_fault& chosen = faults_[random_below(faults_.size())];
    log(std::string{"fault: "} + chosen.name);
    chosen.inject();
    run_after(random_time(100, 900), [this] { schedule_fault(); });
}

void soak_run::kill_host(host& victim) {
    if (victim.process.has_value()) {
        victim.killed = true;
        victim.process->send_signal(SIGKILL);
    }
}

void soak_run::pause_host(host& victim) {
    if (!victim.process.has_value() || victim.paused) {
        return;
    }
    const pid_t process = victim.process->pid();
    victim.paused = true;
    victim.process->send_signal(SIGSTOP);
    run_after(random_time(200, 3000), [&victim, process] {
        if (victim.process.has_value() && victim.process->pid() == process) {
            victim.process->send_signal(SIGCONT);
            victim.paused = false;
            victim.last_disturbed = clock::now();
        }
    });
}

void soak_run::stop_host(host& victim) {
    if (victim.process.has_value() && !victim.stopping) {
        victim.stopping = true;
        victim.stopping_since = clock::now();
        victim.process->send_signal(SIGTERM);
    }
}

void soak_run::inject_link_fault(fault_link& link) {
    switch (random_below(5)) {
    case 0:
        link.reset();
        return;
    case 1:
        link.apply({random_time(10, 300), false, false, false});
        break;
    case 2:
        link.apply({{}, true, false, false});
        break;
    case 3:
        link.apply({{}, false, true, false});
        break;
    default:
        link.apply({{}, true, true, true});
        break;
    }
    run_after(random_time(300, 3000), [&link] { link.apply({}); });
}

void soak_run::end_faults() {
    injecting_faults_ = false;
    log("faults ended");
    for (std::size_t index = 0; index < target_group::size; ++index) {
        targets_.link(index).apply({});
        targets_.restart(index);
        targets_.set_busy(index, false);
        targets_.set_lag(index, std::chrono::milliseconds{5});
        targets_.lose_answers(index, 0);
    }
    for (const auto& current_host : hosts_) {
        current_host->registry_link->apply({});
        if (current_host->process.has_value()) {
            current_host->process->send_signal(SIGCONT);
        }
        current_host->paused = false;
        current_host->last_disturbed = clock::now();
    }
    const clock::time_point faults_ended = clock::now();
    run_after(internal::recovery_limit, [this, faults_ended] {
        for (std::size_t index = 0; index < callers_.size(); ++index) {
            if (callers_[index]->last_success() < faults_ended) {
                history_.report_violation("RECOVER", "caller " + std::to_string(index + 1) +
                                                         " was not served after the faults ended");
            }
        }
        stop_all();
    });
}

void soak_run::stop_all() {
    run_ending_ = true;
    for (const auto& current_host : hosts_) {
        stop_host(*current_host);
    }
    run_after(internal::stop_grace + std::chrono::seconds{1}, [this] {
        for (const auto& current_host : hosts_) {
            if (current_host->process.has_value()) {
                history_.report_violation("STOP",
                                          current_host->id + " still runs after its grace period");
            }
        }
        context_.stop();
    });
}

bool soak_run::execute() {
    std::cout << "seed " << seed_ << ", logs in " << directory_.string() << "\n";
    for (const auto& new_caller : callers_) {
        new_caller->start();
    }
    watch_processes();
    run_after(internal::fault_start_delay, [this] { schedule_fault(); });
    run_after(internal::fault_start_delay + length_, [this] { end_faults(); });
    context_.run();
    targets_.check_refusals();
    std::cout << "EXECUTE runs " << history_.judge.executed() << ", ";
    for (const auto& [outcome, count] : history_.outcomes) {
        std::cout << outcome << " " << count << ", ";
    }
    std::cout << "promotions " << targets_.promotions() << "\n";
    for (const std::string& violation : history_.violations()) {
        std::cout << "BROKEN " << violation << "\n";
    }
    return history_.violations().empty();
}

} // namespace lovagemoor::soak
