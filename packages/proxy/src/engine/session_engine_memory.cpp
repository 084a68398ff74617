#include <lovagemoor/proxy/engine/session_engine.hpp>

namespace lovagemoor::proxy {

namespace internal {

namespace {

std::size_t size_of(const statement& held) {
    return sizeof(statement) + held.id.size() + held.name.size() + held.argument.size() +
           held.text.size();
}

} // namespace

} // namespace internal

session_memory session_engine::memory_of(session_id id) const {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return {};
    }
    const session& caller = found->second;
    session_memory held;
    held.kept_bytes = caller.kept_bytes;
    held.working = caller.current.has_value() || !caller.backlog.empty();
    held.transaction_expired = !held.working && caller.transaction_error.has_value();
    held.in_transaction = caller.transaction.has_value() && !held.transaction_expired;
    if (caller.current.has_value()) {
        held.waiting_bytes += internal::size_of(caller.current->work);
    }
    for (const statement& waiting : caller.backlog) {
        held.waiting_bytes += internal::size_of(waiting);
    }
    return held;
}

} // namespace lovagemoor::proxy
