#include "connection_lending.hpp"

#include <lovagemoor/core/overloaded.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace lovagemoor {

namespace internal {

namespace {

/// Time from receipt after which a holder no longer sends commands to the target. The engine sends
/// commands over connections that it has been lent, so that they only wait while a process hangs.
constexpr std::chrono::milliseconds commands_deadline{1000};

/// Size of the commands or rows after which another frame begins. A single one may have 1 MiB,
/// which the limit on a frame allows. Small enough that many answers can be on their way within the
/// limit on a channel's output.
constexpr std::size_t max_batch_bytes = std::size_t{256} << 10U;

/// @return The time of a clock that also advances while the machine is suspended.
core::time_point lending_now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

void write(const std::optional<proxy::replication_position>& position,
           link::v1::Position* (*field)(void*), void* message) {
    if (position.has_value()) {
        link::v1::Position& written = *field(message);
        written.set_term(position->term);
        written.set_index(position->index);
    }
}

proxy::replication_position read(const link::v1::Position& position) {
    return {position.term(), position.index()};
}

void write(const proxy::target_command& command, link::v1::Command& message) {
    message.set_kind(static_cast<std::uint32_t>(command.kind));
    message.set_id(command.id);
    message.set_name(command.name);
    message.set_argument(command.argument);
    write(
        command.required_position,
        [](void* to) { return static_cast<link::v1::Command*>(to)->mutable_required_position(); },
        &message);
    message.set_term(command.term);
}

/// @return Empty if a newer version of the borrower sent a kind that this one does not know.
std::optional<proxy::target_command> read(const link::v1::Command& message) {
    if (message.kind() > static_cast<std::uint32_t>(proxy::command_kind::step_down)) {
        return std::nullopt;
    }
    proxy::target_command command;
    command.kind = static_cast<proxy::command_kind>(message.kind());
    command.id = message.id();
    command.name = message.name();
    command.argument = message.argument();
    if (message.has_required_position()) {
        command.required_position = read(message.required_position());
    }
    command.term = message.term();
    return command;
}

/// @brief Writes everything but the rows.
void write(const proxy::target_reply& reply, link::v1::Reply& message) {
    const proxy::statement_result& result = reply.result;
    message.set_signature(result.signature);
    message.set_state(static_cast<std::uint32_t>(result.state));
    write(
        result.position,
        [](void* to) { return static_cast<link::v1::Reply*>(to)->mutable_position(); }, &message);
    if (result.error.has_value()) {
        message.set_has_error(true);
        message.set_error_kind(static_cast<std::uint32_t>(result.error->kind));
        message.set_error_text(result.error->text);
        message.set_has_retry_after(result.error->retry_after.has_value());
        message.set_retry_after_ms(static_cast<std::uint64_t>(
            result.error->retry_after.value_or(std::chrono::milliseconds{0}).count()));
    }
    if (reply.status.has_value()) {
        link::v1::Status& status = *message.mutable_status();
        status.set_primary(reply.status->primary);
        status.mutable_received()->set_term(reply.status->received.term);
        status.mutable_received()->set_index(reply.status->received.index);
        status.set_term_held(reply.status->term_held);
        status.set_lag_ms(static_cast<std::uint64_t>(reply.status->lag.count()));
        status.set_term(reply.status->term);
    }
}

proxy::target_reply read(const link::v1::Reply& message) {
    proxy::target_reply reply;
    proxy::statement_result& result = reply.result;
    result.signature = message.signature();
    // An unknown state must not pass for that of a free connection.
    result.state = static_cast<proxy::session_state>(std::min(
        message.state(), static_cast<std::uint32_t>(proxy::session_state::failed_transaction)));
    if (message.has_position()) {
        result.position = read(message.position());
    }
    if (message.has_error()) {
        proxy::statement_error& error = result.error.emplace();
        error.kind = static_cast<proxy::statement_error_kind>(std::min(
            message.error_kind(), static_cast<std::uint32_t>(proxy::statement_error_kind::other)));
        error.text = message.error_text();
        if (message.has_retry_after()) {
            error.retry_after = std::chrono::milliseconds{message.retry_after_ms()};
        }
    }
    if (message.has_status()) {
        proxy::target_status& status = reply.status.emplace();
        status.primary = message.status().primary();
        status.received = read(message.status().received());
        status.term_held = message.status().term_held();
        status.lag = std::chrono::milliseconds{message.status().lag_ms()};
        status.term = message.status().term();
    }
    return reply;
}

link::v1::LoanEnd encode(proxy::loan_end reason) {
    switch (reason) {
    case proxy::loan_end::busy:
        return link::v1::LOAN_END_BUSY;
    case proxy::loan_end::stopping:
        return link::v1::LOAN_END_STOPPING;
    case proxy::loan_end::target_refused:
        return link::v1::LOAN_END_TARGET_REFUSED;
    case proxy::loan_end::target_timed_out:
        return link::v1::LOAN_END_TARGET_TIMED_OUT;
    case proxy::loan_end::connection_limit:
        return link::v1::LOAN_END_CONNECTION_LIMIT;
    case proxy::loan_end::wrong_target:
        return link::v1::LOAN_END_WRONG_TARGET;
    case proxy::loan_end::connection_closed:
        return link::v1::LOAN_END_CONNECTION_CLOSED;
    case proxy::loan_end::malformed:
        return link::v1::LOAN_END_MALFORMED;
    case proxy::loan_end::expired:
        return link::v1::LOAN_END_EXPIRED;
    }
    return link::v1::LOAN_END_UNSPECIFIED;
}

proxy::target_close_reason decode(link::v1::LoanEnd reason) {
    switch (reason) {
    case link::v1::LOAN_END_BUSY:
        return proxy::target_close_reason::holder_busy;
    case link::v1::LOAN_END_STOPPING:
        return proxy::target_close_reason::holder_stopping;
    case link::v1::LOAN_END_TARGET_REFUSED:
        return proxy::target_close_reason::refused;
    case link::v1::LOAN_END_TARGET_TIMED_OUT:
        return proxy::target_close_reason::timed_out;
    case link::v1::LOAN_END_CONNECTION_LIMIT:
        return proxy::target_close_reason::connection_limit;
    case link::v1::LOAN_END_WRONG_TARGET:
        return proxy::target_close_reason::wrong_target;
    case link::v1::LOAN_END_CONNECTION_CLOSED:
        return proxy::target_close_reason::closed;
    case link::v1::LOAN_END_MALFORMED:
        return proxy::target_close_reason::malformed;
    default:
        return proxy::target_close_reason::holder_lost;
    }
}

} // namespace

} // namespace internal

