#pragma once

#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace lovagemoor::core {

/// @brief Measured mean run time per SQL text. The table has a fixed capacity and evicts the least
/// recently run statement.
class statement_cost_table {
public:
    /// @param bulk_threshold Statements with a higher mean run time are scheduled as bulk.
    /// @param capacity Maximum number of statements in the table.
    explicit statement_cost_table(duration bulk_threshold, std::size_t capacity = 4'096);

    void record(std::string_view sql, duration measured);

    /// @return Mean run time; zero for a statement that is not in the table.
    [[nodiscard]] duration mean(std::string_view sql) const;

    /// @return Bulk if the statement's mean exceeds the threshold, otherwise the declared urgency.
    [[nodiscard]] urgency classify(std::string_view sql, urgency declared) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        std::uint64_t digest = 0;
        double mean_us = 0;
    };

    duration bulk_threshold_;
    std::size_t capacity_;
    /// Ordered by last run, most recent first.
    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries_;
};

} // namespace lovagemoor::core
