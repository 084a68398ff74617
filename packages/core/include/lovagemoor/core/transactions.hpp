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

/// @brief An open transaction, pinned to its connection.
struct open_transaction {
    transaction_id id = 0;
    target_id target;
    connection_id connection = 0;
    /// Term of the primary when the transaction began.
    term_number term = 0;
    /// The begin request, by which its entry host can abandon the transaction.
    host_id begin_entry;
    request_id begin_request_id = 0;
    /// Key of the claim that covers the transaction, empty without one.
    std::string idempotency_key;
    /// End of the latest statement.
    time_point last_used;
    /// True while a statement waits or runs; only one may at a time.
    bool busy = false;
    /// True when the connection is gone. The entry stays for a while, so that the session's next
    /// statement learns that its transaction was rolled back.
    bool lost = false;
};

/// @brief The transactions that are open on this host's connections.
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

    /// @return Transactions without a statement since `limit`, lost ones included.
    [[nodiscard]] std::vector<transaction_id> idle_since(time_point limit) const {
        std::vector<transaction_id> result;
        for (const auto& [id, transaction] : transactions_) {
            if (!transaction.busy && transaction.last_used <= limit) {
                result.push_back(id);
            }
        }
        return result;
    }

    /// @return The open transaction that the request began, or null.
    [[nodiscard]] const open_transaction* find_by_begin(const host_id& entry,
                                                        request_id request) const noexcept {
        for (const auto& [id, transaction] : transactions_) {
            if (transaction.begin_request_id == request && transaction.begin_entry == entry) {
                return &transaction;
            }
        }
        return nullptr;
    }

    /// @return Earliest `last_used` of the transactions that are not busy; max() without one.
    [[nodiscard]] time_point oldest_idle() const noexcept {
        time_point result = time_point::max();
        for (const auto& [id, transaction] : transactions_) {
            if (!transaction.busy) {
                result = std::min(result, transaction.last_used);
            }
        }
        return result;
    }

    /// @return Open transactions, without lost ones.
    [[nodiscard]] std::size_t open_count() const noexcept {
        return static_cast<std::size_t>(
            std::count_if(transactions_.begin(), transactions_.end(),
                          [](const auto& entry) { return !entry.second.lost; }));
    }

    /// @return Open transactions on one target, without lost ones.
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
