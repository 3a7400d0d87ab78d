#include "cli/arguments.h"

#include <cpprest/json.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <sstream>

namespace zinnianotch
{

namespace
{

enum class option_id
{
    server = 1, // popt reserves 0 and negative values
    key_file,
    output,
    help,
    version,
    dry_run,
    input,
    input_file,
    deadline_ms,
    key,
    body,
    limit,
    expected_version,
    against,
    target,
    setting,
    value,
    reason,
    state
};

struct option_spec
{
    option_id id;
    const char* name;
    const char* argument; // placeholder in the help text; null for an option without an argument
    const char* description;
};

constexpr std::array<option_spec, 19> options = {{
    {option_id::server, "server", "URL",
     "address of an entry VM, http://HOST:PORT (or ZINNIANOTCH_SERVER)"},
    {option_id::key_file, "key-file", "FILE",
     "file that contains the API key (or ZINNIANOTCH_KEY)"},
    {option_id::output, "output", "human|json", "output format, human by default"},
    {option_id::help, "help", nullptr, "print help and exit"},
    {option_id::version, "version", nullptr, "print the version and exit"},
    {option_id::dry_run, "dry-run", nullptr,
     "validate the change on the server without applying it"},
    {option_id::input, "input", "TEXT", "input of the pipeline"},
    {option_id::input_file, "input-file", "FILE", "file with the input, - for standard input"},
    {option_id::deadline_ms, "deadline-ms", "N",
     "deadline of the complete response in ms, at most 60000"},
    {option_id::key, "key", "KEY", "idempotency key of the order"},
    {option_id::body, "body", "JSON", "request body for the service"},
    {option_id::limit, "limit", "N", "number of versions to list, 1 to 100, 20 by default"},
    {option_id::expected_version, "expected-version", "N",
     "configuration version to replace, by default that of the file"},
    {option_id::against, "against", "FILE", "file to compare with, such as the version in effect"},
    {option_id::target, "target", "TARGET", "pool:NAME or endpoint:ID"},
    {option_id::setting, "setting", "NAME", "name of the default to override, such as warm_limit"},
    {option_id::value, "value", "N", "value that overrides the default"},
    {option_id::reason, "reason", "TEXT", "reason for the change, stored with it"},
    {option_id::state, "state", "ran|not_run", "outcome according to the records of the service"},
}};

constexpr std::array<option_id, 5> global_options = {
    option_id::server, option_id::key_file, option_id::output, option_id::help, option_id::version};

struct command_spec
{
    command_id id;
    const char* name;     // one or two words, separated by a space
    const char* operands; // placeholders in the help text, separated by spaces
    std::vector<option_id> required;
    std::vector<option_id> optional;
    const char* description;
};

const std::vector<command_spec>& commands()
{
    static const std::vector<command_spec> table = {
        {command_id::call,
         "call",
         "PIPELINE",
         {},
         {option_id::input, option_id::input_file, option_id::deadline_ms},
         "run a pipeline and print its response as it arrives"},
        {command_id::order,
         "order",
         "SERVICE OPERATION",
         {option_id::key, option_id::body},
         {option_id::deadline_ms},
         "place an order; an order with the same key is never executed twice"},
        {command_id::order_status,
         "order-status",
         "KEY",
         {},
         {},
         "show the state of an order of the caller's account"},
        {command_id::config_show, "config show", "", {}, {}, "print the configuration in effect"},
        {command_id::config_check,
         "config check",
         "FILE",
         {},
         {option_id::expected_version, option_id::against},
         "check a file, - for standard input: errors, entries without effect, limits that "
         "contradict each other; with a server, also rights and changes"},
        {command_id::config_put,
         "config put",
         "FILE",
         {},
         {option_id::dry_run, option_id::expected_version},
         "replace the configuration with a file (YAML or JSON)"},
        {command_id::config_history,
         "config history",
         "",
         {},
         {option_id::limit},
         "list configuration versions, newest first"},
        {command_id::exception_add,
         "exception add",
         "",
         {option_id::target, option_id::setting, option_id::value, option_id::reason},
         {option_id::dry_run},
         "override one default for one pool or endpoint"},
        {command_id::exception_end,
         "exception end",
         "ID",
         {},
         {option_id::dry_run},
         "remove an exception"},
        {command_id::domain_out,
         "domain out",
         "ID",
         {option_id::reason},
         {option_id::dry_run},
         "take a failure domain out of service"},
        {command_id::domain_in,
         "domain in",
         "ID",
         {option_id::reason},
         {option_id::dry_run},
         "bring a failure domain back into service"},
        {command_id::status, "status", "", {}, {}, "show one VM's view of the deployment"},
        {command_id::orders_settle,
         "orders settle",
         "ACCOUNT KEY",
         {option_id::state, option_id::reason},
         {option_id::dry_run},
         "record the outcome of an order whose result is unknown"},
        {command_id::vm_status,
         "vm status",
         "",
         {},
         {},
         "show the desired state, endpoints and refusals as seen by VMs on the platform; "
         "--server takes a comma-separated list of metrics addresses"},
        {command_id::vm_request,
         "vm request",
         "ID",
         {},
         {},
         "show the log lines of the request with this id; --server as for vm status"},
    };
    return table;
}

constexpr std::string_view exit_code_help = R"(
Exit codes:
  0  done
  1  refused or failed, certainly not run: safe to retry
  2  usage error or invalid file
  3  may have run: check the state before retrying; also an error response of a service
  4  server not reachable, nothing was changed

API keys are not accepted as arguments, because other users can read the command line.
)";

const option_spec& spec_of(option_id id)
{
    return *std::find_if(options.begin(), options.end(),
                         [id](const option_spec& entry) { return entry.id == id; });
}

std::string option_usage(option_id id)
{
    const option_spec& entry = spec_of(id);
    std::string text = std::string("--") + entry.name;
    if (entry.argument)
        text += std::string(" ") + entry.argument;
    return text;
}

std::string command_usage(const command_spec& command)
{
    std::string text = command.name;
    if (*command.operands)
        text += std::string(" ") + command.operands;
    for (const option_id id : command.required)
        text += " " + option_usage(id);
    for (const option_id id : command.optional)
        text += " [" + option_usage(id) + "]";
    return text;
}

std::string option_help(option_id id)
{
    constexpr std::size_t width = 26;
    std::string text = "  " + option_usage(id);
    text.resize(std::max(text.size() + 1, width), ' ');
    return text + spec_of(id).description + "\n";
}

std::string general_help()
{
    std::string text = "Usage: zinnianotch [OPTION...] COMMAND\n\nCommands:\n";
    for (const command_spec& command : commands())
        text += "  " + command_usage(command) + "\n      " + command.description + "\n";
    text += "\nOptions of all commands:\n";
    for (const option_id id : global_options)
        text += option_help(id);
    return text + std::string(exit_code_help);
}

std::string command_help(const command_spec& command)
{
    std::string text = "Usage: zinnianotch " + command_usage(command) + "\n\n" +
                       command.description + "\n\nOptions:\n";
    for (const option_id id : command.required)
        text += option_help(id);
    for (const option_id id : command.optional)
        text += option_help(id);
    for (const option_id id : global_options)
        text += option_help(id);
    return text + std::string(exit_code_help);
}

invocation usage_error(const std::string& message)
{
    return {std::nullopt, "zinnianotch: " + message + "\nTry: zinnianotch --help\n",
            exit_code::usage};
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> words;
    std::istringstream stream{std::string(text)};
    std::string word;
    while (stream >> word)
        words.push_back(word);
    return words;
}

template <typename Integer>
bool parse_number(std::string_view text, Integer min_value, Integer max_value, Integer& out)
{
    Integer value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || stop != text.data() + text.size())
        return false;
    if (value < min_value || value > max_value)
        return false;
    out = value;
    return true;
}

