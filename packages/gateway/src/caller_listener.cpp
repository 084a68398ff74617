#include <lovagemoor/gateway/caller_listener.hpp>

#include <lovagemoor/gateway/address.hpp>

#include <lovagemoor/core/overloaded.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::gateway {

namespace internal {

namespace {

/// Interval at which callers are asked again whose input had to wait.
constexpr std::chrono::milliseconds relief_interval{20};

/// Shortest interval between searches for a connection to close, as each visits all connections.
constexpr std::chrono::milliseconds room_search_interval{50};

/// Longest interval between checks for connections without progress.
constexpr std::chrono::milliseconds max_sweep_interval{1000};

/// Checks per shortest time limit: a connection is closed at most a quarter of it late.
constexpr int sweeps_per_timeout = 4;

/// A check that is later than this many intervals finds a process that did not run meanwhile, so
/// that the pauses are its own and not those of its callers.
constexpr int late_sweeps = 4;

core::time_point steady_now() {
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

std::chrono::milliseconds sweep_interval(const caller_limits& limits) {
    const std::chrono::milliseconds shortest =
        std::min({limits.start_timeout, limits.message_timeout, limits.answer_timeout});
    return std::clamp(shortest / sweeps_per_timeout, std::chrono::milliseconds{10},
                      max_sweep_interval);
}

/// Upper bound for what an answer adds to each row and to the whole.
constexpr std::size_t row_overhead_bytes = 16;
constexpr std::size_t answer_overhead_bytes = 512;

/// @return Size of the encoded rows and of what ends the answer.
std::size_t rows_bytes(const proxy::statement_result& result) {
    std::size_t bytes = answer_overhead_bytes;
    for (const std::string& row : result.rows) {
        bytes += row.size() + row_overhead_bytes;
    }
    return bytes;
}

proxy::statement_error error_of(caller_close_reason reason) {
    using kind = proxy::statement_error_kind;
    switch (reason) {
    case caller_close_reason::message_too_large:
        return {kind::too_large,
                "a message is longer than " + std::to_string(line_stream::max_line_bytes) +
                    " bytes",
                std::nullopt};
    case caller_close_reason::start_timeout:
    case caller_close_reason::message_timeout:
        return {kind::timeout, "the rest of a message did not arrive", std::nullopt};
    case caller_close_reason::transaction_expired:
        return {kind::aborted, "transaction idle for too long", std::nullopt};
    case caller_close_reason::answer_timeout:
    case caller_close_reason::out_of_memory:
    case caller_close_reason::too_many_connections:
        break;
    }
    return {kind::busy, "this host has no memory left for the session", std::nullopt};
}

} // namespace

} // namespace internal

const char* to_string(caller_close_reason reason) noexcept {
    switch (reason) {
    case caller_close_reason::too_many_connections:
        return "too_many_connections";
    case caller_close_reason::transaction_expired:
        return "transaction_expired";
    case caller_close_reason::start_timeout:
        return "start_timeout";
    case caller_close_reason::message_timeout:
        return "message_timeout";
    case caller_close_reason::answer_timeout:
        return "answer_timeout";
    case caller_close_reason::message_too_large:
        return "message_too_large";
    case caller_close_reason::out_of_memory:
        return "out_of_memory";
    }
    return "unknown";
}

caller_listener::caller_listener(boost::asio::io_context& context, const std::string& address,
                                 caller_limits limits, statement_codec codec, event_sink sink)
    : acceptor_{context, parse_endpoint(address)},
      retry_timer_{context},
      limits_{limits},
      codec_{std::move(codec)},
      sink_{std::move(sink)},
      budget_{limits.memory},
      relief_timer_{context},
      sweep_timer_{context},
      last_sweep_{std::chrono::steady_clock::now()} {
    accept();
    schedule_sweep();
}

void caller_listener::set_accounting(caller_accounting accounting) {
    accounting_ = std::move(accounting);
}

void caller_listener::accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                retry_accept();
                return;
            }
            if (make_room()) {
                add_session(std::move(socket));
            } else {
                report_closed(caller_close_reason::too_many_connections);
            }
            accept();
        });
}

void caller_listener::retry_accept() {
    retry_timer_.expires_after(accept_retry_pause);
    retry_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            accept();
        }
    });
}

