#pragma once

namespace lovagemoor::core {

/// @brief Combines lambdas, one for each alternative of a variant, into a visitor for std::visit.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace lovagemoor::core
