#include "job_runner.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace lovagemoor::target::internal {

namespace {

constexpr const char* guard_sql = "SELECT * FROM db_group_guard($1,$2,$3)";
constexpr const char* position_sql = "SELECT * FROM db_group_position()";
constexpr const char* claim_sql = "INSERT INTO request_record (key, digest, expires_at) VALUES "
                                  "($1, $2, now() + $3::interval)";
constexpr const char* store_sql = "UPDATE request_record SET answer = $2 WHERE key = $1";
constexpr const char* lookup_sql = "SELECT digest, answer FROM request_record WHERE key = $1";

constexpr const char* unique_violation = "23505";
constexpr const char* serialization_failure = "40001";
constexpr const char* failed_transaction = "25P02";
constexpr const char* program_limit_exceeded = "54000";
constexpr const char* too_many_arguments = "54023";
constexpr const char* character_not_in_repertoire = "22021";
constexpr const char* data_corrupted = "XX001";

/// The protocol's Bind message stores the number of parameters in 16 bits.
constexpr std::size_t max_parameters = 65535;

template <typename Number>
Number number_at(const PGresult* result, int column) {
    const std::string_view text = PQgetvalue(result, 0, column);
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

core::sql_value value_at(const PGresult* result, int row, int column) {
    if (PQgetisnull(result, row, column) != 0) {
        return std::nullopt;
    }
    return std::string(PQgetvalue(result, row, column),
                       static_cast<std::size_t>(PQgetlength(result, row, column)));
}

/// PQcmdStatus and PQcmdTuples take a non-const pointer but do not modify the result.
std::string_view command_tag(const PGresult* result) {
    return PQcmdStatus(const_cast<PGresult*>(result));
}

std::uint64_t affected_rows(const PGresult* result) {
    if (command_tag(result).starts_with("SELECT")) {
        return 0;
    }
    const std::string_view text = PQcmdTuples(const_cast<PGresult*>(result));
    std::uint64_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

} // namespace

std::optional<core::job_error> check_statement(const core::statement& statement) {
    bool has_zero_byte = statement.sql.find('\0') != std::string::npos;
    for (const core::sql_value& parameter : statement.parameters) {
        has_zero_byte = has_zero_byte || (parameter && parameter->find('\0') != std::string::npos);
    }
    if (has_zero_byte) {
        return core::job_error{
            character_not_in_repertoire,
            "statement or parameter contains a zero byte, which PostgreSQL text cannot store"};
    }
    if (statement.parameters.size() > max_parameters) {
        return core::job_error{too_many_arguments, "statement has more than 65535 parameters"};
    }
    return std::nullopt;
}

job_runner::job_runner(pg_connection& connection, const target_settings& settings,
                       core::run_job job, const std::function<void(core::event)>& sink)
    : connection_(connection),
      settings_(settings),
      job_(std::move(job)),
      sink_(sink),
      rows_(settings, [this](core::row_batch batch) {
          sink_(core::job_rows{job_.connection, job_.job, std::move(batch)});
      }) {}

void job_runner::start() {
    std::visit([this](const auto& work) { start_job(work); }, job_.work);
    prepare_next_result();
}

void job_runner::start_job(const core::read_job& job) {
    error_ = check_statement(job.statement);
    if (error_) {
        return;
    }
    // A read may be retried, so a statement that writes must fail in a read-only transaction.
    send(job_step::begin, "BEGIN READ ONLY");
    send_guard(job.guard);
    send(job_step::statement, job.statement.sql, job.statement.parameters);
    send(job_step::commit, "COMMIT");
    send_sync();
}

void job_runner::start_job(const core::write_job& job) {
    error_ = check_statement(job.statement);
    if (error_) {
        return;
    }
    send(job_step::begin, "BEGIN");
    send_guard(job.guard);
    if (job.claim) {
        send_claim(*job.claim);
        send(job_step::statement, job.statement.sql, job.statement.parameters);
        is_connection_lost_ = is_connection_lost_ || !connection_.send_flush_request();
        return;
    }
    send(job_step::statement, job.statement.sql, job.statement.parameters);
    send(job_step::commit, "COMMIT");
    send(job_step::position, position_sql);
    send_sync();
}

void job_runner::start_job(const core::begin_job& job) {
    send(job_step::begin, "BEGIN");
    send_guard(job.guard);
    if (job.claim) {
        send_claim(*job.claim);
    }
    send_sync();
}

void job_runner::start_job(const core::transaction_job& job) {
    error_ = check_statement(job.statement);
    if (error_) {
        return;
    }
    send(job_step::statement, job.statement.sql, job.statement.parameters);
    send_sync();
}

void job_runner::start_job(const core::commit_job& job) {
    if (!job.idempotency_key.empty()) {
        send(job_step::store_answer, store_sql, {job.idempotency_key, encode_answer({})});
    }
    send(job_step::commit, "COMMIT");
    send(job_step::position, position_sql);
    send_sync();
}

void job_runner::start_job(const core::rollback_job& /*job*/) {
    send(job_step::rollback, "ROLLBACK");
    send_sync();
}

void job_runner::start_job(const core::reset_job& /*job*/) {
    // PostgreSQL rejects DISCARD ALL in a transaction, and in a pipeline after another statement
    // without a Sync message between them.
    if (connection_.transaction_status() != PQTRANS_IDLE) {
        send(job_step::rollback, "ROLLBACK");
        send_sync();
    }
    send(job_step::discard, "DISCARD ALL");
    send_sync();
}

void job_runner::send(job_step step, const std::string& sql,
                      const std::vector<core::sql_value>& parameters) {
    pending_steps_.push_back(step);
    is_connection_lost_ = is_connection_lost_ || !connection_.send(sql, parameters);
}

void job_runner::send_guard(const core::read_guard& guard) {
    const std::string max_age = guard.max_age ? std::to_string(guard.max_age->count()) : "-1";
    send(job_step::guard, guard_sql,
         {std::to_string(guard.term), std::to_string(guard.position), max_age});
}

void job_runner::send_claim(const core::idempotency_claim& claim) {
    send(job_step::claim, claim_sql,
         {claim.key, claim.digest, std::to_string(claim.retention.count()) + " seconds"});
}

void job_runner::send_sync() {
    pending_steps_.push_back(job_step::sync);
    is_connection_lost_ = is_connection_lost_ || !connection_.send_sync();
}

void job_runner::send_stored_answer() {
    send(job_step::store_answer, store_sql, {claim()->key, encode_answer(answer_)});
    send(job_step::commit, "COMMIT");
    send(job_step::position, position_sql);
    send_sync();
}

void job_runner::send_rollback_and_lookup() {
    is_rolling_back_ = true;
    send(job_step::rollback, "ROLLBACK");
    if (claim_exists_) {
        send(job_step::lookup, lookup_sql, {claim()->key});
        send(job_step::position, position_sql);
    }
    send_sync();
}

void job_runner::prepare_next_result() {
    if (!pending_steps_.empty() && pending_steps_.front() == job_step::statement) {
        connection_.set_single_row_mode();
    }
}

bool job_runner::process() {
    while (!is_connection_lost_ && !pending_steps_.empty()) {
        if (connection_.is_busy()) {
            return false;
        }
        const result_pointer result = connection_.next_result();
        const job_step step = pending_steps_.front();
        const bool is_sync = result && PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC;
        if (result && !is_sync) {
            has_result_ = true;
            handle_result(result.get());
            continue;
        }
        if (is_sync != (step == job_step::sync) || (!is_sync && !has_result_)) {
            // libpq has discarded the remaining results because the connection is broken.
            is_connection_lost_ = true;
            break;
        }
        has_result_ = false;
        pending_steps_.pop_front();
        if (is_sync) {
            end_sync();
        } else {
            end_step(step);
        }
        prepare_next_result();
    }
    finish();
    return true;
}

void job_runner::handle_result(const PGresult* result) {
    const job_step step = pending_steps_.front();
    switch (PQresultStatus(result)) {
    case PGRES_SINGLE_TUPLE:
    case PGRES_TUPLES_OK:
        handle_rows(step, result);
        break;
    case PGRES_COMMAND_OK:
        handle_command(step, result);
        break;
    case PGRES_PIPELINE_ABORTED:
        break;
    default:
        handle_error(step, result);
        break;
    }
}

void job_runner::handle_error(job_step step, const PGresult* result) {
    const std::string sqlstate = sqlstate_of(result);
    // These steps follow a COMMIT or ROLLBACK that may have taken effect, or are one. After an
    // error in them, the job cannot be reported as failed.
    const bool is_outcome_decided = step == job_step::position || step == job_step::lookup ||
                                    step == job_step::rollback || step == job_step::sync;
    if (is_fatal(result) || is_outcome_decided) {
        is_connection_lost_ = true;
    } else if (step == job_step::claim && sqlstate == unique_violation) {
        claim_exists_ = true;
    } else if (!error_) {
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        error_ = core::job_error{sqlstate, message == nullptr ? "" : message};
    }
}

void job_runner::handle_rows(job_step step, const PGresult* result) {
    if (step == job_step::statement) {
        read_statement_rows(result);
        return;
    }
    if (PQntuples(result) == 0) {
        // Only the row of an existing claim can be missing, because it may have expired.
        is_connection_lost_ = is_connection_lost_ || step != job_step::lookup;
        return;
    }
    if (step == job_step::lookup) {
        stored_digest_ = value_at(result, 0, 0).value_or(std::string());
        stored_answer_text_ = value_at(result, 0, 1);
        return;
    }
    done_.term = number_at<core::term_number>(result, 0);
    done_.position = number_at<core::log_position>(result, 1);
    if (step == job_step::guard && std::holds_alternative<core::read_job>(job_.work)) {
        done_.age = std::chrono::milliseconds(number_at<std::int64_t>(result, 2));
    }
}

void job_runner::read_statement_rows(const PGresult* result) {
    const int column_count = PQnfields(result);
    if (!rows_.has_columns()) {
        std::vector<std::string> columns;
        columns.reserve(static_cast<std::size_t>(column_count));
        for (int column = 0; column < column_count; ++column) {
            columns.emplace_back(PQfname(result, column));
        }
        answer_.result.columns = columns;
        rows_.set_columns(std::move(columns));
    }
    for (int index = 0; index < PQntuples(result); ++index) {
        core::row row;
        row.reserve(static_cast<std::size_t>(column_count));
        for (int column = 0; column < column_count; ++column) {
            row.push_back(value_at(result, index, column));
        }
        if (is_claimed_write()) {
            answer_bytes_ += byte_size(row);
            if (answer_bytes_ <= settings_.max_stored_answer_bytes) {
                answer_.result.rows.push_back(row);
            }
        }
        rows_.add(std::move(row));
    }
    if (PQresultStatus(result) == PGRES_TUPLES_OK) {
        done_.affected_rows = affected_rows(result);
    }
}

void job_runner::handle_command(job_step step, const PGresult* result) {
    const std::string_view tag = command_tag(result);
    if (step == job_step::statement) {
        done_.affected_rows = affected_rows(result);
        // The statement itself ended the transaction that holds the claim, so its effect is
        // unknown.
        is_connection_lost_ = is_claimed_write() && (tag == "COMMIT" || tag == "ROLLBACK");
    } else if (step == job_step::commit && tag != "COMMIT") {
        // PostgreSQL reports success for COMMIT in a failed transaction, with the command tag
        // ROLLBACK.
        error_ = core::job_error{
            failed_transaction,
            "transaction was rolled back because an earlier statement in it failed"};
    }
}

void job_runner::end_step(job_step step) {
    if (step == job_step::statement) {
        if (!error_) {
            rows_.finish();
        }
        if (is_claimed_write()) {
            end_claimed_statement();
        }
    }
}

void job_runner::end_claimed_statement() {
    if (!error_ && answer_bytes_ > settings_.max_stored_answer_bytes) {
        error_ = core::job_error{program_limit_exceeded,
                                 "result is too large to be stored for the idempotency key"};
    }
    if (error_ || claim_exists_) {
        send_sync();
        send_rollback_and_lookup();
        return;
    }
    answer_.affected_rows = done_.affected_rows;
    send_stored_answer();
}

void job_runner::end_sync() {
    if (!pending_steps_.empty() || is_rolling_back_) {
        return;
    }
    const PGTransactionStatusType status = connection_.transaction_status();
    if (std::holds_alternative<core::transaction_job>(job_.work)) {
        // The statement itself ended the transaction, so its effect is unknown.
        is_connection_lost_ = is_connection_lost_ || status == PQTRANS_IDLE;
    } else if ((error_ || claim_exists_) && status != PQTRANS_IDLE) {
        send_rollback_and_lookup();
    }
}

void job_runner::end_with_lost_connection() {
    is_connection_lost_ = true;
    finish();
}

void job_runner::finish() {
    sink_(core::job_finished{job_.connection, job_.job, make_result()});
}

core::job_result job_runner::make_result() {
    // An error means that no part of the job took effect, even if the connection broke during the
    // rollback after the error.
    if (error_) {
        return *error_;
    }
    if (is_connection_lost_) {
        return core::job_connection_lost{true};
    }
    if (claim_exists_) {
        return make_replayed_result();
    }
    done_.row_count = rows_.row_count();
    return done_;
}

core::job_result job_runner::make_replayed_result() {
    if (!stored_digest_) {
        return core::job_error{
            serialization_failure,
            "stored result of the earlier request with this idempotency key has expired"};
    }
    if (*stored_digest_ != claim()->digest) {
        return core::job_claim_conflict{};
    }
    if (std::holds_alternative<core::begin_job>(job_.work)) {
        return core::job_already_committed{done_.term, done_.position};
    }
    std::optional<stored_answer> stored =
        stored_answer_text_ ? decode_answer(*stored_answer_text_) : std::nullopt;
    if (!stored) {
        return core::job_error{data_corrupted,
                               "stored result of the earlier request cannot be decoded"};
    }
    if (!stored->result.columns.empty()) {
        rows_.set_columns(std::move(stored->result.columns));
    }
    for (core::row& row : stored->result.rows) {
        rows_.add(std::move(row));
    }
    rows_.finish();
    done_.row_count = rows_.row_count();
    done_.affected_rows = stored->affected_rows;
    done_.replayed = true;
    return done_;
}

const core::idempotency_claim* job_runner::claim() const {
    const std::optional<core::idempotency_claim>* found = nullptr;
    if (const core::write_job* write = std::get_if<core::write_job>(&job_.work)) {
        found = &write->claim;
    } else if (const core::begin_job* begin = std::get_if<core::begin_job>(&job_.work)) {
        found = &begin->claim;
    }
    return found != nullptr && found->has_value() ? &found->value() : nullptr;
}

bool job_runner::is_claimed_write() const {
    return std::holds_alternative<core::write_job>(job_.work) && claim() != nullptr;
}

} // namespace lovagemoor::target::internal
