#include <lovagemoor/session_standins/standin_database.hpp>
#include <lovagemoor/session_standins/standin_store.hpp>
#include <lovagemoor/session_standins/statement_judge.hpp>
#include <lovagemoor/testbed/child_process.hpp>
#include <lovagemoor/testbed/free_ports.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lovagemoor {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// @brief Runs a host as a separate process with stand-ins for the registry's store and for one
/// database, which run on a thread of the test.
class running_host {
public:
    /// @param max_connections Limit of the database.
    explicit running_host(unsigned max_connections = 10)
        : store_{context_},
          database_{context_},
          ports_{testbed::find_free_ports(2)},
          directory_{std::filesystem::temp_directory_path() /
                     ("lovagemoor-sessions-" + std::to_string(ports_.front()))} {
        store_.put("op/config", configuration(1, {"orders"}, max_connections));
        store_.put("servers/i-1", database_entry("ready"));
        // Entries of another writer, listed before and after the database's.
        store_.put("servers/a-1", std::string(200'000, '['));
        store_.put("servers/a-2", "\xff\xfe");
        store_.put("servers/z-1", R"({"service":"s","address":"127.0.0.1:99999","zone":"a",)"
                                  R"("slots":1e300,"state":"ready","db_role":"primary"})");
        std::filesystem::create_directories(directory_);
        write_settings("info");
        standin_thread_ = std::thread{[this] { context_.run(); }};
        host_.emplace(std::vector<std::string>{testbed::host_program(), "--sessions",
                                               "--settings=" + settings_path()},
                      (directory_ / "host.log").string());
        static_cast<void>(host_->wait_until_ready(20s));
    }

    running_host(const running_host&) = delete;
    running_host& operator=(const running_host&) = delete;
    running_host(running_host&&) = delete;
    running_host& operator=(running_host&&) = delete;

    ~running_host() {
        host_.reset();
        context_.stop();
        standin_thread_.join();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    void write_settings(const std::string& level) const {
        std::ofstream file{settings_path()};
        file << "[host]\nid = host-1\nfailure_domain = a\ncaller_listen = " << address(0)
             << "\nready_listen = " << address(1)
             << "\nstop_grace_s = 3\n[registry]\naddress = " << store_.address()
             << "\n[log]\nlevel = " << level << "\n";
    }

    /// @return A configuration with a route from each of the databases to the service.
    [[nodiscard]] static std::string configuration(int version,
                                                   const std::vector<std::string>& databases,
                                                   unsigned max_connections = 10) {
        std::string routes;
        for (const std::string& database : databases) {
            routes += (routes.empty() ? "" : ",") + std::string{R"({"host":")"} + database +
                      R"(","service":"s","route_type":"primary","timeout_ms":5000})";
        }
        return R"({"config_version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
               R"(],"services":[{"name":"s","max_connections":)" + std::to_string(max_connections) +
               "}]}";
    }

    /// @brief The store loses the answers to all watches that are sent within the time.
    void lose_watches_for(std::chrono::milliseconds time) {
        boost::asio::post(context_, [this] { store_.lose_watches(true); });
        std::this_thread::sleep_for(time);
        boost::asio::post(context_, [this] { store_.lose_watches(false); });
    }

    /// @brief Writes an item of the store, on the thread of the stand-ins.
    void put(const std::string& key, const std::string& value) {
        boost::asio::post(context_, [this, key, value] { store_.put(key, value); });
    }

    [[nodiscard]] std::string database_entry(const std::string& state) const {
        return R"({"service":"s","address":")" + database_.address() +
               R"(","zone":"a","slots":2,"state":")" + state + R"(","db_role":"primary"})";
    }

    /// @return What the database has read so far.
    [[nodiscard]] session_standins::standin_database::record received() {
        std::promise<session_standins::standin_database::record> copy;
        boost::asio::post(context_, [&] { copy.set_value(database_.received()); });
        return copy.get_future().get();
    }

    testbed::child_process& process() { return *host_; }

    [[nodiscard]] std::uint16_t caller_port() const { return ports_[0]; }

private:
    [[nodiscard]] std::string settings_path() const { return (directory_ / "host.ini").string(); }

    [[nodiscard]] std::string address(std::size_t index) const {
        return "127.0.0.1:" + std::to_string(ports_[index]);
    }

    boost::asio::io_context context_;
    session_standins::standin_store store_;
    session_standins::standin_database database_;
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::thread standin_thread_;
    std::optional<testbed::child_process> host_;
};

