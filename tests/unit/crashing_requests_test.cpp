#include "state/crashing_requests.h"

#include "state/crash_report_outbox.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace zinnianotch;

namespace
{

const std::vector<std::string> vms = {"vm-a", "vm-b", "vm-c"};

time_point at(std::int64_t ms)
{
    return time_point{} + milliseconds(1'000'000 + ms);
}

std::string digest_of(const std::string& name)
{
    std::string digest = name;
    digest.resize(request_digest_size, '.');
    return digest;
}

engine_lifetime engine(int number)
{
    return {"engine-" + std::to_string(number), 1};
}

// One VM and the names of the requests in its tests.
struct crashing_requests_fixture
{
    crashing_requests requests{"vm-a/1"};
    const std::string guilty = digest_of("guilty");
    const std::string sound = digest_of("sound");

    void crash(const std::string& digest, int number, std::int64_t ms,
               const std::string& domain = {})
    {
        requests.on_crash(engine(number),
                          domain.empty() ? "domain-" + std::to_string(number % 2) : domain, digest,
                          "jobs", at(ms));
    }

    bool is_held(const std::string& digest, std::int64_t ms)
    {
        return requests.held(digest, at(ms)).has_value();
    }

    // True if one of the VMs may send the request at some time until then.
    bool may_probe(const std::string& digest, std::int64_t ms)
    {
        for (const std::string& vm : vms)
        {
            if (requests.may_probe(digest, vm, vms, at(ms)))
                return true;
        }
        return false;
    }
};

// Applies all reports of one VM on another.
void exchange_reports(crashing_requests& from, crashing_requests& to, std::int64_t ms)
{
    for (const crash_report& report : from.take_reports(at(ms)))
        to.on_report(report, at(ms));
}

} // namespace

// Guards against one client attempt that crashes endpoints one after the other.
Test(crashing_requests, three_endpoints_crash_within_a_third_of_a_second_request_is_held)
{
    crashing_requests_fixture each;
    each.crash(each.guilty, 1, 0);
    each.crash(each.guilty, 2, 110);
    cr_assert(!each.is_held(each.guilty, 200));
    each.crash(each.guilty, 3, 220);
    cr_assert(each.is_held(each.guilty, 221));
    cr_assert(!each.is_held(each.sound, 221));
}

// Guards against copies that run at once being taken for the loss of a domain.
Test(crashing_requests, three_copies_crash_endpoints_of_one_domain_request_is_held)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.guilty, i, i, "domain");
    cr_assert(each.is_held(each.guilty, 3));
}

// Guards against a crash that several VMs see being counted for each.
Test(crashing_requests, same_crash_reported_twice_counts_once)
{
    crashing_requests_fixture each;
    crashing_requests other("vm-b/1");
    for (int i = 0; i < 2; ++i)
    {
        each.crash(each.guilty, i, i);
        other.on_crash(engine(i), "domain-0", each.guilty, "jobs", at(5));
    }
    for (const crash_report& report : other.take_reports(at(10)))
        cr_assert(!each.requests.on_report(report, at(10)));
    cr_assert(!each.is_held(each.guilty, 11));
}

// Guards against VMs that count only what they have seen themselves.
Test(crashing_requests, crashes_seen_by_three_vms_all_hold_the_request)
{
    crashing_requests_fixture each;
    crashing_requests other("vm-b/1");
    crashing_requests third("vm-c/1");
    each.crash(each.guilty, 1, 0);
    other.on_crash(engine(2), "domain-0", each.guilty, "jobs", at(100));
    third.on_crash(engine(3), "domain-1", each.guilty, "jobs", at(200));
    for (crashing_requests* to : {&each.requests, &third})
    {
        for (const crash_report& report : other.snapshot(at(300)))
            to->on_report(report, at(300));
    }
    exchange_reports(third, each.requests, 300);
    cr_assert(each.is_held(each.guilty, 301));
    cr_assert(each.requests.held_requests(at(350)) ==
              std::vector<held_request_report>({{each.guilty, "jobs", 3, milliseconds(50)}}));
    crashing_requests joined("vm-d/1");
    for (const crash_report& report : each.requests.snapshot(at(400)))
        joined.on_report(report, at(400));
    cr_assert(joined.held(each.guilty, at(401)).has_value());
}

// Guards against popular requests that are held because they ran beside a crashing one.
Test(crashing_requests, request_answered_since_is_not_held)
{
    crashing_requests_fixture each;
    each.crash(each.sound, 1, 0);
    each.crash(each.sound, 2, 100);
    each.requests.on_answered(each.sound, at(150));
    each.crash(each.sound, 3, 200);
    cr_assert(!each.is_held(each.sound, 201));
}

// Guards against the same where no endpoint is left to answer it since.
Test(crashing_requests, request_answered_shortly_before_needs_one_crash_more)
{
    crashing_requests_fixture each;
    each.requests.on_answered(each.sound, at(-500));
    for (int i = 0; i < 3; ++i)
        each.crash(each.sound, i, 100 * i);
    cr_assert(!each.is_held(each.sound, 300));
    each.crash(each.sound, 3, 300);
    cr_assert(each.is_held(each.sound, 301));
}

// Guards against a VM that holds what another VM has had an answer to.
Test(crashing_requests, other_vm_knows_an_answer_it_tells_and_request_is_released)
{
    crashing_requests_fixture each;
    crashing_requests other("vm-b/1");
    for (int i = 0; i < 3; ++i)
        each.crash(each.sound, i, 100 * i);
    exchange_reports(each.requests, other, 250);
    cr_assert(each.is_held(each.sound, 251) && other.held(each.sound, at(251)));
    other.on_answered(each.sound, at(260));
    exchange_reports(other, each.requests, 280);
    cr_assert(!each.is_held(each.sound, 281));
}

