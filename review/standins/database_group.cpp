#include "database_group.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <thread>
#include <utility>

namespace lovagemoor::review {

namespace {

using boost::asio::ip::tcp;
using json = nlohmann::json;

constexpr std::chrono::milliseconds heartbeat{1200};
constexpr int silent_heartbeats_until_removal = 3;
constexpr std::chrono::milliseconds heartbeat_check_interval{20};
constexpr unsigned max_connections = 72;
constexpr const char* zones[database_group::size] = {"zone-a", "zone-b", "zone-c"};

std::string take_word(std::string& text) {
    const std::size_t blank = std::min(text.find(' '), text.size());
    std::string word = text.substr(0, blank);
    text.erase(0, std::min(blank + 1, text.size()));
    return word;
}

std::uint64_t number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

database_group::database_group(record& events, store& registry, database_group_settings settings)
    : events_{events}, registry_{registry}, settings_{std::move(settings)} {
    databases_.resize(size);
    for (std::size_t index = 0; index < size; ++index) {
        database& created = databases_[index];
        created.id = settings_.id_prefix + std::to_string(index + 1);
        created.zone = zones[index];
        created.acceptor = std::make_unique<tcp::acceptor>(
            context_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        created.log.push_back({1, "initial", {}, {}});
        std::thread{[this, index] { accept(index); }}.detach();
    }
    std::thread{[this] { replicate(); }}.detach();
    std::thread{[this] { send_heartbeats(); }}.detach();
}

void database_group::accept(std::size_t index) {
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket{context_};
        databases_[index].acceptor->accept(socket, error);
        if (error) {
            continue;
        }
        std::thread{[this, index, accepted = std::move(socket)]() mutable {
            serve(index, std::move(accepted));
        }}.detach();
    }
}

void database_group::serve(std::size_t index, tcp::socket socket) {
    const int handle = socket.native_handle();
    boost::system::error_code error;
    bool refused = false;
    bool full = false;
    {
        const std::lock_guard<std::mutex> lock{mutex_};
        refused = !databases_[index].running;
        full = databases_[index].sockets.size() >= max_connections;
        if (!refused) {
            databases_[index].sockets.insert(handle);
        }
    }
    if (refused) {
        // As if no process listened on the port: the connection is reset.
        socket.set_option(boost::asio::socket_base::linger{true, 0}, error);
        return;
    }
    socket.set_option(tcp::no_delay{true}, error);
    session client;
    client.database = index;
    bool greeted = false;
    std::string received;
    while (!error) {
        const std::size_t length = boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(received), std::string{"\r\n"}, error);
        if (error) {
            break;
        }
        const std::string line = received.substr(0, length - 2);
        received.erase(0, length);
        const std::string reply = greeted ? answer(client, line)
                                  : full  ? std::string{"ERROR CONNLIMIT -\r\n"}
                                          : greet(index, line);
        if (reply.empty()) {
            socket.set_option(boost::asio::socket_base::linger{true, 0}, error);
            break;
        }
        boost::asio::write(socket, boost::asio::buffer(reply), error);
        if (!greeted && reply.starts_with("ERROR")) {
            break;
        }
        greeted = true;
    }
    const std::lock_guard<std::mutex> lock{mutex_};
    databases_[index].sockets.erase(handle);
}

std::string database_group::greet(std::size_t index, const std::string& line) {
    const std::lock_guard<std::mutex> lock{mutex_};
    std::string rest = line;
    const std::string verb = take_word(rest);
    const std::string service = take_word(rest);
    take_word(rest);
    const database& target = databases_[index];
    if (verb != "STARTUP" || service != settings_.service || (!rest.empty() && rest != target.id)) {
        return "ERROR WRONGNODE " + target.id + "\r\n";
    }
    return "READY I " + position(target) + "\r\n";
}

std::string database_group::answer(session& client, const std::string& line) {
    std::unique_lock<std::mutex> lock{mutex_};
    std::string rest = line;
    const std::string verb = take_word(rest);
    if (verb != "QUERY") {
        return {};
    }
    const std::string id = take_word(rest);
    const lines result = execute(lock, client, id, rest);
    std::string item = rest;
    take_word(item);
    if (lost_answers_.erase(take_word(item)) > 0) {
        events_.add(databases_[client.database].id, "loses the answer to " + id);
        return {};
    }
    if (!databases_[client.database].running || result.empty()) {
        return {};
    }
    std::string reply;
    for (const std::string& part : result) {
        reply += part + "\r\n";
    }
    const char* const state = !client.open ? "I" : client.failed ? "E" : "T";
    reply += std::string{"READY "} + state + " " + position(databases_[client.database]) + "\r\n";
    return reply;
}

database_group::lines database_group::execute(std::unique_lock<std::mutex>& lock, session& client,
                                              const std::string& id, std::string text) {
    const database& target = databases_[client.database];
    if (text.starts_with("WAITLSN ")) {
        take_word(text);
        if (!holds(target, take_word(text))) {
            return failure(client, "LAGGING");
        }
    }
    std::string rest = text;
    const std::string verb = take_word(rest);
    if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") {
        return run_statement(lock, client, id, text);
    }
    return administer(client, verb, rest);
}

