#include "stage.hpp"

#include <lovagemoor/testbed/free_ports.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <utility>

namespace lovagemoor::review {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace internal {

namespace {

constexpr std::chrono::milliseconds promotion_time{300};
constexpr std::chrono::seconds startup_timeout{20};
constexpr std::size_t logged_bytes = 60;
constexpr std::size_t piece_bytes = std::size_t{64} * 1024;

std::uint64_t unix_milliseconds() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::string signature(const std::string& id) {
    return "signed." + id;
}

tcp::endpoint loopback(std::uint16_t port) {
    return {boost::asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

} // namespace internal

int number_from_environment(const char* name, int otherwise) {
    const char* const value = std::getenv(name);
    return value == nullptr ? otherwise : static_cast<int>(std::strtol(value, nullptr, 10));
}

bool with_trouble() {
    return number_from_environment("TROUBLE", 1) != 0;
}

run_record::run_record(const std::string& path) : file_{path} {}

void run_record::note(const std::string& text) {
    const std::lock_guard<std::mutex> lock{mutex_};
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started_at_);
    file_ << elapsed.count() << " ms  " << text << std::endl;
}

database_group::database_group(boost::asio::io_context& context,
                               session_standins::standin_store& store, run_record& record,
                               hooks behavior)
    : context_{context},
      store_{store},
      record_{record},
      hooks_{std::move(behavior)},
      promotion_server_{
          context, "127.0.0.1:0",
          [this](const gateway::http_server::request& request) { return promote(request); }} {
    for (std::size_t index = 0; index < size; ++index) {
        members_.at(index).id = "i-" + std::to_string(index);
        members_.at(index).acceptor =
            std::make_unique<tcp::acceptor>(context_, internal::loopback(0));
        accept(index);
        report(index, "ready");
    }
}

std::string database_group::promotion_address() const {
    return "127.0.0.1:" + std::to_string(promotion_server_.port());
}

void database_group::report(std::size_t index, const std::string& state) {
    static const std::array<const char*, size> domains{"a", "b", "c"};
    const member& target = members_.at(index);
    const nlohmann::json entry{
        {"service", "orders-db"},
        {"address", "127.0.0.1:" + std::to_string(target.acceptor->local_endpoint().port())},
        {"zone", domains.at(index)},
        {"slots", 5},
        {"state", state},
        {"born", internal::unix_milliseconds()},
        {"sequence", 1},
        {"cold_left_ms", 0},
        {"db_role", index == primary_ ? "primary" : "replica"}};
    store_.put("servers/" + target.id, entry.dump());
    record_.note("store: " + target.id + " is " + state + ", " +
                 (index == primary_ ? "primary" : "replica"));
}

void database_group::crash(std::size_t index) {
    member& target = members_.at(index);
    target.crashed = true;
    for (auto& [id, opened] : target.sessions) {
        opened.stream->abort();
    }
    target.sessions.clear();
    boost::system::error_code ignored;
    target.acceptor->close(ignored);
    record_.note("database " + target.id + " has crashed");
}

void database_group::accept(std::size_t index) {
    members_.at(index).acceptor->async_accept([this, index](const boost::system::error_code& error,
                                                            tcp::socket socket) {
        if (error) {
            return;
        }
        const std::uint64_t id = ++last_session_;
        session& opened = members_.at(index).sessions[id];
        opened.stream = std::make_shared<gateway::line_stream>(std::move(socket));
        opened.connection = make_connection(index, id);
        opened.stream->start([this, index, id](std::string_view line) { on_line(index, id, line); },
                             [this, index, id](gateway::stream_end /*reason*/) {
                                 members_.at(index).sessions.erase(id);
                             });
        accept(index);
    });
}

void database_group::on_line(std::size_t index, std::uint64_t id, std::string_view line) {
    const auto found = members_.at(index).sessions.find(id);
    if (found == members_.at(index).sessions.end()) {
        return;
    }
    loses_next_ = false;
    const std::string answer = found->second.connection->on_line(line);
    if (std::exchange(loses_next_, false)) {
        return;
    }
    found->second.stream->output() += answer;
    found->second.stream->flush();
}

gateway::http_server::response
database_group::promote(const gateway::http_server::request& request) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const std::uint64_t token = std::stoull(request.headers.at("lovagemoor-fencing-token"));
    const auto chosen =
        std::find_if(members_.begin(), members_.end(), [&](const member& candidate) {
            return candidate.id == body.at("id").get<std::string>();
        });
    const bool refused = token < highest_token_ || chosen == members_.end() || chosen->crashed;
    record_.note("promotion of " + body.at("id").get<std::string>() + ", token " +
                 std::to_string(token) + (refused ? ": 409" : ": 200"));
    if (refused) {
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

void database_group::finish_promotion(std::size_t index) {
    if (index == primary_ || members_.at(index).crashed) {
        return;
    }
    const std::size_t before = std::exchange(primary_, index);
    ++term_;
    report(index, "ready");
    if (!members_.at(before).crashed) {
        report(before, "ready");
    }
}

std::string database_group::position_of(std::size_t index) const {
    return std::to_string(term_) + "." + std::to_string(members_.at(index).position);
}

std::string database_group::status_of(std::size_t index) const {
    return std::string{"DATAROW "} + (index == primary_ ? "primary " : "replica ") +
           std::to_string(term_) + " " + position_of(index) + " 0 0 0 " +
           std::to_string(members_.at(index).sessions.size()) + "\r\nCOMPLETE -\r\n";
}

std::unique_ptr<session_standins::database_connection>
database_group::make_connection(std::size_t index, std::uint64_t id) {
    return std::make_unique<session_standins::database_connection>(
        session_standins::database_connection::hooks{
            [this, index, id](const session_standins::executed_statement& statement) {
                return run(index, id, statement);
            },
            [this, index](bool read_only) {
                return !read_only && index != primary_ ? std::optional<std::string>{"READONLY"}
                                                       : std::nullopt;
            },
            [this, index](const std::string& /*text*/) { return status_of(index); },
            [this, index] { return position_of(index); },
            [this](const std::string& reason) { record_.note("malformed message: " + reason); }});
}

session_standins::database_connection::outcome
database_group::run(std::size_t index, std::uint64_t id,
                    const session_standins::executed_statement& statement) {
    member& target = members_.at(index);
    session& opened = target.sessions.at(id);
    const run_statement executed{index, statement.id, statement.text, clock::now()};
    if (hooks_.on_run) {
        hooks_.on_run(executed);
    }
    loses_next_ = hooks_.loses_answer && hooks_.loses_answer(executed);
    if (opened.transaction != statement.transaction) {
        opened.transaction = statement.transaction;
        opened.uncommitted.clear();
    }
    const std::string complete = "COMPLETE " + internal::signature(statement.id) + "\r\n";
    if (statement.access == "COMMIT") {
        commit(std::exchange(opened.uncommitted, {}));
        return {complete};
    }
    const session_standins::statement_arguments fields =
        session_standins::split_arguments(statement);
    if (statement.access == "READ") {
        return {"DATAROW " + target.items[fields.item] + "\r\n" + complete};
    }
    if (index != primary_) {
        return {"ERROR READONLY -\r\n", statement.transaction != 0};
    }
    if (statement.transaction != 0) {
        opened.uncommitted[fields.item] = fields.data;
    } else {
        commit({{fields.item, fields.data}});
    }
    return {complete};
}

void database_group::commit(const std::map<std::string, std::string>& writes) {
    if (writes.empty()) {
        return;
    }
    const std::uint64_t position = members_.at(primary_).position + 1;
    for (member& target : members_) {
        if (!target.crashed) {
            for (const auto& [item, value] : writes) {
                target.items[item] = value;
            }
            target.position = position;
        }
    }
}

deployment::deployment(const std::string& host_program, deployment_settings settings,
                       run_record& record, database_group::hooks behavior)
    : host_program_{host_program},
      settings_{settings},
      record_{record},
      work_{boost::asio::make_work_guard(context_)},
      store_{context_},
      databases_{context_, store_, record, std::move(behavior)},
      ports_{testbed::find_free_ports(settings.hosts * ports_per_host)},
      directory_{std::filesystem::temp_directory_path() /
                 ("lovagemoor-review-" + std::to_string(ports_.front()))},
      processes_(settings.hosts) {
    const nlohmann::json configuration{{"config_version", 1},
                                       {"routes",
                                        {{{"host", "orders"},
                                          {"service", "orders-db"},
                                          {"route_type", "primary"},
                                          {"timeout_ms", settings_.route_timeout_ms}},
                                         {{"host", "reports"},
                                          {"service", "orders-db"},
                                          {"route_type", "bounded_staleness"},
                                          {"max_staleness_ms", 1500},
                                          {"timeout_ms", settings_.route_timeout_ms}}}},
                                       {"services",
                                        {{{"name", "orders-db"},
                                          {"max_connections", settings_.max_connections},
                                          {"sync_replicas", 0}}}},
                                       {"limits", {{"tx_idle_ms", settings_.tx_idle_ms}}}};
    store_.put("op/config", configuration.dump());
    std::filesystem::create_directories(directory_);
    thread_ = std::thread{[this] { context_.run(); }};
    for (std::size_t index = 0; index < settings_.hosts; ++index) {
        write_settings(index);
        start(index);
    }
}

deployment::~deployment() {
    for (std::optional<testbed::child_process>& process : processes_) {
        process.reset();
    }
    work_.reset();
    context_.stop();
    thread_.join();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string deployment::address(std::size_t index, std::size_t port) const {
    return "127.0.0.1:" + std::to_string(ports_.at(index * ports_per_host + port));
}

void deployment::write_settings(std::size_t index) const {
    static const std::array<const char*, 3> domains{"a", "b", "c"};
    std::ofstream file{directory_ / ("host-" + std::to_string(index) + ".ini")};
    file << "[host]\nid = host-" << index
         << "\nfailure_domain = " << domains.at(index % domains.size())
         << "\ncaller_listen = " << address(index, 0) << "\nready_listen = " << address(index, 1)
         << "\nmemory_mb = " << settings_.memory_mb
         << "\nmax_descriptors = " << settings_.max_descriptors
         << "\nstop_grace_s = " << settings_.grace_s << "\n[link]\nlisten = " << address(index, 2)
         << "\n[registry]\naddress = " << store_.address()
         << "\npromotion_address = " << databases_.promotion_address()
         << "\n[targets]\ndrain_ms = " << settings_.drain_ms << "\n[log]\nlevel = info\n";
}

void deployment::start(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    const std::string name = "host-" + std::to_string(index);
    processes_.at(index).reset();
    processes_.at(index).emplace(
        std::vector<std::string>{host_program_, "--sessions",
                                 "--settings=" + (directory_ / (name + ".ini")).string()},
        (directory_ / (name + ".log")).string());
    record_.note(name + " is started");
}

bool deployment::wait_until_ready(std::size_t index, std::chrono::milliseconds timeout) {
    const clock::time_point end = clock::now() + timeout;
    while (clock::now() < end) {
        if (ready(index)) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

bool deployment::ready(std::size_t index) const {
    boost::asio::io_context context;
    tcp::socket probe{context};
    boost::system::error_code error;
    probe.connect(internal::loopback(ports_.at(index * ports_per_host + 1)), error);
    if (error) {
        return false;
    }
    boost::asio::write(
        probe, boost::asio::buffer(std::string{"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n"}),
        error);
    pollfd readable{probe.native_handle(), POLLIN, 0};
    std::array<char, 12> status{};
    return !error && ::poll(&readable, 1, 1000) == 1 &&
           ::recv(probe.native_handle(), status.data(), status.size(), 0) ==
               static_cast<ssize_t>(status.size()) &&
           std::string_view{status.data(), status.size()} == "HTTP/1.1 200";
}

std::optional<int> deployment::exit_code(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    return processes_.at(index)->wait_for_exit(0ms);
}

void deployment::kill(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    processes_.at(index)->send_signal(SIGKILL);
    static_cast<void>(processes_.at(index)->wait_for_exit(5s));
}

std::size_t deployment::memory_kb(std::size_t index) {
    const std::lock_guard<std::mutex> lock{mutex_};
    std::ifstream status{"/proc/" + std::to_string(processes_.at(index)->pid()) + "/status"};
    constexpr std::string_view field = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size()));
        }
    }
    return 0;
}

std::uint16_t deployment::caller_port(std::size_t index) const {
    return ports_.at(index * ports_per_host);
}

void deployment::perform(const std::function<void(database_group&)>& action) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        action(databases_);
        done.set_value();
    });
    done.get_future().get();
}

