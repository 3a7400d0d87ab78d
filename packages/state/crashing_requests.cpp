#include "state/crashing_requests.h"

#include "state/shares.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>

namespace zinnianotch
{

namespace
{

constexpr milliseconds expiry_interval{1000};
constexpr milliseconds broken_engine_max_age{60'000};
constexpr std::size_t max_pending_reports = 1024;
// Steps after which the interval between doubtful probes grows no longer.
constexpr std::uint32_t max_growth_steps = 4;

// Number of crashes later than the given time.
template <typename Crashes>
std::size_t count_since(const Crashes& crashes, time_point answered_at)
{
    return static_cast<std::size_t>(std::count_if(
        crashes.begin(), crashes.end(), [&](const auto& each) { return each.at > answered_at; }));
}

// Number of crashes since an answer at which the request is held.
template <typename Crashes>
std::size_t threshold(const Crashes& crashes, time_point answered_at)
{
    const bool was_answered_shortly_before =
        answered_at != time_point::min() &&
        std::any_of(crashes.begin(), crashes.end(),
                    [&](const auto& each)
                    { return each.at > answered_at && each.at <= answered_at + answered_memory; });
    return held_request_crashes + (was_answered_shortly_before ? 1 : 0);
}

milliseconds age_of(time_point at, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - at);
}

} // namespace

void crashing_requests::on_crash(const engine_lifetime& engine, const std::string& domain,
                                 const std::string& digest, const std::string& route,
                                 time_point now)
{
    if (!add_crash(engine, domain, digest, route, now, now))
        return;
    const suspect& of = suspects_.find(digest)->second;
    crash_report report = describe(of.crashes.back(), of);
    report.parts = {digest};
    emit(std::move(report), of.crashes.back().at);
}

void crashing_requests::on_answered(const std::string& digest, time_point now)
{
    answered_[digest] = now;
    answered_order_.emplace_back(now, digest);
    while (answered_order_.size() > max_answered_requests ||
           now - answered_order_.front().first > answered_memory)
    {
        const auto found = answered_.find(answered_order_.front().second);
        if (found != answered_.end() && found->second == answered_order_.front().first)
            answered_.erase(found);
        answered_order_.pop_front();
    }
    add_answer(digest, now, now);
    const auto found = suspects_.find(digest);
    if (found != suspects_.end() && has_untold_answer(found->second))
        sound_reports_due_[digest] = now;
}

void crashing_requests::on_alive(const engine_lifetime& engine, time_point sent_at, time_point now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end() || sent_at <= found->second.at ||
        sent_at > found->second.at + alive_evidence_max || !add_alive(engine, sent_at, now))
        return;
    crash_report report;
    report.kind = crash_report_kind::sound;
    report.engines = {engine};
    emit(std::move(report), sent_at);
}

bool crashing_requests::on_report(const crash_report& report, time_point now)
{
    const time_point at = now - report.age;
    bool is_news = false;
    switch (report.kind)
    {
    case crash_report_kind::crash:
        if (report.engines.size() != 1)
            return false;
        for (const std::string& digest : report.parts)
            is_news |=
                add_crash(report.engines.front(), report.domain, digest, report.route, at, now);
        return is_news;
    case crash_report_kind::sound:
        for (const std::string& digest : report.parts)
        {
            is_news |= add_answer(digest, at, now);
            const auto found = suspects_.find(digest);
            if (found != suspects_.end())
                found->second.told_answered_at = std::max(found->second.told_answered_at, at);
        }
        for (const engine_lifetime& engine : report.engines)
            is_news |= add_alive(engine, at, now);
        return is_news;
    case crash_report_kind::probe:
        return report.parts.size() == 1 && add_probe(report.parts.front(), report.probes, at);
    }
    return false;
}

std::vector<crash_report> crashing_requests::take_reports(time_point now)
{
    expire(now);
    for (auto each = sound_reports_due_.begin(); each != sound_reports_due_.end();)
    {
        if (now < each->second)
        {
            ++each;
            continue;
        }
        const auto found = suspects_.find(each->first);
        if (found != suspects_.end() && has_untold_answer(found->second))
        {
            found->second.told_answered_at = found->second.answered_at;
            crash_report report;
            report.kind = crash_report_kind::sound;
            report.parts = {each->first};
            emit(std::move(report), found->second.answered_at);
        }
        each = sound_reports_due_.erase(each);
    }
    std::vector<crash_report> reports;
    reports.reserve(pending_.size());
    for (pending_report& each : pending_)
    {
        each.report.age = age_of(each.at, now);
        reports.push_back(std::move(each.report));
    }
    pending_.clear();
    return reports;
}

