#pragma once

#include <lovagemoor/core/statement.hpp>
#include <lovagemoor/target/target_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::target::internal {

/// @brief Groups the rows of a result into batches of limited size and delivers them.
class row_collector {
public:
    row_collector(const target_settings& settings, std::function<void(core::row_batch)> deliver)
        : max_rows_(settings.max_batch_rows),
          max_bytes_(settings.max_batch_bytes),
          deliver_(std::move(deliver)) {}

    /// @brief Sets the columns of the first batch, which is then delivered even if it has no rows.
    void set_columns(std::vector<std::string> columns) {
        batch_.columns = std::move(columns);
        has_columns_ = true;
    }

    [[nodiscard]] bool has_columns() const noexcept { return has_columns_; }

    void add(core::row row);

    /// @brief Delivers the last batch at the end of the result.
    void finish();

    [[nodiscard]] std::uint64_t row_count() const noexcept { return row_count_; }

private:
    void deliver_batch();

    std::size_t max_rows_;
    std::size_t max_bytes_;
    std::function<void(core::row_batch)> deliver_;
    core::row_batch batch_;
    std::size_t batch_bytes_ = 0;
    std::uint64_t row_count_ = 0;
    bool has_columns_ = false;
};

} // namespace lovagemoor::target::internal
