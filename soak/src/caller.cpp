#include "caller.hpp"

#include <set>
#include <utility>

namespace lovagemoor::soak {

using boost::asio::ip::tcp;

namespace internal {

namespace {

/// Time-out of a statement in the configuration (1 s) and as much again for a busy machine.
constexpr std::chrono::seconds answer_limit{3};
/// A statement may cross the end of its session for this long (the platform's bound).
constexpr std::chrono::milliseconds crossing_limit{200};
constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::milliseconds longest_think{40};
/// Identities of one caller's sessions are this far apart at most.
constexpr std::uint64_t session_spacing = 10'000;

/// Answers that promise that nothing of the statement is kept.
const std::set<std::string> promises_not_run{"BUSY",     "ABORTED",   "LAGGING",
                                             "READONLY", "WRONGNODE", "CONNLIMIT"};

} // namespace

} // namespace internal

caller::caller(boost::asio::io_context& context, ledger& promises, target_group& targets,
               caller_options options)
    : context_{context},
      promises_{promises},
      targets_{targets},
      options_{std::move(options)},
      random_{options_.seed},
      pause_{context},
      deadline_{context} {}

std::size_t caller::draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(random_);
}

void caller::connect() {
    ++incarnation_;
    greeted_ = false;
    in_transaction_ = false;
    values_.clear();
    script_.clear();
    socket_ = std::make_shared<tcp::socket>(context_);
    socket_->async_connect({boost::asio::ip::make_address("127.0.0.1"), options_.port},
                           [this, socket = socket_](const boost::system::error_code& error) {
                               if (error) {
                                   reconnect_later();
                                   return;
                               }
                               stream_ = std::make_shared<gateway::line_stream>(std::move(*socket));
                               stream_->start([this](std::string_view line) { on_line(line); },
                                              [this](gateway::stream_end /*reason*/) { on_cut(); });
                               stream_->output() += "STARTUP " + options_.database + " soak\r\n";
                               stream_->flush();
                           });
}

void caller::reconnect_later() {
    pause_.expires_after(internal::reconnect_pause);
    pause_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            connect();
        }
    });
}

void caller::think() {
    pause_.expires_after(std::chrono::milliseconds{draw(internal::longest_think.count())});
    pause_.async_wait([this](const boost::system::error_code& error) {
        if (!error && stream_ != nullptr) {
            if (script_.empty()) {
                choose_operation();
            }
            send_next();
        }
    });
}

void caller::choose_operation() {
    const auto item = [this] { return "item" + std::to_string(draw(6)); };
    const auto statement = [&] {
        return draw(100) < 40 ? "WRITE " + item() + " v" + std::to_string(options_.session) + "_" +
                                    std::to_string(last_statement_)
                              : "READ " + item();
    };
    const std::size_t kind = draw(100);
    if (kind < 5) {
        script_ = {"SET zone " + std::to_string(draw(3))};
    } else if (kind < 70) {
        script_ = {statement()};
    } else {
        script_ = {"BEGIN"};
        for (std::size_t count = 1 + draw(3); count > 0; --count) {
            script_.push_back(statement());
        }
        script_.push_back(draw(100) < 80 ? "COMMIT" : "ROLLBACK");
    }
}

void caller::send_next() {
    const std::string text = script_.front();
    script_.pop_front();
    const std::string id =
        "q" + std::to_string(options_.session) + "x" + std::to_string(++last_statement_);
    sent_statement& sent = promises_.statements[id];
    sent.session = options_.session * internal::session_spacing + incarnation_;
    sent.text = text;
    sent.database = options_.database;
    sent.staleness = options_.staleness;
    sent.sent = clock::now();
    if (text == "BEGIN") {
        began_ = sent.sent;
    }
    sent.began = in_transaction_ ? began_ : sent.sent;
    sent.in_transaction = in_transaction_;
    sent.values = values_;
    outstanding_ = id;
    rows_.clear();
    signature_.clear();
    error_.clear();
    stream_->output() += "QUERY " + id + " " + text + "\r\n";
    stream_->flush();
    deadline_.expires_after(internal::answer_limit);
    deadline_.async_wait([this, id](const boost::system::error_code& error) {
        if (!error) {
            on_deadline(id);
        }
    });
}

