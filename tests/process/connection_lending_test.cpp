#include <lovagemoor/proxy/lending/holder_ranking.hpp>
#include <lovagemoor/session_standins/standin_database.hpp>
#include <lovagemoor/session_standins/standin_store.hpp>
#include <lovagemoor/testbed/child_process.hpp>
#include <lovagemoor/testbed/free_ports.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovagemoor {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr std::size_t host_count = 3;

/// @brief Three hosts with a link, as separate processes, and a database with fewer connections
/// than hosts. The stand-ins run on a thread of the test.
class linked_hosts {
public:
    linked_hosts()
        : store_{context_},
          database_{context_},
          ports_{testbed::find_free_ports(host_count * 3)},
          directory_{std::filesystem::temp_directory_path() /
                     ("lovagemoor-lending-" + std::to_string(ports_.front()))} {
        store_.put("op/config", R"({"config_version":1,"routes":[{"host":"orders","service":"s",)"
                                R"("route_type":"primary","timeout_ms":2000}],)"
                                R"("services":[{"name":"s","max_connections":2}]})");
        store_.put("servers/i-1",
                   R"({"service":"s","address":")" + database_.address() +
                       R"(","zone":"a","slots":2,"state":"ready","db_role":"primary"})");
        std::filesystem::create_directories(directory_);
        standin_thread_ = std::thread{[this] { context_.run(); }};
        for (std::size_t index = 0; index < host_count; ++index) {
            start(index);
        }
    }

    linked_hosts(const linked_hosts&) = delete;
    linked_hosts& operator=(const linked_hosts&) = delete;
    linked_hosts(linked_hosts&&) = delete;
    linked_hosts& operator=(linked_hosts&&) = delete;

    ~linked_hosts() {
        hosts_.clear();
        context_.stop();
        standin_thread_.join();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    /// @brief Ends a host's process without a notice.
    void kill(std::size_t index) { hosts_.at(index).reset(); }

    [[nodiscard]] std::uint16_t caller_port(std::size_t index) const { return ports_[index * 3]; }

    static core::host_id name_of(std::size_t index) {
        return core::host_id{"host-" + std::to_string(index + 1)};
    }

    /// @return Indices of the hosts in the order in which a host asks them for connections.
    [[nodiscard]] static std::vector<std::size_t> order_of(std::size_t borrower) {
        std::vector<proxy::link_peer> peers;
        std::map<core::host_id, std::size_t> indices;
        for (std::size_t index = 0; index < host_count; ++index) {
            peers.push_back({name_of(index), core::domain_id{"a"}, "", 1.0, "unused"});
            indices[name_of(index)] = index;
        }
        std::vector<std::size_t> order;
        for (const core::host_id& host : proxy::rank_holders(
                 {core::target_id{"i-1"}, core::domain_id{"a"}, "", {}, name_of(borrower)},
                 peers)) {
            order.push_back(indices.at(host));
        }
        return order;
    }

    /// @return The connections over which statements with a text ran.
    [[nodiscard]] std::set<std::uint64_t> connections_of(const std::string& text) {
        std::promise<std::set<std::uint64_t>> found;
        boost::asio::post(context_, [&] {
            std::set<std::uint64_t> connections;
            for (const session_standins::standin_database::record::run& run :
                 database_.received().runs) {
                if (run.statement.text.find(text) != std::string::npos) {
                    connections.insert(run.connection);
                }
            }
            found.set_value(std::move(connections));
        });
        return found.get_future().get();
    }

private:
    void start(std::size_t index) {
        const std::string stem = (directory_ / name_of(index).value).string();
        std::ofstream file{stem + ".ini"};
        file << "[host]\nid = " << name_of(index).value
             << "\nfailure_domain = a\ncaller_listen = " << address(index, 0)
             << "\nready_listen = " << address(index, 1)
             << "\nstop_grace_s = 3\n[link]\nlisten = " << address(index, 2)
             << "\n[registry]\naddress = " << store_.address() << "\n[log]\nlevel = info\n";
        file.close();
        hosts_.push_back(std::make_unique<testbed::child_process>(
            std::vector<std::string>{testbed::host_program(), "--sessions",
                                     "--settings=" + stem + ".ini"},
            stem + ".log"));
        static_cast<void>(hosts_.back()->wait_until_ready(20s));
    }

    [[nodiscard]] std::string address(std::size_t index, std::size_t use) const {
        return "127.0.0.1:" + std::to_string(ports_[index * 3 + use]);
    }

    boost::asio::io_context context_;
    session_standins::standin_store store_;
    session_standins::standin_database database_;
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::thread standin_thread_;
    std::vector<std::unique_ptr<testbed::child_process>> hosts_;
};

