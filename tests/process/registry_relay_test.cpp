#include <lovagemoor/session_standins/standin_store.hpp>
#include <lovagemoor/testbed/child_process.hpp>
#include <lovagemoor/testbed/free_ports.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// @file
/// @brief Three hosts of one failure domain, of which two are relays of the registry's answers.

namespace lovagemoor {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t host_count = 3;

/// Longer than the 2.4 s after which hosts check a watch, shorter than they let it wait (25 s).
constexpr milliseconds held_watch_time{10000};

std::string route(const std::string& host, int timeout_ms) {
    return R"({"host":")" + host + R"(","service":"s","route_type":"primary","timeout_ms":)" +
           std::to_string(timeout_ms) + "}";
}

std::string configuration_of(int version, const std::string& routes) {
    return R"({"config_version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"s","max_connections":10}]})";
}

std::string routes_of_versions(int last) {
    std::string routes;
    for (int each = 1; each <= last; ++each) {
        routes += (routes.empty() ? "" : ",") + route("db-" + std::to_string(each), 5000);
    }
    return routes;
}

/// @return A configuration that has a route for each version up to this one.
std::string configuration(int version) {
    return configuration_of(version, routes_of_versions(version));
}

/// @return A configuration of about 600 KB. A version changes the time limit of one route, and has
/// a further route, which shows that it is in force.
std::string large_configuration(int version) {
    constexpr int long_names = 2500;
    const std::string long_name(160, 'x');
    std::string routes = routes_of_versions(version);
    for (int each = 1; each <= long_names; ++each) {
        routes += "," + route(long_name + std::to_string(each), each == 1 ? 5000 + version : 5000);
    }
    return configuration_of(version, routes);
}

/// @brief Runs the hosts as separate processes with a stand-in for the registry on a thread of the
/// test.
class linked_hosts {
public:
    explicit linked_hosts(const std::string& first_configuration = configuration(1))
        : store_{context_},
          ports_{testbed::find_free_ports(4 * host_count)},
          directory_{std::filesystem::temp_directory_path() /
                     ("lovagemoor-relay-" + std::to_string(ports_.front()))} {
        store_.put("op/config", first_configuration);
        std::filesystem::create_directories(directory_);
        thread_ = std::thread{[this] { context_.run(); }};
        for (std::size_t index = 0; index < host_count; ++index) {
            write_settings(index);
            hosts_.emplace_back(std::vector<std::string>{testbed::host_program(), "--sessions",
                                                         "--settings=" + settings_path(index)},
                                (directory_ / (name(index) + ".log")).string());
            static_cast<void>(hosts_.back().wait_until_ready(20s));
        }
    }

    linked_hosts(const linked_hosts&) = delete;
    linked_hosts& operator=(const linked_hosts&) = delete;
    linked_hosts(linked_hosts&&) = delete;
    linked_hosts& operator=(linked_hosts&&) = delete;

