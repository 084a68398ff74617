#pragma once

namespace lovagemoor::gateway {

class caller_listener;
class http_client;
class http_server;
class line_stream;
class target_connections;
struct statement_codec;

} // namespace lovagemoor::gateway
