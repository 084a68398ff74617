#include <lovagemoor/telemetry/logger.hpp>

#include <lovagemoor/telemetry/log_line.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <utility>

namespace lovagemoor::telemetry {

namespace internal {

namespace {

constexpr std::size_t max_queued_lines = 10'000;

std::atomic<std::uint64_t> dropped_line_count{0};
std::atomic<std::uint64_t> last_channel{0};

/// @brief Overflow strategy for Boost.Log's bounded queue. Drops the record and counts it.
class count_on_overflow {
public:
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) {
        ++dropped_line_count;
        return false;
    }

    static void on_queue_space_available() noexcept {}

    static void interrupt() noexcept {}
};

using backend = boost::log::sinks::text_ostream_backend;
using sink = boost::log::sinks::asynchronous_sink<
    backend, boost::log::sinks::bounded_fifo_queue<max_queued_lines, count_on_overflow>>;
using source = boost::log::sources::channel_logger_mt<std::uint64_t>;

/// @brief Makes a sink that accepts only the lines of one channel, because Boost.Log's core serves
/// all loggers of the process.
boost::shared_ptr<sink> make_sink(std::ostream& output, std::uint64_t channel) {
    const boost::shared_ptr<backend> target = boost::make_shared<backend>();
    target->add_stream(boost::shared_ptr<std::ostream>{&output, boost::null_deleter{}});
    target->auto_flush(true);
    boost::shared_ptr<sink> result = boost::make_shared<sink>(target);
    result->set_filter([channel](const boost::log::attribute_value_set& values) {
        return boost::log::extract_or_default<std::uint64_t>("Channel", values, 0) == channel;
    });
    result->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    return result;
}

} // namespace

} // namespace internal

class logger::implementation {
public:
    implementation(core::host_id host, core::log_event::level min_level, std::ostream& output)
        : host_{std::move(host)},
          min_level_{min_level},
          channel_{++internal::last_channel},
          sink_{internal::make_sink(output, channel_)},
          source_{boost::log::keywords::channel = channel_} {
        boost::log::core::get()->add_sink(sink_);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() {
        try {
            boost::log::core::get()->remove_sink(sink_);
            sink_->stop();
            sink_->flush();
        } catch (...) {
            // The output has failed, so the lines that are still queued cannot be written.
            ++internal::dropped_line_count;
        }
    }

    void perform(const core::log_event& event) {
        if (event.severity < min_level_) {
            return;
        }
        boost::log::record record = source_.open_record();
        if (record) {
            boost::log::record_ostream stream{record};
            stream << format_log_line(event, host_, std::chrono::system_clock::now());
            stream.flush();
            source_.push_record(std::move(record));
        }
    }

    void flush() { sink_->flush(); }

private:
    const core::host_id host_;
    const core::log_event::level min_level_;
    const std::uint64_t channel_;
    const boost::shared_ptr<internal::sink> sink_;
    internal::source source_;
};

logger::logger(core::host_id host, core::log_event::level min_level)
    : logger{std::move(host), min_level, std::cerr} {}

logger::logger(core::host_id host, core::log_event::level min_level, std::ostream& output)
    : implementation_{std::make_unique<implementation>(std::move(host), min_level, output)} {}

logger::~logger() = default;

void logger::perform(const core::log_event& event) {
    implementation_->perform(event);
}

void logger::flush() {
    implementation_->flush();
}

std::uint64_t logger::dropped_lines() noexcept {
    return internal::dropped_line_count.load();
}

} // namespace lovagemoor::telemetry