void caller_listener::add_session(boost::asio::ip::tcp::socket socket) {
    configure_socket(socket);
    const proxy::session_id session = ++last_session_;
    const std::shared_ptr<line_stream> stream = std::make_shared<line_stream>(std::move(socket));
    callers_[session] = caller{stream, false};
    stream->pause_input_above_limit([this, session](bool above_limit) {
        sink_(proxy::session_output_changed{session, above_limit});
    });
    stream->set_input_gate({.may_read = [this, session] { return may_read(session); },
                            .on_received = [this](std::size_t bytes) { budget_.add(bytes); }});
    stream->set_too_large_handler(
        [this, session] { close_with(session, caller_close_reason::message_too_large); });
    stream->start(
        [this, session](std::string_view line) { on_line(session, line); },
        [this, session](stream_end reason) {
            callers_.erase(session);
            held_.erase(session);
            sink_(proxy::session_closed{session, reason == stream_end::timed_out
                                                     ? proxy::session_end::connection_timed_out
                                                     : proxy::session_end::connection_lost});
        });
}

void caller_listener::on_line(proxy::session_id session, std::string_view line) {
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    caller& sender = found->second;
    caller_message decoded = codec_.decode_caller_line(line);
    std::visit(core::overloaded{
                   [&](startup_message& start) {
                       if (std::exchange(sender.started, true)) {
                           reject(session, {proxy::statement_error_kind::malformed,
                                            "the session has begun", std::nullopt});
                           return;
                       }
                       sink_(proxy::session_opened{session, std::move(start.database),
                                                   std::move(start.key)});
                   },
                   [&](proxy::statement& statement) {
                       if (!sender.started) {
                           reject(session, {proxy::statement_error_kind::malformed,
                                            "the session has not begun", std::nullopt});
                           return;
                       }
                       sink_(proxy::statement_received{session, std::move(statement)});
                   },
                   [&](terminate_message& /*end*/) {
                       sender.stream->abort();
                       callers_.erase(session);
                       held_.erase(session);
                       sink_(proxy::session_closed{session, proxy::session_end::terminated});
                   },
                   [&](malformed_message& malformed) {
                       reject(session, {proxy::statement_error_kind::malformed, malformed.reason,
                                        std::nullopt});
                   },
               },
               decoded);
}

void caller_listener::reject(proxy::session_id session, const proxy::statement_error& error) {
    end_with_error(session, error, proxy::session_end::malformed);
    sink_(proxy::session_closed{session, proxy::session_end::malformed});
}

std::string& caller_listener::output_of(proxy::session_id session) {
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        discarded_.clear();
        return discarded_;
    }
    unflushed_.insert(session);
    return found->second.stream->output();
}

void caller_listener::perform(const proxy::accept_session& action) {
    codec_.encode_greeting(output_of(action.session));
}

void caller_listener::perform(const proxy::answer_statement& action) {
    std::string& output = output_of(action.session);
    const std::size_t before = output.size();
    const std::size_t rows = internal::rows_bytes(action.result);
    if (rows > line_stream::read_bytes) {
        // A buffer that doubles takes up to three times the size of a large answer.
        output.reserve(before + rows);
    }
    codec_.encode_result(action.result, output);
    budget_.add(output.size() - before);
}

void caller_listener::perform(const proxy::reject_session& action) {
    end_with_error(action.session, action.error, proxy::session_end::finished);
}

void caller_listener::end_with_error(proxy::session_id session, const proxy::statement_error& error,
                                     proxy::session_end reason) {
    codec_.encode_rejection(error, output_of(session));
    perform(proxy::close_session{session, reason});
}

void caller_listener::perform(const proxy::drain_session& action) {
    // Not from within this call, as the engine may be in the middle of an event.
    boost::asio::post(acceptor_.get_executor(), [this, action] {
        const auto found = callers_.find(action.session);
        const std::shared_ptr<line_stream> stream =
            found == callers_.end() ? nullptr : found->second.stream;
        sink_(proxy::session_drained{action.session, stream == nullptr || stream->drain()});
    });
}

void caller_listener::perform(const proxy::close_session& action) {
    const auto found = callers_.find(action.session);
    if (found != callers_.end()) {
        const std::shared_ptr<line_stream> stream = found->second.stream;
        callers_.erase(found);
        held_.erase(action.session);
        unflushed_.erase(action.session);
        std::erase_if(closing_, [](const auto& closing) {
            const std::shared_ptr<line_stream> known = closing.lock();
            return known == nullptr || !known->open();
        });
        closing_.push_back(stream);
        report_discarded_input(*stream, action.session, action.reason);
        stream->close();
    }
}

