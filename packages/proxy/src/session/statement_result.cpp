#include <lovagemoor/proxy/session/statement_result.hpp>

namespace lovagemoor::proxy {

const char* to_string(statement_error_kind kind) noexcept {
    switch (kind) {
    case statement_error_kind::busy:
        return "busy";
    case statement_error_kind::aborted:
        return "aborted";
    case statement_error_kind::lagging:
        return "lagging";
    case statement_error_kind::read_only:
        return "read_only";
    case statement_error_kind::wrong_target:
        return "wrong_target";
    case statement_error_kind::connection_limit:
        return "connection_limit";
    case statement_error_kind::failed:
        return "failed";
    case statement_error_kind::not_prepared:
        return "not_prepared";
    case statement_error_kind::timeout:
        return "timeout";
    case statement_error_kind::not_authorized:
        return "not_authorized";
    case statement_error_kind::unknown_database:
        return "unknown_database";
    case statement_error_kind::too_large:
        return "too_large";
    case statement_error_kind::malformed:
        return "malformed";
    case statement_error_kind::in_doubt:
        return "in_doubt";
    case statement_error_kind::other:
        return "other";
    }
    return "other";
}

} // namespace lovagemoor::proxy
