#include "coordination/endpoint_directory.h"

#include "transport/log.h"

#include <algorithm>

namespace zinnianotch
{

namespace
{

// Percentage of an endpoint's connection limit that all VMs together use. An endpoint resets
// connections above its limit, and an order in transit on one of them may have run.
constexpr std::uint32_t connections_used_percent = 80;

// VMs that may batch the same stage at one time, because their views of the fleet differ for a
// while.
constexpr std::size_t max_batching_vms = 3;

// How long the notices of an endpoint that is not listed are remembered after the last one.
constexpr milliseconds notice_memory{600'000};

void log_reachable(const std::string& domain)
{
    log_event(log_level::info, "domain_reachable", {{"domain", domain}});
}

void remove_from(std::vector<endpoint_ptr>& list, const endpoint_ptr& endpoint)
{
    std::erase(list, endpoint);
}

} // namespace

known_endpoint::known_endpoint(boost::asio::io_context& io, endpoint_record initial_record,
                               const boost::asio::ip::tcp::endpoint& peer)
    : record(std::move(initial_record)), key(endpoint_key(record.id, record.started_at)),
      pool(io, peer)
{
}

endpoint_directory::endpoint_directory(boost::asio::io_context& io, std::string own_vm,
                                       std::string own_domain, const fleet_limits& limits)
    : io_(io), own_vm_(std::move(own_vm)), own_domain_(std::move(own_domain)),
      limits_(limits), vms_{own_vm_}
{
}

void endpoint_directory::set_vms(std::vector<std::string> vms)
{
    if (std::find(vms.begin(), vms.end(), own_vm_) == vms.end())
        vms.push_back(own_vm_);
    vms_ = std::move(vms);
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (const auto limit = endpoint->limit.limit())
            endpoint->limit.set_share(share_of_limit(*limit, id, own_vm_, vms_));
    }
}

void endpoint_directory::apply(const endpoint_record& record, const service_spec* service,
                               bool assume_just_started, time_point now)
{
    const auto peer = parse_socket_address(record.address);
    if (!peer)
        return;
    ++changes_;
    const endpoint_ptr known = find(record.id);
    const bool same_lifetime = known && known->record.started_at == record.started_at &&
                               known->record.address == record.address &&
                               known->record.service == record.service;
    if (same_lifetime)
    {
        known->record = record;
        if (record.draining && !known->announced_at)
            known->announced_at = now;
        else if (!record.draining && !known->leaving)
            known->announced_at.reset();
        if (record.cold_for.count() > 0)
            known->health.set_cold_until(now + record.cold_for);
        return;
    }
    remove(record.id, now);
    if (known)
    {
        known->replaced = true;
        known->withdrawn_at.reset();
    }
    const auto added = std::make_shared<known_endpoint>(io_, record, *peer);
    milliseconds cold = record.cold_for;
    if (assume_just_started && service != nullptr)
        cold = std::max(cold, service->warm_up);
    if (cold.count() > 0)
        added->health.set_cold_until(now + cold);
    const auto notice = notices_.find(record.id);
    if (notice != notices_.end() && notice->second.started_at == record.started_at &&
        notice->second.address == record.address)
    {
        added->leaving = notice->second.leaving;
        if (added->leaving)
            added->announced_at = notice->second.noted_at;
        added->health.pause_until(notice->second.paused_until);
        if (const auto limit = notice->second.limit)
            added->limit.set(*limit, share_of_limit(*limit, record.id, own_vm_, vms_),
                             notice->second.limit_named_at);
    }
    if (record.draining && !added->announced_at)
        added->announced_at = now;
    endpoints_[record.id] = added;
    by_service_[record.service].push_back(added);
    log_event(log_level::info, "endpoint_added",
              {{"endpoint", record.id},
               {"service", record.service},
               {"address", record.address},
               {"domain", record.domain},
               {"draining", record.draining ? "true" : "false"},
               {"cold_ms", std::to_string(cold.count())}});
}

void endpoint_directory::remove(const std::string& id, time_point now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    ++changes_;
    const endpoint_ptr endpoint = found->second;
    endpoint->removed = true;
    endpoint->withdrawn_at = now;
    endpoint->pool.close_idle();
    opened_by_removed_ += endpoint->pool.opened();
    reachability_->forget(endpoint->record.domain, id);
    remove_from(by_service_[endpoint->record.service], endpoint);
    endpoints_.erase(found);
    log_event(log_level::info, "endpoint_removed",
              {{"endpoint", id}, {"service", endpoint->record.service}});
}

std::vector<std::string> endpoint_directory::missing_from(const std::set<std::string>& ids) const
{
    std::vector<std::string> absent;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (!ids.contains(id))
            absent.push_back(id);
    }
    return absent;
}

