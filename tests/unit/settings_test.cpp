// Settings files: all mistakes are reported together, each with its line, and no message contains
// an API key.
#include "daemon/settings.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace zinnianotch;

namespace
{

const std::string complete = R"(vm: vm-a1
failure_domain: dom-a
listen: {callers: "127.0.0.1:0", peers: "[::1]:7001"}
platform: {table: "http://127.0.0.1:7100", vm_list: "http://127.0.0.1:7101/"}
seeds: ["127.0.0.1:7001"]
keys:
  accounts: [{account: library-1, key: "secret-a"}]
  operators: [{name: night-shift, key: "secret-b", team: ""}]
limits: {max_connections: 10, workers: 2, queue_length: 3, header_bytes: 2048, body_bytes: 4096}
balancer_grace_ms: 100
log_level: warning
)";

const std::string minimal = R"(vm: vm-a1
failure_domain: dom-a
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {table: "http://127.0.0.1:7100"}
keys: {accounts: [], operators: []}
)";

// Criterion's macros do not take braces inside an argument.
bool is_address(const socket_address& address, std::string_view host, std::uint16_t port)
{
    return address.host == host && address.port == port;
}

std::vector<settings_problem> problems_of(const std::string& text)
{
    std::vector<settings_problem> problems;
    parse_settings(text, problems);
    return problems;
}

// The complete file with one line replaced; line 1 is the first.
std::string with_line(int line, const std::string& replacement)
{
    std::string text;
    std::size_t start = 0;
    for (int current = 1; start < complete.size(); ++current)
    {
        const std::size_t end = complete.find('\n', start);
        text += current == line ? replacement : complete.substr(start, end - start);
        text += '\n';
        start = end + 1;
    }
    return text;
}

// Asserts that the text has exactly one problem, at the given line, whose message contains `words`.
void expect_single_problem(const std::string& text, int line, const std::string& words)
{
    const std::vector<settings_problem> problems = problems_of(text);
    cr_assert(problems.size() == 1, "%zu problems, expected one with: %s", problems.size(),
              words.c_str());
    const std::string formatted = to_string(problems[0], "f");
    cr_assert(problems[0].line == line, "wrong line: %s", formatted.c_str());
    cr_assert(formatted.find(words) != std::string::npos, "%s", formatted.c_str());
}

} // namespace

// Guards against a setting that is accepted but ignored.
Test(settings, file_complete_sets_every_field)
{
    std::vector<settings_problem> problems;
    const settings read = parse_settings(complete, problems);
    cr_assert(problems.empty(), "%s", problems.empty() ? "" : problems[0].message.c_str());
    cr_assert(read.vm == "vm-a1" && read.failure_domain == "dom-a");
    cr_assert(is_address(read.listen_callers, "127.0.0.1", 0));
    cr_assert(is_address(read.listen_peers, "::1", 7001));
    cr_assert(read.table_url == "http://127.0.0.1:7100");
    cr_assert(read.vm_list_url == "http://127.0.0.1:7101");
    cr_assert(read.seeds.size() == 1 && is_address(read.seeds[0], "127.0.0.1", 7001));
    cr_assert(read.accounts.size() == 1 && read.accounts[0].account == "library-1");
    cr_assert(read.accounts[0].key == "secret-a");
    cr_assert(read.operators.size() == 1 && read.operators[0].name == "night-shift");
    cr_assert(read.operators[0].key == "secret-b" && read.operators[0].team.empty());
    cr_assert(read.limits.max_connections == 10 && read.limits.workers == 2);
    cr_assert(read.limits.queue_length == 3 && read.limits.header_bytes == 2048);
    cr_assert(read.limits.body_bytes == 4096);
    cr_assert(read.balancer_grace == milliseconds(100));
    cr_assert(read.min_log_level == log_level::warning);
}

// Guards against defaults that differ from the documented ones.
Test(settings, file_minimal_keeps_defaults)
{
    std::vector<settings_problem> problems;
    const settings read = parse_settings(minimal, problems);
    cr_assert(problems.empty());
    cr_assert(read.limits.max_connections == 4096 && read.limits.workers == 256);
    cr_assert(read.limits.queue_length == 256 && read.limits.header_bytes == 8192);
    cr_assert(read.limits.body_bytes == 1048576);
    cr_assert(read.balancer_grace == milliseconds(5000));
    cr_assert(read.stop_accept == milliseconds(10000));
    cr_assert(read.min_log_level == log_level::info);
    cr_assert(read.vm_list_url.empty() && read.seeds.empty());
}

