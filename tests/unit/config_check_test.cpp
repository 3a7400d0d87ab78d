// Tests of the check of a configuration before it is sent: faults, differences, broken files.
#include "cli/arguments.h"
#include "cli/config_check.h"
#include "seeds.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <string>

using namespace zinnianotch;

namespace
{

constexpr const char* faulty_configuration = R"(
defaults: {cold_limit: 20, warm_limit: 16, stage_timeout_ms: 5000}
pipelines:
  - {name: p, team: t, deadline_ms: 4000, stages: [{name: s, kind: encoding, pool: a}]}
pools:
  - {name: a, endpoints: [{id: a1, domain: d, url: "http://127.0.0.1:1"}]}
  - {name: unused, endpoints: []}
  - {name: out, endpoints: [{id: o1, domain: gone, url: "http://127.0.0.1:2"}]}
services: [{name: v, pool: out, operations: []}, {name: w, pool: missing, operations: []}]
domains: [{id: d}, {id: empty}, {id: gone, out: true}]
exceptions:
  - {id: same, target: "pool:a", setting: retry_percent, value: 20, reason: r}
  - {id: unread, target: "pool:a", setting: service_timeout_ms, value: 90, reason: r}
  - {id: hidden, target: "pool:a", setting: warm_limit, value: 30, reason: r}
  - {id: own, target: "endpoint:a1", setting: warm_limit, value: 40, reason: r}
  - {id: pooled, target: "endpoint:a1", setting: retry_percent, value: 50, reason: r}
)";

constexpr const char* faulty_state = R"({"version":7,
"routes":[
 {"name":"first","host":"h","prefix":"/a/","kind":"idempotent","timeout_ms":300,"slo_ms":400,"service":"s",
  "stages":[{"service":"enc","after":[],"bytes":900000},{"service":"enc","after":[0],"bytes":1}]},
 {"name":"second","host":"h","prefix":"/a/","kind":"idempotent","timeout_ms":900,"service":"lost"},
 {"name":"third","host":"h","prefix":"b/","kind":"idempotent","timeout_ms":900,
  "backends":[{"service":"s","weight":0},{"service":"s","weight":0}]},
 {"name":"fourth","host":"h","prefix":"/c","kind":"idempotent","timeout_ms":900,"slo_ms":150,"service":"s",
  "stages":[{"service":"enc","after":[1]},{"service":"s","after":[0]},{"service":"enc","after":[9]},{"service":"enc","after":[]}]}],
"services":[{"name":"s"},{"name":"idle"},
 {"name":"enc","pieces":{"slots":1,"batch":8,"call_ms":200,"item_ms":5,"room_mb":2,"handle_s":4}}],
"tenants":[{"name":"keyless","api_keys":[]},{"name":"t","api_keys":["secret-1"]}]})";

constexpr const char* sound_state = R"({"version":7,
"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"streaming","timeout_ms":6000,"slo_ms":1900,
 "service":"s","stages":[{"service":"enc","after":[],"bytes":8000}]}],
"services":[{"name":"s","max_conns":10},
 {"name":"enc","pieces":{"slots":1,"batch":8,"call_ms":200,"item_ms":5,"room_mb":2,"handle_s":4}}],
"limits":{"max_body_bytes":4194304},"tenants":[{"name":"t","api_keys":["secret-1","secret-2"]}]})";

// Names of the findings with their entries, one a line, sorted.
std::string findings_of(const std::string& text)
{
    const config_file file = read_config_file(text);
    cr_assert(file.problems.empty(), "%s", file.problems.empty() ? "" : file.problems[0].c_str());
    std::vector<std::string> lines;
    for (const config_finding& finding : find_faults(file))
        lines.push_back(std::string(to_string(finding.kind)) + " " + finding.where + "\n");
    std::sort(lines.begin(), lines.end());
    std::string all;
    for (const std::string& line : lines)
        all += line;
    return all;
}

void expect_findings(const std::string& text, const std::string& expected)
{
    const std::string found = findings_of(text);
    cr_expect(found == expected, "found:\n%s", found.c_str());
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos, "%s", from.c_str());
    return text.replace(at, from.size(), to);
}

// A valid configuration of about a megabyte.
std::string large_configuration()
{
    std::string text = "pipelines:\n  - {name: p, team: t, deadline_ms: 4000, stages: [{name: s, "
                       "kind: encoding, pool: a}]}\ndomains: [{id: d}]\npools:\n  - name: a\n    "
                       "endpoints:\n";
    std::string exceptions = "exceptions:\n";
    for (int i = 0; text.size() + exceptions.size() < 1'000'000; ++i)
    {
        const std::string id = std::to_string(i);
        text.append("      - {id: e").append(id).append(", domain: d, url: \"http://127.0.0.1:");
        text.append(std::to_string(1 + i)).append("\"}\n");
        exceptions.append("  - {id: x").append(id).append(", target: \"endpoint:e").append(id);
        exceptions.append("\", setting: warm_limit, value: ").append(std::to_string(1 + i % 15));
        exceptions.append(", reason: r}\n");
    }
    return text + exceptions;
}

