#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace lovagemoor::target {

/// @brief Settings of a host's connections to targets.
struct target_settings {
    /// Identifier of this host, sent to targets as application_name.
    core::host_id host;
    std::string user = "lovagemoor";
    std::string database = "lovagemoor";
    /// Password for authentication. It is empty when the targets require none.
    std::string password;
    /// Value of libpq's sslmode parameter.
    std::string ssl_mode = "prefer";
    std::chrono::milliseconds connect_timeout{2000};

    /// TCP keep-alive settings, by which idle connections to failed targets are detected.
    std::chrono::seconds keepalive_idle{5};
    std::chrono::seconds keepalive_interval{1};
    int keepalive_count = 3;
    /// A connection is closed when sent data stays unacknowledged for this long.
    std::chrono::milliseconds tcp_user_timeout{5000};

    /// A control connection is closed when it has not been used for this long.
    std::chrono::seconds control_idle_timeout{60};

    /// Maximum size of the batch in one job_rows event. A single row may exceed `max_batch_bytes`.
    std::size_t max_batch_rows = 256;
    std::size_t max_batch_bytes = 65536;
    /// Maximum size of an answer that is stored for a write with an idempotency key. A write with a
    /// larger answer is rolled back and fails with SQLSTATE 54000.
    std::size_t max_stored_answer_bytes = 1U << 20U;
};

} // namespace lovagemoor::target
