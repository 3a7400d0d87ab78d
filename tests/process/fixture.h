// Fixture of the process tests: child processes that are killed when the test ends, a deployment of
// stand-ins and VMs in two failure domains, and blocking HTTP requests.
//
// Functions throw std::runtime_error on failure, which fails the test. Child processes must be
// started from the test's main thread: a child is killed when the thread that started it ends.
#pragma once

#include "transport/http_client.h"

#include <cpprest/json.h>

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fixture
{

using zinnianotch::milliseconds;

// Well above the time that any passing test needs, even on a busy machine.
inline constexpr milliseconds default_timeout{30000};

// API key of the client account library-1 in the settings of each VM.
inline constexpr const char* caller_key = "caller-key-for-tests";

// Polls until `condition` holds; returns false if it does not within `timeout`.
bool eventually(const std::function<bool()>& condition, milliseconds timeout = default_timeout);

// A loopback port that the kernel gives to nothing else while this object exists. A server can
// listen on it, also after a restart, if it sets SO_REUSEADDR.
class reserved_port
{
public:
    reserved_port();
    ~reserved_port();

    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;

    std::uint16_t number() const { return number_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(number_); }

private:
    int fd_;
    std::uint16_t number_ = 0;
};

// Child process of the test; the destructor kills and reaps it.
class child_process
{
public:
    explicit child_process(const std::vector<std::string>& command);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    // Waits for the first complete line of output that contains `text`. Throws if there is none
    // within `timeout` or when the process exits.
    std::string wait_for_line(const std::string& text,
                              milliseconds timeout = default_timeout) const;

    // Standard output and standard error so far.
    std::string output() const;

    void signal(int number) const;
    void kill() const;
    void stop() const;   // SIGSTOP
    void resume() const; // SIGCONT

    // Exit code, or 128 plus the number of the signal that terminated the process; nullopt if it
    // still runs after `timeout`.
    std::optional<int> wait_exit(milliseconds timeout = default_timeout);

    pid_t pid() const { return pid_; }

private:
    void kill_and_close();
    bool has_exited() const;

    pid_t pid_ = -1;
    int output_fd_ = -1; // memory file for stdout and stderr; a pipe could fill up and block
    std::optional<int> exit_code_;
};

// Result of one request on a new connection; `status` is 0 if there was no response.
struct http_result
{
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::optional<zinnianotch::failure> error;

    web::json::value json() const { return web::json::value::parse(body); }
};

using header_map = std::map<std::string, std::string>;

http_result send_http(std::uint16_t port, const std::string& method, const std::string& path,
                      const std::string& body = {}, const header_map& headers = {},
                      milliseconds timeout = default_timeout);

// Result of a streaming request; contains complete lines only.
struct http_stream_result
{
    int status = 0;
    std::vector<std::string> lines;
    bool complete = false; // the stream ended normally
    std::string body;      // response body if the status is not 200
};

// POST request. Calls `on_line` for each line as it arrives; if it returns false, the connection is
// closed.
http_stream_result http_stream(std::uint16_t port, const std::string& path, const std::string& body,
                               const header_map& headers = {},
                               const zinnianotch::line_handler& on_line = nullptr);

// Process of the `standin` program (tests/standins) and its control interface.
class standin : public child_process
{
public:
    // Runs `standin --role ROLE` with `arguments` appended.
    explicit standin(const std::string& role, const std::vector<std::string>& arguments = {});

    // Kills the stand-in and starts it on the same port. `overrides` are appended to the arguments
    // and take precedence. The new process has a new incarnation and no state of the old one.
    void restart(const std::vector<std::string>& overrides = {});

    std::uint16_t port() const { return port_; }

    // Changes fault settings, for example R"({"phase":"cold"})"; returns the counters.
    web::json::value control(const std::string& change) const;
    web::json::value counters() const;
    std::uint64_t count(const std::string& counter) const;

private:
    std::string role_;
    std::vector<std::string> arguments_;
    std::uint16_t port_;
};

class fault_proxy : public child_process
{
public:
    explicit fault_proxy(std::uint16_t target);

    std::uint16_t port() const { return port_; }

    // Sends a command such as "freeze_established", which is in effect on return. Returns the
    // counters.
    web::json::value command(const std::string& text) const;

private:
    std::uint16_t port_;
    std::uint16_t control_port_;
};

struct deployment_options
{
    int vms_per_domain = 1;
    int endpoints_per_pool = 1; // in each failure domain
    bool proxies = false; // a fault proxy in front of each endpoint and, per domain, the table
    bool start_vms = true;
    std::vector<std::string> endpoint_arguments; // additional arguments of every endpoint stand-in
    std::function<void(web::json::value& document)>
        modify_configuration;   // edits the initial configuration
    std::string extra_settings; // appended to the settings file of each VM
};

// VMs, endpoints and platform stand-ins in the failure domains dom-a and dom-b. Names in dom-a: VMs
// vm-a1, vm-a2 ..., endpoints encoder-a1, retriever-a1, reranker-a1, generator-a1, loans-a1 ... The
// pipeline `suggest` has one stage for each of the first four pools; the service `loans` has the
// operations `place` (not idempotent) and `status` (idempotent).
class deployment
{
public:
    explicit deployment(deployment_options options = {});
    ~deployment();

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    struct vm
    {
        std::string name;
        std::string settings_file;
        std::optional<child_process> process;
        std::uint16_t caller_port = 0;
        std::uint16_t peer_port = 0;
    };

    // Starts or restarts the VM on new ports; does not wait until it is ready.
    vm& start_vm(const std::string& name);

    // Throws if /readyz does not return 200 within default_timeout.
    static void wait_ready(const vm& target);

    // run_pipeline() and place_order() use the client account library-1, admin() the fleet operator
    // night-shift. `on_line` is as in http_stream().
    http_stream_result run_pipeline(const vm& target, const std::string& input,
                                    milliseconds deadline = milliseconds{5000},
                                    const zinnianotch::line_handler& on_line = nullptr) const;
    http_result place_order(const vm& target, const std::string& key,
                            const std::string& order) const;
    http_result admin(const vm& target, const std::string& method, const std::string& path,
                      const std::string& body = {}, const header_map& headers = {}) const;

    // Token texts of a complete response of `suggest` to `input`.
    static std::vector<std::string> expected_tokens(const std::string& input);

    standin table;
    standin vm_list;
    std::map<std::string, standin> endpoints;            // by endpoint id
    std::map<std::string, fault_proxy> endpoint_proxies; // by endpoint id
    std::map<std::string, fault_proxy> table_proxies;    // by failure domain
    std::map<std::string, vm> vms;                       // by name

private:
    void start_endpoints();
    web::json::value initial_configuration() const;
    void write_settings(vm& target, const std::string& domain) const;

    deployment_options options_;
    std::string folder_;
};

} // namespace fixture
