#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <vector>

namespace lovagemoor::ctl {

/// @brief A table with a header row.
struct text_table {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// @return The table with columns of equal width.
[[nodiscard]] std::string render(const text_table& table);

/// @return The message as one line of JSON, with fields that have their default value.
[[nodiscard]] std::string render_json(const google::protobuf::Message& message);

/// @return The texts as a JSON list.
[[nodiscard]] std::string render_json(const std::vector<std::string>& texts);

} // namespace lovagemoor::ctl
