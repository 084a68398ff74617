#include <lovagemoor/testbed/cluster.hpp>

namespace lovagemoor::testbed {

namespace internal {

constexpr std::chrono::seconds default_timeout{5};
constexpr double milliseconds_per_second = 1000;

core::execute_request make_request(const std::string& shard_key, core::access_mode access,
                                   core::statement statement) {
    core::execute_request request;
    request.service = core::service_id{cluster::service_name};
    request.shard_key = shard_key;
    request.access = access;
    request.statement = std::move(statement);
    request.timeout = default_timeout;
    return request;
}

} // namespace internal

core::execute_request insert_order(const std::string& id, const std::string& kit,
                                   std::uint32_t quantity) {
    return internal::make_request(id, core::access_mode::write,
                                  {"INSERT INTO orders (id, kit, quantity) VALUES ($1, $2, $3)",
                                   {id, kit, std::to_string(quantity)}});
}

core::execute_request update_order(const std::string& id, std::uint32_t quantity) {
    return internal::make_request(
        id, core::access_mode::write,
        {"UPDATE orders SET quantity = $2 WHERE id = $1", {id, std::to_string(quantity)}});
}

core::execute_request select_order(const std::string& id) {
    return internal::make_request(id, core::access_mode::read,
                                  {"SELECT id, kit, quantity FROM orders WHERE id = $1", {id}});
}

core::execute_request sleep_statement(std::chrono::milliseconds duration) {
    const double seconds =
        static_cast<double>(duration.count()) / internal::milliseconds_per_second;
    return internal::make_request("sleep", core::access_mode::read,
                                  {"SELECT pg_sleep($1)", {std::to_string(seconds)}});
}

} // namespace lovagemoor::testbed
