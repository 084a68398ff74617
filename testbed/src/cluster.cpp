#include <lovagemoor/testbed/cluster.hpp>

#include <lovagemoor/testbed/free_ports.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace lovagemoor::testbed {

namespace internal {

constexpr std::chrono::seconds start_timeout{20};
constexpr std::chrono::milliseconds poll_interval{5};
constexpr const char* session_key = "testbed-session-key-0123456789abcdef";
constexpr std::uint32_t first_source_address = 10;

std::string make_directory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "lovagemoor-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot create a directory for logs"};
    }
    return pattern;
}

core::domain_id domain_name(std::uint32_t index) {
    return core::domain_id{std::string(1, static_cast<char>('a' + index))};
}

std::uint16_t port_of(const std::string& address) {
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

std::string milliseconds_text(std::chrono::microseconds value) {
    return std::to_string(std::chrono::duration<double, std::milli>{value}.count());
}

/// Joins the values to a comma-separated list.
std::string join(const std::vector<std::string>& values) {
    std::string text;
    for (const std::string& value : values) {
        text += (text.empty() ? "" : ",") + value;
    }
    return text;
}

} // namespace internal

bool wait_until(std::chrono::milliseconds timeout, const std::function<bool()>& condition) {
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(internal::poll_interval);
    }
    return true;
}

cluster::cluster(const cluster_options& options)
    : options_{options}, directory_{internal::make_directory()} {
    start_platform();
    start_targets();
    write_records();
    start_hosts();
    wait_for_primaries();
}