// Guards against a reset of connections that blames the requests on them.
Test(crashing_requests, endpoints_answer_after_their_connections_broke_nothing_is_held)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.sound, i, 0);
    cr_assert(each.is_held(each.sound, 1));
    each.requests.on_alive(engine(0), at(20), at(60));
    cr_assert(!each.is_held(each.sound, 61));
    each.crash(each.sound, 0, 100);
    cr_assert(!each.is_held(each.sound, 101));
}

// Guards against an answer to a request that was sent before the crash.
Test(crashing_requests, answer_to_request_sent_before_the_break_shows_nothing)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.guilty, i, 10);
    each.requests.on_alive(engine(0), at(5), at(20));
    cr_assert(each.is_held(each.guilty, 21));
}

// Guards against requests that are held because a domain lost its power.
Test(crashing_requests, many_endpoints_of_a_domain_break_requests_at_few_are_not_held)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 12; ++i)
        each.crash(digest_of("single-" + std::to_string(i)), i, i, "domain");
    for (int i = 0; i < 3; ++i)
        each.crash(each.sound, i, 20 + i, "domain");
    cr_assert(!each.is_held(each.sound, 30));
}

// Guards against a sound request that stays held because it met the crashing one each time.
Test(crashing_requests, request_at_the_same_crashes_is_tried_soon_and_released)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
    {
        each.crash(each.guilty, i, 110 * i);
        each.crash(each.sound, i, 110 * i);
    }
    cr_assert(each.is_held(each.sound, 300) && each.is_held(each.guilty, 300));
    cr_assert(!each.may_probe(each.sound, 300));
    cr_assert(each.may_probe(each.sound, 220 + doubtful_probe_interval.count()));
    each.requests.on_probe(each.sound, at(1300));
    // They do not meet again.
    cr_assert(!each.may_probe(each.guilty, 1400));
    each.requests.on_answered(each.sound, at(1350));
    cr_assert(!each.is_held(each.sound, 1351) && each.is_held(each.guilty, 1351));
}

// Guards against probes that crash one endpoint after the other.
Test(crashing_requests, guilty_request_is_tried_three_times_at_growing_intervals)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.guilty, i, 110 * i);
    std::vector<std::int64_t> probes;
    for (std::int64_t ms = 0; ms < 4 * 3'600'000; ms += 500)
    {
        cr_assert(each.is_held(each.guilty, 220 + ms));
        if (!each.may_probe(each.guilty, 220 + ms))
            continue;
        each.requests.on_probe(each.guilty, at(220 + ms));
        each.crash(each.guilty, 10 + static_cast<int>(probes.size()), 330 + ms);
        probes.push_back(ms);
    }
    cr_assert(probes.size() == max_guilty_probes);
    cr_assert(probes[0] >= 60'000 && probes[1] >= 120'000 && probes[2] >= 720'000);
}

// Guards against two VMs that send a probe at the same time.
Test(crashing_requests, probe_is_due_one_vm_may_send_it_first)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.guilty, i, 110 * i);
    const time_point due = at(220) + guilty_probe_interval;
    int count = 0;
    for (const std::string& vm : vms)
        count += each.requests.may_probe(each.guilty, vm, vms, due) ? 1 : 0;
    cr_assert(count == 1);
}

// Guards against memory and reports that grow with the requests that break.
Test(crashing_requests, many_requests_break_sizes_are_bounded)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 3; ++i)
        each.crash(each.guilty, i, i);
    for (int i = 0; i < 10'000; ++i)
    {
        each.crash(digest_of(std::to_string(i)), 100 + i % 3000, 1000 + i);
        each.requests.on_answered(digest_of("answered-" + std::to_string(i)), at(1000 + i));
    }
    cr_assert(each.requests.suspect_count() <= max_suspect_requests);
    cr_assert(each.requests.snapshot(at(11'100)).size() <= max_snapshot_reports + 1);
    cr_assert(each.is_held(each.guilty, 11'100));
    cr_assert(each.requests.concerns("jobs") && !each.requests.concerns("orders"));
    (void)each.requests.take_reports(at(11'100) + hold_idle_max + milliseconds(1));
    cr_assert(each.requests.suspect_count() == 0 && !each.requests.concerns("jobs"));
}

// Guards against reports with names of any length.
Test(crashing_requests, report_with_odd_sizes_is_ignored)
{
    crashing_requests_fixture each;
    crash_report report;
    report.subject = crash_report_subject::requests;
    report.engines = {engine(1)};
    report.parts = {std::string(100'000, 'x')};
    cr_assert(!each.requests.on_report(report, at(0)));
    report.parts = {each.guilty};
    report.route = std::string(100'000, 'x');
    cr_assert(!each.requests.on_report(report, at(0)));
    cr_assert(each.requests.suspect_count() == 0);
}

// Guards against one report for each request that broke with an endpoint.
Test(crashing_requests, requests_break_with_one_endpoint_they_share_a_report)
{
    crashing_requests_fixture each;
    for (int i = 0; i < 6; ++i)
        each.crash(digest_of(std::to_string(i)), 1, i);
    crash_report_outbox outbox(1e6);
    for (crash_report& report : each.requests.take_reports(at(20)))
        outbox.add(std::move(report), report_receivers::all_links, at(20));
    const auto sent = outbox.take({1, 2, 3}, at(20));
    cr_assert(sent.size() == 1 && sent.front().report.parts.size() == 6);
    cr_assert(sent.front().report.age == milliseconds(20));
}
