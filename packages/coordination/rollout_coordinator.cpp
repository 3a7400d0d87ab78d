#include "coordination/rollout_coordinator.h"

#include "state/shares.h"
#include "transport/log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace zinnianotch
{

namespace
{

std::string share_text(double share)
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.4f", share);
    return text.data();
}

// True if the endpoint may be used by some attempt.
bool is_admitted(const rollout_gate& gate, const std::string& endpoint, time_point now)
{
    if (!gate.phase(now))
        return gate.may_use(rollout_pool::unrestricted, endpoint, now);
    return gate.may_use(rollout_pool::old_version, endpoint, now) ||
           gate.may_use(rollout_pool::candidate, endpoint, now) ||
           gate.may_use(rollout_pool::replaced, endpoint, now);
}

// True if the decision moves the share to other endpoints, because the ones before may be faulty.
bool is_rotation(const rollout_record& proposal, const std::optional<rollout_record>& stored)
{
    return proposal.phase == rollout_phase::canary && stored && stored->order == proposal.order &&
           proposal.step > stored->step;
}

// Version that serves besides that of the order; empty if not known.
std::string old_version_of(std::uint64_t order, const std::optional<rollout_record>& stored,
                           const std::optional<rollout_record>& held)
{
    const auto& last = held && (!stored || supersedes(*held, *stored)) ? held : stored;
    if (!last || last->order > order)
        return {};
    return last->order == order ? last->old_version : version_after(*last);
}

} // namespace

rollout_coordinator::rollout_coordinator(std::string vm, std::uint64_t lifetime,
                                         const rollout_limits& limits,
                                         endpoint_directory& endpoints, metrics& counters)
    : vm_(std::move(vm)), lifetime_(lifetime), limits_(limits), endpoints_(endpoints),
      counters_(counters)
{
}

rollout_coordinator::~rollout_coordinator()
{
    endpoints_.admit_all();
}

rollout_coordinator::service_state& rollout_coordinator::state_of(std::string_view service)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        return found->second;
    const std::string name(service);
    const std::uint64_t seed = rendezvous_weight(name, vm_ + "/" + std::to_string(lifetime_));
    service_state& added = services_.try_emplace(name, name, limits_, seed).first->second;
    added.judges = rollout_judges(name, endpoints_.vms());
    return added;
}

