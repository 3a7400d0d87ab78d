#include "transport/metrics.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

namespace zinnianotch
{

namespace
{

namespace bh = boost::histogram;

constexpr std::string_view prefix = "zinnianotch_";

// Locks of the named values and of the stage times; 256 workers record at once.
constexpr std::size_t shard_count = 16;

// Distinct pipeline and stage pairs; further ones are recorded together as "other". The design
// scale has 78, but pairs of superseded configurations remain until the process ends.
constexpr std::size_t series_limit = 1024;
constexpr std::string_view overflow_label = "other";

constexpr std::size_t verdict_count = 3;

// Upper bounds of the buckets in microseconds, dense around the targets of 33 ms and 0.82 s and up
// to the longest deadline of 60 s.
constexpr std::array<std::int64_t, 20> bucket_bounds = {
    1'000,     2'000,     5'000,     10'000,     20'000,     33'000,    50'000,
    100'000,   200'000,   330'000,   500'000,    820'000,    1'000'000, 1'500'000,
    2'000'000, 3'000'000, 5'000'000, 10'000'000, 30'000'000, 60'000'000};

using axis_type = bh::axis::variable<double>;
using histogram_type = decltype(bh::make_histogram(std::declval<axis_type>()));

// The bins of the library exclude their upper edge and Prometheus's buckets include it; times are
// whole microseconds, so an edge one higher gives the same bins.
axis_type make_axis()
{
    std::vector<double> edges = {0};
    for (const std::int64_t bound : bucket_bounds)
        edges.push_back(static_cast<double>(bound + 1));
    return axis_type(edges);
}

struct stage_times
{
    histogram_type histogram = bh::make_histogram(make_axis());
    std::int64_t sum_us = 0;
};

using stage_key = std::pair<std::string, std::string>;

std::string escape_label(std::string_view value)
{
    std::string out;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
            (out += '\\') += c;
        else if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

// Microseconds as a decimal number of seconds, without rounding.
std::string seconds(std::int64_t microseconds)
{
    std::string fraction = std::to_string(microseconds % 1'000'000);
    fraction.insert(0, 6 - fraction.size(), '0');
    while (!fraction.empty() && fraction.back() == '0')
        fraction.pop_back();
    const std::string whole = std::to_string(microseconds / 1'000'000);
    return fraction.empty() ? whole : whole + "." + fraction;
}

void write_type(std::ostream& out, std::string_view name, std::string_view type)
{
    out << "# TYPE " << prefix << name << ' ' << type << '\n';
}

// Values by name, spread over several locks.
template <typename Value>
class named_values
{
public:
    template <typename Change>
    void update(std::string_view name, Change change)
    {
        shard& used = shard_of(name);
        const std::lock_guard lock(used.mutex);
        const auto found = used.values.find(name);
        if (found != used.values.end())
            change(found->second);
        else
            change(used.values.emplace(std::string(name), Value{}).first->second);
    }

    Value get(std::string_view name) const
    {
        const shard& used = shard_of(name);
        const std::lock_guard lock(used.mutex);
        const auto found = used.values.find(name);
        return found == used.values.end() ? Value{} : found->second;
    }

    std::map<std::string, Value> all() const
    {
        std::map<std::string, Value> out;
        for (const shard& each : shards_)
        {
            const std::lock_guard lock(each.mutex);
            out.insert(each.values.begin(), each.values.end());
        }
        return out;
    }

private:
    struct shard
    {
        mutable std::mutex mutex;
        std::map<std::string, Value, std::less<>> values;
    };

    shard& shard_of(std::string_view name)
    {
        return shards_[std::hash<std::string_view>()(name) % shard_count];
    }
    const shard& shard_of(std::string_view name) const
    {
        return shards_[std::hash<std::string_view>()(name) % shard_count];
    }

    std::array<shard, shard_count> shards_;
};

// Times by pipeline and stage, spread over several locks.
class stage_histograms
{
public:
    void record(std::string_view pipeline, std::string_view stage, std::int64_t elapsed_us)
    {
        if (!try_record(pipeline, stage, elapsed_us, false))
            try_record(overflow_label, overflow_label, elapsed_us, true);
    }

    std::map<stage_key, stage_times> all() const
    {
        std::map<stage_key, stage_times> out;
        for (const shard& each : shards_)
        {
            const std::lock_guard lock(each.mutex);
            out.insert(each.series.begin(), each.series.end());
        }
        return out;
    }

private:
    struct shard
    {
        mutable std::mutex mutex;
        std::map<stage_key, stage_times> series;
    };

    // False when the pair is new and there is no room for it.
    bool try_record(std::string_view pipeline, std::string_view stage, std::int64_t elapsed_us,
                    bool beyond_limit)
    {
        const std::size_t hash =
            std::hash<std::string_view>()(pipeline) * 31 + std::hash<std::string_view>()(stage);
        shard& used = shards_[hash % shard_count];
        const stage_key key(pipeline, stage);
        const std::lock_guard lock(used.mutex);
        auto found = used.series.find(key);
        if (found == used.series.end())
        {
            if (series_.fetch_add(1) >= series_limit && !beyond_limit)
            {
                --series_;
                return false;
            }
            found = used.series.try_emplace(key).first;
        }
        found->second.histogram(static_cast<double>(elapsed_us));
        found->second.sum_us += elapsed_us;
        return true;
    }

    std::array<shard, shard_count> shards_;
    std::atomic<std::size_t> series_{0};
};

void write_series(std::ostream& out, const stage_key& key, const stage_times& times)
{
    constexpr std::string_view name = "stage_seconds";
    const std::string labels =
        "pipeline=\"" + escape_label(key.first) + "\",stage=\"" + escape_label(key.second) + "\"";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i)
    {
        below += static_cast<std::uint64_t>(times.histogram.at(static_cast<int>(i)));
        out << prefix << name << "_bucket{" << labels << ",le=\"" << seconds(bucket_bounds[i])
            << "\"} " << below << '\n';
    }
    below += static_cast<std::uint64_t>(
        times.histogram.at(static_cast<int>(bucket_bounds.size()))); // the overflow bin
    out << prefix << name << "_bucket{" << labels << ",le=\"+Inf\"} " << below << '\n';
    out << prefix << name << "_sum{" << labels << "} " << seconds(times.sum_us) << '\n';
    out << prefix << name << "_count{" << labels << "} " << below << '\n';
}

template <typename Count>
std::map<std::string, std::uint64_t> counts_by_reason(Count count)
{
    std::map<std::string, std::uint64_t> counts;
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        const auto why = static_cast<reason>(i);
        if (const std::uint64_t found = count(why); found > 0)
            counts[std::string(to_string(why))] = found;
    }
    return counts;
}

} // namespace

