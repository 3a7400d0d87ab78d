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

constexpr milliseconds retry_delay{
    20}; // limits the rate of retries at a VM that refuses immediately
constexpr std::uint32_t pipeline_tokens = 16; // as in the configuration of the fixture

std::string string_field(const value& object, const std::string& name)
{
    return object.has_string_field(name) ? object.at(name).as_string() : std::string();
}

response_check incorrect(const response_check& partial, const std::string& detail)
{
    response_check out = partial;
    out.outcome = response_outcome::incorrect;
    out.detail = detail;
    return out;
}

std::string error_reason(const std::string& body)
{
    try
    {
        const value parsed = value::parse(body);
        return string_field(parsed.at("error"), "reason");
    }
    catch (const web::json::json_exception&)
    {
        return "error response is not JSON: " + body;
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

response_check check_stream_response(const http_stream_result& result,
                                     const std::vector<std::string>& expected)
{
    response_check out;
    if (result.status != 0 && result.status != 200)
    {
        out.outcome = response_outcome::failed;
        out.detail = error_reason(result.body);
        return out;
    }
    for (const std::string& line : result.lines)
    {
        value parsed;
        try
        {
            parsed = value::parse(line);
        }
        catch (const web::json::json_exception&)
        {
            return incorrect(out, "line is not JSON: " + line);
        }
        const std::string type = string_field(parsed, "type");
        if (out.outcome != response_outcome::truncated)
            return incorrect(out, "line after the end: " + line);
        if (type == "error")
        {
            out.outcome = response_outcome::failed;
            out.detail = string_field(parsed, "reason");
        }
        else if (type == "end")
        {
            if (out.tokens != expected.size() ||
                parsed.at("tokens").as_number().to_uint64() != expected.size())
                return incorrect(out, "end after " + std::to_string(out.tokens) + " tokens");
            const value& last = parsed.at("stages").as_array().at(parsed.at("stages").size() - 1);
            out.outcome = response_outcome::complete;
            out.endpoint = string_field(last, "endpoint");
            out.attempts = last.at("attempts").as_number().to_uint64();
        }
        else if (type != "token" || out.tokens >= expected.size() ||
                 parsed.at("index").as_number().to_uint64() != out.tokens ||
                 string_field(parsed, "text") != expected[out.tokens])
            return incorrect(out, "after " + std::to_string(out.tokens) + " tokens: " + line);
        else
            ++out.tokens;
    }
    return out;
}

load_generator::load_generator(const deployment& cluster, load_options options)
    : cluster_(cluster), options_(std::move(options)), ports_(options_.vms.size())
{
    update_ports();
    const std::size_t count = ports_.size() * static_cast<std::size_t>(options_.threads_per_vm);
    for (std::size_t thread = 0; thread < count; ++thread)
        threads_.emplace_back([this, thread] { run(thread); });
}

load_generator::~load_generator()
{
    stop();
}

void load_generator::update_ports()
{
    for (std::size_t i = 0; i < ports_.size(); ++i)
        ports_[i] = cluster_.vms.at(options_.vms[i]).caller_port;
}

bool load_generator::wait_finished(milliseconds timeout) const
{
    return eventually([this] { return count(response_outcome::complete) >= options_.requests; },
                      timeout);
}

void load_generator::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
}

std::uint64_t load_generator::count(response_outcome outcome) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(outcome);
    return found == counts_.end() ? 0 : found->second;
}

std::string load_generator::summary() const
{
    std::ostringstream text;
    text << "seed=" << options_.seed << " complete=" << count(response_outcome::complete)
         << " failed=" << count(response_outcome::failed)
         << " truncated=" << count(response_outcome::truncated)
         << " incorrect=" << count(response_outcome::incorrect) << " disconnected=" << disconnected_
         << " retried=" << retried_;
    const std::lock_guard lock(mutex_);
    for (const auto& [reason, number] : failure_reasons_)
        text << ' ' << reason << '=' << number;
    if (!first_incorrect_.empty())
        text << "\nfirst incorrect response: " << first_incorrect_;
    return text.str();
}

