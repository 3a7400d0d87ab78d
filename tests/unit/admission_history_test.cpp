// Randomized simulation of admission control for a cold endpoint shared by several VMs. Generated
// histories with faults run against the code of packages/state, which must keep the cold limit, and
// against naive policies, which must exceed it to show that the histories can detect faults.
#include "seeds.h"
#include "state/admission.h"
#include "state/view.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

using namespace zinnianotch;
using zinnianotch::testing::random_source;
using zinnianotch::testing::replayed_seed;

namespace
{

constexpr std::uint64_t history_count = 4'000;
constexpr std::int64_t history_ms = 40'000;
constexpr std::int64_t steady_period_ms =
    20'000; // at the end; a history without faults is in steady state by then
constexpr const char* endpoint_id = "engine-1";

// Maximum delays of the simulated network. Their sum is below load_report_lag on the slowest clock.
constexpr std::int64_t call_transit_max_ms = 200;
constexpr std::int64_t report_lag_max_ms = 600;

// The production code under test.
class real_policy
{
public:
    bool try_admit(const authority& own_authority, bool is_owner, std::uint32_t limit,
                   time_point now)
    {
        if (!is_owner)
            return false;
        admission_context context;
        context.cold_limit = limit;
        context.cold_allowance =
            cold_allowance(limit, own_authority.unacknowledged(), own_authority.is_current(now),
                           own_authority.is_takeover_safe(now));
        context.handover_at = own_authority.handover_at();
        return controller_.try_admit(context, now).has_value();
    }

    void finish(bool succeeded, time_point now)
    {
        controller_.on_finished(succeeded, now);
        // The endpoint stays cold in all histories: it refuses connections beyond the cold limit,
        // which ends a warming phase immediately.
        if (controller_.phase() != endpoint_phase::cold)
            controller_.on_restart_suspected(now);
    }

    void abandon(time_point now) { controller_.on_abandoned(now); }
    void on_restart_suspected(time_point now) { controller_.on_restart_suspected(now); }

    void on_report(const load_report& report, time_point polled, time_point now)
    {
        controller_.on_report(report, polled, now);
    }

private:
    admission_controller controller_;
};

// Base of naive policies that count only the calls of their own VM.
class naive_policy
{
public:
    void finish(bool, time_point) { --in_flight; }
    void abandon(time_point) { --in_flight; }
    void on_restart_suspected(time_point) {}

    void on_report(const load_report& report, time_point, time_point now)
    {
        reported_at = now;
        external = report.running > in_flight ? report.running - in_flight : 0;
    }

protected:
    bool admit_below(std::uint32_t limit)
    {
        if (in_flight >= limit)
            return false;
        ++in_flight;
        return true;
    }

    std::uint32_t in_flight = 0;
    std::uint32_t external = 0;
    std::optional<time_point> reported_at;
};

// Each VM applies the limit independently, whether or not it owns the endpoint.
class independent_limits : public naive_policy
{
public:
    bool try_admit(const authority&, bool, std::uint32_t limit, time_point)
    {
        return admit_below(limit);
    }
};

// An owner continues to use the whole limit after its authority has lapsed, and its successor uses
// the whole limit after the takeover wait.
class lease_without_halving
{
public:
    bool try_admit(const authority& own_authority, bool is_owner, std::uint32_t limit,
                   time_point now)
    {
        if (!is_owner)
            return false;
        admission_context context;
        context.cold_limit = limit;
        context.cold_allowance = own_authority.is_takeover_safe(now) ? limit : 0;
        context.handover_at = own_authority.handover_at();
        return controller_.try_admit(context, now).has_value();
    }

