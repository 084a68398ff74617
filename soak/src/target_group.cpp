#include "target_group.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace lovagemoor::soak {

using boost::asio::ip::tcp;

namespace internal {

namespace {

constexpr std::chrono::milliseconds replication_interval{5};
constexpr std::chrono::milliseconds promotion_time{300};

std::string error(const char* code) {
    return std::string{"ERROR "} + code + " refused\r\n";
}

std::string take_word(std::string& text) {
    const std::size_t end = std::min(text.find(' '), text.size());
    std::string word = text.substr(0, end);
    text.erase(0, std::min(end + 1, text.size()));
    return word;
}

} // namespace

} // namespace internal

target_group::target_group(boost::asio::io_context& context, session_standins::standin_store& store,
                           ledger& promises)
    : context_{context},
      store_{store},
      promises_{promises},
      replication_{context},
      promotion_server_{context, "127.0.0.1:0", [this](const gateway::http_server::request& call) {
                            return promote(call);
                        }} {
    for (std::size_t index = 0; index < size; ++index) {
        member& made = members_[index];
        made.id = "i-" + std::to_string(index);
        made.acceptor = std::make_unique<tcp::acceptor>(
            context_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        made.link = std::make_unique<fault_link>(context_, made.acceptor->local_endpoint().port());
        accept(index);
    }
    register_members();
    replicate();
}

std::string target_group::promotion_address() const {
    return "127.0.0.1:" + std::to_string(promotion_server_.port());
}

void target_group::register_members() {
    const char* const domains[size] = {"a", "b", "c"};
    for (std::size_t index = 0; index < size; ++index) {
        const nlohmann::json record{{"service", "s"},
                                    {"address", members_[index].link->address()},
                                    {"zone", domains[index]},
                                    {"slots", 4},
                                    {"state", "ready"},
                                    {"born", 1},
                                    {"db_role", index == primary_ ? "primary" : "replica"}};
        store_.put("servers/" + members_[index].id, record.dump());
    }
}

void target_group::accept(std::size_t index) {
    members_[index].acceptor->async_accept(
        [this, index](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            member& at = members_[index];
            if (!at.crashed) {
                const std::uint64_t id = ++last_session_;
                session& opened = at.sessions[id];
                opened.stream = std::make_shared<gateway::line_stream>(std::move(socket));
                opened.stream->start(
                    [this, index, id](std::string_view line) { on_line(index, id, line); },
                    [this, index, id](gateway::stream_end /*reason*/) {
                        members_[index].sessions.erase(id);
                    });
            }
            accept(index);
        });
}

void target_group::replicate() {
    const member& source = members_[primary_];
    for (member& replica : members_) {
        while (!source.crashed && !replica.crashed && replica.log.size() < source.log.size() &&
               clock::now() >= source.log[replica.log.size()].at + replica.lag) {
            replica.log.push_back(source.log[replica.log.size()]);
        }
    }
    replication_.expires_after(internal::replication_interval);
    replication_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            replicate();
        }
    });
}

void target_group::crash(std::size_t index) {
    members_[index].crashed = true;
    for (auto& [id, open] : members_[index].sessions) {
        open.stream->abort();
    }
    members_[index].sessions.clear();
}

void target_group::restart(std::size_t index) {
    members_[index].crashed = false;
}

gateway::http_server::response target_group::promote(const gateway::http_server::request& request) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const auto chosen = std::find_if(members_.begin(), members_.end(), [&](const member& known) {
        return known.id == body.at("id").get<std::string>();
    });
    const std::uint64_t token = std::stoull(request.headers.at("lovagemoor-fencing-token"));
    const std::string holder = request.headers.at("lovagemoor-duty-holder");
    const auto [used, is_new] = holders_.emplace(token, holder);
    if (!is_new && used->second != holder) {
        promises_.violate("ONE", "two holders used the fencing token " + std::to_string(token));
    }
    if (token < highest_token_ || chosen == members_.end() || chosen->crashed) {
        return {409, "application/json", "{}"};
    }
    highest_token_ = token;
    const auto index = static_cast<std::size_t>(std::distance(members_.begin(), chosen));
    if (index != primary_) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
        timer->expires_after(internal::promotion_time);
        timer->async_wait([this, index, timer](const boost::system::error_code& error) {
            if (!error) {
                finish_promotion(index);
            }
        });
    }
    return {200, "application/json", "{}"};
}