connection_lending::connection_lending(boost::asio::io_context& context, core::host_id self,
                                       link_router& router, gateway::target_connections& targets,
                                       std::function<void(const proxy::event&)> engine_events,
                                       std::function<void(const proxy::action&)> telemetry)
    : context_{context},
      self_{std::move(self)},
      router_{router},
      targets_{targets},
      engine_events_{std::move(engine_events)},
      telemetry_{std::move(telemetry)} {
    using body = link::frame::BodyCase;
    const auto handle = [this](body kind, void (connection_lending::*handler)(link::channel_id,
                                                                              const link::frame&)) {
        router_.on_frame(kind,
                         [this, handler](link::channel_id channel, const link::frame& message) {
                             (this->*handler)(channel, message);
                         });
    };
    handle(body::kBorrowConnection, &connection_lending::on_borrow);
    handle(body::kLoanCommands, &connection_lending::on_commands);
    handle(body::kReturnLoan, &connection_lending::on_return);
    handle(body::kConnectionLent, &connection_lending::on_lent);
    handle(body::kLoanReplies, &connection_lending::on_replies);
    handle(body::kLoanEnded, &connection_lending::on_ended);
    router_.on_closed([this](link::channel_id channel) { on_channel_closed(channel); });
}

void connection_lending::perform(const proxy::open_target& action) {
    loan& added = loans_[action.connection];
    if (action.holder == self_) {
        lend(proxy::loan_requested{{0, action.connection},
                                   action.target,
                                   action.service,
                                   action.address,
                                   action.organisation,
                                   action.any_organisation,
                                   action.connection_limit,
                                   action.slots,
                                   action.wait,
                                   action.priority});
        return;
    }
    added.channel = router_.channel_to(*action.holder);
    if (added.channel == 0) {
        loans_.erase(action.connection);
        post(
            proxy::target_disconnected{action.connection, proxy::target_close_reason::holder_lost});
        return;
    }
    link::frame message;
    link::v1::BorrowConnection& request = *message.mutable_borrow_connection();
    request.set_loan(action.connection);
    request.set_target(action.target.value);
    request.set_service(action.service.value);
    request.set_address(action.address);
    request.set_organisation(action.organisation.value);
    request.set_any_organisation(action.any_organisation);
    request.set_connection_limit(action.connection_limit);
    request.set_slots(action.slots);
    request.set_wait_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, action.wait.count())));
    request.set_priority(action.priority);
    router_.send(added.channel, message);
    expect(added, 1);
}

