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

/// @brief The store with the faults and the counters. Thread-safe.
class platform_state {
public:
    explicit platform_state(std::size_t history_limit);

    /// @brief Counts a call that arrived.
    /// @return False when an outage or a block rejects it.
    [[nodiscard]] bool admit(call_kind kind, const std::string& host);

    /// @return False while an outage or a block holds for the client.
    [[nodiscard]] bool is_available(const std::string& host) const;

    [[nodiscard]] std::chrono::milliseconds delay() const;

    /// @brief Runs an operation on the store, after the leases that ended meanwhile have expired.
    /// @return True when the operation changed the store and its answer is to be lost.
    bool execute(const std::function<void(key_store&)>& operation);

    /// @brief Runs a function that only reads the store.
    void read(const std::function<void(const key_store&)>& function) const;

    /// @brief Expires the leases that have ended.
    void expire_leases();

    /// @brief Registers a function that is called, without a lock held, after each change of the
    /// store and of the faults.
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
