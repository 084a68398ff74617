#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/proxy/lending/connection_lender.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

/// @brief Drives a lender and records what it asks for. Connections open and commands are answered
/// only when a test says so.
class lender_driver {
public:
    /// @param limit Connection limit of the target.
    explicit lender_driver(unsigned limit = 100, unsigned slots = 4)
        : limit_{limit}, slots_{slots} {}

    loan_id borrow(const std::string& organisation, std::uint64_t borrower = 1,
                   unsigned priority = 0, std::chrono::milliseconds wait = 1000ms,
                   bool any = false) {
        const loan_id loan{borrower, ++last_loan_};
        apply(loan_requested{loan, core::target_id{"t"}, core::service_id{"s"}, "10.0.0.1:1",
                             core::organisation_id{organisation}, any, limit_, slots_, wait,
                             priority});
        return loan;
    }

    void apply(const lending_event& input) {
        for (const lending_action& wanted : lender.handle(now, input)) {
            std::visit(
                core::overloaded{
                    [this](const open_target& value) {
                        opening.push_back(value);
                        ++opened_count;
                    },
                    [this](const close_target& value) { closed.push_back(value.connection); },
                    [this](const send_commands& value) { sent.push_back(value); },
                    [this](const grant_loan& value) { granted.push_back(value); },
                    [this](const end_loan& value) { ended.push_back(value); },
                    [this](const relay_reply& value) { relayed.push_back(value); },
                    [this](const queue_loan& value) { queued.push_back(value.loan); },
                    [](const auto& /*telemetry*/) {},
                },
                wanted);
        }
    }

    /// @brief All connections that are being opened are accepted, and those that follow.
    void accept() {
        while (!opening.empty()) {
            const core::connection_id id = opening.front().connection;
            opening.erase(opening.begin());
            apply(target_connected{id, replication_position{1, 7}});
        }
    }

    void fail(target_close_reason reason) {
        const core::connection_id id = opening.front().connection;
        opening.erase(opening.begin());
        apply(target_disconnected{id, reason});
    }

    void pass(core::duration time) {
        for (const core::time_point end = now + time; now < end;) {
            now += 25ms;
            apply(timer_expired{});
        }
    }

    void send(const loan_id& loan, const std::vector<command_kind>& kinds) {
        std::vector<target_command> commands;
        commands.reserve(kinds.size());
        for (const command_kind kind : kinds) {
            commands.push_back({kind, {}, {}, {}, std::nullopt, 0});
        }
        apply(loan_commands_received{loan, commands, 1000ms});
    }

    /// @brief The target answers a command.
    void reply(core::connection_id id, session_state state = session_state::idle,
               bool failed = false) {
        target_reply given;
        given.result.state = state;
        if (failed) {
            given.result.error = statement_error{statement_error_kind::failed, "", std::nullopt};
        }
        apply(target_replied{id, given});
    }

    [[nodiscard]] bool is_granted(const loan_id& loan) const {
        return std::any_of(granted.begin(), granted.end(),
                           [&](const grant_loan& given) { return given.loan == loan; });
    }

    [[nodiscard]] std::vector<loan_end> ends_of(const loan_id& loan) const {
        std::vector<loan_end> ends;
        for (const end_loan& given : ended) {
            if (given.loan == loan) {
                ends.push_back(given.reason);
            }
        }
        return ends;
    }

    connection_lender lender;
    core::time_point now{std::chrono::seconds{1000}};
    std::vector<open_target> opening;
    std::vector<core::connection_id> closed;
    std::vector<send_commands> sent;
    std::vector<grant_loan> granted;
    std::vector<end_loan> ended;
    std::vector<relay_reply> relayed;
    std::vector<loan_id> queued;
    std::size_t opened_count = 0;

private:
    unsigned limit_;
    unsigned slots_;
    std::uint64_t last_loan_ = 0;
};

const core::target_id target{"t"};

/// @brief A driver with one connection of organisation "o", which is lent.
struct lent_connection {
    lender_driver driver;
    loan_id loan;
    core::connection_id id = 0;

    lent_connection() : loan{driver.borrow("o")}, id{driver.opening.front().connection} {
        driver.accept();
    }
};

} // namespace

