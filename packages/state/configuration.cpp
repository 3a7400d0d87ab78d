#include "state/configuration.h"

#include "state/enum_names.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/address_v6.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 4> stage_kind_names = {"encoding", "retrieval", "reranking",
                                                              "generation"};

constexpr std::size_t name_max_length = 64;
constexpr std::size_t pipeline_max_stages = 8;
constexpr std::uint32_t limit_max = 10000;
constexpr std::uint32_t timeout_min_ms = 10;
constexpr std::uint32_t timeout_max_ms = 600'000;
constexpr milliseconds deadline_min{10};
constexpr milliseconds deadline_max{60'000};

constexpr std::string_view pool_prefix = "pool:";
constexpr std::string_view endpoint_prefix = "endpoint:";
constexpr std::string_view url_prefix = "http://";

// A field of defaults_config, the setting name by which exceptions refer to it, and its valid
// range.
struct setting_entry
{
    std::string_view name;
    std::uint32_t defaults_config::*field;
    std::uint32_t lowest;
    std::uint32_t highest;
};

constexpr std::array<setting_entry, 5> setting_table = {{
    {"cold_limit", &defaults_config::cold_limit, 1, limit_max},
    {"warm_limit", &defaults_config::warm_limit, 1, limit_max},
    {"retry_percent", &defaults_config::retry_percent, 0, 100},
    {"stage_timeout_ms", &defaults_config::stage_timeout_ms, timeout_min_ms, timeout_max_ms},
    {"service_timeout_ms", &defaults_config::service_timeout_ms, timeout_min_ms, timeout_max_ms},
}};

const setting_entry* find_setting(std::string_view name)
{
    for (const setting_entry& entry : setting_table)
        if (entry.name == name)
            return &entry;
    return nullptr;
}

// Returns the first entry whose member `key` equals `name`, or null.
template <typename Entry>
const Entry* find_by(const std::vector<Entry>& entries, std::string Entry::*key,
                     std::string_view name)
{
    for (const Entry& entry : entries)
        if (entry.*key == name)
            return &entry;
    return nullptr;
}

// Applies the exceptions whose target is `prefix` followed by `name`.
void apply_exceptions(const configuration& config, std::string_view prefix, std::string_view name,
                      defaults_config& limits)
{
    for (const exception_config& exception : config.exceptions)
    {
        const std::string_view target = exception.target;
        if (!target.starts_with(prefix) || target.substr(prefix.size()) != name)
            continue;
        if (const setting_entry* setting = find_setting(exception.setting))
            limits.*(setting->field) = exception.value;
    }
}

// Names appear in row keys, URLs and log lines, so they must not contain separators or spaces.
bool is_valid_name(std::string_view name)
{
    if (name.empty() || name.size() > name_max_length)
        return false;
    return std::all_of(name.begin(), name.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
                       });
}

bool is_blank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

// Accepts http://IP:PORT with an IPv4 address or a bracketed IPv6 address, and nothing after it.
bool is_valid_url(std::string_view url)
{
    if (!url.starts_with(url_prefix))
        return false;
    url.remove_prefix(url_prefix.size());
    const std::size_t colon = url.rfind(':');
    if (colon == std::string_view::npos)
        return false;

    const std::string_view port_text = url.substr(colon + 1);
    std::uint32_t port = 0;
    const char* const end = port_text.data() + port_text.size();
    const auto [parsed, error] = std::from_chars(port_text.data(), end, port);
    if (error != std::errc{} || parsed != end || port == 0 || port > 65535)
        return false;

    std::string_view host = url.substr(0, colon);
    boost::system::error_code failed;
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
        boost::asio::ip::make_address_v6(std::string(host), failed);
        return !failed;
    }
    boost::asio::ip::make_address_v4(std::string(host), failed);
    return !failed;
}

// Collects the problems of one configuration.
class validator
{
public:
    explicit validator(const configuration& config) : config_(config) {}

