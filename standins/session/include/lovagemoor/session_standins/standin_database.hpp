#pragma once

#include <lovagemoor/gateway/line_stream.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lovagemoor::session_standins {

/// @brief Stand-in for a primary target that speaks the statement protocol. It stores one value per
/// item.
class standin_database {
public:
    explicit standin_database(boost::asio::io_context& context);

    [[nodiscard]] std::string address() const;

    /// @return The replication position, which is the number of applied writes.
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }

private:
    struct session {
        std::shared_ptr<gateway::line_stream> stream;
        bool in_transaction = false;
        std::map<std::string, std::string> uncommitted;
    };

    void accept();
    void on_line(std::uint64_t id, std::string_view line);
    [[nodiscard]] std::string execute(session& client, const std::string& text);
    void apply(const std::string& item, const std::string& value);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::uint64_t, session> sessions_;
    std::uint64_t last_session_id_ = 0;
    std::map<std::string, std::string> items_;
    std::uint64_t position_ = 0;
};

} // namespace lovagemoor::session_standins
