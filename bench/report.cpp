#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bench
{

namespace
{

using web::json::value;

constexpr int plot_width = 720;
constexpr int plot_height = 260;
constexpr int plot_margin = 40;
const std::vector<std::string> colours = {"#1f77b4", "#d62728", "#2ca02c"};

bool in_time(const sample& request, const load_plan& plan)
{
    return request.complete && request.done_ms <= static_cast<double>(plan.deadline.count());
}

double attainment(const std::vector<sample>& samples, const load_plan& plan)
{
    const auto met = std::count_if(samples.begin(), samples.end(),
                                   [&](const sample& request) { return in_time(request, plan); });
    return samples.empty() ? 1 : static_cast<double>(met) / static_cast<double>(samples.size());
}

// Fraction of the requests of each second that were answered completely and in time.
std::vector<double> attainment_by_second(const std::vector<sample>& samples, const load_plan& plan)
{
    const auto second_count = static_cast<std::size_t>(std::ceil(plan.duration_s));
    std::vector<std::vector<sample>> by_second(second_count);
    for (const sample& request : samples)
        by_second[static_cast<std::size_t>(request.at_s)].push_back(request);
    std::vector<double> fractions;
    fractions.reserve(second_count);
    for (const std::vector<sample>& second : by_second)
        fractions.push_back(attainment(second, plan));
    return fractions;
}

std::map<std::string, std::size_t> errors_by_reason(const std::vector<sample>& samples)
{
    std::map<std::string, std::size_t> counts;
    for (const sample& request : samples)
    {
        if (!request.complete)
            ++counts[request.reason + "/" + request.verdict];
    }
    return counts;
}

std::vector<double> latencies(const std::vector<sample>& samples, double sample::*member)
{
    std::vector<double> out;
    for (const sample& request : samples)
    {
        if (request.complete)
            out.push_back(request.*member);
    }
    return out;
}

std::uint64_t total_starts(const policy_result& result)
{
    std::uint64_t total = 0;
    for (const auto& [id, count] : result.starts)
        total += count;
    return total;
}

value to_json(const policy_result& result, const load_plan& plan)
{
    value out = value::object();
    out["policy"] = value(result.policy);
    out["requests"] = value::number(static_cast<std::uint64_t>(result.samples.size()));
    out["attainment"] = value::number(attainment(result.samples, plan));
    value by_second = value::array();
    std::size_t index = 0;
    for (const double fraction : attainment_by_second(result.samples, plan))
        by_second[index++] = value::number(fraction);
    out["attainment_by_second"] = by_second;
    for (const auto& [name, member] : {std::pair{"first_token_ms", &sample::first_token_ms},
                                       std::pair{"done_ms", &sample::done_ms}})
    {
        const std::vector<double> latencies_ms = latencies(result.samples, member);
        value quantiles = value::object();
        quantiles["p50"] = value::number(quantile(latencies_ms, 0.50));
        quantiles["p95"] = value::number(quantile(latencies_ms, 0.95));
        quantiles["p99"] = value::number(quantile(latencies_ms, 0.99));
        out[name] = quantiles;
    }
    value counts = value::object();
    for (const auto& [reason, count] : errors_by_reason(result.samples))
        counts[reason] = value::number(static_cast<std::uint64_t>(count));
    out["refusals"] = counts;
    value starts = value::object();
    for (const auto& [id, count] : result.starts)
        starts[id] = value::number(count);
    out["starts"] = starts;
    out["overruns"] = value::number(result.overruns);
    out["cancelled"] = value::number(result.cancelled);
    return out;
}

// SVG with one line per policy: the attainment per second, 0 to 1 on the vertical axis.
std::string render_plot(const std::string& name, const load_plan& plan,
                        const std::vector<policy_result>& results)
{
    const double x_scale = (plot_width - 2.0 * plot_margin) / plan.duration_s;
    const double y_scale = plot_height - 2.0 * plot_margin;
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width << "\" height=\""
        << plot_height << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << plot_margin << "\" y=\"16\">" << name
        << ": fraction answered completely and in time, per second</text>\n";
    for (const double fraction : {0.0, 0.5, 1.0})
    {
        const double y = plot_height - plot_margin - fraction * y_scale;
        svg << "<line x1=\"" << plot_margin << "\" x2=\"" << plot_width - plot_margin << "\" y1=\""
            << y << "\" y2=\"" << y << "\" stroke=\"#cccccc\"/>\n"
            << "<text x=\"8\" y=\"" << y + 4 << "\">" << fraction << "</text>\n";
    }
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        const std::string& colour = colours[i % colours.size()];
        svg << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        double second = 0.5;
        for (const double fraction : attainment_by_second(results[i].samples, plan))
        {
            svg << plot_margin + second * x_scale << ","
                << plot_height - plot_margin - fraction * y_scale << " ";
            second += 1;
        }
        svg << "\"/>\n<text x=\"" << plot_margin + 150 * i << "\" y=\"" << plot_height - 10
            << "\" fill=\"" << colour << "\">" << results[i].policy << "</text>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
        throw std::runtime_error("cannot write " + path);
}

} // namespace

void print_table(const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results)
{
    std::printf("experiment %s, seed %llu, deadline %lld ms\n", name.c_str(),
                static_cast<unsigned long long>(plan.seed),
                static_cast<long long>(plan.deadline.count()));
    std::printf("%-20s %8s %9s %9s %9s %9s %9s %8s %8s\n", "policy", "requests", "in time",
                "worst s", "p50 ms", "p95 ms", "p99 ms", "starts", "overruns");
    for (const policy_result& result : results)
    {
        const std::vector<double> done = latencies(result.samples, &sample::done_ms);
        const std::vector<double> fractions = attainment_by_second(result.samples, plan);
        const double worst =
            fractions.empty() ? 1 : *std::min_element(fractions.begin(), fractions.end());
        std::printf("%-20s %8zu %8.2f%% %8.2f%% %9.1f %9.1f %9.1f %8llu %8llu\n",
                    result.policy.c_str(), result.samples.size(),
                    100 * attainment(result.samples, plan), 100 * worst, quantile(done, 0.5),
                    quantile(done, 0.95), quantile(done, 0.99),
                    static_cast<unsigned long long>(total_starts(result)),
                    static_cast<unsigned long long>(result.overruns));
        for (const auto& [reason, count] : errors_by_reason(result.samples))
            std::printf("    %-40s %zu\n", reason.c_str(), count);
    }
}

void write_files(const std::string& directory, const std::string& name, const load_plan& plan,
                 const std::vector<policy_result>& results)
{
    value document = value::object();
    document["experiment"] = value(name);
    document["seed"] = value::number(plan.seed);
    value result_list = value::array();
    for (std::size_t i = 0; i < results.size(); ++i)
        result_list[i] = to_json(results[i], plan);
    document["results"] = result_list;
    write_file(directory + "/" + name + ".json", document.serialize() + "\n");
    write_file(directory + "/" + name + ".svg", render_plot(name, plan, results));
}

} // namespace bench
