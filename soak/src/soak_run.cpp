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
/// After the last fault every caller is served within this time (the platform's bound).
constexpr std::chrono::seconds recovery_limit{12};
/// Time until hosts are ready before faults begin.
constexpr std::chrono::milliseconds quiet_start{1500};
constexpr std::chrono::milliseconds watch_interval{20};

struct database {
    const char* name;
    const char* route_type;
    std::chrono::milliseconds staleness;
};

constexpr database databases[] = {
    {"latest", "primary", std::chrono::milliseconds{0}},
    {"bounded", "bounded_staleness", std::chrono::milliseconds{1000}},
    {"own", "read_your_writes", std::chrono::milliseconds{2000}},
};

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
      store_{context_},
      targets_{context_, store_, promises_},
      started_{clock::now()} {
    std::filesystem::create_directories(directory_);
    configure();
    make_hosts();
    make_callers();
    make_host_faults();
    make_target_faults();
}

void soak_run::make_hosts() {
    const std::uint16_t store_port = static_cast<std::uint16_t>(
        std::stoul(store_.address().substr(store_.address().rfind(':') + 1)));
    const std::vector<std::uint16_t> ports = testbed::find_free_ports(2 * internal::host_count);
    for (std::size_t index = 0; index < internal::host_count; ++index) {
        host& made = *hosts_.emplace_back(std::make_unique<host>());
        made.id = "host-" + std::to_string(index);
        made.caller_port = ports[2 * index];
        made.ready_port = ports[2 * index + 1];
        made.store_link = std::make_unique<fault_link>(context_, store_port);
        start_host(made);
    }
}

void soak_run::make_callers() {
    std::uint64_t session = 0;
    for (const auto& known : hosts_) {
        for (const internal::database& asked : internal::databases) {
            for (std::size_t copy = 0; copy < internal::callers_per_host_and_database; ++copy) {
                host* const at = known.get();
                callers_.push_back(std::make_unique<caller>(
                    context_, promises_, targets_,
                    caller_options{++session, at->caller_port, asked.name, asked.staleness,
                                   static_cast<std::uint32_t>(random_()),
                                   [at](clock::time_point since) {
                                       return !at->paused && !at->stopping && !at->killed &&
                                              at->disturbed < since;
                                   },
                                   [at] {
                                       return at->stopping && !at->killed && !at->paused &&
                                              at->disturbed < at->stopping_since;
                                   }}));
            }
        }
    }
}

void soak_run::make_host_faults() {
    faults_ = {
        {"kill", [this] { kill_host(any_host()); }},
        {"pause", [this] { pause_host(any_host()); }},
        {"stop", [this] { stop_host(any_host()); }},
        {"reload",
         [this] {
             host& reloaded = any_host();
             // Before it is ready, a host has no handler for the signal.
             if (reloaded.process.has_value() && !reloaded.stopping &&
                 clock::now() - reloaded.disturbed > internal::quiet_start) {
                 reloaded.process->send_signal(SIGHUP);
             }
         }},
        {"target link", [this] { harm_link(targets_.link(draw(target_group::size))); }},
        {"store link", [this] { harm_link(*any_host().store_link); }},
        {"store down",
         [this] {
             for (const auto& known : hosts_) {
                 known->store_link->apply({{}, true, true, false});
             }
             after(draw_time(500, 3000), [this] {
                 for (const auto& known : hosts_) {
                     known->store_link->apply({});
                 }
             });
         }},
    };
}

void soak_run::make_target_faults() {
    const std::vector<named_fault> more{
        {"target crash",
         [this] {
             const std::size_t victim = draw(target_group::size);
             targets_.crash(victim);
             after(draw_time(500, 4000), [this, victim] { targets_.restart(victim); });
         }},
        {"target busy",
         [this] {
             const std::size_t victim = draw(target_group::size);
             targets_.set_busy(victim, true);
             after(draw_time(100, 800), [this, victim] { targets_.set_busy(victim, false); });
         }},
        {"replica lag",
         [this] {
             const std::size_t victim = draw(target_group::size);
             targets_.set_lag(victim, draw_time(100, 3000));
             after(draw_time(500, 4000),
                   [this, victim] { targets_.set_lag(victim, std::chrono::milliseconds{5}); });
         }},
        {"lost answers",
         [this] {
             targets_.lose_answers(draw(target_group::size), static_cast<unsigned>(1 + draw(5)));
         }},
        {"configuration", [this] { configure(); }},
    };
    faults_.insert(faults_.end(), more.begin(), more.end());
}

