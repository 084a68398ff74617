#include <lovagemoor/core/call_check.hpp>

#include <lovagemoor/core/request_digest.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Length limits of strings that callers choose, so that queues and tables do not store longer
/// ones.
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_shard_key_bytes = 1'024;

refused invalid(std::string detail) {
    return {refusal_reason::invalid_request, {}, {}, std::move(detail)};
}

std::size_t statement_bytes(const statement& value) noexcept {
    std::size_t bytes = value.sql.size();
    for (const sql_value& parameter : value.parameters) {
        bytes += parameter.has_value() ? parameter->size() : 0;
    }
    return bytes;
}

class call_checker {
public:
    call_checker(const core_settings& settings, const token_sealer& sealer)
        : settings_{settings}, sealer_{sealer} {}

    check_result<checked_call> operator()(const execute_request& call) const {
        if (call.statement.sql.empty()) {
            return invalid("statement is empty");
        }
        if (statement_bytes(call.statement) > settings_.max_statement_bytes) {
            return invalid("statement is too long");
        }
        if (call.max_staleness.has_value() && call.max_staleness->count() < 0) {
            return invalid("max_staleness is negative");
        }
        checked_call checked;
        checked.request.statement = call.statement;
        checked.request.priority = call.priority;
        if (!call.transaction.empty()) {
            checked.request.operation = forwarded_operation::in_transaction;
            return with_transaction(std::move(checked), call.transaction, call.service,
                                    call.timeout, call.session_token);
        }
        const bool is_write = call.access == access_mode::write;
        checked.request.operation =
            is_write ? forwarded_operation::write : forwarded_operation::read;
        if (is_write) {
            checked.request.idempotency_key = call.idempotency_key;
        } else {
            checked.max_staleness = call.max_staleness;
        }
        return with_shard(std::move(checked), call.service, call.shard_key, call.timeout,
                          call.session_token);
    }

    check_result<checked_call> operator()(const begin_request& call) const {
        checked_call checked;
        checked.request.operation = forwarded_operation::begin;
        checked.request.priority = call.priority;
        checked.request.idempotency_key = call.idempotency_key;
        return with_shard(std::move(checked), call.service, call.shard_key, call.timeout,
                          call.session_token);
    }

    check_result<checked_call> operator()(const end_request& call) const {
        checked_call checked;
        checked.request.operation = call.how == transaction_end::commit
                                        ? forwarded_operation::commit
                                        : forwarded_operation::rollback;
        return with_transaction(std::move(checked), call.transaction, std::nullopt, call.timeout,
                                call.session_token);
    }

private:
    [[nodiscard]] check_result<checked_call>
    with_shard(checked_call checked, const service_id& service, const std::string& shard_key,
               duration timeout, const std::string& token) const {
        if (shard_key.size() > max_shard_key_bytes) {
            return invalid("shard key is too long");
        }
        if (checked.request.idempotency_key.size() > max_key_bytes) {
            return invalid("idempotency key is too long");
        }
        // A target stores and finds a key only up to its first zero byte.
        if (checked.request.idempotency_key.find('\0') != std::string::npos) {
            return invalid("idempotency key contains a zero byte");
        }
        checked.request.service = service;
        checked.shard_key = shard_key;
        if (!checked.request.idempotency_key.empty()) {
            checked.request.digest = request_digest(service, shard_key, checked.request.statement);
        }
        return with_session(std::move(checked), timeout, token);
    }

    [[nodiscard]] check_result<checked_call>
    with_transaction(checked_call checked, const std::string& sealed,
                     const std::optional<service_id>& service, duration timeout,
                     const std::string& token) const {
        const token_result<transaction_handle> handle =
            service.has_value() ? sealer_.open_transaction(sealed, *service)
                                : sealer_.open_transaction(sealed);
        if (!handle.has_value()) {
            return refused{
                refusal_reason::invalid_transaction, {}, {}, to_string(handle.assume_error())};
        }
        const transaction_handle& opened = handle.assume_value();
        checked.request.service = opened.service;
        checked.request.group = opened.group;
        checked.request.target = opened.target;
        checked.request.transaction = opened.transaction;
        checked.request.owner_incarnation = opened.owner_incarnation;
        checked.transaction_owner = opened.owner;
        return with_session(std::move(checked), timeout, token);
    }

    [[nodiscard]] check_result<checked_call> with_session(checked_call checked, duration timeout,
                                                          const std::string& token) const {
        if (timeout <= duration{0}) {
            return invalid("timeout is not positive");
        }
        checked.timeout = std::min(timeout, settings_.max_timeout);
        checked.session.service = checked.request.service;
        if (token.empty()) {
            return checked;
        }
        token_result<session_token> opened = sealer_.open_session(token, checked.request.service);
        if (!opened.has_value()) {
            return refused{refusal_reason::invalid_token, {}, {}, to_string(opened.assume_error())};
        }
        checked.session = std::move(opened.assume_value());
        return checked;
    }

    const core_settings& settings_;
    const token_sealer& sealer_;
};

} // namespace internal

check_result<checked_call> check_call(const core_settings& settings, const token_sealer& sealer,
                                      const caller_request& call) {
    return std::visit(internal::call_checker{settings, sealer}, call);
}

bool has_transaction(const caller_request& call) noexcept {
    if (const execute_request* execute = std::get_if<execute_request>(&call)) {
        return !execute->transaction.empty();
    }
    return std::holds_alternative<end_request>(call);
}

} // namespace lovagemoor::core
