// Crash reports between many VMs: what reaches whom, in which order, and how much of the network
// they take.
#include "protocol/vm_message.h"
#include "seeds.h"
#include "state/crash_report_outbox.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

time_point at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

crash_report crash_of(int engine, answer_progress progress)
{
    crash_report report;
    report.origin = "vm-0/1";
    report.sequence = static_cast<std::uint64_t>(engine);
    report.engines = {{"engine-" + std::to_string(engine), 0}};
    report.parts = {"part"};
    report.progress = progress;
    return report;
}

crash_report sound_of(const std::string& part, int engine)
{
    crash_report report;
    report.kind = crash_report_kind::sound;
    report.engines = {{"engine-" + std::to_string(engine), 0}};
    report.parts = {part};
    return report;
}

constexpr double fast_link = 25e6; // bytes per second

// Passes every report on over all links at once.
struct flooding
{
    explicit flooding(double /*link_speed*/) {}
    void add(const crash_report& report, report_receivers /*to*/, time_point /*now*/)
    {
        waiting.push_back({report_receivers::all_links, report});
    }
    std::vector<outgoing_report> take(const fleet_links& /*links*/, time_point /*now*/)
    {
        return std::exchange(waiting, {});
    }
    std::vector<outgoing_report> waiting;
};

// VMs of which the first few accept links from all VMs behind them. Messages take one step.
template <typename Outbox>
class vm_fleet
{
public:
    static constexpr std::size_t vm_count = 295;
    static constexpr std::size_t hub_count = 6;
    static constexpr std::int64_t step_ms = 20;

    vm_fleet()
    {
        for (std::size_t i = 0; i < vm_count; ++i)
            vms_.push_back(std::make_unique<vm>("vm-" + std::to_string(i)));
    }

    // A third of the requests that the engines of a domain had break with them.
    void crash_domain()
    {
        for (int engine = 0; engine < 31; ++engine)
        {
            for (int request = 0; request < 2; ++request)
                any_vm().suspects.on_crash({"engine-" + std::to_string(engine), 0}, "domain-0",
                                           parts(), answer_progress::head, milliseconds(100),
                                           now());
        }
    }

    // All links of a VM that accepts links are made anew; both ends send what they know.
    void reconnect(std::size_t hub)
    {
        for (std::size_t other = hub + 1; other < vm_count; ++other)
        {
            for (const auto& [from, to] : {std::pair(hub, other), std::pair(other, hub)})
            {
                for (const crash_report& report : vms_[from]->suspects.snapshot(now()))
                    deliver(from, to, report);
            }
        }
    }

    void run(std::int64_t duration, std::size_t sound_per_step)
    {
        for (const std::int64_t end = now_ + duration; now_ < end; now_ += step_ms)
        {
            for (std::size_t i = 0; i < sound_per_step; ++i)
                any_vm().suspects.on_sound(parts(), now() - milliseconds(300), now());
            const auto arrived = std::exchange(in_transit_, {});
            for (const message& each : arrived)
            {
                vm& to = *vms_[each.to];
                if (to.suspects.on_report(each.report, now()))
                    to.outbox.add(each.report,
                                  each.to < each.from ? report_receivers::all_links
                                                      : report_receivers::accepted_links,
                                  now());
            }
            for (std::size_t i = 0; i < vm_count; ++i)
                flush(i);
        }
    }

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t most_bytes_in_a_second() const { return most_in_a_second_; }
    std::size_t vms_that_know(int engine) const
    {
        const engine_lifetime lifetime{"engine-" + std::to_string(engine), 0};
        return static_cast<std::size_t>(std::count_if(
            vms_.begin(), vms_.end(),
            [&](const auto& each)
            {
                const auto known = each->suspects.snapshot(now());
                return std::any_of(known.begin(), known.end(),
                                   [&](const crash_report& report) {
                                       return report.kind == crash_report_kind::crash &&
                                              report.engines.front() == lifetime;
                                   });
            }));
    }
    void crash_engine(int engine)
    {
        any_vm().suspects.on_crash({"engine-" + std::to_string(engine), 0}, "domain-1",
                                   {"first-0", "crashing"}, answer_progress::head,
                                   milliseconds(100), now());
    }

private:
    struct vm
    {
        explicit vm(const std::string& name) : suspects(name + "/1"), outbox(fast_link) {}
        crash_suspects suspects;
        Outbox outbox;
        std::uint64_t bytes_this_second = 0;
    };
    struct message
    {
        std::size_t from;
        std::size_t to;
        crash_report report;
    };

    time_point now() const { return at(now_); }
    vm& any_vm() { return *vms_[random_.below(vm_count)]; }
    std::vector<std::string> parts()
    {
        return {"first-" + std::to_string(random_.below(16)),
                "second-" + std::to_string(random_.below(150))};
    }
    // Links that a VM made go to VMs before it, those that it accepted come from VMs behind it.
    static std::size_t made_links(std::size_t of) { return std::min(of, hub_count); }
    static std::size_t accepted_links(std::size_t of)
    {
        return of < hub_count ? vm_count - 1 - of : 0;
    }

    void flush(std::size_t from)
    {
        vm& of = *vms_[from];
        if (now_ % 1000 < step_ms)
            of.bytes_this_second = 0;
        for (crash_report& report : of.suspects.take_reports(now()))
            of.outbox.add(std::move(report), report_receivers::all_links, now());
        const std::size_t accepted = accepted_links(from);
        for (const outgoing_report& each :
             of.outbox.take({accepted, accepted + made_links(from), vm_count}, now()))
        {
            for (std::size_t to = from + 1; to <= from + accepted; ++to)
                deliver(from, to, each.report);
            for (std::size_t to = 0;
                 each.to == report_receivers::all_links && to < made_links(from); ++to)
                deliver(from, to, each.report);
        }
    }