    ~linked_hosts() {
        hosts_.clear();
        context_.stop();
        thread_.join();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    void put_configuration(const std::string& written) {
        boost::asio::post(context_, [this, written] { store_.put("op/config", written); });
    }

    /// @return Number of lists and watches that the registry has received.
    [[nodiscard]] std::uint64_t reads() {
        std::promise<std::uint64_t> count;
        boost::asio::post(context_, [this, &count] { count.set_value(store_.reads()); });
        return count.get_future().get();
    }

    /// @return Bytes with which the registry has answered lists and watches.
    [[nodiscard]] std::uint64_t registry_bytes() {
        std::promise<std::uint64_t> count;
        boost::asio::post(context_, [this, &count] { count.set_value(store_.read_bytes()); });
        return count.get_future().get();
    }

    /// @brief Lets the registry answer watches without changes so late that hosts check them.
    void hold_watches() {
        boost::asio::post(context_, [this] { store_.set_watch_timeout(held_watch_time); });
    }

    testbed::child_process& process(std::size_t index) { return hosts_.at(index); }

    /// @return True if a host has the route of a version.
    [[nodiscard]] bool serves(std::size_t index, int version) const {
        const std::string answer =
            exchange(port(index, 0), "STARTUP db-" + std::to_string(version) + " test\r\n", false);
        return answer.starts_with("READY");
    }

    /// @return Bytes that a host has received from its relay or from hosts that ask it as a relay,
    /// up to its last report of them.
    [[nodiscard]] double relay_bytes(std::size_t index) const {
        return metric(metrics(index), "lovagemoor_host_traffic_bytes_total{direction=\"received\","
                                      "purpose=\"relay\"} ");
    }

    /// @return Sum of a host's calls that read the registry from a source. Calls that are never
    /// relayed have a source of their own.
    [[nodiscard]] double calls(std::size_t index, const std::string& source) const {
        const std::string text = metrics(index);
        double sum = 0;
        for (const char* kind : {"list", "watch", "proof"}) {
            sum += metric(text, std::string{"lovagemoor_registry_calls_total{kind=\""} + kind +
                                    "\",source=\"" + source + "\"} ");
        }
        return sum;
    }

    /// @return The host that sends calls to a relay. Empty if there is none within the time.
    [[nodiscard]] std::optional<std::size_t> find_asker(milliseconds time) const {
        const steady_clock::time_point end = steady_clock::now() + time;
        while (steady_clock::now() < end) {
            for (std::size_t index = 0; index < host_count; ++index) {
                if (calls(index, "relay") > 0) {
                    return index;
                }
            }
            std::this_thread::sleep_for(100ms);
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] static std::string name(std::size_t index) {
        return "host-" + std::to_string(index);
    }

    [[nodiscard]] std::string metrics(std::size_t index) const {
        return exchange(port(index, 2), "GET /metrics HTTP/1.0\r\n\r\n", true);
    }

    /// @return The value of a series, or 0 if the text does not have it.
    [[nodiscard]] static double metric(const std::string& text, const std::string& series) {
        const std::size_t found = text.find(series);
        return found == std::string::npos ? 0 : std::stod(text.substr(found + series.size()));
    }

    [[nodiscard]] std::string settings_path(std::size_t index) const {
        return (directory_ / (name(index) + ".ini")).string();
    }

    [[nodiscard]] std::uint16_t port(std::size_t index, std::size_t use) const {
        return ports_.at(4 * index + use);
    }

    [[nodiscard]] std::string address(std::size_t index, std::size_t use) const {
        return "127.0.0.1:" + std::to_string(port(index, use));
    }

    void write_settings(std::size_t index) const {
        std::ofstream file{settings_path(index)};
        file << "[host]\nid = " << name(index)
             << "\nfailure_domain = a\ncaller_listen = " << address(index, 0)
             << "\nready_listen = " << address(index, 1)
             << "\nmetrics_listen = " << address(index, 2)
             << "\nstop_grace_s = 3\n[registry]\naddress = " << store_.address()
             << "\n[link]\nlisten = " << address(index, 3) << "\nrelay_threshold = 2\n";
    }

    /// @param whole Reads until the other side closes the connection instead of one line.
    /// @return The answer; what was received of it if the connection failed.
    [[nodiscard]] static std::string exchange(std::uint16_t port, const std::string& request,
                                              bool whole) {
        boost::asio::io_context context;
        tcp::socket socket{context};
        boost::system::error_code error;
        static_cast<void>(
            socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error));
        std::string received;
        if (!error) {
            boost::asio::write(socket, boost::asio::buffer(request), error);
        }
        if (!error && whole) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        } else if (!error) {
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), '\n', error);
        }
        return received;
    }

    boost::asio::io_context context_;
    session_standins::standin_store store_;
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::thread thread_;
    std::vector<testbed::child_process> hosts_;
};

