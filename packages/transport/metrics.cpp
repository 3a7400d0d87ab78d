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

constexpr std::string_view name_prefix = "zinnianotch_";

// Shards, each with its own lock, that reduce contention among 256 concurrent workers.
constexpr std::size_t shard_count = 16;

// Maximum number of distinct pairs of pipeline and stage; further ones are recorded together as
// "other". The design scale has 78 pairs, but those of superseded configurations remain until the
// process ends.
constexpr std::size_t series_limit = 1024;
// Maximum number of accounts of one counter.
constexpr std::size_t account_limit = 64;
constexpr std::string_view overflow_label = "other";

constexpr std::size_t verdict_count = 3;

// Upper bounds of the buckets in microseconds: dense around the latency targets of 33 ms and
// 0.82 s, up to the longest deadline of 60 s.
constexpr std::array<std::int64_t, 20> bucket_bounds = {
    1'000,     2'000,     5'000,     10'000,     20'000,     33'000,    50'000,
    100'000,   200'000,   330'000,   500'000,    820'000,    1'000'000, 1'500'000,
    2'000'000, 3'000'000, 5'000'000, 10'000'000, 30'000'000, 60'000'000};

using axis_type = bh::axis::variable<double>;
using histogram_type = decltype(bh::make_histogram(std::declval<axis_type>()));

// Boost.Histogram's bins exclude their upper edge, Prometheus's buckets include it. Durations are
// whole microseconds, so raising each edge by one makes the bins equal to the buckets.
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

// Formats microseconds as a decimal number of seconds, without rounding.
std::string format_seconds(std::int64_t microseconds)
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
    out << "# TYPE " << name_prefix << name << ' ' << type << '\n';
}

// Values by name, sharded to reduce lock contention.
template <typename Value>
class named_values
{
public:
    template <typename Change>
    void update(std::string_view name, Change change)
    {
        shard& target = shard_of(name);
        const std::lock_guard lock(target.mutex);
        const auto found = target.values.find(name);
        if (found != target.values.end())
            change(found->second);
        else
            change(target.values.emplace(std::string(name), Value{}).first->second);
    }

    Value get(std::string_view name) const
    {
        const shard& target = shard_of(name);
        const std::lock_guard lock(target.mutex);
        const auto found = target.values.find(name);
        return found == target.values.end() ? Value{} : found->second;
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

// Duration histograms by pipeline and stage, sharded to reduce lock contention.
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

    // False if the pair is new and series_limit has been reached.
    bool try_record(std::string_view pipeline, std::string_view stage, std::int64_t elapsed_us,
                    bool ignore_limit)
    {
        const std::size_t hash =
            std::hash<std::string_view>()(pipeline) * 31 + std::hash<std::string_view>()(stage);
        shard& target = shards_[hash % shard_count];
        const stage_key key(pipeline, stage);
        const std::lock_guard lock(target.mutex);
        auto found = target.series.find(key);
        if (found == target.series.end())
        {
            if (series_count_.fetch_add(1) >= series_limit && !ignore_limit)
            {
                --series_count_;
                return false;
            }
            found = target.series.try_emplace(key).first;
        }
        found->second.histogram(static_cast<double>(elapsed_us));
        found->second.sum_us += elapsed_us;
        return true;
    }

    std::array<shard, shard_count> shards_;
    std::atomic<std::size_t> series_count_{0};
};

void write_series(std::ostream& out, const stage_key& key, const stage_times& times)
{
    constexpr std::string_view name = "stage_seconds";
    const std::string labels =
        "pipeline=\"" + escape_label(key.first) + "\",stage=\"" + escape_label(key.second) + "\"";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i)
    {
        cumulative += static_cast<std::uint64_t>(times.histogram.at(static_cast<int>(i)));
        out << name_prefix << name << "_bucket{" << labels << ",le=\""
            << format_seconds(bucket_bounds[i]) << "\"} " << cumulative << '\n';
    }
    cumulative += static_cast<std::uint64_t>(
        times.histogram.at(static_cast<int>(bucket_bounds.size()))); // the overflow bin
    out << name_prefix << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << '\n';
    out << name_prefix << name << "_sum{" << labels << "} " << format_seconds(times.sum_us) << '\n';
    out << name_prefix << name << "_count{" << labels << "} " << cumulative << '\n';
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
    named_values<std::map<std::string, std::uint64_t, std::less<>>> by_account; // by counter
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

void metrics::count(std::string_view name, std::uint64_t increment)
{
    impl_->counters.update(name, [increment](std::uint64_t& value) { value += increment; });
}

void metrics::count_for_account(std::string_view name, std::string_view account,
                                std::uint64_t increment)
{
    impl_->by_account.update(name,
                             [&](auto& counts)
                             {
                                 const bool fits =
                                     counts.contains(account) || counts.size() < account_limit;
                                 counts[std::string(fits ? account : overflow_label)] += increment;
                             });
}

void metrics::set_gauge(std::string_view name, std::int64_t value)
{
    impl_->gauges.update(name, [value](std::int64_t& current) { current = value; });
}

void metrics::record_stage_time(std::string_view pipeline, std::string_view stage,
                                std::chrono::microseconds elapsed)
{
    impl_->stages.record(pipeline, stage, std::max<std::int64_t>(elapsed.count(), 0));
}

std::uint64_t metrics::counter(std::string_view name) const
{
    return impl_->counters.get(name);
}

std::uint64_t metrics::account_counter(std::string_view name, std::string_view account) const
{
    const auto counts = impl_->by_account.get(name);
    const auto found = counts.find(account);
    return found == counts.end() ? 0 : found->second;
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

// Counters by reason are written even while zero, so that rates are defined before the first event.
std::string metrics::scrape() const
{
    std::ostringstream out;
    write_type(out, "refusals_total", "counter");
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        for (std::size_t j = 0; j < verdict_count; ++j)
        {
            out << name_prefix << "refusals_total{reason=\"" << to_string(static_cast<reason>(i))
                << "\",verdict=\"" << to_string(static_cast<verdict>(j)) << "\"} "
                << impl_->refusals[i][j] << '\n';
        }
    }
    write_type(out, "retries_total", "counter");
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        out << name_prefix << "retries_total{reason=\"" << to_string(static_cast<reason>(i))
            << "\"} " << impl_->retries[i] << '\n';
    }
    for (const auto& [name, value] : impl_->counters.all())
    {
        write_type(out, name, "counter");
        out << name_prefix << name << ' ' << value << '\n';
    }
    for (const auto& [name, counts] : impl_->by_account.all())
    {
        write_type(out, name, "counter");
        for (const auto& [account, count] : counts)
            out << name_prefix << name << "{account=\"" << escape_label(account) << "\"} " << count
                << '\n';
    }
    for (const auto& [name, value] : impl_->gauges.all())
    {
        write_type(out, name, "gauge");
        out << name_prefix << name << ' ' << value << '\n';
    }
    write_type(out, "stage_seconds", "histogram");
    for (const auto& [key, times] : impl_->stages.all())
        write_series(out, key, times);
    return out.str();
}

} // namespace zinnianotch
