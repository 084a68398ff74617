#pragma once

#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/session_standins/database_connection.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::session_standins {

/// @brief Stand-in for a primary target that speaks the statement protocol. It stores one value per
/// item.
class standin_database {
public:
    /// @brief What the target has read so far.
    struct record {
        struct run {
            /// Identifies the connection over which the statement ran.
            std::uint64_t connection = 0;
            executed_statement statement;
        };

        std::vector<run> runs;
        /// Messages that the protocol does not allow.
        std::vector<std::string> malformed;
    };

    explicit standin_database(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @return The replication position, which is the number of applied writes.
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }

    /// @brief Call it on the thread of the io_context.
    [[nodiscard]] const record& received() const noexcept { return received_; }

private:
    struct session {
        std::shared_ptr<gateway::line_stream> stream;
        std::unique_ptr<database_connection> connection;
        /// Transaction to which the uncommitted values belong.
        std::uint64_t transaction = 0;
        std::map<std::string, std::string> uncommitted;
    };

    void accept();
    void on_line(std::uint64_t id, std::string_view line);
    [[nodiscard]] std::unique_ptr<database_connection> make_connection(std::uint64_t id);
    [[nodiscard]] database_connection::outcome run(session& client,
                                                   const executed_statement& statement);
    void apply(const std::string& item, const std::string& value);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::uint64_t, session> sessions_;
    std::uint64_t last_session_id_ = 0;
    std::map<std::string, std::string> items_;
    std::uint64_t position_ = 0;
    record received_;
};

} // namespace lovagemoor::session_standins
