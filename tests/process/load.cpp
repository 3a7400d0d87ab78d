#include "load.h"

#include "../standins/token_text.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace fixture
{

using web::json::value;

namespace
{

constexpr milliseconds pause_after_failure{20}; // spares a VM that refuses at once
constexpr std::uint32_t pipeline_tokens = 16;   // as in the fixture's configuration

std::string text_of(const value& object, const std::string& name)
{
    return object.has_string_field(name) ? object.at(name).as_string() : std::string();
}

checked_answer wrong(const checked_answer& so_far, const std::string& detail)
{
    checked_answer out = so_far;
    out.kind = answer_kind::wrong;
    out.detail = detail;
    return out;
}

std::string reason_of_body(const std::string& body)
{
    try
    {
        const value parsed = value::parse(body);
        return text_of(parsed.at("error"), "reason");
    }
    catch (const web::json::json_exception&)
    {
        return "unreadable answer: " + body;
    }
}

void keep_endpoints(value& document, const std::function<bool(const value& endpoint)>& keep)
{
    for (value& pool : document["pools"].as_array())
    {
        std::vector<value> kept;
        for (const value& endpoint : pool.at("endpoints").as_array())
            if (keep(endpoint))
                kept.push_back(endpoint);
        pool["endpoints"] = value::array(kept);
    }
}

} // namespace

checked_answer check_answer(const http_lines& answer, const std::vector<std::string>& expected)
{
    checked_answer out;
    if (answer.status != 0 && answer.status != 200)
    {
        out.kind = answer_kind::failed;
        out.detail = reason_of_body(answer.body);
        return out;
    }
    for (const std::string& line : answer.lines)
    {
        value parsed;
        try
        {
            parsed = value::parse(line);
        }
        catch (const web::json::json_exception&)
        {
            return wrong(out, "no JSON: " + line);
        }
        const std::string type = text_of(parsed, "type");
        if (out.kind != answer_kind::cut)
            return wrong(out, "a line after the last one: " + line);
        if (type == "error")
        {
            out.kind = answer_kind::failed;
            out.detail = text_of(parsed, "reason");
        }
        else if (type == "end")
        {
            if (out.tokens != expected.size() ||
                parsed.at("tokens").as_number().to_uint64() != expected.size())
                return wrong(out, "an end after " + std::to_string(out.tokens) + " tokens");
            const value& last = parsed.at("stages").as_array().at(parsed.at("stages").size() - 1);
            out.kind = answer_kind::complete;
            out.endpoint = text_of(last, "endpoint");
            out.attempts = last.at("attempts").as_number().to_uint64();
        }
        else if (type != "token" || out.tokens >= expected.size() ||
                 parsed.at("index").as_number().to_uint64() != out.tokens ||
                 text_of(parsed, "text") != expected[out.tokens])
            return wrong(out, "after " + std::to_string(out.tokens) + " tokens: " + line);
        else
            ++out.tokens;
    }
    return out;
}

load::load(const deployment& all, load_options options)
    : all_(all), options_(std::move(options)), ports_(options_.vms.size())
{
    update_ports();
    const std::size_t count = ports_.size() * static_cast<std::size_t>(options_.threads_per_vm);
    for (std::size_t thread = 0; thread < count; ++thread)
        threads_.emplace_back([this, thread] { run(thread); });
}

load::~load()
{
    stop();
}

void load::update_ports()
{
    for (std::size_t i = 0; i < ports_.size(); ++i)
        ports_[i] = all_.vms.at(options_.vms[i]).callers;
}

bool load::wait_finished(milliseconds limit) const
{
    return eventually([this] { return count(answer_kind::complete) >= options_.requests; }, limit);
}

void load::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (std::thread& one : threads_)
        one.join();
    threads_.clear();
}

std::uint64_t load::count(answer_kind kind) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second;
}

std::string load::summary() const
{
    std::ostringstream text;
    text << "seed=" << options_.seed << " complete=" << count(answer_kind::complete)
         << " failed=" << count(answer_kind::failed) << " cut=" << count(answer_kind::cut)
         << " wrong=" << count(answer_kind::wrong) << " left=" << left_
         << " repeated=" << repeated_;
    const std::lock_guard lock(mutex_);
    for (const auto& [reason, number] : reasons_)
        text << ' ' << reason << '=' << number;
    if (!first_wrong_.empty())
        text << "\nfirst wrong answer: " << first_wrong_;
    return text.str();
}