/// @brief A caller's session that waits for the answer to each statement.
class caller_session {
public:
    explicit caller_session(std::uint16_t port, const std::string& database = "orders")
        : socket_{context_} {
        // The host accepts connections as soon as it starts, but refuses statements until it has
        // read its configuration. The session is therefore reopened until a statement is served.
        for (int attempt = 0; attempt < 100; ++attempt) {
            socket_ = tcp::socket{context_};
            socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
            send("STARTUP " + database + " test");
            if (read_line() == "READY I -" &&
                !execute("READ probe").front().starts_with("ERROR BUSY")) {
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        BOOST_FAIL("the host served no statement after 100 attempts to open a session");
    }

    /// @brief Sends a statement.
    /// @return The lines of the answer, including the READY line that ends it.
    std::vector<std::string> execute(const std::string& text) {
        return execute("q" + std::to_string(++last_query_), text);
    }

    std::vector<std::string> execute(const std::string& id, const std::string& text) {
        send("QUERY " + id + " " + text);
        std::vector<std::string> lines;
        do {
            lines.push_back(read_line());
        } while (!lines.back().empty() && !lines.back().starts_with("READY"));
        return lines;
    }

    /// @brief Sends a statement several times without waiting for answers, then reads the answers
    /// in small steps.
    /// @return Number of bytes received before the answer to the last statement ended, or before
    /// the host closed the session.
    std::size_t execute_ahead(const std::string& text, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            send("QUERY q" + std::to_string(++last_query_) + " " + text);
        }
        std::size_t received = 0;
        std::size_t answers = 0;
        std::string bytes;
        std::vector<char> step(std::size_t{64} * 1024);
        boost::system::error_code error;
        while (answers < count && !error) {
            const std::size_t size = socket_.read_some(boost::asio::buffer(step), error);
            received += size;
            bytes.append(step.data(), size);
            for (std::size_t end = bytes.find("\r\n"); end != std::string::npos;
                 end = bytes.find("\r\n")) {
                answers += bytes.starts_with("READY") ? 1 : 0;
                bytes.erase(0, end + 2);
            }
            std::this_thread::sleep_for(1ms);
        }
        return received;
    }

    /// @brief Sends statements in one write, without waiting for answers.
    /// @return Number of answers received before the host closed the session, at most one for each.
    std::size_t execute_at_once(const std::vector<std::string>& texts) {
        std::string lines;
        for (const std::string& text : texts) {
            lines += "QUERY q" + std::to_string(++last_query_) + " " + text + "\r\n";
        }
        boost::asio::write(socket_, boost::asio::buffer(lines));
        std::size_t answers = 0;
        while (answers < texts.size()) {
            const std::string line = read_line();
            if (line.empty()) {
                break;
            }
            answers += line.starts_with("READY") ? 1 : 0;
        }
        return answers;
    }

    /// @return True if the host has closed the session.
    bool closed() { return read_line().empty(); }

private:
    void send(const std::string& line) {
        boost::asio::write(socket_, boost::asio::buffer(line + "\r\n"));
    }

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

/// @return Number of answers to statements that arrive together 0.3 s after a planned stop began.
std::size_t answers_in_a_stop(const std::vector<std::string>& statements) {
    running_host host;
    caller_session session{host.caller_port()};
    host.process().send_signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    return session.execute_at_once(statements);
}

} // namespace

// Guards against faults on the whole path of a statement, from the caller through the host program
// to a database: wrong answers, a rollback that keeps a write, and an unknown prepared statement
// that is not rejected.
BOOST_AUTO_TEST_CASE(statements_and_transactions_are_served) {
    running_host host;
    caller_session session{host.caller_port()};
    BOOST_TEST(session.execute("WRITE kit-1 blue").front() == "COMPLETE signed");
    BOOST_TEST(session.execute("READ kit-1").front() == "DATAROW blue");
    BOOST_TEST(session.execute("BEGIN").back().starts_with("READY T"));
    BOOST_TEST(session.execute("WRITE kit-1 green").front() == "COMPLETE signed");
    BOOST_TEST(session.execute("ROLLBACK").back().starts_with("READY I"));
    BOOST_TEST(session.execute("READ kit-1").front() == "DATAROW blue");
    BOOST_TEST(session.execute("EXECUTE unknown kit-1").front().starts_with("ERROR NOPREPARED"));
}

// Guards against a statement that runs in another session's shape, or with words of a shape in its
// arguments, on the way through the host program: the two sessions share the only connection, and
// their shapes differ in blanks and further words (PINNED and UNASKED, issue 35).
BOOST_AUTO_TEST_CASE(sessions_of_one_connection_keep_their_prepared_statements) {
    const std::vector<std::string> shapes{
        "READ q1",  "READ q1 READ gj",     "READ q1 ",  "READ  q1",  "READ q1  a", "READ q1 a",
        "WRITE q1", "WRITE q1 WRITE hpxc", "WRITE q1 ", "WRITE  q1", "WRITE q1\t"};
    running_host host{1};
    caller_session sessions[]{caller_session{host.caller_port()},
                              caller_session{host.caller_port()}};
    session_standins::statement_judge judge;
    int last_id = 0;
    const auto execute = [&](std::size_t session, const std::string& text) {
        const std::string id = "c" + std::to_string(++last_id);
        judge.on_sent(session, id, text);
        const std::vector<std::string> answer = sessions[session].execute(id, text);
        BOOST_TEST(!answer.front().starts_with("ERROR"), text << ": " << answer.front());
        judge.on_answered(session, id, answer.front().starts_with("ERROR") ? "refused" : "",
                          answer.back().substr(0, 7).back());
    };
    execute(0, "SET mode a b ");
    execute(1, "SET mode  a b");
    for (std::size_t index = 0; index < shapes.size(); ++index) {
        // Both sessions use the same name, each for a shape of its own.
        execute(0, "PREPARE s1 " + shapes[index]);
        execute(1, "PREPARE s1 " + shapes[(index + 1) % shapes.size()]);
        execute(0, "EXECUTE s1 item-1 1d2 nweou ");
        execute(1, "EXECUTE s1 item-2  READ gj");
        execute(0, "BEGIN");
        execute(0, "EXECUTE s1 item-3 hpxc");
        execute(0, "COMMIT");
    }
    const session_standins::standin_database::record received = host.received();
    std::set<std::uint64_t> connections;
    for (const auto& run : received.runs) {
        if (run.statement.id.starts_with('c')) {
            connections.insert(run.connection);
            judge.on_run(run.connection, run.statement);
        }
    }
    BOOST_TEST(connections.size() == 1U);
    BOOST_TEST(judge.executed() == 3 * shapes.size());
    for (const std::string& violation : judge.violations()) {
        BOOST_TEST_MESSAGE(violation);
    }
    BOOST_TEST(judge.violations().size() == 0U);
    BOOST_TEST(received.malformed.empty());
}

// Guards against answers that are cut because the caller reads more slowly than the database
// answers: more than line_stream::max_unsent_bytes then wait to be sent.
BOOST_AUTO_TEST_CASE(a_slow_reader_receives_all_answers) {
    running_host host;
    caller_session session{host.caller_port()};
    const std::string value(900'000, 'x');
    BOOST_TEST(session.execute("WRITE kit-1 " + value).front() == "COMPLETE signed");
    constexpr std::size_t statements = 30;
    BOOST_TEST(session.execute_ahead("READ kit-1", statements) > statements * value.size());
    BOOST_TEST(session.execute("READ kit-1").back().starts_with("READY I"));
}

// Guards against a reload that ends the process or its sessions, with valid and with invalid
// settings. This was found on dala-ops, where SIGHUP ended the process with exit code 129.
BOOST_AUTO_TEST_CASE(a_reload_keeps_the_process_and_its_sessions) {
    running_host host;
    caller_session session{host.caller_port()};
    BOOST_TEST(session.execute("WRITE kit-1 blue").front() == "COMPLETE signed");
    host.write_settings("debug");
    host.process().send_signal(SIGHUP);
    BOOST_TEST(!host.process().wait_for_exit(500ms).has_value());
    BOOST_TEST(session.execute("READ kit-1").front() == "DATAROW blue");
    host.write_settings("no such level");
    host.process().send_signal(SIGHUP);
    BOOST_TEST(!host.process().wait_for_exit(500ms).has_value());
    BOOST_TEST(session.execute("READ kit-1").front() == "DATAROW blue");
}

// Guards against a host that ends, or no longer follows the list of databases, because of one odd
// entry: the host started with several of them, and more come while it runs.
BOOST_AUTO_TEST_CASE(odd_entries_do_not_stop_the_list) {
    running_host host;
    caller_session session{host.caller_port()};
    BOOST_TEST(session.execute("WRITE kit-1 blue").front() == "COMPLETE signed");
    host.put("servers/a-3", std::string(700'000, '['));
    host.put("servers/a-4", R"({"service":"s","address":"10.0.0.1:70000"})");
    // A later change arrives: the database's entry becomes odd, so the database is no longer used.
    host.put("servers/i-1", R"({"state":)");
    BOOST_TEST(!host.process().wait_for_exit(4s).has_value());
    BOOST_TEST(session.execute("READ kit-1").front().starts_with("ERROR"));
    host.put("servers/i-1", host.database_entry("ready"));
    std::vector<std::string> answer;
    for (int attempt = 0; attempt < 40 && (answer.empty() || answer.front() != "DATAROW blue");
         ++attempt) {
        std::this_thread::sleep_for(100ms);
        answer = session.execute("READ kit-1");
    }
    BOOST_TEST(answer.front() == "DATAROW blue");
}

// Guards against an entry below another key that takes the place of a database's own entry.
BOOST_AUTO_TEST_CASE(an_entry_below_another_key_names_no_database) {
    running_host host;
    caller_session session{host.caller_port()};
    BOOST_TEST(session.execute("WRITE kit-1 blue").front() == "COMPLETE signed");
    host.put("servers/other/i-1", R"({"state":)");
    BOOST_TEST(!host.process().wait_for_exit(4s).has_value());
    BOOST_TEST(session.execute("READ kit-1").front() == "DATAROW blue");
}

// Guards against hosts that use an old configuration, or a database that has left, until their
// watch ends after 25 s: the store lost its answer in an outage that no other call noticed
// (review/4). The bounds are the users': 4 s after an outage all rules hold again, and a database
// that has left gets no statement after 7 s.
BOOST_AUTO_TEST_CASE(changes_are_followed_after_the_answers_to_watches_were_lost) {
    running_host host;
    caller_session session{host.caller_port()};
    host.lose_watches_for(500ms);
    const auto changed_at = std::chrono::steady_clock::now();
    host.put("op/config", running_host::configuration(2, {"orders", "more-orders"}));
    host.put("servers/i-1", R"({"state":)");
    caller_session added{host.caller_port(), "more-orders"};
    BOOST_TEST((std::chrono::steady_clock::now() - changed_at < 4s));
    auto last_served = changed_at;
    bool served = true;
    while (served && std::chrono::steady_clock::now() - changed_at < 10s) {
        served = session.execute("READ kit-1").front().starts_with("DATAROW");
        // A statement without a database is held for a while before it is refused.
        last_served = served ? std::chrono::steady_clock::now() : last_served;
        std::this_thread::sleep_for(50ms);
    }
    BOOST_TEST(!served);
    BOOST_TEST((last_served - changed_at < 7s));
}

// Guards against a planned stop that ends a session while its transaction is open.
BOOST_AUTO_TEST_CASE(a_graceful_stop_waits_for_an_open_transaction) {
    running_host host;
    caller_session session{host.caller_port()};
    session.execute("BEGIN");
    session.execute("WRITE kit-1 blue");
    host.process().send_signal(SIGTERM);
    BOOST_TEST(session.execute("COMMIT").front() == "COMPLETE signed");
    BOOST_TEST(session.closed());
    BOOST_TEST((host.process().wait_for_exit(10s) == std::optional<int>{0}));
}

// Guards against a stopping host that closes a session after its first answer although it has read
// further statements, which arrived together.
BOOST_AUTO_TEST_CASE(a_graceful_stop_answers_all_statements_that_arrived_together) {
    BOOST_TEST(answers_in_a_stop({"READ kit-1", "READ kit-1", "WRITE kit-1 blue", "READ kit-1"}) ==
               4U);
}

// The same, if the host answers the first statement itself. Listed in KNOWN-RED.txt; CI passes over
// it until the host is fixed.
BOOST_TEST_DECORATOR(*boost::unit_test::disabled())

BOOST_DATA_TEST_CASE(a_graceful_stop_answers_statements_after_one_of_the_host,
                     boost::unit_test::data::make({"EXECUTE unknown kit-1", "SET mode a"}), first) {
    BOOST_TEST(answers_in_a_stop({first, "READ kit-1", "WRITE kit-1 blue", "READ kit-1"}) == 4U);
}

} // namespace lovagemoor
