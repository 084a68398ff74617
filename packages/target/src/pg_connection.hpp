#pragma once

#include <lovagemoor/core/statement.hpp>
#include <lovagemoor/target/target_settings.hpp>

#include <libpq-fe.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::target::internal {

struct result_deleter {
    void operator()(PGresult* result) const noexcept { PQclear(result); }
};

using result_pointer = std::unique_ptr<PGresult, result_deleter>;

enum class open_progress {
    in_progress,
    open,
    failed,
};

/// @brief Non-blocking libpq connection that uses pipeline mode.
class pg_connection {
public:
    /// @brief Starts to connect. continue_opening() must be called each time the socket is ready.
    pg_connection(const target_settings& settings, const std::string& address, std::uint16_t port);

    /// @brief Performs the next step of connecting without blocking.
    [[nodiscard]] open_progress continue_opening();

    /// @return True when the target refused the connection with SQLSTATE 53300
    /// (too_many_connections).
    [[nodiscard]] bool refused_for_capacity() const;

    [[nodiscard]] int socket() const noexcept { return PQsocket(connection_.get()); }

    /// @return The events for which poll() watches the socket.
    [[nodiscard]] short poll_events() const noexcept;

    /// @brief Queues a statement in the extended query protocol, with parameters and results in
    /// text format.
    /// @return False when the connection is broken.
    [[nodiscard]] bool send(const std::string& sql, const std::vector<core::sql_value>& parameters);
    [[nodiscard]] bool send_sync();
    /// @brief Requests that the target send the results of all statements so far.
    [[nodiscard]] bool send_flush_request();

    /// @brief Writes queued data to the socket and reads the data that has arrived.
    /// @return False when the connection is broken. Results that arrived before can still be read.
    [[nodiscard]] bool transfer();

    /// @return True when next_result() would block.
    [[nodiscard]] bool is_busy() noexcept { return PQisBusy(connection_.get()) != 0; }

    [[nodiscard]] result_pointer next_result() {
        return result_pointer(PQgetResult(connection_.get()));
    }

    /// @brief Makes next_result() return the rows of the next statement one at a time.
    void set_single_row_mode() noexcept { PQsetSingleRowMode(connection_.get()); }

    [[nodiscard]] PGTransactionStatusType transaction_status() const noexcept {
        return PQtransactionStatus(connection_.get());
    }

private:
    struct connection_deleter {
        void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
    };

    [[nodiscard]] bool flush();

    std::unique_ptr<PGconn, connection_deleter> connection_;
    bool is_open_ = false;
    bool has_unsent_data_ = false;
    PostgresPollingStatusType opening_ = PGRES_POLLING_WRITING;
};

/// @return The SQLSTATE of an error result. It is empty when libpq reports an error of its own.
[[nodiscard]] std::string sqlstate_of(const PGresult* result);

/// @return True when the connection cannot be used after this error.
[[nodiscard]] bool is_fatal(const PGresult* result);

} // namespace lovagemoor::target::internal
