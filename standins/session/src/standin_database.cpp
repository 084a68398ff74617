#include <lovagemoor/session_standins/standin_database.hpp>

#include <sstream>
#include <utility>

namespace lovagemoor::session_standins {

standin_database::standin_database(boost::asio::io_context& context)
    : acceptor_{context, {boost::asio::ip::make_address("127.0.0.1"), 0}} {
    accept();
}

std::string standin_database::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void standin_database::accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const std::uint64_t id = ++last_session_id_;
            sessions_[id].stream = std::make_shared<gateway::line_stream>(std::move(socket));
            sessions_[id].stream->start(
                [this, id](std::string_view line) { on_line(id, line); },
                [this, id](gateway::stream_end /*reason*/) { sessions_.erase(id); });
            accept();
        });
}

void standin_database::on_line(std::uint64_t id, std::string_view line) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    session& client = found->second;
    std::istringstream words{std::string{line}};
    std::string verb;
    std::string request;
    words >> verb >> request;
    std::string text;
    std::getline(words >> std::ws, text);
    std::string& output = client.stream->output();
    if (verb == "QUERY") {
        output += execute(client, text);
    }
    output += std::string{"READY "} + (client.in_transaction ? "T" : "I") + " 1." +
              std::to_string(position_) + "\r\n";
    client.stream->flush();
}

std::string standin_database::execute(session& client, const std::string& text) {
    std::istringstream words{text};
    std::string verb;
    std::string item;
    std::string value;
    words >> verb;
    if (verb == "WAITLSN") {
        words >> item >> verb;
    }
    words >> item >> value;
    if (verb == "BEGIN") {
        client.in_transaction = true;
    } else if (verb == "ROLLBACK") {
        client.in_transaction = false;
        client.uncommitted.clear();
    } else if (verb == "COMMIT") {
        for (const auto& [name, written] : std::exchange(client.uncommitted, {})) {
            apply(name, written);
        }
        client.in_transaction = false;
        return "COMPLETE signed\r\n";
    } else if (verb == "WRITE" && client.in_transaction) {
        client.uncommitted[item] = value;
        return "COMPLETE signed\r\n";
    } else if (verb == "WRITE") {
        apply(item, value);
        return "COMPLETE signed\r\n";
    } else if (verb == "READ") {
        return "DATAROW " + items_[item] + "\r\nCOMPLETE signed\r\n";
    }
    return "COMPLETE -\r\n";
}

void standin_database::apply(const std::string& item, const std::string& value) {
    items_[item] = value;
    ++position_;
}

} // namespace lovagemoor::session_standins
