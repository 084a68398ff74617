#include "output.hpp"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace lovagemoor::ctl {

namespace {

constexpr std::size_t column_gap = 2;

void append_row(const std::vector<std::string>& row, const std::vector<std::size_t>& widths,
                std::string& text) {
    for (std::size_t column = 0; column < row.size(); ++column) {
        text += row[column];
        if (column + 1 < row.size()) {
            text.append(widths[column] + column_gap - row[column].size(), ' ');
        }
    }
    text += '\n';
}

} // namespace

std::string render(const text_table& table) {
    std::vector<std::size_t> widths;
    for (const std::string& title : table.header) {
        widths.push_back(title.size());
    }
    for (const std::vector<std::string>& row : table.rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    append_row(table.header, widths, text);
    for (const std::vector<std::string>& row : table.rows) {
        append_row(row, widths, text);
    }
    return text;
}

std::string render_json(const google::protobuf::Message& message) {
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    std::string text;
    const google::protobuf::util::Status status =
        google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : "null";
}

std::string render_json(const std::vector<std::string>& texts) {
    google::protobuf::ListValue list;
    for (const std::string& text : texts) {
        list.add_values()->set_string_value(text);
    }
    return render_json(list);
}

} // namespace lovagemoor::ctl
