#pragma once

namespace standin_target_test {

inline constexpr const char* insert_order =
    "INSERT INTO orders (id, kit, quantity) VALUES ($1, $2, $3)";
inline constexpr const char* update_order = "UPDATE orders SET quantity = $2 WHERE id = $1";
inline constexpr const char* select_order = "SELECT id, kit, quantity FROM orders WHERE id = $1";
inline constexpr const char* select_orders = "SELECT id, kit, quantity FROM orders ORDER BY id";
inline constexpr const char* count_orders = "SELECT count(*) FROM orders";
inline constexpr const char* insert_request =
    "INSERT INTO request_record (key, digest, expires_at) VALUES ($1, $2, now() + $3::interval)";
inline constexpr const char* update_request =
    "UPDATE request_record SET answer = $2 WHERE key = $1";
inline constexpr const char* select_request =
    "SELECT digest, answer FROM request_record WHERE key = $1";
inline constexpr const char* delete_requests =
    "DELETE FROM request_record WHERE expires_at < now()";
inline constexpr const char* group_status = "SELECT * FROM db_group_status()";
inline constexpr const char* group_raise = "SELECT * FROM db_group_raise($1)";
inline constexpr const char* group_promote = "SELECT * FROM db_group_promote($1)";
inline constexpr const char* group_attest = "SELECT * FROM db_group_attest($1,$2,$3)";
inline constexpr const char* group_guard = "SELECT * FROM db_group_guard($1,$2,$3)";
inline constexpr const char* group_position = "SELECT * FROM db_group_position()";

} // namespace standin_target_test
