#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <algorithm>
#include <string>

namespace lovagemoor::proxy {

namespace internal {

namespace {

std::string milliseconds_text(core::duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

} // namespace internal

void session_engine::on(const peer_contacted& /*input*/) {
    peer_contacted_at_ = now_;
}

bool session_engine::is_isolated() const {
    if (peer_contacted_at_.has_value() &&
        now_ - *peer_contacted_at_ < settings_.peer_contact_retention) {
        return false;
    }
    std::size_t unreachable = 0;
    for (const auto& [id, target] : pool_.targets()) {
        if (target.removed_at.has_value() || target.record.domain == settings_.domain) {
            continue;
        }
        if (target.failing_since.has_value() &&
            now_ - *target.failing_since >= settings_.unreachable_after) {
            const bool lost_for_others =
                target.through_holders &&
                now_ - target.lost_at_holder < settings_.lost_target_retention;
            unreachable += lost_for_others ? 0 : 1;
        } else if (target.min_connections > 0 ||
                   now_ - target.last_contact < settings_.contact_interval) {
            return false;
        }
    }
    return unreachable > 1;
}

void session_engine::update_isolation() {
    const bool isolated = is_isolated();
    if (isolated != isolated_since_.has_value()) {
        log(core::log_event::level::warning, isolated ? "isolated" : "isolation_ended",
            {{"failure_domain", settings_.domain.value},
             {"targets", std::to_string(pool_.targets().size())},
             {"peer_contact_ms", peer_contacted_at_.has_value()
                                     ? internal::milliseconds_text(now_ - *peer_contacted_at_)
                                     : "none"}});
        isolated_since_ = isolated ? std::optional<core::time_point>{now_} : std::nullopt;
        update_ready();
    }
    if (isolated_since_.has_value() && now_ - *isolated_since_ > settings_.isolation_close_delay) {
        close_idle_sessions();
    }
}

void session_engine::close_idle_sessions() {
    std::vector<session_id> idle;
    for (const auto& [id, caller] : sessions_) {
        if (may_end(caller, session_end::isolated)) {
            idle.push_back(id);
        }
    }
    close_sessions(idle, session_end::isolated);
}

} // namespace lovagemoor::proxy
