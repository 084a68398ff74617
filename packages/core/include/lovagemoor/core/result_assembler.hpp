#pragma once

#include <lovagemoor/core/statement.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief Puts the row batches of a result in order and detects whether the result is complete.
///
/// Duplicate batches are ignored. Batches are returned only in sequence, so a result with a gap is
/// never complete.
class result_assembler {
public:
    void add(std::uint32_t sequence, row_batch batch) {
        if (sequence < next_ || out_of_order_.contains(sequence)) {
            return;
        }
        if (sequence - next_ > max_reorder_distance) {
            gap_too_large_ = true;
            return;
        }
        out_of_order_.emplace(sequence, std::move(batch));
        while (!out_of_order_.empty() && out_of_order_.begin()->first == next_) {
            ready_bytes_ += size_of(out_of_order_.begin()->second);
            ready_.push_back(std::move(out_of_order_.begin()->second));
            out_of_order_.erase(out_of_order_.begin());
            ++next_;
        }
    }

    /// @return True if exactly the batches from 0 to `batches` - 1 have arrived.
    [[nodiscard]] bool is_complete(std::uint32_t batches) const noexcept {
        return !gap_too_large_ && out_of_order_.empty() && next_ == batches;
    }

    /// @return True if the result lacks batches that may still arrive.
    [[nodiscard]] bool may_become_complete(std::uint32_t batches) const noexcept {
        return !gap_too_large_ && next_ < batches;
    }

    /// @return Bytes of the values in the batches that extract_ready() would return.
    [[nodiscard]] std::size_t ready_bytes() const noexcept { return ready_bytes_; }

    [[nodiscard]] std::vector<row_batch> extract_ready() noexcept {
        ready_bytes_ = 0;
        return std::exchange(ready_, {});
    }

private:
    /// Limits the memory used by batches that wait behind a gap.
    static constexpr std::uint32_t max_reorder_distance = 64;

    [[nodiscard]] static std::size_t size_of(const row_batch& batch) noexcept {
        std::size_t bytes = 0;
        for (const row& values : batch.rows) {
            for (const sql_value& value : values) {
                bytes += sizeof value + (value.has_value() ? value->size() : 0);
            }
        }
        return bytes;
    }

    std::uint32_t next_ = 0;
    std::map<std::uint32_t, row_batch> out_of_order_;
    std::vector<row_batch> ready_;
    std::size_t ready_bytes_ = 0;
    bool gap_too_large_ = false;
};

} // namespace lovagemoor::core