// Guards against opening a connection for each loan, and against ids that another part uses.
BOOST_AUTO_TEST_CASE(a_returned_connection_is_lent_again) {
    lent_connection lent;
    BOOST_TEST((lent.id & connection_lender::id_flag) != 0U);
    BOOST_TEST(lent.driver.granted.front().fresh);
    lent.driver.apply(loan_returned{lent.loan, false});
    const loan_id second = lent.driver.borrow("o", 2);
    BOOST_TEST(lent.driver.is_granted(second));
    BOOST_TEST(lent.driver.opened_count == 1U);
}

namespace {

struct state_row {
    const char* name;
    /// Commands of the first loan and the states that the target answers.
    std::vector<std::pair<command_kind, session_state>> commands;
    bool clean;
};

std::ostream& operator<<(std::ostream& output, const state_row& row) {
    return output << row.name;
}

using kind = command_kind;
constexpr session_state idle = session_state::idle;
constexpr session_state open = session_state::in_transaction;

const std::vector<state_row> state_rows{
    {"nothing", {}, true},
    {"a statement", {{kind::forward, idle}}, true},
    {"a value", {{kind::set_value, idle}, {kind::forward, idle}}, false},
    {"a prepared read", {{kind::prepare_read, idle}}, false},
    {"a prepared write", {{kind::prepare_write, idle}}, false},
    {"a value, then a reset", {{kind::set_value, idle}, {kind::reset, idle}}, true},
    {"a reset, then a value", {{kind::reset, idle}, {kind::set_value, idle}}, false},
    {"a reset that a rollback reverts",
     {{kind::set_value, idle}, {kind::begin, open}, {kind::reset, open}, {kind::rollback, idle}},
     false},
    {"a value set in a transaction",
     {{kind::begin, open}, {kind::set_value, open}, {kind::rollback, idle}},
     false},
};

} // namespace

// Guards against lending a connection that holds the values or names of another session as clean.
BOOST_DATA_TEST_CASE(only_connections_without_values_and_names_are_clean,
                     boost::unit_test::data::make(state_rows), row) {
    lent_connection lent;
    std::vector<command_kind> kinds;
    for (const auto& [command, state] : row.commands) {
        kinds.push_back(command);
    }
    lent.driver.send(lent.loan, kinds);
    for (const auto& [command, state] : row.commands) {
        lent.driver.reply(lent.id, state);
    }
    lent.driver.apply(loan_returned{lent.loan, false});
    const loan_id second = lent.driver.borrow("o", 2);
    BOOST_REQUIRE(lent.driver.is_granted(second));
    BOOST_TEST(lent.driver.granted.back().clean == row.clean);
}

// Guards against clearing the mark of a value whose reset failed.
BOOST_AUTO_TEST_CASE(a_failed_reset_leaves_the_values) {
    lent_connection lent;
    lent.driver.send(lent.loan, {kind::set_value, kind::reset});
    lent.driver.reply(lent.id);
    lent.driver.reply(lent.id, idle, true);
    lent.driver.apply(loan_returned{lent.loan, false});
    static_cast<void>(lent.driver.borrow("o", 2));
    BOOST_TEST(!lent.driver.granted.back().clean);
}

// Guards against replies that reach another loan, or arrive in another order.
BOOST_AUTO_TEST_CASE(replies_go_to_the_loan_in_order) {
    lent_connection lent;
    lent.driver.send(lent.loan, {kind::begin, kind::forward});
    lent.driver.reply(lent.id, open);
    lent.driver.reply(lent.id, idle);
    BOOST_REQUIRE(lent.driver.relayed.size() == 2U);
    BOOST_TEST((lent.driver.relayed[0].loan == lent.loan));
    BOOST_TEST((lent.driver.relayed[0].reply.result.state == open));
    BOOST_TEST((lent.driver.relayed[1].reply.result.state == idle));
    BOOST_TEST((lent.driver.sent.front().commands.size() == 2U));
}

namespace {

enum class expected_connection : std::uint8_t { kept, rolled_back, closed };

std::ostream& operator<<(std::ostream& output, expected_connection value) {
    return output << static_cast<int>(value);
}

struct loan_end_row {
    const char* name;
    /// Commands of the loan, and states of those that the target has answered.
    std::vector<command_kind> commands;
    std::vector<session_state> answers;
    bool channel_lost;
    bool broken;
    expected_connection expected;
};

std::ostream& operator<<(std::ostream& output, const loan_end_row& row) {
    return output << row.name;
}

const std::vector<loan_end_row> loan_end_rows{
    {"returned unused", {}, {}, false, false, expected_connection::kept},
    {"returned", {kind::forward}, {idle}, false, false, expected_connection::kept},
    {"returned broken", {kind::forward}, {idle}, false, true, expected_connection::closed},
    {"returned in a transaction",
     {kind::begin},
     {open},
     false,
     false,
     expected_connection::rolled_back},
    {"returned with a reply outstanding",
     {kind::forward},
     {},
     false,
     false,
     expected_connection::closed},
    {"channel lost while unused", {}, {}, true, false, expected_connection::kept},
    {"channel lost in a transaction",
     {kind::begin},
     {open},
     true,
     false,
     expected_connection::rolled_back},
    {"channel lost with a reply outstanding",
     {kind::begin, kind::forward},
     {open},
     true,
     false,
     expected_connection::closed},
};

} // namespace