database_group::lines database_group::administer(session& client, const std::string& verb,
                                                 std::string rest) {
    database& target = databases_[client.database];
    const bool leads = primary_ == client.database;
    if (verb == "BEGIN") {
        if (rest != "READ" && !leads) {
            return {"ERROR READONLY " + target.id};
        }
        client.open = true;
        client.plain = rest != "READ";
    } else if (verb == "ROLLBACK") {
        client.open = false;
        client.failed = false;
        client.uncommitted.clear();
    } else if (verb == "SET") {
        const std::string name = take_word(rest);
        client.values[name] = rest;
    } else if (verb == "PREPARE") {
        const std::string name = take_word(rest);
        client.prepared[name] = take_word(rest);
    } else if (verb == "DISCARD") {
        client.values.clear();
        client.prepared.clear();
    } else if (verb == "STATUS") {
        return status_row(client.database);
    } else if (verb == "PAUSE") {
        if (!leads && number(rest) > term_) {
            target.held_term = number(rest);
        }
        return status_row(client.database);
    } else if (verb == "STEPDOWN") {
        if (leads && number(rest) > term_) {
            primary_.reset();
            events_.add(target.id, "steps down");
        }
        return status_row(client.database);
    }
    return {"COMPLETE -"};
}

database_group::lines database_group::status_row(std::size_t index) {
    const database& target = databases_[index];
    return {std::string{"DATAROW "} + (primary_ == index ? "primary " : "replica ") +
                std::to_string(term_) + " " + position(target) + " " +
                std::to_string(target.held_term) + " 0 0 " + std::to_string(target.sockets.size()),
            "COMPLETE -"};
}

database_group::lines database_group::failure(session& client, const std::string& code) {
    client.failed = client.open;
    return {"ERROR " + code + " " + databases_[client.database].id};
}

database_group::lines database_group::run_statement(std::unique_lock<std::mutex>& lock,
                                                    session& client, const std::string& id,
                                                    const std::string& text) {
    std::string rest = text;
    std::string verb = take_word(rest);
    if (verb == "EXECUTE") {
        const auto found = client.prepared.find(take_word(rest));
        if (found == client.prepared.end()) {
            return failure(client, "NOPREPARED");
        }
        verb = found->second;
    }
    const bool commits = verb == "COMMIT";
    if (client.open && client.plain && primary_ != client.database &&
        !(commits && client.uncommitted.empty())) {
        return failure(client, "READONLY");
    }
    if (commits) {
        const std::map<std::string, std::string> items = std::exchange(client.uncommitted, {});
        client.open = false;
        events_.add(databases_[client.database].id, "runs " + id + " " + text);
        if (!items.empty() && !append(lock, client.database, id, items)) {
            return {};
        }
        return {"COMPLETE " + databases_[client.database].id + "." + id};
    }
    const std::string item = take_word(rest);
    return verb == "READ" ? [&] {
        wait_for_work(lock, item);
        return read(client, id, item);
    }()
                          : write(lock, client, id, item, rest);
}

database_group::lines database_group::read(session& client, const std::string& id,
                                           const std::string& item) {
    const database& target = databases_[client.database];
    run done{id, {}};
    for (const commit& held : target.log) {
        done.commits.insert(held.statement);
    }
    runs_.push_back(std::move(done));
    events_.add(target.id, "runs " + id + " READ " + item + " on log " + position(target));
    lines result;
    const auto newest = std::find_if(target.log.rbegin(), target.log.rend(),
                                     [&](const commit& held) { return held.items.contains(item); });
    const auto own = client.uncommitted.find(item);
    result.push_back("DATAROW " + item + "=" +
                     (own != client.uncommitted.end() ? own->second
                      : newest == target.log.rend()   ? std::string{"none"}
                                                      : newest->items.at(item)));
    result.push_back("COMPLETE " + target.id + "." + id);
    return result;
}

