#include <lovagemoor/telemetry/metrics.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

namespace {

namespace core = lovagemoor::core;
using lovagemoor::telemetry::metrics;
using lovagemoor::telemetry::metrics_bind_error;
using namespace std::chrono_literals;

bool has_line(const std::string& text, const std::string& line) {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

/// @return The answer to an HTTP request for /metrics on the loopback address.
std::string scrape(std::uint16_t port) {
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(std::string{"GET /metrics HTTP/1.0\r\n\r\n"}));
    std::string answer;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics_registry)

// Guards against counts that go to the wrong time series.
BOOST_AUTO_TEST_CASE(counters_add_up_per_label) {
    metrics registry;
    registry.perform(core::count_metric{"requests_total", {{"outcome", "done"}}, 1});
    registry.perform(core::count_metric{"requests_total", {{"outcome", "done"}}, 2});
    registry.perform(core::count_metric{"requests_total", {{"outcome", "refused"}}, 1});
    const std::string text = registry.render();
    BOOST_TEST(has_line(text, "requests_total{outcome=\"done\"} 3"), text);
    BOOST_TEST(has_line(text, "requests_total{outcome=\"refused\"} 1"), text);
}

// Guards against a label's text that is counted as another label: a series was identified by its
// labels with separators that a value may contain.
BOOST_AUTO_TEST_CASE(label_values_stay_apart) {
    metrics registry;
    registry.perform(core::count_metric{"requests_total", {{"a", "x\nb=y"}}, 1});
    registry.perform(core::count_metric{"requests_total", {{"a", "x"}, {"b", "y"}}, 2});
    registry.perform(core::count_metric{"requests_total", {{"a", "q\"\\"}}, 3});
    const std::string text = registry.render();
    BOOST_TEST(has_line(text, R"(requests_total{a="x\nb=y"} 1)"), text);
    BOOST_TEST(has_line(text, R"(requests_total{a="x",b="y"} 2)"), text);
    BOOST_TEST(has_line(text, R"(requests_total{a="q\"\\"} 3)"), text);
}

// Guards against a histogram in a unit other than the second, Prometheus' base unit for time.
BOOST_AUTO_TEST_CASE(durations_are_observed_in_seconds) {
    metrics registry;
    registry.perform(core::observe_duration{"queue_wait_seconds", {}, 1500us});
    const std::string text = registry.render();
    BOOST_TEST(has_line(text, "queue_wait_seconds_bucket{le=\"0.001\"} 0"), text);
    BOOST_TEST(has_line(text, "queue_wait_seconds_bucket{le=\"0.002\"} 1"), text);
    BOOST_TEST(has_line(text, "queue_wait_seconds_sum 0.0015"), text);
}

// Guards against a gauge that adds up instead of showing the latest value.
BOOST_AUTO_TEST_CASE(gauges_show_the_latest_value) {
    metrics registry;
    registry.set_gauge("members", {}, 3);
    registry.set_gauge("members", {}, 2);
    BOOST_TEST(has_line(registry.render(), "members 2"));
}

// Guards against an invalid metric that throws an exception while the engine handles an event.
BOOST_AUTO_TEST_CASE(unusable_metrics_are_counted) {
    metrics registry;
    registry.perform(core::count_metric{"not a name", {}, 1});
    registry.perform(core::count_metric{"requests_total", {{"bad-label", "x"}}, 1});
    registry.set_gauge("members", {}, 1);
    registry.perform(core::count_metric{"members", {}, 1});
    BOOST_TEST(has_line(registry.render(), "lovagemoor_rejected_metrics_total 3"));
}

// Guards against memory use that grows with the number of label values.
BOOST_AUTO_TEST_CASE(the_number_of_series_is_limited) {
    metrics registry;
    for (std::size_t count = 0; count < metrics::max_series + 5; ++count) {
        registry.perform(core::count_metric{"keys_total", {{"key", std::to_string(count)}}, 1});
    }
    BOOST_TEST(has_line(registry.render(), "lovagemoor_rejected_metrics_total 5"));
}

// Guards against an endpoint that Prometheus cannot read.
BOOST_AUTO_TEST_CASE(the_endpoint_serves_the_metrics) {
    metrics registry{"127.0.0.1:0"};
    BOOST_REQUIRE(registry.port() != 0);
    registry.set_gauge("members", {}, 5);
    const std::string answer = scrape(registry.port());
    BOOST_TEST(answer.starts_with("HTTP/1."), answer);
    BOOST_TEST(answer.find("members 5\n") != std::string::npos, answer);
}

// Guards against a host that runs without its metrics endpoint because the address is in use.
BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error) {
    const metrics first{"127.0.0.1:0"};
    BOOST_CHECK_THROW(metrics{"127.0.0.1:" + std::to_string(first.port())}, metrics_bind_error);
}

BOOST_AUTO_TEST_SUITE_END()
