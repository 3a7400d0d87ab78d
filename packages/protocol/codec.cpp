#include "protocol/codec.h"

#include "protocol/json_list.h"

#include <charconv>
#include <initializer_list>
#include <limits>
#include <sstream>

namespace zinnianotch
{

namespace
{

constexpr std::string_view configuration_prefix = "config/";
constexpr std::size_t version_digits = 10;

// Reads the fields of one object of a configuration document. Collects all problems instead of
// stopping at the first, so that an operator sees all of them at once.
class object_reader
{
public:
    object_reader(const json& value, std::string path, std::vector<std::string>& problems)
        : value_(value), path_(std::move(path)), problems_(problems)
    {
        if (!value_.is_object())
            report("must be an object");
    }

    // Reports every field that is not in `names` as an unknown key.
    void allow_only(std::initializer_list<std::string_view> names)
    {
        if (!value_.is_object())
            return;
        for (const auto& field : value_.as_object())
        {
            bool known = false;
            for (std::string_view name : names)
                known = known || name == field.first;
            if (!known)
                problems_.push_back(path_ + "." + field.first + ": unknown key");
        }
    }

    void read(const std::string& name, std::string& out, bool required = true)
    {
        const json* field = find(name, required);
        if (field == nullptr)
            return;
        if (!field->is_string())
            return report(name, "must be a string");
        out = field->as_string();
    }

    void read(const std::string& name, std::uint32_t& out)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return;
        const bool fits_uint32 = field->is_integer() && field->as_number().is_uint32();
        if (!fits_uint32)
            return report(name, "must be a whole number from 0 to 4294967295");
        out = field->as_number().to_uint32();
    }

    void read(const std::string& name, bool& out)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return;
        if (!field->is_boolean())
            return report(name, "must be true or false");
        out = field->as_bool();
    }

    // Reads an enumeration value given by name.
    template <typename Enum>
    void read_enum(const std::string& name, Enum& out)
    {
        std::string text;
        read(name, text);
        if (!text.empty() && !from_string(text, out))
            report(name, "has the unknown value \"" + text + "\"");
    }

    // Calls `read_item(reader, item)` for each element of a list and appends the items to `out`.
    template <typename Item, typename ReadItem>
    void read_list(const std::string& name, std::vector<Item>& out, ReadItem read_item)
    {
        const json* field = find(name, false);
        if (field == nullptr)
            return;
        if (!field->is_array())
            return report(name, "must be a list");
        std::size_t index = 0;
        for (const json& element : field->as_array())
        {
            object_reader reader(element, path_ + "." + name + "[" + std::to_string(index++) + "]",
                                 problems_);
            Item item;
            read_item(reader, item);
            out.push_back(std::move(item));
        }
    }

    // The field, or null if it is absent; reports an absent field if it is required.
    const json* find(const std::string& name, bool required)
    {
        if (value_.is_object() && value_.has_field(name))
            return &value_.at(name);
        if (required && value_.is_object())
            report(name, "is missing");
        return nullptr;
    }

    void report(const std::string& name, const std::string& problem)
    {
        problems_.push_back(path_ + "." + name + ": " + problem);
    }

    void report(const std::string& problem) { problems_.push_back(path_ + ": " + problem); }

private:
    const json& value_;
    std::string path_;
    std::vector<std::string>& problems_;
};

void read_defaults(const json& value, defaults_config& out, std::vector<std::string>& problems)
{
    object_reader reader(value, "defaults", problems);
    reader.allow_only(
        {"cold_limit", "warm_limit", "retry_percent", "stage_timeout_ms", "service_timeout_ms"});
    reader.read("cold_limit", out.cold_limit);
    reader.read("warm_limit", out.warm_limit);
    reader.read("retry_percent", out.retry_percent);
    reader.read("stage_timeout_ms", out.stage_timeout_ms);
    reader.read("service_timeout_ms", out.service_timeout_ms);
}

void read_stage(object_reader& reader, stage_config& out)
{
    reader.allow_only({"name", "kind", "pool", "max_tokens"});
    reader.read("name", out.name);
    reader.read_enum("kind", out.kind);
    reader.read("pool", out.pool);
    reader.read("max_tokens", out.max_tokens);
}

