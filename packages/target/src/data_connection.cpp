#include "data_connection.hpp"

#include <utility>

namespace lovagemoor::target::internal {

data_connection::data_connection(const target_settings& settings,
                                 const core::open_connection& action,
                                 const std::function<void(core::event)>& sink, time_point now)
    : settings_(settings),
      sink_(sink),
      id_(action.connection),
      target_(action.target.id),
      connection_(settings, action.target.address, action.target.port),
      deadline_(now + settings.connect_timeout) {
    if (connection_.socket() < 0) {
        report_closed(false);
    }
}

void data_connection::report_closed(bool capacity) {
    is_closed_ = true;
    sink_(core::connection_closed{id_, target_, capacity});
}

void data_connection::run(core::run_job job) {
    // Reading from the socket first detects that the target has closed the connection, so that the
    // job is reported as not sent.
    if (!is_open_ || job_ || !connection_.transfer()) {
        is_closed_ = is_closed_ || (is_open_ && !job_);
        sink_(core::job_finished{job.connection, job.job, core::job_connection_lost{false}});
        return;
    }
    job_.emplace(connection_, settings_, std::move(job), sink_);
    job_->start();
    process_job();
}

void data_connection::process_job() {
    if (!job_->process()) {
        return;
    }
    if (job_->is_connection_lost()) {
        close_after_job();
    }
    job_.reset();
}

void data_connection::close_after_job() {
    is_closed_ = true;
    if (!job_->has_reported_loss()) {
        report_closed(false);
    }
}

void data_connection::handle_ready() {
    if (!is_open_) {
        const open_progress progress = connection_.continue_opening();
        if (progress == open_progress::failed) {
            report_closed(connection_.refused_for_capacity());
        } else if (progress == open_progress::open) {
            is_open_ = true;
            sink_(core::connection_opened{id_, target_});
        }
        return;
    }
    const bool is_connected = connection_.transfer();
    if (job_) {
        process_job();
    }
    if (is_connected || is_closed_) {
        return;
    }
    if (job_) {
        job_->end_with_lost_connection();
        close_after_job();
        job_.reset();
    } else {
        report_closed(false);
    }
}

void data_connection::expire(time_point now) {
    if (!is_open_ && deadline_ <= now) {
        report_closed(false);
    }
}

} // namespace lovagemoor::target::internal
