#pragma once

namespace lovagemoor::proxy {

struct configuration;
struct prepared_statement;
struct replication_position;
struct route;
struct session;
struct statement;
struct target_command;
struct target_record;
struct target_reply;

class prepared_names;
class session_engine;
class primary_checks;
class primary_view;
class registry_era_tracker;
class target_pool;

} // namespace lovagemoor::proxy
