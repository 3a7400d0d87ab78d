// Unit tests of the configuration: lookups, exceptions and validation.
#include "state/configuration.h"

#include <criterion/criterion.h>

#include <functional>

using namespace zinnianotch;

namespace
{

configuration valid_configuration()
{
    configuration config;
    config.domains = {{"d1", false}, {"d2", true}};
    config.pools = {{"encoders", {{"enc-1", "d1", "http://10.0.0.1:8001", false}}},
                    {"engines",
                     {{"eng-1", "d1", "http://10.0.0.2:8001", false},
                      {"eng-2", "d2", "http://[fd00::2]:8001", true}}},
                    {"orders", {{"ord-1", "d1", "http://10.0.0.3:65535", false}}}};
    config.pipelines = {{"draft",
                         "design",
                         milliseconds(5000),
                         {{"encode", stage_kind::encoding, "encoders", 0},
                          {"write", stage_kind::generation, "engines", 64}}}};
    config.services = {{"studio", "orders", {{"place", false}, {"status", true}}}};
    config.accounts = {{"kilimanjaro", "design", 1}};
    config.exceptions = {
        {"x1", "pool:engines", "warm_limit", 8, "engines run out of memory above 8", "amina"},
        {"x2", "endpoint:eng-1", "warm_limit", 4, "half of the memory is broken", "amina"}};
    return config;
}

bool any_contains(const std::vector<std::string>& problems, const std::string& text)
{
    for (const std::string& problem : problems)
        if (problem.find(text) != std::string::npos)
            return true;
    return false;
}

// Applies one change to the valid configuration and expects exactly one problem, which contains
// `text`.
void expect_problem(const std::string& text, const std::function<void(configuration&)>& change)
{
    configuration config = valid_configuration();
    change(config);
    const std::vector<std::string> problems = validate(config);
    cr_expect(problems.size() == 1, "%zu problems instead of one '%s'", problems.size(),
              text.c_str());
    cr_expect(any_contains(problems, text), "no problem mentions '%s' but '%s'", text.c_str(),
              problems.empty() ? "" : problems.front().c_str());
}

} // namespace

// Guards against a validation that rejects a valid document.
Test(configuration, validate_valid_document_finds_nothing)
{
    const std::vector<std::string> problems = validate(valid_configuration());
    cr_assert(problems.empty(), "%s", problems.empty() ? "" : problems.front().c_str());
    cr_assert(validate(configuration{}).empty());
}

// Guards against lookups that return the wrong entry, or do not find an existing one.
Test(configuration, find_known_names_returns_entries)
{
    const configuration config = valid_configuration();
    cr_assert(find_pipeline(config, "draft") == &config.pipelines[0]);
    cr_assert(find_pool(config, "engines") == &config.pools[1]);
    cr_assert(find_service(config, "studio") == &config.services[0]);
    cr_assert(find_operation(config.services[0], "status") == &config.services[0].operations[1]);
    cr_assert(find_account(config, "kilimanjaro") == &config.accounts[0]);
    cr_assert(find_endpoint(config, "eng-2") == &config.pools[1].endpoints[1]);
    cr_assert(find_pipeline(config, "Draft") == nullptr && find_pool(config, "") == nullptr);
    cr_assert(find_service(config, "s") == nullptr && find_account(config, "a") == nullptr);
    cr_assert(find_operation(config.services[0], "x") == nullptr);
    cr_assert(find_endpoint(config, "engines") == nullptr);
}

// Guards against sending work to a failure domain that is out of service.
Test(configuration, is_domain_out_follows_state)
{
    const configuration config = valid_configuration();
    cr_assert(!is_domain_out(config, "d1"));
    cr_assert(is_domain_out(config, "d2"));
    cr_assert(!is_domain_out(config, "d3"));
}

// Guards against an exception for a pool that overrides one for its endpoint, in either order of
// the list.
Test(configuration, effective_limits_endpoint_overrides_pool)
{
    configuration config = valid_configuration();
    for (int i = 0; i < 2; ++i)
    {
        cr_assert(effective_limits(config, "engines", "eng-1").warm_limit == 4);
        cr_assert(effective_limits(config, "engines", "eng-2").warm_limit == 8);
        cr_assert(effective_limits(config, "encoders", "enc-1").warm_limit == 16);
        cr_assert(effective_limits(config, "engines", "eng-1").cold_limit == 2);
        std::swap(config.exceptions[0], config.exceptions[1]);
    }
}

