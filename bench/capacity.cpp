// Measures how the resource use of a VM grows with the number of VMs, endpoints, accounts, requests
// and tokens. docs/CAPACITY.md extrapolates to the design scale from the fitted slopes.
#include "load.h"
#include "measure.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace bench;
using web::json::value;

// By then the last VM has joined and the limits of the endpoints no longer change.
constexpr double settle_s = 4;
constexpr double sample_s = 10;
// Idle threads use memory too; the design scale needs only few threads per VM.
constexpr const char* small_vm_settings = "limits: {workers: 32, queue_length: 256}\n";

// Resource use of one VM, averaged over all VMs: rates per second and resident memory.
struct vm_cost
{
    double cpu_percent = 0;
    double megabytes = 0;
    double kilobytes_per_s = 0; // traffic between VMs, sent and received
    double table_reads_per_s = 0;
    double table_writes_per_s = 0;
};

struct usage_totals
{
    double cpu_s = 0;
    double bytes = 0;
    double table_requests = 0;
    double table_writes = 0;
};

usage_totals read_usage(const fixture::deployment& cluster)
{
    usage_totals out;
    for (const auto& [name, vm] : cluster.vms)
    {
        out.cpu_s += cpu_seconds(vm.process->pid());
        out.bytes += static_cast<double>(tcp_bytes(vm.peer_port));
    }
    const value counters = cluster.table.counters();
    out.table_requests = counters.at("requests").as_double();
    out.table_writes = counters.at("writes").as_double();
    return out;
}

void sleep_seconds(double time_s)
{
    std::this_thread::sleep_for(seconds(time_s));
}

// Peer traffic is read only at the accepting side of each connection, so it is doubled to charge
// both ends.
vm_cost measure_idle(const fixture::deployment& cluster)
{
    sleep_seconds(settle_s);
    const usage_totals before = read_usage(cluster);
    sleep_seconds(sample_s);
    const usage_totals after = read_usage(cluster);
    const auto vm_count = static_cast<double>(cluster.vms.size());
    vm_cost cost;
    cost.cpu_percent = 100 * (after.cpu_s - before.cpu_s) / sample_s / vm_count;
    cost.kilobytes_per_s = 2 * (after.bytes - before.bytes) / 1000 / sample_s / vm_count;
    cost.table_writes_per_s = (after.table_writes - before.table_writes) / sample_s / vm_count;
    cost.table_reads_per_s = (after.table_requests - before.table_requests) / sample_s / vm_count -
                             cost.table_writes_per_s;
    for (const auto& [name, vm] : cluster.vms)
        cost.megabytes += static_cast<double>(resident_bytes(vm.process->pid())) / 1e6 / vm_count;
    return cost;
}

void print_fit(const char* quantity, const char* unit, const std::vector<double>& x,
               const std::vector<double>& y)
{
    const line_fit line = fit(x, y);
    std::printf("fit %-22s %10.4f + %.6f * x %s, R2 %.3f\n", quantity, line.offset, line.slope,
                unit, line.r_squared);
}

// Prints one row per measured size and, at the end, linear fits over all rows.
class cost_table
{
public:
    explicit cost_table(const char* variable)
    {
        std::printf("%12s %9s %9s %9s %9s %9s\n", variable, "cpu %", "MB", "peer KB/s", "reads/s",
                    "writes/s");
    }

    void add(double x, const vm_cost& cost)
    {
        std::printf("%12.0f %9.3f %9.2f %9.2f %9.2f %9.3f\n", x, cost.cpu_percent, cost.megabytes,
                    cost.kilobytes_per_s, cost.table_reads_per_s, cost.table_writes_per_s);
        (void)std::fflush(stdout);
        x_.push_back(x);
        cpu_.push_back(cost.cpu_percent);
        memory_.push_back(cost.megabytes);
        traffic_.push_back(cost.kilobytes_per_s);
        reads_.push_back(cost.table_reads_per_s);
    }

    void print_fits() const
    {
        print_fit("cpu", "% of a core", x_, cpu_);
        print_fit("memory", "MB", x_, memory_);
        print_fit("peer traffic", "KB/s", x_, traffic_);
        print_fit("table reads", "per s", x_, reads_);
    }

private:
    std::vector<double> x_;
    std::vector<double> cpu_;
    std::vector<double> memory_;
    std::vector<double> traffic_;
    std::vector<double> reads_;
};

// Adds endpoints without a process of their own, which cost only look-ups and space in messages.
// All have the port of one stand-in, so that requests for their load reports are answered.
void add_endpoints(value& document, int count, std::uint16_t port)
{
    value pool = value::object();
    pool["name"] = value("more");
    value list = value::array();
    for (int i = 0; i < count; ++i)
    {
        value endpoint = value::object();
        endpoint["id"] = value("more-" + std::to_string(i));
        endpoint["domain"] = value(std::string(i % 2 == 0 ? "dom-a" : "dom-b"));
        endpoint["url"] = value("http://127.0.0.1:" + std::to_string(port));
        endpoint["leaving"] = value::boolean(false);
        list[static_cast<std::size_t>(i)] = endpoint;
    }
    pool["endpoints"] = list;
    document["pools"][document["pools"].size()] = pool;
}

