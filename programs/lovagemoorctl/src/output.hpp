#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <vector>

namespace lovagemoor::ctl {

/// @brief A table of text cells with a header row.
struct text_table {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// @return The table as lines of text, with aligned columns.
[[nodiscard]] std::string render(const text_table& table);

/// @return The message as one line of JSON, including fields at their default value.
[[nodiscard]] std::string render_json(const google::protobuf::Message& message);

/// @return The texts as a JSON array of strings.
[[nodiscard]] std::string render_json(const std::vector<std::string>& texts);

} // namespace lovagemoor::ctl