// Guards against a setting that an exception cannot override, or whose exception overrides another
// setting.
Test(configuration, effective_limits_every_setting_applies)
{
    configuration config = valid_configuration();
    config.exceptions.clear();
    for (const char* setting :
         {"cold_limit", "warm_limit", "retry_percent", "stage_timeout_ms", "service_timeout_ms"})
        config.exceptions.push_back({setting, "pool:engines", setting,
                                     static_cast<std::uint32_t>(50 + config.exceptions.size()), "r",
                                     "a"});
    cr_assert(validate(config).empty());
    const defaults_config limits = effective_limits(config, "engines", "eng-1");
    cr_assert(limits.cold_limit == 50 && limits.warm_limit == 51 && limits.retry_percent == 52);
    cr_assert(limits.stage_timeout_ms == 53 && limits.service_timeout_ms == 54);
}

// Guards against names that are not valid in row keys, URLs or log lines.
Test(configuration, validate_invalid_names_are_reported)
{
    expect_problem("the name is empty", [](auto& config) { config.accounts[0].name = ""; });
    for (const char* name : {"a b", "a/b", "caf\xC3\xA9", "a\n", "a\"b"})
        expect_problem("1 to 64 letters", [&](auto& config) { config.accounts[0].name = name; });
    expect_problem("1 to 64 letters",
                   [](auto& config) { config.accounts[0].name = std::string(65, 'a'); });
    expect_problem("1 to 64 letters", [](auto& config) { config.accounts[0].team = "a:b"; });
    expect_problem("the name is empty", [](auto& config) { config.pipelines[0].team = ""; });
    expect_problem("1 to 64 letters",
                   [](auto& config) { config.pipelines[0].stages[0].name = "a b"; });
    expect_problem("the name is empty",
                   [](auto& config) { config.services[0].operations[0].name = ""; });

    configuration config = valid_configuration();
    config.accounts[0].name = std::string(64, 'a');
    config.accounts[0].team = "aZ09-_.";
    cr_assert(validate(config).empty());
}

// Guards against entries with the same name, of which a lookup would find only the first.
Test(configuration, validate_duplicates_are_reported)
{
    const auto repeat_first = [](auto& entries) { entries.push_back(entries.front()); };
    expect_problem("duplicate name", [&](auto& config) { repeat_first(config.domains); });
    expect_problem("duplicate name", [&](auto& config) { repeat_first(config.pipelines); });
    expect_problem("duplicate name", [&](auto& config) { repeat_first(config.services); });
    expect_problem("duplicate name", [&](auto& config) { repeat_first(config.accounts); });
    expect_problem("duplicate name",
                   [&](auto& config) { repeat_first(config.services[0].operations); });
    expect_problem("duplicate name",
                   [&](auto& config) { config.pipelines[0].stages[1].name = "encode"; });
    expect_problem("duplicate name",
                   [&](auto& config) {
                       config.pools.push_back({"engines", {}});
                   });
    expect_problem("duplicate name",
                   [](auto& config)
                   {
                       config.pools[1].endpoints[0].id = config.pools[0].endpoints[0].id;
                       config.exceptions.pop_back();
                   });
    expect_problem("duplicate URL", [](auto& config)
                   { config.pools[1].endpoints[0].url = config.pools[0].endpoints[0].url; });
    expect_problem("duplicate override",
                   [](auto& config)
                   {
                       config.exceptions.push_back(config.exceptions[0]);
                       config.exceptions[2].id = "x3";
                   });
    expect_problem("duplicate name", [](auto& config) { config.exceptions[1].id = "x1"; });
}

// Guards against invalid references that are detected only when a request uses them.
Test(configuration, validate_unknown_references_are_reported)
{
    expect_problem("unknown pool 'x'",
                   [](auto& config) { config.pipelines[0].stages[0].pool = "x"; });
    expect_problem("unknown pool 'x'", [](auto& config) { config.services[0].pool = "x"; });
    expect_problem("unknown domain 'x'",
                   [](auto& config) { config.pools[0].endpoints[0].domain = "x"; });
    expect_problem("unknown pool in target",
                   [](auto& config) { config.exceptions[0].target = "pool:x"; });
    expect_problem("unknown endpoint in target",
                   [](auto& config) { config.exceptions[0].target = "endpoint:x"; });
    expect_problem("pool:NAME or endpoint:ID",
                   [](auto& config) { config.exceptions[0].target = "engines"; });
    expect_problem("unknown setting", [](auto& config) { config.exceptions[0].setting = "speed"; });
}