    std::vector<std::string> run()
    {
        check_defaults();
        check_domains();
        check_pools();
        check_pipelines();
        check_services();
        check_accounts();
        check_exceptions();
        return std::move(problems_);
    }

private:
    void report(const std::string& where, const std::string& what)
    {
        problems_.push_back(where + ": " + what);
    }

    void check_name(const std::string& where, const std::string& name)
    {
        if (name.empty())
            report(where, "the name is empty");
        else if (!is_valid_name(name))
            report(where, "the name must be 1 to 64 letters, digits, '-', '_' or '.'");
    }

    // Checks the name of an entry and that it is unique within its scope.
    void check_unique_name(const std::string& where, const std::string& name,
                           std::set<std::string>& seen)
    {
        check_name(where, name);
        if (!seen.insert(name).second)
            report(where, "duplicate name");
    }

    template <typename Number>
    void check_range(const std::string& where, std::string_view field, Number value, Number lowest,
                     Number highest)
    {
        if (value < lowest || value > highest)
            report(where, std::string(field) + " " + std::to_string(value) + " is not between " +
                              std::to_string(lowest) + " and " + std::to_string(highest));
    }

    void check_setting(const std::string& where, const setting_entry& setting, std::uint32_t value)
    {
        check_range(where, setting.name, value, setting.lowest, setting.highest);
    }

    void check_pool_reference(const std::string& where, const std::string& pool)
    {
        if (find_pool(config_, pool) == nullptr)
            report(where, "unknown pool '" + pool + "'");
    }

    void check_defaults()
    {
        for (const setting_entry& setting : setting_table)
            check_setting("defaults", setting, config_.defaults.*(setting.field));
    }

    void check_domains()
    {
        std::set<std::string> seen;
        for (const domain_config& domain : config_.domains)
            check_unique_name("domain '" + domain.id + "'", domain.id, seen);
    }

    // Endpoint ids and URLs must be unique across all pools. Two ids for the same process would
    // each get a separate cold limit.
    void check_pools()
    {
        std::set<std::string> pools;
        std::set<std::string> ids;
        std::set<std::string> urls;
        for (const pool_config& pool : config_.pools)
        {
            check_unique_name("pool '" + pool.name + "'", pool.name, pools);
            for (const endpoint_config& endpoint : pool.endpoints)
            {
                const std::string where = "endpoint '" + endpoint.id + "'";
                check_unique_name(where, endpoint.id, ids);
                if (find_by(config_.domains, &domain_config::id, endpoint.domain) == nullptr)
                    report(where, "unknown domain '" + endpoint.domain + "'");
                if (!is_valid_url(endpoint.url))
                    report(where, "the URL must have the form http://IP:PORT");
                else if (!urls.insert(endpoint.url).second)
                    report(where, "duplicate URL " + endpoint.url);
            }
        }
    }

    void check_pipelines()
    {
        std::set<std::string> seen;
        for (const pipeline_config& pipeline : config_.pipelines)
        {
            const std::string where = "pipeline '" + pipeline.name + "'";
            check_unique_name(where, pipeline.name, seen);
            check_name(where + " team", pipeline.team);
            check_range(where, "deadline", pipeline.deadline.count(), deadline_min.count(),
                        deadline_max.count());
            if (pipeline.stages.empty() || pipeline.stages.size() > pipeline_max_stages)
                report(where, "must have 1 to 8 stages");
            check_stages(where, pipeline.stages);
        }
    }

