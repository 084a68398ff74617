#pragma once

#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace lovagemoor::core {

/// @brief Measured mean run time per SQL text. The table is bounded; the statement that was not run
/// for longest is dropped first.
class statement_cost_table {
public:
    /// @param bulk_threshold Statements whose mean exceeds this are scheduled as bulk.
    /// @param capacity Most statements remembered.
    explicit statement_cost_table(duration bulk_threshold, std::size_t capacity = 4'096);

    void record(std::string_view sql, duration measured);

    /// @return Mean run time, zero for an unknown statement.
    [[nodiscard]] duration mean(std::string_view sql) const;

    /// @return Bulk for a statement measured above the threshold, else the declared urgency.
    [[nodiscard]] urgency classify(std::string_view sql, urgency declared) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        std::uint64_t digest = 0;
        double mean_us = 0;
    };

    duration bulk_threshold_;
    std::size_t capacity_;
    /// Most recently run first.
    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries_;
};

} // namespace lovagemoor::core
