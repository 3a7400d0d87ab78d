#include "daemon/settings.h"

#include <yaml-cpp/yaml.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <initializer_list>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace zinnianotch
{

namespace
{

// Largest edit distance at which a known name is suggested. A name further away is more likely a
// different word than a typing error.
constexpr std::size_t max_hint_distance = 3;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_api_key_length = 256;

// A key that a YAML map may or must have.
struct key_rule
{
    std::string_view name;
    bool required = true;
};

struct integer_range
{
    std::uint32_t min;
    std::uint32_t max;
    std::string_view unit;
};

struct decimal_range
{
    double min;
    double max;
};

constexpr decimal_range ratio_range{0.0, 10.0};
constexpr decimal_range duration_range{0.1, 3600.0};         // seconds
constexpr decimal_range processor_share_range{0.01, 1024.0}; // cores
constexpr decimal_range memory_range{16.0, 1048576.0};       // MiB
constexpr decimal_range link_speed_range{0.1, 1000000.0};    // Mbit/s
constexpr decimal_range cold_over_range{0.0, 100.0};
constexpr decimal_range slack_range{0.0, 1000000.0}; // requests
constexpr decimal_range share_range{0.0, 1.0};
constexpr decimal_range roll_back_range{100.0, 600000.0}; // milliseconds
constexpr integer_range connections_range{1, 65536, "connections"};
constexpr integer_range workers_range{1, 4096, "threads"};
constexpr integer_range queue_length_range{1, 65536, "requests"};
// The headers named in docs/api.md do not fit into less than 1 KiB.
constexpr integer_range header_bytes_range{1024, 65536, "bytes"};
constexpr integer_range body_bytes_range{1024, 64 * 1024 * 1024, "bytes"};
// A planned stop waits at most 60 s for requests in flight; each of its earlier phases is shorter.
constexpr integer_range grace_range{0, 60000, "milliseconds"};

// Levenshtein distance of two names.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

// Suggests the known name closest to the unknown one, or lists all known names when none is close.
std::string name_hint(std::string_view unknown, const std::vector<std::string_view>& known)
{
    std::string_view best;
    std::size_t best_distance = max_hint_distance + 1;
    std::string all;
    for (const std::string_view name : known)
    {
        all += all.empty() ? "" : ", ";
        all += name;
        const std::size_t distance = edit_distance(unknown, name);
        if (distance < best_distance)
        {
            best = name;
            best_distance = distance;
        }
    }
    if (!best.empty() && best_distance < std::max(unknown.size(), best.size()))
        return "did you mean " + std::string(best) + "?";
    return "known here: " + all;
}

// Names of VMs, failure domains, accounts and operators become parts of table keys and log lines,
// so they have a restricted character set.
bool is_valid_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_length)
        return false;
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
                       });
}

