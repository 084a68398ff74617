#pragma once

#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/session/statement.hpp>
#include <lovagemoor/proxy/target/target_command.hpp>
#include <lovagemoor/proxy/target/target_reply.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace lovagemoor::gateway {

/// @name Messages that a caller sends, one in each line
/// @{

/// @brief Opens the session.
struct startup_message {
    std::string database;
    /// Identifies the caller's organisation. Empty if it was not given.
    std::string key{};
};

/// @brief Ends the session.
struct terminate_message {};

/// @brief A line that the protocol does not allow.
struct malformed_message {
    /// Text for the caller.
    std::string reason;
};

using caller_message =
    std::variant<startup_message, proxy::statement, terminate_message, malformed_message>;

/// @}

/// @brief A reply of a target that is being put together from its lines.
struct reply_assembly {
    proxy::target_reply reply;
    /// True once the result or the error is decoded and only the last line is missing.
    bool has_result = false;
};

/// @brief State of a reply after one more of its lines is decoded.
enum class reply_progress : std::uint8_t { incomplete, complete, malformed };

/// @brief The functions that decode and encode the lines of a statement protocol. The encoders
/// append to the output.
struct statement_codec {
    std::function<caller_message(std::string_view line)> decode_caller_line;
    /// @brief Encodes the message that tells a caller that its session has begun.
    std::function<void(std::string& output)> encode_greeting;
    /// @brief Encodes the message that tells a caller why its session is refused or closed.
    std::function<void(const proxy::statement_error& error, std::string& output)> encode_rejection;
    std::function<void(const proxy::statement_result& result, std::string& output)> encode_result;
    /// @brief Encodes the message that opens a session at a target. The host's name tells the
    /// target which host connects.
    std::function<void(const proxy::open_target& request, const std::string& host,
                       std::string& output)>
        encode_startup;
    std::function<void(const proxy::target_command& command, std::string& output)> encode_command;
    std::function<reply_progress(std::string_view line, reply_assembly& assembly)>
        decode_target_line;
};

} // namespace lovagemoor::gateway
