// Endpoints of failure domains that cannot be reached get no requests.
#include "coordination/endpoint_directory.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr int placements = 50;

// Three endpoints in each of the domains a (the VM's own), b and c. Nothing is connected to.
struct three_domains
{
    boost::asio::io_context io{1};
    endpoint_directory endpoints{io, "vm-1", "a", {}};
    placement_request request;

    three_domains()
    {
        for (const std::string domain : {"a", "b", "c"})
        {
            for (const std::string number : {"1", "2", "3"})
                add(domain, domain + number);
        }
        request.service = "engines";
    }
    void add(const std::string& domain, const std::string& id)
    {
        endpoint_record record;
        record.id = id;
        record.service = "engines";
        record.address = "127.0.0.1:1";
        record.domain = domain;
        record.slots = 100;
        endpoints.apply(record, nullptr, false, start);
    }
    void fail(const std::string& id, upstream_failure failure)
    {
        endpoints.on_unreachable(*endpoints.find(id), nullptr, failure, start);
    }
    void time_out(const std::string& domain)
    {
        fail(domain + "1", upstream_failure::peer_unreachable);
        fail(domain + "2", upstream_failure::peer_unreachable);
    }
    // Domains in which requests with many prefixes are placed.
    std::set<std::string> domains_used()
    {
        std::set<std::string> used;
        for (int i = 0; i < placements; ++i)
        {
            const std::string prefix = std::to_string(i);
            request.affinity = prefix;
            if (const endpoint_ptr endpoint = endpoints.acquire(request, nullptr, start))
                used.insert(endpoint->record.domain);
        }
        return used;
    }
};

const std::set<std::string> all_domains{"a", "b", "c"};

} // namespace

// Guards against requests that each wait for the time-out of a connection into a domain that is cut
// off, endpoint by endpoint.
Test(endpoint_directory, two_endpoints_time_out_domain_gets_no_requests)
{
    three_domains deployment;
    cr_assert(deployment.domains_used() == all_domains);
    deployment.fail("b1", upstream_failure::peer_unreachable);
    cr_assert(deployment.domains_used() == all_domains, "one endpoint may have failed alone");
    deployment.fail("b2", upstream_failure::peer_unreachable);
    cr_assert(deployment.domains_used() == std::set<std::string>({"a", "c"}));
    for (int i = 0; i < placements; ++i)
        cr_assert(
            deployment.endpoints.home_domain("engines", std::to_string(i), false, start) != "b" &&
            deployment.endpoints.home_domain("engines", std::to_string(i), true, start) != "b");
    deployment.endpoints.on_reached(*deployment.endpoints.find("b3"));
    cr_assert(deployment.domains_used() == all_domains);
}

// The same for a placement by expected time.
Test(endpoint_directory, two_endpoints_time_out_timed_requests_leave_domain)
{
    three_domains deployment;
    request_work work;
    work.prompt_tokens = 1000.0;
    work.goal_left = milliseconds(1000);
    work_rates rates;
    deployment.request.work = &work;
    deployment.request.rates = &rates;
    cr_assert(deployment.domains_used() == all_domains);
    deployment.time_out("b");
    cr_assert(deployment.domains_used() == std::set<std::string>({"a", "c"}));
}

// Guards against requests that stay with their inputs in a domain that is cut off.
Test(endpoint_directory, domain_of_inputs_unreachable_request_leaves_it)
{
    three_domains deployment;
    deployment.request.preferred_domain = "b";
    deployment.request.stay_in_preferred = true;
    cr_assert(deployment.domains_used() == std::set<std::string>({"b"}));
    deployment.time_out("b");
    cr_assert(deployment.domains_used() == std::set<std::string>({"a", "c"}));
}

// Guards against taking processes that have exited, whose hosts refuse connections, for a cut.
Test(endpoint_directory, connections_refused_domain_stays_in_use)
{
    three_domains deployment;
    deployment.fail("b1", upstream_failure::connect_failed);
    deployment.fail("b2", upstream_failure::connect_failed);
    cr_assert(deployment.domains_used() == all_domains);
}

// Guards against a VM that is cut off from all other domains and then gives up its own as well.
Test(endpoint_directory, all_domains_time_out_own_domain_stays_in_use)
{
    three_domains deployment;
    for (const std::string domain : {"a", "b", "c"})
        deployment.time_out(domain);
    cr_assert(deployment.domains_used() == std::set<std::string>({"a"}));
}

// Guards against a request that is refused while the domain of its endpoints is being probed, and
// against one that leaves its endpoint for another that cannot be reached.
Test(endpoint_directory, only_unreachable_endpoints_left_next_one_is_available_later)
{
    three_domains deployment;
    deployment.time_out("b");
    const std::set<std::string> only{"b3"};
    deployment.request.only_ids = &only;
    cr_assert_null(deployment.endpoints.acquire(deployment.request, nullptr, start).get());
    const auto at = deployment.endpoints.next_available_at(deployment.request, start);
    cr_assert(at && *at > start && *at <= start + domain_probe_interval);
}

// Guards against a domain that stays out of use because its failed endpoints are gone for good.
Test(endpoint_directory, failed_endpoints_removed_domain_is_reachable)
{
    three_domains deployment;
    deployment.time_out("b");
    cr_assert(deployment.endpoints.unreachable_domains() == 1);
    deployment.endpoints.remove("b1", start);
    cr_assert(deployment.endpoints.unreachable_domains() == 0);
    cr_assert(deployment.endpoints.is_reachable("b"));
}
