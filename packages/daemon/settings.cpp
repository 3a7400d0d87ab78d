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

// A name further away than this is more likely another word than a typing mistake.
constexpr std::size_t max_hint_distance = 3;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_key_length = 256;

struct key_rule
{
    std::string_view name;
    bool required = true;
};

struct number_rule
{
    std::uint32_t least;
    std::uint32_t most;
    std::string_view unit;
};

struct decimal_rule
{
    double least;
    double most;
};

constexpr decimal_rule ratio_rule{0.0, 10.0};
constexpr decimal_rule window_rule{0.1, 3600.0};     // seconds
constexpr decimal_rule processor_rule{0.01, 1024.0}; // cores
constexpr decimal_rule link_rule{0.1, 1000000.0};    // Mbit/s
constexpr decimal_rule over_rule{0.0, 100.0};
constexpr number_rule slack_rule{0, 1000000, "requests"};
constexpr number_rule connections_rule{1, 65536, "connections"};
constexpr number_rule workers_rule{1, 4096, "threads"};
constexpr number_rule queue_rule{1, 65536, "requests"};
// A smaller header block than 1 KiB cannot hold the headers that docs/api.md names.
constexpr number_rule header_rule{1024, 65536, "bytes"};
constexpr number_rule body_rule{1024, 64 * 1024 * 1024, "bytes"};
// A planned stop takes at most 60 s for requests in flight; a longer grace would double it.
constexpr number_rule grace_rule{0, 60000, "milliseconds"};

// Number of single-character edits between two names.
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

// Hint with the known name closest to the unknown one, or the list of names when none is close.
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

// Names of VMs, domains, accounts and operators become parts of table keys and log lines.
bool is_name(std::string_view text)
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

// A key travels in an HTTP header: visible ASCII without spaces.
bool is_key(std::string_view text)
{
    if (text.empty() || text.size() > max_key_length)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

int line_of(const YAML::Node& node)
{
    return node.Mark().line + 1;
}

// Walks the YAML tree and collects all problems instead of stopping at the first.
class settings_reader
{
public:
    explicit settings_reader(std::vector<settings_problem>& problems) : problems_(problems) {}

    settings read(const YAML::Node& root);

private:
    void add(int line, std::string message, std::string hint = {})
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
                     const number_rule& rule, std::uint32_t& out);
    void read_address(const std::string& text, const std::string& where, int line, bool needs_port,
                      socket_address& out);
    void read_listen(const YAML::Node& map, std::string_view key, socket_address& out);
    void read_url(const YAML::Node& map, std::string_view key, std::string& out);
    void read_key(const YAML::Node& map, const std::string& path, const std::string& holder,
                  std::string& out);

    void read_platform(const YAML::Node& root, settings& out);
    void read_seeds(const YAML::Node& root, settings& out);
    void read_keys(const YAML::Node& root, settings& out);
    void read_limits(const YAML::Node& root, settings& out);
    void read_decimal(const YAML::Node& map, const std::string& path, std::string_view key,
                      const decimal_rule& rule, double& out);
    void read_serving(const YAML::Node& root, settings& out);
    template <typename Enum>
    void read_enum(const YAML::Node& root, std::string_view key, std::string_view noun,
                   const std::vector<std::string_view>& names, Enum& out);

    std::vector<settings_problem>& problems_;
    std::map<std::string, std::pair<std::string, int>> key_holders_; // key: holder and line
};

// Finds the value of a key without creating it, which YAML::Node's operator[] may do.
std::optional<YAML::Node> find(const YAML::Node& map, std::string_view key)
{
    for (const auto& entry : map)
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return entry.second;
    return std::nullopt;
}

int line_of_key(const YAML::Node& map, std::string_view key)
{
    for (const auto& entry : map)
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return line_of(entry.first);
    return line_of(map);
}

