#include "cli/config_check.h"

#include "cli/document.h"
#include "platform/codec.h"
#include "protocol/codec.h"

namespace zinnianotch
{

namespace
{

// Stands for the operator, whose name the server enters in exceptions without an author.
constexpr const char* unnamed_author = "operator";

} // namespace

config_file read_config_file(const std::string& text)
{
    config_file file;
    platform::desired_file desired = platform::decode_desired_file(text);
    if (desired.is_recognised)
    {
        if (desired.state)
            file.content = std::move(*desired.state);
        else
            file.problems.push_back(desired.problem);
        return file;
    }
    const result<web::json::value> document = parse_document(text);
    if (document.has_error())
    {
        file.problems.push_back(document.error().detail);
        return file;
    }
    file.problems = check_schema(document.value());
    if (!file.problems.empty())
    {
        // Broken JSON may still be valid YAML.
        const std::size_t first = text.find_first_not_of(" \t\r\n");
        if (text[first] == '{' && !desired.problem.empty())
            file.problems.insert(file.problems.begin(), "as JSON: " + desired.problem);
        return file;
    }
    file.document = document.value();
    result<configuration> parsed = parse_configuration(document.value());
    if (parsed.has_error())
    {
        file.problems = split_lines(parsed.error().detail);
        return file;
    }
    for (exception_config& exception : parsed.value().exceptions)
    {
        if (exception.author.empty())
            exception.author = unnamed_author;
    }
    file.content = std::move(parsed.value());
    return file;
}

std::vector<config_finding> find_faults(const config_file& file)
{
    if (const auto* config = std::get_if<configuration>(&file.content))
        return find_faults(*config);
    if (const auto* state = std::get_if<serving_state>(&file.content))
        return find_faults(*state);
    return {};
}

std::optional<std::vector<config_difference>> compare(const config_file& before,
                                                      const config_file& after)
{
    if (before.content.index() != after.content.index())
        return std::nullopt;
    if (const auto* config = std::get_if<configuration>(&before.content))
        return compare(*config, std::get<configuration>(after.content));
    if (const auto* state = std::get_if<serving_state>(&before.content))
        return compare(*state, std::get<serving_state>(after.content));
    return std::nullopt;
}

std::string format_findings(const std::vector<config_finding>& findings)
{
    std::string text;
    for (const config_finding& finding : findings)
        text += std::string(to_string(finding.severity())) + " " +
                std::string(to_string(finding.kind)) + ": " + finding.where + ": " + finding.text +
                " (" + finding.hint + ")\n";
    return text;
}

web::json::value to_json(const std::vector<config_finding>& findings)
{
    web::json::value list = web::json::value::array();
    for (const config_finding& finding : findings)
    {
        web::json::value& entry = list[list.size()];
        entry["name"] = web::json::value::string(std::string(to_string(finding.kind)));
        entry["severity"] = web::json::value::string(std::string(to_string(finding.severity())));
        entry["where"] = web::json::value::string(finding.where);
        entry["text"] = web::json::value::string(finding.text);
        entry["hint"] = web::json::value::string(finding.hint);
    }
    return list;
}

} // namespace zinnianotch