// Guards against a loan that runs in the transaction of an earlier one, or gets its replies.
BOOST_DATA_TEST_CASE(an_ended_loan_leaves_no_transaction_and_no_reply,
                     boost::unit_test::data::make(loan_end_rows), row) {
    lent_connection lent;
    if (!row.commands.empty()) {
        lent.driver.send(lent.loan, row.commands);
    }
    for (const session_state state : row.answers) {
        lent.driver.reply(lent.id, state);
    }
    lent.driver.sent.clear();
    if (row.channel_lost) {
        lent.driver.apply(borrower_lost{lent.loan.borrower});
    } else {
        lent.driver.apply(loan_returned{lent.loan, row.broken});
    }
    const loan_id second = lent.driver.borrow("o", 2);
    const bool closed = !lent.driver.closed.empty();
    const bool rolled_back = !lent.driver.sent.empty() &&
                             lent.driver.sent.front().commands.front().kind == kind::rollback;
    BOOST_TEST((closed        ? expected_connection::closed
                : rolled_back ? expected_connection::rolled_back
                              : expected_connection::kept) == row.expected);
    BOOST_TEST(lent.driver.is_granted(second) == (row.expected == expected_connection::kept));
    if (row.expected == expected_connection::rolled_back) {
        lent.driver.reply(lent.id, idle);
        BOOST_TEST(lent.driver.is_granted(second));
        BOOST_TEST(lent.driver.relayed.size() == row.answers.size());
    }
}

// Guards against lending a connection whose rollback failed or was not answered.
BOOST_DATA_TEST_CASE(a_failed_rollback_closes_the_connection,
                     boost::unit_test::data::make({true, false}), answered) {
    lent_connection lent;
    lent.driver.send(lent.loan, {kind::begin});
    lent.driver.reply(lent.id, open);
    lent.driver.apply(loan_returned{lent.loan, false});
    if (answered) {
        lent.driver.reply(lent.id, open, true);
    } else {
        lent.driver.pass(1100ms);
    }
    BOOST_TEST((lent.driver.closed == std::vector<core::connection_id>{lent.id}));
}

namespace {

struct open_failure_row {
    const char* name;
    target_close_reason reason;
    /// Empty if the request keeps waiting.
    std::vector<loan_end> ends;
};

std::ostream& operator<<(std::ostream& output, const open_failure_row& row) {
    return output << row.name;
}

const std::vector<open_failure_row> open_failure_rows{
    {"refused", target_close_reason::refused, {loan_end::target_refused}},
    {"timed out", target_close_reason::timed_out, {loan_end::target_timed_out}},
    {"closed", target_close_reason::closed, {loan_end::connection_closed}},
    {"wrong target", target_close_reason::wrong_target, {loan_end::wrong_target}},
    {"malformed", target_close_reason::malformed, {loan_end::malformed}},
    {"connection limit", target_close_reason::connection_limit, {}},
};

} // namespace

// Guards against requests that wait at a holder which cannot reach the target, and against giving
// up, or trying again at once, when another holder still has the target's connections.
BOOST_DATA_TEST_CASE(a_failed_open_ends_or_delays_the_request,
                     boost::unit_test::data::make(open_failure_rows), row) {
    lender_driver driver;
    const loan_id loan = driver.borrow("o");
    driver.fail(row.reason);
    BOOST_TEST((driver.ends_of(loan) == row.ends));
    BOOST_TEST(driver.opened_count == 1U);
    driver.pass(75ms);
    BOOST_TEST(driver.opened_count == 1U);
    driver.pass(50ms);
    BOOST_TEST(driver.opened_count == (row.ends.empty() ? 2U : 1U));
    driver.accept();
    BOOST_TEST(driver.is_granted(loan) == row.ends.empty());
}