void target_group::finish_promotion(std::size_t chosen) {
    if (chosen == primary_ || members_[chosen].crashed) {
        return;
    }
    ++promotions_;
    ++term_;
    primary_ = chosen;
    const std::size_t kept = members_[chosen].log.size();
    for (member& other : members_) {
        other.log.resize(std::min(other.log.size(), kept));
    }
    for (acknowledged_commit& commit : promises_.commits) {
        commit.rolled_back = commit.rolled_back || commit.index >= kept;
    }
    register_members();
}

void target_group::on_line(std::size_t index, std::uint64_t id, std::string_view line) {
    const auto found = members_[index].sessions.find(id);
    if (found == members_[index].sessions.end()) {
        return;
    }
    member& at = members_[index];
    session& over = found->second;
    std::string text{line};
    const std::string verb = internal::take_word(text);
    std::string& output = over.stream->output();
    if (verb == "QUERY") {
        const std::string request = internal::take_word(text);
        std::string answer = run(index, over, request, text);
        if (request != "-" && at.lost_answers > 0) {
            --at.lost_answers;
            return;
        }
        output += answer;
    } else if (verb == "STARTUP") {
        const std::string service = internal::take_word(text);
        internal::take_word(text);
        if (service != "s" || (!text.empty() && text != at.id)) {
            output += internal::error("WRONGNODE");
        }
    }
    output +=
        std::string{"READY "} + (over.in_transaction ? "T " : "I ") + position_of(at) + "\r\n";
    over.stream->flush();
}

std::string target_group::position_of(const member& at) const {
    return at.log.empty()
               ? "1.0"
               : std::to_string(at.log.back().term) + "." + std::to_string(at.log.size());
}

std::string target_group::run(std::size_t index, session& over, const std::string& id,
                              std::string text) {
    member& at = members_[index];
    if (text.starts_with("WAITLSN ")) {
        internal::take_word(text);
        const std::string needed = internal::take_word(text);
        const std::size_t dot = needed.find('.');
        const std::pair point{std::stoull(needed.substr(0, dot)),
                              std::stoull(needed.substr(dot + 1))};
        const std::pair held{at.log.empty() ? 1ULL : at.log.back().term,
                             static_cast<unsigned long long>(at.log.size())};
        if (held < point) {
            return internal::error("LAGGING");
        }
    }
    if (id != "-") {
        return run_statement(index, over, id, text);
    }
    const std::string verb = internal::take_word(text);
    if (verb == "BEGIN") {
        if (text != "READ" && index != primary_) {
            return internal::error("READONLY");
        }
        over.in_transaction = true;
        over.writable = text != "READ";
        over.owner = 0;
    } else if (verb == "ROLLBACK") {
        over.in_transaction = false;
        over.uncommitted.clear();
    } else if (verb == "SET") {
        const std::string name = internal::take_word(text);
        over.values[name] = text;
    } else if (verb == "DISCARD") {
        over.values.clear();
    } else if (verb == "STATUS" || verb == "PAUSE") {
        return std::string{"DATAROW "} + (index == primary_ ? "primary " : "replica ") +
               std::to_string(term_) + " " + position_of(at) + " 0 0 1 1\r\nCOMPLETE -\r\n";
    }
    return "COMPLETE -\r\n";
}

