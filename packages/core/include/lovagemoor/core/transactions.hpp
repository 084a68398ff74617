#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief An open transaction, which is bound to one connection.
struct open_transaction {
    transaction_id id = 0;
    target_id target;
    connection_id connection = 0;
    /// Term of the primary when the transaction began.
    term_number term = 0;
    /// Entry host and number of the begin request, by which that host can cancel the transaction.
    host_id begin_entry;
    request_id begin_request_id = 0;
    /// Key of the claim that covers the transaction, empty without one.
    std::string idempotency_key;
    /// Time at which the latest statement ended.
    time_point last_used;
    /// True while a statement is queued or running; a transaction has at most one at a time.
    bool busy = false;
    /// True when the connection is gone. The entry is kept for a while, so that the session's next
    /// statement can be told that its transaction was rolled back.
    bool lost = false;
};

/// @brief Table of the transactions that are open on this host's connections.
class transaction_table {
public:
    void insert(open_transaction transaction) {
        const transaction_id id = transaction.id;
        transactions_.insert_or_assign(id, std::move(transaction));
    }

    [[nodiscard]] open_transaction* find(transaction_id id) noexcept {
        const auto found = transactions_.find(id);
        return found == transactions_.end() ? nullptr : &found->second;
    }

    void erase(transaction_id id) { transactions_.erase(id); }

    /// @return Transactions, including lost ones, that have not run a statement since `limit`.
    [[nodiscard]] std::vector<transaction_id> idle_since(time_point limit) const {
        std::vector<transaction_id> result;
        for (const auto& [id, transaction] : transactions_) {
            if (!transaction.busy && transaction.last_used <= limit) {
                result.push_back(id);
            }
        }
        return result;
    }

    /// @return The transaction that the given begin request opened, or null.
    [[nodiscard]] const open_transaction* find_by_begin(const host_id& entry,
                                                        request_id request) const noexcept {
        for (const auto& [id, transaction] : transactions_) {
            if (transaction.begin_request_id == request && transaction.begin_entry == entry) {
                return &transaction;
            }
        }
        return nullptr;
    }

    /// @return Earliest `last_used` of the transactions that are not busy; max() if there are none.
    [[nodiscard]] time_point oldest_idle() const noexcept {
        time_point result = time_point::max();
        for (const auto& [id, transaction] : transactions_) {
            if (!transaction.busy) {
                result = std::min(result, transaction.last_used);
            }
        }
        return result;
    }

    /// @return Number of open transactions, not counting lost ones.
    [[nodiscard]] std::size_t open_count() const noexcept {
        return static_cast<std::size_t>(
            std::count_if(transactions_.begin(), transactions_.end(),
                          [](const auto& entry) { return !entry.second.lost; }));
    }

    /// @return Number of open transactions on one target, not counting lost ones.
    [[nodiscard]] std::size_t open_count(const target_id& target) const noexcept {
        return static_cast<std::size_t>(
            std::count_if(transactions_.begin(), transactions_.end(), [&target](const auto& entry) {
                return !entry.second.lost && entry.second.target == target;
            }));
    }

    [[nodiscard]] const std::map<transaction_id, open_transaction>& all() const noexcept {
        return transactions_;
    }

private:
    std::map<transaction_id, open_transaction> transactions_;
};

} // namespace lovagemoor::core