std::string joined(const std::string& path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

// Checks that the node is a map that has the required keys, no unknown key and none twice.
bool settings_reader::check_map(const YAML::Node& node, const std::string& path, int line,
                                std::initializer_list<key_rule> rules)
{
    const std::string where = path.empty() ? "the file" : path;
    if (!node.IsMap())
    {
        add(line, where + " must be a map of keys and values");
        return false;
    }
    std::set<std::string> seen;
    for (const auto& entry : node)
    {
        if (!entry.first.IsScalar())
        {
            add(line_of(entry.first), "a key in " + where + " is not a plain word");
            continue;
        }
        const std::string& name = entry.first.Scalar();
        if (!seen.insert(name).second)
            add(line_of(entry.first), joined(path, name) + " is given twice");
        const bool known = std::any_of(rules.begin(), rules.end(),
                                       [&](const key_rule& rule) { return rule.name == name; });
        if (known)
            continue;
        std::vector<std::string_view> names;
        for (const key_rule& rule : rules)
            if (!find(node, rule.name))
                names.push_back(rule.name);
        if (names.empty())
            add(line_of(entry.first), "unknown key " + joined(path, name));
        else
            add(line_of(entry.first), "unknown key " + joined(path, name), name_hint(name, names));
    }
    for (const key_rule& rule : rules)
        if (rule.required && !seen.contains(std::string(rule.name)))
            add(line, joined(path, rule.name) + " is missing");
    return true;
}

// Value of a key; none when it is absent or, after a problem was added, when it is empty.
std::optional<YAML::Node> settings_reader::child(const YAML::Node& map, const std::string& path,
                                                 std::string_view key)
{
    std::optional<YAML::Node> node = find(map, key);
    if (node && node->IsNull())
    {
        add(line_of_key(map, key), joined(path, key) + " has no value");
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
        add(line_of_key(map, key), joined(path, key) + " must be a single value");
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
        add(line_of_key(map, key), joined(path, key) + " must be a list");
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
    if (!is_name(*text))
        add(line_of_key(map, key), joined(path, key) + " is not a valid name",
            "1 to 64 letters, digits, dots, underscores and hyphens");
    out = *text;
}

void settings_reader::read_number(const YAML::Node& map, const std::string& path,
                                  std::string_view key, const number_rule& rule, std::uint32_t& out)
{
    const std::optional<std::string> text = scalar(map, path, key);
    if (!text)
        return;
    const std::string where = joined(path, key);
    const std::string wanted = "a whole number of " + std::string(rule.unit) + " from " +
                               std::to_string(rule.least) + " to " + std::to_string(rule.most);
    // yaml-cpp marks a quoted scalar with the tag "!".
    if (find(map, key)->Tag() == "!")
    {
        add(line_of_key(map, key), where + " must be a number, not a text", "remove the quotes");
        return;
    }
    std::uint64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    const bool has_digits = stop != text->data();
    if (error == std::errc{} && stop == end && value >= rule.least && value <= rule.most)
    {
        out = static_cast<std::uint32_t>(value);
        return;
    }
    if (error == std::errc{} && has_digits && stop != end)
        add(line_of_key(map, key), where + ": " + *text + " is not a plain number",
            "write " + wanted + ", without a unit");
    else if (error == std::errc{} || error == std::errc::result_out_of_range)
        add(line_of_key(map, key), where + ": " + *text + " is out of range", "write " + wanted);
    else
        add(line_of_key(map, key), where + ": " + *text + " is not a number", "write " + wanted);
}

void settings_reader::read_address(const std::string& text, const std::string& where, int line,
                                   bool needs_port, socket_address& out)
{
    if (!from_string(text, out))
        add(line, where + ": " + text + " is not an address of the form IP:PORT",
            "for example 127.0.0.1:7001; host names are not resolved");
    else if (needs_port && out.port == 0)
        add(line, where + ": port 0 cannot be reached",
            "write the port that the other VM listens on");
}

void settings_reader::read_listen(const YAML::Node& map, std::string_view key, socket_address& out)
{
    if (const std::optional<std::string> text = scalar(map, "listen", key))
        read_address(*text, joined("listen", key), line_of_key(map, key), false, out);
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
        add(line_of_key(map, key),
            joined("platform", key) + ": " + *text +
                " is not an address of the form http://IP:PORT",
            "for example http://127.0.0.1:7100");
        return;
    }
    out = std::string(scheme) + to_string(address);
}

// Reads a key and reports one that also belongs to another holder. Messages never show the key.
void settings_reader::read_key(const YAML::Node& map, const std::string& path,
                               const std::string& holder, std::string& out)
{
    const std::optional<std::string> text = scalar(map, path, "key");
    if (!text)
        return;
    const int line = line_of_key(map, "key");
    if (!is_key(*text))
    {
        add(line, joined(path, "key") + " is not a valid key",
            "1 to 256 visible ASCII characters without spaces");
        return;
    }
    const auto [entry, added] = key_holders_.emplace(*text, std::pair(holder, line));
    if (!added)
        add(line,
            joined(path, "key") + " of " + holder + " is also the key of " + entry->second.first +
                " on line " + std::to_string(entry->second.second),
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
            add(line_of(item), where + " must be a single value");
            continue;
        }
        socket_address address;
        read_address(item.Scalar(), where, line_of(item), true, address);
        out.seeds.push_back(std::move(address));
    }
}

