// Counters per refusal and retry reason, named counters and gauges, and latency histograms per
// stage.
#pragma once

#include "state/time.h"
#include "state/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinnianotch
{

class metrics
{
public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Counts a request that was refused or that failed, as reported to its caller.
    void count_refusal(reason why, verdict outcome);

    // Counts a failed attempt after which the request was retried.
    void count_retry(reason why);

    // Increments a named counter. The name consists of lower-case letters and underscores, such as
    // "requests_total".
    void count(std::string_view name, std::uint64_t increment = 1);

    // The same with the label `account`. Beyond a limit, further accounts of a name are counted
    // together as "other".
    void count_for_account(std::string_view name, std::string_view account,
                           std::uint64_t increment = 1);

    void set_gauge(std::string_view name, std::int64_t value);

    // Records the duration of one attempt of a stage at an endpoint.
    void record_stage_time(std::string_view pipeline, std::string_view stage,
                           std::chrono::microseconds elapsed);

    std::uint64_t counter(std::string_view name) const;
    std::uint64_t account_counter(std::string_view name, std::string_view account) const;
    std::uint64_t refusals(reason why) const;
    std::uint64_t retries(reason why) const;
    // Nonzero counts by name of the reason.
    std::map<std::string, std::uint64_t> refusals_by_reason() const;
    std::map<std::string, std::uint64_t> retries_by_reason() const;

    // All metrics in the Prometheus text format; the names have the prefix "zinnianotch_".
    std::string scrape() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
