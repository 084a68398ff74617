#include <lovagemoor/session_standins/standin_database.hpp>

#include <optional>
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
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        const std::uint64_t id = ++last_session_id_;
        session& client = sessions_[id];
        client.stream = std::make_shared<gateway::line_stream>(std::move(socket));
        client.connection = make_connection(id);
        client.stream->start([this, id](std::string_view line) { on_line(id, line); },
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
    client.stream->output() += client.connection->on_line(line);
    client.stream->flush();
}

std::unique_ptr<database_connection> standin_database::make_connection(std::uint64_t id) {
    const auto position = [this] { return "1." + std::to_string(position_); };
    return std::make_unique<database_connection>(database_connection::hooks{
        [this, id](const executed_statement& statement) {
            received_.runs.push_back({id, statement});
            return run(sessions_.at(id), statement);
        },
        [](bool /*read_only*/) { return std::optional<std::string>{}; },
        [this, position](const std::string& /*text*/) {
            return "DATAROW primary 1 " + position() + " 0 0 " + std::to_string(sessions_.size()) +
                   " 2\r\nCOMPLETE -\r\n";
        },
        position, [this](const std::string& reason) { received_.malformed.push_back(reason); }});
}

database_connection::outcome standin_database::run(session& client,
                                                   const executed_statement& statement) {
    if (client.transaction != statement.transaction) {
        client.transaction = statement.transaction;
        client.uncommitted.clear();
    }
    if (statement.access == "COMMIT") {
        for (const auto& [name, written] : std::exchange(client.uncommitted, {})) {
            apply(name, written);
        }
        return {"COMPLETE signed\r\n"};
    }
    const statement_arguments fields = split_arguments(statement);
    if (statement.access == "READ") {
        return {"DATAROW " + items_[fields.item] + "\r\nCOMPLETE signed\r\n"};
    }
    if (statement.transaction != 0) {
        client.uncommitted[fields.item] = fields.data;
    } else {
        apply(fields.item, fields.data);
    }
    return {"COMPLETE signed\r\n"};
}

void standin_database::apply(const std::string& item, const std::string& value) {
    items_[item] = value;
    ++position_;
}

} // namespace lovagemoor::session_standins
