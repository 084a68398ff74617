#include <lovagemoor/session_standins/database_connection.hpp>
#include <lovagemoor/session_standins/standin_database.hpp>
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
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// @file
/// @brief Crowds of callers that keep to no limits, against one real host. Each test checks that
/// the process lives, that its memory and open descriptors stay within the limits of its machine,
/// and that an ordinary session is served while the crowd stays connected.

namespace lovagemoor {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// @brief Limits of the machine on which the host believes to run. They are the bounds of the
/// tests.
struct machine {
    std::size_t memory_mb = 64;
    std::size_t max_descriptors = 400;
    /// The limits on callers have their defaults. Otherwise, time limits are short.
    bool default_limits = false;
};

/// A host whose memory is not at stake, but which has fewer descriptors than a crowd has members.
constexpr machine few_descriptors{.memory_mb = 64, .max_descriptors = 120};

/// @brief Runs a host as a separate process with stand-ins for the registry's store and for one
/// database, which run on a thread of the test.
class running_host {
public:
    explicit running_host(const machine& limits)
        : limits_{limits},
          store_{context_},
          database_{context_},
          ports_{testbed::find_free_ports(3)},
          directory_{std::filesystem::temp_directory_path() /
                     ("lovagemoor-crowd-" + std::to_string(ports_.front()))} {
        store_.put("op/config", R"({"config_version":1,"routes":[{"host":"orders","service":"s",)"
                                R"("route_type":"primary","timeout_ms":5000}],)"
                                R"("services":[{"name":"s","max_connections":10}]})");
        store_.put("servers/i-1", target_entry(database_.address()));
        std::filesystem::create_directories(directory_);
        write_settings();
        standin_thread_ = std::thread{[this] { context_.run(); }};
        process_.emplace(std::vector<std::string>{testbed::host_program(), "--sessions",
                                                  "--settings=" + settings_path()},
                         (directory_ / "host.log").string());
        static_cast<void>(process_->wait_until_ready(20s));
    }

    running_host(const running_host&) = delete;
    running_host& operator=(const running_host&) = delete;
    running_host(running_host&&) = delete;
    running_host& operator=(running_host&&) = delete;

    ~running_host() {
        process_.reset();
        context_.stop();
        standin_thread_.join();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    [[nodiscard]] static std::string target_entry(const std::string& address) {
        return R"({"service":"s","address":")" + address +
               R"(","zone":"a","slots":2,"state":"ready","db_role":"primary"})";
    }

    /// @brief Writes an item of the store, on the thread of the stand-ins.
    void put(const std::string& key, const std::string& value) {
        boost::asio::post(context_, [this, key, value] { store_.put(key, value); });
    }

    [[nodiscard]] std::string database_address() const { return database_.address(); }

    [[nodiscard]] bool alive() { return !process_->wait_for_exit(0ms).has_value(); }

    /// @return Largest resident memory of the process so far.
    [[nodiscard]] std::size_t peak_memory_kb() const {
        std::ifstream status{proc_path("status")};
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(std::string_view{"VmHWM:"}.size()));
            }
        }
        return 0;
    }

    [[nodiscard]] std::size_t open_descriptors() const {
        std::error_code error;
        std::filesystem::directory_iterator entries{proc_path("fd"), error};
        return error ? 0
                     : static_cast<std::size_t>(
                           std::distance(entries, std::filesystem::directory_iterator{}));
    }

    [[nodiscard]] const machine& limits() const noexcept { return limits_; }

    [[nodiscard]] std::uint16_t caller_port() const { return ports_[0]; }

    [[nodiscard]] std::uint16_t ready_port() const { return ports_[1]; }

    [[nodiscard]] std::uint16_t metrics_port() const { return ports_[2]; }

