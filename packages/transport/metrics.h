// Counters for each refusal and retry reason, and histograms of times by stage.
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

    // A request was refused or ended in failure towards its caller.
    void count_refusal(reason why, verdict outcome);

    // An attempt failed and the request was tried again.
    void count_retry(reason why);

    // Any other event, by a name of lower-case letters and underscores, such as "requests_total".
    void count(std::string_view name, std::uint64_t by = 1);

    // Sets a value that goes up and down.
    void set_gauge(std::string_view name, std::int64_t value);

    // Time of one attempt of a stage at an endpoint.
    void record_stage(std::string_view pipeline, std::string_view stage,
                      std::chrono::microseconds elapsed);

    std::uint64_t counter(std::string_view name) const;
    std::uint64_t refusals(reason why) const;
    std::uint64_t retries(reason why) const;
    // Counts above zero by the reason's name.
    std::map<std::string, std::uint64_t> refusals_by_reason() const;
    std::map<std::string, std::uint64_t> retries_by_reason() const;

    // All values in the Prometheus text format, names prefixed with "zinnianotch_".
    std::string scrape() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