void endpoint_directory::set_domain_out(const std::string& domain, bool out)
{
    const bool changed = out ? domains_out_.insert(domain).second : domains_out_.erase(domain) > 0;
    if (changed)
        log_event(log_level::info, out ? "domain_out" : "domain_in", {{"domain", domain}});
}

void endpoint_directory::retain_domains_out(const std::set<std::string>& domains)
{
    const auto before = domains_out_;
    for (const std::string& domain : before)
    {
        if (!domains.contains(domain))
            set_domain_out(domain, false);
    }
}

bool endpoint_directory::is_domain_out(std::string_view domain) const
{
    return domains_out_.contains(domain);
}

bool endpoint_directory::is_usable(const known_endpoint& endpoint) const
{
    return !endpoint.removed && !endpoint.leaving && !endpoint.record.draining &&
           !endpoint.is_barred && !is_domain_out(endpoint.record.domain);
}

// Number of connections that this VM may hold to one endpoint: its share of the endpoint's limit.
std::uint32_t endpoint_directory::connection_share(const service_spec* service) const
{
    if (service == nullptr || service->max_connections == 0)
        return UINT32_MAX;
    const auto vms = static_cast<std::uint32_t>(std::max<std::size_t>(vms_.size(), 1));
    return std::max(1U, service->max_connections * connections_used_percent / 100 / vms);
}

bool endpoint_directory::within_cold_share(known_endpoint& endpoint, const service_spec* service,
                                           time_point now)
{
    if (service == nullptr || service->cold_rate <= 0.0 || !endpoint.health.is_cold(now))
        return true;
    const double bound = service->cold_rate * limits_.cold_over + limits_.cold_slack;
    return endpoint.cold_sends.count(now) < cold_share(endpoint.record.id, own_vm_, vms_, bound);
}

// Requests to an endpoint that also runs stages would come on top of the calls of the VM that
// batches them, so one VM sends them all.
bool endpoint_directory::within_limit(const known_endpoint& endpoint, const service_spec* service,
                                      time_point now)
{
    const bool runs_stages = service != nullptr && service->batch.has_value();
    return endpoint.limit.may_send(now) &&
           !(runs_stages && endpoint.limit.limit() && endpoint.limit.share().rank > 0);
}

// False if the endpoint would hold more than its memory with the request, by its last report.
bool endpoint_directory::has_memory(const known_endpoint& endpoint,
                                    const placement_request& request, const service_spec* service,
                                    time_point now)
{
    if (request.memory_tokens <= 0.0 || service == nullptr || service->memory_tokens == 0)
        return true;
    memory_use use;
    use.own_tokens = endpoint.backlog.memory();
    if (endpoint.health.has_recent_load(now))
        use.others = std::max(0.0, endpoint.health.load(now) - endpoint.health.in_flight());
    use.tokens_per_request =
        request.memory_per_request > 0.0 ? request.memory_per_request : request.memory_tokens;
    return fits_memory(use, request.memory_tokens, service->memory_tokens);
}

std::optional<timed_choice>
endpoint_directory::choose(const std::vector<placement_candidate>& candidates,
                           const std::vector<endpoint_ptr>& endpoints,
                           const placement_request& request, const placement_query& query,
                           const service_spec* service, time_point now) const
{
    if (request.work == nullptr || query.stay_in_preferred)
    {
        const auto index = choose_endpoint(candidates, query, now);
        return index ? std::optional(timed_choice{*index}) : std::nullopt;
    }
    std::vector<timed_candidate> timed;
    timed.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        timed.push_back(
            {candidates[i], &endpoints[i]->pace, &endpoints[i]->backlog, endpoints[i]->key});
    const std::uint64_t memory = service != nullptr ? service->memory_tokens : 0;
    const std::uint64_t salt = rendezvous_weight(own_vm_, request.affinity) + query.tie_breaker;
    return choose_by_time(timed, {query, request.work, request.rates, memory, salt}, now);
}

