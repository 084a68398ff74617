#include <lovagemoor/testbed/caller_client.hpp>

#include <caller.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <future>
#include <utility>

namespace lovagemoor::testbed {

namespace internal {

namespace proto = lovagemoor::caller::v1;

/// Time that a client waits beyond the request's own timeout before it cancels the call.
constexpr std::chrono::milliseconds deadline_margin{5000};

std::uint32_t to_milliseconds(core::duration value) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

proto::Urgency to_proto(core::urgency value) {
    return static_cast<proto::Urgency>(static_cast<int>(value) + 1);
}

proto::ExecuteRequest to_proto(const core::execute_request& request) {
    proto::ExecuteRequest message;
    message.set_service(request.service.value);
    message.set_shard_key(request.shard_key);
    message.mutable_statement()->set_sql(request.statement.sql);
    for (const core::sql_value& parameter : request.statement.parameters) {
        proto::Value* value = message.mutable_statement()->add_parameters();
        value->set_is_null(!parameter.has_value());
        value->set_text(parameter.value_or(""));
    }
    message.set_access(request.access == core::access_mode::read ? proto::ACCESS_READ
                                                                 : proto::ACCESS_WRITE);
    message.set_urgency(to_proto(request.priority));
    message.set_timeout_ms(to_milliseconds(request.timeout));
    if (request.max_staleness.has_value()) {
        message.set_max_staleness_ms(static_cast<std::uint32_t>(request.max_staleness->count()));
    }
    message.set_idempotency_key(request.idempotency_key);
    message.set_session_token(request.session_token);
    message.set_transaction(request.transaction);
    return message;
}

core::outcome from_proto(const proto::Outcome& message) {
    switch (message.kind_case()) {
    case proto::Outcome::kDone:
        return core::done{message.done().row_count(), message.done().affected_rows(),
                          message.done().replayed()};
    case proto::Outcome::kRefused:
        return core::refused{static_cast<core::refusal_reason>(message.refused().reason() - 1),
                             std::chrono::milliseconds{message.refused().retry_after_ms()},
                             message.refused().alternative_host(), message.refused().detail()};
    case proto::Outcome::kFailed:
        return core::failed{static_cast<core::failure_reason>(message.failed().reason() - 1),
                            message.failed().sqlstate(), message.failed().detail()};
    default:
        return core::outcome_unknown{
            static_cast<core::unknown_reason>(message.unknown().reason() - 1)};
    }
}

void append_rows(const proto::RowBatch& batch, std::vector<core::row>& rows) {
    for (const proto::Row& source : batch.rows()) {
        core::row row;
        row.reserve(static_cast<std::size_t>(source.values_size()));
        for (const proto::Value& value : source.values()) {
            row.push_back(value.is_null() ? core::sql_value{} : core::sql_value{value.text()});
        }
        rows.push_back(std::move(row));
    }
}

void set_deadline(grpc::ClientContext& context, core::duration timeout) {
    context.set_deadline(std::chrono::system_clock::now() + timeout + deadline_margin);
}

/// Receives the responses of one streamed call and deletes itself when the call ends.
class execute_reactor final : public grpc::ClientReadReactor<proto::ExecuteResponse> {
public:
    execute_reactor(proto::Caller::Stub& stub, const core::execute_request& request,
                    caller_client::callback finished)
        : request_{to_proto(request)}, finished_{std::move(finished)} {
        set_deadline(context_, request.timeout);
        stub.async()->Execute(&context_, &request_, this);
        StartRead(&response_);
        StartCall();
    }

    void OnReadDone(bool ok) override {
        if (!ok) {
            return;
        }
        if (response_.has_rows()) {
            append_rows(response_.rows(), reply_.rows);
        } else if (response_.has_outcome()) {
            reply_.complete = true;
            reply_.result = from_proto(response_.outcome());
            reply_.session_token = response_.outcome().session_token();
        }
        StartRead(&response_);
    }

