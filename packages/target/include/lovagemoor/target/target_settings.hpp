#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace lovagemoor::target {

/// @brief Settings of a host's connections to targets.
struct target_settings {
    /// Sent to targets as application_name.
    core::host_id host;
    std::string user = "lovagemoor";
    std::string database = "lovagemoor";
    /// Empty when the targets ask for none.
    std::string password;
    /// libpq's sslmode.
    std::string ssl_mode = "prefer";
    std::chrono::milliseconds connect_timeout{2000};

    /// TCP keep-alive finds idle connections to targets that have gone.
    std::chrono::seconds keepalive_idle{5};
    std::chrono::seconds keepalive_interval{1};
    int keepalive_count = 3;
    /// Connections whose sent data stays unacknowledged for this time are closed.
    std::chrono::milliseconds tcp_user_timeout{5000};

    /// A control connection that was not used for this time is closed.
    std::chrono::seconds control_idle_timeout{60};

    /// Limits of one job_rows event; a single row may exceed `max_batch_bytes`.
    std::size_t max_batch_rows = 256;
    std::size_t max_batch_bytes = 65536;
    /// A keyed write with a larger answer is rolled back and reported with SQLSTATE 54000.
    std::size_t max_stored_answer_bytes = 1U << 20U;
};

} // namespace lovagemoor::target
