#pragma once

namespace lovagemoor::core {

/// @brief Makes one visitor for std::visit from a lambda for each alternative.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace lovagemoor::core