// Checks length and characters of an idempotency key as specified in docs/api.md.
bool is_idempotency_key(std::string_view text)
{
    constexpr std::size_t max_length = 128;
    if (text.empty() || text.size() > max_length)
        return false;
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '~' ||
                                  c == '-';
                       });
}

bool is_blank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

// Removes a trailing slash. Returns false if the URL is not of the form http://HOST:PORT.
bool normalise_server(std::string& url)
{
    static constexpr std::string_view scheme = "http://";
    if (url.ends_with('/'))
        url.pop_back();
    if (!url.starts_with(scheme))
        return false;
    const std::string_view host = std::string_view(url).substr(scheme.size());
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || host.find('/') != std::string_view::npos)
        return false;
    std::uint16_t port = 0;
    return parse_number<std::uint16_t>(host.substr(colon + 1), 1,
                                       std::numeric_limits<std::uint16_t>::max(), port);
}

bool is_json(const std::string& text)
{
    std::error_code error;
    web::json::value::parse(text, error);
    return !error;
}

// Stores the value of one option. Returns an error message, empty if the value is valid.
std::string store_option(command_line& line, option_id id, const std::string& value)
{
    constexpr auto max_u32 = std::numeric_limits<std::uint32_t>::max();
    constexpr auto max_u64 = std::numeric_limits<std::uint64_t>::max();
    std::uint32_t number = 0;
    std::uint64_t version = 0;
    switch (id)
    {
    case option_id::server:
        line.server = value;
        return {};
    case option_id::key_file:
        line.key_file = value;
        return {};
    case option_id::output:
        if (value != "human" && value != "json")
            return "--output must be human or json";
        line.output = value == "json" ? output_format::json : output_format::human;
        return {};
    case option_id::dry_run:
        line.dry_run = true;
        return {};
    case option_id::input:
        line.input = value;
        return {};
    case option_id::input_file:
        line.input_file = value;
        return {};
    case option_id::deadline_ms:
        if (!parse_number<std::uint32_t>(value, 1, 60000, number))
            return "--deadline-ms must be a whole number from 1 to 60000";
        line.deadline_ms = number;
        return {};
    case option_id::key:
        if (!is_idempotency_key(value))
            return "--key must be 1 to 128 letters, digits, dots, underscores, tildes and hyphens";
        line.key = value;
        return {};
    case option_id::body:
        if (!is_json(value))
            return "--body is not valid JSON";
        line.body = value;
        return {};
    case option_id::limit:
        if (!parse_number<std::uint32_t>(value, 1, 100, line.limit))
            return "--limit must be a whole number from 1 to 100";
        return {};
    case option_id::expected_version:
        if (!parse_number<std::uint64_t>(value, 0, max_u64, version))
            return "--expected-version must be a whole number";
        line.expected_version = version;
        return {};
    case option_id::against:
        line.against = value;
        return {};
    case option_id::target:
        if (!value.starts_with("pool:") && !value.starts_with("endpoint:"))
            return "--target must be pool:NAME or endpoint:ID";
        line.target = value;
        return {};
    case option_id::setting:
        line.setting = value;
        return {};
    case option_id::value:
        if (!parse_number<std::uint32_t>(value, 0, max_u32, line.value))
            return "--value must be a whole number";
        return {};
    case option_id::reason:
        if (is_blank(value))
            return "--reason must not be empty";
        line.reason = value;
        return {};
    case option_id::state:
        if (value != "ran" && value != "not_run")
            return "--state must be ran or not_run";
        line.state = value;
        return {};
    case option_id::help:
    case option_id::version:
        return {};
    }
    return {};
}

