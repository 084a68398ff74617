#pragma once

#include <lovagemoor/proxy/session/prepared_statement.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Limits on what a target keeps prepared for one connection.
struct prepared_limits {
    std::size_t names = 256;
    /// Total size of the shapes. A larger shape is kept alone.
    std::size_t shape_bytes = std::size_t{256} * 1024;
};

/// @brief The names under which statements are prepared on a connection to a target.
///
/// Sessions that prepared the same statement share its name. A name is a letter and a number, so
/// that it holds nothing that a caller has chosen, and is never given to a second statement.
class prepared_names {
public:
    /// @brief The name of a statement, and what must be sent before the target knows it.
    struct binding {
        std::string name;
        /// The statement must be prepared under the name.
        bool is_new = false;
        /// Names to deallocate: the least recently used ones, if a limit would be exceeded.
        std::vector<std::string> evicted;
    };

    [[nodiscard]] binding bind(const prepared_statement& statement, const prepared_limits& limits);

    /// @brief The target has dropped all prepared statements of the connection.
    void clear() noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        std::string name;
        /// Value of uses_ at the last use.
        std::uint64_t last_use = 0;
    };

    [[nodiscard]] std::string evict_least_recent();

    std::map<prepared_statement, entry> entries_;
    std::size_t shape_bytes_ = 0;
    std::uint64_t last_number_ = 0;
    std::uint64_t uses_ = 0;
};

} // namespace lovagemoor::proxy