// Guards against a mistyped optional key that silently keeps the default.
Test(settings, unknown_key_reports_nearest_key)
{
    expect_single_problem(with_line(10, "balancer_grace: 100"), 10,
                          "did you mean balancer_grace_ms?");
    expect_single_problem(with_line(9, "limits: {worker: 2}"), 9, "did you mean workers?");
    expect_single_problem(with_line(9, "zzzzzzzzzzzz: 2"), 9, "known here: limits");
    expect_single_problem(with_line(8, "  operators: [{name: n, key: k, tem: x}]"), 8,
                          "did you mean team?");
}

// Guards against a duplicate key, of which the parser would silently choose one value.
Test(settings, key_given_twice_reports_second_line)
{
    expect_single_problem(with_line(10, "vm: vm-a2"), 10, "vm is given twice");
}

// Guards against a unit being ignored, so that 5s is read as 5 ms.
Test(settings, number_with_unit_or_wrong_type_is_refused)
{
    expect_single_problem(with_line(10, "balancer_grace_ms: 5s"), 10, "without a unit");
    expect_single_problem(with_line(10, "balancer_grace_ms: 2.5"), 10, "not a plain number");
    expect_single_problem(with_line(10, "balancer_grace_ms: \"100\""), 10, "remove the quotes");
    expect_single_problem(with_line(10, "balancer_grace_ms: soon"), 10, "not a number");
    expect_single_problem(with_line(10, "balancer_grace_ms: [1]"), 10, "must be a single value");
    expect_single_problem(with_line(10, "balancer_grace_ms:"), 10, "has no value");
    expect_single_problem(with_line(9, "limits: 7"), 9, "limits must be a map");
    expect_single_problem(with_line(5, "seeds: 127.0.0.1:7001"), 5, "seeds must be a list");
    expect_single_problem(with_line(11, "log_level: warn"), 11, "did you mean warning?");
}

// Guards against limits that make the daemon unusable or exhaust the resources of the VM.
Test(settings, number_out_of_range_is_refused)
{
    expect_single_problem(with_line(9, "limits: {workers: 0}"), 9, "out of range");
    expect_single_problem(with_line(9, "limits: {workers: 4097}"), 9, "from 1 to 4096");
    expect_single_problem(with_line(10, "balancer_grace_ms: 60001"), 10, "out of range");
    expect_single_problem(with_line(10, "balancer_grace_ms: 99999999999999999999999"), 10,
                          "out of range");
    expect_single_problem(with_line(10, "balancer_grace_ms: -1"), 10, "not a number");
    expect_single_problem(with_line(10, "stop_accept_ms: 60001"), 10, "out of range");
}

// Guards against addresses that need name resolution or cannot be reached.
Test(settings, address_not_ip_and_port_is_refused)
{
    expect_single_problem(
        with_line(3, "listen: {callers: \"localhost:1\", peers: \"127.0.0.1:0\"}"), 3,
        "listen.callers: localhost:1 is not an address");
    expect_single_problem(with_line(5, "seeds: [\"127.0.0.1\"]"), 5, "seeds[0]");
    expect_single_problem(with_line(5, "seeds: [\"127.0.0.1:70000\"]"), 5, "seeds[0]");
    expect_single_problem(with_line(5, "seeds: [\"127.0.0.1:0\"]"), 5, "port 0 cannot be reached");
    expect_single_problem(with_line(4, "platform: {table: \"127.0.0.1:7100\"}"), 4,
                          "http://IP:PORT");
    expect_single_problem(with_line(4, "platform: {table: \"http://table:7100\"}"), 4,
                          "http://IP:PORT");
}

// Guards against two accounts with the same key, which cannot be distinguished, and against an
// account that gains an operator's permissions.
Test(settings, key_shared_by_two_holders_is_refused)
{
    expect_single_problem(
        with_line(7, "  accounts: [{account: a, key: same}, {account: b, key: same}]"), 7,
        "account b is also the key of account a on line 7");
    expect_single_problem(with_line(8, "  operators: [{name: n, key: secret-a}]"), 8,
                          "operator n is also the key of account library-1 on line 7");
    expect_single_problem(
        with_line(8, "  operators: [{name: n, key: a, team: x}, {name: n, key: b}]"), 8,
        "operator n is in two teams");
}