std::vector<crash_report> crashing_requests::snapshot(time_point now) const
{
    // Requests at the same crash share a report. Held requests come first.
    std::vector<crash_report> reports;
    std::map<std::tuple<bool, engine_lifetime, std::string>, std::size_t> positions;
    for (const bool is_held : {true, false})
    {
        for (const auto& [digest, of] : suspects_)
        {
            if (of.held_since.has_value() != is_held)
                continue;
            const bool has_several = count_since(of.crashes, of.answered_at) > 1;
            for (const crash& each : of.crashes)
            {
                if (each.at <= of.answered_at ||
                    (!has_several && now - each.at > single_crash_snapshot_age))
                    continue;
                const auto [position, is_new] =
                    positions.try_emplace({is_held, each.engine, of.route}, reports.size());
                if (is_new && reports.size() >= max_snapshot_reports)
                    return reports;
                if (is_new)
                {
                    reports.push_back(describe(each, of));
                    reports.back().age = age_of(each.at, now);
                }
                reports[position->second].parts.push_back(digest);
            }
            crash_report about;
            about.subject = crash_report_subject::requests;
            about.parts = {digest};
            if (has_several && threshold(of.crashes, of.answered_at) > held_request_crashes)
            {
                about.kind = crash_report_kind::sound;
                about.age = age_of(of.answered_at, now);
                reports.push_back(about);
            }
            if (is_held && of.probes > 0)
            {
                about.kind = crash_report_kind::probe;
                about.probes = of.probes;
                about.age = age_of(of.probed_at, now);
                reports.push_back(about);
            }
        }
    }
    return reports;
}

std::optional<milliseconds> crashing_requests::held(const std::string& digest, time_point now)
{
    suspect* const found = find_held(digest);
    if (found == nullptr)
        return std::nullopt;
    found->asked_at = now;
    const auto due = probe_due(*found);
    if (!due)
        return guilty_probe_interval;
    return std::max(std::chrono::ceil<milliseconds>(*due - now), probe_rank_delay);
}

bool crashing_requests::may_probe(const std::string& digest, std::string_view own,
                                  const std::vector<std::string>& vms, time_point now)
{
    const suspect* const found = find_held(digest);
    if (found == nullptr)
        return false;
    const auto due = probe_due(*found);
    if (!due || now < *due)
        return false;
    // Requests that crashed together must not meet at an endpoint again.
    const bool is_other_tried = std::any_of(suspects_.begin(), suspects_.end(),
                                            [&](const auto& entry)
                                            {
                                                const suspect& other = entry.second;
                                                return &other != found && other.held_since &&
                                                       other.probed_at > now - probe_spacing;
                                            });
    if (is_other_tried)
        return false;
    const std::string key = digest + "/" + std::to_string(found->probes);
    const std::uint64_t own_weight = rendezvous_weight(key, own);
    const auto before =
        std::count_if(vms.begin(), vms.end(),
                      [&](const std::string& vm)
                      { return vm != own && rendezvous_weight(key, vm) > own_weight; });
    return now >= *due + before * probe_rank_delay;
}

void crashing_requests::on_probe(const std::string& digest, time_point now)
{
    const suspect* const found = find_held(digest);
    if (found == nullptr)
        return;
    crash_report report;
    report.kind = crash_report_kind::probe;
    report.parts = {digest};
    report.probes = found->probes + 1;
    if (add_probe(digest, report.probes, now))
        emit(std::move(report), now);
}

std::vector<held_request_report> crashing_requests::held_requests(time_point now)
{
    expire(now);
    std::vector<held_request_report> reports;
    for (const auto& [digest, of] : suspects_)
    {
        if (of.held_since)
            reports.push_back({digest, of.route, count_since(of.crashes, of.answered_at),
                               age_of(*of.held_since, now)});
    }
    return reports;
}

