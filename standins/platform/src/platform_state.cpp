#include "platform_state.hpp"

#include <utility>
#include <vector>

namespace lovagemoor::standin_platform {

platform_state::platform_state(std::size_t history_limit) : store_(history_limit) {}

bool platform_state::is_available_locked(const std::string& host) const {
    return !outage_ && !blocked_hosts_.contains(host);
}

bool platform_state::admit(call_kind kind, const std::string& host) {
    const std::lock_guard lock(mutex_);
    if (!is_available_locked(host)) {
        counters_.set_rejected(counters_.rejected() + 1);
        return false;
    }
    switch (kind) {
    case call_kind::read:
        counters_.set_reads(counters_.reads() + 1);
        break;
    case call_kind::write:
        counters_.set_writes(counters_.writes() + 1);
        break;
    case call_kind::lease:
        counters_.set_lease_calls(counters_.lease_calls() + 1);
        break;
    case call_kind::watch:
        break;
    }
    return true;
}

bool platform_state::is_available(const std::string& host) const {
    const std::lock_guard lock(mutex_);
    return is_available_locked(host);
}

std::chrono::milliseconds platform_state::delay() const {
    const std::lock_guard lock(mutex_);
    return delay_;
}

bool platform_state::execute(const std::function<void(key_store&)>& operation) {
    bool changed = false;
    bool drop_response = false;
    {
        const std::lock_guard lock(mutex_);
        const std::int64_t revision_at_entry = store_.revision();
        store_.expire_leases(std::chrono::steady_clock::now());
        const std::int64_t revision_before = store_.revision();
        operation(store_);
        const bool wrote = store_.revision() != revision_before;
        if (wrote && responses_to_drop_ > 0) {
            --responses_to_drop_;
            drop_response = true;
        }
        changed = store_.revision() != revision_at_entry;
    }
    if (changed) {
        notify();
    }
    return drop_response;
}

void platform_state::read(const std::function<void(const key_store&)>& function) const {
    const std::lock_guard lock(mutex_);
    function(store_);
}

void platform_state::expire_leases() {
    execute([](key_store&) {});
}

std::uint64_t platform_state::add_listener(std::function<void()> listener) {
    const std::lock_guard lock(mutex_);
    listeners_.emplace(++last_listener_, std::move(listener));
    counters_.set_waiting_watches(listeners_.size());
    return last_listener_;
}

void platform_state::remove_listener(std::uint64_t id) {
    const std::lock_guard lock(mutex_);
    listeners_.erase(id);
    counters_.set_waiting_watches(listeners_.size());
}

void platform_state::notify() {
    std::vector<std::function<void()>> listeners;
    {
        const std::lock_guard lock(mutex_);
        listeners.reserve(listeners_.size());
        for (const auto& [id, listener] : listeners_) {
            listeners.push_back(listener);
        }
    }
    for (const std::function<void()>& listener : listeners) {
        listener();
    }
}

v1::Faults platform_state::set_faults(const v1::SetFaultsRequest& request) {
    v1::Faults faults;
    {
        const std::lock_guard lock(mutex_);
        if (request.has_outage()) {
            outage_ = request.outage();
        }
        if (request.has_delay_ms()) {
            delay_ = std::chrono::milliseconds{request.delay_ms()};
        }
        if (request.has_lose_write_answers()) {
            responses_to_drop_ = request.lose_write_answers();
        }
        for (const std::string& host : request.block_hosts()) {
            blocked_hosts_.insert(host);
        }
        for (const std::string& host : request.unblock_hosts()) {
            blocked_hosts_.erase(host);
        }
        faults.set_outage(outage_);
        faults.set_delay_ms(static_cast<std::uint32_t>(delay_.count()));
        faults.set_lose_write_answers(responses_to_drop_);
        for (const std::string& host : blocked_hosts_) {
            faults.add_blocked_hosts(host);
        }
    }
    notify();
    return faults;
}

v1::Counters platform_state::counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
}

} // namespace lovagemoor::standin_platform