    void deliver(std::size_t from, std::size_t to, const crash_report& report)
    {
        const std::size_t bytes = encode_frame(report).size();
        bytes_sent_ += bytes;
        vms_[from]->bytes_this_second += bytes;
        most_in_a_second_ = std::max(most_in_a_second_, vms_[from]->bytes_this_second);
        in_transit_.push_back({from, to, report});
    }

    random_source random_{1};
    std::vector<std::unique_ptr<vm>> vms_;
    std::vector<message> in_transit_;
    std::int64_t now_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t most_in_a_second_ = 0;
};

// Bytes per second that control traffic may take on the average VM, from the requirements.
constexpr double control_bytes_per_second = 21'000;
constexpr std::int64_t watched_ms = 10'000;

// Plays the crash of a domain and a reconnection; returns the bytes per second of the average VM.
template <typename Outbox>
double play_domain_crash(vm_fleet<Outbox>& fleet)
{
    fleet.crash_domain();
    fleet.run(watched_ms / 2, 26);
    fleet.reconnect(2);
    fleet.run(watched_ms / 2, 26);
    return static_cast<double>(fleet.bytes_sent()) /
           (static_cast<double>(vm_fleet<Outbox>::vm_count) * watched_ms / 1000.0);
}

} // namespace

// Guards against reports that take the network from stage calls when a whole domain crashes.
Test(crash_report_outbox, domain_crash_hundreds_of_vms_stays_below_control_limit)
{
    vm_fleet<crash_report_outbox> fleet;
    const double mean = play_domain_crash(fleet);
    std::printf("crash reports: %.0f bytes per second and VM, at most %llu in a second\n", mean,
                static_cast<unsigned long long>(fleet.most_bytes_in_a_second()));
    std::fflush(stdout);
    cr_assert(mean <= control_bytes_per_second, "%f", mean);
}

// Guards against a simulated fleet that cannot detect reports that are sent too often.
Test(crash_report_outbox, domain_crash_flooding_exceeds_control_limit)
{
    vm_fleet<flooding> fleet;
    const double mean = play_domain_crash(fleet);
    std::printf("flooding: %.0f bytes per second and VM\n", mean);
    std::fflush(stdout);
    cr_assert(mean > control_bytes_per_second, "%f", mean);
}

// Guards against VMs that do not hear of a crash, or too late to hold the part in time.
Test(crash_report_outbox, crash_beside_domain_crash_reaches_all_vms_within_contact_time)
{
    vm_fleet<crash_report_outbox> fleet;
    fleet.crash_domain();
    fleet.run(500, 26);
    fleet.crash_engine(99);
    fleet.run(3000, 26);
    cr_assert(fleet.vms_that_know(99) == vm_fleet<crash_report_outbox>::vm_count, "%zu",
              fleet.vms_that_know(99));
}

// Guards against a likely cause of a crash that waits behind less important reports.
Test(crash_report_outbox, take_limited_rate_sends_likely_causes_first)
{
    crash_report_outbox outbox(1000.0);
    outbox.add(crash_of(1, answer_progress::no_head), report_receivers::all_links, at(0));
    outbox.add(sound_of("part", 1), report_receivers::all_links, at(0));
    outbox.add(crash_of(2, answer_progress::head), report_receivers::all_links, at(0));
    const auto first = outbox.take({0, 100, 100}, at(200));
    cr_assert(first.size() == 1 && first[0].report.engines[0].id == "engine-2");
    cr_assert(first[0].report.age == milliseconds(200));
    cr_assert(outbox.waiting() == 2);
}

// Guards against one message for each sound request after a crash.
Test(crash_report_outbox, take_sound_parts_of_one_crash_are_merged)
{
    crash_report_outbox outbox(fast_link);
    for (int i = 0; i < 20; ++i)
        outbox.add(sound_of("part-" + std::to_string(i), 1), report_receivers::accepted_links,
                   at(0));
    outbox.add(sound_of("part-20", 1), report_receivers::all_links, at(0));
    cr_assert(outbox.take({1, 2, 100}, at(100)).empty());
    const auto sent = outbox.take({1, 2, 100}, at(0) + 100 * sound_delay_per_vm);
    cr_assert(sent.size() == 1 && sent[0].report.parts.size() == 21);
    cr_assert(sent[0].to == report_receivers::all_links);
}

// Guards against merged reports that state more than was seen.
Test(crash_report_outbox, take_other_parts_after_other_crashes_are_not_merged)
{
    crash_report_outbox outbox(fast_link);
    outbox.add(sound_of("a", 1), report_receivers::all_links, at(0));
    outbox.add(sound_of("b", 2), report_receivers::all_links, at(0));
    cr_assert(outbox.take({1, 2, 3}, at(0) + 3 * sound_delay_per_vm).size() == 2);
}

// Guards against memory that grows while the links are too slow.
Test(crash_report_outbox, add_many_reports_keeps_the_likely_causes)
{
    crash_report_outbox outbox(1.0);
    outbox.add(crash_of(0, answer_progress::head), report_receivers::all_links, at(0));
    for (int i = 1; i < 3000; ++i)
        outbox.add(crash_of(i, answer_progress::no_head), report_receivers::all_links, at(0));
    cr_assert(outbox.waiting() == max_waiting_reports);
    const auto sent = outbox.take({0, 1, 2}, at(1000));
    cr_assert(!sent.empty() && sent[0].report.engines[0].id == "engine-0");
}