// Guards against a borrower that is not told of the loss of its connection.
BOOST_AUTO_TEST_CASE(a_lost_connection_ends_its_loan) {
    lent_connection lent;
    lent.driver.send(lent.loan, {kind::forward});
    lent.driver.apply(target_disconnected{lent.id, target_close_reason::closed});
    BOOST_TEST(
        (lent.driver.ends_of(lent.loan) == std::vector<loan_end>{loan_end::connection_closed}));
    BOOST_TEST(lent.driver.lender.connections_to(target) == 0U);
}

// Guards against requests that wait for longer than their borrower does.
BOOST_AUTO_TEST_CASE(a_request_is_refused_after_its_wait) {
    lender_driver driver;
    const loan_id loan = driver.borrow("o", 1, 0, 100ms);
    BOOST_TEST((driver.queued == std::vector<loan_id>{loan}));
    driver.pass(75ms);
    BOOST_TEST(driver.ends_of(loan).empty());
    driver.pass(50ms);
    BOOST_TEST((driver.ends_of(loan) == std::vector<loan_end>{loan_end::busy}));
    driver.accept();
    BOOST_TEST(!driver.is_granted(loan));
}

// Guards against new loans from a host that ends soon, and against the loss of open ones.
BOOST_AUTO_TEST_CASE(a_stopping_holder_refuses_new_loans_and_continues_open_ones) {
    lent_connection lent;
    const loan_id waiting = lent.driver.borrow("o", 2);
    lent.driver.apply(stop_requested{});
    BOOST_TEST((lent.driver.ends_of(waiting) == std::vector<loan_end>{loan_end::stopping}));
    const loan_id late = lent.driver.borrow("o", 3);
    BOOST_TEST((lent.driver.ends_of(late) == std::vector<loan_end>{loan_end::stopping}));
    lent.driver.send(lent.loan, {kind::forward});
    lent.driver.reply(lent.id);
    BOOST_TEST(lent.driver.relayed.size() == 1U);
}

// Guards against running commands that arrived before their holder was suspended, long after the
// borrower has given them up.
BOOST_AUTO_TEST_CASE(commands_past_their_deadline_are_dropped) {
    lender_driver driver;
    const loan_id loan = driver.borrow("o", 1, 0, 5000ms);
    driver.send(loan, {kind::forward});
    driver.now += 1500ms;
    driver.accept();
    BOOST_TEST((driver.ends_of(loan) == std::vector<loan_end>{loan_end::expired}));
    BOOST_TEST(driver.sent.empty());
    const loan_id next = driver.borrow("o", 2);
    BOOST_TEST(driver.is_granted(next));
}

// Guards against losing commands that arrive with the request.
BOOST_AUTO_TEST_CASE(commands_that_arrive_early_run_once_the_connection_is_lent) {
    lender_driver driver;
    const loan_id loan = driver.borrow("o");
    driver.send(loan, {kind::begin, kind::rollback});
    driver.accept();
    BOOST_REQUIRE(driver.sent.size() == 1U);
    BOOST_TEST(driver.sent.front().commands.size() == 2U);
}

// Guards against a caller's statement on a connection of another organisation. A check may use any.
BOOST_AUTO_TEST_CASE(connections_belong_to_one_organisation) {
    lent_connection lent;
    lent.driver.apply(loan_returned{lent.loan, false});
    const loan_id other = lent.driver.borrow("p", 2);
    const loan_id anonymous = lent.driver.borrow("", 3);
    BOOST_TEST(!lent.driver.is_granted(other));
    BOOST_TEST(!lent.driver.is_granted(anonymous));
    const loan_id check = lent.driver.borrow("", 4, 0, 1000ms, true);
    BOOST_TEST(lent.driver.is_granted(check));
    BOOST_TEST((lent.driver.opening.front().organisation == core::organisation_id{"p"}));
}

namespace {

struct budget_row {
    unsigned limit;
    unsigned slots;
    unsigned budget;
};

std::ostream& operator<<(std::ostream& output, const budget_row& row) {
    return output << row.limit << " connections, " << row.slots << " slots";
}

const std::vector<budget_row> budget_rows{
    {112, 4, 40}, {46, 4, 11}, {10, 2, 2}, {2, 4, 1}, {1, 1, 1}, {0, 4, 8},
};

} // namespace

