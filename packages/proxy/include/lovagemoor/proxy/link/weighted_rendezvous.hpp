#pragma once

#include <string_view>

namespace lovagemoor::proxy {

/// @return The score of a candidate in weighted rendezvous hashing: the highest one is chosen, each
/// candidate in proportion to its weight.
[[nodiscard]] double weighted_rendezvous_score(std::string_view key, std::string_view candidate,
                                               double weight);

} // namespace lovagemoor::proxy