    void finish(bool, time_point now) { controller_.on_finished(false, now); }
    void abandon(time_point now) { controller_.on_abandoned(now); }
    void on_restart_suspected(time_point) {}
    void on_report(const load_report& report, time_point polled, time_point now)
    {
        controller_.on_report(report, polled, now);
    }

private:
    admission_controller controller_;
};

// Halves the allowance, but computes the former owner's calls as the latest reported count minus
// the own calls, and requires a report only while another VM is unacknowledged.
class reported_minus_own_calls : public naive_policy
{
public:
    bool try_admit(const authority& own_authority, bool is_owner, std::uint32_t limit,
                   time_point now)
    {
        const bool has_fresh_report = reported_at && now - *reported_at <= load_report_max_age;
        if (!is_owner || (own_authority.unacknowledged() > 0 && !has_fresh_report))
            return false;
        const std::uint32_t allowance =
            cold_allowance(limit, own_authority.unacknowledged(), own_authority.is_current(now),
                           own_authority.is_takeover_safe(now));
        const std::uint32_t others = has_fresh_report ? external : 0;
        return admit_below(allowance > others ? allowance - others : 0);
    }
};

struct history_totals
{
    std::uint64_t histories = 0;
    std::uint64_t fault_free = 0;
    std::uint64_t fault_free_at_limit = 0; // reached the cold limit in the steady period
    std::uint64_t calls = 0;
    std::uint64_t calls_of_new_owner = 0;         // caller differs from that of the previous call
    std::uint64_t calls_while_lapsed = 0;         // without current authority
    std::uint64_t calls_while_unacknowledged = 0; // by an owner with unacknowledged VMs
    std::uint64_t calls_after_freeze = 0;         // process frozen between admission and send
    std::uint64_t abandoned_calls = 0;            // given up by the caller while running
    std::uint64_t calls_at_limit = 0;             // after which the cold limit was reached
};

// Discrete-event simulation of one generated history. Times are in ms.
template <typename Policy>
class admission_history
{
public:
    admission_history(std::uint64_t seed, history_totals& totals)
        : random_(seed), totals_(totals), is_fault_free_(random_.chance(0.05)),
          limit_(static_cast<std::uint32_t>(random_.between(1, random_.chance(0.5) ? 3 : 8))),
          vms_(static_cast<std::size_t>(random_.between(2, 4)))
    {
        constexpr std::array<double, 3> rates = {0.2, 1.0, 3.0};
        fault_rate_ = is_fault_free_ ? 0 : rates[random_.below(rates.size())];
    }

    // Returns a description of the violated invariant, or an empty string.
    std::string run()
    {
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            vms_[i].name = "vm-" + std::to_string(i);
            vms_[i].clock_offset = random_.between(100'000, 900'000);
            // The rates of two clocks differ by less than the 5 % that takeover_wait tolerates.
            vms_[i].clock_rate = 0.98 + 0.04 * static_cast<double>(random_.below(1001)) / 1000;
            schedule_after(random_.between(0, 3000), [this, i] { start(vms_[i]); });
        }
        if (!is_fault_free_)
            schedule_after(fault_delay(), [this] { inject_fault(); });
        // Calls that started before the steady period and still run count in its peak.
        schedule_after(history_ms - steady_period_ms, [this] { check_limit(); });

        while (!events_.empty() && violation_.empty() && events_.top().time <= history_ms)
        {
            now_ = events_.top().time;
            const std::function<void()> action = events_.top().action;
            events_.pop();
            action();
        }
        ++totals_.histories;
        if (violation_.empty() && is_fault_free_ && peak_calls_ < (limit_ + 1) / 2)
            violation_ = "without faults the owner did not use half of the cold limit";
        totals_.fault_free += is_fault_free_ ? 1 : 0;
        totals_.fault_free_at_limit += is_fault_free_ && peak_calls_ == limit_ ? 1 : 0;
        return violation_;
    }

private:
    struct event
    {
        std::int64_t time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    // State of a process, lost when it exits.
    struct process
    {
        explicit process(const vm_id& self) : id(self), own_authority(self) {}

        vm_id id;
        authority own_authority;
        Policy policy;
        bool is_draining = false;
    };

    struct vm
    {
        std::string name;
        std::uint64_t incarnation = 0;
        std::int64_t clock_offset = 0;
        double clock_rate = 1;
        bool is_table_unreachable = false; // a partition that affects only this VM
        bool is_frozen = false;
        std::unique_ptr<process> running;
        std::vector<std::function<void()>> deferred_actions; // received while frozen
    };

    struct call
    {
        vm_id caller;
        bool is_after_freeze = false;
        bool has_arrived = false;
        bool is_abandoned = false; // by its caller; still runs at the endpoint
    };

    void schedule_after(std::int64_t delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }

    time_point local_time(const vm& host) const
    {
        const auto elapsed = static_cast<std::int64_t>(host.clock_rate * static_cast<double>(now_));
        return time_point{} + milliseconds(host.clock_offset + elapsed);
    }