// Guards against holders that use all connections, so that restarted ones find none.
BOOST_DATA_TEST_CASE(budgets_leave_a_reserve, boost::unit_test::data::make(budget_rows), row) {
    BOOST_TEST(lending_budget(row.limit, row.slots) == row.budget);
    lender_driver driver{row.limit, row.slots};
    for (unsigned index = 0; index < 200; ++index) {
        static_cast<void>(driver.borrow("o"));
    }
    BOOST_TEST(driver.opening.size() <= std::max(1U, row.slots / 2));
    driver.accept();
    BOOST_TEST(driver.granted.size() == row.budget);
    BOOST_TEST(driver.lender.connections_to(target) == row.budget);
}

namespace {

struct restart_row {
    const char* name;
    unsigned limit;
    /// Connections that each of the two holders needs at least.
    std::size_t expected;
};

std::ostream& operator<<(std::ostream& output, const restart_row& row) {
    return output << row.name;
}

const std::vector<restart_row> restart_rows{{"46 connections", 46, 11}, {"112", 112, 16}};

} // namespace

// Guards against hosts that find no free connection after a restart of all, while the target still
// counts the former connections.
BOOST_DATA_TEST_CASE(a_restart_of_all_hosts_is_served, boost::unit_test::data::make(restart_rows),
                     row) {
    std::size_t counted = 2 * std::size_t{lending_budget(row.limit, 4)};
    lender_driver holders[2]{lender_driver{row.limit}, lender_driver{row.limit}};
    for (int index = 0; index < 40; ++index) {
        for (lender_driver& holder : holders) {
            static_cast<void>(holder.borrow("o", 1, 0, 5000ms));
        }
    }
    // For 1 s, the target accepts connections up to its limit.
    for (int step = 0; step < 40; ++step) {
        for (lender_driver& holder : holders) {
            // Those that are opened meanwhile follow in the next step.
            for (std::size_t left = holder.opening.size(); left > 0; --left) {
                if (counted < row.limit) {
                    const core::connection_id id = holder.opening.front().connection;
                    holder.opening.erase(holder.opening.begin());
                    ++counted;
                    holder.apply(target_connected{id, std::nullopt});
                } else {
                    holder.fail(target_close_reason::connection_limit);
                }
            }
            holder.pass(25ms);
        }
    }
    for (const lender_driver& holder : holders) {
        BOOST_TEST(holder.granted.size() >= row.expected);
        // At most half of the slots (2) are used for attempts, every 100 ms.
        BOOST_TEST(holder.opened_count <= holder.granted.size() + 22);
        BOOST_TEST(holder.ended.empty());
    }
}

// Guards against an organisation with many requests that keeps others from the connections.
BOOST_AUTO_TEST_CASE(a_hot_organisation_queues_behind_itself) {
    lender_driver driver{16, 4};
    const unsigned budget = lending_budget(16, 4);
    std::vector<loan_id> hot;
    hot.reserve(50);
    for (int index = 0; index < 50; ++index) {
        hot.push_back(driver.borrow("hot", 1, 0, 5000ms));
    }
    driver.accept();
    BOOST_REQUIRE(driver.granted.size() == budget);
    const loan_id small = driver.borrow("small", 2, 5, 5000ms);
    driver.apply(loan_returned{hot[0], false});
    driver.accept();
    BOOST_TEST(driver.is_granted(small));
    BOOST_TEST(driver.lender.connections_to(target) == budget);
}

// Guards against two busy organisations that close each other's connections with each statement.
BOOST_AUTO_TEST_CASE(busy_organisations_settle_on_their_shares) {
    lender_driver driver{20, 4};
    std::map<loan_id, std::string> organisations;
    const auto borrow = [&](const std::string& organisation) {
        organisations[driver.borrow(organisation, 1, 0, 60000ms)] = organisation;
    };
    for (int index = 0; index < 30; ++index) {
        borrow("o");
        borrow("p");
    }
    driver.accept();
    std::map<std::string, int> served;
    std::size_t handled = 0;
    std::size_t opened_before = 0;
    for (int round = 0; round < 400; ++round) {
        BOOST_REQUIRE(handled < driver.granted.size());
        const loan_id loan = driver.granted[handled++].loan;
        ++served[organisations.at(loan)];
        driver.now += 1ms;
        driver.apply(loan_returned{loan, false});
        driver.accept();
        borrow(organisations.at(loan));
        if (round == 99) {
            opened_before = driver.opened_count;
        }
    }
    BOOST_TEST(driver.opened_count - opened_before <= 3U);
    BOOST_TEST(served["o"] > 140);
    BOOST_TEST(served["p"] > 140);
}