// Guards against keys being written to logs and terminals.
Test(settings, message_about_key_never_shows_it)
{
    for (const settings_problem& problem :
         problems_of(with_line(7, "  accounts: [{account: a, key: \"hidden word\"}, "
                                  "{account: b, key: secret-b}]")))
    {
        const std::string formatted = to_string(problem, "f");
        cr_assert(formatted.find("hidden") == std::string::npos, "%s", formatted.c_str());
        cr_assert(formatted.find("secret") == std::string::npos, "%s", formatted.c_str());
    }
}

// Guards against two listeners on one address, where the second one fails to bind after the first
// one is already accepting connections.
Test(settings, listeners_on_one_address_are_refused)
{
    expect_single_problem(
        with_line(3, "listen: {callers: \"127.0.0.1:9\", peers: \"127.0.0.1:9\"}"), 3,
        "same address");
}

// Guards against reporting one mistake at a time, which would cost operators a restart for each.
Test(settings, file_with_many_mistakes_reports_all_in_order)
{
    const std::vector<settings_problem> problems =
        problems_of("vm: \"a b\"\nlisten: {callers: x}\nplatform: {table: y}\nlog_level: z\n");
    std::string all;
    for (const settings_problem& problem : problems)
        all += to_string(problem, "f") + "\n";
    for (const char* words :
         {"vm is not a valid name", "failure_domain is missing", "listen.callers: x",
          "listen.peers is missing", "platform.table: y", "keys is missing", "unknown level z"})
        cr_assert(all.find(words) != std::string::npos, "%s not in %s", words, all.c_str());
    cr_assert(problems.size() == 7, "%s", all.c_str());
    cr_assert(std::is_sorted(problems.begin(), problems.end(),
                             [](const auto& a, const auto& b) { return a.line < b.line; }));
}

// Guards against a crash or silent use of defaults when the text is not YAML.
Test(settings, text_not_yaml_reports_line)
{
    expect_single_problem("vm: [\nlisten: }\n", 2, "not valid YAML");
    expect_single_problem("", 0, "empty");
    expect_single_problem("- a\n", 1, "must be a map");
}

// Guards against starting with defaults when the file is missing.
Test(settings, file_missing_or_wrong_fails_with_its_name)
{
    cr_assert(load_settings("/nonexistent/settings.yaml").has_error());
    char path[] = "/tmp/zinnianotch-settings-XXXXXX";
    const int descriptor = mkstemp(path);
    cr_assert(descriptor >= 0);
    close(descriptor);
    std::ofstream(path) << minimal << "sedes: []\n";
    const result<settings> wrong = load_settings(path);
    std::ofstream(path) << minimal;
    const result<settings> right = load_settings(path);
    std::remove(path);
    cr_assert(wrong.has_error() && wrong.error().why == reason::invalid_configuration);
    cr_assert(wrong.error().detail.find(std::string(path) + ":6: unknown key sedes") == 0, "%s",
              wrong.error().detail.c_str());
    cr_assert(right.has_value());
}

// Guards against mistakes in the serving section that are reported one at a time or not at all.
Test(settings, serving_section_all_mistakes_are_reported)
{
    std::vector<settings_problem> problems;
    const std::string text = "vm: vm-1\nfailure_domain: dom-a\n"
                             "listen: {callers: \"127.0.0.1:1\", peers: \"127.0.0.1:2\"}\n"
                             "platform: {table: \"http://127.0.0.1:3\"}\n"
                             "keys: {accounts: [], operators: []}\n"
                             "serving:\n"
                             "  readiness: nowhere\n"
                             "  store: \"127.0.0.1:3\"\n"
                             "  repeat_ratio: many\n"
                             "  cold_sack: 5\n";
    (void)parse_settings(text, problems);
    cr_assert(problems.size() == 3, "%zu problems", problems.size());
    cr_assert(problems[0].line == 7 && problems[1].line == 9 && problems[2].line == 10);
}