void load_generator::run(std::size_t thread)
{
    std::mt19937_64 random(options_.seed * 1000 + thread);
    for (std::uint64_t number = 0; !stopping_; ++number)
    {
        if (options_.requests > 0 && started_.fetch_add(1) >= options_.requests)
            return;
        const std::string request_id =
            "caller-" + std::to_string(thread) + '-' + std::to_string(number);
        const std::string input = request_id + '-' + std::to_string(random());
        const bool disconnects = static_cast<int>(random() % 100) < options_.disconnect_percent;
        run_request(thread % ports_.size(), input, disconnects);
    }
}

void load_generator::run_request(std::size_t first_vm, const std::string& input, bool disconnects)
{
    const std::vector<std::string> expected = options_.expected(input);
    for (std::size_t vm = first_vm; !stopping_; vm = (vm + 1) % ports_.size())
    {
        deployment::vm target;
        target.caller_port = ports_[vm];
        const auto disconnect = [](std::string_view) { return false; };
        const http_stream_result result =
            cluster_.run_pipeline(target, input, options_.deadline,
                                  disconnects ? zinnianotch::line_handler(disconnect) : nullptr);
        const response_check check = check_stream_response(result, expected);
        if (disconnects && check.outcome == response_outcome::truncated && !result.lines.empty())
        {
            ++disconnected_;
            return;
        }
        record(check, input);
        if (check.outcome == response_outcome::complete)
            return;
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, retry_delay, [this] { return stopping_.load(); });
        if (options_.requests == 0)
            return;
        ++retried_;
    }
}

void load_generator::record(const response_check& check, const std::string& input)
{
    const std::lock_guard lock(mutex_);
    ++counts_[check.outcome];
    if (check.outcome == response_outcome::failed)
        ++failure_reasons_[check.detail];
    if (check.outcome == response_outcome::incorrect && first_incorrect_.empty())
        first_incorrect_ = input + ": " + check.detail;
}

std::optional<value> endpoint_status(const deployment& cluster, const std::string& vm,
                                     const std::string& endpoint)
{
    const http_result result = cluster.admin(cluster.vms.at(vm), "GET", "/admin/v1/status");
    if (result.status != 200)
        return std::nullopt;
    const value status = result.json();
    for (const value& entry : status.at("endpoints").as_array())
        if (entry.at("id").as_string() == endpoint)
            return entry;
    return std::nullopt;
}

std::string wait_owner(const deployment& cluster, const std::string& vm,
                       const std::string& endpoint)
{
    std::string owner;
    const auto has_owner = [&]
    {
        const auto status = endpoint_status(cluster, vm, endpoint);
        owner = status ? string_field(*status, "owner") : "";
        return !owner.empty();
    };
    if (!eventually(has_owner))
        throw std::runtime_error("no VM owns the endpoint " + endpoint);
    return owner;
}

bool wait_view(const deployment& cluster, const std::vector<std::string>& vms, std::size_t members)
{
    const auto view_settled = [&](const std::string& vm)
    {
        const http_result result = cluster.admin(cluster.vms.at(vm), "GET", "/admin/v1/status");
        if (result.status != 200)
            return false;
        const value view = result.json().at("view");
        return view.at("members").size() == members && view.at("former").size() == 0;
    };
    return eventually([&] { return std::all_of(vms.begin(), vms.end(), view_settled); });
}

std::uint64_t read_metric(const deployment& cluster, const std::string& vm, const std::string& name)
{
    std::istringstream lines(send_http(cluster.vms.at(vm).caller_port, "GET", "/metrics").body);
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

std::vector<std::string> expected_generated_tokens(const std::string& input)
{
    std::vector<std::string> tokens;
    for (std::uint32_t index = 0; index < pipeline_tokens; ++index)
        tokens.push_back(standins::token_text(input, index));
    return tokens;
}

} // namespace fixture
