#include "client.hpp"

namespace standin_target_test {

namespace {

using result_pointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

std::vector<const char*> pointers(const std::vector<std::string>& parameters) {
    std::vector<const char*> result;
    result.reserve(parameters.size());
    for (const std::string& parameter : parameters) {
        result.push_back(parameter.c_str());
    }
    return result;
}

answer to_answer(const PGresult* result) {
    answer converted;
    const ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_PIPELINE_ABORTED) {
        converted.sqlstate = "aborted";
        return converted;
    }
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
        const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        converted.sqlstate = sqlstate == nullptr ? "lost" : sqlstate;
        return converted;
    }
    converted.tag = PQcmdStatus(const_cast<PGresult*>(result));
    for (int column = 0; column < PQnfields(result); ++column) {
        converted.columns.emplace_back(PQfname(result, column));
    }
    for (int row = 0; row < PQntuples(result); ++row) {
        std::vector<std::optional<std::string>>& values = converted.rows.emplace_back();
        for (int column = 0; column < PQnfields(result); ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                values.emplace_back();
            } else {
                values.emplace_back(PQgetvalue(result, row, column));
            }
        }
    }
    return converted;
}

answer receive_result(PGconn* connection) {
    const result_pointer result(PQgetResult(connection), &PQclear);
    return to_answer(result.get());
}

} // namespace

client::client(std::uint16_t port, const std::string& name)
    : connection_(PQconnectdb(("host=127.0.0.1 port=" + std::to_string(port) +
                               " connect_timeout=10 application_name=" + name)
                                  .c_str()),
                  &PQfinish) {}

answer client::run(const std::string& sql, const std::vector<std::string>& parameters) {
    send(sql, parameters);
    return receive();
}

answer client::run_simple(const std::string& sql) {
    PQsendQuery(connection_.get(), sql.c_str());
    return receive();
}

void client::send(const std::string& sql, const std::vector<std::string>& parameters) {
    PQsendQueryParams(connection_.get(), sql.c_str(), static_cast<int>(parameters.size()), nullptr,
                      pointers(parameters).data(), nullptr, nullptr, 0);
}

answer client::receive() {
    answer first = receive_result(connection_.get());
    while (PGresult* rest = PQgetResult(connection_.get())) {
        PQclear(rest);
    }
    return first;
}

std::vector<answer> client::run_pipeline(const std::vector<request>& requests) {
    PQenterPipelineMode(connection_.get());
    for (const request& item : requests) {
        send(item.sql, item.parameters);
    }
    PQpipelineSync(connection_.get());
    std::vector<answer> answers;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        answers.push_back(receive_result(connection_.get()));
        if (answers.back().sqlstate == "lost") {
            return answers;
        }
        static_cast<void>(receive_result(connection_.get())); // end of this statement's results
    }
    const result_pointer sync(PQgetResult(connection_.get()), &PQclear);
    PQexitPipelineMode(connection_.get());
    return answers;
}

std::vector<answer> client::run_flushed(const std::vector<request>& requests) {
    PQenterPipelineMode(connection_.get());
    for (const request& item : requests) {
        send(item.sql, item.parameters);
    }
    PQsendFlushRequest(connection_.get());
    PQflush(connection_.get());
    std::vector<answer> answers;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        answers.push_back(receive_result(connection_.get()));
        static_cast<void>(receive_result(connection_.get())); // end of this statement's results
    }
    return answers;
}

bool client::has_answer() {
    PQconsumeInput(connection_.get());
    return PQisBusy(connection_.get()) == 0;
}

} // namespace standin_target_test
