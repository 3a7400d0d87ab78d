// Runs the experiment described by a YAML file: for each routing policy in turn, the same seeded
// load and the same events, on real zinnianotchd processes and endpoint stand-ins. Prints a table
// and writes the results as JSON and a plot of the deadline attainment per second as SVG.
#include "load.h"
#include "measure.h"
#include "report.h"

#include <popt.h>
#include <yaml-cpp/yaml.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace bench;
using web::json::value;

struct event
{
    int at_s = 0;
    std::string action;
    std::string target;
};

struct experiment
{
    std::string name;
    std::vector<std::string> policies;
    fixture::deployment_options deployment;
    load_plan load;
    std::vector<event> events;
};

experiment read_experiment(const std::string& path)
{
    const YAML::Node root = YAML::LoadFile(path);
    experiment out;
    out.name = root["name"].as<std::string>();
    out.policies = root["policies"].as<std::vector<std::string>>();
    const YAML::Node deployment_node = root["deployment"];
    out.deployment.vms_per_domain = deployment_node["vms_per_domain"].as<int>();
    out.deployment.endpoints_per_pool = deployment_node["endpoints_per_pool"].as<int>();
    out.deployment.endpoint_arguments =
        deployment_node["endpoint_arguments"].as<std::vector<std::string>>();
    out.load.seed = root["seed"].as<std::uint64_t>();
    out.load.duration_s = root["duration_s"].as<double>();
    out.load.deadline = zinnianotch::milliseconds(root["deadline_ms"].as<int>());
    for (const YAML::Node& step : root["rates"])
        out.load.rates.push_back({step["at_s"].as<double>(), step["per_second"].as<double>()});
    for (const YAML::Node& node : root["events"])
        out.events.push_back({node["at_s"].as<int>(), node["action"].as<std::string>(),
                              node["target"].as<std::string>()});
    return out;
}

void set_domain_state(const fixture::deployment& cluster, const std::string& domain,
                      const char* state)
{
    const std::string body = std::string(R"({"state":")") + state + R"(","reason":"experiment"})";
    const fixture::http_result answer =
        cluster.admin(cluster.vms.begin()->second, "PUT", "/admin/v1/domains/" + domain, body);
    if (answer.status != 200)
        throw std::runtime_error("failure domain state change refused: " + answer.body);
}

void apply_event(fixture::deployment& cluster, const event& due)
{
    if (due.action == "domain_out")
        set_domain_state(cluster, due.target, "out");
    else if (due.action == "domain_in")
        set_domain_state(cluster, due.target, "in");
    else if (due.action == "cold")
        cluster.endpoints.at(due.target).control(R"({"phase":"cold"})");
    else if (due.action == "slow")
        cluster.endpoints.at(due.target).control(R"({"delay_ms":300})");
    else if (due.action == "fail")
        cluster.endpoints.at(due.target).control(R"({"fail_percent":100})");
    else if (due.action == "heal")
        cluster.endpoints.at(due.target).control(R"({"delay_ms":0,"fail_percent":0})");
    else if (due.action == "table_down")
        cluster.table.control(R"({"down":true})");
    else if (due.action == "table_up")
        cluster.table.control(R"({"down":false})");
    else if (due.action == "kill_vm")
        cluster.vms.at(due.target).process->kill();
    else
        throw std::runtime_error("unknown event action: " + due.action);
}

policy_result run_policy(const experiment& spec, const std::string& policy)
{
    fixture::deployment_options options = spec.deployment;
    options.extra_settings = "routing: " + policy + "\n";
    fixture::deployment cluster(options);
    std::vector<std::string> vms;
    for (const auto& [name, vm] : cluster.vms)
        vms.push_back(name);
    const auto on_second = [&](int second)
    {
        for (const event& scheduled : spec.events)
        {
            if (scheduled.at_s == second)
                apply_event(cluster, scheduled);
        }
    };
    policy_result out;
    out.policy = policy;
    out.samples = run_load(cluster, spec.load, vms, on_second);
    for (const auto& [id, endpoint] : cluster.endpoints)
    {
        const value counters = endpoint.counters();
        out.starts[id] = counters.at("starts").as_number().to_uint64();
        out.overruns += counters.at("overruns").as_number().to_uint64();
        out.cancelled += counters.at("cancelled").as_number().to_uint64();
    }
    return out;
}

} // namespace

int main(int argc, const char** argv)
{
    char* output = nullptr;
    const poptOption options[] = {
        {"output", 'o', POPT_ARG_STRING, &output, 0, "directory for results and plot", "DIR"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("experiment", argc, argv, options, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "EXPERIMENT.yaml");
    if (poptGetNextOpt(context.get()) < -1)
        return 2;
    const char* path = poptGetArg(context.get());
    if (path == nullptr)
    {
        poptPrintUsage(context.get(), stderr, 0);
        return 2;
    }
    const std::unique_ptr<char, decltype(&std::free)> directory(output, &std::free);
    try
    {
        const experiment spec = read_experiment(path);
        std::vector<policy_result> results;
        for (const std::string& policy : spec.policies)
            results.push_back(run_policy(spec, policy));
        print_table(spec.name, spec.load, results);
        if (directory)
            write_files(directory.get(), spec.name, spec.load, results);
    }
    catch (const std::exception& error)
    {
        std::cerr << "experiment: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