struct given_option
{
    option_id id;
    std::string value;
};

struct split_arguments
{
    std::vector<given_option> given;
    std::vector<std::string> words; // name of the command, then its operands
    std::string error;              // of popt; empty if the options are valid

    bool has(option_id id) const
    {
        return std::any_of(given.begin(), given.end(),
                           [id](const given_option& option) { return option.id == id; });
    }
};

// Separates options from positional arguments with popt. Options may precede or follow them.
split_arguments split_options(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> table;
    table.reserve(options.size() + 1);
    for (const option_spec& entry : options)
        table.push_back({entry.name, '\0',
                         entry.argument ? static_cast<unsigned int>(POPT_ARG_STRING)
                                        : static_cast<unsigned int>(POPT_ARG_NONE),
                         nullptr, static_cast<int>(entry.id), nullptr, nullptr});
    table.push_back(poptOption POPT_TABLEEND);

    std::vector<const char*> argv = {"zinnianotch"};
    argv.reserve(arguments.size() + 2);
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);

    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("zinnianotch", static_cast<int>(argv.size()) - 1, argv.data(), table.data(),
                       0),
        &poptFreeContext);
    split_arguments out;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0)
    {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                                &std::free);
        out.given.push_back({static_cast<option_id>(code), value ? value.get() : ""});
    }
    if (code < -1)
    {
        out.error = std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                    poptStrerror(code);
        return out;
    }
    while (const char* const word = poptGetArg(context.get()))
        out.words.emplace_back(word);
    return out;
}

// Returns the command whose name the words start with, or null. `used` is set to the number of
// words in the name.
const command_spec* find_command(const std::vector<std::string>& words, std::size_t& used)
{
    for (const command_spec& command : commands())
    {
        const std::vector<std::string> name_words = split(command.name);
        if (name_words.size() > words.size() ||
            !std::equal(name_words.begin(), name_words.end(), words.begin()))
            continue;
        used = name_words.size();
        return &command;
    }
    return nullptr;
}

