// Generated histories of roll-outs by many VMs: requests, answers, lost reports, faulty endpoints
// and failures of VMs and the store.
#pragma once

#include "seeds.h"
#include "state/rollout_gate.h"
#include "state/rollout_judge.h"
#include "state/rollout_samples.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace zinnianotch::testing
{

inline constexpr time_point start{std::chrono::hours(1)};
inline constexpr std::int64_t tick_ms = 10;
inline constexpr double exposure_share = 0.1;
inline constexpr double exposure_slack = 50.0;
// Bad answers after which the roll-back time begins, and that time.
inline constexpr std::size_t bad_answers_counted = 50;
inline constexpr std::int64_t roll_back_ms = 5000;

enum class fault
{
    none,
    at_once,
    later,
    under_load,
    one_route
};

inline constexpr std::array<const char*, 5> fault_names{"good", "at once", "later", "under load",
                                                        "one route"};

struct site
{
    std::size_t endpoints;      // of each version
    std::vector<double> routes; // requests a second
};

inline const std::array<site, 3> sites{{{60, {160, 75, 30}}, {3, {85, 20}}, {9, {25, 10, 5}}}};

// What a history has besides the version that it is about.
struct conditions
{
    bool has_slow_domain = false;
    bool has_burst = false;
    bool has_faulty_old_endpoint = false;
    bool has_faulty_new_endpoint = false;
    bool does_judge_crash = false;
    bool does_store_pause = false;
    bool do_vms_freeze = false;
    double report_loss = 0.0;
};

struct outcome_of_history
{
    fault kind = fault::none;
    double portion = 0.0;
    bool is_failing = false;
    std::size_t site_index = 0;
    std::size_t vm_count = 0;
    std::optional<rollout_phase> final_phase; // as stored
    std::int64_t decided_at = 0;
    bool is_in_time = false; // decided by the deadline
    std::string why;
    std::int64_t turned_bad_at = 0;
    double exposed = 0.0; // requests that the new version got until the deadline, relative to bound
    std::int64_t late_request_ms = 0; // last request after the counted bad answer
    std::size_t bad_answers = 0;
    std::uint64_t regressions = 0; // records that go back
    bool did_judge_crash = false;
    std::size_t bad_before_full = 0; // bad answers before all requests went to the version
};

// One roll-out, played in steps of tick_ms.
class rollout_history
{
public:
    explicit rollout_history(std::uint64_t seed) : random_(seed)
    {
        const std::array<std::size_t, 3> vm_counts{3, 60, 300};
        const std::uint64_t size = random_.below(10);
        vm_count_ = vm_counts[size < 4 ? 0 : (size < 9 ? 1 : 2)];
        out_.site_index = random_.below(sites.size());
        site_ = sites[out_.site_index];
        order_ = {"generate", "v2", milliseconds(random_.between(10'000, 20'000)), 7};
        if (random_.chance(0.5))
        {
            out_.kind = static_cast<fault>(1 + random_.below(4));
            const std::array<double, 4> portions{0.15, 0.3, 0.5, 1.0};
            out_.portion = portions[random_.below(4)];
            out_.is_failing = random_.chance(0.5);
        }
        slow_by_ = 3.0 + 3.0 * fraction();
        turns_bad_at_ =
            out_.kind == fault::later
                ? static_cast<std::int64_t>(0.7 * fraction() * static_cast<double>(duration()))
                : 0;
        bad_route_ = random_.below(site_.routes.size());
        out_.vm_count = vm_count_;
        out_.turned_bad_at = turns_bad_at_;
        draw_conditions();
        build();
    }

    bool has_good_version() const { return out_.kind == fault::none; }

    outcome_of_history run()
    {
        schedule(0, [this] { publish_order(); });
        const std::int64_t end = duration() + 4000;
        for (now_ = 0; now_ < end; now_ += tick_ms)
        {
            while (!events_.empty() && events_.top().at <= now_)
            {
                const auto action = events_.top().action;
                events_.pop();
                action();
            }
            send_requests();
            if (now_ % 200 == 0)
                judge();
        }
        finish();
        return out_;
    }

private:
    struct event
    {
        std::int64_t at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    struct vm
    {
        std::string name;
        std::unique_ptr<rollout_gate> gate;
        std::unique_ptr<rollout_samples> samples;
        std::unique_ptr<rollout_judge> judge;
        std::int64_t view_lag = 0;
        std::int64_t frozen_until = 0;
        bool is_up = true;
    };

    struct endpoint
    {
        rollout_endpoint record;
        double load = 0.0; // requests a second, recently
        std::int64_t load_at = 0;
    };

    std::int64_t duration() const { return order_.duration.count(); }
    double fraction() { return static_cast<double>(random_.below(1 << 20)) / (1 << 20); }
    time_point at(std::int64_t when) const { return start + milliseconds(when); }
    time_point now() const { return at(now_); }
    void schedule(std::int64_t after, std::function<void()> action)
    {
        events_.push({now_ + after, ++sequence_, std::move(action)});
    }

    void draw_conditions()
    {
        with_.has_slow_domain = random_.chance(0.2);
        with_.has_burst = random_.chance(0.2);
        with_.has_faulty_old_endpoint = random_.chance(0.15);
        with_.has_faulty_new_endpoint = out_.kind == fault::none && random_.chance(0.2);
        with_.does_judge_crash = random_.chance(0.2);
        with_.does_store_pause = random_.chance(0.1);
        with_.do_vms_freeze = random_.chance(0.15);
        with_.report_loss = random_.chance(0.3) ? 0.1 : 0.0;
        disturbed_from_ = random_.between(0, duration());
        disturbed_until_ = disturbed_from_ + random_.between(1000, 6000);
        paused_from_ = random_.between(0, duration());
        paused_until_ = paused_from_ + random_.between(500, 2000);
        spread_ = 0.15 + 0.3 * fraction();
        failure_share_ = random_.chance(0.5) ? 0.0 : 0.005;
        for (std::size_t i = 0; i < site_.routes.size(); ++i)
            typical_ms_.push_back(20.0 + 300.0 * fraction());
    }

    void build()
    {
        std::vector<rollout_endpoint> records;
        for (const char* version : {"v1", "v2"})
        {
            for (std::size_t i = 0; i < site_.endpoints; ++i)
            {
                endpoint each;
                each.record = {std::string(version) + "-" + std::to_string(i),
                               std::string(1, static_cast<char>('a' + i % 3)), version,
                               version[1] == '1' ? 100 : 200};
                endpoints_.push_back(each);
                records.push_back(each.record);
            }
        }
        const std::vector<rollout_endpoint> before(
            records.begin(), records.begin() + static_cast<std::ptrdiff_t>(site_.endpoints));
        const rollout_limits limits{exposure_share, exposure_slack, milliseconds(roll_back_ms)};
        std::vector<std::string> names;
        for (std::size_t i = 0; i < vm_count_; ++i)
        {
            vm each;
            each.name = "vm-" + std::to_string(i);
            names.push_back(each.name);
            each.gate =
                std::make_unique<rollout_gate>(order_.service, limits, random_.below(1ULL << 60));
            each.gate->set_endpoints(before, start - milliseconds(10'000));
            each.gate->set_endpoints(records, start - milliseconds(200));
            each.samples = std::make_unique<rollout_samples>(each.name, random_.below(1ULL << 60),
                                                             order_.service, order_.revision);
            each.view_lag = random_.between(10, 120);
            vms_.push_back(std::move(each));
        }
        for (const std::string& name : rollout_judges(order_.service, names))
            judges_.push_back(static_cast<std::size_t>(std::stoul(name.substr(3))));
        judges_.resize(std::min<std::size_t>(judges_.size(), 6));
        for (const std::size_t index : judges_)
            vms_[index].judge = std::make_unique<rollout_judge>(limits);
        if (with_.does_judge_crash)
        {
            const std::int64_t when = random_.between(0, duration());
            schedule(when, [this] { vms_[judges_.front()].is_up = false; });
        }
    }

    void publish_order()
    {
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            schedule(vms_[i].view_lag,
                     [this, i]
                     {
                         vms_[i].gate->set_order(order_, now());
                         if (vms_[i].judge)
                             vms_[i].judge->set_order(order_, now());
                     });
            schedule(random_.between(100, 600), [this, i] { report(i); });
        }
    }

    bool is_frozen(const vm& of) const { return !of.is_up || now_ < of.frozen_until; }
    bool is_store_up() const
    {
        return !with_.does_store_pause || now_ < paused_from_ || now_ >= paused_until_;
    }

    void report(std::size_t index)
    {
        vm& of = vms_[index];
        if (!of.is_up)
            return;
        const auto phase = of.gate->phase(now());
        const rollout_phase known = phase.value_or(rollout_phase::canary);
        schedule(rollout_report_interval(known).count(), [this, index] { report(index); });
        if (is_frozen(of) || !of.gate->is_running(now()))
            return;
        if (is_store_up())
            of.gate->on_store_contact(now());
        std::size_t receivers = 0;
        for (const std::size_t judge : judges_)
        {
            if (!vms_[judge].is_up)
                continue;
            if (receivers++ == rollout_judge_count)
                break;
            const auto sent =
                of.samples->report(vms_[judge].name, known, of.gate->order_age(now()), now());
            if (random_.chance(with_.report_loss))
            {
                of.samples->on_report_lost(vms_[judge].name);
                if (random_.chance(0.5))
                    continue;
            }
            schedule(random_.between(2, 30),
                     [this, index, judge, sent] { deliver(index, judge, sent); });
        }
    }

    void deliver(std::size_t index, std::size_t judge, const rollout_report& sent)
    {
        vm& to = vms_[judge];
        if (is_frozen(to))
            return;
        to.judge->on_report(sent, now());
        if (const auto verdict = to.judge->verdict(now()))
        {
            schedule(random_.between(2, 30),
                     [this, index, verdict] { vms_[index].gate->on_verdict(*verdict, now()); });
        }
    }

    void judge()
    {
        if (with_.do_vms_freeze && random_.chance(0.02))
            vms_[random_.below(vms_.size())].frozen_until = now_ + random_.between(300, 3000);
        std::size_t rank = 0;
        for (const std::size_t index : judges_)
        {
            vm& of = vms_[index];
            if (!of.is_up)
                continue;
            if (rank >= rollout_judge_count)
                break;
            const std::size_t own_rank = rank++;
            if (is_frozen(of))
                continue;
            const rollout_situation situation{site_.endpoints, site_.endpoints, vms_.size(),
                                              own_rank};
            if (const auto next = of.judge->propose(situation, now()))
                schedule(random_.between(4, 40), [this, next] { write(*next); });
        }
    }

    void write(rollout_record next)
    {
        const std::uint64_t revision = stored_ ? stored_->revision : 0;
        if (!is_store_up() || next.revision != revision)
            return;
        if (stored_ && stored_->order == next.order && !supersedes(next, *stored_))
            ++regressions_;
        next.revision = ++revision_;
        stored_ = next;
        if (next.phase == rollout_phase::full)
            out_.bad_before_full = out_.bad_answers;
        if (is_final(next.phase))
        {
            out_.final_phase = next.phase;
            out_.decided_at = now_;
            out_.is_in_time = now_ <= duration();
            out_.why = next.why;
        }
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            schedule(vms_[i].view_lag,
                     [this, i, next]
                     {
                         vms_[i].gate->on_record(next, now());
                         if (vms_[i].judge)
                             vms_[i].judge->set_record(next, now());
                     });
        }
    }

    bool is_disturbed() const { return now_ >= disturbed_from_ && now_ < disturbed_until_; }

    void send_requests()
    {
        const double surge = with_.has_burst && is_disturbed() ? 2.0 : 1.0;
        for (std::size_t route = 0; route < site_.routes.size(); ++route)
        {
            const double expected = surge * site_.routes[route] * tick_ms / 1000.0;
            auto count = static_cast<std::size_t>(expected);
            count += random_.chance(expected - static_cast<double>(count)) ? 1 : 0;
            for (std::size_t i = 0; i < count; ++i)
                send(route, false, nullptr);
        }
    }

    void send(std::size_t route, bool is_retry, vm* retrying)
    {
        vm* by = retrying;
        // Some VMs get more clients than others.
        while (by == nullptr)
        {
            const std::size_t index = random_.below(vms_.size());
            if (random_.chance(index % 2 == 0 ? 1.0 : 0.4) && vms_[index].is_up)
                by = &vms_[index];
        }
        if (is_frozen(*by))
            return;
        requests_ += !is_retry && now_ < duration() ? 1 : 0;
        const std::string name = "route-" + std::to_string(route);
        rollout_pool pool = by->gate->choose(name, is_retry, now());
        endpoint* to = pick(*by, pool);
        if (to == nullptr)
        {
            pool = by->gate->fallback(pool, now());
            to = pick(*by, pool);
        }
        if (to == nullptr)
        {
            ++refused_;
            return;
        }
        const bool is_candidate = to->record.version == order_.version;
        run(*by, route, name, *to, is_candidate, is_retry);
    }

    endpoint* pick(const vm& by, rollout_pool pool)
    {
        // The old endpoints come first. All of them are usable alike, new ones in part.
        const std::size_t first = pool == rollout_pool::candidate ? site_.endpoints : 0;
        const std::size_t offset = random_.below(site_.endpoints);
        endpoint* chosen = nullptr;
        std::uint64_t usable = 0;
        for (std::size_t i = 0; i < site_.endpoints; ++i)
        {
            endpoint& each = endpoints_[first + (offset + i) % site_.endpoints];
            if (!by.gate->may_use(pool, each.record.id, now()))
                continue;
            if (first == 0)
                return &each;
            if (random_.below(++usable) == 0)
                chosen = &each;
        }
        return chosen;
    }

    void run(vm& by, std::size_t route, const std::string& name, endpoint& to, bool is_candidate,
             bool is_retry)
    {
        const double decay = std::exp(-static_cast<double>(now_ - to.load_at) / 1000.0);
        to.load = to.load * decay + 1.0;
        to.load_at = now_;
        if (is_candidate)
        {
            exposed_ += now_ < duration() ? 1 : 0;
            last_request_ = now_;
        }
        const rollout_attempt attempt{name,         to.record.id, to.record.domain,
                                      is_candidate, route != 0,   is_retry};
        const std::uint64_t number = by.samples->on_sent(attempt, now());

        double duration_ms = typical_ms_[route] * std::exp(spread_ * normal());
        if (with_.has_slow_domain && is_disturbed() && to.record.domain == "a")
            duration_ms *= 4.0;
        if (with_.has_burst && is_disturbed())
            duration_ms *= 2.0;
        bool does_fail = random_.chance(failure_share_);
        const bool is_faulty = (with_.has_faulty_old_endpoint && to.record.id == "v1-0") ||
                               (with_.has_faulty_new_endpoint && to.record.id == "v2-1");
        if (is_faulty && random_.chance(0.5))
            (with_.report_loss > 0.0 ? does_fail = true : (duration_ms *= 5.0, false));
        if (is_candidate && is_bad_now(route, to) && random_.chance(out_.portion))
        {
            if (out_.is_failing)
                does_fail = true;
            else
                duration_ms *= slow_by_;
            schedule(static_cast<std::int64_t>(duration_ms), [this] { count_bad(); });
        }
        vm* const from = &by;
        if (does_fail)
        {
            schedule(random_.between(5, 50),
                     [this, from, number, route, is_retry]
                     {
                         from->samples->on_failed(number, now());
                         if (!is_retry)
                             send(route, true, from);
                     });
            return;
        }
        const auto first_byte = static_cast<std::int64_t>(duration_ms);
        schedule(first_byte, [this, from, number] { from->samples->on_first_byte(number, now()); });
        schedule(first_byte + random_.between(10, 600),
                 [from, number] { from->samples->on_ended(number); });
    }

    bool is_bad_now(std::size_t route, const endpoint& of) const
    {
        if (now_ < turns_bad_at_)
            return false;
        switch (out_.kind)
        {
        case fault::none:
            return false;
        case fault::one_route:
            return route == bad_route_;
        case fault::under_load:
        {
            double total = 0.0;
            for (const double rate : site_.routes)
                total += rate;
            return of.load >= 0.7 * total / static_cast<double>(site_.endpoints);
        }
        default:
            return true;
        }
    }

    void count_bad()
    {
        if (++out_.bad_answers == bad_answers_counted)
            counted_at_ = now_;
    }

    // Sum of uniform numbers, close enough to a normal distribution.
    double normal()
    {
        double sum = 0.0;
        for (int i = 0; i < 6; ++i)
            sum += fraction();
        return (sum - 3.0) * std::sqrt(2.0);
    }

    void finish()
    {
        out_.exposed = exposed_ / (exposure_share * requests_ + exposure_slack);
        if (counted_at_ > 0)
            out_.late_request_ms = last_request_ - counted_at_;
        out_.regressions = regressions_;
        out_.did_judge_crash = with_.does_judge_crash;
    }

    random_source random_;
    outcome_of_history out_;
    site site_;
    conditions with_;
    rollout_order order_;
    std::size_t vm_count_ = 0;
    std::vector<vm> vms_;
    std::vector<std::size_t> judges_; // indexes of VMs, the most preferred first
    std::vector<endpoint> endpoints_;
    std::vector<double> typical_ms_;
    double spread_ = 0.0;
    double failure_share_ = 0.0;
    double slow_by_ = 1.0;
    std::int64_t turns_bad_at_ = 0;
    std::size_t bad_route_ = 0;
    std::int64_t disturbed_from_ = 0;
    std::int64_t disturbed_until_ = 0;
    std::int64_t paused_from_ = 0;
    std::int64_t paused_until_ = 0;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::int64_t now_ = 0;
    std::optional<rollout_record> stored_;
    std::uint64_t revision_ = 10;
    std::uint64_t regressions_ = 0;
    double requests_ = 0.0;
    double exposed_ = 0.0;
    std::uint64_t refused_ = 0;
    std::int64_t last_request_ = 0;
    std::int64_t counted_at_ = 0;
};

} // namespace zinnianotch::testing
