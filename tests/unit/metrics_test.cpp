// metrics: counters, gauges and histograms, and their output in the Prometheus text format.
#include "transport/metrics.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

using namespace zinnianotch;

namespace
{

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

void expect_line(const std::string& text, const std::string& line)
{
    cr_assert(has_line(text, line), "missing line: %s", line.c_str());
}

} // namespace

// Guards against events being lost when several threads count at the same time.
Test(metrics, concurrent_events_all_counted)
{
    constexpr int threads = 8;
    constexpr int events = 2000;
    metrics registry;
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int t = 0; t < threads; ++t)
    {
        workers.emplace_back(
            [&]
            {
                for (int i = 0; i < events; ++i)
                {
                    registry.count("requests_total");
                    registry.count_refusal(reason::overloaded, verdict::not_run);
                    registry.count_retry(reason::busy);
                    registry.record_stage_time("draft", "rerank", std::chrono::microseconds(i));
                }
            });
    }
    for (std::thread& worker : workers)
        worker.join();
    cr_assert(registry.counter("requests_total") == threads * events);
    cr_assert(registry.refusals(reason::overloaded) == threads * events);
    cr_assert(registry.retries(reason::busy) == threads * events);
    expect_line(registry.scrape(),
                "zinnianotch_stage_seconds_count{pipeline=\"draft\",stage=\"rerank\"} 16000");
}

// Guards against counters that grow with the number of accounts, and accounts that are lost.
Test(metrics, count_for_account_many_accounts_are_counted_together)
{
    metrics registry;
    registry.count_for_account("account_pieces_total", "a\"b", 3);
    for (int i = 0; i < 500; ++i)
        registry.count_for_account("account_pieces_total", "c" + std::to_string(i));
    registry.count_for_account("account_pieces_total", "a\"b", 4);
    cr_assert(registry.account_counter("account_pieces_total", "a\"b") == 7);
    cr_assert(registry.account_counter("account_pieces_total", "c0") == 1);
    cr_assert(registry.account_counter("account_pieces_total", "other") == 437);
    expect_line(registry.scrape(), "zinnianotch_account_pieces_total{account=\"a\\\"b\"} 7");
}

// Guards against refusals that are not counted by reason and verdict, and against a counter that
// appears only with its first event: rate() does not see an increase without an earlier sample.
Test(metrics, scrape_every_reason_and_verdict_present)
{
    metrics registry;
    registry.count_refusal(reason::order_in_progress, verdict::may_have_run);
    registry.count_refusal(reason::order_in_progress, verdict::not_run);
    registry.count_refusal(reason::order_in_progress, verdict::not_run);
    cr_assert(registry.refusals(reason::order_in_progress) == 3);
    cr_assert(registry.refusals(reason::busy) == 0);
    const std::string text = registry.scrape();
    expect_line(text, "# TYPE zinnianotch_refusals_total counter");
    expect_line(text,
                "zinnianotch_refusals_total{reason=\"order_in_progress\",verdict=\"not_run\"} 2");
    expect_line(
        text,
        "zinnianotch_refusals_total{reason=\"order_in_progress\",verdict=\"may_have_run\"} 1");
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        const std::string name(to_string(static_cast<reason>(i)));
        expect_line(text, "zinnianotch_retries_total{reason=\"" + name + "\"} 0");
    }
}

// Guards against names without the prefix, gauges that cannot decrease and increments other than
// one being miscounted.
Test(metrics, scrape_named_values_prefixed)
{
    metrics registry;
    registry.count("tokens_total", 40);
    registry.count("tokens_total", 2);
    registry.set_gauge("config_version", 12);
    registry.set_gauge("config_version", -3);
    cr_assert(registry.counter("tokens_total") == 42);
    cr_assert(registry.counter("unknown") == 0);
    const std::string text = registry.scrape();
    expect_line(text, "# TYPE zinnianotch_tokens_total counter");
    expect_line(text, "zinnianotch_tokens_total 42");
    expect_line(text, "# TYPE zinnianotch_config_version gauge");
    expect_line(text, "zinnianotch_config_version -3");
}

// Guards against a time equal to a bucket's upper bound being counted in the next bucket, buckets
// that are not cumulative, and times above the last bound missing from the count.
Test(metrics, record_stage_buckets_cumulative_and_inclusive)
{
    metrics registry;
    for (const int us : {0, 1000, 1001, 33000, 60000000, 60000001})
        registry.record_stage_time("draft", "generate", std::chrono::microseconds(us));
    const std::string text = registry.scrape();
    const std::string series =
        "zinnianotch_stage_seconds_bucket{pipeline=\"draft\",stage=\"generate\",le=";
    expect_line(text, "# TYPE zinnianotch_stage_seconds histogram");
    expect_line(text, series + "\"0.001\"} 2");
    expect_line(text, series + "\"0.002\"} 3");
    expect_line(text, series + "\"0.02\"} 3");
    expect_line(text, series + "\"0.033\"} 4");
    expect_line(text, series + "\"60\"} 5");
    expect_line(text, series + "\"+Inf\"} 6");
    expect_line(text,
                "zinnianotch_stage_seconds_sum{pipeline=\"draft\",stage=\"generate\"} 120.035002");
    expect_line(text, "zinnianotch_stage_seconds_count{pipeline=\"draft\",stage=\"generate\"} 6");
}

// Guards against a pipeline name that makes the whole scrape invalid.
Test(metrics, scrape_label_with_quote_escaped)
{
    metrics registry;
    registry.record_stage_time("a\"b\\c\nd", "s", std::chrono::microseconds(1));
    expect_line(registry.scrape(),
                "zinnianotch_stage_seconds_count{pipeline=\"a\\\"b\\\\c\\nd\",stage=\"s\"} 1");
}

// Guards against memory use that grows with each pipeline that any configuration version has named.
Test(metrics, record_stage_many_pipelines_bounded)
{
    constexpr int pipelines = 5000;
    metrics registry;
    for (int i = 0; i < pipelines; ++i)
        registry.record_stage_time("p" + std::to_string(i), "s", std::chrono::microseconds(1));
    const std::string text = registry.scrape();
    // Each pipeline has one series here; those beyond the limit of 1024 are counted together.
    expect_line(text, "zinnianotch_stage_seconds_count{pipeline=\"other\",stage=\"other\"} 3976");
    cr_assert(!has_line(text, "zinnianotch_stage_seconds_count{pipeline=\"p4999\",stage=\"s\"} 1"));
}