void connection_lending::perform(const proxy::send_commands& action) {
    const auto found = loans_.find(action.connection);
    if (found == loans_.end()) {
        return;
    }
    found->second.used = true;
    if (found->second.channel == 0) {
        lend(proxy::loan_commands_received{
            {0, action.connection}, action.commands, internal::commands_deadline});
        return;
    }
    link::frame message;
    std::size_t size = 0;
    for (const proxy::target_command& command : action.commands) {
        const std::size_t added = command.id.size() + command.name.size() + command.argument.size();
        if (size > 0 && size + added > internal::max_batch_bytes) {
            router_.send(found->second.channel, message);
            message.Clear();
            size = 0;
        }
        size += added;
        link::v1::LoanCommands& commands = *message.mutable_loan_commands();
        commands.set_loan(action.connection);
        commands.set_deadline_ms(static_cast<std::uint32_t>(internal::commands_deadline.count()));
        internal::write(command, *commands.add_commands());
    }
    router_.send(found->second.channel, message);
    expect(found->second, static_cast<int>(action.commands.size()));
}

void connection_lending::perform(const proxy::close_target& action) {
    const auto found = loans_.find(action.connection);
    if (found != loans_.end()) {
        // A connection over which nothing was sent need not be closed, for example if the request
        // that waited for it has ended.
        give_back(action.connection, found->second.used);
    }
}

void connection_lending::perform(const proxy::return_target& action) {
    give_back(action.connection, false);
}

void connection_lending::give_back(core::connection_id connection, bool broken) {
    const auto found = loans_.find(connection);
    if (found == loans_.end()) {
        return;
    }
    loan ended = std::move(found->second);
    loans_.erase(found);
    if (ended.channel == 0) {
        lend(proxy::loan_returned{{0, connection}, broken});
        return;
    }
    link::frame message;
    message.mutable_return_loan()->set_loan(connection);
    message.mutable_return_loan()->set_broken(broken);
    router_.send(ended.channel, message);
    expect(ended, -ended.expected);
}

void connection_lending::expect(loan& changed, int change) {
    changed.expected += change;
    if (changed.channel != 0 && change != 0) {
        router_.change_expected_answers(changed.channel, change);
    }
}

void connection_lending::post(proxy::event input) {
    boost::asio::post(context_, [this, input = std::move(input)] { engine_events_(input); });
}

bool connection_lending::concerns_lender(const proxy::event& input) {
    const auto lent = [](core::connection_id id) {
        return (id & proxy::connection_lender::id_flag) != 0;
    };
    return std::visit(
        core::overloaded{
            [&](const proxy::target_connected& value) { return lent(value.connection); },
            [&](const proxy::target_replied& value) { return lent(value.connection); },
            [&](const proxy::target_disconnected& value) { return lent(value.connection); },
            [](const auto& /*other*/) { return false; },
        },
        input);
}

void connection_lending::on_target_event(const proxy::event& input) {
    std::visit(core::overloaded{
                   [this](const proxy::target_connected& value) { lend(value); },
                   [this](const proxy::target_replied& value) { lend(value); },
                   [this](const proxy::target_disconnected& value) { lend(value); },
                   [](const auto& /*other*/) {},
               },
               input);
    targets_.flush();
    router_.flush();
}

