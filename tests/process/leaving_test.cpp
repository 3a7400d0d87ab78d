// Invariant 7: a leaving endpoint receives no new work after a few seconds.
#include "callers.h"

#include <criterion/criterion.h>

using namespace fixture;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::time_point;

namespace
{

constexpr std::size_t callers = 8;
constexpr std::size_t enough_answers = 40; // shows that requests are still being answered

deployment_options two_endpoints_per_pool()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoints_per_pool = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "20"};
    return options;
}

const std::vector<std::string> all_vms = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};

// Writes a configuration version in which the endpoint is leaving.
void mark_leaving_in_configuration(const deployment& cluster, const std::string& id)
{
    const std::uint64_t version =
        read_config_version(cluster.vms.at("vm-a1").caller_port).value_or(0);
    value document = read_config(cluster, "vm-a1");
    for (value& pool : document.at("pools").as_array())
        for (value& endpoint : pool.at("endpoints").as_array())
            if (endpoint.at("id").as_string() == id)
                endpoint["leaving"] = value::boolean(true);
    const http_result written = put_config(cluster, "vm-a1", version, document);
    cr_assert_eq(written.status, 200, "%s", written.body.c_str());
}

void mark_leaving_in_vm_list(const deployment& cluster, const std::string& id)
{
    cluster.vm_list.control(
        value::object({{"vms", value::object({{id, value("leaving")}})}}).serialize());
}

void mark_leaving_in_load_report(const deployment& cluster, const std::string& id)
{
    cluster.endpoints.at(id).control(R"({"leaving":true})");
}

void wait_for_work(const deployment& cluster, const std::vector<std::string>& ids)
{
    for (const std::string& id : ids)
    {
        const auto has_started = [&] { return cluster.endpoints.at(id).count("starts") > 0; };
        cr_assert(eventually(has_started), "%s received no work", id.c_str());
    }
}

// Checks that after the bound the endpoints receive no new work, that their work in progress has
// completed without cancellation, and that the other endpoints serve all callers.
void expect_no_new_work(const deployment& cluster, background_load& load, time_point marked_at,
                        const std::vector<std::string>& ids)
{
    wait_until_elapsed(marked_at);
    std::map<std::string, std::uint64_t> before;
    for (const std::string& id : ids)
        before[id] = cluster.endpoints.at(id).count("starts");
    cr_expect(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    load.stop();
    for (const std::string& id : ids)
    {
        const standin& endpoint = cluster.endpoints.at(id);
        cr_expect_eq(endpoint.count("starts") - before[id], 0, "%s received new work", id.c_str());
        cr_expect_eq(endpoint.count("cancelled"), 0, "%s: work was cancelled", id.c_str());
        cr_expect_eq(endpoint.count("running"), 0, "%s: work did not end", id.c_str());
    }
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

} // namespace

// Guards against ignoring one of the three sources (VM list, load report, configuration) while the
// two others report the endpoint as live.
Test(leaving, endpoint_marked_by_any_source_gets_no_new_work)
{
    const deployment cluster(two_endpoints_per_pool());
    const std::vector<std::string> ids = {"generator-a1", "encoder-a1", "retriever-b1"};
    background_load load(callers, pipeline_requests(cluster, all_vms));
    wait_for_work(cluster, ids);
    mark_leaving_in_vm_list(cluster, "encoder-a1");
    mark_leaving_in_load_report(cluster, "retriever-b1");
    mark_leaving_in_configuration(cluster, "generator-a1");
    expect_no_new_work(cluster, load, steady_clock::now(), ids);
}

// Guards against treating a leaving endpoint as live, again or still, because the VM list and the
// table do not answer.
Test(leaving, vm_list_and_table_down_endpoint_gets_no_new_work)
{
    const deployment cluster(two_endpoints_per_pool());
    const std::vector<std::string> ids = {"generator-b1", "encoder-b1", "retriever-a1"};
    background_load load(callers, pipeline_requests(cluster, all_vms));
    wait_for_work(cluster, ids);
    mark_leaving_in_vm_list(cluster, "encoder-b1");
    const auto is_seen_as_leaving = [&]
    {
        const value status =
            cluster.admin(cluster.vms.at("vm-b1"), "GET", "/admin/v1/status").json();
        for (const value& endpoint : status.at("endpoints").as_array())
            if (endpoint.at("id").as_string() == "encoder-b1")
                return endpoint.at("phase").as_string() == "leaving";
        return false;
    };
    cr_assert(eventually(is_seen_as_leaving));
    cluster.vm_list.control(R"({"down":true})");
    mark_leaving_in_configuration(cluster, "generator-b1");
    cluster.table.control(R"({"down":true})");
    mark_leaving_in_load_report(cluster, "retriever-a1");
    expect_no_new_work(cluster, load, steady_clock::now(), ids);
}