// Guards against an organisation that never gets a connection because there are more organisations
// than connections.
BOOST_AUTO_TEST_CASE(more_organisations_than_connections_are_all_served) {
    lender_driver driver{2, 4};
    std::map<loan_id, int> organisations;
    const auto borrow = [&](int organisation) {
        organisations[driver.borrow("o" + std::to_string(organisation), 1, 0, 60000ms)] =
            organisation;
    };
    for (int index = 0; index < 5; ++index) {
        borrow(index);
    }
    driver.accept();
    std::map<int, int> served;
    for (std::size_t handled = 0; handled < 50; ++handled) {
        BOOST_REQUIRE(handled < driver.granted.size());
        const loan_id loan = driver.granted[handled].loan;
        ++served[organisations.at(loan)];
        driver.now += 1ms;
        borrow(organisations.at(loan));
        driver.apply(loan_returned{loan, false});
        driver.accept();
    }
    for (int index = 0; index < 5; ++index) {
        BOOST_TEST(served[index] >= 8);
    }
}

// Guards against weights that have no effect.
BOOST_AUTO_TEST_CASE(shares_follow_the_weights) {
    lender_driver driver{24, 4};
    driver.apply(organisation_weights_changed{{{core::organisation_id{"o"}, 3.0}}});
    for (int index = 0; index < 20; ++index) {
        static_cast<void>(driver.borrow("o"));
        static_cast<void>(driver.borrow("p"));
    }
    driver.accept();
    BOOST_REQUIRE(driver.granted.size() == 6U);
    std::map<core::organisation_id, int> opened;
    int granted_to_o = 0;
    for (const grant_loan& given : driver.granted) {
        granted_to_o += given.loan.number % 2 == 1 ? 1 : 0;
    }
    BOOST_TEST(granted_to_o >= 4);
    BOOST_TEST(granted_to_o <= 5);
}

// Guards against urgent requests of an organisation that wait behind its others.
BOOST_AUTO_TEST_CASE(within_an_organisation_priority_and_arrival_decide) {
    lent_connection lent;
    lender_driver driver{2, 4};
    const loan_id first = driver.borrow("o");
    driver.accept();
    const loan_id late = driver.borrow("o", 1, 2);
    const loan_id later = driver.borrow("o", 1, 2);
    const loan_id urgent = driver.borrow("o", 1, 0);
    driver.apply(loan_returned{first, false});
    driver.apply(loan_returned{urgent, false});
    driver.apply(loan_returned{late, false});
    std::vector<loan_id> order;
    for (const grant_loan& given : driver.granted) {
        order.push_back(given.loan);
    }
    BOOST_TEST((order == std::vector<loan_id>{first, urgent, late, later}));
}

// Guards against connections that a host keeps although it is no longer a holder.
BOOST_AUTO_TEST_CASE(unused_connections_are_closed) {
    lent_connection lent;
    lent.driver.apply(loan_returned{lent.loan, false});
    lent.driver.pass(59s);
    BOOST_TEST(lent.driver.closed.empty());
    lent.driver.pass(2s);
    BOOST_TEST(lent.driver.closed.size() == 1U);
}

// Guards against lending a connection to the former address of a target that has moved.
BOOST_AUTO_TEST_CASE(a_target_that_moved_gets_new_connections) {
    lent_connection lent;
    lent.driver.apply(loan_returned{lent.loan, false});
    const loan_id moved{9, 9};
    lent.driver.apply(loan_requested{moved, target, core::service_id{"s"}, "10.0.0.2:1",
                                     core::organisation_id{"o"}, false, 100, 4, 1000ms, 0});
    BOOST_TEST((lent.driver.closed == std::vector<core::connection_id>{lent.id}));
    BOOST_REQUIRE(lent.driver.opening.size() == 1U);
    BOOST_TEST(lent.driver.opening.front().address == "10.0.0.2:1");
}

// Guards against requests that fill the memory of a holder.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded) {
    lender_driver driver;
    for (int index = 0; index < 1100; ++index) {
        static_cast<void>(driver.borrow("o"));
    }
    BOOST_TEST(driver.lender.waiting() == 1024U);
    BOOST_TEST((driver.ends_of({1, 1100}) == std::vector<loan_end>{loan_end::busy}));
}

} // namespace lovagemoor::proxy
