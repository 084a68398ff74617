#include <lovagemoor/gateway/caller_listener.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagemoor::gateway {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// @return A codec in which "start" opens a session, and all other lines are statements.
statement_codec short_codec() {
    statement_codec codec;
    codec.encode_result = [](const proxy::statement_result& result, std::string& output) {
        for (const std::string& row : result.rows) {
            output += row + "\r\n";
        }
    };
    codec.decode_caller_line = [](std::string_view line) -> caller_message {
        if (line == "start") {
            return startup_message{"d", ""};
        }
        proxy::statement sent;
        sent.id = std::string{line};
        return sent;
    };
    return codec;
}

/// @brief A listener with one session, and its caller.
class session_fixture {
public:
    session_fixture()
        : listener{context,
                   "127.0.0.1:0",
                   {},
                   short_codec(),
                   [this](const proxy::event& input) { on_event(input); }},
          caller{context} {
        caller.open(tcp::v4());
        // Small, so that large answers stay with the listener.
        caller.set_option(boost::asio::socket_base::receive_buffer_size{1 << 14});
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
        send("start\r\n");
        run_until([this] { return session != 0; });
    }

    void send(const std::string& text) { boost::asio::write(caller, boost::asio::buffer(text)); }

    void run_until(const std::function<bool()>& done) {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 10s;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(1ms);
        }
        BOOST_TEST(done());
    }

    /// @return True if nothing was left to be read or sent.
    bool drain() {
        drained = false;
        listener.perform(proxy::drain_session{session});
        run_until([this] { return drained; });
        return complete;
    }

    void drain_completely() {
        run_until([this] { return drain(); });
    }

    void answer(const proxy::statement_result& result) {
        for (const std::string& row : result.rows) {
            expected_bytes += row.size() + 2;
        }
        listener.perform(proxy::answer_statement{session, result});
        listener.flush();
    }

    /// @brief Reads as a caller until all output has been received.
    void read_until_sent() {
        caller.non_blocking(true);
        std::size_t received = 0;
        run_until([&] {
            std::vector<char> part(std::size_t{1} << 18U);
            boost::system::error_code error;
            received += caller.read_some(boost::asio::buffer(part), error);
            return received >= expected_bytes;
        });
    }

    boost::asio::io_context context;
    caller_listener listener;
    tcp::socket caller;
    proxy::session_id session = 0;
    std::size_t statements = 0;
    std::size_t expected_bytes = 0;
    bool drained = false;
    bool complete = false;
    std::size_t statements_when_drained = 0;

private:
    void on_event(const proxy::event& input) {
        if (const auto* const opened = std::get_if<proxy::session_opened>(&input)) {
            session = opened->session;
        } else if (std::holds_alternative<proxy::statement_received>(input)) {
            ++statements;
        } else if (std::holds_alternative<proxy::session_drained>(input)) {
            drained = true;
            complete = std::get<proxy::session_drained>(input).complete;
            statements_when_drained = statements;
        }
    }
};

struct arrival_case {
    const char* name;
    /// Sent before the session is drained.
    std::string sent;
    std::size_t statements;

    friend std::ostream& operator<<(std::ostream& output, const arrival_case& value) {
        return output << value.name;
    }
};

/// @return Lines that take more than one turn of a stream.
std::string many_statements(std::size_t count) {
    std::string lines;
    for (std::size_t index = 0; index < count; ++index) {
        lines += "q" + std::to_string(index) + "\r\n";
    }
    return lines;
}

const std::vector<arrival_case> arrivals{
    {"nothing", "", 0},
    {"a part of a statement", "q", 0},
    {"one statement", "q1\r\n", 1},
    {"two statements and a part", "q1\r\nq2\r\nq", 2},
    {"as many as in one turn", many_statements(line_stream::lines_per_turn),
     line_stream::lines_per_turn},
    {"more than in two turns", many_statements(2 * line_stream::lines_per_turn + 1),
     2 * line_stream::lines_per_turn + 1},
};

} // namespace

// Guards against statements that a busy host reads after it has closed their session, and that get
// no answer (LOST, issue 45).
BOOST_DATA_TEST_CASE(a_drain_passes_on_all_statements_that_have_arrived,
                     boost::unit_test::data::make(arrivals), sample) {
    session_fixture fixture;
    fixture.send(sample.sent);
    fixture.drain_completely();
    BOOST_TEST(fixture.statements_when_drained == sample.statements);
}

// Guards against a close while an answer is on its way to a slow caller: statements that the caller
// sends until it learns of the close were read and discarded (review of issue 45).
BOOST_AUTO_TEST_CASE(a_drain_is_not_complete_while_an_answer_is_unsent) {
    session_fixture fixture;
    fixture.send("q1\r\n");
    fixture.run_until([&] { return fixture.statements == 1; });
    proxy::statement_result large;
    // More than the buffers of both sockets, less than the limit that pauses the input.
    large.rows.assign(7, std::string(std::size_t{1} << 19U, 'r'));
    fixture.answer(large);
    BOOST_TEST(!fixture.drain());
    fixture.send("q2\r\n");
    fixture.read_until_sent();
    fixture.drain_completely();
    BOOST_TEST(fixture.statements_when_drained == 2U);
}

// Guards against a session whose end is never reached because its caller left first.
BOOST_AUTO_TEST_CASE(a_drain_of_a_session_that_has_ended_completes) {
    session_fixture fixture;
    fixture.caller.close();
    fixture.run_until([&] { return fixture.listener.session_count() == 0; });
    fixture.listener.perform(proxy::drain_session{fixture.session});
    fixture.run_until([&] { return fixture.drained; });
}

} // namespace lovagemoor::gateway
