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

/// @name What a caller's line says
/// @{
struct startup_message {
    std::string database;
};

struct terminate_message {};

struct malformed_message {
    std::string reason;
};

using caller_message =
    std::variant<startup_message, proxy::statement, terminate_message, malformed_message>;

/// @}

/// @brief Collects a target's lines until a reply is complete.
struct reply_assembly {
    proxy::target_reply reply;
    /// The reply has its result and waits for its end.
    bool has_result = false;
};

enum class reply_progress : std::uint8_t { incomplete, complete, malformed };

/// @brief The statement protocol: how lines are read and written.
struct statement_codec {
    std::function<caller_message(std::string_view line)> decode_caller_line;
    /// @brief Tells a caller that its session has begun.
    std::function<void(std::string& output)> encode_greeting;
    /// @brief Tells a caller why its session ends.
    std::function<void(const proxy::statement_error& error, std::string& output)> encode_rejection;
    std::function<void(const proxy::statement_result& result, std::string& output)> encode_result;
    /// @brief Opens a session at a target; the host's name tells the target who connects.
    std::function<void(const proxy::open_target& request, const std::string& host,
                       std::string& output)>
        encode_startup;
    std::function<void(const proxy::target_command& command, std::string& output)> encode_command;
    std::function<reply_progress(std::string_view line, reply_assembly& assembly)>
        decode_target_line;
};

} // namespace lovagemoor::gateway
