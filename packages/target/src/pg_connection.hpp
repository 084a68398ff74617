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

/// @brief Non-blocking libpq connection in pipeline mode.
class pg_connection {
public:
    /// @brief Starts to connect; continue_opening() has to be called when the socket is ready.
    pg_connection(const target_settings& settings, const std::string& address, std::uint16_t port);

    [[nodiscard]] open_progress continue_opening();

    /// @return True when the target refused the connection with SQLSTATE 53300.
    [[nodiscard]] bool refused_for_capacity() const;

    [[nodiscard]] int socket() const noexcept { return PQsocket(connection_.get()); }

    /// @return Events to poll the socket for.
    [[nodiscard]] short poll_events() const noexcept;

    /// @brief Queues a statement of the extended protocol, text format.
    /// @return False when the connection is broken.
    [[nodiscard]] bool send(const std::string& sql, const std::vector<core::sql_value>& parameters);
    [[nodiscard]] bool send_sync();
    /// @brief Asks the target to send the results of the statements so far.
    [[nodiscard]] bool send_flush_request();

    /// @brief Writes queued data and reads what has arrived.
    /// @return False when the connection is broken; results that arrived can still be read.
    [[nodiscard]] bool transfer();

    /// @return True when next_result() has to wait for input.
    [[nodiscard]] bool is_busy() noexcept { return PQisBusy(connection_.get()) != 0; }

    [[nodiscard]] result_pointer next_result() {
        return result_pointer(PQgetResult(connection_.get()));
    }

    /// @brief Delivers the rows of the statement whose results come next one by one.
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

/// @return SQLSTATE of an error result; empty when libpq made the error itself.
[[nodiscard]] std::string sqlstate_of(const PGresult* result);

/// @return True when the error ended the connection.
[[nodiscard]] bool is_fatal(const PGresult* result);

} // namespace lovagemoor::target::internal