database_group::lines database_group::write(std::unique_lock<std::mutex>& lock, session& client,
                                            const std::string& id, const std::string& item,
                                            const std::string& data) {
    if (primary_ != client.database || (client.open && !client.plain)) {
        return failure(client, "READONLY");
    }
    runs_.push_back({id, {}});
    events_.add(databases_[client.database].id, "runs " + id + " WRITE " + item);
    wait_for_work(lock, item);
    if (!databases_[client.database].running) {
        return {};
    }
    if (client.open) {
        client.uncommitted[item] = data;
    } else if (!append(lock, client.database, id, {{item, data}})) {
        return {};
    }
    return {"COMPLETE " + databases_[client.database].id + "." + id};
}

void database_group::wait_for_work(std::unique_lock<std::mutex>& lock, const std::string& item) {
    const auto found = work_.find(item);
    const std::chrono::milliseconds work = found == work_.end() ? settings_.work : found->second;
    lock.unlock();
    std::this_thread::sleep_for(work);
    lock.lock();
}

bool database_group::append(std::unique_lock<std::mutex>& lock, std::size_t index,
                            const std::string& id, std::map<std::string, std::string> items) {
    if (primary_ != index || !databases_[index].running) {
        return false;
    }
    databases_[index].log.push_back({term_, id, std::move(items), clock::now()});
    // With synchronous replicas, a commit is acknowledged once enough of them have received it.
    changed_.wait(lock, [&] {
        return !databases_[index].running || primary_ != index ||
               holders(id) > settings_.synchronous_replicas;
    });
    return databases_[index].running && primary_ == index;
}

std::size_t database_group::holders(const std::string& statement_id) const {
    return static_cast<std::size_t>(
        std::count_if(databases_.begin(), databases_.end(), [&](const database& candidate) {
            return std::any_of(candidate.log.rbegin(), candidate.log.rend(),
                               [&](const commit& held) { return held.statement == statement_id; });
        }));
}

std::string database_group::position(const database& source) const {
    return std::to_string(source.log.back().term) + "." + std::to_string(source.log.size());
}

bool database_group::holds(const database& source, const std::string& required) const {
    const std::size_t dot = std::min(required.find('.'), required.size());
    const std::pair<std::uint64_t, std::uint64_t> needed{
        number(required.substr(0, dot)),
        number(required.substr(std::min(dot + 1, required.size())))};
    return std::pair<std::uint64_t, std::uint64_t>{source.log.back().term, source.log.size()} >=
           needed;
}

void database_group::replicate() {
    for (;;) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
        const std::lock_guard<std::mutex> lock{mutex_};
        if (!primary_.has_value() || !databases_[*primary_].running) {
            continue;
        }
        const std::vector<commit>& source = databases_[*primary_].log;
        for (database& replica : databases_) {
            if (!replica.running || replica.deaf || replica.held_term > term_) {
                continue;
            }
            while (replica.log.size() > source.size() ||
                   replica.log.back().statement != source[replica.log.size() - 1].statement) {
                replica.log.pop_back();
            }
            while (replica.log.size() < source.size() &&
                   clock::now() - source[replica.log.size()].committed_at >=
                       settings_.replication_lag) {
                replica.log.push_back(source[replica.log.size()]);
            }
        }
        changed_.notify_all();
    }
}

void database_group::send_heartbeats() {
    for (;;) {
        {
            const std::lock_guard<std::mutex> lock{mutex_};
            for (std::size_t index = 0; index < size; ++index) {
                database& sender = databases_[index];
                const json entry{
                    {"service", settings_.service},
                    {"address",
                     "127.0.0.1:" + std::to_string(sender.acceptor->local_endpoint().port())},
                    {"zone", sender.zone},
                    {"config_version", "v1"},
                    {"slots", 5},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"db_role", primary_ == index ? "primary" : "replica"},
                    {"born", 1'790'000'000'000},
                    {"sequence", 1}};
                const bool reaches_store = sender.running && !sender.cut_from_store;
                if (reaches_store) {
                    sender.last_beat = clock::now();
                }
                if (reaches_store && (!sender.registered || sender.entry != entry.dump())) {
                    sender.entry = entry.dump();
                    sender.registered = true;
                    registry_.put("servers/" + sender.id, sender.entry);
                } else if (sender.registered && clock::now() - sender.last_beat >=
                                                    silent_heartbeats_until_removal * heartbeat) {
                    sender.registered = false;
                    registry_.remove("servers/" + sender.id);
                }
            }
        }
        std::this_thread::sleep_for(heartbeat_check_interval);
    }
}