// Guards against URLs that require name resolution or contain a path, which the client code does
// not support.
Test(configuration, validate_invalid_urls_are_reported)
{
    for (const char* url :
         {"", "10.0.0.1:80", "https://10.0.0.1:80", "http://10.0.0.1",
          "http://10.0.0.1:", "http://10.0.0.1:0", "http://10.0.0.1:65536", "http://10.0.0.1:80/",
          "http://host:80", "http://10.0.0:80", "http://10.0.0.256:80", "http://fd00::2:80",
          "http://:80", "http://10.0.0.1:+80", "http://10.0.0.1:80 "})
        expect_problem("http://IP:PORT",
                       [&](auto& config) { config.pools[0].endpoints[0].url = url; });
}

// Guards against exceptions whose purpose cannot be traced later.
Test(configuration, validate_exceptions_without_reason_or_author_are_reported)
{
    expect_problem("the reason is missing", [](auto& config) { config.exceptions[0].reason = ""; });
    expect_problem("the reason is missing",
                   [](auto& config) { config.exceptions[0].reason = " \t\n"; });
    expect_problem("the author is missing", [](auto& config) { config.exceptions[0].author = ""; });
}

// Guards against limits of zero, which stop all work, and values mistyped by a factor of ten.
Test(configuration, validate_values_out_of_range_are_reported)
{
    for (const std::uint32_t value : {0U, 10001U})
    {
        expect_problem("cold_limit", [&](auto& config) { config.defaults.cold_limit = value; });
        expect_problem("warm_limit", [&](auto& config) { config.defaults.warm_limit = value; });
        expect_problem("warm_limit", [&](auto& config) { config.exceptions[0].value = value; });
        expect_problem("max_tokens",
                       [&](auto& config) { config.pipelines[0].stages[1].max_tokens = value; });
    }
    expect_problem("retry_percent", [](auto& config) { config.defaults.retry_percent = 101; });
    for (const std::uint32_t value : {9U, 600'001U})
    {
        expect_problem("stage_timeout_ms",
                       [&](auto& config) { config.defaults.stage_timeout_ms = value; });
        expect_problem("service_timeout_ms",
                       [&](auto& config) { config.defaults.service_timeout_ms = value; });
    }
    for (const int value : {-1, 9, 60'001})
        expect_problem("deadline",
                       [&](auto& config) { config.pipelines[0].deadline = milliseconds(value); });

    configuration config = valid_configuration();
    config.defaults = {1, 10000, 0, 10, 600'000};
    config.pipelines[0].deadline = milliseconds(10);
    cr_assert(validate(config).empty());
    config.defaults = {10000, 1, 100, 600'000, 10};
    config.pipelines[0].deadline = milliseconds(60'000);
    cr_assert(validate(config).empty());
}

// Guards against pipelines that cannot be executed.
Test(configuration, validate_invalid_pipelines_are_reported)
{
    expect_problem("1 to 8 stages", [](auto& config) { config.pipelines[0].stages.clear(); });
    expect_problem("1 to 8 stages",
                   [](auto& config)
                   {
                       auto& stages = config.pipelines[0].stages;
                       stages.pop_back();
                       while (stages.size() < 9)
                           stages.push_back({"s" + std::to_string(stages.size()),
                                             stage_kind::retrieval, "encoders", 0});
                   });
    expect_problem("generation must be the last stage", [](auto& config)
                   { std::swap(config.pipelines[0].stages[0], config.pipelines[0].stages[1]); });
}

// Guards against a validation that reports only the first problem.
Test(configuration, validate_several_problems_are_all_reported)
{
    configuration config = valid_configuration();
    config.defaults.cold_limit = 0;
    config.exceptions[0].reason = "";
    config.services[0].pool = "x";
    cr_assert(validate(config).size() == 3);
}

// Guards against a stage kind without a name, or two with the same name.
Test(configuration, stage_kind_every_value_has_unique_name)
{
    for (int i = 0; i < 4; ++i)
    {
        const auto value = static_cast<stage_kind>(i);
        stage_kind parsed{};
        cr_assert(from_string(to_string(value), parsed) && parsed == value);
    }
    stage_kind parsed{};
    cr_assert(!from_string("encode", parsed));
}
