#include "fixture.h"

#include "../standins/token_text.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace fixture
{

using web::json::value;
using zinnianotch::http_client;

namespace
{

constexpr int poll_interval_ms = 10;
constexpr int exec_failure_exit_code = 127;
constexpr std::uint32_t pipeline_tokens = 16;

constexpr const char* operator_key = "operator-key-for-tests";
constexpr const char* team_operator_key = "team-operator-key-for-tests";

const std::vector<std::string> domain_letters = {"a", "b"};

// `endpoint` is the prefix of endpoint ids and the name of the pipeline stage; `role` is that of
// the stand-in. `kind` is the kind of the stage, empty for a pool that serves no stage.
struct pool_definition
{
    std::string name;
    std::string endpoint;
    std::string role;
    std::string kind;
};

const std::vector<pool_definition> pools = {{"encoders", "encoder", "stage", "encoding"},
                                            {"retrievers", "retriever", "stage", "retrieval"},
                                            {"rerankers", "reranker", "stage", "reranking"},
                                            {"generators", "generator", "engine", "generation"},
                                            {"loans", "loans", "service", ""}};

std::string base_url(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

// Names such as "vm-a1", numbered from 1 in each failure domain, with the id of the domain.
std::vector<std::pair<std::string, std::string>> names_in_domains(const std::string& prefix,
                                                                  int count)
{
    std::vector<std::pair<std::string, std::string>> names;
    for (const auto& letter : domain_letters)
    {
        std::string stem = prefix;
        stem.append("-").append(letter);
        for (int number = 1; number <= count; ++number)
            names.emplace_back(stem + std::to_string(number), "dom-" + letter);
    }
    return names;
}

std::string all_vm_and_endpoint_names(const deployment_options& options)
{
    std::string names;
    const auto add = [&](const std::string& prefix, int count)
    {
        for (const auto& [name, domain] : names_in_domains(prefix, count))
            names += (names.empty() ? "" : ",") + name;
    };
    add("vm", options.vms_per_domain);
    for (const auto& pool : pools)
        add(pool.endpoint, options.endpoints_per_pool);
    return names;
}

std::uint16_t port_after(const std::string& line, const std::string& label)
{
    const std::size_t begin = line.find(label);
    if (begin == std::string::npos)
        throw std::runtime_error("no '" + label + "' in: " + line);
    return static_cast<std::uint16_t>(std::stoi(line.substr(begin + label.size())));
}

value object(const std::vector<std::pair<std::string, value>>& fields)
{
    return value::object(fields);
}

std::vector<std::string> concatenate(std::vector<std::string> first,
                                     const std::vector<std::string>& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

bool eventually(const std::function<bool()>& condition, milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (;;)
    {
        if (condition())
            return true;
        if (std::chrono::steady_clock::now() >= end)
            return false;
        ::poll(nullptr, 0, poll_interval_ms);
    }
}

reserved_port::reserved_port() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int enabled = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (fd_ < 0 || ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        ::bind(fd_, generic, size) != 0 || ::getsockname(fd_, generic, &size) != 0)
    {
        if (fd_ >= 0)
            ::close(fd_);
        throw std::runtime_error("cannot reserve a port");
    }
    number_ = ntohs(address.sin_port);
}

reserved_port::~reserved_port()
{
    ::close(fd_);
}

child_process::child_process(const std::vector<std::string>& command)
    : output_fd_(::memfd_create("output", MFD_CLOEXEC))
{
    if (output_fd_ < 0 || ::fcntl(output_fd_, F_SETFL, O_APPEND) != 0)
        throw std::runtime_error("cannot create a memory file for the output of " +
                                 command.front());
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0)
        throw std::runtime_error("cannot fork for " + command.front());
    if (pid_ > 0)
        return;
    // A failed assertion ends the test without running destructors; children must not outlive it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(exec_failure_exit_code);
    ::dup2(::open("/dev/null", O_RDONLY | O_CLOEXEC), STDIN_FILENO);
    ::dup2(output_fd_, STDOUT_FILENO);
    ::dup2(output_fd_, STDERR_FILENO);
    // A listening socket that the child inherits would stay open when the test closes its own.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments.front(), arguments.data());
    ::_exit(exec_failure_exit_code);
}

child_process::~child_process()
{
    kill_and_close();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_fd_(std::exchange(other.output_fd_, -1)),
      exit_code_(std::exchange(other.exit_code_, std::nullopt))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this == &other)
        return *this;
    kill_and_close();
    pid_ = std::exchange(other.pid_, -1);
    output_fd_ = std::exchange(other.output_fd_, -1);
    exit_code_ = std::exchange(other.exit_code_, std::nullopt);
    return *this;
}

void child_process::kill_and_close()
{
    if (pid_ > 0 && !exit_code_)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    if (output_fd_ >= 0)
        ::close(output_fd_);
}

std::string child_process::wait_for_line(const std::string& text, milliseconds timeout) const
{
    std::string line;
    const auto found = [&]
    {
        const std::string written = output();
        const std::size_t at = written.find(text);
        const std::size_t end = at == std::string::npos ? at : written.find('\n', at);
        if (end == std::string::npos)
            return false;
        const std::size_t previous = written.rfind('\n', at);
        const std::size_t begin = previous == std::string::npos ? 0 : previous + 1;
        line = written.substr(begin, end - begin);
        return true;
    };
    bool is_present = false;
    const auto found_or_exited = [&]
    {
        // Checked before the output is read: nothing is written after the exit.
        const bool had_exited = has_exited();
        is_present = found();
        return is_present || had_exited;
    };
    eventually(found_or_exited, timeout);
    if (!is_present)
        throw std::runtime_error("no line with '" + text + "' in the output:\n" + output());
    return line;
}

bool child_process::has_exited() const
{
    siginfo_t state{};
    return exit_code_ ||
           ::waitid(P_PID, static_cast<id_t>(pid_), &state, WEXITED | WNOHANG | WNOWAIT) != 0 ||
           state.si_pid != 0;
}

std::string child_process::output() const
{
    std::string text;
    char buffer[4096];
    for (;;)
    {
        const ssize_t size =
            ::pread(output_fd_, buffer, sizeof buffer, static_cast<off_t>(text.size()));
        if (size <= 0)
            return text;
        text.append(buffer, static_cast<std::size_t>(size));
    }
}

void child_process::signal(int number) const
{
    if (pid_ > 0 && !exit_code_)
        ::kill(pid_, number);
}

void child_process::kill() const
{
    signal(SIGKILL);
}

void child_process::stop() const
{
    signal(SIGSTOP);
}

void child_process::resume() const
{
    signal(SIGCONT);
}

std::optional<int> child_process::wait_exit(milliseconds timeout)
{
    const auto ended = [this]
    {
        int status = 0;
        if (!exit_code_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
            exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return exit_code_.has_value();
    };
    eventually(ended, timeout);
    return exit_code_;
}

http_result send_http(std::uint16_t port, const std::string& method, const std::string& path,
                      const std::string& body, const header_map& headers, milliseconds timeout)
{
    http_client client(base_url(port));
    zinnianotch::client_request request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    request.body = body;
    // Not on a pooled connection: an automatic retry would distort the counts that tests check.
    auto reply = client.send_once(request, timeout);
    http_result result;
    if (!reply)
    {
        result.error = reply.error();
        return result;
    }
    result.status = reply.value().status;
    result.headers = std::move(reply.value().headers);
    result.body = std::move(reply.value().body);
    return result;
}

http_stream_result http_stream(std::uint16_t port, const std::string& path, const std::string& body,
                               const header_map& headers, const zinnianotch::line_handler& on_line)
{
    http_client client(base_url(port));
    zinnianotch::client_request request;
    request.method = "POST";
    request.path = path;
    request.headers = headers;
    request.body = body;
    http_stream_result result;
    bool stopped_by_caller = false;
    const auto collect_line = [&](std::string_view line)
    {
        result.lines.emplace_back(line);
        stopped_by_caller = on_line && !on_line(line);
        return !stopped_by_caller;
    };
    auto reply = client.stream(request, default_timeout, default_timeout, collect_line);
    if (!reply)
        return result;
    result.status = reply.value().status;
    result.body = std::move(reply.value().body);
    result.complete = !stopped_by_caller;
    return result;
}

standin::standin(const std::string& role, const std::vector<std::string>& arguments)
    : child_process(concatenate({STANDIN_PATH, "--role", role}, arguments)), role_(role),
      arguments_(arguments), port_(port_after(wait_for_line("listening "), "listening "))
{
}

void standin::restart(const std::vector<std::string>& overrides)
{
    kill();
    wait_exit();
    const auto base_arguments = concatenate(arguments_, {"--port", std::to_string(port_)});
    *this = standin(role_, concatenate(base_arguments, overrides));
}

value standin::control(const std::string& change) const
{
    const auto result = send_http(port_, "POST", "/control", change);
    if (result.status != 200)
        throw std::runtime_error("control request of the stand-in returned status " +
                                 std::to_string(result.status));
    return result.json();
}

value standin::counters() const
{
    return control("{}");
}

std::uint64_t standin::count(const std::string& counter) const
{
    return counters().at(counter).as_number().to_uint64();
}

fault_proxy::fault_proxy(std::uint16_t target)
    : child_process({FAULT_PROXY_PATH, "--target", "127.0.0.1:" + std::to_string(target)}),
      port_(port_after(wait_for_line("listening "), "listening ")),
      control_port_(port_after(wait_for_line("control "), "control "))
{
}

value fault_proxy::command(const std::string& text) const
{
    const auto result = send_http(control_port_, "POST", "/", text);
    if (result.status != 200)
        throw std::runtime_error("the fault proxy rejected the command '" + text + '\'');
    return result.json();
}

deployment::deployment(deployment_options options)
    : table("table"), vm_list("vm_list", {"--vms", all_vm_and_endpoint_names(options)}),
      options_(std::move(options))
{
    std::string folder = (std::filesystem::temp_directory_path() / "zinnianotch-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("cannot create the temporary directory " + folder);
    folder_ = folder;
    if (options_.proxies)
        for (const auto& letter : domain_letters)
            table_proxies.emplace("dom-" + letter, fault_proxy(table.port()));
    start_endpoints();
    auto document = initial_configuration();
    if (options_.modify_configuration)
        options_.modify_configuration(document);
    const auto row =
        object({{"token", value("seed")}, {"author", value("fixture")}, {"document", document}});
    const auto written = send_http(table.port(), "PUT", "/rows/config/0000000001", row.serialize(),
                                   {{"If-None-Match", "*"}});
    if (written.status != 201)
        throw std::runtime_error("the table rejected the initial configuration");
    for (const auto& [name, domain] : names_in_domains("vm", options_.vms_per_domain))
    {
        auto& added = vms[name];
        added.name = name;
        write_settings(added, domain);
    }
    if (!options_.start_vms)
        return;
    for (const auto& [name, unstarted] : vms)
        start_vm(name);
    for (const auto& [name, started] : vms)
        wait_ready(started);
}

deployment::~deployment()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void deployment::start_endpoints()
{
    for (const auto& pool : pools)
    {
        for (const auto& [id, domain] :
             names_in_domains(pool.endpoint, options_.endpoints_per_pool))
        {
            std::vector<std::string> arguments = options_.endpoint_arguments;
            if (pool.role == "stage")
                arguments.insert(arguments.end(), {"--stage", pool.endpoint});
            const auto added = endpoints.emplace(id, standin(pool.role, arguments)).first;
            if (options_.proxies)
                endpoint_proxies.emplace(id, fault_proxy(added->second.port()));
        }
    }
}

value deployment::initial_configuration() const
{
    const auto list = [](std::vector<value> items) { return value::array(std::move(items)); };
    std::vector<value> stages;
    std::vector<value> pool_list;
    for (const auto& pool : pools)
    {
        std::vector<value> members;
        for (const auto& [id, domain] :
             names_in_domains(pool.endpoint, options_.endpoints_per_pool))
        {
            const std::uint16_t port =
                options_.proxies ? endpoint_proxies.at(id).port() : endpoints.at(id).port();
            members.push_back(object({{"id", value(id)},
                                      {"domain", value(domain)},
                                      {"url", value(base_url(port))},
                                      {"leaving", value::boolean(false)}}));
        }
        pool_list.push_back(object({{"name", value(pool.name)}, {"endpoints", list(members)}}));
        if (!pool.kind.empty())
            stages.push_back(object({{"name", value(pool.endpoint)},
                                     {"kind", value(pool.kind)},
                                     {"pool", value(pool.name)},
                                     {"max_tokens", value::number(pipeline_tokens)}}));
    }
    const auto operation = [](const char* name, bool idempotent) {
        return object({{"name", value(name)}, {"idempotent", value::boolean(idempotent)}});
    };
    std::vector<value> domains;
    domains.reserve(domain_letters.size());
    for (const auto& letter : domain_letters)
        domains.push_back(object({{"id", value("dom-" + letter)}, {"out", value::boolean(false)}}));
    return object(
        {{"defaults", object({{"cold_limit", value::number(2)},
                              {"warm_limit", value::number(16)},
                              {"retry_percent", value::number(20)},
                              {"stage_timeout_ms", value::number(2000)},
                              {"service_timeout_ms", value::number(2000)}})},
         {"pipelines", list({object({{"name", value("suggest")},
                                     {"team", value("catalogue")},
                                     {"deadline_ms", value::number(5000)},
                                     {"stages", list(stages)}})})},
         {"pools", list(pool_list)},
         {"services", list({object({{"name", value("loans")},
                                    {"pool", value("loans")},
                                    {"operations", list({operation("place", false),
                                                         operation("status", true)})}})})},
         {"accounts", list({object({{"name", value("library-1")},
                                    {"team", value("catalogue")},
                                    {"priority", value::number(0)}})})},
         {"domains", list(domains)},
         {"exceptions", list({})}});
}

void deployment::write_settings(vm& target, const std::string& domain) const
{
    const std::uint16_t table_port =
        options_.proxies ? table_proxies.at(domain).port() : table.port();
    target.settings_file = folder_ + '/' + target.name + ".yaml";
    std::ofstream file(target.settings_file);
    file << "vm: " << target.name << "\nfailure_domain: " << domain
         << "\nlisten: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}"
         << "\nplatform: {table: \"" << base_url(table_port) << "\", vm_list: \""
         << base_url(vm_list.port()) << "\"}\nkeys:\n  accounts: [{account: library-1, key: \""
         << caller_key << "\"}]\n  operators:\n    - {name: night-shift, key: \"" << operator_key
         << "\", team: \"\"}\n    - {name: catalogue-desk, key: \"" << team_operator_key
         << "\", team: catalogue}\nbalancer_grace_ms: 0\nlog_level: info\n"
         << options_.extra_settings;
    if (!file.flush())
        throw std::runtime_error("cannot write " + target.settings_file);
}

deployment::vm& deployment::start_vm(const std::string& name)
{
    auto& started = vms.at(name);
    started.process.emplace(
        std::vector<std::string>{ZINNIANOTCHD_PATH, "--settings", started.settings_file});
    const std::string line = started.process->wait_for_line("event=listening");
    started.caller_port = port_after(line, "callers=127.0.0.1:");
    started.peer_port = port_after(line, "peers=127.0.0.1:");
    return started;
}

void deployment::wait_ready(const vm& target)
{
    if (!eventually([&] { return send_http(target.caller_port, "GET", "/readyz").status == 200; }))
        throw std::runtime_error(target.name + " is not ready:\n" + target.process->output());
}

http_stream_result deployment::run_pipeline(const vm& target, const std::string& input,
                                            milliseconds deadline,
                                            const zinnianotch::line_handler& on_line) const
{
    return http_stream(target.caller_port, "/v1/pipelines/suggest",
                       object({{"input", value(input)}}).serialize(),
                       {{"Authorization", std::string("Bearer ") + caller_key},
                        {"Deadline-Ms", std::to_string(deadline.count())}},
                       on_line);
}

http_result deployment::place_order(const vm& target, const std::string& key,
                                    const std::string& order) const
{
    return send_http(
        target.caller_port, "POST", "/v1/services/loans/place",
        object({{"order", value(order)}}).serialize(),
        {{"Authorization", std::string("Bearer ") + caller_key}, {"Idempotency-Key", key}});
}

http_result deployment::admin(const vm& target, const std::string& method, const std::string& path,
                              const std::string& body, const header_map& headers) const
{
    header_map request_headers = headers;
    request_headers.emplace("Authorization", std::string("Bearer ") + operator_key);
    return send_http(target.caller_port, method, path, body, request_headers);
}

std::vector<std::string> deployment::expected_tokens(const std::string& input)
{
    std::string generator_input = input;
    for (const auto& pool : pools)
        if (pool.role == "stage")
            generator_input.insert(0, pool.endpoint + '(').push_back(')');
    std::vector<std::string> tokens;
    for (std::uint32_t index = 0; index < pipeline_tokens; ++index)
        tokens.push_back(standins::token_text(generator_input, index));
    return tokens;
}

} // namespace fixture
