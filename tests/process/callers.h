// Background load, monitoring and administration of a deployment, for tests that change it under
// load.
#pragma once

#include "fixture.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fixture
{

// Upper bound for the time until a configuration change is in effect. The design page says "a few
// seconds".
inline constexpr milliseconds max_change_delay{5000};

// Request headers of the client account library-1.
header_map caller_headers(milliseconds deadline = default_timeout);

// Returns an empty string if the response is the complete response of `suggest` to `input`, else a
// description of the error. The functions below report errors in the same way.
std::string check_pipeline_response(int status, const std::string& body, bool complete,
                                    const std::string& input);

// Calls the pipeline `suggest` on a new connection.
std::string call_pipeline(std::uint16_t port, const std::string& input);

// Calls `status`, the idempotent operation of the service `loans`, on a new connection.
std::string call_status_operation(std::uint16_t port);

// Persistent HTTP connection on a plain socket: unlike HTTP client libraries, it never retries a
// request automatically.
class keep_alive_connection
{
public:
    explicit keep_alive_connection(std::uint16_t port);
    ~keep_alive_connection();

    keep_alive_connection(const keep_alive_connection&) = delete;
    keep_alive_connection& operator=(const keep_alive_connection&) = delete;

    // False if the connection was refused or the server has closed it.
    bool is_open() const;

    // Sends a call of the pipeline `suggest`; false if it could not be written in full.
    bool send(const std::string& input);

    struct response
    {
        int status = 0; // 0: the connection ended before the response header
        bool complete = false;
        bool connection_close = false; // the server closes the connection after this response
        std::string body;
    };

    response receive();

private:
    int socket_ = -1;
};

// Caller with one persistent connection. When a VM closes it or a request fails, the caller
// connects to the next VM of its list, as a load balancer would do for it.
class keep_alive_caller
{
public:
    explicit keep_alive_caller(std::vector<std::uint16_t> ports);

    // Empty if the response was complete and correct.
    std::string call(const std::string& input);

private:
    std::vector<std::uint16_t> ports_;
    std::size_t next_ = 0;
    std::unique_ptr<keep_alive_connection> connection_;
};

// Threads that send requests in a loop until stop(). `send_request` returns the error, or an empty
// string.
class background_load
{
public:
    using request_function = std::function<std::string(std::size_t caller, std::size_t number)>;

    background_load(std::size_t callers, request_function send_request);
    ~background_load();

    // Returns when the requests in progress have ended.
    void stop();

    std::size_t succeeded() const { return succeeded_; }
    std::string failures() const;

    // Waits until `count` more requests have succeeded; false on timeout.
    bool wait_for_successes(std::size_t count) const;

private:
    request_function send_request_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> succeeded_{0};
    mutable std::mutex mutex_;
    std::string failures_;
    std::vector<std::thread> threads_;
};

// Calls of the pipeline `suggest` on new connections; callers are assigned to `vms` round robin.
background_load::request_function pipeline_requests(const deployment& cluster,
                                                    const std::vector<std::string>& vms);

// Polls the configuration version in effect at each VM. set_port() must be called when a VM has
// been restarted, as its port changes.
class config_version_monitor
{
public:
    explicit config_version_monitor(const deployment& cluster);
    ~config_version_monitor();

    // Port of a VM that was restarted.
    void set_port(const std::string& vm, std::uint16_t port);

    void stop();

    // VMs whose version decreased, with both versions; empty if there are none. A new process may
    // report 0 until it has a configuration, but no other version below that of its predecessor.
    std::string decreases() const;
    std::size_t samples() const { return samples_; }

private:
    void run();

    mutable std::mutex mutex_;
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::uint64_t> highest_;
    std::map<std::string, bool> may_be_unconfigured_;
    std::string decreases_;
    std::atomic<std::size_t> samples_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Value of a gauge of a VM; nullopt if the VM does not respond or has no such gauge.
std::optional<std::uint64_t> read_gauge(std::uint16_t port, const std::string& name);

// Configuration version in effect at a VM, from its metrics; nullopt if it does not respond.
std::optional<std::uint64_t> read_config_version(std::uint16_t port);
bool all_have_config_version(const deployment& cluster, std::uint64_t version);

// Sum of a counter over the endpoints of a failure domain ("a" or "b").
std::uint64_t sum_counter_in_domain(const deployment& cluster, const std::string& domain_letter,
                                    const std::string& counter);

http_result set_domain_state(const deployment& cluster, const std::string& vm,
                             const std::string& domain, const std::string& state);

// Writes `document` as the configuration that follows version `expected`.
http_result put_config(const deployment& cluster, const std::string& vm, std::uint64_t expected,
                       const web::json::value& document);

// Configuration document in effect at the VM, without version and author.
web::json::value read_config(const deployment& cluster, const std::string& vm);

// Replaces the first `from` in the settings file of a VM; takes effect at its next start. Throws if
// there is none.
void replace_in_settings(const deployment& cluster, const std::string& vm, const std::string& from,
                         const std::string& to);
void add_seed_peers(const deployment& cluster, const std::string& vm,
                    const std::vector<std::string>& peers);

// Blocks until `duration` has passed since `start`.
void wait_until_elapsed(zinnianotch::time_point start, milliseconds duration = max_change_delay);

} // namespace fixture
