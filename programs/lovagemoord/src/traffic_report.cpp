#include "traffic_report.hpp"

namespace lovagemoor {

namespace internal {

namespace {

using purpose = traffic_report::purpose;

purpose purpose_of(link::frame::BodyCase kind) {
    switch (kind) {
    case link::frame::kBorrowConnection:
    case link::frame::kLoanCommands:
    case link::frame::kReturnLoan:
    case link::frame::kConnectionLent:
    case link::frame::kLoanReplies:
    case link::frame::kLoanEnded:
        return purpose::lending;
    case link::frame::kQuotaRequest:
    case link::frame::kQuotaGrant:
        return purpose::quota;
    case link::frame::kRelayList:
    case link::frame::kRelayWatch:
    case link::frame::kRelayPage:
    case link::frame::kRelayChanges:
        return purpose::relay;
    case link::frame::kHello:
    case link::frame::kPing:
    case link::frame::kPong:
    case link::frame::BODY_NOT_SET:
        break;
    }
    return purpose::control;
}

constexpr std::array<const char*, 5> purpose_names{"lending", "relay", "quota", "control",
                                                   "registry"};

} // namespace

} // namespace internal

void traffic_report::add(link::frame::BodyCase kind, link::transfer_direction direction,
                         std::size_t bytes) {
    transferred& counted = transferred_.at(static_cast<std::size_t>(internal::purpose_of(kind)));
    (direction == link::transfer_direction::sent ? counted.sent : counted.received) += bytes;
}

void traffic_report::add_registry_answer(std::size_t bytes) {
    transferred_.at(static_cast<std::size_t>(purpose::registry)).received += bytes;
}

std::optional<core::log_event>
traffic_report::take(core::time_point now, std::size_t unsent,
                     const std::function<void(const core::count_metric&)>& count) {
    if (now - taken_at_ < interval) {
        return std::nullopt;
    }
    taken_at_ = now;
    std::size_t total = 0;
    core::log_event line{core::log_event::level::info, "traffic", {}};
    for (std::size_t index = 0; index < purposes; ++index) {
        const transferred counted = std::exchange(transferred_.at(index), {});
        const std::string name = internal::purpose_names.at(index);
        const auto report = [&](const char* direction, std::size_t bytes) {
            if (bytes > 0) {
                line.fields.emplace_back(name + '_' + direction, std::to_string(bytes));
                count({"lovagemoor_host_traffic_bytes_total",
                       {{"purpose", name}, {"direction", direction}},
                       static_cast<double>(bytes)});
            }
        };
        report("sent", counted.sent);
        report("received", counted.received);
        total += counted.sent + counted.received;
    }
    line.fields.emplace_back("unsent", std::to_string(unsent));
    return total >= logged_bytes ? std::optional<core::log_event>{std::move(line)} : std::nullopt;
}

} // namespace lovagemoor
