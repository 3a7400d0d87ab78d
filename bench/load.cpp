#include "load.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <random>
#include <thread>

namespace bench
{

namespace
{

using clock = std::chrono::steady_clock;

double ms_since(clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

double rate_at(const load_plan& plan, double at_s)
{
    double rate = 0;
    for (const rate_step& step : plan.rates)
    {
        if (step.at_s <= at_s)
            rate = step.per_second;
    }
    return rate;
}

std::string string_field(const web::json::value& object, const std::string& name)
{
    return object.is_object() && object.has_string_field(name) ? object.at(name).as_string()
                                                               : std::string();
}

void read_error(const web::json::value& error, sample& out)
{
    out.reason = string_field(error, "reason");
    out.verdict = string_field(error, "verdict");
}

sample send_request(const fixture::deployment& target, const load_plan& plan, const std::string& vm,
                    double at_s, clock::time_point scheduled)
{
    sample out;
    out.at_s = at_s;
    out.vm = vm;
    const auto on_line = [&](std::string_view)
    {
        if (out.first_token_ms == 0)
            out.first_token_ms = ms_since(scheduled);
        return true;
    };
    try
    {
        const fixture::http_stream_result answer =
            target.run_pipeline(target.vms.at(vm), plan.input, plan.deadline, on_line);
        out.status = answer.status;
        std::error_code ignored;
        const std::string& last = answer.lines.empty() ? answer.body : answer.lines.back();
        const auto end = web::json::value::parse(last, ignored);
        if (answer.status == 200)
        {
            out.complete = answer.complete && string_field(end, "type") == "end";
            read_error(end, out);
        }
        else if (end.is_object() && end.has_object_field("error"))
            read_error(end.at("error"), out);
    }
    catch (const std::exception&)
    {
        out.reason = "no_answer";
    }
    out.done_ms = ms_since(scheduled);
    return out;
}

} // namespace

std::vector<double> arrival_times(const load_plan& plan)
{
    std::mt19937_64 random(plan.seed);
    std::exponential_distribution<double> gap(1.0);
    std::vector<double> times;
    double at = 0;
    while (at < plan.duration_s)
    {
        const double rate = rate_at(plan, at);
        if (rate <= 0)
            break;
        at += gap(random) / rate;
        if (at < plan.duration_s)
            times.push_back(at);
    }
    return times;
}

std::vector<sample> run_load(const fixture::deployment& target, const load_plan& plan,
                             const std::vector<std::string>& vms,
                             const std::function<void(int)>& on_second)
{
    const std::vector<double> times = arrival_times(plan);
    std::vector<sample> samples(times.size());
    std::atomic<std::size_t> next{0};
    const clock::time_point start = clock::now() + std::chrono::milliseconds(50);
    const auto scheduled = [&](double at_s)
    { return start + std::chrono::duration_cast<clock::duration>(seconds(at_s)); };

    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < plan.max_in_flight; ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (;;)
                {
                    const std::size_t index = next.fetch_add(1);
                    if (index >= times.size())
                        return;
                    std::this_thread::sleep_until(scheduled(times[index]));
                    samples[index] = send_request(target, plan, vms[index % vms.size()],
                                                  times[index], scheduled(times[index]));
                }
            });
    }
    // on_second runs on the calling thread: a child process is killed when the thread that started
    // it exits.
    const int last_second = static_cast<int>(std::ceil(plan.duration_s));
    for (int second = 0; on_second && second < last_second; ++second)
    {
        std::this_thread::sleep_until(scheduled(second));
        on_second(second);
    }
    threads.clear();
    return samples;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const double position = fraction * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(position))];
}

} // namespace bench