void connection_lending::stop() {
    lend(proxy::stop_requested{});
}

void connection_lending::on_timer() {
    lend(proxy::timer_expired{});
    targets_.flush();
    router_.flush();
}

void connection_lending::lend(const proxy::lending_event& input) {
    for (const proxy::lending_action& action : lender_.handle(internal::lending_now(), input)) {
        std::visit(core::overloaded{
                       [this](const proxy::queue_loan& value) { answer(value); },
                       [this](const proxy::grant_loan& value) { answer(value); },
                       [this](const proxy::relay_reply& value) { answer(value); },
                       [this](const proxy::end_loan& value) { answer(value); },
                       [this](const proxy::open_target& value) { targets_.perform(value); },
                       [this](const proxy::send_commands& value) { targets_.perform(value); },
                       [this](const proxy::close_target& value) { targets_.perform(value); },
                       [this](const auto& value) { telemetry_(value); },
                   },
                   action);
    }
}

void connection_lending::answer(const proxy::queue_loan& action) {
    if (action.loan.borrower == 0) {
        post(proxy::loan_queued{action.loan.number});
        return;
    }
    link::frame message;
    message.mutable_connection_lent()->set_loan(action.loan.number);
    message.mutable_connection_lent()->set_queued(true);
    router_.send(action.loan.borrower, message);
}

void connection_lending::answer(const proxy::grant_loan& action) {
    if (action.loan.borrower == 0) {
        const auto own = loans_.find(action.loan.number);
        if (own != loans_.end()) {
            own->second.granted = true;
        }
        post(proxy::target_connected{action.loan.number, action.position, action.clean});
        return;
    }
    lent_.insert(action.loan);
    link::frame message;
    link::v1::ConnectionLent& lent = *message.mutable_connection_lent();
    lent.set_loan(action.loan.number);
    internal::write(
        action.position,
        [](void* to) { return static_cast<link::v1::ConnectionLent*>(to)->mutable_position(); },
        &lent);
    lent.set_fresh(action.fresh);
    lent.set_clean(action.clean);
    router_.send(action.loan.borrower, message);
}

void connection_lending::answer(const proxy::relay_reply& action) {
    if (action.loan.borrower == 0) {
        post(proxy::target_replied{action.loan.number, action.reply});
        return;
    }
    const std::vector<std::string>& rows = action.reply.result.rows;
    std::size_t next = 0;
    while (true) {
        link::frame message;
        link::v1::LoanReplies& replies = *message.mutable_loan_replies();
        replies.set_loan(action.loan.number);
        link::v1::Reply& part = *replies.add_replies();
        std::size_t size = 0;
        while (next < rows.size() &&
               (size == 0 || size + rows[next].size() <= internal::max_batch_bytes)) {
            size += rows[next].size() + 1;
            part.add_rows(rows[next]);
            ++next;
        }
        replies.set_more(next < rows.size());
        if (!replies.more()) {
            internal::write(action.reply, part);
        }
        router_.send(action.loan.borrower, message);
        if (!replies.more()) {
            return;
        }
    }
}

void connection_lending::answer(const proxy::end_loan& action) {
    if (action.loan.borrower == 0) {
        if (loans_.erase(action.loan.number) > 0) {
            post(proxy::target_disconnected{action.loan.number,
                                            internal::decode(internal::encode(action.reason))});
        }
        return;
    }
    lent_.erase(action.loan);
    link::frame message;
    message.mutable_loan_ended()->set_loan(action.loan.number);
    message.mutable_loan_ended()->set_reason(internal::encode(action.reason));
    router_.send(action.loan.borrower, message);
}

void connection_lending::on_borrow(link::channel_id channel, const link::frame& message) {
    const link::v1::BorrowConnection& request = message.borrow_connection();
    lend(proxy::loan_requested{{channel, request.loan()},
                               core::target_id{request.target()},
                               core::service_id{request.service()},
                               request.address(),
                               core::organisation_id{request.organisation()},
                               request.any_organisation(),
                               request.connection_limit(),
                               request.slots(),
                               std::chrono::milliseconds{request.wait_ms()},
                               request.priority()});
    targets_.flush();
    router_.flush();
}

