#pragma once

#include "key_store.hpp"

#include <standin_platform.pb.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace lovagemoor::standin_platform {

enum class call_kind : std::uint8_t {
    read,
    write,
    lease,
    watch,
};

/// @brief The key-value store together with the injected faults and the call counters. Thread-safe.
class platform_state {
public:
    explicit platform_state(std::size_t history_limit);

    /// @brief Counts an arriving call.
    /// @return False if an outage or a block of its host rejects the call.
    [[nodiscard]] bool admit(call_kind kind, const std::string& host);

    /// @return False during an outage and while the host is blocked.
    [[nodiscard]] bool is_available(const std::string& host) const;

    [[nodiscard]] std::chrono::milliseconds delay() const;

    /// @brief Deletes the expired leases, then runs an operation on the store.
    /// @return True if the operation changed the store and its response must be dropped. A failed
    /// compare changes nothing and doesn't count as a write whose response is dropped.
    bool execute(const std::function<void(key_store&)>& operation);

    /// @brief Runs a function that only reads the store.
    void read(const std::function<void(const key_store&)>& function) const;

    /// @brief Deletes the expired leases and notifies the listeners if that changed the store.
    void expire_leases();

    /// @brief Registers a function that is called after each change of the store or the faults.
    /// No lock is held during the call.
    /// @return Identifier for remove_listener.
    std::uint64_t add_listener(std::function<void()> listener);
    void remove_listener(std::uint64_t id);

    v1::Faults set_faults(const v1::SetFaultsRequest& request);
    [[nodiscard]] v1::Counters counters() const;

private:
    void notify();
    [[nodiscard]] bool is_available_locked(const std::string& host) const;

    mutable std::mutex mutex_;
    key_store store_;
    v1::Counters counters_;
    bool outage_ = false;
    std::chrono::milliseconds delay_{0};
    std::uint32_t responses_to_drop_ = 0;
    std::set<std::string> blocked_hosts_;
    std::map<std::uint64_t, std::function<void()>> listeners_;
    std::uint64_t last_listener_ = 0;
};

} // namespace lovagemoor::standin_platform
