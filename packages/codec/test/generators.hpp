#pragma once

#include <lovagemoor/core/peer_message.hpp>

#include <rapidcheck.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief RapidCheck generators for the core's types.

namespace lovagemoor::codec::testing {

/// @return Printable ASCII text, because string fields of protobuf accept only UTF-8.
inline std::string any_text() {
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

inline std::string any_name() {
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('-', 'z')));
}

inline std::uint64_t any_u64() {
    return *rc::gen::arbitrary<std::uint64_t>();
}

inline std::uint32_t any_u32() {
    return *rc::gen::arbitrary<std::uint32_t>();
}

inline bool any_bool() {
    return *rc::gen::arbitrary<bool>();
}

template <typename Function>
auto any_list(Function make) {
    std::vector<decltype(make())> list;
    const int size = *rc::gen::inRange(0, 4);
    for (int index = 0; index < size; ++index) {
        list.push_back(make());
    }
    return list;
}

inline core::service_record any_service() {
    core::service_record service;
    service.name.value = any_name();
    service.groups = any_list([] { return core::group_id{any_name()}; });
    service.max_staleness = std::chrono::milliseconds{any_u32()};
    service.connections_per_target = any_u32();
    service.slots_per_target = any_u32();
    service.write_durability =
        *rc::gen::element(core::durability::replicated, core::durability::primary_only);
    service.idempotency_retention = std::chrono::seconds{any_u32()};
    return service;
}

inline core::configuration any_configuration() {
    return core::configuration{any_u64(), any_list(any_service), any_list(any_text)};
}

inline core::term_record any_term() {
    core::term_record term;
    term.group.value = any_name();
    term.term = any_u64();
    term.phase = *rc::gen::element(core::term_phase::electing, core::term_phase::serving);
    term.candidate.value = any_text();
    term.primary.value = any_text();
    const std::vector<std::uint64_t> starts = any_list(any_u64);
    for (std::size_t index = 0; index < starts.size(); ++index) {
        term.history.push_back(core::term_start{index + 1, starts[index]});
    }
    return term;
}

inline core::target_record any_target() {
    core::target_record target;
    target.id.value = any_name();
    target.domain.value = any_text();
    target.address = any_name();
    target.port = static_cast<std::uint16_t>(*rc::gen::inRange(1, 65'536));
    target.leaving = any_bool();
    return target;
}

inline core::group_record any_group() {
    return core::group_record{{any_name()}, any_list(any_target)};
}

inline core::host_record any_host() {
    return core::host_record{{any_name()}, {any_text()}, any_text(),
                             any_text(),   any_text(),   any_bool()};
}

inline core::platform_record any_record() {
    core::platform_record record;
    record.revision = *rc::gen::arbitrary<std::int64_t>();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        record.value = any_configuration();
        break;
    case 1:
        record.value = any_term();
        break;
    case 2:
        record.value = any_group();
        break;
    default:
        record.value = any_host();
        break;
    }
    return record;
}

inline std::string any_bytes() {
    return *rc::gen::arbitrary<std::string>();
}

template <typename Duration>
Duration any_duration() {
    return Duration{*rc::gen::inRange<std::int64_t>(0, 86'400'000)};
}

template <typename Enum>
Enum any_enum(Enum last) {
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

inline core::sql_value any_value() {
    return any_bool() ? core::sql_value{any_bytes()} : core::sql_value{};
}

inline core::row any_row() {
    return any_list(any_value);
}

inline core::forward_request any_forward_request() {
    core::forward_request request;
    request.id = any_u64();
    request.operation = any_enum(core::forwarded_operation::rollback);
    request.service.value = any_text();
    request.group.value = any_text();
    request.target.value = any_name();
    request.statement = core::statement{any_bytes(), any_row()};
    request.priority = any_enum(core::urgency::bulk);
    request.remaining = any_duration<core::duration>();
    request.guard = core::read_guard{any_u64(), any_u64(), std::nullopt};
    if (any_bool()) {
        request.guard.max_age = any_duration<std::chrono::milliseconds>();
    }
    request.idempotency_key = any_bytes();
    request.digest = any_bytes();
    request.transaction = any_u64();
    request.owner_incarnation = any_u64();
    return request;
}

inline core::forward_rows any_forward_rows() {
    return core::forward_rows{any_u64(), any_u32(), {any_list(any_bytes), any_list(any_row)}};
}

inline core::outcome any_outcome() {
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return core::done{any_u64(), any_u64(), any_bool()};
    case 1:
        return core::refused{any_enum(core::refusal_reason::target_leaving),
                             any_duration<core::duration>(), any_bytes(), any_bytes()};
    case 2:
        return core::failed{any_enum(core::failure_reason::result_too_large), any_bytes(),
                            any_bytes()};
    default:
        return core::outcome_unknown{any_enum(core::unknown_reason::no_quorum)};
    }
}

inline core::forward_outcome any_forward_outcome() {
    core::forward_outcome outcome;
    outcome.id = any_u64();
    outcome.result = any_outcome();
    outcome.batches = any_u32();
    outcome.shown = core::group_position{{any_text()}, any_u64(), any_u64(), {any_text()}};
    outcome.transaction = any_u64();
    outcome.owner_incarnation = any_u64();
    outcome.observation = core::target_observation{{any_text()},
                                                   any_u64(),
                                                   any_u64(),
                                                   any_duration<std::chrono::milliseconds>(),
                                                   any_bool(),
                                                   any_bool(),
                                                   any_duration<core::duration>()};
    return outcome;
}

inline core::member_update any_member() {
    return core::member_update{any_host(), any_u64(), any_enum(core::member_state::dead),
                               any_u64()};
}

inline core::gossip_header any_gossip() {
    return core::gossip_header{any_member(), any_list(any_member), any_u64()};
}

/// @param alternative Index of the message's type in the variant core::peer_message.
inline core::peer_message any_peer_message(std::size_t alternative) {
    switch (alternative) {
    case 0:
        return any_forward_request();
    case 1:
        return any_forward_rows();
    case 2:
        return any_forward_outcome();
    case 3:
        return core::forward_cancel{any_u64()};
    case 4:
        return core::membership_ping{any_u64(), any_gossip()};
    case 5:
        return core::membership_ack{any_u64(), {any_name()}, any_gossip()};
    case 6:
        return core::membership_ping_request{any_u64(), {any_name()}, any_gossip()};
    case 7:
        return core::membership_sync{any_bool(), any_gossip()};
    case 8:
        return core::view_push{any_u32(), any_list(any_record)};
    case 9:
        return core::view_request{any_list([] {
            return core::record_revision{any_name(), *rc::gen::arbitrary<std::int64_t>()};
        })};
    case 10:
        return core::view_reply{any_list(any_record)};
    default:
        return core::primary_report{
            {any_name()}, {any_text()}, any_u64(), any_bool(), any_duration<core::duration>()};
    }
}

} // namespace lovagemoor::codec::testing