rollout_coordinator::service_state* rollout_coordinator::find(std::string_view service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

const rollout_gate* rollout_coordinator::gate(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.gate;
}

void rollout_coordinator::on_order(const rollout_order& order, time_point now)
{
    service_state& state = state_of(order.service);
    if (state.gate.order() == order)
        return;
    counters_.count("rollouts_ordered_total");
    log_event(log_level::info, "rollout_order",
              {{"service", order.service},
               {"version", order.version},
               {"ms", std::to_string(order.duration.count())},
               {"order", std::to_string(order.revision)}});
    replace_order(state, order, now);
}

void rollout_coordinator::on_order_withdrawn(const std::string& service, time_point now)
{
    service_state* const state = find(service);
    if (state == nullptr || !state->gate.order())
        return;
    log_event(log_level::info, "rollout_order_withdrawn", {{"service", service}});
    replace_order(*state, std::nullopt, now);
}

void rollout_coordinator::replace_order(service_state& state,
                                        const std::optional<rollout_order>& order, time_point now)
{
    state.samples =
        order ? std::make_unique<rollout_samples>(vm_, lifetime_, order->service, order->revision)
              : nullptr;
    state.rotation_since.reset();
    state.reported_at = {};
    state.reported_phase.reset();
    state.logged_phase.reset();
    state.gate.set_order(order, now);
    state.judge.set_order(order, now);
}

void rollout_coordinator::retain_orders(const std::set<std::string>& services, time_point now)
{
    are_orders_known_ = true;
    for (const auto& [service, state] : services_)
    {
        if (!services.contains(service))
            on_order_withdrawn(service, now);
    }
}

void rollout_coordinator::on_record(const std::string& service,
                                    const std::optional<rollout_record>& stored,
                                    const std::optional<rollout_record>& held,
                                    store_position position, time_point now)
{
    service_state& state = state_of(service);
    state.held = held;
    if (held)
        state.gate.on_record(*held, now);
    follow(state, stored, position, now);
}

void rollout_coordinator::retain_records(const std::set<std::string>& services,
                                         store_position position, time_point now)
{
    for (auto& [service, state] : services_)
    {
        if (services.contains(service))
            continue;
        state.held.reset();
        follow(state, std::nullopt, position, now);
    }
}

// The table is followed with a delay, so a decision that was read directly may be the later one.
void rollout_coordinator::follow(service_state& state, const std::optional<rollout_record>& stored,
                                 store_position position, time_point now)
{
    if (state.stored_at && position < *state.stored_at)
        return;
    state.stored_at = position;
    const bool is_news = stored && stored != state.stored;
    state.stored = stored;
    if (is_news)
    {
        log_event(log_level::info, "rollout_step",
                  {{"service", stored->service},
                   {"version", stored->version},
                   {"phase", std::string(to_string(stored->phase))},
                   {"step", std::to_string(stored->step)},
                   {"share", share_text(stored->shares.usual)},
                   {"age_ms", std::to_string(stored->age.count())},
                   {"why", stored->why.empty() ? "-" : stored->why},
                   {"revision", std::to_string(stored->revision)}});
        counters_.count("rollouts_steps_total");
        state.gate.on_record(*stored, now);
    }
    // Of what the store has lost, the judge knows the later one and has it written again.
    if (state.held)
        state.judge.set_record(state.held, now);
    state.judge.set_record(stored, now);
}

void rollout_coordinator::on_store_contact(time_point now)
{
    for (auto& [service, state] : services_)
        state.gate.on_store_contact(now);
}

void rollout_coordinator::on_pause()
{
    for (auto& [service, state] : services_)
        state.needs_read = state.gate.order().has_value();
}

bool rollout_coordinator::refresh(time_point now)
{
    if (vms_ != endpoints_.vms())
    {
        vms_ = endpoints_.vms();
        for (auto& [service, state] : services_)
            state.judges = rollout_judges(service, vms_);
    }
    if (std::exchange(endpoint_changes_, endpoints_.changes()) != endpoints_.changes())
        follow_endpoints(now);
    bool has_changed = false;
    for (auto& [service, state] : services_)
    {
        log_phase(service, state, now);
        const auto listed = endpoints_.by_service().find(service);
        if (listed == endpoints_.by_service().end())
            continue;
        for (const endpoint_ptr& endpoint : listed->second)
        {
            const bool is_barred = !is_admitted(state.gate, endpoint->record.id, now);
            has_changed = has_changed || is_barred != endpoint->is_barred;
            endpoint->is_barred = is_barred;
        }
    }
    return has_changed;
}

void rollout_coordinator::follow_endpoints(time_point now)
{
    for (const auto& [service, listed] : endpoints_.by_service())
    {
        std::vector<rollout_endpoint> of_service;
        of_service.reserve(listed.size());
        for (const endpoint_ptr& endpoint : listed)
        {
            const endpoint_record& record = endpoint->record;
            of_service.push_back({record.id, record.domain, record.version, record.started_at});
        }
        if (!of_service.empty() || services_.contains(service))
            state_of(service).gate.set_endpoints(of_service, now);
    }
}

rollout_pool rollout_coordinator::choose(std::string_view service, std::string_view route,
                                         bool is_retry, time_point now)
{
    service_state* const state = find(service);
    if (state == nullptr)
        return rollout_pool::unrestricted;
    const rollout_pool pool = state->gate.choose(route, is_retry, now);
    if (pool == rollout_pool::candidate)
        counters_.count("rollouts_candidate_choices_total");
    return pool;
}

rollout_ticket rollout_coordinator::on_sent(std::string_view service,
                                            const known_endpoint& endpoint,
                                            const std::string& route, rollout_attempt_kind kind,
                                            time_point now)
{
    service_state* const state = find(service);
    if (state == nullptr || !state->samples || !state->gate.is_running(now))
        return {};
    rollout_attempt attempt;
    attempt.route = route;
    attempt.endpoint = endpoint.record.id;
    attempt.domain = endpoint.record.domain;
    attempt.is_candidate = state->gate.is_candidate(endpoint.record.id);
    attempt.is_repeatable = kind.is_repeatable;
    attempt.is_retry = kind.is_retry;
    return {std::string(service), state->samples->order(), state->samples->on_sent(attempt, now)};
}

rollout_samples* rollout_coordinator::samples_of(const rollout_ticket& ticket)
{
    service_state* const state = ticket.order != 0 ? find(ticket.service) : nullptr;
    const bool is_current =
        state != nullptr && state->samples && state->samples->order() == ticket.order;
    return is_current ? state->samples.get() : nullptr;
}

void rollout_coordinator::on_first_byte(const rollout_ticket& ticket, time_point now)
{
    if (rollout_samples* const samples = samples_of(ticket))
        samples->on_first_byte(ticket.number, now);
}

void rollout_coordinator::on_ended(const rollout_ticket& ticket, bool has_failed, time_point now)
{
    rollout_samples* const samples = samples_of(ticket);
    if (samples == nullptr)
        return;
    if (has_failed)
        samples->on_failed(ticket.number, now);
    else
        samples->on_ended(ticket.number);
}

// Also true while the link to the VM may still come up.
bool rollout_coordinator::may_judge(const std::string& vm, const reachability& is_up,
                                    time_point now) const
{
    if (vm == vm_ || is_up(vm))
        return true;
    const auto since = wanted_since_.find(vm);
    return since != wanted_since_.end() && now - since->second < judge_link_patience;
}

std::set<std::string> rollout_coordinator::wanted_links(const reachability& is_up, time_point now)
{
    std::set<std::string> wanted;
    for (const auto& [service, state] : services_)
    {
        if (!state.gate.is_running(now) && !state.wants_links)
            continue;
        std::size_t usable = 0;
        for (const std::string& vm : state.judges)
        {
            if (usable == rollout_judge_count)
                break;
            if (vm != vm_)
            {
                wanted.insert(vm);
                wanted_since_.try_emplace(vm, now);
            }
            usable += may_judge(vm, is_up, now) ? 1 : 0;
        }
    }
    std::erase_if(wanted_since_, [&](const auto& entry) { return !wanted.contains(entry.first); });
    return wanted;
}

std::vector<std::string> rollout_coordinator::judges_of(const service_state& state,
                                                        const reachability& is_up,
                                                        time_point now) const
{
    std::vector<std::string> judges;
    for (const std::string& vm : state.judges)
    {
        if (judges.size() == rollout_judge_count)
            break;
        if (may_judge(vm, is_up, now))
            judges.push_back(vm);
    }
    return judges;
}

// Nothing if enough other VMs come first.
std::optional<std::size_t> rollout_coordinator::own_rank(const service_state& state,
                                                         const reachability& is_up,
                                                         time_point now) const
{
    const std::vector<std::string> judges = judges_of(state, is_up, now);
    const auto own = std::find(judges.begin(), judges.end(), vm_);
    if (own == judges.end())
        return std::nullopt;
    return static_cast<std::size_t>(own - judges.begin());
}

std::vector<rollout_coordinator::addressed_report>
rollout_coordinator::take_reports(const reachability& is_up, time_point now)
{
    std::vector<addressed_report> due;
    for (auto& [service, state] : services_)
    {
        const auto phase = state.gate.phase(now);
        if (!state.samples || !phase || !state.gate.is_running(now))
            continue;
        // The judges wait for all VMs to follow a phase.
        if (phase == state.reported_phase &&
            now - state.reported_at < rollout_report_interval(*phase))
            continue;
        state.reported_at = now;
        state.reported_phase = phase;
        const milliseconds age = state.gate.order_age(now);
        for (const std::string& vm : judges_of(state, is_up, now))
        {
            if (vm != vm_ && !is_up(vm))
                continue;
            const rollout_report report = state.samples->report(vm, *phase, age, now);
            if (vm != vm_)
            {
                due.push_back({vm, report});
                continue;
            }
            if (const auto verdict = on_report(report, now))
                on_verdict(*verdict, now);
        }
    }
    return due;
}

void rollout_coordinator::on_link_up(const std::string& vm)
{
    for (auto& [service, state] : services_)
    {
        if (state.samples)
            state.samples->on_report_lost(vm);
    }
}

std::optional<rollout_verdict> rollout_coordinator::on_report(const rollout_report& report,
                                                              time_point now)
{
    service_state* const state = find(report.service);
    if (state == nullptr)
        return std::nullopt;
    state->judge.on_report(report, now);
    return verdict_of(*state, now);
}

std::optional<rollout_verdict> rollout_coordinator::verdict_of(const service_state& state,
                                                               time_point now) const
{
    auto verdict = state.judge.verdict(now);
    if (!verdict)
        return verdict;
    verdict->old_version = old_version_of(verdict->order, state.stored, state.held);
    if (state.rotation_since && now - *state.rotation_since >= unwritten_rotation_patience &&
        verdict->phase < rollout_phase::full)
        verdict->shares = {};
    return verdict;
}

void rollout_coordinator::on_verdict(const rollout_verdict& verdict, time_point now)
{
    if (service_state* const state = find(verdict.service))
        state->gate.on_verdict(verdict, now);
}

rollout_situation rollout_coordinator::situation(const std::string& service, std::size_t rank) const
{
    rollout_situation result;
    result.rank = rank;
    result.vms = endpoints_.vm_count();
    const auto state = services_.find(service);
    const auto listed = endpoints_.by_service().find(service);
    if (state == services_.end() || listed == endpoints_.by_service().end())
        return result;
    for (const endpoint_ptr& endpoint : listed->second)
    {
        if (endpoint->leaving || endpoint->record.draining)
            continue;
        if (state->second.gate.is_candidate(endpoint->record.id))
            ++result.candidate_endpoints;
        else
            ++result.old_endpoints;
    }
    return result;
}

// The judge follows the time on every VM, so that its verdicts are right when it is asked.
void rollout_coordinator::judge(const reachability& is_up, time_point now)
{
    for (auto& [service, state] : services_)
    {
        const bool is_open = state.stored && !is_final(state.stored->phase);
        if (!state.gate.order() && !is_open)
        {
            state.proposal.reset();
            continue;
        }
        if (are_orders_known_ && !state.gate.order())
            state.judge.set_order(std::nullopt, now);
        const auto rank = own_rank(state, is_up, now);
        const rollout_situation at = situation(service, rank.value_or(rollout_judge_count));
        state.proposal = state.judge.propose(at, now);
        if (state.proposal)
            state.proposal->old_version =
                old_version_of(state.proposal->order, state.stored, state.held);
        if (!state.proposal || !is_rotation(*state.proposal, state.stored))
            state.rotation_since.reset();
        else if (!state.rotation_since)
            state.rotation_since = now;
        // Without links all VMs come first in their own view.
        if (!rank || !std::exchange(state.wants_links, state.proposal.has_value()))
            state.proposal.reset();
    }
}

std::optional<rollout_call> rollout_coordinator::next_call(time_point now)
{
    for (auto& [service, state] : services_)
    {
        if (now < state.call_at)
            continue;
        if (state.needs_read || (state.proposal && !state.stored_at))
            return rollout_call{service, std::nullopt};
        if (!state.proposal)
            continue;
        log_proposal(state, *state.proposal);
        counters_.count("rollouts_proposals_total");
        return rollout_call{service, std::exchange(state.proposal, std::nullopt)};
    }
    return std::nullopt;
}

// Whatever the outcome, the decision in the store is read before the next one is written: it may
// be this one, another VM's, or one whose answer was lost.
void rollout_coordinator::on_written(const rollout_call& call, write_outcome outcome,
                                     time_point now)
{
    service_state& state = state_of(call.service);
    state.needs_read = true;
    switch (outcome)
    {
    case write_outcome::written:
        if (call.put->phase == rollout_phase::completed)
            counters_.count("rollouts_completed_total");
        if (call.put->phase == rollout_phase::rolled_back)
            counters_.count("rollouts_rolled_back_total");
        return;
    case write_outcome::conflict:
        counters_.count("rollouts_proposals_lost_total");
        state.call_at = now + rollout_call_interval;
        log_event(log_level::info, "rollout_proposal_lost",
                  {{"service", call.service},
                   {"phase", std::string(to_string(call.put->phase))},
                   {"step", std::to_string(call.put->step)},
                   {"revision", std::to_string(call.put->revision)}});
        return;
    case write_outcome::unknown:
        return on_call_failed(call.service, now);
    }
}

void rollout_coordinator::on_read(const std::string& service,
                                  const std::optional<rollout_record>& stored,
                                  store_position position, time_point now)
{
    service_state& state = state_of(service);
    state.needs_read = false;
    state.proposal.reset(); // based on what was known before
    follow(state, stored, position, now);
}

void rollout_coordinator::on_call_failed(const std::string& service, time_point now)
{
    service_state& state = state_of(service);
    state.needs_read = true;
    state.call_at = now + rollout_call_interval;
    counters_.count("rollouts_store_failures_total");
}

bool rollout_coordinator::has_running(time_point now) const
{
    // A roll-back that only judges have told of has not ended before it is in the store.
    return std::any_of(services_.begin(), services_.end(),
                       [&](const auto& entry)
                       {
                           const service_state& state = entry.second;
                           const auto& order = state.gate.order();
                           const bool is_settled = order && state.stored &&
                                                   state.stored->order == order->revision &&
                                                   is_final(state.stored->phase);
                           return state.gate.is_running(now) || (order && !is_settled);
                       });
}

bool rollout_coordinator::bars_endpoints() const
{
    const auto& listed = endpoints_.by_service();
    return std::any_of(listed.begin(), listed.end(),
                       [](const auto& entry)
                       {
                           return std::any_of(entry.second.begin(), entry.second.end(),
                                              [](const endpoint_ptr& endpoint)
                                              { return endpoint->is_barred; });
                       });
}

std::vector<rollout_status> rollout_coordinator::status(time_point now) const
{
    std::vector<rollout_status> list;
    for (const auto& [service, state] : services_)
    {
        const auto phase = state.gate.phase(now);
        if (phase && state.gate.order())
            list.push_back(
                {service, state.gate.order()->version, *phase, state.gate.order_age(now)});
    }
    return list;
}

void rollout_coordinator::log_phase(const std::string& service, service_state& state,
                                    time_point now)
{
    const auto phase = state.gate.phase(now);
    if (phase == state.logged_phase)
        return;
    log_event(log_level::info, "rollout_phase",
              {{"service", service},
               {"phase", phase ? std::string(to_string(*phase)) : "-"},
               {"before", state.logged_phase ? std::string(to_string(*state.logged_phase)) : "-"},
               {"age_ms", std::to_string(state.gate.order_age(now).count())},
               {"old_endpoints", std::to_string(state.gate.old_endpoints())},
               {"candidate_endpoints", std::to_string(state.gate.candidate_endpoints())}});
    state.logged_phase = phase;
}

// Logs the figures that a decision is based on, once for each decision.
void rollout_coordinator::log_proposal(service_state& state, const rollout_record& proposal)
{
    rollout_record shown = proposal;
    shown.revision = 0;
    shown.age = milliseconds(0);
    if (state.logged_proposal == shown)
        return;
    state.logged_proposal = shown;
    for (const rollout_assessment& route : state.judge.assessments())
        log_event(log_level::info, "rollout_verdict",
                  {{"service", proposal.service},
                   {"version", proposal.version},
                   {"phase", std::string(to_string(proposal.phase))},
                   {"step", std::to_string(proposal.step)},
                   {"route", route.route.empty() ? "all" : route.route},
                   {"old_answers", std::to_string(route.old_answers)},
                   {"answers", std::to_string(route.answers)},
                   {"failures", std::to_string(route.failures)},
                   {"slow", std::to_string(route.slow)},
                   {"evidence", share_text(route.evidence)},
                   {"why", proposal.why.empty() ? "-" : proposal.why}});
}

} // namespace zinnianotch