// Guards against nan, which no comparison with the limits of a range rejects.
Test(settings, serving_section_nan_is_reported)
{
    std::vector<settings_problem> problems;
    (void)parse_settings("vm: vm-1\nfailure_domain: dom-a\n"
                         "listen: {callers: \"127.0.0.1:1\", peers: \"127.0.0.1:2\"}\n"
                         "platform: {table: \"http://127.0.0.1:3\"}\n"
                         "keys: {accounts: [], operators: []}\n"
                         "serving: {readiness: \"127.0.0.1:4\", store: \"127.0.0.1:3\", "
                         "repeat_ratio: nan, repeat_window_s: nan}\n",
                         problems);
    cr_assert(problems.size() == 2, "%zu problems", problems.size());
}

// Guards against rejecting or truncating fractions, which the platform writes.
Test(settings, serving_section_fractions_are_kept)
{
    std::vector<settings_problem> problems;
    const std::string text = "vm: vm-1\nfailure_domain: dom-a\n"
                             "listen: {callers: \"127.0.0.1:1\", peers: \"127.0.0.1:2\"}\n"
                             "platform: {table: \"http://127.0.0.1:3\"}\n"
                             "keys: {accounts: [], operators: []}\n"
                             "serving: {readiness: \"127.0.0.1:4\", store: \"127.0.0.1:3\", "
                             "repeat_ratio: 0.25, repeat_window_s: 7.6, cold_over: 1.5, "
                             "repeat_slack: 33.1578947368421, cold_slack: 4.5}\n";
    const settings parsed = parse_settings(text, problems);
    cr_assert(problems.empty() && parsed.serving.has_value());
    cr_assert(parsed.serving->repeat_window == milliseconds(7600));
    cr_assert_float_eq(parsed.serving->repeat_ratio, 0.25, 1e-9);
    cr_assert_float_eq(parsed.serving->repeat_slack, 33.1578947368421, 1e-9);
    cr_assert_float_eq(parsed.serving->cold_slack, 4.5, 1e-9);
}

// Guards against roll-outs without their bounds, or with bounds that were not asked for.
Test(settings, rollouts_only_with_all_their_bounds)
{
    const auto parse = [](const std::string& rollouts, std::vector<settings_problem>& problems)
    {
        return parse_settings("vm: vm-1\nfailure_domain: dom-a\n"
                              "listen: {callers: \"127.0.0.1:1\", peers: \"127.0.0.1:2\"}\n"
                              "platform: {table: \"http://127.0.0.1:3\"}\n"
                              "keys: {accounts: [], operators: []}\n"
                              "serving:\n"
                              "  readiness: \"127.0.0.1:4\"\n"
                              "  store: \"127.0.0.1:3\"\n" +
                                  rollouts,
                              problems);
    };
    std::vector<settings_problem> problems;
    cr_assert_not(parse("", problems).serving->rollouts.has_value());
    const settings full = parse(
        "  rollouts: {exposure_share: 0.05, exposure_slack: 50, roll_back_ms: 4000}\n", problems);
    cr_assert(problems.empty() && full.serving->rollouts.has_value());
    cr_assert_float_eq(full.serving->rollouts->exposure_share, 0.05, 1e-9);
    cr_assert_float_eq(full.serving->rollouts->exposure_slack, 50.0, 1e-9);
    cr_assert(full.serving->rollouts->roll_back == milliseconds(4000));
    (void)parse("  rollouts: {exposure_share: 1.5, exposure_slack: -1, roll_back_ms: nan}\n",
                problems);
    cr_assert(problems.size() == 3, "%zu problems", problems.size());
    problems.clear();
    (void)parse("  rollouts: {exposure_share: 0.1, roll_back_ms: 5000}\n", problems);
    cr_assert(problems.size() == 1, "%zu problems", problems.size());
}

// Guards against a memory limit that is ignored, and against a bound where none is given.
Test(settings, memory_limit_is_read_and_optional)
{
    const auto parse = [](const std::string& line, std::vector<settings_problem>& problems)
    {
        return parse_settings(minimal +
                                  "serving:\n  readiness: \"127.0.0.1:4\"\n"
                                  "  store: \"127.0.0.1:3\"\n" +
                                  line,
                              problems);
    };
    std::vector<settings_problem> problems;
    cr_assert_float_eq(parse("", problems).serving->memory_mb, 0.0, 1e-9);
    cr_assert_float_eq(parse("  memory_mb: 120\n", problems).serving->memory_mb, 120.0, 1e-9);
    cr_assert(problems.empty());
    (void)parse("  memory_mb: 120MB\n", problems);
    cr_assert_eq(problems.size(), 1);
}
