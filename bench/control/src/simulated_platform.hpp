#pragma once

#include <lovagemoor/core/platform_call.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::bench {

/// @brief Operations that the platform has performed and records that it has returned for views.
struct platform_load {
    std::uint64_t reads = 0;
    std::uint64_t records_read = 0;
    std::uint64_t writes = 0;
};

/// @brief Platform stand-in that is always reachable and stores its records in a map.
class simulated_platform {
public:
    /// @brief Stores a record with the next revision.
    /// @return The stored record.
    core::platform_record put(core::platform_record record);

    /// @brief Executes a call of a host.
    /// @param host Index of the host.
    [[nodiscard]] core::platform_result perform(std::size_t host, const core::platform_call& call);

    /// @brief Removes the watch of a host that has stopped.
    void stop_host(std::size_t host) { watchers_.erase(host); }

    /// @brief Returns and clears the records to send to the watchers.
    /// @return Records written since the last call.
    [[nodiscard]] std::vector<core::platform_record> drain_changes();

    /// @return True when the group's term record has the phase `serving` in the term or a later
    /// one.
    [[nodiscard]] bool is_serving(const core::group_id& group, core::term_number term) const;

    [[nodiscard]] const std::set<std::size_t>& watchers() const noexcept { return watchers_; }

    [[nodiscard]] const platform_load& load() const noexcept { return load_; }

private:
    [[nodiscard]] core::platform_read read(const std::string& key) const;
    [[nodiscard]] core::platform_swapped swap(std::int64_t expected_revision,
                                              core::platform_record record);

    std::map<std::string, core::platform_record> records_;
    std::vector<core::platform_record> changes_;
    std::set<std::size_t> watchers_;
    std::int64_t revision_ = 0;
    platform_load load_;
};

} // namespace lovagemoor::bench
