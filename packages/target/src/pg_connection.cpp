#include "pg_connection.hpp"

#include <poll.h>

#include <array>
#include <string_view>
#include <utility>

namespace lovagemoor::target::internal {

namespace {

void ignore_notice(void* /*context*/, const char* /*message*/) {}

std::string field_of(const PGresult* result, int field) {
    const char* value = PQresultErrorField(result, field);
    return value == nullptr ? std::string() : std::string(value);
}

PGconn* start_connection(const target_settings& settings, const std::string& address,
                         std::uint16_t port) {
    const std::vector<std::pair<const char*, std::string>> options{
        {"hostaddr", address},
        {"port", std::to_string(port)},
        {"user", settings.user},
        {"dbname", settings.database},
        {"password", settings.password},
        {"application_name", settings.host.value},
        {"client_encoding", "UTF8"},
        {"sslmode", settings.ssl_mode},
        {"gssencmode", "disable"},
        {"keepalives", "1"},
        {"keepalives_idle", std::to_string(settings.keepalive_idle.count())},
        {"keepalives_interval", std::to_string(settings.keepalive_interval.count())},
        {"keepalives_count", std::to_string(settings.keepalive_count)},
        {"tcp_user_timeout", std::to_string(settings.tcp_user_timeout.count())},
    };
    std::vector<const char*> names;
    std::vector<const char*> values;
    for (const auto& [name, value] : options) {
        names.push_back(name);
        values.push_back(value.c_str());
    }
    names.push_back(nullptr);
    values.push_back(nullptr);
    return PQconnectStartParams(names.data(), values.data(), 0);
}

} // namespace

pg_connection::pg_connection(const target_settings& settings, const std::string& address,
                             std::uint16_t port)
    : connection_(start_connection(settings, address, port)) {
    // libpq reports the SQLSTATE of a refused connection only as part of the error message.
    PQsetErrorVerbosity(connection_.get(), PQERRORS_SQLSTATE);
    PQsetNoticeProcessor(connection_.get(), &ignore_notice, nullptr);
    if (PQstatus(connection_.get()) == CONNECTION_BAD) {
        opening_ = PGRES_POLLING_FAILED;
    }
}

open_progress pg_connection::continue_opening() {
    if (opening_ != PGRES_POLLING_FAILED) {
        opening_ = PQconnectPoll(connection_.get());
    }
    if (opening_ == PGRES_POLLING_FAILED) {
        return open_progress::failed;
    }
    if (opening_ != PGRES_POLLING_OK) {
        return open_progress::in_progress;
    }
    PQsetErrorVerbosity(connection_.get(), PQERRORS_DEFAULT);
    if (PQsetnonblocking(connection_.get(), 1) != 0 ||
        PQenterPipelineMode(connection_.get()) != 1) {
        return open_progress::failed;
    }
    is_open_ = true;
    return open_progress::open;
}

bool pg_connection::refused_for_capacity() const {
    // libpq writes two spaces before the SQLSTATE, which distinguish it from a port number.
    const std::string_view message = PQerrorMessage(connection_.get());
    return message.find("  53300") != std::string_view::npos;
}

short pg_connection::poll_events() const noexcept {
    if (!is_open_) {
        return opening_ == PGRES_POLLING_READING ? POLLIN : POLLOUT;
    }
    return has_unsent_data_ ? POLLIN | POLLOUT : POLLIN;
}

bool pg_connection::send(const std::string& sql, const std::vector<core::sql_value>& parameters) {
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const core::sql_value& parameter : parameters) {
        values.push_back(parameter ? parameter->c_str() : nullptr);
    }
    return PQsendQueryParams(connection_.get(), sql.c_str(), static_cast<int>(values.size()),
                             nullptr, values.data(), nullptr, nullptr, 0) == 1;
}

bool pg_connection::send_sync() {
    return PQpipelineSync(connection_.get()) == 1 && flush();
}

bool pg_connection::send_flush_request() {
    return PQsendFlushRequest(connection_.get()) == 1 && flush();
}

bool pg_connection::flush() {
    const int result = PQflush(connection_.get());
    has_unsent_data_ = result == 1;
    return result >= 0;
}

bool pg_connection::transfer() {
    const bool flushed = flush();
    const bool received = PQconsumeInput(connection_.get()) == 1;
    return flushed && received && PQstatus(connection_.get()) == CONNECTION_OK;
}

std::string sqlstate_of(const PGresult* result) {
    return field_of(result, PG_DIAG_SQLSTATE);
}

bool is_fatal(const PGresult* result) {
    const std::string severity = field_of(result, PG_DIAG_SEVERITY_NONLOCALIZED);
    return sqlstate_of(result).empty() || severity == "FATAL" || severity == "PANIC";
}

} // namespace lovagemoor::target::internal