void add_accounts(value& document, int count)
{
    value& accounts = document["accounts"];
    for (int i = 0; i < count; ++i)
    {
        value account = value::object();
        account["name"] = value("account-" + std::to_string(i));
        account["team"] = value(std::string("catalogue"));
        account["priority"] = value::number(0);
        accounts[accounts.size()] = account;
    }
}

void measure_fleet()
{
    cost_table table("VMs/domain");
    for (const int vms : {1, 3, 6, 12, 24})
    {
        fixture::deployment_options options;
        options.vms_per_domain = vms;
        options.extra_settings = small_vm_settings;
        const fixture::deployment cluster(options);
        table.add(vms, measure_idle(cluster));
    }
    table.print_fits();
}

void measure_endpoints()
{
    cost_table table("endpoints");
    fixture::standin target("stage");
    for (const int count : {0, 60, 120, 240})
    {
        fixture::deployment_options options;
        options.vms_per_domain = 3;
        options.extra_settings = small_vm_settings;
        options.modify_configuration = [&](value& document)
        { add_endpoints(document, count, target.port()); };
        const fixture::deployment cluster(options);
        table.add(count, measure_idle(cluster));
    }
    table.print_fits();
}

void measure_accounts()
{
    cost_table table("accounts");
    for (const int count : {0, 1600, 3200, 6400})
    {
        fixture::deployment_options options;
        options.extra_settings = small_vm_settings;
        options.modify_configuration = [&](value& document) { add_accounts(document, count); };
        const fixture::deployment cluster(options);
        table.add(count, measure_idle(cluster));
    }
    table.print_fits();
}

std::vector<std::string> vm_names(const fixture::deployment& cluster)
{
    std::vector<std::string> names;
    for (const auto& [name, vm] : cluster.vms)
        names.push_back(name);
    return names;
}

// CPU time of all VMs together per request, at several request rates or response lengths.
void measure_requests(const std::vector<double>& rates, const std::vector<int>& tokens)
{
    std::printf("%9s %9s %12s %9s %9s\n", "req/s", "tokens", "CPU ms/req", "done", "p50 ms");
    std::vector<double> x_values;
    std::vector<double> cpu_ms;
    for (const int length : tokens)
    {
        for (const double rate : rates)
        {
            fixture::deployment_options options;
            options.vms_per_domain = 2;
            options.endpoints_per_pool = 3;
            options.modify_configuration = [&](value& document)
            {
                value& stages = document["pipelines"][0]["stages"];
                stages[stages.size() - 1]["max_tokens"] = value::number(length);
            };
            const fixture::deployment cluster(options);
            load_plan plan;
            plan.rates = {{0, rate}};
            plan.duration_s = sample_s;
            const usage_totals before = read_usage(cluster);
            const std::vector<sample> samples = run_load(cluster, plan, vm_names(cluster));
            const usage_totals after = read_usage(cluster);
            std::vector<double> latencies_ms;
            for (const sample& request : samples)
            {
                if (request.complete)
                    latencies_ms.push_back(request.done_ms);
            }
            const auto done = static_cast<double>(latencies_ms.size());
            const double cpu_ms_per_request =
                1000 * (after.cpu_s - before.cpu_s) / std::max(1.0, done);
            std::printf("%9.0f %9d %12.3f %9.0f %9.1f\n", rate, length, cpu_ms_per_request, done,
                        quantile(latencies_ms, 0.5));
            (void)std::fflush(stdout);
            x_values.push_back(tokens.size() > 1 ? length : rate);
            cpu_ms.push_back(cpu_ms_per_request);
        }
    }
    print_fit("cpu per request", "ms", x_values, cpu_ms);
}

} // namespace

int main(int argc, const char** argv)
{
    const poptOption options[] = {POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("capacity", argc, argv, options, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "fleet|endpoints|accounts|requests|tokens");
    if (poptGetNextOpt(context.get()) < -1)
        return 2;
    const char* argument = poptGetArg(context.get());
    const std::string measurement = argument == nullptr ? "" : argument;
    try
    {
        if (measurement == "fleet")
            measure_fleet();
        else if (measurement == "endpoints")
            measure_endpoints();
        else if (measurement == "accounts")
            measure_accounts();
        else if (measurement == "requests")
            measure_requests({25, 50, 100}, {16});
        else if (measurement == "tokens")
            measure_requests({25}, {16, 64, 128, 256});
        else
        {
            poptPrintUsage(context.get(), stderr, 0);
            return 2;
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "capacity: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