endpoint_ptr endpoint_directory::acquire(const placement_request& request,
                                         const service_spec* service, time_point now,
                                         timed_choice* choice)
{
    const auto found = by_service_.find(request.service);
    if (found == by_service_.end())
        return nullptr;
    std::vector<placement_candidate> candidates;
    std::vector<endpoint_ptr> endpoints;
    const std::uint32_t connections = connection_share(service);
    for (const endpoint_ptr& endpoint : found->second)
    {
        if (!is_usable(*endpoint) || !is_reachable(endpoint->record.domain) ||
            !request.allows(endpoint->record.id, now))
            continue;
        const bool allowed = endpoint->health.in_flight() < connections &&
                             within_cold_share(*endpoint, service, now) &&
                             within_limit(*endpoint, service, now) &&
                             has_memory(*endpoint, request, service, now);
        candidates.push_back({&endpoint->record, &endpoint->health, allowed});
        endpoints.push_back(endpoint);
    }
    placement_query query;
    query.affinity = request.affinity;
    query.preferred_domain =
        request.preferred_domain.empty() ? own_domain_ : request.preferred_domain;
    query.stay_in_preferred = request.stay_in_preferred;
    query.default_slots = service != nullptr ? service->slots : 1;
    query.tie_breaker = ++tie_breaker_;
    const auto chosen = choose(candidates, endpoints, request, query, service, now);
    if (!chosen)
        return nullptr;
    if (choice != nullptr)
        *choice = *chosen;
    endpoint_ptr endpoint = endpoints[chosen->index];
    endpoint->pool.set_limit(connections);
    endpoint->health.on_sent(now);
    if (service != nullptr && service->cold_rate > 0.0)
        endpoint->cold_sends.add(now);
    endpoint->limit.on_sent(now);
    return endpoint;
}

std::string endpoint_directory::home_domain(std::string_view service, std::string_view affinity,
                                            bool by_time, time_point now) const
{
    std::vector<placement_candidate> plain;
    std::vector<timed_candidate> candidates;
    const auto found = by_service_.find(service);
    if (found == by_service_.end() || affinity.empty())
        return {};
    for (const endpoint_ptr& endpoint : found->second)
    {
        if (!is_usable(*endpoint) || !is_reachable(endpoint->record.domain))
            continue;
        plain.push_back({&endpoint->record, &endpoint->health, true});
        if (by_time)
            candidates.push_back(
                {plain.back(), &endpoint->pace, &endpoint->backlog, endpoint->key});
    }
    const auto home =
        by_time ? timed_home(candidates, affinity, now) : home_endpoint(plain, affinity, now);
    return home ? plain[*home].endpoint->domain : std::string();
}

std::optional<time_point> endpoint_directory::next_available_at(const placement_request& request,
                                                                time_point now) const
{
    std::optional<time_point> earliest;
    const auto found = by_service_.find(request.service);
    if (found == by_service_.end())
        return earliest;
    for (const endpoint_ptr& endpoint : found->second)
    {
        if (!is_usable(*endpoint) || !request.allows(endpoint->record.id, now))
            continue;
        time_point at = std::max(endpoint->health.try_at(now), endpoint->limit.next_send_at(now));
        if (!is_reachable(endpoint->record.domain))
            at = std::max(at, reachability_->retry_at(endpoint->record.domain, now));
        if (!earliest || at < *earliest)
            earliest = at;
    }
    return earliest;
}

std::string endpoint_directory::describe_availability(std::string_view service,
                                                      time_point now) const
{
    std::size_t listed = 0;
    std::size_t usable = 0;
    std::size_t cold = 0;
    std::size_t limited = 0;
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (endpoint->record.service != service)
            continue;
        ++listed;
        if (is_usable(*endpoint) && is_reachable(endpoint->record.domain) &&
            endpoint->health.may_try(now))
            ++usable;
        if (endpoint->health.is_cold(now))
            ++cold;
        if (endpoint->limit.limit())
            ++limited;
    }
    return "listed " + std::to_string(listed) + ", usable " + std::to_string(usable) + ", cold " +
           std::to_string(cold) + ", limited " + std::to_string(limited);
}

std::vector<endpoint_ptr> endpoint_directory::serving(std::string_view service) const
{
    std::vector<endpoint_ptr> list;
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return list;
    for (const endpoint_ptr& endpoint : found->second)
    {
        if (is_usable(*endpoint))
            list.push_back(endpoint);
    }
    return list;
}

void endpoint_directory::admit_all()
{
    for (const auto& [id, endpoint] : endpoints_)
        endpoint->is_barred = false;
}

bool endpoint_directory::is_serving(std::string_view id) const
{
    const endpoint_ptr endpoint = find(id);
    return endpoint && is_usable(*endpoint);
}

endpoint_ptr endpoint_directory::find(std::string_view id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second;
}

