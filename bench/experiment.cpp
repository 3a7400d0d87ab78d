// Runs a named experiment from a YAML file: the same seeded load and the same events against each
// routing policy in turn, on real processes and stand-ins. Prints a table, and writes the results
// as JSON and a plot of the attainment by second as SVG.
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
    const YAML::Node size = root["deployment"];
    out.deployment.vms_per_domain = size["vms_per_domain"].as<int>();
    out.deployment.endpoints_per_pool = size["endpoints_per_pool"].as<int>();
    out.deployment.endpoint_arguments = size["endpoint_arguments"].as<std::vector<std::string>>();
    out.load.seed = root["seed"].as<std::uint64_t>();
    out.load.duration_s = root["duration_s"].as<double>();
    out.load.deadline = zinnianotch::milliseconds(root["deadline_ms"].as<int>());
    for (const YAML::Node& step : root["rates"])
        out.load.rates.push_back({step["at_s"].as<double>(), step["per_second"].as<double>()});
    for (const YAML::Node& one : root["events"])
        out.events.push_back({one["at_s"].as<int>(), one["action"].as<std::string>(),
                              one["target"].as<std::string>()});
    return out;
}

void set_domain(const fixture::deployment& all, const std::string& domain, const char* state)
{
    const std::string body = std::string(R"({"state":")") + state + R"(","reason":"experiment"})";
    const fixture::http_result answer =
        all.admin(all.vms.begin()->second, "PUT", "/admin/v1/domains/" + domain, body);
    if (answer.status != 200)
        throw std::runtime_error("domain change refused: " + answer.body);
}

void carry_out(fixture::deployment& all, const event& what)
{
    if (what.action == "domain_out")
        set_domain(all, what.target, "out");
    else if (what.action == "domain_in")
        set_domain(all, what.target, "in");
    else if (what.action == "cold")
        all.endpoints.at(what.target).control(R"({"phase":"cold"})");
    else if (what.action == "slow")
        all.endpoints.at(what.target).control(R"({"delay_ms":300})");
    else if (what.action == "fail")
        all.endpoints.at(what.target).control(R"({"fail_percent":100})");
    else if (what.action == "heal")
        all.endpoints.at(what.target).control(R"({"delay_ms":0,"fail_percent":0})");
    else if (what.action == "table_down")
        all.table.control(R"({"down":true})");
    else if (what.action == "table_up")
        all.table.control(R"({"down":false})");
    else if (what.action == "kill_vm")
        all.vms.at(what.target).process->kill();
    else
        throw std::runtime_error("unknown action " + what.action);
}

policy_result run_policy(const experiment& plan, const std::string& policy)
{
    fixture::deployment_options options = plan.deployment;
    options.extra_settings = "routing: " + policy + "\n";
    fixture::deployment all(options);
    std::vector<std::string> vms;
    for (const auto& [name, vm] : all.vms)
        vms.push_back(name);
    const auto on_second = [&](int second)
    {
        for (const event& one : plan.events)
        {
            if (one.at_s == second)
                carry_out(all, one);
        }
    };
    policy_result out;
    out.policy = policy;
    out.samples = run_load(all, plan.load, vms, on_second);
    for (const auto& [id, endpoint] : all.endpoints)
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
        {"output", 'o', POPT_ARG_STRING, &output, 0, "folder for results and plot", "FOLDER"},
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
    const std::unique_ptr<char, decltype(&std::free)> folder(output, &std::free);
    try
    {
        const experiment plan = read_experiment(path);
        std::vector<policy_result> results;
        for (const std::string& policy : plan.policies)
            results.push_back(run_policy(plan, policy));
        print_table(plan.name, plan.load, results);
        if (folder)
            write_files(folder.get(), plan.name, plan.load, results);
    }
    catch (const std::exception& error)
    {
        std::cerr << "experiment: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