bool caller_listener::closing() const {
    return std::any_of(closing_.begin(), closing_.end(), [](const auto& closing) {
        const std::shared_ptr<line_stream> known = closing.lock();
        return known != nullptr && known->open();
    });
}

void caller_listener::flush() {
    for (const proxy::session_id session : std::exchange(unflushed_, {})) {
        const auto found = callers_.find(session);
        if (found != callers_.end()) {
            found->second.stream->flush();
        }
    }
    post_measurement();
}

void caller_listener::add_memory(std::size_t bytes) {
    budget_.add(bytes);
    post_measurement();
}

void caller_listener::post_measurement() {
    if (budget_.measurement_due() && !std::exchange(measurement_posted_, true)) {
        // Not from within this call, as the caller may be in the middle of an event.
        boost::asio::post(acceptor_.get_executor(), [this] {
            measurement_posted_ = false;
            update_memory();
        });
    }
}

proxy::session_memory caller_listener::memory_of(proxy::session_id session) const {
    return accounting_.memory_of ? accounting_.memory_of(session) : proxy::session_memory{};
}

std::size_t caller_listener::open_connections() {
    std::erase_if(closing_, [](const std::weak_ptr<line_stream>& closing) {
        const std::shared_ptr<line_stream> known = closing.lock();
        return known == nullptr || !known->open();
    });
    return callers_.size() + closing_.size();
}

bool caller_listener::make_room() {
    if (open_connections() < limits_.max_sessions) {
        return true;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (now - last_search_ < internal::room_search_interval) {
        return false;
    }
    last_search_ = now;
    std::optional<proxy::session_id> chosen;
    std::chrono::milliseconds longest{0};
    for (const auto& [session, holder] : callers_) {
        const std::chrono::milliseconds idle = holder.stream->usage().idle;
        if (idle >= longest && memory_of(session).transaction_expired) {
            longest = idle;
            chosen = session;
        }
    }
    if (!chosen.has_value()) {
        return false;
    }
    // The connection that is closed waits a moment for its caller, so that the limit may be
    // exceeded by one in the meantime.
    close_with(*chosen, caller_close_reason::transaction_expired);
    return true;
}

bool caller_listener::may_read(proxy::session_id session) {
    if (!budget_.limited()) {
        return true;
    }
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return true;
    }
    if (budget_.measurement_due()) {
        update_memory();
        if (!callers_.contains(session)) {
            return false;
        }
    }
    const proxy::session_memory held = memory_of(session);
    const stream_usage connection = found->second.stream->usage();
    const std::size_t bytes =
        held.waiting_bytes + held.kept_bytes + connection.input_bytes + connection.output_bytes;
    if (held.waiting_bytes + connection.input_bytes <= limits_.max_waiting_bytes &&
        budget_.may_read(bytes, line_stream::read_bytes, held.in_transaction)) {
        return true;
    }
    held_.insert(session);
    schedule_relief();
    return false;
}

void caller_listener::schedule_relief() {
    if (std::exchange(relief_scheduled_, true)) {
        return;
    }
    relief_timer_.expires_after(internal::relief_interval);
    relief_timer_.async_wait([this](const boost::system::error_code& error) {
        relief_scheduled_ = false;
        if (!error) {
            update_memory();
            resume_held();
        }
    });
}

void caller_listener::update_memory() {
    if (!budget_.limited()) {
        return;
    }
    std::size_t used = accounting_.shared_bytes ? accounting_.shared_bytes() : 0;
    std::vector<proxy::memory_consumer> consumers;
    consumers.reserve(callers_.size());
    for (const auto& [session, holder] : callers_) {
        const proxy::session_memory held = memory_of(session);
        const stream_usage connection = holder.stream->usage();
        const std::size_t bytes =
            held.waiting_bytes + held.kept_bytes + connection.input_bytes + connection.output_bytes;
        used += bytes;
        const bool unread = connection.output_pause >= limits_.memory.progress_time;
        consumers.push_back(
            {session, bytes, held.working && !unread, held.in_transaction, connection.idle});
    }
    std::size_t closing_bytes = 0;
    for (const std::weak_ptr<line_stream>& closing : closing_) {
        const std::shared_ptr<line_stream> stream = closing.lock();
        closing_bytes += stream == nullptr ? 0 : stream->usage().output_bytes;
    }
    const core::time_point now = internal::steady_now();
    budget_.measure(now, used + closing_bytes);
    for (const proxy::session_id session : budget_.choose_evicted(now, std::move(consumers))) {
        close_with(session, caller_close_reason::out_of_memory);
    }
}