    void OnDone(const grpc::Status& /*status*/) override {
        // The reactor is deleted before the callback runs, because the callback may let the owner
        // destroy the client and end the program.
        const caller_client::callback finished = std::move(finished_);
        const call_reply reply = std::move(reply_);
        delete this;
        finished(reply);
    }

private:
    grpc::ClientContext context_;
    proto::ExecuteRequest request_;
    proto::ExecuteResponse response_;
    caller_client::callback finished_;
    call_reply reply_;
};

template <typename Response>
call_reply make_reply(const grpc::Status& status, const Response& response) {
    call_reply reply;
    reply.complete = status.ok();
    if (reply.complete) {
        reply.result = from_proto(response.outcome());
        reply.session_token = response.outcome().session_token();
    }
    return reply;
}

struct describe_outcome {
    std::string operator()(const core::done& value) const {
        return std::string{"done rows="} + std::to_string(value.row_count) +
               " affected=" + std::to_string(value.affected_rows) +
               (value.replayed ? " replayed" : "");
    }

    std::string operator()(const core::refused& value) const {
        return std::string{"refused reason="} + core::to_string(value.reason) + " " + value.detail;
    }

    std::string operator()(const core::failed& value) const {
        return std::string{"failed reason="} + core::to_string(value.reason) +
               " sqlstate=" + value.sqlstate + " " + value.detail;
    }

    std::string operator()(const core::outcome_unknown& value) const {
        return std::string{"unknown reason="} + core::to_string(value.reason);
    }
};

} // namespace internal

struct caller_client::implementation {
    std::unique_ptr<internal::proto::Caller::Stub> stub;
};

std::string describe(const call_reply& reply) {
    if (!reply.complete) {
        return "connection broken";
    }
    return std::visit(internal::describe_outcome{}, reply.result);
}

caller_client::caller_client(const std::string& address)
    : implementation_{std::make_unique<implementation>()} {
    grpc::ChannelArguments arguments;
    // Each client gets its own connection, because separate callers don't share one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    implementation_->stub = internal::proto::Caller::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

caller_client::caller_client(caller_client&&) noexcept = default;
caller_client& caller_client::operator=(caller_client&&) noexcept = default;
caller_client::~caller_client() = default;

void caller_client::execute_async(const core::execute_request& request, callback finished) {
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): the reactor deletes itself in OnDone.
    new internal::execute_reactor{*implementation_->stub, request, std::move(finished)};
}

call_reply caller_client::execute(const core::execute_request& request) {
    std::promise<call_reply> promise;
    std::future<call_reply> future = promise.get_future();
    execute_async(request, [&promise](const call_reply& reply) { promise.set_value(reply); });
    return future.get();
}

call_reply caller_client::begin(const core::begin_request& request) {
    internal::proto::BeginRequest message;
    message.set_service(request.service.value);
    message.set_shard_key(request.shard_key);
    message.set_timeout_ms(internal::to_milliseconds(request.timeout));
    message.set_urgency(internal::to_proto(request.priority));
    message.set_idempotency_key(request.idempotency_key);
    message.set_session_token(request.session_token);
    grpc::ClientContext context;
    internal::set_deadline(context, request.timeout);
    internal::proto::BeginResponse response;
    const grpc::Status status = implementation_->stub->Begin(&context, message, &response);
    call_reply reply = internal::make_reply(status, response);
    reply.transaction = response.transaction();
    return reply;
}

call_reply caller_client::end(const core::end_request& request) {
    internal::proto::EndRequest message;
    message.set_transaction(request.transaction);
    message.set_timeout_ms(internal::to_milliseconds(request.timeout));
    message.set_session_token(request.session_token);
    grpc::ClientContext context;
    internal::set_deadline(context, request.timeout);
    internal::proto::EndResponse response;
    const grpc::Status status = request.how == core::transaction_end::commit
                                    ? implementation_->stub->Commit(&context, message, &response)
                                    : implementation_->stub->Rollback(&context, message, &response);
    return internal::make_reply(status, response);
}

} // namespace lovagemoor::testbed