void settings_reader::read_keys(const YAML::Node& root, settings& out)
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
        read_key(item, path, "account " + entry.account, entry.key);
        out.accounts.push_back(std::move(entry));
    }
    index = 0;
    std::map<std::string, std::string> teams; // operator: team
    for (const YAML::Node& item : sequence(*keys, "keys", "operators"))
    {
        const std::string path = "keys.operators[" + std::to_string(index++) + "]";
        if (!check_map(item, path, line_of(item), {{"name"}, {"key"}, {"team", false}}))
            continue;
        operator_key entry;
        read_name(item, path, "name", entry.name);
        read_key(item, path, "operator " + entry.name, entry.key);
        const std::optional<std::string> team = scalar(item, path, "team");
        if (team && !team->empty())
            read_name(item, path, "team", entry.team);
        // The name is the author of changes, so it must stand for one set of rights.
        const auto [known, added] = teams.emplace(entry.name, entry.team);
        if (!added && known->second != entry.team)
            add(line_of(item), path + ": operator " + entry.name + " is in two teams",
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
    read_number(*limits, "limits", "max_connections", connections_rule, out.limits.max_connections);
    read_number(*limits, "limits", "workers", workers_rule, out.limits.workers);
    read_number(*limits, "limits", "queue_length", queue_rule, out.limits.queue_length);
    read_number(*limits, "limits", "header_bytes", header_rule, out.limits.header_bytes);
    read_number(*limits, "limits", "body_bytes", body_rule, out.limits.body_bytes);
}

void settings_reader::read_decimal(const YAML::Node& map, const std::string& path,
                                   std::string_view key, const decimal_rule& rule, double& out)
{
    const std::optional<std::string> text = scalar(map, path, key);
    if (!text)
        return;
    double value = 0.0;
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc{} || stop != end || value < rule.least || value > rule.most)
    {
        std::ostringstream wanted;
        wanted << "write a number from " << rule.least << " to " << rule.most;
        add(line_of_key(map, key), joined(path, key) + ": " + *text + " is not valid",
            wanted.str());
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
                             {"link_mbps", false}}))
        return;
    serving_settings serving;
    const auto address = [&](std::string_view key, bool needs_port, socket_address& to)
    {
        if (const std::optional<std::string> text = scalar(*node, "serving", key))
            read_address(*text, joined("serving", key), line_of_key(*node, key), needs_port, to);
    };
    address("readiness", false, serving.listen_readiness);
    address("store", true, serving.store);
    if (find(*node, "metrics"))
    {
        serving.listen_metrics.emplace();
        address("metrics", false, *serving.listen_metrics);
    }
    read_decimal(*node, "serving", "repeat_ratio", ratio_rule, serving.repeat_ratio);
    read_number(*node, "serving", "repeat_slack", slack_rule, serving.repeat_slack);
    double window = std::chrono::duration<double>(serving.repeat_window).count();
    read_decimal(*node, "serving", "repeat_window_s", window_rule, window);
    serving.repeat_window = milliseconds(static_cast<std::int64_t>(window * 1000.0));
    read_decimal(*node, "serving", "cold_over", over_rule, serving.cold_over);
    read_number(*node, "serving", "cold_slack", slack_rule, serving.cold_slack);
    read_decimal(*node, "serving", "processor_share", processor_rule, serving.processor_share);
    read_decimal(*node, "serving", "link_mbps", link_rule, serving.link_mbps);
    double grace = std::chrono::duration<double>(serving.stop_grace).count();
    read_decimal(*node, "serving", "stop_grace_s", window_rule, grace);
    serving.stop_grace = milliseconds(static_cast<std::int64_t>(grace * 1000.0));
    out.serving = serving;
}

template <typename Enum>
void settings_reader::read_enum(const YAML::Node& root, std::string_view key, std::string_view noun,
                                const std::vector<std::string_view>& names, Enum& out)
{
    const std::optional<std::string> text = scalar(root, "", key);
    if (text && !from_string(*text, out))
        add(line_of_key(root, key),
            std::string(key) + ": unknown " + std::string(noun) + " " + *text,
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
        read_listen(*listen, "callers", out.listen_callers);
        read_listen(*listen, "peers", out.listen_peers);
        if (out.listen_callers.port != 0 && out.listen_callers == out.listen_peers)
            add(line_of_key(*listen, "peers"),
                "listen.callers and listen.peers are the same address", "use two ports");
    }
    read_platform(root, out);
    read_seeds(root, out);
    read_keys(root, out);
    read_limits(root, out);
    read_serving(root, out);
    std::uint32_t grace = static_cast<std::uint32_t>(out.balancer_grace.count());
    read_number(root, "", "balancer_grace_ms", grace_rule, grace);
    out.balancer_grace = milliseconds(grace);
    read_enum(root, "log_level", "level", {"debug", "info", "warning", "error"}, out.least_level);
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
    const std::size_t first = problems.size();
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
    std::stable_sort(problems.begin() + static_cast<std::ptrdiff_t>(first), problems.end(),
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
