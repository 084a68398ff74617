#pragma once

#include <libpq-fe.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin_target_test {

/// @brief Result of one statement.
struct answer {
    /// SQLSTATE of the error, "lost" if the connection broke, "aborted" if the statement was
    /// skipped in a pipeline; empty on success.
    std::string sqlstate;
    std::string tag;
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;

    [[nodiscard]] std::string value(std::size_t row, std::size_t column) const {
        return rows.at(row).at(column).value_or("NULL");
    }
};

struct request {
    std::string sql;
    std::vector<std::string> parameters;
};

/// @brief Client with a blocking libpq connection.
class client {
public:
    explicit client(std::uint16_t port, const std::string& name = "test");

    [[nodiscard]] bool is_open() const { return PQstatus(connection_.get()) == CONNECTION_OK; }

    [[nodiscard]] std::string error() const { return PQerrorMessage(connection_.get()); }

    [[nodiscard]] PGTransactionStatusType transaction_status() const {
        return PQtransactionStatus(connection_.get());
    }

    /// @brief Runs one statement through the extended protocol.
    [[nodiscard]] answer run(const std::string& sql,
                             const std::vector<std::string>& parameters = {});

    /// @brief Runs one statement in a Query message.
    [[nodiscard]] answer run_simple(const std::string& sql);

    /// @brief Sends a statement without waiting for its answer.
    void send(const std::string& sql, const std::vector<std::string>& parameters = {});

    /// @brief Waits for the answer to send().
    [[nodiscard]] answer receive();

    /// @brief Sends all statements in pipeline mode with one Sync at the end.
    /// @return One answer per statement; after a lost connection, the list ends with the sqlstate
    /// "lost".
    [[nodiscard]] std::vector<answer> run_pipeline(const std::vector<request>& requests);

    /// @brief Sends all statements in pipeline mode with a Flush message instead of a Sync, and
    /// receives their answers. The pipeline stays open.
    [[nodiscard]] std::vector<answer> run_flushed(const std::vector<request>& requests);

    /// @return True if receive() would not block.
    [[nodiscard]] bool has_answer();

private:
    std::unique_ptr<PGconn, decltype(&PQfinish)> connection_;
};

} // namespace standin_target_test