soak_run::~soak_run() {
    hosts_.clear();
    if (promises_.violations.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::size_t soak_run::draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(random_);
}

std::chrono::milliseconds soak_run::draw_time(int from_ms, int to_ms) {
    return std::chrono::milliseconds{std::uniform_int_distribution<int>{from_ms, to_ms}(random_)};
}

soak_run::host& soak_run::any_host() {
    return *hosts_[draw(hosts_.size())];
}

void soak_run::note(const std::string& what) {
    std::cout << internal::milliseconds_since(started_) << " ms " << what << "\n";
}

void soak_run::configure() {
    nlohmann::json config{{"config_version", ++version_},
                          {"routes", nlohmann::json::array()},
                          {"services", {{{"name", "s"}, {"max_connections", 40}}}},
                          {"limits", {{"tx_idle_ms", 5000}}}};
    for (const internal::database& known : internal::databases) {
        config["routes"].push_back({{"host", known.name},
                                    {"service", "s"},
                                    {"route_type", known.route_type},
                                    {"max_staleness_ms", known.staleness.count()},
                                    {"timeout_ms", 1000},
                                    {"target_latency_ms", 200},
                                    {"priority", 1}});
    }
    store_.put("op/config", config.dump());
}

void soak_run::start_host(host& started) {
    const std::string base = (directory_ / started.id).string();
    std::ofstream file{base + ".ini"};
    file << "[host]\nid = " << started.id << "\nfailure_domain = " << started.id.back()
         << "\ncaller_listen = 127.0.0.1:" << started.caller_port
         << "\nready_listen = 127.0.0.1:" << started.ready_port
         << "\nstop_grace_s = " << internal::stop_grace.count()
         << "\n[registry]\naddress = " << started.store_link->address()
         << "\npromotion_address = " << targets_.promotion_address() << "\n[log]\nlevel = info\n";
    file.close();
    started.paused = false;
    started.stopping = false;
    started.killed = false;
    started.disturbed = clock::now();
    // The shell only redirects the log; its process becomes the host.
    started.process.emplace(
        std::vector<std::string>{"/bin/sh", "-c",
                                 std::string{"exec "} + testbed::host_program() +
                                     " --sessions --settings=" + base + ".ini >> " + base + ".log"},
        base + ".err");
}

void soak_run::watch_processes() {
    for (const auto& known : hosts_) {
        host& watched = *known;
        if (!watched.process.has_value()) {
            continue;
        }
        const std::optional<int> code =
            watched.process->wait_for_exit(std::chrono::milliseconds{0});
        if (!code.has_value()) {
            continue;
        }
        const bool expected = watched.killed || (watched.stopping && *code == 0);
        if (!expected) {
            promises_.violate("CRASH", watched.id + " ended with code " + std::to_string(*code));
        }
        watched.process.reset();
        if (!ending_) {
            after(draw_time(50, 1500), [this, &watched] {
                if (!watched.process.has_value() && !ending_) {
                    start_host(watched);
                }
            });
        }
    }
    after(internal::watch_interval, [this] { watch_processes(); });
}

void soak_run::after(std::chrono::milliseconds delay, std::function<void()> action) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error) {
            action();
        }
    });
}

void soak_run::schedule_fault() {
    if (!faulty_) {
        return;
    }
    const named_fault& chosen = faults_[draw(faults_.size())];
    note(std::string{"fault: "} + chosen.name);
    chosen.inject();
    after(draw_time(100, 900), [this] { schedule_fault(); });
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
    after(draw_time(200, 3000), [&victim, process] {
        if (victim.process.has_value() && victim.process->pid() == process) {
            victim.process->send_signal(SIGCONT);
            victim.paused = false;
            victim.disturbed = clock::now();
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

void soak_run::harm_link(fault_link& link) {
    switch (draw(5)) {
    case 0:
        link.reset();
        return;
    case 1:
        link.apply({draw_time(10, 300), false, false, false});
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
    after(draw_time(300, 3000), [&link] { link.apply({}); });
}

void soak_run::heal() {
    faulty_ = false;
    note("faults end");
    for (std::size_t member = 0; member < target_group::size; ++member) {
        targets_.link(member).apply({});
        targets_.restart(member);
        targets_.set_busy(member, false);
        targets_.set_lag(member, std::chrono::milliseconds{5});
        targets_.lose_answers(member, 0);
    }
    for (const auto& known : hosts_) {
        known->store_link->apply({});
        if (known->process.has_value()) {
            known->process->send_signal(SIGCONT);
        }
        known->paused = false;
        known->disturbed = clock::now();
    }
    const clock::time_point healed = clock::now();
    after(internal::recovery_limit, [this, healed] {
        for (std::size_t index = 0; index < callers_.size(); ++index) {
            if (callers_[index]->last_success() < healed) {
                promises_.violate("RECOVER", "caller " + std::to_string(index + 1) +
                                                 " is not served after the faults");
            }
        }
        stop_all();
    });
}

void soak_run::stop_all() {
    ending_ = true;
    for (const auto& known : hosts_) {
        stop_host(*known);
    }
    after(internal::stop_grace + std::chrono::seconds{1}, [this] {
        for (const auto& known : hosts_) {
            if (known->process.has_value()) {
                promises_.violate("STOP", known->id + " still runs after its grace");
            }
        }
        context_.stop();
    });
}

bool soak_run::play() {
    std::cout << "seed " << seed_ << ", logs in " << directory_.string() << "\n";
    for (const auto& started : callers_) {
        started->start();
    }
    watch_processes();
    after(internal::quiet_start, [this] { schedule_fault(); });
    after(internal::quiet_start + length_, [this] { heal(); });
    context_.run();
    targets_.check_refusals();
    for (const auto& [outcome, count] : promises_.outcomes) {
        std::cout << outcome << " " << count << ", ";
    }
    std::cout << "promotions " << targets_.promotions() << "\n";
    for (const std::string& violation : promises_.violations) {
        std::cout << "BROKEN " << violation << "\n";
    }
    return promises_.violations.empty();
}

} // namespace lovagemoor::soak