void read_pipeline(object_reader& reader, pipeline_config& out)
{
    reader.allow_only({"name", "team", "deadline_ms", "stages"});
    reader.read("name", out.name);
    reader.read("team", out.team, false);
    auto deadline_ms = static_cast<std::uint32_t>(out.deadline.count());
    reader.read("deadline_ms", deadline_ms);
    out.deadline = milliseconds(deadline_ms);
    reader.read_list("stages", out.stages, read_stage);
}

void read_endpoint(object_reader& reader, endpoint_config& out)
{
    reader.allow_only({"id", "domain", "url", "leaving"});
    reader.read("id", out.id);
    reader.read("domain", out.domain);
    reader.read("url", out.url);
    reader.read("leaving", out.leaving);
}

void read_pool(object_reader& reader, pool_config& out)
{
    reader.allow_only({"name", "endpoints"});
    reader.read("name", out.name);
    reader.read_list("endpoints", out.endpoints, read_endpoint);
}

void read_operation(object_reader& reader, operation_config& out)
{
    reader.allow_only({"name", "idempotent"});
    reader.read("name", out.name);
    reader.read("idempotent", out.idempotent);
}

void read_service(object_reader& reader, service_config& out)
{
    reader.allow_only({"name", "pool", "operations"});
    reader.read("name", out.name);
    reader.read("pool", out.pool);
    reader.read_list("operations", out.operations, read_operation);
}

void read_account(object_reader& reader, account_config& out)
{
    reader.allow_only({"name", "team", "priority"});
    reader.read("name", out.name);
    reader.read("team", out.team, false);
    reader.read("priority", out.priority);
}

void read_domain(object_reader& reader, domain_config& out)
{
    reader.allow_only({"id", "out"});
    reader.read("id", out.id);
    reader.read("out", out.out);
}

void read_exception(object_reader& reader, exception_config& out)
{
    reader.allow_only({"id", "target", "setting", "value", "reason", "author"});
    reader.read("id", out.id);
    reader.read("target", out.target);
    reader.read("setting", out.setting);
    reader.read("value", out.value);
    reader.read("reason", out.reason);
    reader.read("author", out.author, false);
}

json write_defaults(const defaults_config& defaults)
{
    json out = json::object();
    out["cold_limit"] = json(defaults.cold_limit);
    out["warm_limit"] = json(defaults.warm_limit);
    out["retry_percent"] = json(defaults.retry_percent);
    out["stage_timeout_ms"] = json(defaults.stage_timeout_ms);
    out["service_timeout_ms"] = json(defaults.service_timeout_ms);
    return out;
}

json write_stage(const stage_config& stage)
{
    json out = json::object();
    out["name"] = json(stage.name);
    out["kind"] = json(std::string(to_string(stage.kind)));
    out["pool"] = json(stage.pool);
    out["max_tokens"] = json(stage.max_tokens);
    return out;
}

json write_pipeline(const pipeline_config& pipeline)
{
    json out = json::object();
    out["name"] = json(pipeline.name);
    out["team"] = json(pipeline.team);
    out["deadline_ms"] = json(static_cast<std::uint32_t>(pipeline.deadline.count()));
    out["stages"] = write_list(pipeline.stages, write_stage);
    return out;
}

json write_endpoint(const endpoint_config& endpoint)
{
    json out = json::object();
    out["id"] = json(endpoint.id);
    out["domain"] = json(endpoint.domain);
    out["url"] = json(endpoint.url);
    out["leaving"] = json(endpoint.leaving);
    return out;
}

json write_pool(const pool_config& pool)
{
    json out = json::object();
    out["name"] = json(pool.name);
    out["endpoints"] = write_list(pool.endpoints, write_endpoint);
    return out;
}

json write_operation(const operation_config& operation)
{
    json out = json::object();
    out["name"] = json(operation.name);
    out["idempotent"] = json(operation.idempotent);
    return out;
}

json write_service(const service_config& service)
{
    json out = json::object();
    out["name"] = json(service.name);
    out["pool"] = json(service.pool);
    out["operations"] = write_list(service.operations, write_operation);
    return out;
}

