#include <lovagemoor/gateway/caller_listener.hpp>

#include <lovagemoor/gateway/address.hpp>

#include <lovagemoor/core/overloaded.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::gateway {

caller_listener::caller_listener(boost::asio::io_context& context, const std::string& address,
                                 std::size_t max_sessions, statement_codec codec, event_sink sink)
    : acceptor_{context, parse_endpoint(address)},
      retry_timer_{context},
      max_sessions_{max_sessions},
      codec_{std::move(codec)},
      sink_{std::move(sink)} {
    accept();
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
            if (callers_.size() < max_sessions_) {
                add_session(std::move(socket));
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
    stream->start([this, session](std::string_view line) { on_line(session, line); },
                  [this, session](stream_end /*reason*/) {
                      callers_.erase(session);
                      sink_(proxy::session_closed{session});
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
                       sink_(proxy::session_closed{session});
                   },
                   [&](malformed_message& malformed) {
                       reject(session, {proxy::statement_error_kind::malformed, malformed.reason,
                                        std::nullopt});
                   },
               },
               decoded);
}

void caller_listener::reject(proxy::session_id session, proxy::statement_error error) {
    perform(proxy::reject_session{session, std::move(error)});
    sink_(proxy::session_closed{session});
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
    codec_.encode_result(action.result, output_of(action.session));
}

void caller_listener::perform(const proxy::reject_session& action) {
    codec_.encode_rejection(action.error, output_of(action.session));
    perform(proxy::close_session{action.session});
}

void caller_listener::perform(const proxy::close_session& action) {
    const auto found = callers_.find(action.session);
    if (found != callers_.end()) {
        const std::shared_ptr<line_stream> stream = found->second.stream;
        callers_.erase(found);
        unflushed_.erase(action.session);
        std::erase_if(closing_, [](const auto& closing) {
            const std::shared_ptr<line_stream> known = closing.lock();
            return known == nullptr || !known->open();
        });
        closing_.push_back(stream);
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
}

} // namespace lovagemoor::gateway
