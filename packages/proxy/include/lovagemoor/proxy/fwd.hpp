#pragma once

namespace lovagemoor::proxy {

struct configuration;
struct replication_position;
struct route;
struct session;
struct statement;
struct target_command;
struct target_record;
struct target_reply;

class session_engine;
class primary_checks;
class primary_view;
class target_pool;

} // namespace lovagemoor::proxy