json write_account(const account_config& account)
{
    json out = json::object();
    out["name"] = json(account.name);
    out["team"] = json(account.team);
    out["priority"] = json(account.priority);
    return out;
}

json write_domain(const domain_config& domain)
{
    json out = json::object();
    out["id"] = json(domain.id);
    out["out"] = json(domain.out);
    return out;
}

json write_exception(const exception_config& exception)
{
    json out = json::object();
    out["id"] = json(exception.id);
    out["target"] = json(exception.target);
    out["setting"] = json(exception.setting);
    out["value"] = json(exception.value);
    out["reason"] = json(exception.reason);
    out["author"] = json(exception.author);
    return out;
}

json write_member(const view_member& member)
{
    json out = json::object();
    out["vm"] = json(member.id.name);
    // Written as a string: many JSON parsers read numbers as doubles and lose digits above 2^53.
    out["incarnation"] = json(std::to_string(member.id.incarnation));
    out["peer_address"] = json(member.peer_address);
    return out;
}

// Returns 0 unless the whole text is a 64-bit unsigned number.
std::uint64_t parse_unsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value);
    return end.ec == std::errc() && end.ptr == text.data() + text.size() ? value : 0;
}

std::vector<view_member> parse_members(const json& view, const std::string& name)
{
    std::vector<view_member> members;
    if (!view.has_array_field(name))
        return members;
    for (const json& element : view.at(name).as_array())
    {
        view_member member;
        member.id.name = string_field(element, "vm");
        member.id.incarnation = parse_unsigned(string_field(element, "incarnation"));
        member.peer_address = string_field(element, "peer_address");
        members.push_back(std::move(member));
    }
    return members;
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

// A count in an endpoint's load report; 0 if the field is absent or not a 32-bit unsigned integer.
std::uint32_t count_field(const json& object, const std::string& name)
{
    const std::int64_t value = integer_field(object, name);
    const bool fits = value > 0 && value <= std::numeric_limits<std::uint32_t>::max();
    return fits ? static_cast<std::uint32_t>(value) : 0;
}

} // namespace

std::vector<std::string> split_lines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

result<json> parse_json(const std::string& text)
{
    std::error_code error;
    json value;
    try
    {
        value = json::parse(text, error);
    }
    catch (const std::exception&)
    {
        // parse() throws despite the error_code overload, for example on a lone surrogate.
        error = std::make_error_code(std::errc::invalid_argument);
    }
    if (error)
        return not_run(reason::bad_request, "the body is not valid JSON");
    return value;
}

std::string string_field(const json& object, const std::string& name, std::string fallback)
{
    if (!object.is_object() || !object.has_string_field(name))
        return fallback;
    return object.at(name).as_string();
}

std::int64_t integer_field(const json& object, const std::string& name, std::int64_t fallback)
{
    if (!object.is_object() || !object.has_integer_field(name))
        return fallback;
    return object.at(name).as_number().to_int64();
}

bool bool_field(const json& object, const std::string& name, bool fallback)
{
    if (!object.is_object() || !object.has_boolean_field(name))
        return fallback;
    return object.at(name).as_bool();
}

result<configuration> parse_configuration(const json& document)
{
    configuration config;
    std::vector<std::string> problems;
    object_reader reader(document, "document", problems);
    // "version" and "author" come from the row and are ignored here; they are allowed so that a
    // document can be sent back as it was read.
    reader.allow_only({"version", "author", "defaults", "pipelines", "pools", "services",
                       "accounts", "domains", "exceptions"});
    if (const json* defaults = reader.find("defaults", false))
        read_defaults(*defaults, config.defaults, problems);
    reader.read_list("pipelines", config.pipelines, read_pipeline);
    reader.read_list("pools", config.pools, read_pool);
    reader.read_list("services", config.services, read_service);
    reader.read_list("accounts", config.accounts, read_account);
    reader.read_list("domains", config.domains, read_domain);
    reader.read_list("exceptions", config.exceptions, read_exception);
    if (!problems.empty())
        return not_run(reason::invalid_configuration, join_lines(problems));
    return config;
}

