#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lovagemoor::standin_target {

/// @brief Error that the server sends to the client as an ErrorResponse message.
class sql_error : public std::runtime_error {
public:
    sql_error(std::string sqlstate, const std::string& message)
        : std::runtime_error(message), sqlstate_(std::move(sqlstate)) {}

    [[nodiscard]] const std::string& sqlstate() const noexcept { return sqlstate_; }

private:
    std::string sqlstate_;
};

} // namespace lovagemoor::standin_target
