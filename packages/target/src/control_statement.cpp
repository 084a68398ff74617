#include "control_channel.hpp"

#include <charconv>
#include <string_view>

namespace lovagemoor::target::internal {

namespace {

struct statement_builder {
    core::statement operator()(const core::status_call& /*call*/) const {
        return {"SELECT * FROM db_group_status()", {}};
    }

    core::statement operator()(const core::fence_call& call) const {
        return {"SELECT * FROM db_group_raise($1)", {std::to_string(call.term)}};
    }

    core::statement operator()(const core::promote_call& call) const {
        return {"SELECT * FROM db_group_promote($1)", {std::to_string(call.term)}};
    }

    core::statement operator()(const core::attest_call& call) const {
        return {"SELECT * FROM db_group_attest($1,$2,$3)",
                {std::to_string(call.term), std::to_string(call.position),
                 std::to_string(call.wait.count())}};
    }
};

/// Parses the columns of a result's first row. is_valid() is false after a column that should be a
/// number is not one.
class row_reader {
public:
    explicit row_reader(const PGresult* result) : result_(result) {}

    template <typename Number>
    Number number(int column) {
        const std::string_view text = PQgetvalue(result_, 0, column);
        Number value = 0;
        const std::from_chars_result parsed =
            std::from_chars(text.data(), text.data() + text.size(), value);
        is_valid_ = is_valid_ && parsed.ec == std::errc{} && !text.empty();
        return value;
    }

    std::chrono::milliseconds milliseconds(int column) {
        return std::chrono::milliseconds(number<std::int64_t>(column));
    }

    bool boolean(int column) { return std::string_view(PQgetvalue(result_, 0, column)) == "t"; }

    [[nodiscard]] bool is_valid() const noexcept { return is_valid_; }

private:
    const PGresult* result_;
    bool is_valid_ = true;
};

} // namespace

core::statement control_statement(const core::control_call& call) {
    return std::visit(statement_builder{}, call);
}

std::optional<core::control_result> parse_reply(const core::control_call& call,
                                                const PGresult* result) {
    constexpr int status_columns = 6;
    constexpr int promise_columns = 3;
    constexpr int promote_columns = 2;
    const bool is_status = std::holds_alternative<core::status_call>(call);
    const bool is_promote = std::holds_alternative<core::promote_call>(call);
    const int expected = is_status    ? status_columns
                         : is_promote ? promote_columns
                                      : promise_columns;
    if (PQntuples(result) != 1 || PQnfields(result) < expected) {
        return std::nullopt;
    }
    row_reader row(result);
    core::control_result reply;
    if (is_status) {
        reply = core::status_reply{row.number<core::term_number>(0),
                                   row.number<core::term_number>(1),
                                   row.number<core::log_position>(2),
                                   row.boolean(3),
                                   row.milliseconds(4),
                                   row.milliseconds(5)};
    } else if (is_promote) {
        reply = core::promote_reply{row.number<core::term_number>(0),
                                    row.number<core::log_position>(1)};
    } else {
        reply =
            core::promise_reply{row.number<core::term_number>(0), row.number<core::term_number>(1),
                                row.number<core::log_position>(2)};
    }
    return row.is_valid() ? std::optional<core::control_result>(reply) : std::nullopt;
}

} // namespace lovagemoor::target::internal