json write_configuration(const configuration& config)
{
    json out = json::object();
    out["defaults"] = write_defaults(config.defaults);
    out["pipelines"] = write_list(config.pipelines, write_pipeline);
    out["pools"] = write_list(config.pools, write_pool);
    out["services"] = write_list(config.services, write_service);
    out["accounts"] = write_list(config.accounts, write_account);
    out["domains"] = write_list(config.domains, write_domain);
    out["exceptions"] = write_list(config.exceptions, write_exception);
    return out;
}

result<configuration_row> parse_configuration_row(const json& value)
{
    if (!value.is_object() || !value.has_object_field("document"))
        return not_run(reason::invalid_configuration, "the configuration row has no document");
    configuration_row row;
    row.token = string_field(value, "token");
    row.author = string_field(value, "author");
    row.reason = string_field(value, "reason");
    if (value.has_array_field("changes"))
    {
        for (const json& change : value.at("changes").as_array())
            row.changes.push_back(change.is_string() ? change.as_string() : std::string());
    }
    row.document = value.at("document");
    return row;
}

json write_configuration_row(const configuration_row& row)
{
    json out = json::object();
    out["token"] = json(row.token);
    out["author"] = json(row.author);
    out["reason"] = json(row.reason);
    out["changes"] = write_list(row.changes, [](const std::string& line) { return json(line); });
    out["document"] = row.document;
    return out;
}

std::string configuration_key(std::uint64_t version)
{
    std::string digits = std::to_string(version);
    if (digits.size() < version_digits)
        digits.insert(0, version_digits - digits.size(), '0');
    return std::string(configuration_prefix) + digits;
}

std::uint64_t configuration_version(std::string_view key)
{
    if (!key.starts_with(configuration_prefix))
        return 0;
    return parse_unsigned(key.substr(configuration_prefix.size()));
}

result<domain_view> parse_view(const json& value)
{
    if (!value.is_object() || !value.has_integer_field("version"))
        return not_run(reason::store_unavailable, "the view row has no version");
    domain_view view;
    view.version = static_cast<std::uint64_t>(integer_field(value, "version"));
    view.members = parse_members(value, "members");
    view.former = parse_members(value, "former");
    return view;
}

json write_view(const domain_view& view)
{
    json out = json::object();
    out["version"] = json::number(view.version);
    out["members"] = write_list(view.members, write_member);
    out["former"] = write_list(view.former, write_member);
    return out;
}

result<order_record> parse_order(const json& value)
{
    order_record record;
    if (!from_string(string_field(value, "state"), record.state))
        return not_run(reason::store_unavailable,
                       "the state of the order row is missing or unknown");
    record.token = string_field(value, "token");
    record.digest = string_field(value, "digest");
    record.status = static_cast<int>(integer_field(value, "status"));
    record.answer = string_field(value, "answer");
    return record;
}

json write_order(const order_record& record)
{
    json out = json::object();
    out["state"] = json(std::string(to_string(record.state)));
    out["token"] = json(record.token);
    out["digest"] = json(record.digest);
    out["status"] = json(record.status);
    out["answer"] = json(record.answer);
    return out;
}

result<load_report> parse_load_report(const std::string& body)
{
    result<json> value = parse_json(body);
    if (!value)
        return value.error();
    load_report report;
    if (!from_string(string_field(value.value(), "phase"), report.phase))
        return not_run(reason::endpoint_error,
                       "the phase of the load report is missing or unknown");
    report.incarnation = string_field(value.value(), "incarnation");
    report.running = count_field(value.value(), "running");
    report.capacity = count_field(value.value(), "capacity");
    report.leaving = bool_field(value.value(), "leaving");
    return report;
}

std::string error_body(const failure& cause, std::string_view request)
{
    json error = json::object();
    error["reason"] = json(std::string(to_string(cause.why)));
    error["verdict"] = json(std::string(to_string(cause.outcome)));
    error["message"] = json(cause.detail);
    error["request"] = json(std::string(request));
    if (cause.why == reason::invalid_configuration)
        error["problems"] = write_list(split_lines(cause.detail),
                                       [](const std::string& line) { return json(line); });
    if (cause.current_version)
        error["current_version"] = json::number(*cause.current_version);
    json body = json::object();
    body["error"] = error;
    return body.serialize();
}

} // namespace zinnianotch