endpoint_ptr endpoint_directory::find_address(std::string_view address) const
{
    for (const auto& [id, endpoint] : endpoints_)
    {
        if (endpoint->record.address == address)
            return endpoint;
    }
    return nullptr;
}

std::unordered_map<std::uint64_t, endpoint_ptr> endpoint_directory::by_key() const
{
    std::unordered_map<std::uint64_t, endpoint_ptr> found;
    found.reserve(endpoints_.size());
    for (const auto& [id, endpoint] : endpoints_)
        found.emplace(endpoint->key, endpoint);
    return found;
}

void endpoint_directory::count_new_request(const std::string& service, time_point now)
{
    budgets_[service].on_first_attempt(limits_.retries, now);
}

bool endpoint_directory::may_retry(const std::string& service, time_point now)
{
    return budgets_[service].may_retry(limits_.retries, vms_.size(), now);
}

bool endpoint_directory::try_acquire_retry(const std::string& service, time_point now)
{
    return budgets_[service].try_retry(limits_.retries, vms_.size(), now);
}

bool endpoint_directory::try_acquire_stage_retry(const std::string& service, time_point now)
{
    return budgets_[service].try_retry(limits_.retries, std::min(vms_.size(), max_batching_vms),
                                       now);
}

// After a failed connect the endpoint may have restarted, and be cold before its record says so.
// The cold time covers the longest pause between two connection attempts and the warm-up.
void endpoint_directory::on_unreachable(known_endpoint& endpoint, const service_spec* service,
                                        upstream_failure failure, time_point now)
{
    const endpoint_record& record = endpoint.record;
    if (failure == upstream_failure::peer_unreachable && !endpoint.removed &&
        record.domain != own_domain_ && reachability_->on_failure(record.domain, record.id))
        log_event(log_level::warning, "domain_unreachable",
                  {{"domain", record.domain}, {"endpoint", record.id}});
    endpoint.health.on_unreachable(now);
    if (service != nullptr && service->cold_rate > 0.0)
        endpoint.health.set_cold_until(now + connect_backoff_max + service->warm_up);
}

void endpoint_directory::on_reached(const known_endpoint& endpoint)
{
    if (reachability_->on_success(endpoint.record.domain))
        log_reachable(endpoint.record.domain);
}

bool endpoint_directory::is_reachable(std::string_view domain) const
{
    return domain == own_domain_ || !reachability_->is_unreachable(domain);
}

// The next usable endpoint of the domain, in turn.
endpoint_ptr endpoint_directory::choose_probe(std::string_view domain)
{
    auto at = endpoints_.upper_bound(last_probed_);
    for (std::size_t n = 0; n < endpoints_.size(); ++n, ++at)
    {
        if (at == endpoints_.end())
            at = endpoints_.begin();
        if (at->second->record.domain != domain || !is_usable(*at->second))
            continue;
        last_probed_ = at->first;
        return at->second;
    }
    return nullptr;
}

// Without a request on the connection: in a domain that is cut off, a request would wait for the
// time-out.
void endpoint_directory::probe_domains(time_point now)
{
    for (const std::string& domain : reachability_->due_probes(now))
    {
        const endpoint_ptr endpoint = choose_probe(domain);
        if (!endpoint)
            continue;
        const std::string& id = endpoint->record.id;
        reachability_->on_probe(domain, id, now);
        endpoint->pool.open_idle(
            [shared = std::weak_ptr(reachability_), domain, id](auto failure)
            {
                const auto reachability = shared.lock();
                if (!reachability)
                    return;
                if (!failure && reachability->on_success(domain))
                    log_reachable(domain);
                else if (failure)
                    reachability->on_dropped(domain, id);
            });
    }
}

endpoint_directory::lifetime_notice& endpoint_directory::notice_of(const endpoint_record& record,
                                                                   time_point now)
{
    lifetime_notice& notice = notices_[record.id];
    if (notice.started_at != record.started_at || notice.address != record.address)
    {
        notice = {};
        notice.started_at = record.started_at;
        notice.address = record.address;
    }
    notice.noted_at = now;
    return notice;
}

void endpoint_directory::set_limit(known_endpoint& endpoint, double limit, time_point now)
{
    const endpoint_record& record = endpoint.record;
    const auto before = endpoint.limit.limit();
    endpoint.limit.set(limit, share_of_limit(limit, record.id, own_vm_, vms_), now);
    lifetime_notice& notice = notice_of(record, now);
    notice.limit = limit;
    notice.limit_named_at = now;
    if (before == limit)
        return;
    log_event(log_level::info, "endpoint_limited",
              {{"endpoint", record.id},
               {"per_second", std::to_string(limit)},
               {"before", before ? std::to_string(*before) : "-"},
               {"own_per_second", std::to_string(endpoint.limit.share().rate)},
               {"vms", std::to_string(vms_.size())}});
}