bool crashing_requests::add_crash(const engine_lifetime& engine, const std::string& domain,
                                  const std::string& digest, const std::string& route,
                                  time_point at, time_point now)
{
    if (digest.size() != request_digest_size || route.size() > max_route_name_size)
        return false;
    const auto broken = engines_.find(engine);
    if (broken != engines_.end())
    {
        broken_engine& known = broken->second;
        // Ages do not include the time that a report took.
        if (known.alive_at != time_point::min() && at <= known.alive_at + alive_evidence_max)
            return false;
        if (known.alive_at >= known.at)
            known.at = at;
        // Some connections to an endpoint that is gone only time out.
        at = std::min(at, known.at);
    }
    else if (engines_.size() < max_broken_engines)
    {
        engines_.emplace(engine, broken_engine{domain, at});
        for (auto& [other, of] : suspects_)
        {
            if (of.held_since)
                update_hold(of, now);
        }
    }
    auto found = suspects_.find(digest);
    if (found == suspects_.end())
    {
        if (suspects_.size() >= max_suspect_requests && !make_room(at))
            return false;
        found = suspects_.try_emplace(digest).first;
        found->second.route = route;
        ++routes_[route];
        const auto answered = answered_.find(digest);
        if (answered != answered_.end())
            found->second.answered_at = answered->second;
    }
    suspect& of = found->second;
    if (std::any_of(of.crashes.begin(), of.crashes.end(),
                    [&](const crash& each) { return each.engine == engine; }))
        return false;
    if (of.crashes.size() >= max_crashes_of_request)
    {
        const auto oldest =
            std::min_element(of.crashes.begin(), of.crashes.end(),
                             [](const crash& a, const crash& b) { return a.at < b.at; });
        if (at <= oldest->at)
            return false;
        of.crashes.erase(oldest);
    }
    of.crashes.push_back({engine, domain, at});
    of.last_crash_at = std::max(of.last_crash_at, at);
    update_hold(of, now);
    if (has_untold_answer(of))
        schedule_sound_report(digest, now);
    return true;
}

// Returns true if the answer changes what the crashes of the request mean.
bool crashing_requests::add_answer(const std::string& digest, time_point at, time_point now)
{
    const auto found = suspects_.find(digest);
    if (found == suspects_.end() || at <= found->second.answered_at)
        return false;
    suspect& of = found->second;
    const bool is_news = count_since(of.crashes, at) != count_since(of.crashes, of.answered_at) ||
                         threshold(of.crashes, at) != threshold(of.crashes, of.answered_at);
    of.answered_at = at;
    update_hold(of, now);
    return is_news;
}

// The endpoint lives, so what broke there by then was no crash.
bool crashing_requests::add_alive(const engine_lifetime& engine, time_point at, time_point now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end() || at < found->second.at ||
        found->second.alive_at >= found->second.at)
        return false;
    found->second.alive_at = at;
    for (auto each = suspects_.begin(); each != suspects_.end();)
    {
        suspect& of = each->second;
        std::erase_if(of.crashes,
                      [&](const crash& known) { return known.engine == engine && known.at <= at; });
        if (of.crashes.empty())
        {
            each = erase(each);
            continue;
        }
        update_hold(of, now);
        ++each;
    }
    return true;
}

bool crashing_requests::add_probe(const std::string& digest, std::uint32_t probes, time_point at)
{
    suspect* const found = find_held(digest);
    if (found == nullptr || probes <= found->probes)
        return false;
    found->probes = probes;
    found->probed_at = at;
    return true;
}

// Drops the suspect whose last crash is the oldest. Returns false if that would be one at `at`.
bool crashing_requests::make_room(time_point at)
{
    auto oldest = suspects_.end();
    for (auto each = suspects_.begin(); each != suspects_.end(); ++each)
    {
        if (!each->second.held_since && (oldest == suspects_.end() ||
                                         each->second.last_crash_at < oldest->second.last_crash_at))
            oldest = each;
    }
    if (oldest == suspects_.end() || oldest->second.last_crash_at >= at)
        return false;
    erase(oldest);
    return true;
}

crashing_requests::suspect_map::iterator crashing_requests::erase(suspect_map::iterator position)
{
    const auto route = routes_.find(position->second.route);
    if (--route->second == 0)
        routes_.erase(route);
    return suspects_.erase(position);
}

void crashing_requests::expire(time_point now)
{
    if (now - expired_at_ < expiry_interval)
        return;
    expired_at_ = now;
    for (auto each = suspects_.begin(); each != suspects_.end();)
    {
        const suspect& of = each->second;
        const bool is_expired = of.held_since
                                    ? now - std::max(of.last_crash_at, of.asked_at) > hold_idle_max
                                    : now - of.last_crash_at > request_crash_max_age;
        each = is_expired ? erase(each) : std::next(each);
    }
    std::erase_if(engines_,
                  [&](const auto& each) { return now - each.second.at > broken_engine_max_age; });
}