/// @brief A caller's session that waits for the answer to each statement.
class caller {
public:
    explicit caller(std::uint16_t port) : socket_{context_} {
        for (int attempt = 0; attempt < 100; ++attempt) {
            socket_ = tcp::socket{context_};
            received_.clear();
            socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
            boost::asio::write(socket_,
                               boost::asio::buffer(std::string{"STARTUP orders test\r\n"}));
            if (read_line() == "READY I -" && execute("READ probe").starts_with("DATAROW")) {
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        BOOST_FAIL("the host served no statement after 100 attempts to open a session");
    }

    /// @return The first line of the answer.
    std::string execute(const std::string& text) {
        boost::asio::write(socket_, boost::asio::buffer("QUERY q" + std::to_string(++last_query_) +
                                                        " " + text + "\r\n"));
        std::string first = read_line();
        for (std::string line = first; !line.empty() && !line.starts_with("READY");
             line = read_line()) {
        }
        return first;
    }

private:
    std::string read_line() {
        boost::system::error_code error;
        const std::size_t length =
            boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received_), '\n', error);
        if (error) {
            return {};
        }
        std::string line = received_.substr(0, length - 2);
        received_.erase(0, length);
        return line;
    }

    boost::asio::io_context context_;
    tcp::socket socket_;
    std::string received_;
    int last_query_ = 0;
};

} // namespace

// Guards against hosts that open connections of their own although others lend theirs, against
// statements that see the values of another session, and against a killed holder that loses an
// acknowledged write or keeps the other hosts from serving.
BOOST_AUTO_TEST_CASE(statements_run_over_the_connections_of_other_hosts) {
    linked_hosts hosts;
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t index = 0; index < host_count; ++index) {
        callers.push_back(std::make_unique<caller>(hosts.caller_port(index)));
    }
    // Hosts read the list of links every second after a start, and use it from then on.
    std::this_thread::sleep_for(4s);

    std::map<std::string, std::string> acknowledged;
    for (int round = 0; round < 10; ++round) {
        for (std::size_t index = 0; index < host_count; ++index) {
            const std::string item =
                "shared-" + std::to_string(index) + "-" + std::to_string(round);
            BOOST_REQUIRE(
                callers[index]->execute("WRITE " + item + " blue").starts_with("COMPLETE"));
            acknowledged[item] = "blue";
        }
    }
    // Two holders with one connection each serve three hosts.
    BOOST_TEST(hosts.connections_of("shared-").size() <= 2U);

    // The host that is no holder for any of them, and the one that it asks first.
    const std::size_t borrower = linked_hosts::order_of(0).back();
    const std::size_t holder = linked_hosts::order_of(borrower).front();
    BOOST_REQUIRE(borrower != holder);
    hosts.kill(holder);
    int served = 0;
    for (int round = 0; round < 50; ++round) {
        for (std::size_t index = 0; index < host_count; ++index) {
            if (index == holder) {
                continue;
            }
            const std::string item = "late-" + std::to_string(index) + "-" + std::to_string(round);
            if (callers[index]->execute("WRITE " + item + " green").starts_with("COMPLETE")) {
                acknowledged[item] = "green";
                ++served;
            }
        }
    }
    // Each of the two sessions may lose the statement that was under way.
    BOOST_TEST(served >= 98);
    for (const auto& [item, value] : acknowledged) {
        BOOST_TEST(callers[borrower]->execute("READ " + item) == "DATAROW " + value);
    }
}

} // namespace lovagemoor
