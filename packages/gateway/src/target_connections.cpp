#include <lovagemoor/gateway/target_connections.hpp>

#include <lovagemoor/gateway/address.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagemoor::gateway {

namespace internal {

namespace {

proxy::target_close_reason close_reason(const proxy::statement_error& error) noexcept {
    switch (error.kind) {
    case proxy::statement_error_kind::connection_limit:
        return proxy::target_close_reason::connection_limit;
    case proxy::statement_error_kind::wrong_target:
        return proxy::target_close_reason::wrong_target;
    default:
        return proxy::target_close_reason::refused;
    }
}

} // namespace

} // namespace internal

target_connections::target_connections(boost::asio::io_context& context, std::string host,
                                       statement_codec codec, event_sink sink, answer_limits limits)
    : context_{context},
      host_{std::move(host)},
      codec_{std::move(codec)},
      sink_{std::move(sink)},
      limits_{limits} {}

void target_connections::perform(const proxy::open_target& action) {
    connection& opened = connections_[action.connection];
    opened.socket = std::make_shared<boost::asio::ip::tcp::socket>(context_);
    start_timeout(action.connection, action.connect_timeout);
    boost::asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = parse_endpoint(action.address);
    } catch (const boost::system::system_error&) {
        // Reported as if the target had refused, but not from within this call.
        boost::asio::post(context_, [this, id = action.connection] {
            if (connections_.contains(id)) {
                close_and_report(id, proxy::target_close_reason::refused);
            }
        });
        return;
    }
    opened.socket->async_connect(
        endpoint, [this, action, socket = opened.socket](const boost::system::error_code& error) {
            if (!connections_.contains(action.connection)) {
                return;
            }
            if (error) {
                close_and_report(action.connection, proxy::target_close_reason::refused);
                return;
            }
            on_connected(action);
        });
}

void target_connections::start_timeout(core::connection_id id, std::chrono::milliseconds timeout) {
    connection& opened = connections_.at(id);
    opened.timer = std::make_shared<boost::asio::steady_timer>(context_, timeout);
    opened.timer->async_wait([this, id](const boost::system::error_code& error) {
        const auto found = connections_.find(id);
        if (!error && found != connections_.end() && !found->second.started) {
            close_and_report(id, proxy::target_close_reason::timed_out);
        }
    });
}

void target_connections::on_connected(const proxy::open_target& request) {
    const core::connection_id id = request.connection;
    connection& opened = connections_.at(id);
    configure_socket(*opened.socket);
    opened.stream = std::make_shared<line_stream>(std::move(*opened.socket));
    opened.socket.reset();
    start_timeout(id, request.greeting_timeout);
    opened.stream->start([this, id](std::string_view line) { on_line(id, line); },
                         [this, id](stream_end /*reason*/) {
                             close_and_report(id, proxy::target_close_reason::closed);
                         });
    codec_.encode_startup(request, host_, opened.stream->output());
    opened.stream->flush();
}

void target_connections::on_line(core::connection_id id, std::string_view line) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    connection& source = found->second;
    switch (codec_.decode_target_line(line, source.assembly)) {
    case reply_progress::incomplete:
        add_row(source, line.size());
        if (!source.started && source.assembly.reply.result.error.has_value()) {
            close_and_report(id, internal::close_reason(*source.assembly.reply.result.error));
        }
        return;
    case reply_progress::malformed:
        close_and_report(id, proxy::target_close_reason::malformed);
        return;
    case reply_progress::complete:
        break;
    }
    if (source.started && !source.assembly.has_result) {
        close_and_report(id, proxy::target_close_reason::malformed);
        return;
    }
    answer_bytes_ -= std::exchange(source.answer_bytes, 0);
    proxy::target_reply reply = std::exchange(source.assembly, {}).reply;
    if (std::exchange(source.too_large, false)) {
        reply.result.rows.clear();
        if (!reply.result.error.has_value()) {
            reply.result.error =
                proxy::statement_error{proxy::statement_error_kind::too_large,
                                       "the answer is too large for this host", std::nullopt};
        }
    }
    if (!source.started) {
        on_started(id, reply.result);
        return;
    }
    sink_(proxy::target_replied{id, std::move(reply)});
}

void target_connections::set_row_observer(std::function<void(std::size_t)> on_rows) {
    on_rows_ = std::move(on_rows);
}

std::size_t target_connections::required_bytes() const {
    constexpr std::size_t copies = 2;
    std::size_t largest = 0;
    for (const auto& [id, source] : connections_) {
        largest = std::max(largest, source.answer_bytes);
    }
    return answer_bytes_ + copies * largest;
}

void target_connections::add_row(connection& source, std::size_t bytes) {
    if (source.too_large) {
        source.assembly.reply.result.rows.clear();
        return;
    }
    const std::size_t held = sizeof(std::string) + bytes;
    source.answer_bytes += held;
    answer_bytes_ += held;
    if (on_rows_) {
        on_rows_(held);
    }
    if (source.answer_bytes > limits_.answer_bytes) {
        drop_rows(source);
    } else if (limits_.total_bytes > 0 && answer_bytes_ > limits_.total_bytes) {
        const auto largest = std::max_element(
            connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
                return left.second.answer_bytes < right.second.answer_bytes;
            });
        drop_rows(largest->second);
    }
}

void target_connections::drop_rows(connection& source) {
    source.too_large = true;
    // An assignment would keep the capacity.
    std::vector<std::string>{}.swap(source.assembly.reply.result.rows);
    answer_bytes_ -= std::exchange(source.answer_bytes, 0);
}

void target_connections::on_started(core::connection_id id, const proxy::statement_result& result) {
    connection& opened = connections_.at(id);
    opened.started = true;
    opened.timer->cancel();
    opened.timer.reset();
    sink_(proxy::target_connected{id, result.position});
}

void target_connections::perform(const proxy::send_commands& action) {
    const auto found = connections_.find(action.connection);
    if (found == connections_.end() || found->second.stream == nullptr) {
        return;
    }
    for (const proxy::target_command& command : action.commands) {
        codec_.encode_command(command, found->second.stream->output());
    }
    unflushed_.insert(action.connection);
}

void target_connections::perform(const proxy::close_target& action) {
    const auto found = connections_.find(action.connection);
    if (found == connections_.end()) {
        return;
    }
    if (found->second.stream != nullptr) {
        found->second.stream->abort();
    } else if (found->second.socket != nullptr) {
        boost::system::error_code ignored;
        found->second.socket->close(ignored);
    }
    if (found->second.timer != nullptr) {
        found->second.timer->cancel();
    }
    answer_bytes_ -= found->second.answer_bytes;
    connections_.erase(found);
}

void target_connections::close_and_report(core::connection_id id,
                                          proxy::target_close_reason reason) {
    perform(proxy::close_target{id});
    sink_(proxy::target_disconnected{id, reason});
}

void target_connections::flush() {
    for (const core::connection_id id : std::exchange(unflushed_, {})) {
        const auto found = connections_.find(id);
        if (found != connections_.end()) {
            found->second.stream->flush();
        }
    }
}

} // namespace lovagemoor::gateway