void database_group::crash(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    events_.add(databases_[index].id, "crashes");
    databases_[index].running = false;
    for (const int handle : databases_[index].sockets) {
        ::shutdown(handle, SHUT_RDWR);
    }
    changed_.notify_all();
}

void database_group::lose_answer(const std::string& item) {
    const std::lock_guard<std::mutex> lock{mutex_};
    lost_answers_.insert(item);
}

void database_group::set_deaf(std::size_t index, bool deaf) {
    const std::lock_guard<std::mutex> lock{mutex_};
    events_.add(databases_[index].id, deaf ? "receives nothing" : "receives again");
    databases_[index].deaf = deaf;
}

void database_group::set_cut_from_store(std::size_t index, bool cut) {
    const std::lock_guard<std::mutex> lock{mutex_};
    events_.add(databases_[index].id, cut ? "is cut off from the store" : "reaches the store");
    databases_[index].cut_from_store = cut;
}

void database_group::set_replication_lag(std::chrono::milliseconds lag) {
    const std::lock_guard<std::mutex> lock{mutex_};
    events_.add(settings_.service,
                "replicas are " + std::to_string(lag.count()) + " ms behind from now on");
    settings_.replication_lag = lag;
}

void database_group::set_work(const std::string& item, std::chrono::milliseconds work) {
    const std::lock_guard<std::mutex> lock{mutex_};
    work_[item] = work;
}

void database_group::acknowledged(const std::string& statement_id) {
    const std::lock_guard<std::mutex> lock{mutex_};
    acknowledged_.insert(statement_id);
}

http_response database_group::promote(const std::string& target, const std::string& holder,
                                      std::uint64_t token) {
    const std::lock_guard<std::mutex> lock{mutex_};
    const auto chosen = std::find_if(databases_.begin(), databases_.end(),
                                     [&](const database& known) { return known.id == target; });
    const bool refused = token < highest_token_ || chosen == databases_.end() || !chosen->running;
    events_.add("platform", "promotion of " + target + " by " + holder + " with token " +
                                std::to_string(token) + (refused ? ": 409" : ": 200"));
    if (refused) {
        return {409, "{}"};
    }
    highest_token_ = token;
    const auto index = static_cast<std::size_t>(std::distance(databases_.begin(), chosen));
    if (primary_ != index) {
        std::thread{[this, index] {
            std::this_thread::sleep_for(settings_.promotion_time);
            finish_promotion(index);
        }}.detach();
    }
    return {};
}

void database_group::finish_promotion(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    database& chosen = databases_[index];
    if (primary_ == index || !chosen.running) {
        return;
    }
    ++promotions_;
    ++term_;
    primary_ = index;
    chosen.held_term = 0;
    for (database& other : databases_) {
        other.held_term = 0;
    }
    events_.add("platform", chosen.id + " leads term " + std::to_string(term_) + " with log " +
                                position(chosen));
    for (const std::string& id : acknowledged_) {
        const bool held =
            std::any_of(chosen.log.begin(), chosen.log.end(),
                        [&](const commit& candidate) { return candidate.statement == id; });
        if (!held) {
            lost_.push_back(id);
        }
    }
    changed_.notify_all();
}

std::size_t database_group::primary() {
    const std::lock_guard<std::mutex> lock{mutex_};
    return primary_.value_or(size);
}

unsigned database_group::promotions() {
    const std::lock_guard<std::mutex> lock{mutex_};
    return promotions_;
}

std::vector<std::string> database_group::lost_commits() {
    const std::lock_guard<std::mutex> lock{mutex_};
    return lost_;
}

bool database_group::registered(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    return databases_[index].registered;
}

bool database_group::ran_without(const std::string& statement_id, const std::string& commit_id) {
    const std::lock_guard<std::mutex> lock{mutex_};
    return std::any_of(runs_.begin(), runs_.end(), [&](const run& done) {
        return done.statement == statement_id && !done.commits.contains(commit_id);
    });
}

std::vector<std::string> database_group::statements_run() {
    const std::lock_guard<std::mutex> lock{mutex_};
    std::vector<std::string> ids;
    for (const run& done : runs_) {
        ids.push_back(done.statement);
    }
    return ids;
}

} // namespace lovagemoor::review
