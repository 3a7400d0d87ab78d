// Processes and requests of the process tests: children that end with the test, a deployment of
// stand-ins and entry VMs over two failure domains, and blocking HTTP calls.
//
// Functions that cannot do their job throw std::runtime_error, which fails the test. Start children
// from the test's main thread only: a child is killed when the thread that started it ends.
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

// Far above any time that a test needs on a busy machine; only a failing test waits this long.
inline constexpr milliseconds patience{30000};

// Key of the account library-1 in the settings of each VM.
inline constexpr const char* caller_key = "caller-key-for-tests";

// Polls until `condition` holds; false when it still does not after `limit`.
bool eventually(const std::function<bool()>& condition, milliseconds limit = patience);

// A program run by the test; killed and reaped by the destructor.
class child_process
{
public:
    explicit child_process(const std::vector<std::string>& command);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    // First line of output that contains `part`; throws when none appears in time or before the
    // process ends.
    std::string wait_for_line(const std::string& part, milliseconds limit = patience) const;

    // All that was written to standard output and standard error.
    std::string output() const;

    void signal(int number) const;
    void kill() const;
    void stop() const;   // SIGSTOP
    void resume() const; // SIGCONT

    // Exit code, or 128 plus the number of the signal that ended the process; nothing when it still
    // runs after `limit`.
    std::optional<int> wait_exit(milliseconds limit = patience);

    pid_t pid() const { return pid_; }

private:
    void release();
    bool over() const;

    pid_t pid_ = -1;
    int output_ = -1; // memory file that both outputs are appended to; a pipe could fill up
    std::optional<int> exit_code_;
};

// One request on a fresh connection. The status is 0 when no answer came.
struct http_answer
{
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::optional<zinnianotch::failure> error;

    web::json::value json() const { return web::json::value::parse(body); }
};

using header_map = std::map<std::string, std::string>;

http_answer http(std::uint16_t port, const std::string& method, const std::string& path,
                 const std::string& body = {}, const header_map& headers = {},
                 milliseconds timeout = patience);

// A streamed answer, whole lines only.
struct http_lines
{
    int status = 0;
    std::vector<std::string> lines;
    bool complete = false; // the stream came to its orderly end
    std::string body;      // when the status is not 200
};

// `on_line` sees each line as it arrives; false leaves the stream.
http_lines http_stream(std::uint16_t port, const std::string& path, const std::string& body,
                       const header_map& headers = {},
                       const zinnianotch::line_handler& on_line = nullptr);

// A stand-in of tests/standins with its control interface.
class standin : public child_process
{
public:
    // `arguments` follow "--role ROLE".
    explicit standin(const std::string& role, const std::vector<std::string>& arguments = {});

    // Kills the stand-in and starts it on the same port, with `more` arguments that override the
    // earlier ones. It has a new incarnation and has forgotten everything.
    void restart(const std::vector<std::string>& more = {});

    std::uint16_t port() const { return port_; }

    // Switches faults, for example R"({"phase":"cold"})"; returns the counters.
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

    // Sends a command such as "freeze_established"; in effect on return. Returns the counters.
    web::json::value command(const std::string& text) const;

private:
    std::uint16_t port_;
    std::uint16_t control_port_;
};

struct deployment_options
{
    int vms_per_domain = 1;
    int endpoints_per_pool = 1; // in each failure domain
    bool proxies = false; // puts a fault proxy before each endpoint and, per domain, the table
    bool start_vms = true;
    std::vector<std::string> endpoint_arguments; // further options of every endpoint stand-in
    std::function<void(web::json::value& document)> adjust; // changes the first configuration
    std::string settings_lines;                             // added to the settings file of each VM
};

// Two failure domains, dom-a and dom-b. Per domain: VMs vm-a1, vm-a2 ..., endpoints encoder-a1,
// retriever-a1, reranker-a1, generator-a1, loans-a1 ... The pipeline `suggest` has one stage per
// pool; the service `loans` has the operations `place` and `status` (idempotent).
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
        std::uint16_t callers = 0;
        std::uint16_t peers = 0;
    };

    // Starts (again) the VM of this name on new ports, without waiting for it to be ready.
    vm& start_vm(const std::string& name);

    // Throws when /readyz does not answer 200 in time.
    static void wait_ready(const vm& target);

    // Requests by the account library-1 and by the fleet operator night-shift. `on_line` is that of
    // http_stream.
    http_lines run_pipeline(const vm& target, const std::string& input,
                            milliseconds deadline = milliseconds{5000},
                            const zinnianotch::line_handler& on_line = nullptr) const;
    http_answer place(const vm& target, const std::string& key, const std::string& order) const;
    http_answer admin(const vm& target, const std::string& method, const std::string& path,
                      const std::string& body = {}, const header_map& headers = {}) const;

    // The token texts that a complete answer of `suggest` to `input` consists of.
    static std::vector<std::string> expected_tokens(const std::string& input);

    standin table;
    standin vm_list;
    std::map<std::string, standin> endpoints;            // by endpoint id
    std::map<std::string, fault_proxy> endpoint_proxies; // by endpoint id
    std::map<std::string, fault_proxy> table_proxies;    // by failure domain
    std::map<std::string, vm> vms;                       // by name

private:
    void start_endpoints();
    web::json::value first_document() const;
    void write_settings(vm& target, const std::string& domain) const;

    deployment_options options_;
    std::string folder_;
};

} // namespace fixture
