#include <lovagemoor/core/engine.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::core {

namespace {

using namespace std::chrono_literals;

constexpr duration step = 1ms;

/// One host with targets that answer every call at once and a platform that is unavailable.
class single_host {
public:
    single_host() : engine_{core_settings{}, make_identity()} {
        run(engine_.start(now_));
        send(platform_changed{{1, configuration{1, {make_service()}, {}}}});
        send(platform_changed{{2, make_group()}});
        send(platform_changed{
            {3,
             term_record{group_id{"g"}, 1, term_phase::serving, {}, target_id{"t1"}, {{1, 1}}}}});
    }

    void send(const event& value) {
        now_ += step;
        run(engine_.handle(now_, value));
    }

    void advance(duration time) {
        const time_point end = now_ + time;
        while (now_ < end) {
            send(timer_expired{});
        }
    }

    /// Advances the time until the request is answered. Connections are opened ahead of demand, but
    /// only after the host has owned the target for some time, which needs timer events.
    [[nodiscard]] std::optional<answer_caller> answer_to(request_id id) {
        for (int attempt = 0; attempt < 1000; ++attempt) {
            const auto found =
                std::find_if(answers_.begin(), answers_.end(),
                             [id](const answer_caller& answer) { return answer.id == id; });
            if (found != answers_.end()) {
                return *found;
            }
            advance(step);
        }
        return std::nullopt;
    }

    [[nodiscard]] bool stopped() const { return stopped_; }

    bool attest = true;

private:
    static engine_identity make_identity() {
        engine_identity identity;
        identity.self.id = host_id{"h"};
        identity.self.domain = domain_id{"a"};
        identity.self.peer_address = "tcp://127.0.0.1:1";
        identity.session_key = "key";
        return identity;
    }

    static service_record make_service() {
        service_record service;
        service.name = service_id{"orders-db"};
        service.groups = {group_id{"g"}};
        return service;
    }

    static group_record make_group() {
        return group_record{group_id{"g"},
                            {{target_id{"t1"}, domain_id{"a"}, "127.0.0.1", 1, false},
                             {target_id{"t2"}, domain_id{"a"}, "127.0.0.1", 2, false},
                             {target_id{"t3"}, domain_id{"a"}, "127.0.0.1", 3, false}}};
    }

    void run(const action_list& actions) {
        for (const action& value : actions) {
            if (const open_connection* open = std::get_if<open_connection>(&value)) {
                send(connection_opened{open->connection, open->target.id});
            } else if (const run_job* job = std::get_if<run_job>(&value)) {
                ++position_;
                send(job_finished{job->connection, job->job,
                                  job_done{0, 1, 1, position_, {}, false}});
            } else if (const call_control* control = std::get_if<call_control>(&value)) {
                answer_control(*control);
            } else if (const call_platform* platform = std::get_if<call_platform>(&value)) {
                send(platform_finished{platform->call, platform_unavailable{}});
            } else if (const answer_caller* answer = std::get_if<answer_caller>(&value)) {
                answers_.push_back(*answer);
            } else if (std::holds_alternative<stop_process>(value)) {
                stopped_ = true;
            }
        }
    }

    void answer_control(const call_control& call) {
        if (std::holds_alternative<status_call>(call.request)) {
            const bool is_primary = call.target.id.value == "t1";
            send(control_finished{call.call, call.target.id,
                                  status_reply{1, 1, position_, is_primary, {}, {}}});
        } else if (attest) {
            send(control_finished{call.call, call.target.id, promise_reply{1, 1, position_}});
        } else {
            send(control_finished{call.call, call.target.id, control_unreachable{}});
        }
    }

    time_point now_{std::chrono::seconds{100}};
    engine engine_;
    log_position position_ = 1;
    std::vector<answer_caller> answers_;
    bool stopped_ = false;
};

caller_called write_call(request_id id) {
    execute_request request;
    request.service = service_id{"orders-db"};
    request.shard_key = "1";
    request.statement.sql = "UPDATE orders SET quantity = $2 WHERE id = $1";
    request.access = access_mode::write;
    request.timeout = 500ms;
    return caller_called{id, request};
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_test)

// Guards against a request that is lost between the parts of the engine when the entry host itself
// owns the target.
BOOST_AUTO_TEST_CASE(a_write_passes_through_all_parts) {
    single_host host;
    host.send(write_call(1));
    const std::optional<answer_caller> answer = host.answer_to(1);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(std::holds_alternative<done>(answer->result), outcome_kind(answer->result));
    BOOST_TEST(!answer->session_token.empty());
}

// Guards against acknowledging a write without a majority of attestations.
BOOST_AUTO_TEST_CASE(a_write_without_attestations_ends_as_unknown) {
    single_host host;
    host.attest = false;
    host.send(write_call(1));
    const std::optional<answer_caller> answer = host.answer_to(1);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(std::holds_alternative<outcome_unknown>(answer->result),
               outcome_kind(answer->result));
}

// Guards against a draining host that never stops, or that stops before its requests are answered.
BOOST_AUTO_TEST_CASE(a_drained_host_stops_after_its_requests) {
    single_host host;
    host.attest = false;
    host.send(write_call(1));
    host.send(drain_requested{});
    BOOST_TEST(!host.stopped());
    BOOST_TEST(host.answer_to(1).has_value());
    BOOST_TEST(!host.stopped());
    host.advance(10s);
    BOOST_TEST(host.stopped());
}

// Guards against a host that does not drain when the platform lists it as leaving, and against one
// that stops because of the record of its earlier process.
BOOST_AUTO_TEST_CASE(a_host_listed_as_leaving_drains) {
    single_host host;
    host_record record;
    record.id = host_id{"h"};
    record.peer_address = "tcp://127.0.0.1:2";
    record.leaving = true;
    host.send(platform_changed{{10, record}});
    host.advance(10s);
    BOOST_TEST(!host.stopped());
    record.peer_address = "tcp://127.0.0.1:1";
    record.leaving = false;
    host.send(platform_changed{{11, record}});
    host.advance(10s);
    BOOST_TEST(!host.stopped());
    record.leaving = true;
    host.send(platform_changed{{12, record}});
    host.advance(10s);
    BOOST_TEST(host.stopped());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