void load::run(std::size_t thread)
{
    std::mt19937_64 random(options_.seed * 1000 + thread);
    for (std::uint64_t number = 0; !stopping_; ++number)
    {
        if (options_.requests > 0 && taken_.fetch_add(1) >= options_.requests)
            return;
        const std::string owner = "caller-" + std::to_string(thread) + '-' + std::to_string(number);
        const std::string input = owner + '-' + std::to_string(random());
        const bool leaves = static_cast<int>(random() % 100) < options_.leave_percent;
        run_request(thread % ports_.size(), input, leaves);
    }
}

void load::run_request(std::size_t first_vm, const std::string& input, bool leaves)
{
    const std::vector<std::string> expected = options_.expected(input);
    for (std::size_t vm = first_vm; !stopping_; vm = (vm + 1) % ports_.size())
    {
        deployment::vm target;
        target.callers = ports_[vm];
        const auto leave = [](std::string_view) { return false; };
        const http_lines lines = all_.run_pipeline(
            target, input, options_.deadline, leaves ? zinnianotch::line_handler(leave) : nullptr);
        const checked_answer answer = check_answer(lines, expected);
        if (leaves && answer.kind == answer_kind::cut && !lines.lines.empty())
        {
            ++left_;
            return;
        }
        record(answer, input);
        if (answer.kind == answer_kind::complete)
            return;
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, pause_after_failure, [this] { return stopping_.load(); });
        if (options_.requests == 0)
            return;
        ++repeated_;
    }
}

void load::record(const checked_answer& answer, const std::string& input)
{
    const std::lock_guard lock(mutex_);
    ++counts_[answer.kind];
    if (answer.kind == answer_kind::failed)
        ++reasons_[answer.detail];
    if (answer.kind == answer_kind::wrong && first_wrong_.empty())
        first_wrong_ = input + ": " + answer.detail;
}

std::optional<value> endpoint_status(const deployment& all, const std::string& vm,
                                     const std::string& endpoint)
{
    const http_answer answer = all.admin(all.vms.at(vm), "GET", "/admin/v1/status");
    if (answer.status != 200)
        return std::nullopt;
    const value status = answer.json();
    for (const value& one : status.at("endpoints").as_array())
        if (one.at("id").as_string() == endpoint)
            return one;
    return std::nullopt;
}

std::string wait_owner(const deployment& all, const std::string& vm, const std::string& endpoint)
{
    std::string owner;
    const auto has_owner = [&]
    {
        const auto status = endpoint_status(all, vm, endpoint);
        owner = status ? text_of(*status, "owner") : "";
        return !owner.empty();
    };
    if (!eventually(has_owner))
        throw std::runtime_error("nobody owns " + endpoint);
    return owner;
}

bool wait_view(const deployment& all, const std::vector<std::string>& vms, std::size_t members)
{
    const auto is_whole = [&](const std::string& vm)
    {
        const http_answer answer = all.admin(all.vms.at(vm), "GET", "/admin/v1/status");
        if (answer.status != 200)
            return false;
        const value view = answer.json().at("view");
        return view.at("members").size() == members && view.at("former").size() == 0;
    };
    return eventually([&] { return std::all_of(vms.begin(), vms.end(), is_whole); });
}

std::uint64_t metric(const deployment& all, const std::string& vm, const std::string& name)
{
    std::istringstream lines(http(all.vms.at(vm).callers, "GET", "/metrics").body);
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with(name))
            return std::stoull(line.substr(line.rfind(' ') + 1));
    return 0;
}

void keep_generation_only(value& document, const std::vector<std::string>& endpoints)
{
    value& pipeline = document["pipelines"].as_array().at(0);
    std::vector<value> stages;
    for (const value& stage : pipeline.at("stages").as_array())
        if (stage.at("kind").as_string() == "generation")
            stages.push_back(stage);
    pipeline["stages"] = value::array(stages);
    keep_endpoints(document,
                   [&](const value& endpoint)
                   {
                       const std::string id = endpoint.at("id").as_string();
                       return !id.starts_with("generator") ||
                              std::find(endpoints.begin(), endpoints.end(), id) != endpoints.end();
                   });
}

void keep_first_domain_only(value& document)
{
    document["domains"] = value::array({document.at("domains").at(0)});
    keep_endpoints(document, [](const value& endpoint)
                   { return endpoint.at("domain").as_string() == "dom-a"; });
}

std::vector<std::string> generated_tokens(const std::string& input)
{
    std::vector<std::string> tokens;
    for (std::uint32_t index = 0; index < pipeline_tokens; ++index)
        tokens.push_back(standins::token_text(input, index));
    return tokens;
}

} // namespace fixture
