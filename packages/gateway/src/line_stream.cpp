#include <lovagemoor/gateway/line_stream.hpp>

#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lovagemoor::gateway {

namespace internal {

namespace {

/// Keep-alive settings that detect an unreachable peer within about three seconds.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_count = 2;
/// Time after which a connection whose sent bytes are not acknowledged is closed.
constexpr unsigned user_timeout_ms = 2500;

/// @brief Empties a buffer and frees its memory, which an assignment would keep.
void release(std::string& buffer) {
    std::string{}.swap(buffer);
}

/// @return The time since then in whole milliseconds.
std::chrono::milliseconds elapsed_since(std::chrono::steady_clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 then);
}

} // namespace

} // namespace internal

void configure_socket(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &internal::keepalive_idle_seconds, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &internal::keepalive_interval_seconds,
                 sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &internal::keepalive_count, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &internal::user_timeout_ms,
                 sizeof(unsigned));
}

line_stream::line_stream(boost::asio::ip::tcp::socket socket) : socket_{std::move(socket)} {
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
}

void line_stream::start(line_handler on_line, end_handler on_end) {
    on_line_ = std::move(on_line);
    on_end_ = std::move(on_end);
    wait_readable();
}

void line_stream::pause_input_above_limit(output_handler on_output_changed) {
    on_output_changed_ = std::move(on_output_changed);
}

void line_stream::set_input_gate(input_gate gate) {
    gate_ = std::move(gate);
}

void line_stream::set_too_large_handler(std::function<void()> on_too_large) {
    on_too_large_ = std::move(on_too_large);
}

void line_stream::set_discard_handler(std::function<void(const discarded_input&)> on_discarded) {
    on_discarded_ = std::move(on_discarded);
}

stream_usage line_stream::usage() const {
    stream_usage result;
    result.input_bytes = input_.size();
    result.output_bytes = output_.size();
    const std::chrono::milliseconds since_input = internal::elapsed_since(received_at_);
    const std::chrono::milliseconds since_output = internal::elapsed_since(sent_at_);
    if (!input_.empty() && !input_paused_ && !input_held_ && !awaits_turn_) {
        result.line_pause = since_input;
    }
    if (unsent_bytes() > 0) {
        result.output_pause = since_output;
    }
    result.idle = std::min(since_input, since_output);
    return result;
}

void line_stream::restart_pauses() {
    received_at_ = clock::now();
    sent_at_ = received_at_;
}

void line_stream::wait_readable() {
    if (std::exchange(reading_, true)) {
        return;
    }
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                           self->reading_ = false;
                           if (!error && !self->ended_) {
                               self->read_available();
                           }
                       });
}

void line_stream::read_available() {
    if (!closing_ && gate_.may_read && !gate_.may_read() && !closing_) {
        input_held_ = !ended_;
        return;
    }
    // One read at a time: a peer that sends faster than its lines are processed would otherwise
    // keep all others waiting.
    if (receive() != receipt::stopped) {
        wait_readable();
    }
}

line_stream::receipt line_stream::receive() {
    static thread_local std::array<char, read_bytes> buffer;
    boost::system::error_code error;
    const std::size_t received = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
        return receipt::nothing;
    }
    if (error) {
        close_and_report(error == boost::asio::error::timed_out ? stream_end::timed_out
                                                                : stream_end::closed);
        return receipt::stopped;
    }
    received_at_ = clock::now();
    if (!closing_ && gate_.on_received) {
        gate_.on_received(received);
    }
    return process_input(std::string_view{buffer.data(), received}) ? receipt::delivered
                                                                    : receipt::stopped;
}

bool line_stream::drain() {
    if (ended_ || closing_) {
        return true;
    }
    input_paused_ = input_paused_ && must_pause();
    if (awaits_turn_ || input_paused_ || unsent_bytes() > 0 || !process_input({})) {
        return false;
    }
    return receive() == receipt::nothing;
}

void line_stream::resume_input() {
    if (!input_held_ || ended_) {
        return;
    }
    input_held_ = false;
    received_at_ = clock::now();
    continue_input();
}

bool line_stream::process_input(std::string_view received) {
    if (closing_) {
        if (on_discarded_ && !received.empty()) {
            on_discarded_({received, 0, internal::elapsed_since(closed_at_)});
        }
        return !ended_;
    }
    // Lines are only copied if they are not complete.
    const bool direct = input_.empty();
    if (!direct) {
        input_ += received;
    }
    const std::string_view pending = direct ? received : std::string_view{input_};
    delivering_ = true;
    const std::size_t delivered = deliver_lines(pending, direct ? 0 : scanned_);
    delivering_ = false;
    if (ended_ || closing_) {
        if (closing_) {
            report_discarded(pending.substr(delivered));
        }
        discard_input();
        return !ended_;
    }
    if (direct) {
        input_ = pending.substr(delivered);
    } else {
        input_.erase(0, delivered);
    }
    if (input_.empty() && input_.capacity() > read_bytes) {
        internal::release(input_);
    }
    if (awaits_turn_ || input_paused_) {
        return false;
    }
    scanned_ = input_.size();
    if (input_.size() > max_line_bytes) {
        report_too_large();
        return !ended_;
    }
    return true;
}

