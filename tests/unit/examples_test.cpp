// The files in examples/, which new operators start from, must be valid.
#include "cli/arguments.h"
#include "cli/document.h"
#include "daemon/settings.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

// Guards against an example that the daemon rejects after a change of the settings format.
Test(examples, settings_are_accepted)
{
    const result<settings> read = load_settings(EXAMPLES_PATH "/settings.yaml");
    cr_assert(read.has_value(), "%s", read.has_error() ? read.error().detail.c_str() : "");
}

// Guards against an example that lacks a stage, a failure domain, or an exception with its reason.
Test(examples, deployments_have_expected_parts)
{
    for (const char* const path :
         {EXAMPLES_PATH "/quillmarsh.yaml", EXAMPLES_PATH "/kilimanjaro.yaml"})
    {
        const result<web::json::value> document = parse_document(read_file(path).value());
        cr_assert(document.has_value(), "%s", path);
        const std::vector<std::string> problems = check_schema(document.value());
        cr_assert(problems.empty(), "%s: %s", path, problems.empty() ? "" : problems[0].c_str());
        const web::json::value& json = document.value();
        cr_assert(json.at("domains").size() == 3 && json.at("exceptions").size() == 1);
        cr_assert(json.at("services").size() == 4 && json.at("accounts").size() == 5);
        cr_assert(json.at("pipelines").at(0).at("stages").size() == 4);
    }
}
