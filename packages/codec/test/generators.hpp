#pragma once

#include <lovagemoor/core/peer_message.hpp>

#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// @file
/// @brief RapidCheck generators for the core's types.

namespace lovagemoor::codec::testing {

/// @brief Printable text, as protobuf's string fields accept only UTF-8.
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

} // namespace lovagemoor::codec::testing