private:
    [[nodiscard]] std::string settings_path() const { return (directory_ / "host.ini").string(); }

    [[nodiscard]] std::string proc_path(const std::string& name) const {
        return "/proc/" + std::to_string(process_->pid()) + "/" + name;
    }

    [[nodiscard]] std::string address(std::size_t index) const {
        return "127.0.0.1:" + std::to_string(ports_[index]);
    }

    void write_settings() const {
        std::ofstream file{settings_path()};
        file << "[host]\nid = host-1\nfailure_domain = a\ncaller_listen = " << address(0)
             << "\nready_listen = " << address(1) << "\nmetrics_listen = " << address(2)
             << "\nmemory_mb = " << limits_.memory_mb
             << "\nmax_descriptors = " << limits_.max_descriptors
             << "\nstop_grace_s = 3\n[registry]\naddress = " << store_.address()
             << "\n[log]\nlevel = info\n";
        if (!limits_.default_limits) {
            file << "[callers]\nreserved_descriptors = 60\nstart_timeout_s = 1"
                 << "\nmessage_timeout_s = 1\nanswer_timeout_s = 1\n";
        }
    }

    machine limits_;
    boost::asio::io_context context_;
    session_standins::standin_store store_;
    session_standins::standin_database database_;
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::thread standin_thread_;
    std::optional<testbed::child_process> process_;
};

/// @brief A caller's session that waits for the answer to each statement.
class caller_session {
public:
    /// @brief Opens the session, or opens it again until a statement is served.
    explicit caller_session(std::uint16_t port) : socket_{context_} {
        for (int attempt = 0; attempt < 100 && !served_; ++attempt) {
            served_ = open(port) && execute("READ probe").starts_with("DATAROW");
            if (!served_) {
                std::this_thread::sleep_for(100ms);
            }
        }
    }

    /// @return False if no statement was served in 10 s and more.
    [[nodiscard]] bool served() const noexcept { return served_; }

    /// @return The first line of the answer, empty if the connection was lost.
    std::string execute(const std::string& text) {
        std::string first = send("QUERY q" + std::to_string(++last_query_) + " " + text);
        for (std::string line = first; !line.empty() && !line.starts_with("READY");) {
            line = read_line();
        }
        return first;
    }

private:
    bool open(std::uint16_t port) {
        socket_ = tcp::socket{context_};
        received_.clear();
        boost::system::error_code error;
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        // A host that hangs must fail the test instead of holding it up.
        const timeval limit{3, 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        return !error && send("STARTUP orders test") == "READY I -";
    }

    std::string send(const std::string& line) {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(line + "\r\n"), error);
        return error ? std::string{} : read_line();
    }

    std::string read_line() {
        std::string line;
        while (!line.ends_with("\r\n")) {
            char next = 0;
            if (::recv(socket_.native_handle(), &next, 1, 0) != 1) {
                return {};
            }
            line += next;
        }
        line.resize(line.size() - 2);
        return line;
    }

    boost::asio::io_context context_;
    tcp::socket socket_;
    std::string received_;
    int last_query_ = 0;
    bool served_ = false;
};

/// @brief Checks memory and descriptors, and serves an ordinary session. The crowd is still
/// connected.
class crowd_check {
public:
    explicit crowd_check(running_host& host) : host_{host} {}

    /// @brief Notes the number of open descriptors, which has no peak value in /proc.
    void sample() {
        const auto now = std::chrono::steady_clock::now();
        if (now - sampled_at_ > 10ms) {
            sampled_at_ = now;
            most_descriptors_ = std::max(most_descriptors_, host_.open_descriptors());
        }
    }

    void wait(std::chrono::milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            sample();
            std::this_thread::sleep_for(5ms);
        }
    }

    void finish(const std::string& name) {
        // Callers' statements, and what the host buffers for them, are still on their way.
        wait(300ms);
        caller_session ordinary{host_.caller_port()};
        sample();
        const std::size_t peak_kb = host_.peak_memory_kb();
        BOOST_TEST_MESSAGE(name << ": peak memory " << peak_kb << " kB, most descriptors "
                                << most_descriptors_ << ", ordinary session "
                                << (ordinary.served() ? "served" : "not served"));
        BOOST_TEST(host_.alive());
        BOOST_TEST(peak_kb > 0U);
        BOOST_TEST(peak_kb <= host_.limits().memory_mb * 1024);
        BOOST_TEST(most_descriptors_ <= host_.limits().max_descriptors);
        BOOST_TEST(ordinary.served());
    }

