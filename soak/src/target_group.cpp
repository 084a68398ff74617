#include "target_group.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace lovagemoor::soak {

using boost::asio::ip::tcp;

namespace internal {

namespace {

constexpr std::chrono::milliseconds replication_interval{5};
constexpr std::chrono::milliseconds promotion_time{300};

std::string error_answer(const char* code) {
    return std::string{"ERROR "} + code + " refused\r\n";
}

std::string extract_word(std::string& text) {
    const std::size_t end = std::min(text.find(' '), text.size());
    std::string word = text.substr(0, end);
    text.erase(0, std::min(end + 1, text.size()));
    return word;
}

} // namespace

} // namespace internal

target_group::target_group(boost::asio::io_context& context,
                           session_standins::standin_store& registry, run_history& history)
    : context_{context},
      registry_{registry},
      history_{history},
      replication_{context},
      promotion_server_{context, "127.0.0.1:0", [this](const gateway::http_server::request& call) {
                            return promote(call);
                        }} {
    for (std::size_t index = 0; index < size; ++index) {
        member& new_member = members_[index];
        new_member.id = "i-" + std::to_string(index);
        new_member.acceptor = std::make_unique<tcp::acceptor>(
            context_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        new_member.link =
            std::make_unique<fault_link>(context_, new_member.acceptor->local_endpoint().port());
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
        registry_.put("servers/" + members_[index].id, record.dump());
    }
}

void target_group::accept(std::size_t index) {
    members_[index].acceptor->async_accept(
        [this, index](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            member& target = members_[index];
            if (!target.crashed) {
                const std::uint64_t id = ++last_session_id_;
                session& opened = target.sessions[id];
                opened.stream = std::make_shared<gateway::line_stream>(std::move(socket));
                opened.connection = make_connection(index, id);
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
               clock::now() >= source.log[replica.log.size()].written_at + replica.lag) {
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
    const auto chosen =
        std::find_if(members_.begin(), members_.end(), [&](const member& candidate) {
            return candidate.id == body.at("id").get<std::string>();
        });
    const std::uint64_t token = std::stoull(request.headers.at("lovagemoor-fencing-token"));
    const std::string holder = request.headers.at("lovagemoor-duty-holder");
    const auto [recorded, is_new] = token_holders_.emplace(token, holder);
    if (!is_new && recorded->second != holder) {
        history_.report_violation("ONE",
                                  "two holders used the fencing token " + std::to_string(token));
    }
    if (token < highest_fencing_token_ || chosen == members_.end() || chosen->crashed) {
        return {409, "application/json", "{}"};
    }
    highest_fencing_token_ = token;
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
    const std::size_t retained_length = members_[chosen].log.size();
    for (member& other : members_) {
        other.log.resize(std::min(other.log.size(), retained_length));
    }
    for (acknowledged_commit& commit : history_.commits) {
        commit.rolled_back = commit.rolled_back || commit.index >= retained_length;
    }
    register_members();
}

void target_group::on_line(std::size_t index, std::uint64_t id, std::string_view line) {
    const auto found = members_[index].sessions.find(id);
    if (found == members_[index].sessions.end()) {
        return;
    }
    member& target = members_[index];
    session& current_session = found->second;
    std::string& output = current_session.stream->output();
    if (line.starts_with("STARTUP ")) {
        std::string text{line.substr(line.find(' ') + 1)};
        const std::string service = internal::extract_word(text);
        internal::extract_word(text);
        if (service != "s" || (!text.empty() && text != target.id)) {
            output += internal::error_answer("WRONGNODE");
        }
    }
    const std::string answer = current_session.connection->on_line(line);
    if (line.starts_with("QUERY ") && !line.starts_with("QUERY - ")) {
        std::string text{line.substr(line.find(' ') + 1)};
        const auto sent = history_.statements.find(internal::extract_word(text));
        if (sent != history_.statements.end()) {
            sent->second.reached_target = true;
        }
        if (target.lost_answers > 0) {
            --target.lost_answers;
            return;
        }
    }
    output += answer;
    current_session.stream->flush();
}

std::string target_group::position_of(const member& target) {
    return target.log.empty()
               ? "1.0"
               : std::to_string(target.log.back().term) + "." + std::to_string(target.log.size());
}

bool target_group::has_position(const member& target, const std::string& position) {
    const std::size_t dot = position.find('.');
    const std::pair required{std::stoull(position.substr(0, dot)),
                             std::stoull(position.substr(dot + 1))};
    const std::pair available{target.log.empty() ? 1ULL : target.log.back().term,
                              static_cast<unsigned long long>(target.log.size())};
    return available >= required;
}

std::unique_ptr<session_standins::database_connection>
target_group::make_connection(std::size_t index, std::uint64_t id) {
    const auto position = [this, index] { return position_of(members_[index]); };
    return std::make_unique<session_standins::database_connection>(
        session_standins::database_connection::hooks{
            [this, index, id](const session_standins::executed_statement& statement) {
                return run(index, id, statement);
            },
            [this, index](bool read_only) {
                return !read_only && index != primary_ ? std::optional<std::string>{"READONLY"}
                                                       : std::nullopt;
            },
            [this, index, position](const std::string& /*text*/) {
                return std::string{"DATAROW "} + (index == primary_ ? "primary " : "replica ") +
                       std::to_string(term_) + " " + position() + " 0 0 1 1\r\nCOMPLETE -\r\n";
            },
            position,
            [this](const std::string& reason) { history_.report_violation("MALFORMED", reason); },
            [this, index](const std::string& required) {
                return has_position(members_[index], required);
            }});
}

session_standins::database_connection::outcome
target_group::run(std::size_t index, std::uint64_t id,
                  const session_standins::executed_statement& statement) {
    member& target = members_[index];
    if (target.busy) {
        return {internal::error_answer(history_.judge.on_received(statement) ? "BUSY" : "FAILED")};
    }
    if (!history_.judge.on_run(id, statement)) {
        return {internal::error_answer("FAILED")};
    }
    if (statement.writable && index != primary_) {
        return {internal::error_answer("READONLY"), true};
    }
    session& current_session = target.sessions.at(id);
    if (current_session.transaction != statement.transaction) {
        current_session.transaction = statement.transaction;
        current_session.uncommitted.clear();
    }
    if (statement.access == "COMMIT") {
        return {commit(index, current_session, statement.id)};
    }
    if (statement.access == "READ") {
        return {read(target, statement.id, session_standins::split_arguments(statement).item)};
    }
    return write(index, current_session, statement);
}

std::string target_group::read(const member& target, const std::string& id,
                               const std::string& item) {
    check_staleness(target, id);
    const auto newest =
        std::find_if(target.log.rbegin(), target.log.rend(),
                     [&](const log_entry& candidate) { return candidate.item == item; });
    const std::string row = newest == target.log.rend() ? "none" : newest->value;
    return "DATAROW " + row + "\r\nCOMPLETE " + signature(id, row) + "\r\n";
}

void target_group::check_staleness(const member& target, const std::string& id) {
    const sent_statement& sent = history_.statements.at(id);
    for (const acknowledged_commit& commit : history_.commits) {
        const bool is_missing = !commit.rolled_back && commit.index >= target.log.size();
        const bool own = sent.database == "own" && commit.session_id == sent.session_id;
        if (is_missing && (commit.acknowledged_at < sent.began - sent.max_staleness ||
                           (own && commit.acknowledged_at < sent.began))) {
            history_.report_violation("STALE", id + " at " + target.id + " lacks commit " +
                                                   std::to_string(commit.index));
            return;
        }
    }
}

session_standins::database_connection::outcome
target_group::write(std::size_t index, session& current_session,
                    const session_standins::executed_statement& statement) {
    if (index != primary_ || (statement.transaction != 0 && !statement.writable)) {
        return {internal::error_answer("READONLY")};
    }
    const session_standins::statement_arguments fields =
        session_standins::split_arguments(statement);
    const log_entry new_entry{term_,       statement.id, statement.id,
                              fields.item, fields.data,  clock::now()};
    if (statement.transaction != 0) {
        current_session.uncommitted.push_back(new_entry);
    } else {
        append(members_[index], new_entry);
    }
    return {"COMPLETE " + signature(statement.id, "") + "\r\n"};
}

std::string target_group::commit(std::size_t index, session& current_session,
                                 const std::string& id) {
    for (log_entry& new_entry : current_session.uncommitted) {
        new_entry.commit_id = id;
        new_entry.term = term_;
        new_entry.written_at = clock::now();
        append(members_[index], new_entry);
    }
    current_session.uncommitted.clear();
    return "COMPLETE " + signature(id, "") + "\r\n";
}

void target_group::append(member& target, const log_entry& new_entry) {
    const bool is_duplicate =
        std::any_of(target.log.begin(), target.log.end(),
                    [&](const log_entry& other) { return other.write_id == new_entry.write_id; });
    if (is_duplicate) {
        history_.report_violation("TWICE", new_entry.write_id);
    }
    target.log.push_back(new_entry);
}

void target_group::acknowledge(const std::string& statement_id) {
    const std::vector<log_entry>& log = members_[primary_].log;
    const auto found = std::find_if(log.rbegin(), log.rend(), [&](const log_entry& candidate) {
        return candidate.commit_id == statement_id;
    });
    if (found != log.rend()) {
        const auto index = static_cast<std::size_t>(std::distance(found, log.rend())) - 1;
        history_.commits.push_back(
            {clock::now(), index, history_.statements.at(statement_id).session_id, false});
    }
}

void target_group::check_refusals() const {
    for (const log_entry& kept : members_[primary_].log) {
        const auto refused = history_.refused_statements.find(kept.commit_id);
        if (refused != history_.refused_statements.end()) {
            history_.report_violation("REFUSED",
                                      kept.commit_id + " was answered " + refused->second);
        }
    }
}

} // namespace lovagemoor::soak
