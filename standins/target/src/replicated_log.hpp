#pragma once

#include <standin.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

using term_number = std::uint64_t;
using log_position = std::uint64_t;

/// @brief Committed rows of all tables.
struct table_set {
    std::map<std::int64_t, v1::PutOrder> orders;
    std::map<std::string, v1::PutRequest> requests;

    void apply(const v1::Change& change);
};

/// @brief In-memory log of one member of a database group, and the tables that result from it.
/// Positions count from 1; position 0 in term 0 denotes the empty log.
class replicated_log {
public:
    [[nodiscard]] log_position end() const noexcept { return entries_.size(); }

    [[nodiscard]] term_number last_term() const noexcept { return term_at(end()); }

    [[nodiscard]] term_number term_at(log_position position) const noexcept;
    [[nodiscard]] const v1::LogEntry& entry_at(log_position position) const;

    [[nodiscard]] const table_set& tables() const noexcept { return tables_; }

    /// @brief Position of the first entry of the first term above `term`.
    /// @return 0 if the log has no such entry.
    [[nodiscard]] log_position start_of_first_term_above(term_number term) const noexcept;

    /// @brief Latest term in the log that is not above `term`; 0 if there is none.
    [[nodiscard]] term_number latest_term_up_to(term_number term) const noexcept;

    /// @brief Position of the last entry whose term is not above `term`.
    [[nodiscard]] log_position end_of_term(term_number term) const noexcept;

    void append(v1::LogEntry entry);

    /// @brief Removes all entries after `position` and rebuilds the tables from the remaining ones.
    void truncate(log_position position);

private:
    struct term_start {
        term_number term = 0;
        log_position start = 0;
    };

    std::vector<v1::LogEntry> entries_;
    std::vector<term_start> term_starts_;
    table_set tables_;
};

} // namespace lovagemoor::standin_target