// Replaces, removes or repeats a few parts of the text.
std::string mutated(std::string text, testing::random_source& random)
{
    for (int change = 0; change < 4; ++change)
    {
        const std::size_t at = random.below(text.size());
        const std::size_t length = std::min<std::size_t>(random.below(12), text.size() - at);
        if (random.below(3) == 0)
            text.erase(at, length);
        else if (random.below(2) == 0)
            text.insert(at, text.substr(at, length));
        else
            text[at] = static_cast<char>(random.below(256));
    }
    return text;
}

} // namespace

// Guards against a check that stops at the first fault, or leaves faults to the server.
Test(config_check, configuration_with_faults_reports_each_of_them)
{
    expect_findings(faulty_configuration, "cold_limit_over_warm pool 'out'\n"
                                          "exception_without_effect exception 'pooled'\n"
                                          "exception_without_effect exception 'same'\n"
                                          "exception_without_effect exception 'unread'\n"
                                          "invalid_entry service 'w'\n"
                                          "overridden_exception exception 'hidden'\n"
                                          "pool_out_of_service pool 'out'\n"
                                          "timeout_over_deadline endpoint 'a1'\n"
                                          "timeout_over_deadline pool 'a'\n"
                                          "unused_domain domain 'empty'\n"
                                          "unused_pool pool 'unused'\n");
}

// Guards against a desired state whose routes cannot match, or whose stages cannot run, that is
// called sound.
Test(config_check, desired_state_with_faults_reports_each_of_them)
{
    expect_findings(faulty_state, "account_without_key account 'keyless'\n"
                                  "goal_over_timeout route 'first'\n"
                                  "goal_under_stages route 'fourth'\n"
                                  "open_prefix route 'fourth'\n"
                                  "result_memory_under_call route 'first' stage 0\n"
                                  "shadowed_route route 'second'\n"
                                  "timeout_under_stages route 'first'\n"
                                  "unbatched_stage route 'fourth' stage 1\n"
                                  "unknown_predecessor route 'fourth' stage 2\n"
                                  "unknown_service route 'second'\n"
                                  "unmatchable_prefix route 'third'\n"
                                  "unused_service service 'idle'\n"
                                  "zero_weights route 'third'\n");
}

// Guards against stages in a circle, which would never start, that go unnoticed.
Test(config_check, stages_in_a_circle_are_reported_once)
{
    const std::string state = replaced(
        sound_state, R"({"service":"enc","after":[],"bytes":8000})",
        R"({"service":"enc","after":[1],"bytes":8},{"service":"enc","after":[0],"bytes":8})");
    expect_findings(state, "unknown_predecessor route 'r'\n");
}

// Guards against findings on files that operators start from.
Test(config_check, examples_and_sound_state_report_nothing)
{
    for (const char* const path :
         {EXAMPLES_PATH "/quillmarsh.yaml", EXAMPLES_PATH "/kilimanjaro.yaml"})
        expect_findings(read_file(path).value(), "");
    expect_findings(sound_state, "");
}

// Guards against changes that are not shown, and against API keys in what operators read.
Test(config_check, desired_state_compared_shows_changes_without_keys)
{
    std::string after = replaced(sound_state, R"("timeout_ms":6000)", R"("timeout_ms":5000)");
    after = replaced(after, R"("batch":8)", R"("batch":9)");
    after = replaced(after, "secret-2", "secret-3");
    after = replaced(after, "4194304", "1024");
    const auto differences = compare(read_config_file(sound_state), read_config_file(after));
    cr_assert(differences.has_value());
    std::string all;
    for (const config_difference& difference : *differences)
        all += difference.text + "\n";
    cr_expect_str_eq(all.c_str(), "limits: body bytes 4194304 -> 1024\n"
                                  "routes: r timeout 6000 ms -> 5000 ms\n"
                                  "services: enc batch 8 -> 9\n"
                                  "accounts: t 1 keys added, 1 removed\n");
    cr_assert(!compare(read_config_file(sound_state), read_config_file("domains: []\n")));
}

// Guards against a broken file that ends the command or keeps the operator waiting.
Test(config_check, mutations_of_a_large_file_end_in_time)
{
    const std::string large = large_configuration();
    cr_assert(large.size() >= 1'000'000);
    testing::random_source random(1);
    std::clock_t longest = 0; // processor time, which other processes do not take
    for (int round = 0; round < 6; ++round)
    {
        const std::string text = round == 0 ? large : mutated(large, random);
        const std::clock_t began = std::clock();
        const std::size_t findings = find_faults(read_config_file(text)).size();
        (void)findings;
        longest = std::max(longest, std::clock() - began);
    }
    for (int round = 0; round < 2000; ++round)
    {
        (void)find_faults(read_config_file(mutated(faulty_state, random)));
        (void)find_faults(read_config_file(mutated(faulty_configuration, random)));
    }
    const auto ms = static_cast<long long>(longest) * 1000 / CLOCKS_PER_SEC;
    cr_log_info("longest check: %lld ms", ms);
    cr_expect(ms < 1000, "%lld ms", ms);
}