void connection_lending::on_commands(link::channel_id channel, const link::frame& message) {
    const link::v1::LoanCommands& received = message.loan_commands();
    std::vector<proxy::target_command> commands;
    for (const link::v1::Command& encoded : received.commands()) {
        std::optional<proxy::target_command> command = internal::read(encoded);
        if (!command.has_value()) {
            // The borrower would take the answer to a later command for that to this one.
            lend(proxy::loan_returned{{channel, received.loan()}, true});
            answer(proxy::end_loan{{channel, received.loan()}, proxy::loan_end::malformed});
            router_.flush();
            return;
        }
        commands.push_back(std::move(*command));
    }
    lend(proxy::loan_commands_received{{channel, received.loan()},
                                       std::move(commands),
                                       std::chrono::milliseconds{received.deadline_ms()}});
    targets_.flush();
}

void connection_lending::on_return(link::channel_id channel, const link::frame& message) {
    const proxy::loan_id returned{channel, message.return_loan().loan()};
    lent_.erase(returned);
    lend(proxy::loan_returned{returned, message.return_loan().broken()});
    targets_.flush();
    router_.flush();
}

connection_lending::loan* connection_lending::find(link::channel_id channel, std::uint64_t number) {
    const auto found = loans_.find(number);
    return found != loans_.end() && found->second.channel == channel ? &found->second : nullptr;
}

void connection_lending::on_lent(link::channel_id channel, const link::frame& message) {
    const link::v1::ConnectionLent& lent = message.connection_lent();
    loan* const known = find(channel, lent.loan());
    if (known == nullptr || known->granted) {
        return;
    }
    if (lent.queued()) {
        engine_events_(proxy::loan_queued{lent.loan()});
        return;
    }
    known->granted = true;
    expect(*known, -1);
    std::optional<proxy::replication_position> position;
    if (lent.has_position()) {
        position = internal::read(lent.position());
    }
    engine_events_(proxy::target_connected{lent.loan(), position, lent.clean()});
}

void connection_lending::on_replies(link::channel_id channel, const link::frame& message) {
    const link::v1::LoanReplies& received = message.loan_replies();
    for (int index = 0; index < received.replies_size(); ++index) {
        loan* const known = find(channel, received.loan());
        if (known == nullptr) {
            // The engine has given the connection up.
            return;
        }
        const link::v1::Reply& part = received.replies(index);
        known->rows.insert(known->rows.end(), part.rows().begin(), part.rows().end());
        if (received.more() && index + 1 == received.replies_size()) {
            return;
        }
        proxy::target_reply reply = internal::read(part);
        reply.result.rows = std::exchange(known->rows, {});
        expect(*known, -1);
        engine_events_(proxy::target_replied{received.loan(), std::move(reply)});
    }
}

void connection_lending::on_ended(link::channel_id channel, const link::frame& message) {
    const core::connection_id number = message.loan_ended().loan();
    loan* const known = find(channel, number);
    if (known == nullptr) {
        return;
    }
    expect(*known, -known->expected);
    loans_.erase(number);
    engine_events_(
        proxy::target_disconnected{number, internal::decode(message.loan_ended().reason())});
}

void connection_lending::on_channel_closed(link::channel_id channel) {
    std::erase_if(lent_, [&](const proxy::loan_id& lent) { return lent.borrower == channel; });
    lend(proxy::borrower_lost{channel});
    targets_.flush();
    std::vector<core::connection_id> lost;
    for (const auto& [number, known] : loans_) {
        if (known.channel == channel) {
            lost.push_back(number);
        }
    }
    for (const core::connection_id number : lost) {
        loans_.erase(number);
    }
    for (const core::connection_id number : lost) {
        engine_events_(proxy::target_disconnected{number, proxy::target_close_reason::holder_lost});
    }
}

} // namespace lovagemoor
