#include "caller.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace lovagemoor::soak {

using boost::asio::ip::tcp;

namespace internal {

namespace {

/// Time after which a caller treats a statement as unanswered. The configuration's statement
/// timeout is 1 s; the rest is a margin for a busy machine.
constexpr std::chrono::seconds answer_timeout{3};
/// The host may close a session without answering a statement that was sent at most this long
/// before (the platform's bound), because the two can cross on the network.
constexpr std::chrono::milliseconds disconnect_allowance{200};
constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::milliseconds longest_pause{40};
/// Number of session identifiers reserved for each caller. Each of its connections uses one.
constexpr std::uint64_t session_ids_per_caller = 10'000;

/// Error codes that promise that the statement had no effect.
const std::set<std::string> errors_without_effect{"BUSY",     "ABORTED",   "LAGGING",
                                                  "READONLY", "WRONGNODE", "CONNLIMIT"};

/// Commands after whose failure a caller closes its session, as the protocol's page says.
const std::set<std::string> session_commands{"SET", "PREPARE", "DEALLOC"};

/// @return The word of a text with this index.
std::string word_of(std::string_view text, std::size_t index) {
    for (; index > 0; --index) {
        text.remove_prefix(std::min(text.find(' '), text.size() - 1) + 1);
    }
    return std::string{text.substr(0, text.find(' '))};
}

} // namespace

} // namespace internal

caller::caller(boost::asio::io_context& context, run_history& history, target_group& targets,
               caller_options options)
    : context_{context},
      history_{history},
      targets_{targets},
      options_{std::move(options)},
      random_{options_.seed},
      pause_timer_{context},
      answer_timer_{context} {}

std::size_t caller::random_below(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(random_);
}

void caller::connect() {
    ++connection_count_;
    ready_ = false;
    in_transaction_ = false;
    prepared_.clear();
    remaining_statements_.clear();
    socket_ = std::make_shared<tcp::socket>(context_);
    socket_->async_connect(
        options_.host, [this, socket = socket_](const boost::system::error_code& error) {
            if (error) {
                reconnect_later();
                return;
            }
            stream_ = std::make_shared<gateway::line_stream>(std::move(*socket));
            stream_->start([this](std::string_view line) { on_line(line); },
                           [this](gateway::stream_end /*reason*/) { on_disconnect(); });
            stream_->output() += "STARTUP " + options_.database + " soak\r\n";
            stream_->flush();
        });
}

void caller::reconnect_later() {
    pause_timer_.expires_after(internal::reconnect_pause);
    pause_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            connect();
        }
    });
}

void caller::send_after_pause() {
    pause_timer_.expires_after(
        std::chrono::milliseconds{random_below(internal::longest_pause.count())});
    pause_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && stream_ != nullptr) {
            if (remaining_statements_.empty()) {
                choose_operation();
            }
            do {
                send_next();
            } while (sends_ahead_ && !remaining_statements_.empty());
            stream_->flush();
            await_answer();
        }
    });
}

std::string caller::draw_words() {
    // Words of other statements, and blanks at either end and within.
    const std::array<const char*, 10> parts{"q1", "gj", "READ", "WRITE", "hpxc",
                                            "",   "Q1", "s1",   "item1", "EXECUTE"};
    std::string text = parts[random_below(parts.size())];
    for (std::size_t more = random_below(4); more > 0; --more) {
        text += std::string{" "} + parts[random_below(parts.size())];
    }
    return text.empty() ? "q1" : text;
}

std::string caller::draw_name() {
    return "s" + std::to_string(1 + random_below(3));
}

std::string caller::draw_statement() {
    const std::string item = "item" + std::to_string(random_below(6));
    std::string data =
        " v" + std::to_string(options_.session) + "_" + std::to_string(last_statement_number_);
    if (random_below(2) == 0) {
        data += " " + draw_words();
    }
    if (!prepared_.empty() && random_below(100) < 50) {
        // A few names are unknown.
        const auto drawn = std::next(prepared_.begin(),
                                     static_cast<std::ptrdiff_t>(random_below(prepared_.size())));
        const std::string name = random_below(100) < 97 ? drawn->first : draw_name();
        const bool has_data = drawn->second == "WRITE" || random_below(2) == 0;
        return "EXECUTE " + name + " " + item + (has_data ? data : "");
    }
    return random_below(100) < 40 ? "WRITE " + item + data : "READ " + item;
}

std::string caller::draw_session_command() {
    const std::size_t kind = random_below(100);
    if (kind < 30) {
        return (random_below(2) == 0 ? "SET zone " : "SET mode ") + draw_words();
    }
    if (kind < 40 && !prepared_.empty()) {
        return "DEALLOC " + prepared_.begin()->first;
    }
    return "PREPARE " + draw_name() + (random_below(100) < 60 ? " READ " : " WRITE ") +
           draw_words();
}

void caller::choose_operation() {
    const std::size_t kind = random_below(100);
    sends_ahead_ = kind >= 15 && kind < 30;
    if (kind < 15) {
        remaining_statements_ = {draw_session_command()};
    } else if (sends_ahead_) {
        for (std::size_t count = 2 + random_below(4); count > 0; --count) {
            remaining_statements_.push_back(draw_statement());
        }
    } else if (kind < 70) {
        remaining_statements_ = {draw_statement()};
    } else {
        remaining_statements_ = {"BEGIN"};
        for (std::size_t count = 1 + random_below(3); count > 0; --count) {
            if (random_below(100) < 20) {
                remaining_statements_.push_back(draw_session_command());
            }
            remaining_statements_.push_back(draw_statement());
        }
        remaining_statements_.push_back(random_below(100) < 80 ? "COMMIT" : "ROLLBACK");
    }
}