bool contains(const std::vector<option_id>& list, option_id id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

// Checks that each option belongs to the command, that none is repeated and that the required ones
// are present. Returns an error message, empty if there is none.
std::string check_options(const command_spec& command, const split_arguments& parts)
{
    std::vector<option_id> seen;
    for (const given_option& option : parts.given)
    {
        const bool is_global = std::find(global_options.begin(), global_options.end(), option.id) !=
                               global_options.end();
        if (!is_global && !contains(command.required, option.id) &&
            !contains(command.optional, option.id))
            return std::string("--") + spec_of(option.id).name + " is not an option of " +
                   command.name;
        if (contains(seen, option.id))
            return std::string("--") + spec_of(option.id).name + " is given twice";
        seen.push_back(option.id);
    }
    for (const option_id id : command.required)
        if (!contains(seen, id))
            return std::string(command.name) + " needs " + option_usage(id);
    return {};
}

// Splits the comma-separated list in line.server. Returns false if a server is invalid.
bool parse_server_list(command_line& line)
{
    std::istringstream list(line.server);
    std::vector<std::string> servers;
    for (std::string server; std::getline(list, server, ',');)
    {
        if (!normalise_server(server))
            return false;
        servers.push_back(server);
    }
    if (servers.empty())
        return false;
    line.server = servers.front();
    line.additional_servers.assign(servers.begin() + 1, servers.end());
    return true;
}

// Takes the server from the environment if no option gives it, and checks rules that involve
// several options. Returns an error message, empty if there is none.
std::string complete_and_check(command_line& line, const environment& env)
{
    if (line.command == command_id::call && line.input.has_value() == line.input_file.has_value())
        return "call needs either --input or --input-file";
    if (line.command == command_id::order_status && !is_idempotency_key(line.operands[0]))
        return "KEY must be 1 to 128 letters, digits, dots, underscores, tildes and hyphens";
    if (line.server.empty())
        line.server = env.server;
    if (line.server.empty() && line.command == command_id::config_check)
        return {};
    if (line.server.empty())
        return "no server given: use --server URL or set ZINNIANOTCH_SERVER";
    if (uses_metrics_address(line.command) ? !parse_server_list(line)
                                           : !normalise_server(line.server))
        return "the server must have the form http://HOST:PORT";
    return {};
}

} // namespace

invocation parse_arguments(const std::vector<std::string>& arguments, const environment& env)
{
    const split_arguments parts = split_options(arguments);
    if (!parts.error.empty())
        return usage_error(parts.error);
    if (parts.has(option_id::version))
        return {std::nullopt, "zinnianotch " ZINNIANOTCH_VERSION "\n", exit_code::done};
    std::size_t used = 0;
    const command_spec* const command = find_command(parts.words, used);
    if (parts.has(option_id::help))
        return {std::nullopt, command ? command_help(*command) : general_help(), exit_code::done};
    if (!command)
        return usage_error(parts.words.empty() ? "no command given"
                                               : "unknown command " + parts.words[0]);

    command_line line;
    line.command = command->id;
    line.operands.assign(parts.words.begin() + static_cast<std::ptrdiff_t>(used),
                         parts.words.end());
    if (line.operands.size() != split(command->operands).size())
        return usage_error("usage: zinnianotch " + command_usage(*command));
    std::string error_text = check_options(*command, parts);
    for (const given_option& option : parts.given)
        if (error_text.empty())
            error_text = store_option(line, option.id, option.value);
    if (error_text.empty())
        error_text = complete_and_check(line, env);
    if (!error_text.empty())
        return usage_error(error_text);
    return {std::move(line), {}, exit_code::done};
}

bool uses_metrics_address(command_id command)
{
    return command == command_id::vm_status || command == command_id::vm_request;
}

result<std::string> load_key(const command_line& line, const environment& env)
{
    std::string key = env.key;
    if (!line.key_file.empty())
    {
        const result<std::string> text = read_file(line.key_file);
        if (text.has_error())
            return text.error();
        key = text.value();
    }
    const std::size_t end = key.find_last_not_of(" \t\r\n");
    key.resize(end == std::string::npos ? 0 : end + 1);
    if (key.empty() && line.key_file.empty())
        return not_run(reason::unauthorized,
                       "no API key given: use --key-file FILE or set ZINNIANOTCH_KEY");
    const bool valid = !key.empty() && std::all_of(key.begin(), key.end(),
                                                   [](char c) { return c > ' ' && c < 127; });
    if (!valid)
        return not_run(reason::unauthorized,
                       "the API key must be one line of visible ASCII characters");
    return key;
}

result<std::string> read_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return not_run(reason::bad_request, path + ": cannot be read");
    // Inserting an empty file sets failbit of `text`, which is not an error here.
    text << file.rdbuf();
    if (file.bad())
        return not_run(reason::bad_request, path + ": cannot be read");
    return text.str();
}

} // namespace zinnianotch
