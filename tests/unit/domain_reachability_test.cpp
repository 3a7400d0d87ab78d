// Failure domains that cannot be reached.
#include "state/domain_reachability.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

} // namespace

// Guards against a domain that is given up because one of its endpoints has crashed.
Test(domain_reachability, one_failing_endpoint_domain_is_reachable)
{
    domain_reachability domains;
    for (int i = 0; i < 10; ++i)
        domains.on_failure("a", "e1");
    cr_assert_not(domains.is_unreachable("a"));
    domains.on_success("a");
    domains.on_failure("a", "e2");
    cr_assert_not(domains.is_unreachable("a"), "a success between the failures");
}

// Guards against calls that are lost in a domain that is cut off, and against a domain that stays
// without calls after it is back.
Test(domain_reachability, unreachable_domain_gets_one_probe_per_interval)
{
    domain_reachability domains;
    domains.on_failure("a", "e1");
    domains.on_failure("a", "e2");
    cr_assert(domains.is_unreachable("a"));
    cr_assert_not(domains.is_unreachable("b"));
    cr_assert(domains.may_probe("a", start));
    domains.on_probe("a", "e3", start);
    const time_point later = start + 2 * domain_probe_interval;
    cr_assert_not(domains.may_probe("a", later), "a probe is running");
    domains.on_failure("a", "e3");
    cr_assert_not(domains.may_probe("a", start + domain_probe_interval - milliseconds(1)));
    cr_assert(domains.may_probe("a", start + domain_probe_interval));
    domains.on_probe("a", "e1", later);
    domains.on_success("a");
    cr_assert_not(domains.is_unreachable("a"));
}

// Guards against a probe that never ends because its endpoint is gone or its connection was lost.
Test(domain_reachability, probe_ends_with_its_endpoint)
{
    domain_reachability domains;
    domains.on_failure("a", "e1");
    domains.on_failure("a", "e2");
    domains.on_probe("a", "e3", start);
    domains.on_dropped("a", "e3");
    cr_assert(domains.may_probe("a", start + domain_probe_interval));
    domains.on_probe("a", "e1", start);
    domains.forget("a", "e1");
    cr_assert(domains.may_probe("a", start + domain_probe_interval));
    cr_assert_not(domains.is_unreachable("a"), "one failed endpoint is left");
}

// Guards against a change of a domain that is logged for each failed call, or not at all.
Test(domain_reachability, changes_are_reported_once)
{
    domain_reachability domains;
    cr_assert_not(domains.on_failure("a", "e1"));
    cr_assert(domains.on_failure("a", "e2"));
    cr_assert_not(domains.on_failure("a", "e3"));
    cr_assert(domains.on_success("a"));
    cr_assert_not(domains.on_success("a"));
    cr_assert_not(domains.on_failure("a", "e1"));
    cr_assert_not(domains.on_success("a"), "it was reachable");
}

// Guards against probes of domains that can be reached, and against two probes at a time.
Test(domain_reachability, probes_are_due_in_unreachable_domains_only)
{
    domain_reachability domains;
    domains.on_failure("a", "e1");
    domains.on_failure("b", "e3");
    domains.on_failure("b", "e4");
    cr_assert(domains.due_probes(start) == std::vector<std::string>{"b"});
    cr_assert(domains.unreachable() == 1);
    cr_assert(domains.retry_at("b", start) > start);
    domains.on_probe("b", "e3", start);
    cr_assert(domains.due_probes(start + 2 * domain_probe_interval).empty());
    domains.on_dropped("b", "e3");
    cr_assert(domains.due_probes(start + domain_probe_interval - milliseconds(1)).empty());
    cr_assert(domains.retry_at("b", start) == start + domain_probe_interval);
    cr_assert(domains.due_probes(start + domain_probe_interval) == std::vector<std::string>{"b"});
}