// An API key is sent in an HTTP header, so it consists of visible ASCII characters without spaces.
bool is_valid_api_key(std::string_view text)
{
    if (text.empty() || text.size() > max_api_key_length)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

int line_of(const YAML::Node& node)
{
    return node.Mark().line + 1;
}

// Reads the settings from a YAML tree and collects all problems instead of stopping at the first.
class settings_reader
{
public:
    explicit settings_reader(std::vector<settings_problem>& problems) : problems_(problems) {}

    settings read(const YAML::Node& root);

private:
    void add_problem(int line, std::string message, std::string hint = {})
    {
        problems_.push_back({line, std::move(message), std::move(hint)});
    }

    bool check_map(const YAML::Node& node, const std::string& path, int line,
                   std::initializer_list<key_rule> rules);
    std::optional<YAML::Node> child(const YAML::Node& map, const std::string& path,
                                    std::string_view key);
    std::optional<std::string> scalar(const YAML::Node& map, const std::string& path,
                                      std::string_view key);
    std::vector<YAML::Node> sequence(const YAML::Node& map, const std::string& path,
                                     std::string_view key);

    void read_name(const YAML::Node& map, const std::string& path, std::string_view key,
                   std::string& out);
    void read_number(const YAML::Node& map, const std::string& path, std::string_view key,
                     const integer_range& range, std::uint32_t& out);
    void read_address(const std::string& text, const std::string& where, int line, bool needs_port,
                      socket_address& out);
    void read_listen_address(const YAML::Node& map, std::string_view key, socket_address& out);
    void read_url(const YAML::Node& map, std::string_view key, std::string& out);
    void read_api_key(const YAML::Node& map, const std::string& path, const std::string& holder,
                      std::string& out);

    void read_platform(const YAML::Node& root, settings& out);
    void read_seeds(const YAML::Node& root, settings& out);
    void read_keys_section(const YAML::Node& root, settings& out);
    void read_limits(const YAML::Node& root, settings& out);
    void read_decimal(const YAML::Node& map, const std::string& path, std::string_view key,
                      const decimal_range& range, double& out);
    void read_serving(const YAML::Node& root, settings& out);
    void read_rollouts(const YAML::Node& serving, serving_settings& out);
    template <typename Enum>
    void read_enum(const YAML::Node& root, std::string_view key, std::string_view value_kind,
                   const std::vector<std::string_view>& names, Enum& out);

    std::vector<settings_problem>& problems_;
    std::map<std::string, std::pair<std::string, int>> api_key_holders_; // by key: holder and line
};

// Value of a key. Unlike YAML::Node's operator[], never creates an entry.
std::optional<YAML::Node> find(const YAML::Node& map, std::string_view key)
{
    for (const auto& entry : map)
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return entry.second;
    return std::nullopt;
}

// Line of a key, or of the map when it lacks the key.
int line_of_key(const YAML::Node& map, std::string_view key)
{
    for (const auto& entry : map)
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return line_of(entry.first);
    return line_of(map);
}

std::string key_path(const std::string& path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

// Adds a problem for each missing, unknown or repeated key. False only when the node is not a map.
bool settings_reader::check_map(const YAML::Node& node, const std::string& path, int line,
                                std::initializer_list<key_rule> rules)
{
    const std::string where = path.empty() ? "the file" : path;
    if (!node.IsMap())
    {
        add_problem(line, where + " must be a map of keys and values");
        return false;
    }
    std::set<std::string> seen;
    for (const auto& entry : node)
    {
        if (!entry.first.IsScalar())
        {
            add_problem(line_of(entry.first), "a key in " + where + " must be a single value");
            continue;
        }
        const std::string& name = entry.first.Scalar();
        if (!seen.insert(name).second)
            add_problem(line_of(entry.first), key_path(path, name) + " is given twice");
        const bool known = std::any_of(rules.begin(), rules.end(),
                                       [&](const key_rule& rule) { return rule.name == name; });
        if (known)
            continue;
        std::vector<std::string_view> names;
        for (const key_rule& rule : rules)
            if (!find(node, rule.name))
                names.push_back(rule.name);
        if (names.empty())
            add_problem(line_of(entry.first), "unknown key " + key_path(path, name));
        else
            add_problem(line_of(entry.first), "unknown key " + key_path(path, name),
                        name_hint(name, names));
    }
    for (const key_rule& rule : rules)
        if (rule.required && !seen.contains(std::string(rule.name)))
            add_problem(line, key_path(path, rule.name) + " is missing");
    return true;
}

// Value of a key; nullopt when the key is absent, or has no value, which adds a problem.
std::optional<YAML::Node> settings_reader::child(const YAML::Node& map, const std::string& path,
                                                 std::string_view key)
{
    std::optional<YAML::Node> node = find(map, key);
    if (node && node->IsNull())
    {
        add_problem(line_of_key(map, key), key_path(path, key) + " has no value");
        return std::nullopt;
    }
    return node;
}

std::optional<std::string> settings_reader::scalar(const YAML::Node& map, const std::string& path,
                                                   std::string_view key)
{
    const std::optional<YAML::Node> node = child(map, path, key);
    if (!node)
        return std::nullopt;
    if (!node->IsScalar())
    {
        add_problem(line_of_key(map, key), key_path(path, key) + " must be a single value");
        return std::nullopt;
    }
    return node->Scalar();
}

std::vector<YAML::Node> settings_reader::sequence(const YAML::Node& map, const std::string& path,
                                                  std::string_view key)
{
    std::vector<YAML::Node> items;
    const std::optional<YAML::Node> node = child(map, path, key);
    if (!node)
        return items;
    if (!node->IsSequence())
    {
        add_problem(line_of_key(map, key), key_path(path, key) + " must be a list");
        return items;
    }
    for (const auto& item : *node)
        items.push_back(item);
    return items;
}

void settings_reader::read_name(const YAML::Node& map, const std::string& path,
                                std::string_view key, std::string& out)
{
    const std::optional<std::string> text = scalar(map, path, key);
    if (!text)
        return;
    if (!is_valid_name(*text))
        add_problem(line_of_key(map, key), key_path(path, key) + " is not a valid name",
                    "1 to 64 letters, digits, dots, underscores and hyphens");
    out = *text;
}

void settings_reader::read_number(const YAML::Node& map, const std::string& path,
                                  std::string_view key, const integer_range& range,
                                  std::uint32_t& out)
{
    const std::optional<std::string> text = scalar(map, path, key);
    if (!text)
        return;
    const std::string where = key_path(path, key);
    const std::string expected = "a whole number of " + std::string(range.unit) + " from " +
                                 std::to_string(range.min) + " to " + std::to_string(range.max);
    // yaml-cpp marks a quoted scalar with the tag "!".
    if (find(map, key)->Tag() == "!")
    {
        add_problem(line_of_key(map, key), where + " must be a number, not a string",
                    "remove the quotes");
        return;
    }
    std::uint64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    const bool has_digits = stop != text->data();
    if (error == std::errc{} && stop == end && value >= range.min && value <= range.max)
    {
        out = static_cast<std::uint32_t>(value);
        return;
    }
    if (error == std::errc{} && has_digits && stop != end)
        add_problem(line_of_key(map, key), where + ": " + *text + " is not a plain number",
                    "write " + expected + ", without a unit");
    else if (error == std::errc{} || error == std::errc::result_out_of_range)
        add_problem(line_of_key(map, key), where + ": " + *text + " is out of range",
                    "write " + expected);
    else
        add_problem(line_of_key(map, key), where + ": " + *text + " is not a number",
                    "write " + expected);
}

void settings_reader::read_address(const std::string& text, const std::string& where, int line,
                                   bool needs_port, socket_address& out)
{
    if (!from_string(text, out))
        add_problem(line, where + ": " + text + " is not an address of the form IP:PORT",
                    "for example 127.0.0.1:7001; host names are not resolved");
    else if (needs_port && out.port == 0)
        add_problem(line, where + ": port 0 cannot be reached",
                    "write the port that the other VM listens on");
}

void settings_reader::read_listen_address(const YAML::Node& map, std::string_view key,
                                          socket_address& out)
{
    if (const std::optional<std::string> text = scalar(map, "listen", key))
        read_address(*text, key_path("listen", key), line_of_key(map, key), false, out);
}

void settings_reader::read_url(const YAML::Node& map, std::string_view key, std::string& out)
{
    static constexpr std::string_view scheme = "http://";
    const std::optional<std::string> text = scalar(map, "platform", key);
    if (!text)
        return;
    socket_address address;
    std::string_view rest = *text;
    const bool has_scheme = rest.starts_with(scheme);
    if (has_scheme)
        rest.remove_prefix(scheme.size());
    if (rest.ends_with('/'))
        rest.remove_suffix(1);
    if (!has_scheme || !from_string(rest, address) || address.port == 0)
    {
        add_problem(line_of_key(map, key),
                    key_path("platform", key) + ": " + *text +
                        " is not an address of the form http://IP:PORT",
                    "for example http://127.0.0.1:7100");
        return;
    }
    out = std::string(scheme) + to_string(address);
}

// Reads an API key; adds a problem when it is also the key of another holder. Messages never
// contain the key.
void settings_reader::read_api_key(const YAML::Node& map, const std::string& path,
                                   const std::string& holder, std::string& out)
{
    const std::optional<std::string> text = scalar(map, path, "key");
    if (!text)
        return;
    const int line = line_of_key(map, "key");
    if (!is_valid_api_key(*text))
    {
        add_problem(line, key_path(path, "key") + " is not a valid API key",
                    "1 to 256 visible ASCII characters without spaces");
        return;
    }
    const auto [entry, added] = api_key_holders_.emplace(*text, std::pair(holder, line));
    if (!added)
        add_problem(line,
                    key_path(path, "key") + " of " + holder + " is also the key of " +
                        entry->second.first + " on line " + std::to_string(entry->second.second),
                    "give each account and each operator a key of its own");
    out = *text;
}

void settings_reader::read_platform(const YAML::Node& root, settings& out)
{
    const std::optional<YAML::Node> platform = child(root, "", "platform");
    if (!platform || !check_map(*platform, "platform", line_of_key(root, "platform"),
                                {{"table"}, {"vm_list", false}}))
        return;
    read_url(*platform, "table", out.table_url);
    read_url(*platform, "vm_list", out.vm_list_url);
}

void settings_reader::read_seeds(const YAML::Node& root, settings& out)
{
    std::size_t index = 0;
    for (const YAML::Node& item : sequence(root, "", "seeds"))
    {
        const std::string where = "seeds[" + std::to_string(index++) + "]";
        if (!item.IsScalar())
        {
            add_problem(line_of(item), where + " must be a single value");
            continue;
        }
        socket_address address;
        read_address(item.Scalar(), where, line_of(item), true, address);
        out.seeds.push_back(std::move(address));
    }
}

void settings_reader::read_keys_section(const YAML::Node& root, settings& out)
{
    const std::optional<YAML::Node> keys = child(root, "", "keys");
    if (!keys ||
        !check_map(*keys, "keys", line_of_key(root, "keys"), {{"accounts"}, {"operators"}}))
        return;
    std::size_t index = 0;
    for (const YAML::Node& item : sequence(*keys, "keys", "accounts"))
    {
        const std::string path = "keys.accounts[" + std::to_string(index++) + "]";
        if (!check_map(item, path, line_of(item), {{"account"}, {"key"}}))
            continue;
        account_key entry;
        read_name(item, path, "account", entry.account);
        read_api_key(item, path, "account " + entry.account, entry.key);
        out.accounts.push_back(std::move(entry));
    }
    index = 0;
    std::map<std::string, std::string> teams; // by operator
    for (const YAML::Node& item : sequence(*keys, "keys", "operators"))
    {
        const std::string path = "keys.operators[" + std::to_string(index++) + "]";
        if (!check_map(item, path, line_of(item), {{"name"}, {"key"}, {"team", false}}))
            continue;
        operator_key entry;
        read_name(item, path, "name", entry.name);
        read_api_key(item, path, "operator " + entry.name, entry.key);
        const std::optional<std::string> team = scalar(item, path, "team");
        if (team && !team->empty())
            read_name(item, path, "team", entry.team);
        // Changes are recorded under the name of the operator, so all keys of one name must have
        // the same rights.
        const auto [known, added] = teams.emplace(entry.name, entry.team);
        if (!added && known->second != entry.team)
            add_problem(line_of(item), path + ": operator " + entry.name + " is in two teams",
                        "use two operator names");
        out.operators.push_back(std::move(entry));
    }
}

void settings_reader::read_limits(const YAML::Node& root, settings& out)
{
    const std::optional<YAML::Node> limits = child(root, "", "limits");
    if (!limits || !check_map(*limits, "limits", line_of_key(root, "limits"),
                              {{"max_connections", false},
                               {"workers", false},
                               {"queue_length", false},
                               {"header_bytes", false},
                               {"body_bytes", false}}))
        return;
    read_number(*limits, "limits", "max_connections", connections_range,
                out.limits.max_connections);
    read_number(*limits, "limits", "workers", workers_range, out.limits.workers);
    read_number(*limits, "limits", "queue_length", queue_length_range, out.limits.queue_length);
    read_number(*limits, "limits", "header_bytes", header_bytes_range, out.limits.header_bytes);
    read_number(*limits, "limits", "body_bytes", body_bytes_range, out.limits.body_bytes);
}

void settings_reader::read_decimal(const YAML::Node& map, const std::string& path,
                                   std::string_view key, const decimal_range& range, double& out)
{
    const std::optional<std::string> text = scalar(map, path, key);
    if (!text)
        return;
    double value = 0.0;
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc{} || stop != end ||
        !(value >= range.min && value <= range.max)) // nan is in no range
    {
        std::ostringstream expected;
        expected << "write a number from " << range.min << " to " << range.max;
        add_problem(line_of_key(map, key), key_path(path, key) + ": " + *text + " is not valid",
                    expected.str());
        return;
    }
    out = value;
}

void settings_reader::read_serving(const YAML::Node& root, settings& out)
{
    const std::optional<YAML::Node> node = child(root, "", "serving");
    if (!node || !check_map(*node, "serving", line_of_key(root, "serving"),
                            {{"readiness"},
                             {"metrics", false},
                             {"store"},
                             {"repeat_ratio", false},
                             {"repeat_slack", false},
                             {"repeat_window_s", false},
                             {"cold_over", false},
                             {"cold_slack", false},
                             {"stop_grace_s", false},
                             {"processor_share", false},
                             {"link_mbps", false},
                             {"memory_mb", false},
                             {"rollouts", false}}))
        return;
    serving_settings serving;
    const auto read_serving_address = [&](std::string_view key, bool needs_port, socket_address& to)
    {
        if (const std::optional<std::string> text = scalar(*node, "serving", key))
            read_address(*text, key_path("serving", key), line_of_key(*node, key), needs_port, to);
    };
    read_serving_address("readiness", false, serving.listen_readiness);
    read_serving_address("store", true, serving.store);
    if (find(*node, "metrics"))
    {
        serving.listen_metrics.emplace();
        read_serving_address("metrics", false, *serving.listen_metrics);
    }
    read_decimal(*node, "serving", "repeat_ratio", ratio_range, serving.repeat_ratio);
    read_decimal(*node, "serving", "repeat_slack", slack_range, serving.repeat_slack);
    double window_s = std::chrono::duration<double>(serving.repeat_window).count();
    read_decimal(*node, "serving", "repeat_window_s", duration_range, window_s);
    serving.repeat_window = milliseconds(static_cast<std::int64_t>(window_s * 1000.0));
    read_decimal(*node, "serving", "cold_over", cold_over_range, serving.cold_over);
    read_decimal(*node, "serving", "cold_slack", slack_range, serving.cold_slack);
    read_decimal(*node, "serving", "processor_share", processor_share_range,
                 serving.processor_share);
    read_decimal(*node, "serving", "link_mbps", link_speed_range, serving.link_mbps);
    read_decimal(*node, "serving", "memory_mb", memory_range, serving.memory_mb);
    double stop_grace_s = std::chrono::duration<double>(serving.stop_grace).count();
    read_decimal(*node, "serving", "stop_grace_s", duration_range, stop_grace_s);
    serving.stop_grace = milliseconds(static_cast<std::int64_t>(stop_grace_s * 1000.0));
    read_rollouts(*node, serving);
    out.serving = serving;
}

void settings_reader::read_rollouts(const YAML::Node& serving, serving_settings& out)
{
    const std::string path = "serving.rollouts";
    const std::optional<YAML::Node> node = child(serving, "serving", "rollouts");
    if (!node || !check_map(*node, path, line_of_key(serving, "rollouts"),
                            {{"exposure_share"}, {"exposure_slack"}, {"roll_back_ms"}}))
        return;
    rollout_limits limits;
    read_decimal(*node, path, "exposure_share", share_range, limits.exposure_share);
    read_decimal(*node, path, "exposure_slack", slack_range, limits.exposure_slack);
    auto roll_back_ms = static_cast<double>(limits.roll_back.count());
    read_decimal(*node, path, "roll_back_ms", roll_back_range, roll_back_ms);
    limits.roll_back = milliseconds(static_cast<std::int64_t>(roll_back_ms));
    out.rollouts = limits;
}

template <typename Enum>
void settings_reader::read_enum(const YAML::Node& root, std::string_view key,
                                std::string_view value_kind,
                                const std::vector<std::string_view>& names, Enum& out)
{
    const std::optional<std::string> text = scalar(root, "", key);
    if (text && !from_string(*text, out))
        add_problem(line_of_key(root, key),
                    std::string(key) + ": unknown " + std::string(value_kind) + " " + *text,
                    name_hint(*text, names));
}

settings settings_reader::read(const YAML::Node& root)
{
    settings out;
    if (!check_map(root, "", 1,
                   {{"vm"},
                    {"failure_domain"},
                    {"listen"},
                    {"platform"},
                    {"seeds", false},
                    {"keys"},
                    {"limits", false},
                    {"balancer_grace_ms", false},
                    {"stop_accept_ms", false},
                    {"log_level", false},
                    {"routing", false},
                    {"serving", false}}))
        return out;
    read_name(root, "", "vm", out.vm);
    read_name(root, "", "failure_domain", out.failure_domain);
    const std::optional<YAML::Node> listen = child(root, "", "listen");
    if (listen &&
        check_map(*listen, "listen", line_of_key(root, "listen"), {{"callers"}, {"peers"}}))
    {
        read_listen_address(*listen, "callers", out.listen_callers);
        read_listen_address(*listen, "peers", out.listen_peers);
        if (out.listen_callers.port != 0 && out.listen_callers == out.listen_peers)
            add_problem(line_of_key(*listen, "peers"),
                        "listen.callers and listen.peers are the same address", "use two ports");
    }
    read_platform(root, out);
    read_seeds(root, out);
    read_keys_section(root, out);
    read_limits(root, out);
    read_serving(root, out);
    std::uint32_t grace_ms = static_cast<std::uint32_t>(out.balancer_grace.count());
    read_number(root, "", "balancer_grace_ms", grace_range, grace_ms);
    out.balancer_grace = milliseconds(grace_ms);
    std::uint32_t accept_ms = static_cast<std::uint32_t>(out.stop_accept.count());
    read_number(root, "", "stop_accept_ms", grace_range, accept_ms);
    out.stop_accept = milliseconds(accept_ms);
    read_enum(root, "log_level", "level", {"debug", "info", "warning", "error"}, out.min_log_level);
    read_enum(root, "routing", "policy", {"least_load", "round_robin", "least_reported_load"},
              out.routing);
    return out;
}

} // namespace

