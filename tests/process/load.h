// Load generator for the pipeline `suggest`, which checks each token of the responses, and
// functions that read the status of a deployment, for tests with injected faults.
#pragma once

#include "fixture.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fixture
{

enum class response_outcome
{
    complete,
    failed,    // an error, as the response or as its last line
    truncated, // no last line of type end or error
    incorrect  // a token of another request, duplicated or missing
};

struct response_check
{
    response_outcome outcome = response_outcome::truncated;
    std::string detail;         // reason of the error, or description of the mismatch
    std::string endpoint;       // of the last attempt of the last stage
    std::uint64_t attempts = 0; // of the last stage
    std::size_t tokens = 0;     // number of correct tokens
};

// Compares each token with `expected`, also in a response that is truncated or ends with an error.
response_check check_stream_response(const http_stream_result& result,
                                     const std::vector<std::string>& expected);

using expected_tokens_function = std::function<std::vector<std::string>(const std::string& input)>;

struct load_options
{
    std::vector<std::string> vms; // each is called by threads_per_vm threads
    int threads_per_vm = 4;
    // Total number of requests; a thread retries each at the next VM until its response is
    // complete. 0: sends new requests until stop(), without retries.
    std::uint64_t requests = 0;
    std::uint64_t seed = 1;
    milliseconds deadline{5000};
    // Percentage of requests whose caller closes the connection after the first line.
    int disconnect_percent = 0;
    expected_tokens_function expected = deployment::expected_tokens;
};

class load_generator
{
public:
    load_generator(const deployment& cluster, load_options options);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    // Reads the ports of the VMs from the deployment; must be called after a VM was restarted.
    void update_ports();

    // Waits until all `requests` are complete; false on timeout.
    bool wait_finished(milliseconds timeout) const;

    // Waits for the requests in progress and joins the threads. Returns at once if no VM is
    // running, as requests then fail immediately.
    void stop();

    std::uint64_t count(response_outcome outcome) const;
    // Requests whose caller closed the connection.
    std::uint64_t disconnected() const { return disconnected_; }

    // Retries after a failure.
    std::uint64_t retried() const { return retried_; }

    // Counters and the first incorrect response.
    std::string summary() const;

private:
    void run(std::size_t thread);
    void run_request(std::size_t first_vm, const std::string& input, bool disconnects);
    void record(const response_check& check, const std::string& input);

    const deployment& cluster_;
    const load_options options_;
    std::vector<std::atomic<std::uint16_t>> ports_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> started_{0};
    std::atomic<std::uint64_t> disconnected_{0};
    std::atomic<std::uint64_t> retried_{0};
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::map<response_outcome, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> failure_reasons_;
    std::string first_incorrect_;
    std::vector<std::thread> threads_;
};

// Entry of an endpoint in the status of a VM; nullopt if the VM does not respond or lacks the
// endpoint.
std::optional<web::json::value> endpoint_status(const deployment& cluster, const std::string& vm,
                                                const std::string& endpoint);

// Waits until `vm` reports an owner of the endpoint and returns the name of that VM. Throws on
// timeout.
std::string wait_owner(const deployment& cluster, const std::string& vm,
                       const std::string& endpoint);

// Waits until each of the VMs has a view with exactly `members` members and no former ones; until
// then endpoints may change owners. False on timeout.
bool wait_view(const deployment& cluster, const std::vector<std::string>& vms, std::size_t members);

// Value of the first line of /metrics that begins with `name`; 0 if there is none.
std::uint64_t read_metric(const deployment& cluster, const std::string& vm,
                          const std::string& name);

// Reduces the pipeline to its generation stage and the pool `generators` to `endpoints`.
void keep_generation_only(web::json::value& document, const std::vector<std::string>& endpoints);

// Removes all failure domains but dom-a, with their endpoints.
void keep_first_domain_only(web::json::value& document);

// Token texts of a complete response to `input` after keep_generation_only().
std::vector<std::string> expected_generated_tokens(const std::string& input);

} // namespace fixture