// Number of crashes since the last answer, where the loss of a domain counts as one.
std::size_t crashing_requests::count_causes(const suspect& of) const
{
    std::vector<const crash*> open;
    for (const crash& each : of.crashes)
    {
        if (each.at > of.answered_at)
            open.push_back(&each);
    }
    if (open.size() < held_request_crashes)
        return open.size();
    std::sort(open.begin(), open.end(),
              [](const crash* a, const crash* b)
              { return std::tie(a->domain, a->at) < std::tie(b->domain, b->at); });
    std::size_t count = 0;
    for (std::size_t begin = 0; begin < open.size();)
    {
        const crash& first = *open[begin];
        std::size_t end = begin;
        while (end < open.size() && open[end]->domain == first.domain &&
               open[end]->at - first.at <= domain_cause_window)
            ++end;
        const auto broken = static_cast<std::size_t>(
            std::count_if(engines_.begin(), engines_.end(),
                          [&](const auto& entry)
                          {
                              const broken_engine& engine = entry.second;
                              return engine.domain == first.domain &&
                                     std::chrono::abs(engine.at - first.at) <= domain_cause_window;
                          }));
        count += broken > domain_loss_factor * (end - begin) ? 1 : end - begin;
        begin = end;
    }
    return count;
}

void crashing_requests::update_hold(suspect& of, time_point now) const
{
    const bool is_held = count_causes(of) >= threshold(of.crashes, of.answered_at);
    if (!is_held)
    {
        of.held_since.reset();
        of.probes = 0;
        of.probed_at = time_point::min();
    }
    else if (!of.held_since)
        of.held_since = now;
}

// All VMs that know the request as sound hear of its crash at about the same time.
void crashing_requests::schedule_sound_report(const std::string& digest, time_point now)
{
    const auto delay = rendezvous_weight(digest, origin_) %
                       static_cast<std::uint64_t>(sound_report_spread.count());
    sound_reports_due_.try_emplace(digest, now + milliseconds(delay));
}

// True if other VMs may be about to hold the request without reason.
bool crashing_requests::has_untold_answer(const suspect& of) const
{
    const std::size_t told = count_since(of.crashes, of.told_answered_at);
    return of.answered_at > of.told_answered_at && told + 1 >= held_request_crashes &&
           (count_since(of.crashes, of.answered_at) < told ||
            threshold(of.crashes, of.answered_at) > threshold(of.crashes, of.told_answered_at));
}

void crashing_requests::emit(crash_report report, time_point at)
{
    report.subject = crash_report_subject::requests;
    if (pending_.size() < max_pending_reports)
        pending_.push_back({std::move(report), at});
}

crash_report crashing_requests::describe(const crash& each, const suspect& of) const
{
    crash_report report;
    report.subject = crash_report_subject::requests;
    report.engines = {each.engine};
    report.domain = each.domain;
    report.route = of.route;
    return report;
}

crashing_requests::suspect* crashing_requests::find_held(std::string_view digest)
{
    const auto found = suspects_.find(digest);
    return found == suspects_.end() || !found->second.held_since ? nullptr : &found->second;
}

// True if each crash of the request had another suspect that is at enough crashes to be held.
bool crashing_requests::is_explained(const suspect& of) const
{
    std::vector<const crash*> open;
    for (const crash& each : of.crashes)
    {
        if (each.at > of.answered_at)
            open.push_back(&each);
    }
    for (const auto& [digest, other] : suspects_)
    {
        if (&other == &of || count_since(other.crashes, other.answered_at) < held_request_crashes)
            continue;
        for (const crash& known : other.crashes)
        {
            if (known.at > other.answered_at)
                std::erase_if(open,
                              [&](const crash* each) { return each->engine == known.engine; });
        }
    }
    return open.empty();
}

// True unless the loss of a domain or other requests may explain the crashes of a held request.
bool crashing_requests::is_guilty(const suspect& of) const
{
    if (is_explained(of))
        return of.probes >= max_doubtful_probes;
    // The loss of a domain explains crashes at about the time of the earliest one.
    const auto earliest = std::min_element(of.crashes.begin(), of.crashes.end(),
                                           [&](const crash& a, const crash& b) {
                                               return std::pair(a.at <= of.answered_at, a.at) <
                                                      std::pair(b.at <= of.answered_at, b.at);
                                           });
    return std::any_of(of.crashes.begin(), of.crashes.end(),
                       [&](const crash& each)
                       {
                           return each.at > of.answered_at &&
                                  (each.domain != earliest->domain ||
                                   each.at > earliest->at + domain_loss_window);
                       });
}

// Nothing if the request is not tried any more.
std::optional<time_point> crashing_requests::probe_due(const suspect& of) const
{
    const time_point since = std::max(of.last_crash_at, of.probed_at);
    milliseconds interval = doubtful_probe_interval;
    if (!is_guilty(of))
    {
        for (std::uint32_t i = 0; i < std::min(of.probes, max_growth_steps); ++i)
            interval *= doubtful_probe_growth;
        return since + interval;
    }
    if (of.probes >= max_guilty_probes)
        return std::nullopt;
    interval = guilty_probe_interval;
    for (std::uint32_t i = 1; i < of.probes; ++i)
        interval *= guilty_probe_growth;
    return since + interval;
}

} // namespace zinnianotch