std::string to_string(const socket_address& value)
{
    const bool is_v6 = value.host.find(':') != std::string::npos;
    return (is_v6 ? "[" + value.host + "]" : value.host) + ":" + std::to_string(value.port);
}

bool from_string(std::string_view text, socket_address& out)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const std::string host_text(host);
    in6_addr parsed{};
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, host_text.c_str(), &parsed) != 1)
        return false;
    std::uint16_t number = 0;
    const auto [stop, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (port.empty() || error != std::errc{} || stop != port.data() + port.size())
        return false;
    out = {host_text, number};
    return true;
}

settings parse_settings(const std::string& text, std::vector<settings_problem>& problems)
{
    settings out;
    const std::size_t first_added = problems.size();
    try
    {
        const YAML::Node root = YAML::Load(text);
        if (root.IsNull())
            problems.push_back({0, "the file is empty", "start from examples/settings.yaml"});
        else
            out = settings_reader(problems).read(root);
    }
    catch (const YAML::Exception& error)
    {
        problems.push_back({error.mark.line + 1, "not valid YAML: " + error.msg, {}});
    }
    std::stable_sort(problems.begin() + static_cast<std::ptrdiff_t>(first_added), problems.end(),
                     [](const settings_problem& a, const settings_problem& b)
                     { return a.line < b.line; });
    return out;
}

std::string to_string(const settings_problem& problem, std::string_view file)
{
    std::string text(file);
    if (problem.line > 0)
        text += ":" + std::to_string(problem.line);
    text += ": " + problem.message;
    if (!problem.hint.empty())
        text += " (" + problem.hint + ")";
    return text;
}

result<settings> load_settings(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return not_run(reason::invalid_configuration, path + ": cannot be read or is empty");
    std::vector<settings_problem> problems;
    settings out = parse_settings(text.str(), problems);
    if (problems.empty())
        return out;
    std::string detail;
    for (const settings_problem& problem : problems)
        detail += (detail.empty() ? "" : "\n") + to_string(problem, path);
    return not_run(reason::invalid_configuration, std::move(detail));
}

} // namespace zinnianotch