void endpoint_directory::end_limit(known_endpoint& endpoint, std::string_view why)
{
    endpoint.limit.clear();
    if (const auto notice = notices_.find(endpoint.record.id); notice != notices_.end())
        notice->second.limit.reset();
    log_event(log_level::info, "endpoint_limit_ended",
              {{"endpoint", endpoint.record.id}, {"why", std::string(why)}});
}

bool endpoint_directory::on_limit(known_endpoint& endpoint, const endpoint_answer& answer,
                                  time_point sent_at, time_point now)
{
    if (answer.is_of_other)
        return false;
    if (answer.limit)
    {
        const bool is_change = endpoint.limit.limit() != answer.limit;
        set_limit(endpoint, *answer.limit, now);
        return endpoint.limit.take_report(now) || is_change;
    }
    // A response that was on its way when the limit was named does not end it.
    if (!endpoint.limit.limit() || sent_at <= endpoint.limit.named_at())
        return false;
    end_limit(endpoint, "not_named");
    return true;
}

void endpoint_directory::on_limit_report(known_endpoint& endpoint, std::optional<double> limit,
                                         time_point now)
{
    if (limit)
        set_limit(endpoint, *limit, now);
    else if (endpoint.limit.limit())
        end_limit(endpoint, "told_by_vm");
}

bool endpoint_directory::on_notice(known_endpoint& endpoint, const endpoint_answer& answer,
                                   time_point now)
{
    if (!answer.leaving && !answer.retry_after)
        return false;
    const bool begins_to_leave = answer.leaving && !endpoint.leaving;
    endpoint.leaving = endpoint.leaving || answer.leaving;
    const endpoint_record& record = endpoint.record;
    lifetime_notice& notice = notice_of(record, now);
    notice.leaving = endpoint.leaving;
    if (answer.retry_after)
    {
        notice.paused_until = std::max(notice.paused_until, now + *answer.retry_after);
        endpoint.health.pause_until(notice.paused_until);
        log_event(log_level::info, "endpoint_paused",
                  {{"endpoint", record.id}, {"ms", std::to_string(answer.retry_after->count())}});
    }
    if (begins_to_leave && !endpoint.announced_at)
        endpoint.announced_at = now;
    if (begins_to_leave)
        log_event(log_level::info, "endpoint_leaving", {{"endpoint", record.id}});
    return begins_to_leave;
}

void endpoint_directory::sweep(time_point now)
{
    std::erase_if(notices_,
                  [&](const auto& entry)
                  {
                      return now - entry.second.noted_at > notice_memory &&
                             now > entry.second.paused_until && !endpoints_.contains(entry.first);
                  });
    for (const auto& [id, endpoint] : endpoints_)
    {
        endpoint->pool.sweep(now);
        if (endpoint->limit.expire(now))
            end_limit(*endpoint, "expired");
    }
}

std::uint64_t endpoint_directory::opened_connections() const
{
    std::uint64_t opened = opened_by_removed_;
    for (const auto& [id, endpoint] : endpoints_)
        opened += endpoint->pool.opened();
    return opened;
}

std::vector<endpoint_report> endpoint_directory::report(time_point now) const
{
    std::vector<endpoint_report> list;
    list.reserve(endpoints_.size());
    for (const auto& [id, endpoint] : endpoints_)
    {
        const endpoint_record& record = endpoint->record;
        endpoint_use use = endpoint->health.use(now);
        if (record.draining || endpoint->leaving)
            use = endpoint_use::draining;
        else if (is_domain_out(record.domain))
            use = endpoint_use::domain_out;
        else if (endpoint->is_barred)
            use = endpoint_use::barred;
        else if (!is_reachable(record.domain))
            use = endpoint_use::unreachable;
        else if (use == endpoint_use::used && endpoint->limit.limit())
            use = endpoint_use::limited;
        list.push_back({id, record.service, record.domain, record.address, use,
                        endpoint->health.in_flight(), endpoint->health.load(now)});
    }
    return list;
}

std::vector<std::string> endpoint_directory::domains_out() const
{
    return {domains_out_.begin(), domains_out_.end()};
}

} // namespace zinnianotch