class metrics::impl
{
public:
    std::array<std::array<std::atomic<std::uint64_t>, verdict_count>, reason_count> refusals{};
    std::array<std::atomic<std::uint64_t>, reason_count> retries{};
    named_values<std::uint64_t> counters;
    named_values<std::int64_t> gauges;
    stage_histograms stages;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::count_refusal(reason why, verdict outcome)
{
    ++impl_->refusals[static_cast<std::size_t>(why)][static_cast<std::size_t>(outcome)];
}

void metrics::count_retry(reason why)
{
    ++impl_->retries[static_cast<std::size_t>(why)];
}

void metrics::count(std::string_view name, std::uint64_t by)
{
    impl_->counters.update(name, [by](std::uint64_t& value) { value += by; });
}

void metrics::set_gauge(std::string_view name, std::int64_t value)
{
    impl_->gauges.update(name, [value](std::int64_t& held) { held = value; });
}

void metrics::record_stage(std::string_view pipeline, std::string_view stage,
                           std::chrono::microseconds elapsed)
{
    impl_->stages.record(pipeline, stage, std::max<std::int64_t>(elapsed.count(), 0));
}

std::uint64_t metrics::counter(std::string_view name) const
{
    return impl_->counters.get(name);
}

std::uint64_t metrics::refusals(reason why) const
{
    std::uint64_t out = 0;
    for (const auto& count : impl_->refusals[static_cast<std::size_t>(why)])
        out += count;
    return out;
}

std::uint64_t metrics::retries(reason why) const
{
    return impl_->retries[static_cast<std::size_t>(why)];
}

std::map<std::string, std::uint64_t> metrics::refusals_by_reason() const
{
    return counts_by_reason([this](reason why) { return refusals(why); });
}

std::map<std::string, std::uint64_t> metrics::retries_by_reason() const
{
    return counts_by_reason([this](reason why) { return retries(why); });
}

// Reasons are written from the start with zero, so that a rate exists before the first event.
std::string metrics::scrape() const
{
    std::ostringstream out;
    write_type(out, "refusals_total", "counter");
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        for (std::size_t j = 0; j < verdict_count; ++j)
        {
            out << prefix << "refusals_total{reason=\"" << to_string(static_cast<reason>(i))
                << "\",verdict=\"" << to_string(static_cast<verdict>(j)) << "\"} "
                << impl_->refusals[i][j] << '\n';
        }
    }
    write_type(out, "retries_total", "counter");
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        out << prefix << "retries_total{reason=\"" << to_string(static_cast<reason>(i)) << "\"} "
            << impl_->retries[i] << '\n';
    }
    for (const auto& [name, value] : impl_->counters.all())
    {
        write_type(out, name, "counter");
        out << prefix << name << ' ' << value << '\n';
    }
    for (const auto& [name, value] : impl_->gauges.all())
    {
        write_type(out, name, "gauge");
        out << prefix << name << ' ' << value << '\n';
    }
    write_type(out, "stage_seconds", "histogram");
    for (const auto& [key, times] : impl_->stages.all())
        write_series(out, key, times);
    return out.str();
}

} // namespace zinnianotch