private:
    running_host& host_;
    std::chrono::steady_clock::time_point sampled_at_;
    std::size_t most_descriptors_ = 0;
};

/// @brief Many connections that all send the same bytes and read nothing, or only as much as they
/// need to.
class crowd {
public:
    crowd(std::uint16_t port, std::size_t size) {
        for (std::size_t index = 0; index < size; ++index) {
            tcp::socket socket{context_, tcp::v4()};
            // Unread answers must fill the host's memory, not that of the kernel.
            boost::system::error_code error;
            socket.set_option(tcp::socket::receive_buffer_size{4096}, error);
            socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
            if (!error) {
                socket.non_blocking(true, error);
                members_.push_back({std::move(socket)});
            }
        }
    }

    /// @brief Sends the bytes over all connections in turn, until all are sent, the host has closed
    /// the others, or the time is over.
    /// @param piece Number of bytes of each write.
    void send(std::string_view bytes, std::size_t piece, crowd_check& check) {
        const auto end = std::chrono::steady_clock::now() + 2500ms;
        for (member& sender : members_) {
            sender.sent = 0;
        }
        bool unfinished = true;
        while (unfinished && std::chrono::steady_clock::now() < end) {
            unfinished = false;
            bool progress = false;
            for (member& sender : members_) {
                if (sender.closed || sender.sent == bytes.size()) {
                    continue;
                }
                boost::system::error_code error;
                const std::string_view rest = bytes.substr(sender.sent, piece);
                const std::size_t written =
                    sender.socket.write_some(boost::asio::buffer(rest.data(), rest.size()), error);
                sender.sent += written;
                progress = progress || written > 0;
                sender.closed = error && error != boost::asio::error::would_block;
                unfinished = true;
            }
            check.sample();
            if (!progress) {
                std::this_thread::sleep_for(1ms);
            }
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }

private:
    struct member {
        tcp::socket socket;
        std::size_t sent = 0;
        bool closed = false;
    };

    boost::asio::io_context context_;
    std::vector<member> members_;
};

constexpr std::string_view startup{"STARTUP orders test\r\n"};

/// @return A message of almost the largest legal size, without its line break.
std::string large_message() {
    return "QUERY 1 WRITE kit-1 " + std::string(1'000'000, 'x');
}

std::string repeated(const std::string& text, std::size_t count) {
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

std::string prepared_names() {
    std::string result{startup};
    for (int index = 0; index < 100; ++index) {
        const std::string number = std::to_string(index);
        result.append("QUERY p").append(number).append(" PREPARE name").append(number);
        result.append(" READ ").append(10'000, 's').append("\r\n");
    }
    return result;
}

/// @brief What each member of a crowd of callers sends.
struct crowd_case {
    const char* name;
    machine limits;
    std::size_t members;
    std::size_t piece;
    std::function<std::string()> bytes;

    friend std::ostream& operator<<(std::ostream& output, const crowd_case& value) {
        return output << value.name;
    }
};

constexpr std::size_t large_piece = std::size_t{32} * 1024;

const std::vector<crowd_case> crowds{
    {"unterminated large message",
     {},
     150,
     large_piece,
     [] { return std::string{startup} + large_message(); }},
    {"several large messages at once",
     {},
     60,
     large_piece,
     [] { return std::string{startup} + repeated(large_message() + "\r\n", 8); }},
    {"large messages in small pieces",
     {},
     150,
     1024,
     [] { return std::string{startup} + large_message() + "\r\n"; }},
    {"messages far over the limit",
     {},
     150,
     large_piece,
     [] { return std::string{startup} + repeated(large_message(), 4); }},
    {"many prepared names", {}, 150, large_piece, prepared_names},
    {"messages ahead",
     {},
     150,
     large_piece,
     [] { return std::string{startup} + repeated("QUERY 1 READ kit-1\r\n", 20'000); }},
    {"messages ahead that the host answers",
     {},
     100,
     large_piece,
     [] { return std::string{startup} + repeated("QUERY 1 x\r\n", 20'000); }},
    {"half a start line", few_descriptors, 200, large_piece,
     [] { return std::string{startup.substr(0, 10)}; }},
    {"half a message",
     {},
     190,
     large_piece,
     [] { return std::string{startup} + large_message().substr(0, 500'000); }},
    {"half a message in a transaction",
     {},
     190,
     large_piece,
     [] {
         return std::string{startup} + "QUERY 1 BEGIN\r\nQUERY 2 WRITE kit-1 blue\r\n" +
                large_message().substr(0, 500'000);
     }},
    {"a transaction without a further message", few_descriptors, 200, large_piece,
     [] { return std::string{startup} + "QUERY 1 BEGIN\r\nQUERY 2 WRITE kit-1 blue\r\n"; }},
    {"one byte", few_descriptors, 200, 1, [] { return std::string{"S"}; }},
};

/// @brief A database that answers each read with many rows, and runs on a thread of the test.
class large_database {
public:
    /// @param part Sent again and again; without line breaks, it is a row without an end.
    /// @param size Number of bytes after which the answer ends; 0 if it does not end.
    explicit large_database(std::string part, std::size_t size = 0)
        : part_{std::move(part)},
          size_{size},
          acceptor_{context_, {boost::asio::ip::make_address("127.0.0.1"), 0}} {
        accept();
        thread_ = std::thread{[this] { context_.run(); }};
    }

    large_database(const large_database&) = delete;
    large_database& operator=(const large_database&) = delete;
    large_database(large_database&&) = delete;
    large_database& operator=(large_database&&) = delete;

    ~large_database() {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @return Number of bytes of rows that were sent.
    [[nodiscard]] std::size_t sent() const { return sent_; }

private:
    using answer = session_standins::database_connection::outcome;

    struct session {
        explicit session(tcp::socket connected) : socket{std::move(connected)} {}

        tcp::socket socket;
        std::string received;
        session_standins::database_connection protocol{
            {.run = [](const auto& /*statement*/) { return answer{"COMPLETE signed\r\n"}; },
             .begin = [](bool /*read_only*/) { return std::optional<std::string>{}; },
             .administer =
                 [](const std::string& /*text*/) {
                     return "DATAROW primary 1 1.1 0 0 1 2\r\nCOMPLETE -\r\n";
                 },
             .position = [] { return "1.1"; },
             .on_malformed = [](const std::string& /*reason*/) {}}};
    };

    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            read(std::make_shared<session>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<session>& client) {
        boost::asio::async_read_until(
            client->socket, boost::asio::dynamic_buffer(client->received), "\r\n",
            [this, client](const boost::system::error_code& error, std::size_t length) {
                if (error) {
                    return;
                }
                const std::string line = client->received.substr(0, length - 2);
                client->received.erase(0, length);
                if (line.find(" READ kit") != std::string::npos) {
                    write_rows(client, 0);
                    return;
                }
                boost::system::error_code ignored;
                boost::asio::write(client->socket,
                                   boost::asio::buffer(client->protocol.on_line(line)), ignored);
                read(client);
            });
    }

    /// @brief Sends the rows of an answer, 200 MB at most.
    void write_rows(const std::shared_ptr<session>& client, std::size_t sent) {
        constexpr std::size_t most = 200'000'000;
        if (size_ > 0 && sent >= size_) {
            boost::system::error_code ignored;
            boost::asio::write(
                client->socket,
                boost::asio::buffer(std::string{"COMPLETE signed\r\nREADY I 1.1\r\n"}), ignored);
            read(client);
            return;
        }
        if (sent >= most) {
            return;
        }
        boost::asio::async_write(
            client->socket, boost::asio::buffer(part_),
            [this, client, sent](const boost::system::error_code& error, std::size_t written) {
                if (!error) {
                    sent_ += written;
                    write_rows(client, sent + written);
                }
            });
    }

    const std::string part_;
    const std::size_t size_;
    std::atomic<std::size_t> sent_{0};
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// @brief Sends bytes ahead and reads slowly, in steps of 64 KB.
/// @param done Given what was received so far; true ends the exchange.
/// @return What was received until then, until the host closed the connection, or in 25 s.
std::string exchange(std::uint16_t port, const std::string& bytes,
                     const std::function<bool(const std::string&)>& done) {
    boost::asio::io_context context;
    tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    const auto end = std::chrono::steady_clock::now() + 25s;
    std::size_t sent = 0;
    std::string received;
    std::vector<char> step(std::size_t{64} * 1024);
    while (!done(received) && std::chrono::steady_clock::now() < end) {
        boost::system::error_code error;
        if (sent < bytes.size()) {
            sent += socket.write_some(boost::asio::buffer(bytes.data() + sent, bytes.size() - sent),
                                      error);
        }
        const std::size_t size = socket.read_some(boost::asio::buffer(step), error);
        received.append(step.data(), size);
        if (error && error != boost::asio::error::would_block) {
            break;
        }
        std::this_thread::sleep_for(1ms);
    }
    return received;
}

/// @return Everything that the host sends before it closes the connection.
std::string answers_to(std::uint16_t port, const std::string& bytes) {
    return exchange(port, bytes, [](const std::string& /*received*/) { return false; });
}

/// @return Number of successful answers, at most one for each statement.
std::size_t answers_to_slow_caller(std::uint16_t port, const std::string& bytes,
                                   std::size_t statements) {
    std::size_t answers = 0;
    std::size_t searched = 0;
    // The greeting is one READY more.
    std::size_t endings = 0;
    static_cast<void>(exchange(port, bytes, [&](const std::string& received) {
        for (std::size_t end = received.find("\r\n", searched); end != std::string::npos;
             end = received.find("\r\n", searched)) {
            const std::string_view line{received.data() + searched, end - searched};
            answers += line.starts_with("COMPLETE") ? 1U : 0U;
            endings += line.starts_with("READY") ? 1U : 0U;
            searched = end + 2;
        }
        return endings == statements + 1;
    }));
    return answers;
}

/// @brief Makes the database the only target, and reads until it has answered.
void use_instead(running_host& host, const large_database& database, crowd_check& check) {
    host.put("servers/i-1", "{}");
    host.put("servers/i-2", running_host::target_entry(database.address()));
    // Until the host has learned of the change, the first target answers.
    crowd readers{host.caller_port(), 4};
    readers.send(startup, large_piece, check);
    for (int round = 0; round < 16 && database.sent() == 0; ++round) {
        readers.send("QUERY 1 READ kit-1\r\n", large_piece, check);
        check.wait(500ms);
    }
}

} // namespace

// Guards against callers that exhaust the memory or the descriptors of a host, or keep it from
// serving others (design page hard-load, 2.7). Without limits, 200 callers with an unterminated
// message of 1 MB took 202 MB of a machine that may have 112 MB.
BOOST_DATA_TEST_CASE(a_crowd_of_callers, boost::unit_test::data::make(crowds), sample) {
    running_host host{sample.limits};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    crowd_check check{host};
    crowd callers{host.caller_port(), sample.members};
    callers.send(sample.bytes(), sample.piece, check);
    check.finish(sample.name);
}

// Guards against large answers that wait in the memory of the host because their callers do not
// read them. The kernel drops a caller that reads nothing at all after about 2.5 s.
BOOST_AUTO_TEST_CASE(a_crowd_that_reads_no_large_answers) {
    large_database large{repeated("DATAROW " + std::string(1'000, 'x') + "\r\n", 1'000), 6'000'000};
    running_host host{{}};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    crowd_check check{host};
    use_instead(host, large, check);
    crowd callers{host.caller_port(), 16};
    callers.send(std::string{startup} + repeated("QUERY 1 READ kit-1\r\n", 4), large_piece, check);
    check.wait(2s);
    BOOST_TEST(large.sent() > 12'000'000U);
    host.put("servers/i-2", "{}");
    host.put("servers/i-1", running_host::target_entry(host.database_address()));
    check.finish("large answers that are not read");
}

// Guards against answers of a target that exhaust the memory: rows without an end, and a row
// without an end.
BOOST_DATA_TEST_CASE(a_target_whose_answer_does_not_end,
                     boost::unit_test::data::make({"DATAROW row\r\n", "DATAROW row "}), part) {
    large_database endless{repeated(part, 5'000)};
    running_host host{{}};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    crowd_check check{host};
    use_instead(host, endless, check);
    check.wait(1s);
    BOOST_TEST(endless.sent() > 1'000'000U);
    host.put("servers/i-2", "{}");
    host.put("servers/i-1", running_host::target_entry(host.database_address()));
    check.finish("an answer without an end");
}

// Guards against limits that close or refuse callers which keep to the protocol: each sends 32
// statements ahead, with messages of almost 1 MiB, and reads large answers slowly. The host is the
// smallest of the reference deployments, with the defaults.
BOOST_AUTO_TEST_CASE(legal_callers_are_served) {
    running_host host{{.memory_mb = 112, .max_descriptors = 3010, .default_limits = true}};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    constexpr std::size_t statements = 32;
    std::vector<std::future<std::size_t>> callers;
    for (int index = 0; index < 4; ++index) {
        std::string bytes{startup};
        for (std::size_t statement = 0; statement < statements; ++statement) {
            const std::string id = "QUERY q" + std::to_string(statement);
            const std::string item = " kit-" + std::to_string(index);
            const bool writes = statement % 2 == 0;
            bytes.append(id).append(writes ? " WRITE" : " READ").append(item);
            if (writes) {
                bytes.append(" ").append(1'048'000, 'x');
            }
            bytes.append("\r\n");
        }
        callers.push_back(std::async(std::launch::async, [&host, bytes] {
            return answers_to_slow_caller(host.caller_port(), bytes, statements);
        }));
    }
    for (std::future<std::size_t>& caller : callers) {
        BOOST_TEST(caller.get() == statements);
    }
    BOOST_TEST(host.alive());
    BOOST_TEST_MESSAGE("legal callers: peak memory " << host.peak_memory_kb() << " kB");
    BOOST_TEST(host.peak_memory_kb() <= host.limits().memory_mb * 1024);
}

// Guards against a message over the limit that ends without a word: its caller learns the reason,
// also while it still sends the rest.
BOOST_AUTO_TEST_CASE(a_message_over_the_limit_gets_an_error) {
    running_host host{{}};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    const std::string answers =
        answers_to(host.caller_port(), std::string{startup} + repeated(large_message(), 2));
    BOOST_TEST(answers.starts_with("READY I -\r\nERROR TOOLARGE "));
}

// Guards against a crowd on the ports for probes and metrics that takes all descriptors, and keeps
// the load balancer or the operators from an answer.
BOOST_DATA_TEST_CASE(a_crowd_on_an_http_port,
                     boost::unit_test::data::make({"ready", "metrics"}) *
                         boost::unit_test::data::make({"half a header", "a large body",
                                                       "requests whose answers are not read"}),
                     port_name, behavior) {
    running_host host{few_descriptors};
    BOOST_REQUIRE(caller_session{host.caller_port()}.served());
    const std::string kind{behavior};
    const std::uint16_t port =
        std::string{port_name} == "ready" ? host.ready_port() : host.metrics_port();
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: a\r\n";
    const std::string bytes =
        kind == "half a header" ? request + "A: b"
        : kind == "a large body"
            ? "POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + std::string(899'999, 'x')
            : repeated(request + "\r\n", 500);
    crowd_check check{host};
    crowd clients{port, 200};
    clients.send(bytes, large_piece, check);
    boost::asio::io_context context;
    tcp::socket probe{context};
    probe.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    const timeval limit{3, 0};
    ::setsockopt(probe.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    boost::asio::write(probe, boost::asio::buffer(std::string{"GET /ready HTTP/1.1\r\n\r\n"}));
    std::string status(12, ' ');
    const ssize_t received =
        ::recv(probe.native_handle(), status.data(), status.size(), MSG_WAITALL);
    BOOST_TEST(received == static_cast<ssize_t>(status.size()));
    BOOST_TEST(status == "HTTP/1.1 200");
    check.finish(std::string{port_name} + ", " + kind);
}

} // namespace lovagemoor