std::size_t line_stream::deliver_lines(std::string_view bytes, std::size_t scanned) {
    std::size_t start = 0;
    std::size_t search = scanned;
    std::size_t lines = 0;
    // A line feed without a carriage return before it is part of a field.
    for (std::size_t end = bytes.find('\n', search); end != std::string_view::npos;
         end = bytes.find('\n', search)) {
        search = end + 1;
        if (end == start || bytes[end - 1] != '\r') {
            continue;
        }
        if (must_pause()) {
            input_paused_ = true;
            break;
        }
        if (lines == lines_per_turn) {
            awaits_turn_ = true;
            boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
                if (const std::shared_ptr<line_stream> self = weak.lock()) {
                    self->awaits_turn_ = false;
                    self->continue_input();
                }
            });
            break;
        }
        const std::string_view line = bytes.substr(start, end - start);
        if (line.size() > max_line_bytes) {
            report_too_large();
            break;
        }
        ++lines;
        start = end + 1;
        on_line_(line.substr(0, line.size() - 1));
        if (ended_ || closing_) {
            break;
        }
    }
    if (!ended_ && must_pause()) {
        input_paused_ = true;
    }
    // If a complete line is left, the search begins at its start again.
    scanned_ = 0;
    return start;
}

void line_stream::continue_input() {
    if (ended_ || closing_ || input_paused_ || awaits_turn_ || input_held_) {
        if (closing_ && !ended_) {
            wait_readable();
        }
        return;
    }
    if (process_input({})) {
        read_available();
    }
}

void line_stream::report_too_large() {
    if (!on_too_large_) {
        close_and_report(stream_end::too_large);
        return;
    }
    on_too_large_();
    if (!closing_ && !ended_) {
        close();
    }
}

void line_stream::report_discarded(std::string_view held) {
    if (!on_discarded_) {
        return;
    }
    boost::system::error_code ignored;
    const std::size_t unread = socket_.available(ignored);
    if (!held.empty() || unread > 0) {
        on_discarded_({held, unread, std::nullopt});
    }
}

void line_stream::discard_input() {
    if (!delivering_) {
        internal::release(input_);
        scanned_ = 0;
    }
}

void line_stream::flush() {
    if (ended_ || failed_) {
        return;
    }
    if (writing_) {
        post_update();
        return;
    }
    while (unsent_bytes() > 0) {
        boost::system::error_code error;
        const std::size_t written =
            socket_.write_some(boost::asio::buffer(output_.data() + sent_, unsent_bytes()), error);
        sent_ += written;
        if (written > 0) {
            sent_at_ = clock::now();
        }
        if (error == boost::asio::error::would_block) {
            break;
        }
        if (error) {
            discard_output();
            return;
        }
    }
    // To move the rest after each write would take quadratic time for a large answer.
    if (sent_ >= output_.size() / 2) {
        output_.erase(0, sent_);
        sent_ = 0;
    }
    if (!output_.empty()) {
        wait_writable();
    } else if (closing_) {
        linger();
    } else if (output_.capacity() > read_bytes) {
        output_.shrink_to_fit();
    }
    post_update();
}

void line_stream::discard_output() {
    failed_ = true;
    internal::release(output_);
    sent_ = 0;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    // The pending read, or the posted update, fails and reports the end. Calling the end handler
    // here would re-enter the function that called flush().
    post_update();
}

void line_stream::post_update() {
    const bool above_limit = on_output_changed_ && unsent_bytes() > max_unsent_bytes;
    const bool outdated = above_limit != above_limit_ || (input_paused_ && !must_pause());
    if (!outdated || update_posted_) {
        return;
    }
    update_posted_ = true;
    boost::asio::post(socket_.get_executor(), [weak = weak_from_this()] {
        if (const std::shared_ptr<line_stream> self = weak.lock()) {
            self->update_posted_ = false;
            self->update_input();
        }
    });
}

void line_stream::update_input() {
    if (ended_) {
        return;
    }
    if (input_paused_ && failed_) {
        close_and_report(stream_end::closed);
        return;
    }
    const bool above_limit = on_output_changed_ && unsent_bytes() > max_unsent_bytes;
    if (above_limit != above_limit_ && !closing_) {
        above_limit_ = above_limit;
        on_output_changed_(above_limit);
    }
    if (ended_ || !input_paused_ || must_pause()) {
        return;
    }
    input_paused_ = false;
    received_at_ = clock::now();
    continue_input();
}

bool line_stream::must_pause() const {
    return on_output_changed_ && !closing_ && !failed_ && unsent_bytes() > max_unsent_bytes;
}

void line_stream::wait_writable() {
    if (!on_output_changed_ && unsent_bytes() > max_unsent_bytes) {
        discard_output();
        return;
    }
    writing_ = true;
    sent_at_ = clock::now();
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                           self->writing_ = false;
                           if (!error && !self->ended_) {
                               self->flush();
                           }
                       });
}

void line_stream::close() {
    closing_ = true;
    closed_at_ = clock::now();
    if (!delivering_) {
        report_discarded(input_);
    }
    discard_input();
    flush();
    if ((input_paused_ || input_held_) && !ended_ && !delivering_) {
        // What the peer still sends must be read, so that its connection is not reset.
        input_paused_ = false;
        input_held_ = false;
        wait_readable();
    }
}

void line_stream::linger() {
    if (linger_timer_.has_value()) {
        return;
    }
    boost::system::error_code error;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        abort();
        return;
    }
    linger_timer_.emplace(socket_.get_executor(), linger_time);
    linger_timer_->async_wait(
        [weak = weak_from_this()](const boost::system::error_code& /*reason*/) {
            const std::shared_ptr<line_stream> self = weak.lock();
            if (self != nullptr && !self->ended_) {
                self->abort();
            }
        });
}

void line_stream::abort() {
    ended_ = true;
    discard_input();
    linger_timer_.reset();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void line_stream::close_and_report(stream_end reason) {
    if (ended_) {
        return;
    }
    abort();
    if (!closing_) {
        on_end_(reason);
    }
}

} // namespace lovagemoor::gateway