void caller_listener::resume_held() {
    // Those that have to wait again are put back by may_read().
    for (const proxy::session_id session : std::exchange(held_, {})) {
        const auto found = callers_.find(session);
        if (found != callers_.end()) {
            const std::shared_ptr<line_stream> stream = found->second.stream;
            stream->resume_input();
        }
    }
}

void caller_listener::schedule_sweep() {
    sweep_timer_.expires_after(internal::sweep_interval(limits_));
    sweep_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            close_stalled();
            schedule_sweep();
        }
    });
}

std::optional<caller_close_reason> caller_listener::stalled(const caller& checked) const {
    const stream_usage connection = checked.stream->usage();
    if (connection.output_pause >= limits_.answer_timeout) {
        return caller_close_reason::answer_timeout;
    }
    if (!checked.started && !checked.stream->input_held() &&
        connection.idle >= limits_.start_timeout) {
        return caller_close_reason::start_timeout;
    }
    if (checked.started && connection.line_pause >= limits_.message_timeout) {
        return caller_close_reason::message_timeout;
    }
    return std::nullopt;
}

void caller_listener::close_stalled() {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const bool late = now - std::exchange(last_sweep_, now) >
                      internal::late_sweeps * internal::sweep_interval(limits_);
    std::vector<std::pair<proxy::session_id, caller_close_reason>> closed;
    for (const auto& [session, checked] : callers_) {
        if (late) {
            checked.stream->restart_pauses();
        } else if (const std::optional<caller_close_reason> reason = stalled(checked)) {
            closed.emplace_back(session, *reason);
        }
    }
    for (const auto& [session, reason] : closed) {
        close_with(session, reason);
    }
    for (const std::weak_ptr<line_stream>& closing : closing_) {
        const std::shared_ptr<line_stream> stream = closing.lock();
        if (stream != nullptr && stream->open() && !late &&
            stream->usage().output_pause >= limits_.answer_timeout) {
            stream->abort();
        }
    }
}

void caller_listener::close_with(proxy::session_id session, caller_close_reason reason) {
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    const std::shared_ptr<line_stream> stream = found->second.stream;
    if (stream->usage().output_bytes > 0 && reason != caller_close_reason::message_too_large) {
        // Its caller does not read, so that an error would only wait behind the rest.
        callers_.erase(found);
        held_.erase(session);
        unflushed_.erase(session);
        stream->abort();
    } else {
        end_with_error(session, internal::error_of(reason), proxy::session_end::caller_limit);
    }
    report_closed(reason);
    sink_(proxy::session_closed{session, proxy::session_end::caller_limit});
}

void caller_listener::report_closed(caller_close_reason reason) const {
    if (accounting_.on_closed) {
        accounting_.on_closed(reason);
    }
}

void caller_listener::report_discarded_input(line_stream& stream, proxy::session_id session,
                                             proxy::session_end reason) {
    stream.set_discard_handler([this, session, reason](const discarded_input& input) {
        report_discarded(session, reason, input);
    });
}

void caller_listener::report_discarded(proxy::session_id session, proxy::session_end reason,
                                       const discarded_input& input) const {
    if (!accounting_.on_discarded) {
        return;
    }
    discarded_statements discarded{session, reason, {}, 0, input.unread_bytes, input.since_close};
    std::string_view rest = input.bytes;
    for (std::size_t end = rest.find("\r\n"); end != std::string_view::npos;
         end = rest.find("\r\n")) {
        const caller_message message = codec_.decode_caller_line(rest.substr(0, end));
        if (const auto* const statement = std::get_if<proxy::statement>(&message)) {
            if (discarded.count++ == 0) {
                discarded.first_id = statement->id;
            }
        }
        rest.remove_prefix(end + 2);
    }
    if (discarded.count > 0 || discarded.unread_bytes > 0) {
        accounting_.on_discarded(discarded);
    }
}

} // namespace lovagemoor::gateway
