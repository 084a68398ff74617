#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>

namespace lovagemoor::proxy {

/// Time over which the hosts spread their calls after the registry was restored, apart from those
/// for what is urgent (configuration, targets, demotions). It is a small part of the 9 s for which
/// a registration lasts.
constexpr std::chrono::milliseconds restoration_spread{500};

/// @return The part of restoration_spread after which a host makes its calls. It depends only on
/// the host's id, so the hosts agree on it without a call, and a run can be repeated.
[[nodiscard]] std::chrono::milliseconds restoration_delay(const core::host_id& host);

} // namespace lovagemoor::proxy