    // Runs an action in the process after a delay, or when it resumes from a freeze. Does nothing
    // if the process has exited, also if the VM runs a new one.
    void deliver(vm& to, const vm_id& id, std::int64_t delay, std::function<void(process&)> action)
    {
        schedule_after(delay,
                       [this, &to, id, action = std::move(action)]
                       {
                           const auto run_in = [&to, id, action]
                           {
                               if (to.running && to.running->id == id)
                                   action(*to.running);
                           };
                           if (to.is_frozen)
                               to.deferred_actions.push_back(run_in);
                           else
                               run_in();
                       });
    }

    // Repeats an action of the process until it exits. A frozen process skips its turns.
    void repeat(vm& host, const vm_id& id, std::int64_t lowest, std::int64_t highest,
                const std::function<void(process&)>& action)
    {
        schedule_after(random_.between(lowest, highest),
                       [this, &host, id, lowest, highest, action]
                       {
                           if (!host.running || host.running->id != id)
                               return;
                           if (!host.is_frozen)
                               action(*host.running);
                           repeat(host, id, lowest, highest, action);
                       });
    }

    void start(vm& host)
    {
        if (host.running)
            return;
        const vm_id id{host.name, ++host.incarnation};
        host.running = std::make_unique<process>(id);
        host.is_frozen = false;
        host.deferred_actions.clear();
        join(host, id);
        repeat(host, id, 900, 1100, [this, &host](process& self) { poll_view(host, self); });
        repeat(host, id, 480, 520, [this](process& self) { send_heartbeats(self); });
        repeat(host, id, 480, 520, [this, &host](process& self) { poll_load(host, self); });
        repeat(host, id, 10, 120, [this, &host](process& self) { try_call(host, self); });
    }

    // Writes the view atomically, as the conditional write of the table does.
    void join(vm& host, const vm_id& id)
    {
        schedule_after(random_.between(5, 300),
                       [this, &host, id]
                       {
                           if (can_reach_table(host) && host.running && host.running->id == id)
                               stored_view_ = with_member(stored_view_, {id, ""});
                       });
    }

    bool can_reach_table(const vm& reader) const
    {
        return !is_table_down_ && !reader.is_table_unreachable;
    }

    std::int64_t network_delay()
    {
        if (!is_fault_free_ && random_.chance(0.03))
            return random_.between(300, 4000);
        return random_.between(1, 150);
    }

    void poll_view(vm& host, process& self)
    {
        if (!can_reach_table(host))
            return;
        const time_point sent = local_time(host);
        schedule_after(network_delay(),
                       [this, &host, id = self.id, sent]
                       {
                           if (!can_reach_table(host))
                               return;
                           deliver(host, id, network_delay(),
                                   [this, &host, sent, read = stored_view_](process& reader)
                                   { adopt(host, reader, read, sent); });
                       });
    }

    void adopt(vm& host, process& self, const domain_view& read, time_point sent)
    {
        self.own_authority.on_view_read(read, sent, local_time(host));
        const auto& members = self.own_authority.view().members;
        const bool is_member =
            std::any_of(members.begin(), members.end(),
                        [&](const view_member& member) { return member.id == self.id; });
        if (!is_member && !self.is_draining && random_.chance(0.5))
            join(host, self.id);
    }

    void send_heartbeats(process& self)
    {
        for (vm& other : vms_)
        {
            if (!other.running || other.name == self.id.name)
                continue;
            if (!is_fault_free_ && random_.chance(0.1))
                continue;
            deliver(other, other.running->id, network_delay(),
                    [this, &other, from = self.id,
                     version = self.own_authority.view().version](process& receiver)
                    { receiver.own_authority.on_acknowledged(from, version, local_time(other)); });
        }
    }

    void poll_load(vm& host, process& self)
    {
        if (!is_fault_free_ && random_.chance(0.1))
            return;
        const time_point polled = local_time(host);
        schedule_after(random_.between(1, 100),
                       [this, &host, id = self.id, polled]
                       {
                           const load_report report =
                               make_delayed_report(random_.between(0, report_lag_max_ms));
                           deliver(host, id, network_delay(),
                                   [this, &host, polled, report](process& reader)
                                   { reader.policy.on_report(report, polled, local_time(host)); });
                       });
    }

    // Report with the endpoint's running count of `lag` ms ago.
    load_report make_delayed_report(std::int64_t lag) const
    {
        load_report report;
        report.incarnation = std::to_string(endpoint_incarnation_);
        for (const auto& [time, count] : running_counts_)
        {
            if (time > now_ - lag)
                break;
            report.running = count;
        }
        return report;
    }

