#pragma once

#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <cstdint>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Assigns the answers of the registry to its eras.
///
/// A registry that names no era has none, and its answers are all taken as current. Once it has
/// named one, an answer that names none, or none that can be read, cannot be assigned: it counts as
/// no answer.
class registry_era_tracker {
public:
    enum class assignment : std::uint8_t {
        current,
        /// The first answer of a later era: what was read before may be gone.
        newer,
        /// An answer that was sent before the registry came back, or one of an unknown era.
        outdated,
    };

    [[nodiscard]] assignment assign(const std::optional<registry_era>& era);

    /// @param sent Value of current() when a call was sent.
    /// @return True if the registry has come back from an older copy since. Naming its first era
    /// does not count.
    [[nodiscard]] bool restored_since(const std::optional<registry_era>& sent) const noexcept {
        return sent.has_value() && sent != current_;
    }

    /// @return Empty until the registry has named an era.
    [[nodiscard]] const std::optional<registry_era>& current() const noexcept { return current_; }

private:
    std::optional<registry_era> current_;
};

} // namespace lovagemoor::proxy
