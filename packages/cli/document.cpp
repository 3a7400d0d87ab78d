#include "cli/document.h"

#include "state/configuration.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <set>

namespace zinnianotch
{

namespace
{

enum class object_kind
{
    document,
    defaults,
    pipeline,
    stage,
    pool,
    endpoint,
    service,
    operation,
    account,
    domain,
    exception
};

enum class value_kind
{
    string,
    number,
    boolean,
    object,
    list
};

struct field_rule
{
    object_kind parent;
    std::string_view name;
    value_kind kind;
    bool required;
    object_kind child = object_kind::document; // kind of the object or of the items of the list
};

// All keys of the document, in the order of docs/api.md, section 3.1.
constexpr std::array fields = {
    field_rule{object_kind::document, "version", value_kind::number, false},
    field_rule{object_kind::document, "author", value_kind::string, false},
    field_rule{object_kind::document, "defaults", value_kind::object, false, object_kind::defaults},
    field_rule{object_kind::document, "pipelines", value_kind::list, false, object_kind::pipeline},
    field_rule{object_kind::document, "pools", value_kind::list, false, object_kind::pool},
    field_rule{object_kind::document, "services", value_kind::list, false, object_kind::service},
    field_rule{object_kind::document, "accounts", value_kind::list, false, object_kind::account},
    field_rule{object_kind::document, "domains", value_kind::list, false, object_kind::domain},
    field_rule{object_kind::document, "exceptions", value_kind::list, false,
               object_kind::exception},
    field_rule{object_kind::defaults, "cold_limit", value_kind::number, false},
    field_rule{object_kind::defaults, "warm_limit", value_kind::number, false},
    field_rule{object_kind::defaults, "retry_percent", value_kind::number, false},
    field_rule{object_kind::defaults, "stage_timeout_ms", value_kind::number, false},
    field_rule{object_kind::defaults, "service_timeout_ms", value_kind::number, false},
    field_rule{object_kind::pipeline, "name", value_kind::string, true},
    field_rule{object_kind::pipeline, "team", value_kind::string, true},
    field_rule{object_kind::pipeline, "deadline_ms", value_kind::number, false},
    field_rule{object_kind::pipeline, "stages", value_kind::list, true, object_kind::stage},
    field_rule{object_kind::stage, "name", value_kind::string, true},
    field_rule{object_kind::stage, "kind", value_kind::string, true},
    field_rule{object_kind::stage, "pool", value_kind::string, true},
    field_rule{object_kind::stage, "max_tokens", value_kind::number, false},
    field_rule{object_kind::pool, "name", value_kind::string, true},
    field_rule{object_kind::pool, "endpoints", value_kind::list, true, object_kind::endpoint},
    field_rule{object_kind::endpoint, "id", value_kind::string, true},
    field_rule{object_kind::endpoint, "domain", value_kind::string, true},
    field_rule{object_kind::endpoint, "url", value_kind::string, true},
    field_rule{object_kind::endpoint, "leaving", value_kind::boolean, false},
    field_rule{object_kind::service, "name", value_kind::string, true},
    field_rule{object_kind::service, "pool", value_kind::string, true},
    field_rule{object_kind::service, "operations", value_kind::list, true, object_kind::operation},
    field_rule{object_kind::operation, "name", value_kind::string, true},
    field_rule{object_kind::operation, "idempotent", value_kind::boolean, false},
    field_rule{object_kind::account, "name", value_kind::string, true},
    field_rule{object_kind::account, "team", value_kind::string, true},
    field_rule{object_kind::account, "priority", value_kind::number, false},
    field_rule{object_kind::domain, "id", value_kind::string, true},
    field_rule{object_kind::domain, "out", value_kind::boolean, false},
    field_rule{object_kind::exception, "id", value_kind::string, true},
    field_rule{object_kind::exception, "target", value_kind::string, true},
    field_rule{object_kind::exception, "setting", value_kind::string, true},
    field_rule{object_kind::exception, "value", value_kind::number, true},
    field_rule{object_kind::exception, "reason", value_kind::string, true},
    field_rule{object_kind::exception, "author", value_kind::string, false},
};

// The name alone determines the kind: no field name has different kinds of scalars in different
// objects.
value_kind kind_of(std::string_view name)
{
    for (const field_rule& rule : fields)
        if (rule.name == name)
            return rule.kind;
    return value_kind::string;
}

struct conversion_error
{
    int line;
    std::string message;
};

// Limits the recursion. A valid document is nested less deeply.
constexpr int max_depth = 16;

web::json::value convert_scalar(const YAML::Node& node, std::string_view name)
{
    const std::string& text = node.Scalar();
    const bool quoted = node.Tag() == "!";
    const value_kind kind = kind_of(name);
    if (quoted)
        return web::json::value::string(text);
    if (kind == value_kind::boolean && (text == "true" || text == "false"))
        return web::json::value::boolean(text == "true");
    if (kind == value_kind::number)
    {
        std::uint64_t value = 0;
        const char* const end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (!text.empty() && error == std::errc{} && stop == end)
            return web::json::value::number(value);
    }
    // An invalid value is kept as a string; check_schema reports it with its path in the document.
    return web::json::value::string(text);
}

web::json::value convert(const YAML::Node& node, std::string_view name, int depth)
{
    if (depth > max_depth)
        throw conversion_error{node.Mark().line + 1, "nested too deeply"};
    if (node.IsScalar())
        return convert_scalar(node, name);
    if (node.IsSequence())
    {
        web::json::value list = web::json::value::array();
        std::size_t index = 0;
        for (const auto& item : node)
            list[index++] = convert(item, name, depth + 1);
        return list;
    }
    if (!node.IsMap())
        return web::json::value::null();
    web::json::value object = web::json::value::object(true);
    for (const auto& entry : node)
    {
        const int line = entry.first.Mark().line + 1;
        if (!entry.first.IsScalar())
            throw conversion_error{line, "a map key is not a scalar"};
        const std::string& key = entry.first.Scalar();
        if (object.has_field(key))
            throw conversion_error{line, key + " is given twice"};
        object[key] = convert(entry.second, key, depth + 1);
    }
    return object;
}

bool has_kind(const web::json::value& value, value_kind kind)
{
    switch (kind)
    {
    case value_kind::string:
        return value.is_string();
    case value_kind::number:
        return value.is_number() && value.as_number().is_uint64();
    case value_kind::boolean:
        return value.is_boolean();
    case value_kind::object:
        return value.is_object();
    case value_kind::list:
        return value.is_array();
    }
    return false;
}

std::string_view kind_text(value_kind kind)
{
    switch (kind)
    {
    case value_kind::string:
        return "a string";
    case value_kind::number:
        return "a whole number without a unit";
    case value_kind::boolean:
        return "true or false";
    case value_kind::object:
        return "a map";
    case value_kind::list:
        return "a list";
    }
    return {};
}

void check_object(const web::json::value& value, object_kind kind, const std::string& path,
                  std::vector<std::string>& problems);

void check_field(const web::json::value& value, const field_rule& rule, const std::string& path,
                 std::vector<std::string>& problems)
{
    if (!has_kind(value, rule.kind))
    {
        problems.push_back(path + " must be " + std::string(kind_text(rule.kind)));
        return;
    }
    // `version` is a 64-bit number, all others are 32-bit.
    if (rule.kind == value_kind::number && rule.name != "version" &&
        value.as_number().to_uint64() > std::numeric_limits<std::uint32_t>::max())
        problems.push_back(path + " is too large");
    stage_kind parsed = stage_kind::encoding;
    if (rule.name == "kind" && !from_string(value.as_string(), parsed))
        problems.push_back(path + " must be encoding, retrieval, reranking or generation");
    if (rule.kind == value_kind::object)
        check_object(value, rule.child, path, problems);
    if (rule.kind != value_kind::list)
        return;
    std::size_t index = 0;
    for (const web::json::value& item : value.as_array())
        check_object(item, rule.child, path + "[" + std::to_string(index++) + "]", problems);
}

void check_object(const web::json::value& value, object_kind kind, const std::string& path,
                  std::vector<std::string>& problems)
{
    const std::string where = path.empty() ? "the document" : path;
    const std::string prefix = path.empty() ? "" : path + ".";
    if (!value.is_object())
    {
        problems.push_back(where + " must be a map");
        return;
    }
    for (const auto& [name, child] : value.as_object())
    {
        const auto rule = std::find_if(fields.begin(), fields.end(),
                                       [&, &key = name](const auto& r)
                                       { return r.parent == kind && r.name == key; });
        if (rule == fields.end())
            problems.push_back("unknown key " + std::string(prefix).append(name));
        else
            check_field(child, *rule, std::string(prefix).append(name), problems);
    }
    for (const field_rule& rule : fields)
        if (rule.parent == kind && rule.required && !value.has_field(std::string(rule.name)))
            problems.push_back(prefix + std::string(rule.name) + " is missing");
}

// Strings that YAML would parse as null if not quoted.
bool reads_as_null(const std::string& text)
{
    return text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL";
}

void emit(YAML::Emitter& out, const web::json::value& value)
{
    if (value.is_object())
    {
        out << YAML::BeginMap;
        for (const auto& [name, child] : value.as_object())
        {
            out << YAML::Key << name << YAML::Value;
            emit(out, child);
        }
        out << YAML::EndMap;
        return;
    }
    if (value.is_array())
    {
        out << YAML::BeginSeq;
        for (const web::json::value& item : value.as_array())
            emit(out, item);
        out << YAML::EndSeq;
        return;
    }
    if (!value.is_string())
    {
        out << value.serialize();
        return;
    }
    if (reads_as_null(value.as_string()))
        out << YAML::DoubleQuoted;
    out << value.as_string();
}

} // namespace

result<web::json::value> parse_document(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    // A document is a map, so JSON starts with a brace. Text that is not valid JSON may still be a
    // YAML flow mapping, and is parsed as YAML below.
    if (first != std::string::npos && text[first] == '{')
    {
        std::error_code error;
        web::json::value document = web::json::value::parse(text, error);
        if (!error)
            return document;
    }
    try
    {
        return convert(YAML::Load(text), {}, 0);
    }
    catch (const YAML::Exception& error)
    {
        return not_run(reason::invalid_configuration,
                       "line " + std::to_string(error.mark.line + 1) + ": " + error.msg);
    }
    catch (const conversion_error& error)
    {
        return not_run(reason::invalid_configuration,
                       "line " + std::to_string(error.line) + ": " + error.message);
    }
}

std::vector<std::string> check_schema(const web::json::value& document)
{
    std::vector<std::string> problems;
    check_object(document, object_kind::document, {}, problems);
    return problems;
}

std::string to_yaml(const web::json::value& document)
{
    YAML::Emitter out;
    emit(out, document);
    return std::string(out.c_str()) + "\n";
}

} // namespace zinnianotch