cluster::~cluster() {
    hosts_.clear();
    targets_.clear();
    platform_process_.reset();
    if (std::getenv("LOVAGEMOOR_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

void cluster::start_platform() {
    platform_process_ = std::make_unique<child_process>(
        std::vector<std::string>{platform_program()}, directory_ + "/platform.log");
    const ready_values ready = platform_process_->wait_until_ready(internal::start_timeout);
    platform_address_ = "127.0.0.1:" + ready.at("port");
    platform_ = std::make_unique<platform_client>(platform_address_);
}

void cluster::start_targets() {
    for (std::uint32_t group = 0; group < options_.groups; ++group) {
        const std::vector<std::uint16_t> ports =
            find_free_ports(std::size_t{2} * options_.targets_per_group);
        std::vector<std::string> members;
        const std::size_t first = targets_.size();
        for (std::uint32_t index = 0; index < options_.targets_per_group; ++index) {
            cluster_target& target = targets_.emplace_back();
            target.group = core::group_id{"g" + std::to_string(group)};
            target.id = core::target_id{target.group.value + "-t" + std::to_string(index)};
            target.domain = internal::domain_name((group + index) % options_.domains);
            target.port = ports.at(std::size_t{2} * index);
            members.push_back(target.id.value + "=" + std::to_string(target.port) + ":" +
                              std::to_string(ports.at(std::size_t{2} * index + 1)));
        }
        for (std::size_t index = first; index < targets_.size(); ++index) {
            cluster_target& target = targets_.at(index);
            target.process = std::make_unique<child_process>(
                std::vector<std::string>{
                    target_program(), "--id=" + target.id.value,
                    "--members=" + internal::join(members),
                    "--slots=" + std::to_string(options_.slots),
                    "--max_connections=" + std::to_string(options_.max_connections),
                    "--connection_cost_ms=" + internal::milliseconds_text(options_.connection_cost),
                    "--service_time_us=" + std::to_string(options_.service_time.count()),
                    "--link_delay_ms=" + internal::milliseconds_text(options_.link_delay),
                    "--primary=" + std::string{index == first ? "true" : "false"}},
                directory_ + "/" + target.id.value + ".log");
            [[maybe_unused]] const ready_values ready =
                target.process->wait_until_ready(internal::start_timeout);
        }
    }
}

void cluster::write_records() {
    core::service_record service;
    service.name = core::service_id{service_name};
    for (std::uint32_t index = 0; index < options_.groups; ++index) {
        core::group_record group{core::group_id{"g" + std::to_string(index)}, {}};
        for (const cluster_target& target : targets_) {
            if (target.group == group.id) {
                group.targets.push_back(
                    {target.id, target.domain, "127.0.0.1", target.port, false});
            }
        }
        service.groups.push_back(group.id);
        platform_->put(core::platform_record{0, group});
    }
    service.max_staleness = options_.max_staleness;
    service.slots_per_target = options_.slots;
    service.connections_per_target = options_.connections_per_target;
    service.write_durability = options_.durability;
    platform_->put(core::platform_record{0, core::configuration{1, {service}, {}}});
}

void cluster::start_hosts() {
    for (std::uint32_t index = 0; index < options_.hosts; ++index) {
        cluster_host& host = hosts_.emplace_back();
        host.domain = internal::domain_name(index % options_.domains);
        host.id =
            core::host_id{"h-" + host.domain.value + std::to_string(index / options_.domains)};
        host.source_address =
            "127.0.0." + std::to_string(internal::first_source_address + hosts_.size());
        host.relay = std::make_unique<link_relay>(options_.link_delay);
    }
    std::ofstream{directory_ + "/session.key"} << internal::session_key;
    for (cluster_host& host : hosts_) {
        start_host(host);
    }
}

void cluster::start_host(cluster_host& host) {
    std::vector<std::string> seeds;
    for (const cluster_host& seed : hosts_) {
        if (seed.id != host.id && seed.process != nullptr) {
            seeds.push_back(seed.id.value +
                            "@tcp://127.0.0.1:" + std::to_string(seed.relay->port()));
        }
    }
    host.settings_path = directory_ + "/" + host.id.value + ".ini";
    std::ofstream{host.settings_path}
        << "[host]\nid = " << host.id.value << "\nfailure_domain = " << host.domain.value
        << "\npeer_listen = tcp://127.0.0.1:0\npeer_source = " << host.source_address
        << "\npeer_advertise = tcp://127.0.0.1:" << host.relay->port()
        << "\ncaller_listen = 127.0.0.1:0\noperator_listen = 127.0.0.1:0"
        << "\nmetrics_listen = 127.0.0.1:0\nsession_key_file = " << directory_
        << "/session.key\n[platform]\nendpoints = " << platform_address_
        << "\n[membership]\nseeds = " << internal::join(seeds) << "\n"
        << options_.extra_settings << "\n";
    host.process = std::make_unique<child_process>(
        std::vector<std::string>{host_program(), "--settings=" + host.settings_path},
        directory_ + "/" + host.id.value + ".log");
    const ready_values ready = host.process->wait_until_ready(internal::start_timeout);
    host.relay->set_destination(internal::port_of(ready.at("peer")));
    host.caller_address = ready.at("caller");
    host.operator_address = ready.at("operator");
    host.metrics_address = ready.at("metrics");
}

void cluster::restart_host(std::size_t index) {
    cluster_host& host = hosts_.at(index);
    host.process.reset();
    start_host(host);
}

void cluster::wait_for_primaries() {
    for (std::uint32_t group = 0; group < options_.groups; ++group) {
        const core::group_id id{"g" + std::to_string(group)};
        const bool ready = wait_until(internal::start_timeout, [this, &id] {
            const std::optional<core::term_record> term = platform_->read_term(id);
            return term.has_value() && term->phase == core::term_phase::serving;
        });
        if (!ready) {
            throw std::runtime_error{"no primary for group " + id.value + ", logs in " +
                                     directory_};
        }
    }
    for (cluster_host& host : hosts_) {
        caller_client client{host.caller_address};
        call_reply reply;
        const bool serves = wait_until(internal::start_timeout, [&client, &reply] {
            reply = client.execute(select_order("0"));
            return reply.is_done();
        });
        if (!serves) {
            throw std::runtime_error{"host " + host.id.value + " does not answer reads: " +
                                     describe(reply) + ", logs in " + directory_};
        }
    }
}

cluster_target& cluster::find_target(const core::target_id& id) {
    for (cluster_target& target : targets_) {
        if (target.id == id) {
            return target;
        }
    }
    throw std::runtime_error{"the cluster has no target " + id.value};
}

cluster_target& cluster::find_primary(const core::group_id& group) {
    return find_target(platform_->read_term(group).value().primary);
}

void cluster::isolate_domain(const core::domain_id& domain, bool from_platform) {
    std::vector<core::host_id> inside_hosts;
    std::set<std::string> inside_sources;
    std::set<std::string> outside_sources;
    std::vector<std::string> inside_names;
    std::vector<std::string> outside_names;
    for (const cluster_host& host : hosts_) {
        const bool inside = host.domain == domain;
        (inside ? inside_sources : outside_sources).insert(host.source_address);
        (inside ? inside_names : outside_names).push_back(host.id.value);
        if (inside) {
            inside_hosts.push_back(host.id);
        }
    }
    for (cluster_host& host : hosts_) {
        host.relay->set_cut_sources(host.domain == domain ? outside_sources : inside_sources);
    }
    for (const cluster_target& target : targets_) {
        const bool inside = target.domain == domain;
        target_client client{target.port};
        client.control("isolate", internal::join(inside ? outside_names : inside_names));
        if (inside) {
            client.control("cut_replication", "on");
        }
    }
    if (from_platform) {
        platform_->block_hosts(inside_hosts);
    }
}

void cluster::restore_links() {
    for (cluster_host& host : hosts_) {
        host.relay->set_cut_sources({});
    }
    for (const cluster_target& target : targets_) {
        target_client client{target.port};
        client.control("isolate", "");
        client.control("cut_replication", "off");
    }
    platform_->block_hosts({});
}

} // namespace lovagemoor::testbed