bool comes_true(milliseconds time, const std::function<bool()>& condition) {
    const steady_clock::time_point end = steady_clock::now() + time;
    while (!condition()) {
        if (steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

/// Bound of the reference deployments on the time until a configuration is in force.
constexpr milliseconds configuration_bound{5000};

/// Time in which hosts that started together know each other's links and have a proof of a relay.
constexpr milliseconds start_time{15000};

/// Time in which hosts whose relays are in use have all that they read of the registry.
constexpr milliseconds settle_time{4000};

/// Longest time until bytes appear in a host's metrics, which report them every 5 s.
constexpr milliseconds traffic_report_time{6000};

} // namespace

// Guards against a host that keeps calling the registry though its relays serve, and against a
// configuration that does not reach it.
BOOST_AUTO_TEST_CASE(a_host_reads_the_registry_through_a_relay) {
    linked_hosts hosts;
    const std::optional<std::size_t> asker = hosts.find_asker(start_time);
    BOOST_TEST_REQUIRE(asker.has_value());
    // Calls of before the first proof have been answered by then.
    std::this_thread::sleep_for(3s);
    const double asker_before = hosts.calls(*asker, "registry");
    const double relayed_before = hosts.calls(*asker, "relay");
    double relays_before = 0;
    for (std::size_t index = 0; index < host_count; ++index) {
        relays_before += hosts.calls(index, "registry") + hosts.calls(index, "registry_only");
    }
    const std::uint64_t reads_before = hosts.reads();
    hosts.put_configuration(configuration(2));
    for (std::size_t index = 0; index < host_count; ++index) {
        BOOST_TEST(comes_true(configuration_bound, [&] { return hosts.serves(index, 2); }));
    }
    std::this_thread::sleep_for(3s);
    const std::uint64_t reads_after = hosts.reads();
    double relays_after = 0;
    for (std::size_t index = 0; index < host_count; ++index) {
        relays_after += hosts.calls(index, "registry") + hosts.calls(index, "registry_only");
    }
    BOOST_TEST(hosts.calls(*asker, "registry") == asker_before);
    BOOST_TEST(hosts.calls(*asker, "registry_only") > 0);
    BOOST_TEST(hosts.calls(*asker, "relay") > relayed_before);
    // The registry has seen no more calls than the hosts count.
    BOOST_TEST(reads_after > reads_before);
    BOOST_TEST(static_cast<double>(reads_after - reads_before) <= relays_after - relays_before);
}

// Guards against a host that waits for relays that are frozen or gone.
BOOST_AUTO_TEST_CASE(a_host_follows_the_configuration_when_its_relays_fail) {
    linked_hosts hosts;
    const std::optional<std::size_t> asker = hosts.find_asker(start_time);
    BOOST_TEST_REQUIRE(asker.has_value());
    std::this_thread::sleep_for(3s);
    for (std::size_t index = 0; index < host_count; ++index) {
        if (index != *asker) {
            hosts.process(index).send_signal(SIGSTOP);
        }
    }
    hosts.put_configuration(configuration(2));
    BOOST_TEST(comes_true(configuration_bound, [&] { return hosts.serves(*asker, 2); }));
    for (std::size_t index = 0; index < host_count; ++index) {
        if (index != *asker) {
            hosts.process(index).send_signal(SIGCONT);
        }
    }
    // The relays are asked again.
    const double relayed = hosts.calls(*asker, "relay");
    BOOST_TEST(comes_true(20s, [&] { return hosts.calls(*asker, "relay") > relayed + 3; }));
    for (std::size_t index = 0; index < host_count; ++index) {
        if (index != *asker) {
            hosts.process(index).send_signal(SIGKILL);
        }
    }
    hosts.put_configuration(configuration(3));
    BOOST_TEST(comes_true(configuration_bound, [&] { return hosts.serves(*asker, 3); }));
}

// Guards against checks of a watch that read the whole configuration, which fills the hosts' links.
BOOST_AUTO_TEST_CASE(an_unchanged_configuration_is_not_transferred_again) {
    const std::string document = large_configuration(1);
    linked_hosts hosts{document};
    const std::optional<std::size_t> asker = hosts.find_asker(start_time);
    BOOST_TEST_REQUIRE(asker.has_value());
    hosts.hold_watches();
    std::this_thread::sleep_for(settle_time + traffic_report_time);
    std::vector<double> relay_before;
    for (std::size_t index = 0; index < host_count; ++index) {
        relay_before.push_back(hosts.relay_bytes(index));
    }
    BOOST_TEST_REQUIRE(relay_before[*asker] > 0);
    const std::uint64_t registry_before = hosts.registry_bytes();
    std::this_thread::sleep_for(traffic_report_time);
    BOOST_TEST(hosts.registry_bytes() - registry_before < document.size());
    for (std::size_t index = 0; index < host_count; ++index) {
        BOOST_TEST(hosts.relay_bytes(index) - relay_before[index] < document.size());
    }
}

// Guards against a relay that reads each change of a large configuration by its watch and again by
// its proof, which fills the link between two regions (CONFIG, issue 54).
BOOST_AUTO_TEST_CASE(each_relay_reads_a_change_of_a_large_configuration_once) {
    const std::string document = large_configuration(1);
    linked_hosts hosts{document};
    BOOST_TEST_REQUIRE(hosts.find_asker(start_time).has_value());
    std::this_thread::sleep_for(settle_time + traffic_report_time);
    const std::uint64_t before = hosts.registry_bytes();
    hosts.put_configuration(large_configuration(2));
    BOOST_TEST(comes_true(configuration_bound, [&] {
        return hosts.serves(0, 2) && hosts.serves(1, 2) && hosts.serves(2, 2);
    }));
    std::this_thread::sleep_for(traffic_report_time);
    // Base64 makes four bytes of three. A proof that is under way when the change is written may
    // return it to one of the two relays again.
    const double reads = static_cast<double>(hosts.registry_bytes() - before) /
                         (static_cast<double>(document.size()) * 4 / 3);
    BOOST_TEST(reads < 3.5);
}

// Guards against a change of one route that carries the whole configuration over the hosts' links.
BOOST_AUTO_TEST_CASE(a_small_change_of_a_large_configuration_costs_its_requester_little) {
    const std::string document = large_configuration(1);
    linked_hosts hosts{document};
    const std::optional<std::size_t> asker = hosts.find_asker(start_time);
    BOOST_TEST_REQUIRE(asker.has_value());
    std::this_thread::sleep_for(settle_time + traffic_report_time);
    const double relay_before = hosts.relay_bytes(*asker);
    BOOST_TEST_REQUIRE(relay_before > 0);
    const double direct_calls_before = hosts.calls(*asker, "registry");
    hosts.put_configuration(large_configuration(2));
    BOOST_TEST(comes_true(configuration_bound, [&] {
        return hosts.serves(0, 2) && hosts.serves(1, 2) && hosts.serves(2, 2);
    }));
    std::this_thread::sleep_for(traffic_report_time);
    BOOST_TEST(hosts.relay_bytes(*asker) - relay_before <
               static_cast<double>(document.size()) / 10);
    // The change has not reached the host past its relays.
    BOOST_TEST(hosts.calls(*asker, "registry") == direct_calls_before);
}

} // namespace lovagemoor