    void check_stages(const std::string& pipeline, const std::vector<stage_config>& stages)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < stages.size(); ++i)
        {
            const stage_config& stage = stages[i];
            const std::string where = pipeline + " stage '" + stage.name + "'";
            check_unique_name(where, stage.name, seen);
            check_pool_reference(where, stage.pool);
            if (stage.kind != stage_kind::generation)
                continue;
            check_range(where, "max_tokens", stage.max_tokens, 1U, limit_max);
            if (i + 1 != stages.size())
                report(where, "generation must be the last stage");
        }
    }

    void check_services()
    {
        std::set<std::string> seen;
        for (const service_config& service : config_.services)
        {
            const std::string where = "service '" + service.name + "'";
            check_unique_name(where, service.name, seen);
            check_pool_reference(where, service.pool);
            std::set<std::string> operations;
            for (const operation_config& operation : service.operations)
                check_unique_name(where + " operation '" + operation.name + "'", operation.name,
                                  operations);
        }
    }

    void check_accounts()
    {
        std::set<std::string> seen;
        for (const account_config& account : config_.accounts)
        {
            const std::string where = "account '" + account.name + "'";
            check_unique_name(where, account.name, seen);
            check_name(where + " team", account.team);
        }
    }

    // Two exceptions for the same setting and target are an error: the result would depend on their
    // order.
    void check_exceptions()
    {
        std::set<std::string> seen;
        std::set<std::pair<std::string, std::string>> overrides;
        for (const exception_config& exception : config_.exceptions)
        {
            const std::string where = "exception '" + exception.id + "'";
            check_unique_name(where, exception.id, seen);
            check_target(where, exception.target);
            if (const setting_entry* setting = find_setting(exception.setting))
                check_setting(where, *setting, exception.value);
            else
                report(where, "unknown setting '" + exception.setting + "'");
            if (!overrides.emplace(exception.target, exception.setting).second)
                report(where,
                       "duplicate override of " + exception.setting + " for " + exception.target);
            if (is_blank(exception.reason))
                report(where, "the reason is missing");
            if (is_blank(exception.author))
                report(where, "the author is missing");
        }
    }

    void check_target(const std::string& where, const std::string& text)
    {
        const std::string_view target = text;
        if (target.starts_with(pool_prefix))
        {
            if (find_pool(config_, target.substr(pool_prefix.size())) == nullptr)
                report(where, "unknown pool in target '" + text + "'");
        }
        else if (target.starts_with(endpoint_prefix))
        {
            if (find_endpoint(config_, target.substr(endpoint_prefix.size())) == nullptr)
                report(where, "unknown endpoint in target '" + text + "'");
        }
        else
            report(where, "the target must be pool:NAME or endpoint:ID");
    }

    const configuration& config_;
    std::vector<std::string> problems_;
};

} // namespace

std::string_view to_string(stage_kind value)
{
    return name_of(stage_kind_names, value);
}

bool from_string(std::string_view name, stage_kind& out)
{
    return value_of(stage_kind_names, name, out);
}

const pipeline_config* find_pipeline(const configuration& config, std::string_view name)
{
    return find_by(config.pipelines, &pipeline_config::name, name);
}

const pool_config* find_pool(const configuration& config, std::string_view name)
{
    return find_by(config.pools, &pool_config::name, name);
}

const service_config* find_service(const configuration& config, std::string_view name)
{
    return find_by(config.services, &service_config::name, name);
}

const operation_config* find_operation(const service_config& service, std::string_view name)
{
    return find_by(service.operations, &operation_config::name, name);
}

const account_config* find_account(const configuration& config, std::string_view name)
{
    return find_by(config.accounts, &account_config::name, name);
}

const endpoint_config* find_endpoint(const configuration& config, std::string_view id)
{
    for (const pool_config& pool : config.pools)
        if (const endpoint_config* endpoint = find_by(pool.endpoints, &endpoint_config::id, id))
            return endpoint;
    return nullptr;
}

bool is_domain_out(const configuration& config, std::string_view domain)
{
    const domain_config* entry = find_by(config.domains, &domain_config::id, domain);
    return entry != nullptr && entry->out;
}

defaults_config effective_limits(const configuration& config, std::string_view pool,
                                 std::string_view endpoint)
{
    defaults_config limits = config.defaults;
    apply_exceptions(config, pool_prefix, pool, limits);
    apply_exceptions(config, endpoint_prefix, endpoint, limits);
    return limits;
}

std::vector<std::string> validate(const configuration& config)
{
    return validator(config).run();
}

} // namespace zinnianotch
