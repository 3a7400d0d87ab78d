#include "state/config_findings.h"

#include "state/enum_names.h"
#include "state/time_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace zinnianotch
{

namespace
{

struct kind_entry
{
    std::string_view name;
    finding_severity severity;
};

// In the order of finding_kind.
constexpr std::array<kind_entry, 23> kinds = {{
    {"invalid_entry", finding_severity::error},
    {"missing_name", finding_severity::error},
    {"unmatchable_prefix", finding_severity::error},
    {"open_prefix", finding_severity::warning},
    {"shadowed_route", finding_severity::error},
    {"unknown_service", finding_severity::error},
    {"unknown_predecessor", finding_severity::error},
    {"unbatched_stage", finding_severity::error},
    {"zero_weights", finding_severity::error},
    {"unused_service", finding_severity::warning},
    {"unused_pool", finding_severity::warning},
    {"unused_domain", finding_severity::warning},
    {"empty_pool", finding_severity::error},
    {"pool_out_of_service", finding_severity::error},
    {"account_without_key", finding_severity::warning},
    {"exception_without_effect", finding_severity::warning},
    {"overridden_exception", finding_severity::warning},
    {"timeout_under_stages", finding_severity::error},
    {"goal_under_stages", finding_severity::warning},
    {"goal_over_timeout", finding_severity::warning},
    {"timeout_over_deadline", finding_severity::warning},
    {"cold_limit_over_warm", finding_severity::warning},
    {"result_memory_under_call", finding_severity::warning},
}};
static_assert(kinds.size() == static_cast<std::size_t>(finding_kind::result_memory_under_call) + 1);

constexpr std::array<std::string_view, 2> severity_names = {"error", "warning"};

std::string quoted(std::string_view kind, std::string_view name)
{
    return std::string(kind) + " '" + std::string(name) + "'";
}

// How the entries of a configuration use one of its pools.
struct pool_use
{
    bool by_stages = false;
    bool by_services = false;
    milliseconds shortest_deadline = milliseconds::max(); // of the pipelines with such a stage
};

// Value of the setting, or 0 if there is none with this name.
std::uint32_t setting_of(const defaults_config& limits, std::string_view name)
{
    if (name == "cold_limit")
        return limits.cold_limit;
    if (name == "warm_limit")
        return limits.warm_limit;
    if (name == "retry_percent")
        return limits.retry_percent;
    if (name == "stage_timeout_ms")
        return limits.stage_timeout_ms;
    return name == "service_timeout_ms" ? limits.service_timeout_ms : 0;
}

class configuration_checker
{
public:
    explicit configuration_checker(const configuration& config) : config_(config) {}

    std::vector<config_finding> run()
    {
        // The text of a problem names its entry, up to the colon.
        for (const std::string& problem : validate(config_))
        {
            const std::size_t colon = problem.find(": ");
            report(finding_kind::invalid_entry, problem.substr(0, colon),
                   colon == std::string::npos ? problem : problem.substr(colon + 2),
                   "the server refuses the configuration as it is");
        }
        index_entries();
        for (const pool_config& pool : config_.pools)
            check_pool(pool);
        for (const domain_config& domain : config_.domains)
        {
            if (!used_domains_.contains(domain.id))
                report(finding_kind::unused_domain, quoted("domain", domain.id), "has no endpoints",
                       "remove it, or correct the domain of its endpoints");
        }
        for (const exception_config& exception : config_.exceptions)
            check_exception(exception);
        return std::move(findings_);
    }

private:
    void report(finding_kind kind, std::string where, std::string text, std::string hint)
    {
        findings_.push_back({kind, std::move(where), std::move(text), std::move(hint)});
    }

    void index_entries()
    {
        for (const pipeline_config& pipeline : config_.pipelines)
        {
            for (const stage_config& stage : pipeline.stages)
            {
                pool_use& use = uses_[stage.pool];
                use.by_stages = true;
                use.shortest_deadline = std::min(use.shortest_deadline, pipeline.deadline);
            }
        }
        for (const service_config& service : config_.services)
            uses_[service.pool].by_services = true;
        for (const pool_config& pool : config_.pools)
        {
            pools_by_target_["pool:" + pool.name] = &pool;
            for (const endpoint_config& endpoint : pool.endpoints)
            {
                pools_by_target_["endpoint:" + endpoint.id] = &pool;
                used_domains_.insert(endpoint.domain);
            }
        }
        for (const domain_config& domain : config_.domains)
        {
            if (domain.out)
                domains_out_.insert(domain.id);
        }
        for (const exception_config& exception : config_.exceptions)
            overrides_[exception.target][exception.setting] = exception.value;
    }

    // Value that an exception for the target sets, or nothing.
    std::optional<std::uint32_t> override_of(const std::string& target,
                                             const std::string& setting) const
    {
        const auto found = overrides_.find(target);
        if (found == overrides_.end())
            return std::nullopt;
        const auto value = found->second.find(setting);
        return value == found->second.end() ? std::nullopt : std::optional(value->second);
    }

    // Value for a pool, or for one of its endpoints.
    std::uint32_t effective(const pool_config& pool, const std::string& endpoint,
                            const std::string& setting) const
    {
        if (const auto own = override_of("endpoint:" + endpoint, setting))
            return *own;
        return override_of("pool:" + pool.name, setting)
            .value_or(setting_of(config_.defaults, setting));
    }

    void check_pool(const pool_config& pool)
    {
        const std::string where = quoted("pool", pool.name);
        const auto use = uses_.find(pool.name);
        if (use == uses_.end())
            return report(finding_kind::unused_pool, where, "no stage and no service names it",
                          "name it in a pipeline or service, or remove it");
        if (pool.endpoints.empty())
            return report(finding_kind::empty_pool, where, "has no endpoints",
                          "add an endpoint; its requests are refused otherwise");
        const bool serves =
            std::any_of(pool.endpoints.begin(), pool.endpoints.end(),
                        [&](const endpoint_config& endpoint)
                        { return !endpoint.leaving && !domains_out_.contains(endpoint.domain); });
        if (!serves)
            report(finding_kind::pool_out_of_service, where,
                   "all its endpoints leave or are in failure domains that are out",
                   "keep an endpoint in service");
        check_limits(where, pool, {}, use->second);
        for (const endpoint_config& endpoint : pool.endpoints)
        {
            if (overrides_.contains("endpoint:" + endpoint.id))
                check_limits(quoted("endpoint", endpoint.id), pool, endpoint.id, use->second);
        }
    }

    void check_limits(const std::string& where, const pool_config& pool,
                      const std::string& endpoint, const pool_use& use)
    {
        const std::uint32_t cold = effective(pool, endpoint, "cold_limit");
        const std::uint32_t warm = effective(pool, endpoint, "warm_limit");
        if (cold > warm)
            report(finding_kind::cold_limit_over_warm, where,
                   "cold_limit " + std::to_string(cold) + " is above warm_limit " +
                       std::to_string(warm),
                   "lower cold_limit or raise warm_limit");
        const std::uint32_t timeout = effective(pool, endpoint, "stage_timeout_ms");
        if (use.by_stages && milliseconds(timeout) > use.shortest_deadline)
            report(finding_kind::timeout_over_deadline, where,
                   "stage_timeout_ms " + std::to_string(timeout) +
                       " is above the deadline of a pipeline, " + ms_text(use.shortest_deadline),
                   "a silent endpoint is then never left for another one; lower it");
    }

    void check_exception(const exception_config& exception)
    {
        const std::string where = quoted("exception", exception.id);
        const auto target = pools_by_target_.find(exception.target);
        if (target == pools_by_target_.end())
            return; // reported as invalid
        const pool_config& pool = *target->second;
        const auto use = uses_.find(pool.name);
        const bool is_of_pool = exception.target == "pool:" + pool.name;
        // The retries of a pool share one budget.
        const bool is_budget_of_endpoint = exception.setting == "retry_percent" && !is_of_pool;
        if (is_budget_of_endpoint ||
            (use != uses_.end() &&
             ((exception.setting == "stage_timeout_ms" && !use->second.by_stages) ||
              (exception.setting == "service_timeout_ms" && !use->second.by_services))))
            return report(finding_kind::exception_without_effect, where,
                          exception.setting + " is not used for " + exception.target,
                          "remove it, or name the setting that is meant");
        const std::uint32_t fleet_value = setting_of(config_.defaults, exception.setting);
        const std::uint32_t otherwise =
            is_of_pool ? fleet_value
                       : override_of("pool:" + pool.name, exception.setting).value_or(fleet_value);
        if (exception.value == otherwise)
            return report(finding_kind::exception_without_effect, where,
                          exception.setting + " " + std::to_string(exception.value) +
                              " holds for " + exception.target + " without it",
                          "remove it");
        const bool is_overridden =
            is_of_pool && !pool.endpoints.empty() &&
            std::all_of(
                pool.endpoints.begin(), pool.endpoints.end(),
                [&](const endpoint_config& endpoint)
                { return override_of("endpoint:" + endpoint.id, exception.setting).has_value(); });
        if (is_overridden)
            report(finding_kind::overridden_exception, where,
                   "each endpoint of " + exception.target + " has an exception of its own",
                   "remove it, or the exceptions of the endpoints");
    }

    const configuration& config_;
    std::map<std::string, pool_use> uses_; // by pool
    std::map<std::string, const pool_config*> pools_by_target_;
    std::map<std::string, std::map<std::string, std::uint32_t>> overrides_; // by target, setting
    std::set<std::string> used_domains_;
    std::set<std::string> domains_out_;
    std::vector<config_finding> findings_;
};

class serving_checker
{
public:
    explicit serving_checker(const serving_state& state) : state_(state) {}

    std::vector<config_finding> run()
    {
        for (std::size_t i = 0; i < state_.routes.size(); ++i)
            check_route(i);
        for (const auto& [name, service] : state_.services)
            check_service(service);
        for (const auto& [key, account] : state_.account_by_key)
            accounts_with_key_.insert(account);
        for (std::size_t i = 0; i < state_.accounts.size(); ++i)
            check_account(i);
        return std::move(findings_);
    }

private:
    void report(finding_kind kind, std::string where, std::string text, std::string hint)
    {
        findings_.push_back({kind, std::move(where), std::move(text), std::move(hint)});
    }

    void check_route(std::size_t index)
    {
        const route_spec& route = state_.routes[index];
        const std::string where = route.name.empty() ? "route number " + std::to_string(index + 1)
                                                     : quoted("route", route.name);
        if (route.name.empty() || route.host.empty())
            report(finding_kind::missing_name, where, "has no name or no host",
                   "requests are matched by host and prefix, and logged by name");
        check_match(route, where);
        check_services(route, where);
        check_times(route, check_stages(route, where), where);
    }

    void check_match(const route_spec& route, const std::string& where)
    {
        if (!route.prefix.empty() && !route.prefix.starts_with('/'))
            return report(finding_kind::unmatchable_prefix, where,
                          "the prefix '" + route.prefix + "' does not begin with a slash",
                          "begin it with a slash");
        if (!route.prefix.ends_with('/'))
            report(finding_kind::open_prefix, where,
                   "the prefix '" + route.prefix + "' also matches longer names",
                   "end it with a slash");
        const auto [first, added] = matched_.try_emplace({route.host, route.prefix}, route.name);
        if (!added)
            report(finding_kind::shadowed_route, where,
                   quoted("route", first->second) + " has the same host and prefix",
                   "remove one of them, or split by weight in one route");
    }

    void check_services(const route_spec& route, const std::string& where)
    {
        std::uint64_t weights = 0;
        for (const weighted_service& entry : route.services)
        {
            used_.insert(entry.service);
            weights += entry.weight;
            if (!state_.services.contains(entry.service))
                report(finding_kind::unknown_service, where,
                       quoted("service", entry.service) + " is not there", "add the service");
        }
        if (route.services.empty())
            report(finding_kind::unknown_service, where, "names no service", "name a service");
        else if (weights == 0)
            report(finding_kind::zero_weights, where, "the weights of its services sum to 0",
                   "give one of them a weight");
    }

    // Reports stages that can never start, and returns the others, each after its predecessors.
    std::vector<std::size_t> check_stages(const route_spec& route, const std::string& where)
    {
        std::vector<std::size_t> missing(route.stages.size()); // predecessors not ordered yet
        std::vector<std::vector<std::size_t>> followers(route.stages.size());
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < route.stages.size(); ++i)
        {
            const std::string at = where + " stage " + std::to_string(i);
            used_.insert(route.stages[i].service);
            check_stage_service(route.stages[i], at);
            missing[i] = route.stages[i].after.size();
            for (const std::uint32_t before : route.stages[i].after)
            {
                if (before < route.stages.size())
                    followers[before].push_back(i);
                else
                    report(finding_kind::unknown_predecessor, at,
                           "follows stage " + std::to_string(before) + ", which is not there",
                           "it is never started; name a stage of the route");
            }
            if (missing[i] == 0)
                order.push_back(i);
        }
        for (std::size_t done = 0; done < order.size(); ++done)
        {
            for (const std::size_t follower : followers[order[done]])
            {
                if (--missing[follower] == 0)
                    order.push_back(follower);
            }
        }
        const bool names_only_known =
            std::all_of(route.stages.begin(), route.stages.end(),
                        [&](const stage_spec& stage)
                        {
                            return std::all_of(stage.after.begin(), stage.after.end(),
                                               [&](std::uint32_t before)
                                               { return before < route.stages.size(); });
                        });
        if (names_only_known && order.size() < route.stages.size())
            report(finding_kind::unknown_predecessor, where, "stages follow each other in a circle",
                   "they are never started; name stages that come before");
        return order;
    }

    void check_stage_service(const stage_spec& stage, const std::string& where)
    {
        const service_spec* const service = find_service(state_, stage.service);
        if (service == nullptr)
            return report(finding_kind::unknown_service, where,
                          quoted("service", stage.service) + " is not there", "add the service");
        if (!service->batch)
            return report(finding_kind::unbatched_stage, where,
                          quoted("service", stage.service) + " does not run stages",
                          "give the service its call times, or name another one");
        const batch_spec& batch = *service->batch;
        const std::uint64_t call_bytes = stage.result_bytes * std::max(batch.batch, 1U);
        if (batch.result_memory_bytes > 0 && call_bytes > batch.result_memory_bytes)
            report(finding_kind::result_memory_under_call, where,
                   "the results of a full call take " + std::to_string(call_bytes) +
                       " bytes, an endpoint of " + quoted("service", stage.service) + " has " +
                       std::to_string(batch.result_memory_bytes),
                   "calls stay smaller than the batch allows; lower the batch or the result size");
    }

    // Compares the time of the stages, with a single piece each, to the limits of the route.
    // `order` holds the stages, each after its predecessors.
    void check_times(const route_spec& route, const std::vector<std::size_t>& order,
                     const std::string& where)
    {
        if (route.goal > route.timeout)
            report(finding_kind::goal_over_timeout, where,
                   "the response-time goal " + ms_text(route.goal) + " is over the timeout " +
                       ms_text(route.timeout),
                   "lower the goal or raise the timeout");
        std::vector<milliseconds> ends(route.stages.size(), milliseconds(0));
        milliseconds longest{0};
        for (const std::size_t index : order)
        {
            const stage_spec& stage = route.stages[index];
            for (const std::uint32_t before : stage.after)
                ends[index] = std::max(ends[index], ends[before]);
            const service_spec* const service = find_service(state_, stage.service);
            if (service != nullptr && service->batch)
                ends[index] += service->batch->call_time +
                               milliseconds(std::llround(service->batch->piece_time_ms));
            longest = std::max(longest, ends[index]);
        }
        if (longest.count() == 0)
            return;
        if (longest >= route.timeout)
            report(finding_kind::timeout_under_stages, where,
                   "its stages take " + ms_text(longest) + " at least, its timeout is " +
                       ms_text(route.timeout),
                   "raise the timeout; no request with all stages can be served");
        else if (route.goal.count() > 0 && longest >= route.goal)
            report(finding_kind::goal_under_stages, where,
                   "its stages take " + ms_text(longest) + " at least, its response-time goal is " +
                       ms_text(route.goal),
                   "raise the goal; requests with all stages always miss it");
    }

    void check_service(const service_spec& service)
    {
        if (service.name.empty())
            report(finding_kind::missing_name, "service", "has no name", "name the service");
        else if (!used_.contains(service.name))
            report(finding_kind::unused_service, quoted("service", service.name),
                   "no route and no stage names it", "remove it, or route requests to it");
    }

    void check_account(std::size_t index)
    {
        if (!accounts_with_key_.contains(index))
            report(finding_kind::account_without_key,
                   quoted("account", state_.accounts[index].name),
                   "has no key, or its keys belong to a later account too",
                   "give it a key of its own");
    }

    const serving_state& state_;
    std::map<std::pair<std::string, std::string>, std::string> matched_; // route by host and prefix
    std::set<std::string> used_;                                         // services
    std::set<std::size_t> accounts_with_key_;
    std::vector<config_finding> findings_;
};

} // namespace

std::string_view to_string(finding_severity value)
{
    return name_of(severity_names, value);
}

std::string_view to_string(finding_kind value)
{
    return kinds[static_cast<std::size_t>(value)].name;
}

finding_severity config_finding::severity() const
{
    return kinds[static_cast<std::size_t>(kind)].severity;
}

std::vector<config_finding> find_faults(const configuration& config)
{
    return configuration_checker(config).run();
}

std::vector<config_finding> find_faults(const serving_state& state)
{
    return serving_checker(state).run();
}

bool has_errors(const std::vector<config_finding>& findings)
{
    return std::any_of(findings.begin(), findings.end(),
                       [](const config_finding& finding)
                       { return finding.severity() == finding_severity::error; });
}

} // namespace zinnianotch