void caller::on_line(std::string_view line) {
    const std::string_view word = line.substr(0, line.find(' '));
    const std::string rest{line.substr(std::min(word.size() + 1, line.size()))};
    if (!greeted_) {
        on_greeting(word);
    } else if (word == "DATAROW") {
        rows_.push_back(rest);
    } else if (word == "COMPLETE") {
        signature_ = rest;
    } else if (word == "ERROR") {
        error_ = rest.substr(0, rest.find(' '));
    } else if (word == "READY") {
        on_answer(rest.substr(0, 1));
    }
}

void caller::on_greeting(std::string_view word) {
    if (word == "READY") {
        greeted_ = true;
        think();
    }
}

void caller::on_answer(const std::string& state) {
    if (!outstanding_.has_value()) {
        promises_.violate("UNASKED", "answer without a statement");
        return;
    }
    const std::string id = *std::exchange(outstanding_, std::nullopt);
    deadline_.cancel();
    const std::string text = promises_.statements.at(id).text;
    ++promises_.outcomes[error_.empty() ? "done" : error_];
    in_transaction_ = state == "T";
    if (error_.empty()) {
        on_success(id, text);
    } else {
        on_error(id, text);
        script_.clear();
        if (state != "I") {
            script_.push_back("ROLLBACK");
        }
    }
    think();
}

void caller::on_success(const std::string& id, const std::string& text) {
    if (text.starts_with("SET ")) {
        values_["zone"] = text.substr(text.rfind(' ') + 1);
        return;
    }
    const bool reads = text.starts_with("READ ");
    const bool commits = text == "COMMIT";
    const bool writes = text.starts_with("WRITE ");
    if (!reads && !commits && !writes) {
        return;
    }
    const std::string expected = "s." + id + "." + (reads && rows_.size() == 1 ? rows_[0] : "none");
    if (signature_ != expected) {
        promises_.violate("MIXED", id + " " + text + " answered with " + signature_);
    }
    last_success_ = clock::now();
    if (commits || (writes && !promises_.statements.at(id).in_transaction)) {
        targets_.acknowledge(id);
    }
}

void caller::on_error(const std::string& id, const std::string& text) {
    if (error_ == "NODB") {
        promises_.violate("CONFIG", id + " was told that its database is unknown");
    }
    const bool single = text.starts_with("WRITE ") && !promises_.statements.at(id).in_transaction;
    if ((single || text == "COMMIT") && internal::promises_not_run.contains(error_)) {
        promises_.refused[id] = error_;
    }
}

void caller::on_cut() {
    deadline_.cancel();
    pause_.cancel();
    stream_.reset();
    if (outstanding_.has_value()) {
        ++promises_.outcomes["cut"];
        const sent_statement& sent = promises_.statements.at(*outstanding_);
        const bool passed_on =
            sent.reached_target || clock::now() - sent.sent > internal::crossing_limit;
        if (options_.stops_gracefully() && passed_on) {
            promises_.violate("LOST", *outstanding_ + " was cut by a planned stop");
        }
        outstanding_.reset();
    }
    reconnect_later();
}

void caller::on_deadline(const std::string& id) {
    const clock::time_point sent = promises_.statements.at(id).sent;
    if (options_.undisturbed_since(sent)) {
        promises_.violate("HANG", id + " " + promises_.statements.at(id).text + " unanswered");
    }
    ++promises_.outcomes["given up"];
    outstanding_.reset();
    stream_->abort();
    stream_.reset();
    reconnect_later();
}

} // namespace lovagemoor::soak
