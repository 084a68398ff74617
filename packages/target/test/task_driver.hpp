#pragma once

#include <lovagemoor/standin_target/target_process.hpp>
#include <lovagemoor/target/target_task.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace target_test {

namespace core = lovagemoor::core;
using lovagemoor::standin_target::target_process;

inline constexpr const char* insert_order =
    "INSERT INTO orders (id, kit, quantity) VALUES ($1, $2, $3)";
inline constexpr const char* select_orders = "SELECT id, kit, quantity FROM orders ORDER BY id";
inline constexpr const char* count_orders = "SELECT count(*) FROM orders";

/// @brief Result of a job and the rows that were reported before it.
struct job_outcome {
    core::job_result result;
    std::vector<core::row_batch> batches;

    /// @return A short text that names the kind of result. For errors it includes the SQLSTATE, for
    /// example "error 23505".
    [[nodiscard]] std::string kind() const;

    [[nodiscard]] const core::job_done& done() const { return std::get<core::job_done>(result); }

    [[nodiscard]] std::size_t row_count() const;
};

/// @brief Runs a target_task and lets tests wait for its events.
class task_driver {
public:
    explicit task_driver(lovagemoor::target::target_settings settings = {});

    /// @brief Opens a connection and waits for connection_opened or connection_closed.
    /// @return The connection, or nothing when it was not opened. was_refused_for_capacity() then
    /// returns whether the target had too many connections.
    [[nodiscard]] std::optional<core::connection_id> open(const core::target_record& target);

    [[nodiscard]] bool was_refused_for_capacity() const { return refused_for_capacity_; }

    [[nodiscard]] core::job_id start(core::connection_id connection, core::target_job work);
    [[nodiscard]] job_outcome wait(core::job_id job);
    [[nodiscard]] job_outcome run(core::connection_id connection, core::target_job work);
    /// @return True when job_finished was reported for the job.
    [[nodiscard]] bool has_ended(core::job_id job);

    [[nodiscard]] core::call_id start_call(const core::target_record& target,
                                           core::control_call request,
                                           std::chrono::milliseconds timeout);
    [[nodiscard]] core::control_result wait_call(core::call_id call);
    [[nodiscard]] core::control_result call(const core::target_record& target,
                                            core::control_call request,
                                            std::chrono::milliseconds timeout);

    void close(core::connection_id connection);
    /// @brief Waits until connection_closed is reported for a connection.
    void wait_closed(core::connection_id connection);

private:
    /// @brief Waits until `find` returns a value for the events that were reported so far.
    template <typename T>
    T wait_for(const std::function<std::optional<T>(const std::vector<core::event>&)>& find);

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<core::event> events_;
    std::uint64_t next_id_ = 1;
    bool refused_for_capacity_ = false;
    lovagemoor::target::target_task task_;
};

[[nodiscard]] core::target_record record_of(const target_process& target);

[[nodiscard]] core::statement insert_statement(int id, const std::string& kit = "barn");

/// @return A write of one order without a read guard or an idempotency key.
[[nodiscard]] core::write_job insert_job(int id);

/// @return A write of one order that claims an idempotency key.
[[nodiscard]] core::write_job insert_job(int id, const std::string& key, const std::string& digest);

[[nodiscard]] core::read_job count_job(core::read_guard guard = {});

} // namespace target_test
