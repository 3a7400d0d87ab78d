// Load on a deployment and observers of it, for tests that change the deployment meanwhile.
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

// The bound that the design page sets where it says "a few seconds".
inline constexpr milliseconds change_bound{5000};

// Headers of the fixture's client account.
header_map caller_headers(milliseconds deadline = patience);

// Empty when the answer is the whole answer of `suggest` to `input`, else what is wrong with it.
std::string check_pipeline(int status, const std::string& body, bool complete,
                           const std::string& input);

// One pipeline call on a fresh connection; empty when it was answered in full.
std::string call_pipeline(std::uint16_t port, const std::string& input);

// One call of the idempotent service operation; empty when the service answered it.
std::string call_status(std::uint16_t port);

// A kept-alive HTTP connection on a plain socket, which never repeats a request by itself.
class kept_connection
{
public:
    explicit kept_connection(std::uint16_t port);
    ~kept_connection();

    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;

    // False when the connection was refused or the server has closed it.
    bool is_open() const;

    // Sends a pipeline call.
    bool send(const std::string& input);

    struct answer
    {
        int status = 0; // 0: the connection ended first
        bool complete = false;
        bool closes = false; // the answer says Connection: close
        std::string body;
    };

    answer receive();

private:
    int socket_ = -1;
};

// A caller with one kept-alive connection. It leaves a VM that closes the connection for the next
// one of its list, as a caller behind a balancer does.
class kept_caller
{
public:
    explicit kept_caller(std::vector<std::uint16_t> ports);

    // Empty when the request was answered in full.
    std::string call(const std::string& input);

private:
    std::vector<std::uint16_t> ports_;
    std::size_t next_ = 0;
    std::unique_ptr<kept_connection> connection_;
};

// Threads that repeat a request until stopped. `make_request` returns the failure, or nothing.
class background_load
{
public:
    using request = std::function<std::string(std::size_t caller, std::size_t number)>;

    background_load(std::size_t callers, request make_request);
    ~background_load();

    // Lets the requests in hand end.
    void stop();

    std::size_t answered() const { return answered_; }
    std::string failures() const;

    // Waits until so many more requests were answered.
    bool wait_answers(std::size_t more) const;

private:
    request make_request_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> answered_{0};
    mutable std::mutex mutex_;
    std::string failures_;
    std::vector<std::thread> threads_;
};

// Pipeline calls on fresh connections, spread evenly over the VMs named.
background_load::request pipeline_load(const deployment& all, const std::vector<std::string>& vms);

// Reads the version in effect of all VMs again and again. Started and stopped while no VM is
// being restarted, or told with `pause` and `watch`.
class version_observer
{
public:
    explicit version_observer(const deployment& all);
    ~version_observer();

    // A VM that is replaced answers on another port from now on.
    void watch(const std::string& vm, std::uint16_t port);

    void stop();

    // What went backwards, empty if nothing did. A new process may answer 0 before it has a
    // configuration, but no other version below one that its predecessor had.
    std::string reversals() const;
    std::size_t samples() const { return samples_; }

private:
    void run();

    mutable std::mutex mutex_;
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::uint64_t> highest_;
    std::map<std::string, bool> starting_;
    std::string reversals_;
    std::atomic<std::size_t> samples_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Value of a gauge at a VM; nothing when it does not answer.
std::optional<std::uint64_t> gauge_of(std::uint16_t port, const std::string& name);

// Version in effect at a VM, from its metrics; nothing when it does not answer.
std::optional<std::uint64_t> version_of(std::uint16_t port);
bool all_have_version(const deployment& all, std::uint64_t version);

// Sum of a counter over the endpoints of a failure domain ("a" or "b").
std::uint64_t count_in_domain(const deployment& all, const std::string& letter,
                              const std::string& counter);

http_answer set_domain(const deployment& all, const std::string& vm, const std::string& domain,
                       const std::string& state);

// Writes `document` as the version after `expected`.
http_answer put_config(const deployment& all, const std::string& vm, std::uint64_t expected,
                       const web::json::value& document);

// The document in effect at the VM, without version and author.
web::json::value config_of(const deployment& all, const std::string& vm);

// Replaces text in a VM's settings file, for its next start.
void edit_settings(const deployment& all, const std::string& vm, const std::string& from,
                   const std::string& to);
void add_seeds(const deployment& all, const std::string& vm, const std::vector<std::string>& peers);

// Blocks until the time of the bound has passed since `start`.
void wait_until_bound(zinnianotch::time_point start, milliseconds bound = change_bound);

} // namespace fixture