void caller::send_next() {
    const std::string text = remaining_statements_.front();
    remaining_statements_.pop_front();
    const std::string id =
        "q" + std::to_string(options_.session) + "x" + std::to_string(++last_statement_number_);
    sent_statement& sent = history_.statements[id];
    sent.session_id = options_.session * internal::session_ids_per_caller + connection_count_;
    sent.text = text;
    sent.database = options_.database;
    sent.max_staleness = options_.max_staleness;
    sent.sent = clock::now();
    if (text == "BEGIN") {
        transaction_began_ = sent.sent;
    }
    sent.began = in_transaction_ ? transaction_began_ : sent.sent;
    sent.in_transaction = in_transaction_;
    sent.access = access_of(text);
    history_.judge.on_sent(sent.session_id, id, text);
    outstanding_.push_back(id);
    stream_->output() += "QUERY " + id + " " + text + "\r\n";
}

void caller::await_answer() {
    waiting_since_ = clock::now();
    rows_.clear();
    completion_.clear();
    error_.clear();
    answer_timer_.expires_after(internal::answer_timeout);
    answer_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !outstanding_.empty()) {
            on_answer_timeout();
        }
    });
}

std::string caller::access_of(const std::string& text) const {
    const std::string verb = internal::word_of(text, 0);
    if (verb == "EXECUTE") {
        const auto prepared = prepared_.find(internal::word_of(text, 1));
        return prepared == prepared_.end() ? "" : prepared->second;
    }
    return verb == "READ" || verb == "WRITE" || verb == "COMMIT" ? verb : "";
}

void caller::on_line(std::string_view line) {
    const std::string_view word = line.substr(0, line.find(' '));
    const std::string rest{line.substr(std::min(word.size() + 1, line.size()))};
    if (!ready_) {
        on_startup_answer(word);
    } else if (word == "DATAROW") {
        rows_.push_back(rest);
    } else if (word == "COMPLETE") {
        completion_ = rest;
    } else if (word == "ERROR") {
        error_ = rest.substr(0, rest.find(' '));
    } else if (word == "READY") {
        on_answer(rest.substr(0, 1));
    }
}

void caller::on_startup_answer(std::string_view word) {
    if (word == "READY") {
        ready_ = true;
        send_after_pause();
    }
}

void caller::on_answer(const std::string& state) {
    if (outstanding_.empty()) {
        history_.report_violation("UNASKED", "answer without a statement");
        return;
    }
    const std::string id = std::move(outstanding_.front());
    outstanding_.pop_front();
    answer_timer_.cancel();
    const std::string text = history_.statements.at(id).text;
    ++history_.outcomes[error_.empty() ? "done" : error_];
    in_transaction_ = state == "T";
    const sent_statement& sent = history_.statements.at(id);
    history_.judge.on_answered(sent.session_id, id, error_, state.empty() ? ' ' : state.front());
    if (error_.empty()) {
        on_success(id, text);
    } else {
        on_error(id, sent);
        if (internal::session_commands.contains(internal::word_of(text, 0))) {
            // The session's values and names are unknown now, so the caller opens a new one.
            std::exchange(stream_, nullptr)->close();
            reconnect_later();
            return;
        }
        remaining_statements_.clear();
        if (state != "I") {
            remaining_statements_.push_back("ROLLBACK");
        }
    }
    if (outstanding_.empty()) {
        send_after_pause();
    } else {
        await_answer();
    }
}

void caller::on_success(const std::string& id, const std::string& text) {
    const std::string verb = internal::word_of(text, 0);
    if (verb == "PREPARE") {
        prepared_[internal::word_of(text, 1)] = internal::word_of(text, 2);
    } else if (verb == "DEALLOC") {
        prepared_.erase(internal::word_of(text, 1));
    }
    const sent_statement& sent = history_.statements.at(id);
    if (sent.access.empty()) {
        return;
    }
    const bool reads = sent.access == "READ";
    const std::string row = reads && rows_.size() == 1 ? rows_[0] : "";
    if (completion_ != signature(id, row) || rows_.size() != (reads ? 1U : 0U)) {
        history_.report_violation("MIXED", id + " " + text + " answered with " + completion_);
    }
    last_success_ = clock::now();
    if (sent.access == "COMMIT" || (sent.access == "WRITE" && !sent.in_transaction)) {
        targets_.acknowledge(id);
    }
}

void caller::on_error(const std::string& id, const sent_statement& sent) {
    if (error_ == "NODB") {
        history_.report_violation("CONFIG", id + " was told that its database is unknown");
    }
    const bool single_write = sent.access == "WRITE" && !sent.in_transaction;
    if ((single_write || sent.access == "COMMIT") &&
        internal::errors_without_effect.contains(error_)) {
        history_.refused_statements[id] = error_;
    }
}

void caller::on_disconnect() {
    answer_timer_.cancel();
    pause_timer_.cancel();
    stream_.reset();
    for (const std::string& id : std::exchange(outstanding_, {})) {
        ++history_.outcomes["disconnected"];
        const sent_statement& sent = history_.statements.at(id);
        const bool must_be_answered =
            sent.reached_target || clock::now() - sent.sent > internal::disconnect_allowance;
        if (options_.host_stops_gracefully() && must_be_answered) {
            history_.report_violation("LOST", id + " was interrupted by a planned stop");
        }
    }
    reconnect_later();
}

void caller::on_answer_timeout() {
    const std::string& id = outstanding_.front();
    if (options_.host_undisturbed_since(waiting_since_)) {
        history_.report_violation("HANG", id + " " + history_.statements.at(id).text +
                                              " was not answered in time");
    }
    ++history_.outcomes["timed out"];
    outstanding_.clear();
    stream_->abort();
    stream_.reset();
    reconnect_later();
}

} // namespace lovagemoor::soak
