#include "row_collector.hpp"

#include "stored_answer.hpp"

namespace lovagemoor::target::internal {

void row_collector::add(core::row row) {
    const std::size_t bytes = byte_size(row);
    if (!batch_.rows.empty() && batch_bytes_ + bytes > max_bytes_) {
        deliver_batch();
    }
    batch_bytes_ += bytes;
    batch_.rows.push_back(std::move(row));
    ++row_count_;
    if (batch_.rows.size() >= max_rows_) {
        deliver_batch();
    }
}

void row_collector::finish() {
    if (!batch_.rows.empty() || !batch_.columns.empty()) {
        deliver_batch();
    }
}

void row_collector::deliver_batch() {
    batch_bytes_ = 0;
    deliver_(std::exchange(batch_, {}));
}

} // namespace lovagemoor::target::internal
