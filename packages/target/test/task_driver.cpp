#include "task_driver.hpp"

#include <stdexcept>
#include <utility>

namespace target_test {

namespace {

/// Maximum time that a test waits for an event before it fails.
constexpr std::chrono::seconds max_wait{30};

struct kind_formatter {
    std::string operator()(const core::job_done& result) const {
        return result.replayed ? "replayed" : "done";
    }

    std::string operator()(const core::job_error& result) const {
        return "error " + result.sqlstate;
    }

    std::string operator()(const core::job_claim_conflict& /*result*/) const { return "conflict"; }

    std::string operator()(const core::job_already_committed& /*result*/) const {
        return "already committed";
    }

    std::string operator()(const core::job_connection_lost& result) const {
        return result.sent ? "lost, sent" : "lost, not sent";
    }
};

} // namespace

std::string job_outcome::kind() const {
    return std::visit(kind_formatter{}, result);
}

std::size_t job_outcome::row_count() const {
    std::size_t count = 0;
    for (const core::row_batch& batch : batches) {
        count += batch.rows.size();
    }
    return count;
}

task_driver::task_driver(lovagemoor::target::target_settings settings)
    : task_(
          [&settings] {
              if (settings.host.empty()) {
                  settings.host = {"host-1"};
              }
              return settings;
          }(),
          [this](core::event event) {
              const std::lock_guard lock(mutex_);
              events_.push_back(std::move(event));
              arrived_.notify_all();
          }) {}

template <typename T>
T task_driver::wait_for(
    const std::function<std::optional<T>(const std::vector<core::event>&)>& find) {
    std::unique_lock lock(mutex_);
    std::optional<T> found;
    const bool in_time = arrived_.wait_for(lock, max_wait, [&] {
        found = find(events_);
        return found.has_value();
    });
    if (!in_time) {
        throw std::runtime_error("target_task did not report the expected event within 30 s");
    }
    return *found;
}

std::optional<core::connection_id> task_driver::open(const core::target_record& target) {
    const core::connection_id id = next_id_++;
    task_.perform(core::open_connection{id, target});
    const bool opened = wait_for<bool>([&](const std::vector<core::event>& events) {
        for (const core::event& event : events) {
            const auto* success = std::get_if<core::connection_opened>(&event);
            if (success != nullptr && success->connection == id) {
                return std::optional<bool>(true);
            }
            const auto* failure = std::get_if<core::connection_closed>(&event);
            if (failure != nullptr && failure->connection == id) {
                refused_for_capacity_ = failure->capacity;
                return std::optional<bool>(false);
            }
        }
        return std::optional<bool>();
    });
    return opened ? std::optional<core::connection_id>(id) : std::nullopt;
}

core::job_id task_driver::start(core::connection_id connection, core::target_job work) {
    const core::job_id job = next_id_++;
    task_.perform(core::run_job{connection, job, std::move(work)});
    return job;
}

job_outcome task_driver::wait(core::job_id job) {
    return wait_for<job_outcome>([job](const std::vector<core::event>& events) {
        job_outcome outcome;
        for (const core::event& event : events) {
            const auto* rows = std::get_if<core::job_rows>(&event);
            if (rows != nullptr && rows->job == job) {
                outcome.batches.push_back(rows->batch);
            }
            const auto* finished = std::get_if<core::job_finished>(&event);
            if (finished != nullptr && finished->job == job) {
                outcome.result = finished->result;
                return std::optional<job_outcome>(outcome);
            }
        }
        return std::optional<job_outcome>();
    });
}

job_outcome task_driver::run(core::connection_id connection, core::target_job work) {
    return wait(start(connection, std::move(work)));
}

bool task_driver::has_ended(core::job_id job) {
    const std::lock_guard lock(mutex_);
    for (const core::event& event : events_) {
        const auto* finished = std::get_if<core::job_finished>(&event);
        if (finished != nullptr && finished->job == job) {
            return true;
        }
    }
    return false;
}

core::call_id task_driver::start_call(const core::target_record& target, core::control_call request,
                                      std::chrono::milliseconds timeout) {
    const core::call_id call = next_id_++;
    task_.perform(core::call_control{call, target, request, timeout});
    return call;
}

core::control_result task_driver::wait_call(core::call_id call) {
    return wait_for<core::control_result>([call](const std::vector<core::event>& events) {
        for (const core::event& event : events) {
            const auto* finished = std::get_if<core::control_finished>(&event);
            if (finished != nullptr && finished->call == call) {
                return std::optional<core::control_result>(finished->result);
            }
        }
        return std::optional<core::control_result>();
    });
}

core::control_result task_driver::call(const core::target_record& target,
                                       core::control_call request,
                                       std::chrono::milliseconds timeout) {
    return wait_call(start_call(target, request, timeout));
}

void task_driver::close(core::connection_id connection) {
    task_.perform(core::close_connection{connection});
}

void task_driver::wait_closed(core::connection_id connection) {
    wait_for<bool>([connection](const std::vector<core::event>& events) {
        for (const core::event& event : events) {
            const auto* closed = std::get_if<core::connection_closed>(&event);
            if (closed != nullptr && closed->connection == connection) {
                return std::optional<bool>(true);
            }
        }
        return std::optional<bool>();
    });
}

core::target_record record_of(const target_process& target) {
    return {{target.id()}, {"domain-1"}, "127.0.0.1", target.port(), false};
}

core::statement insert_statement(int id, const std::string& kit) {
    return {insert_order, {std::to_string(id), kit, "1"}};
}

core::write_job insert_job(int id) {
    return {insert_statement(id), {}, std::nullopt};
}

core::write_job insert_job(int id, const std::string& key, const std::string& digest) {
    return {
        insert_statement(id), {}, core::idempotency_claim{key, digest, std::chrono::seconds{60}}};
}

core::read_job count_job(core::read_guard guard) {
    return {{count_orders, {}}, guard};
}

} // namespace target_test