bool client_session::answer::succeeded() const {
    return !broken && std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
        return line.starts_with("COMPLETE");
    });
}

std::string client_session::answer::text() const {
    std::string result;
    for (const std::string& line : lines) {
        result += (result.empty() ? "" : " | ") + line.substr(0, internal::logged_bytes);
    }
    return result + (broken ? " (broken off)" : "");
}

bool client_session::open(std::uint16_t port, const std::string& database,
                          std::chrono::milliseconds timeout) {
    boost::system::error_code error;
    socket_ = tcp::socket{context_};
    received_.clear();
    socket_.connect(internal::loopback(port), error);
    if (error) {
        return false;
    }
    socket_.set_option(tcp::no_delay{true}, error);
    const answer greeting = exchange("STARTUP " + database + " client\r\n", timeout);
    return !greeting.broken && greeting.lines.back().starts_with("READY I");
}

client_session::answer client_session::run(const std::string& id, const std::string& text,
                                           std::chrono::milliseconds timeout) {
    return exchange("QUERY " + id + " " + text + "\r\n", timeout);
}

void client_session::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

client_session::answer client_session::exchange(const std::string& line,
                                                std::chrono::milliseconds timeout) {
    const clock::time_point end = clock::now() + timeout;
    answer result;
    std::size_t sent = 0;
    std::vector<char> piece(internal::piece_bytes);
    while (clock::now() < end) {
        const std::size_t line_end = received_.find("\r\n");
        if (line_end != std::string::npos) {
            result.lines.push_back(received_.substr(0, line_end));
            received_.erase(0, line_end + 2);
            if (result.lines.back().starts_with("READY")) {
                return result;
            }
            continue;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - clock::now());
        const bool sends = sent < line.size();
        pollfd socket{socket_.native_handle(),
                      static_cast<short>(sends ? POLLIN | POLLOUT : POLLIN), 0};
        if (::poll(&socket, 1, static_cast<int>(std::max(left, 1ms).count())) != 1) {
            break;
        }
        if (sends && (socket.revents & POLLOUT) != 0) {
            const ssize_t written = ::send(socket_.native_handle(), line.data() + sent,
                                           line.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (written < 0 && errno != EAGAIN) {
                break;
            }
            sent += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
        if ((socket.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            const ssize_t size =
                ::recv(socket_.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT);
            if (size == 0 || (size < 0 && errno != EAGAIN)) {
                break;
            }
            received_.append(piece.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        }
    }
    result.broken = true;
    return result;
}

} // namespace lovagemoor::review