    void record_running_count()
    {
        const auto arrived =
            std::count_if(calls_.begin(), calls_.end(),
                          [](const auto& entry) { return entry.second.has_arrived; });
        running_counts_.emplace_back(now_, static_cast<std::uint32_t>(arrived));
    }

    // Admission and send are separate steps: a process that is frozen between them sends the call
    // when it resumes.
    void try_call(vm& host, process& self)
    {
        if (self.is_draining)
            return;
        const time_point now = local_time(host);
        const view_member* const owner = owner_of(self.own_authority.view(), endpoint_id);
        const bool is_owner = owner != nullptr && owner->id == self.id;
        if (!self.policy.try_admit(self.own_authority, is_owner, limit_, now))
            return;
        if (!is_fault_free_ && random_.chance(0.01 * fault_rate_))
        {
            ++totals_.calls_after_freeze;
            const bool is_send_first = random_.chance(0.5);
            freeze(
                host, [this, &host, id = self.id] { send_call(host, id, true); }, is_send_first);
            return;
        }
        totals_.calls_while_lapsed += self.own_authority.is_current(now) ? 0 : 1;
        totals_.calls_while_unacknowledged += self.own_authority.unacknowledged() > 0 ? 1 : 0;
        send_call(host, self.id, false);
    }

    void send_call(vm& host, const vm_id& caller, bool is_after_freeze)
    {
        if (!host.running || host.running->id != caller)
            return;
        const std::uint64_t number = ++sequence_;
        calls_[number] = {caller, is_after_freeze, false, false};
        ++totals_.calls;
        totals_.calls_of_new_owner += last_caller_ && *last_caller_ != caller ? 1 : 0;
        last_caller_ = caller;
        check_limit();

        const std::int64_t transit = random_.between(1, call_transit_max_ms);
        const std::int64_t duration =
            random_.chance(0.1) ? random_.between(1000, 20'000) : random_.between(30, 1500);
        schedule_after(transit,
                       [this, number]
                       {
                           const auto found = calls_.find(number);
                           if (found != calls_.end())
                               found->second.has_arrived = true;
                           record_running_count();
                       });
        if (!is_fault_free_ && random_.chance(0.05))
            deliver(host, caller, random_.between(1, 3000),
                    [this, &host, number](process& self) { abandon_call(host, self, number); });
        schedule_after(transit + duration,
                       [this, &host, number]
                       {
                           const bool succeeded = is_fault_free_ || random_.chance(0.7);
                           end_call(host, number, succeeded, false);
                       });
    }

    void abandon_call(vm& host, process& self, std::uint64_t number)
    {
        const auto found = calls_.find(number);
        if (found == calls_.end())
            return;
        found->second.is_abandoned = true;
        ++totals_.abandoned_calls;
        self.policy.abandon(local_time(host));
    }

    // Ends the call at the endpoint. The caller learns of it later, or times out.
    void end_call(vm& host, std::uint64_t number, bool succeeded, bool is_restart)
    {
        const auto found = calls_.find(number);
        if (found == calls_.end())
            return;
        const vm_id caller = found->second.caller;
        const bool is_abandoned = found->second.is_abandoned;
        calls_.erase(found);
        record_running_count();
        if (is_abandoned)
            return;
        const bool is_lost = !is_fault_free_ && random_.chance(0.05);
        const std::int64_t delay = is_lost ? random_.between(2000, 8000) : network_delay();
        deliver(host, caller, delay,
                [this, &host, succeeded, is_restart, is_lost](process& self)
                {
                    self.policy.finish(succeeded && !is_lost, local_time(host));
                    if (is_restart)
                        self.policy.on_restart_suspected(local_time(host));
                });
    }

    // Calls sent after a freeze are the documented exception to the limit, one for each frozen
    // process, and are not counted.
    void check_limit()
    {
        const auto counted = static_cast<std::uint32_t>(
            std::count_if(calls_.begin(), calls_.end(),
                          [](const auto& entry) { return !entry.second.is_after_freeze; }));
        if (now_ >= history_ms - steady_period_ms)
            peak_calls_ = std::max(peak_calls_, counted);
        totals_.calls_at_limit += counted == limit_ ? 1 : 0;
        if (counted > limit_)
            violation_ = std::to_string(counted) + " calls at a cold endpoint with limit " +
                         std::to_string(limit_);
    }

    std::int64_t fault_delay()
    {
        return random_.between(1, static_cast<std::int64_t>(4000 / fault_rate_));
    }

    // Pauses all threads of a process while its clock continues. `pending` runs on resume, before
    // or after the deferred actions.
    void freeze(vm& host, std::function<void()> pending, bool is_pending_first)
    {
        host.is_frozen = true;
        schedule_after(
            random_.between(100, 8000),
            [&host, id = host.running->id, pending = std::move(pending), is_pending_first]
            {
                if (!host.running || host.running->id != id)
                    return;
                host.is_frozen = false;
                if (is_pending_first)
                    pending();
                for (const auto& action : std::exchange(host.deferred_actions, {}))
                    action();
                if (!is_pending_first)
                    pending();
            });
    }

    void inject_fault()
    {
        vm& target = vms_[random_.below(vms_.size())];
        switch (random_.below(9))
        {
        case 0:
            if (target.running && !target.is_frozen)
                freeze(
                    target, [] {}, true);
            break;
        case 1:
            kill(target);
            break;
        case 2:
            drain(target);
            break;
        case 3:
        case 4:
            target.is_table_unreachable = true;
            schedule_after(random_.between(500, 15'000),
                           [&target] { target.is_table_unreachable = false; });
            break;
        case 5:
            is_table_down_ = true;
            schedule_after(random_.between(200, 8000), [this] { is_table_down_ = false; });
            break;
        case 6:
        case 7:
            declare_dead(target);
            break;
        default:
            restart_endpoint();
            break;
        }
        schedule_after(fault_delay(), [this] { inject_fault(); });
    }

    // Kills the process. Its calls continue at the endpoint. The other VMs learn from the VM list
    // that it has stopped, each at a different time.
    void kill(vm& dying)
    {
        if (!dying.running)
            return;
        const vm_id id = dying.running->id;
        dying.running.reset();
        dying.deferred_actions.clear();
        dying.is_frozen = false;
        schedule_after(random_.between(200, 10'000), [this, &dying] { start(dying); });
        schedule_after(random_.between(1000, 8000),
                       [this, id]
                       {
                           if (!is_table_down_)
                               stored_view_ = without_member(stored_view_, id, true);
                       });
        for (vm& other : vms_)
            if (other.running)
                deliver(other, other.running->id, random_.between(1000, 8000),
                        [this, &other, id](process& reader)
                        { reader.own_authority.on_stopped(id, local_time(other)); });
    }

    // Planned stop: the process stops admitting calls, leaves the view and exits later.
    void drain(vm& leaving)
    {
        if (!leaving.running || leaving.is_frozen || !can_reach_table(leaving))
            return;
        leaving.running->is_draining = true;
        stored_view_ = without_member(stored_view_, leaving.running->id, true);
        schedule_after(random_.between(100, 5000),
                       [this, &leaving, id = leaving.running->id]
                       {
                           if (!leaving.running || leaving.running->id != id)
                               return;
                           leaving.running.reset();
                           leaving.deferred_actions.clear();
                           leaving.is_frozen = false;
                           schedule_after(random_.between(100, 5000),
                                          [this, &leaving] { start(leaving); });
                       });
    }

    // Another VM removes this one from the view, whether or not it is dead.
    void declare_dead(const vm& suspect)
    {
        const bool is_reached = std::any_of(vms_.begin(), vms_.end(),
                                            [&](const vm& writer)
                                            {
                                                return writer.running && !writer.is_frozen &&
                                                       writer.name != suspect.name &&
                                                       can_reach_table(writer);
                                            });
        if (is_reached)
            stored_view_ = without_member(stored_view_, {suspect.name, suspect.incarnation}, false);
    }

    void restart_endpoint()
    {
        ++endpoint_incarnation_;
        std::vector<std::pair<std::uint64_t, vm_id>> ended;
        for (const auto& [number, active] : calls_)
            if (active.has_arrived)
                ended.emplace_back(number, active.caller);
        for (const auto& [number, caller] : ended)
            for (vm& host : vms_)
                if (host.name == caller.name)
                    end_call(host, number, false, true);
    }

    random_source random_;
    history_totals& totals_;
    bool is_fault_free_;
    std::uint32_t limit_;
    double fault_rate_ = 0;
    std::vector<vm> vms_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::int64_t now_ = 0;
    domain_view stored_view_;
    bool is_table_down_ = false;
    std::map<std::uint64_t, call> calls_; // at the endpoint or in transit to it
    std::vector<std::pair<std::int64_t, std::uint32_t>> running_counts_;
    std::uint64_t endpoint_incarnation_ = 1;
    std::optional<vm_id> last_caller_;
    std::uint32_t peak_calls_ = 0; // in the steady period
    std::string violation_;
};

// Returns the number of seeds with which a naive policy exceeds the limit; prints the first.
template <typename Policy>
std::uint64_t count_violating_seeds(const char* name)
{
    std::uint64_t violations = 0;
    std::uint64_t first = 0;
    history_totals totals;
    for (std::uint64_t seed = 1; seed <= history_count; ++seed)
    {
        const std::string violation = admission_history<Policy>(seed, totals).run();
        if (violation.find("calls at a cold endpoint") == std::string::npos)
            continue;
        first = violations == 0 ? seed : first;
        ++violations;
    }
    std::printf("%s: %llu of %llu histories exceed the cold limit, first with seed %llu\n", name,
                static_cast<unsigned long long>(violations),
                static_cast<unsigned long long>(history_count),
                static_cast<unsigned long long>(first));
    std::fflush(stdout);
    return violations;
}

} // namespace

// Guards against more concurrent calls at a cold endpoint than its limit, whatever faults occur at
// the VMs that own it.
Test(admission_history, cold_allowance_any_fault_keeps_limit)
{
    history_totals totals;
    const std::uint64_t first = replayed_seed().value_or(1);
    const std::uint64_t last = replayed_seed().value_or(history_count);
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        const std::string violation = admission_history<real_policy>(seed, totals).run();
        cr_assert(violation.empty(), "ZINNIANOTCH_SEED=%llu: %s",
                  static_cast<unsigned long long>(seed), violation.c_str());
    }
    std::printf("cold_allowance: %llu histories, %llu calls, %llu at the limit, %llu by a new "
                "owner, %llu while lapsed, %llu while unacknowledged, %llu after a freeze, "
                "%llu abandoned\n",
                static_cast<unsigned long long>(totals.histories),
                static_cast<unsigned long long>(totals.calls),
                static_cast<unsigned long long>(totals.calls_at_limit),
                static_cast<unsigned long long>(totals.calls_of_new_owner),
                static_cast<unsigned long long>(totals.calls_while_lapsed),
                static_cast<unsigned long long>(totals.calls_while_unacknowledged),
                static_cast<unsigned long long>(totals.calls_after_freeze),
                static_cast<unsigned long long>(totals.abandoned_calls));
    std::fflush(stdout);
    if (replayed_seed())
        return;
    std::printf("  %llu histories without faults, %llu of them at the limit in the steady period\n",
                static_cast<unsigned long long>(totals.fault_free),
                static_cast<unsigned long long>(totals.fault_free_at_limit));
    // The bound on external calls may withhold part of the limit under constant load, but only
    // rarely.
    cr_assert(totals.fault_free_at_limit * 10 >= totals.fault_free * 9);
    // The invariant is only tested if the histories contain these situations.
    cr_assert(totals.calls_at_limit > 0 && totals.calls_of_new_owner > 0);
    cr_assert(totals.calls_while_lapsed > 0 && totals.calls_while_unacknowledged > 0);
    cr_assert(totals.calls_after_freeze > 0 && totals.abandoned_calls > 0);
}

// Guards against generated histories that cannot detect limits that VMs apply independently.
Test(admission_history, independent_limits_same_seeds_exceed_limit)
{
    if (replayed_seed())
        cr_skip_test("compares over all seeds only");
    cr_assert(count_violating_seeds<independent_limits>("independent limits") > 0);
}

// Guards against generated histories that cannot detect an owner that continues without authority.
Test(admission_history, lease_without_halving_same_seeds_exceeds_limit)
{
    if (replayed_seed())
        cr_skip_test("compares over all seeds only");
    cr_assert(count_violating_seeds<lease_without_halving>("lease without halving") > 0);
}

// Guards against generated histories that cannot detect a controller that ignores the calls of a
// predecessor that has acknowledged the view or stopped, or subtracts own calls that have already
// ended at the endpoint.
Test(admission_history, reported_minus_own_calls_same_seeds_exceeds_limit)
{
    if (replayed_seed())
        cr_skip_test("compares over all seeds only");
    cr_assert(count_violating_seeds<reported_minus_own_calls>("reported minus own calls") > 0);
}