std::string target_group::run_statement(std::size_t index, session& over, const std::string& id,
                                        const std::string& text) {
    member& at = members_[index];
    const auto sent = promises_.statements.find(id);
    if (sent == promises_.statements.end() || sent->second.text != text) {
        promises_.violate("UNASKED", id + " " + text);
        return internal::error("FAILED");
    }
    sent->second.reached_target = true;
    if (at.busy) {
        return internal::error("BUSY");
    }
    check_pinned(over, id, text);
    if (over.in_transaction && over.writable && index != primary_) {
        over.in_transaction = false;
        over.uncommitted.clear();
        return internal::error("READONLY");
    }
    std::string rest = text;
    const std::string verb = internal::take_word(rest);
    if (verb == "COMMIT") {
        return commit(index, over, id);
    }
    const std::string item = internal::take_word(rest);
    if (verb == "READ") {
        return read(at, id, item);
    }
    return write(index, over, {term_, id, id, item, rest, clock::now()});
}

void target_group::check_pinned(session& over, const std::string& id, const std::string& text) {
    const sent_statement& sent = promises_.statements.at(id);
    if (over.in_transaction && over.owner == 0) {
        over.owner = sent.session;
    }
    const bool own = !over.in_transaction || over.owner == sent.session;
    if (sent.in_transaction != over.in_transaction || !own) {
        promises_.violate("PINNED", id + " " + text + " in another transaction");
    }
    if (over.values != sent.values) {
        promises_.violate("PINNED", id + " " + text + " with other session values");
    }
}

std::string target_group::read(member& at, const std::string& id, const std::string& item) {
    check_fresh(at, id);
    const auto newest = std::find_if(at.log.rbegin(), at.log.rend(),
                                     [&](const entry& known) { return known.item == item; });
    return "DATAROW " + (newest == at.log.rend() ? "none" : newest->value) + "\r\nCOMPLETE s." +
           id + "." + (newest == at.log.rend() ? "none" : newest->value) + "\r\n";
}

void target_group::check_fresh(const member& at, const std::string& id) {
    const sent_statement& sent = promises_.statements.at(id);
    for (const acknowledged_commit& known : promises_.commits) {
        const bool lacks = !known.rolled_back && known.index >= at.log.size();
        const bool own = sent.database == "own" && known.session == sent.session;
        if (lacks && (known.at < sent.began - sent.staleness || (own && known.at < sent.began))) {
            promises_.violate("STALE",
                              id + " at " + at.id + " lacks commit " + std::to_string(known.index));
            return;
        }
    }
}

std::string target_group::write(std::size_t index, session& over, const entry& written) {
    if (index != primary_ || (over.in_transaction && !over.writable)) {
        return internal::error("READONLY");
    }
    if (over.in_transaction) {
        over.uncommitted.push_back(written);
    } else {
        append(members_[index], written);
    }
    return "COMPLETE s." + written.write_id + ".none\r\n";
}

std::string target_group::commit(std::size_t index, session& over, const std::string& id) {
    for (entry& written : over.uncommitted) {
        written.commit_id = id;
        written.term = term_;
        written.at = clock::now();
        append(members_[index], written);
    }
    over.uncommitted.clear();
    over.in_transaction = false;
    return "COMPLETE s." + id + ".none\r\n";
}

void target_group::append(member& at, const entry& written) {
    const bool known = std::any_of(at.log.begin(), at.log.end(), [&](const entry& other) {
        return other.write_id == written.write_id;
    });
    if (known) {
        promises_.violate("TWICE", written.write_id);
    }
    at.log.push_back(written);
}

void target_group::acknowledge(const std::string& statement_id) {
    const std::vector<entry>& log = members_[primary_].log;
    const auto found = std::find_if(log.rbegin(), log.rend(), [&](const entry& known) {
        return known.commit_id == statement_id;
    });
    if (found != log.rend()) {
        const auto index = static_cast<std::size_t>(std::distance(found, log.rend())) - 1;
        promises_.commits.push_back(
            {clock::now(), index, promises_.statements.at(statement_id).session, false});
    }
}

void target_group::check_refusals() const {
    for (const entry& kept : members_[primary_].log) {
        const auto refused = promises_.refused.find(kept.commit_id);
        if (refused != promises_.refused.end()) {
            promises_.violate("REFUSED", kept.commit_id + " was answered " + refused->second);
        }
    }
}

} // namespace lovagemoor::soak
