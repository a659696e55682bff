#include <limpetlock/support/metrics.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <limits>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock::metrics;

namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

// Guards against text that parsers of the exposition format reject, for example through missing escapes.
Test(metrics, renders_text_exposition)
{
    registry it;
    it.get_counter("requests_total", "Requests.\nBy \\ team.", {{"team", "a\"b\\c\nd"}, {"rank", "urgent"}})
        .add(3);
    it.get_gauge("queued", "Waiting.").set(-2);
    it.get_summary("latency_ms", "Latency.", {{"stage", "s"}}).observe(4);
    it.get_summary("empty", "Nothing.");
    const auto text = it.render();
    cr_assert(has_line(text, "# HELP requests_total Requests.\\nBy \\\\ team."));
    cr_assert(has_line(text, "# TYPE requests_total counter"));
    cr_assert(has_line(text, "requests_total{rank=\"urgent\",team=\"a\\\"b\\\\c\\nd\"} 3"));
    cr_assert(has_line(text, "# TYPE queued gauge\nqueued -2"));
    cr_assert(has_line(text, "# TYPE latency_ms summary"));
    cr_assert(has_line(text, "latency_ms{stage=\"s\",quantile=\"0.95\"} 4"));
    cr_assert(has_line(text, "latency_ms_sum{stage=\"s\"} 4"));
    cr_assert(has_line(text, "latency_ms_count{stage=\"s\"} 1"));
    cr_assert(has_line(text, "empty{quantile=\"0.5\"} NaN"));
}

// Guards against lost counts if threads use a metric concurrently, and against two series for one label set
// in different orders.
Test(metrics, concurrent_use_counts_each_call)
{
    registry it;
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n)
        threads.emplace_back([&it, n] {
            for (int k = 0; k < 5000; ++k) {
                const std::string team = std::to_string(k % 5);
                const auto set =
                    n % 2 == 0 ? labels{{"a", "1"}, {"team", team}} : labels{{"team", team}, {"a", "1"}};
                it.get_counter("c_total", "C.", set).add();
                it.get_summary("s", "S.").observe(1);
            }
        });
    for (auto& thread : threads)
        thread.join();
    for (int k = 0; k < 5; ++k)
        cr_assert_eq(it.get_counter("c_total", "C.", {{"team", std::to_string(k)}, {"a", "1"}}).value(),
                     4000U);
    cr_assert_eq(it.get_summary("s", "S.").read().count, 20000U);
}

// Guards against inaccurate quantiles, and against a NaN that makes all later ones useless.
Test(metrics, quantiles_are_close)
{
    summary it;
    it.observe(std::numeric_limits<double>::quiet_NaN());
    for (const double value : {3.0, 1.0, 2.0, 4.0})
        it.observe(value);
    cr_assert_eq(it.read().quantiles[0], 2.0);
    cr_assert_eq(it.read().quantiles[2], 4.0);
    std::mt19937 random(7);
    std::exponential_distribution<double> distribution(0.01);
    for (int n = 0; n < 100000; ++n)
        it.observe(distribution(random));
    const auto now = it.read();
    for (std::size_t n = 0; n < summary::probabilities.size(); ++n) {
        const double expected = -100 * std::log(1 - summary::probabilities[n]);
        cr_assert_lt(std::abs(now.quantiles[n] - expected) / expected, 0.05, "quantile %zu is %f", n,
                     now.quantiles[n]);
    }
    cr_assert_eq(now.count, 100004U);
}

// Guards against unbounded memory through label values that callers choose.
Test(metrics, label_sets_are_bounded)
{
    registry it(3);
    for (int n = 0; n < 10; ++n)
        it.get_counter("c_total", "C.", {{"team", std::to_string(n)}}).add();
    const auto text = it.render();
    cr_assert(has_line(text, "c_total{team=\"2\"} 1"));
    cr_assert(has_line(text, "c_total{team=\"other\"} 7"));
    cr_assert(has_line(text, "limpetlock_metrics_overflow_total 7"));
}

// Guards against a name with two types of metric, and against a name that the exposition format doesn't
// allow.
Test(metrics, programming_errors_throw)
{
    registry it;
    it.get_counter("c_total", "C.");
    cr_assert_throw(it.get_gauge("c_total", "C."), std::logic_error);
    cr_assert_throw(it.get_counter("a b", "C."), std::invalid_argument);
    cr_assert_throw(it.get_counter("a", "C.", {{"1x", ""}}), std::invalid_argument);
}
