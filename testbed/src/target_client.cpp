#include <lovagemoor/testbed/target_client.hpp>

#include <libpq-fe.h>

#include <array>
#include <stdexcept>

namespace lovagemoor::testbed {

namespace internal {

struct connection_deleter {
    void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
};

struct result_deleter {
    void operator()(PGresult* result) const noexcept { PQclear(result); }
};

using result_ptr = std::unique_ptr<PGresult, result_deleter>;

void check(const PGresult* result) {
    const ExecStatusType status = PQresultStatus(result);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
        throw std::runtime_error{PQresultErrorMessage(result)};
    }
}

} // namespace internal

struct target_client::implementation {
    std::unique_ptr<PGconn, internal::connection_deleter> connection;
};

target_client::target_client(std::uint16_t port)
    : implementation_{std::make_unique<implementation>()} {
    const std::string address = "host=127.0.0.1 user=testbed dbname=orders sslmode=disable "
                                "connect_timeout=5 application_name=standin_control port=" +
                                std::to_string(port);
    implementation_->connection.reset(PQconnectdb(address.c_str()));
    if (PQstatus(implementation_->connection.get()) != CONNECTION_OK) {
        throw std::runtime_error{PQerrorMessage(implementation_->connection.get())};
    }
}

target_client::target_client(target_client&&) noexcept = default;
target_client& target_client::operator=(target_client&&) noexcept = default;
target_client::~target_client() = default;

void target_client::control(const std::string& name, const std::string& value) {
    const std::array<const char*, 2> parameters{name.c_str(), value.c_str()};
    const internal::result_ptr result{PQexecParams(implementation_->connection.get(),
                                                   "SELECT standin_control($1, $2)", 2, nullptr,
                                                   parameters.data(), nullptr, nullptr, 0)};
    internal::check(result.get());
}

std::vector<std::vector<std::string>> target_client::query(const std::string& sql) {
    const internal::result_ptr result{PQexecParams(implementation_->connection.get(), sql.c_str(),
                                                   0, nullptr, nullptr, nullptr, nullptr, 0)};
    internal::check(result.get());
    std::vector<std::vector<std::string>> rows;
    for (int row = 0; row < PQntuples(result.get()); ++row) {
        std::vector<std::string>& values = rows.emplace_back();
        for (int column = 0; column < PQnfields(result.get()); ++column) {
            values.emplace_back(PQgetvalue(result.get(), row, column));
        }
    }
    return rows;
}

} // namespace lovagemoor::testbed
