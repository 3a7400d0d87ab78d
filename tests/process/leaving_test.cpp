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
constexpr std::size_t enough_answers = 40; // shows that the load goes on

deployment_options two_endpoints_per_pool()
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.endpoints_per_pool = 2;
    options.endpoint_arguments = {"--work-ms", "20", "--token-ms", "20"};
    return options;
}

const std::vector<std::string> all_vms = {"vm-a1", "vm-a2", "vm-b1", "vm-b2"};

// Marks the endpoint as leaving in the next configuration version.
void announce_by_configuration(const deployment& all, const std::string& id)
{
    const std::uint64_t version = read_config_version(all.vms.at("vm-a1").caller_port).value_or(0);
    value document = read_config(all, "vm-a1");
    for (value& pool : document.at("pools").as_array())
        for (value& endpoint : pool.at("endpoints").as_array())
            if (endpoint.at("id").as_string() == id)
                endpoint["leaving"] = value::boolean(true);
    const http_result written = put_config(all, "vm-a1", version, document);
    cr_assert_eq(written.status, 200, "%s", written.body.c_str());
}

void announce_by_vm_list(const deployment& all, const std::string& id)
{
    all.vm_list.control(
        value::object({{"vms", value::object({{id, value("leaving")}})}}).serialize());
}

void announce_by_load_report(const deployment& all, const std::string& id)
{
    all.endpoints.at(id).control(R"({"leaving":true})");
}

void wait_for_work(const deployment& all, const std::vector<std::string>& ids)
{
    for (const std::string& id : ids)
    {
        const auto works = [&] { return all.endpoints.at(id).count("starts") > 0; };
        cr_assert(eventually(works), "%s got no work", id.c_str());
    }
}

// After the bound the endpoints get nothing new, their work has ended by itself, and the others
// serve all callers.
void expect_no_new_work(const deployment& all, background_load& load, time_point announced,
                        const std::vector<std::string>& ids)
{
    wait_until_elapsed(announced);
    std::map<std::string, std::uint64_t> before;
    for (const std::string& id : ids)
        before[id] = all.endpoints.at(id).count("starts");
    cr_expect(load.wait_for_successes(enough_answers), "%s", load.failures().c_str());
    load.stop();
    for (const std::string& id : ids)
    {
        const standin& endpoint = all.endpoints.at(id);
        cr_expect_eq(endpoint.count("starts") - before[id], 0, "%s got new work", id.c_str());
        cr_expect_eq(endpoint.count("cancelled"), 0, "%s: work was cancelled", id.c_str());
        cr_expect_eq(endpoint.count("running"), 0, "%s: work did not end", id.c_str());
    }
    cr_expect(load.failures().empty(), "%s", load.failures().c_str());
}

} // namespace

// Guards against one of the three announcements that is not looked at while the two others call
// the endpoint live.
Test(leaving, endpoint_announced_by_any_of_three_gets_no_new_work)
{
    const deployment all(two_endpoints_per_pool());
    const std::vector<std::string> ids = {"generator-a1", "encoder-a1", "retriever-b1"};
    background_load load(callers, pipeline_requests(all, all_vms));
    wait_for_work(all, ids);
    announce_by_vm_list(all, "encoder-a1");
    announce_by_load_report(all, "retriever-b1");
    announce_by_configuration(all, "generator-a1");
    expect_no_new_work(all, load, steady_clock::now(), ids);
}

// Guards against an endpoint that counts as live again, or goes on to count as live, because the
// VM list and the table do not answer.
Test(leaving, vm_list_and_table_down_endpoint_gets_no_new_work)
{
    const deployment all(two_endpoints_per_pool());
    const std::vector<std::string> ids = {"generator-b1", "encoder-b1", "retriever-a1"};
    background_load load(callers, pipeline_requests(all, all_vms));
    wait_for_work(all, ids);
    announce_by_vm_list(all, "encoder-b1");
    const auto is_heard = [&]
    {
        const value status = all.admin(all.vms.at("vm-b1"), "GET", "/admin/v1/status").json();
        for (const value& endpoint : status.at("endpoints").as_array())
            if (endpoint.at("id").as_string() == "encoder-b1")
                return endpoint.at("phase").as_string() == "leaving";
        return false;
    };
    cr_assert(eventually(is_heard));
    all.vm_list.control(R"({"down":true})");
    announce_by_configuration(all, "generator-b1");
    all.table.control(R"({"down":true})");
    announce_by_load_report(all, "retriever-a1");
    expect_no_new_work(all, load, steady_clock::now(), ids);
}
