// Load of many callers on the pipeline `suggest`, with answers checked token by token, and views of
// a deployment that failure tests share.
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

enum class answer_kind
{
    complete,
    failed, // an honest error, as the answer or as the last line
    cut,    // no closing line
    wrong   // a token of another request, a repeated or a missing token
};

struct checked_answer
{
    answer_kind kind = answer_kind::cut;
    std::string detail;         // reason of an error, or what is wrong
    std::string endpoint;       // of the last stage's last attempt
    std::uint64_t attempts = 0; // of the last stage
    std::size_t tokens = 0;     // correct ones
};

// Compares each token with `expected`, also in an answer that is cut or ends with an error.
checked_answer check_answer(const http_lines& answer, const std::vector<std::string>& expected);

using expected_tokens_function = std::function<std::vector<std::string>(const std::string& input)>;

struct load_options
{
    std::vector<std::string> vms; // each is called by threads_per_vm threads
    int threads_per_vm = 4;
    // Requests in all; a thread repeats each at the next VM until the answer is complete. 0: sends
    // new requests until stop().
    std::uint64_t requests = 0;
    std::uint64_t seed = 1;
    milliseconds deadline{5000};
    int leave_percent = 0; // callers that leave after the first token
    expected_tokens_function expected = deployment::expected_tokens;
};

class load
{
public:
    load(const deployment& all, load_options options);
    ~load();

    load(const load&) = delete;
    load& operator=(const load&) = delete;

    // Reads the present ports of the VMs; call it after a VM was started again.
    void update_ports();

    // Waits for all `requests`; false when they are not complete in time.
    bool wait_finished(milliseconds limit) const;

    // Ends the threads after their requests in progress. Without living VMs that is at once.
    void stop();

    std::uint64_t count(answer_kind kind) const;
    std::uint64_t left() const { return left_; }         // callers that left
    std::uint64_t repeated() const { return repeated_; } // requests sent again after a failure
    std::string summary() const;                         // counts and the first wrong answer

private:
    void run(std::size_t thread);
    void run_request(std::size_t first_vm, const std::string& input, bool leaves);
    void record(const checked_answer& answer, const std::string& input);

    const deployment& all_;
    const load_options options_;
    std::vector<std::atomic<std::uint16_t>> ports_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> taken_{0};
    std::atomic<std::uint64_t> left_{0};
    std::atomic<std::uint64_t> repeated_{0};
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::map<answer_kind, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> reasons_;
    std::string first_wrong_;
    std::vector<std::thread> threads_;
};

// Entry of an endpoint in the status of a VM; nothing when the VM does not answer.
std::optional<web::json::value> endpoint_status(const deployment& all, const std::string& vm,
                                                const std::string& endpoint);

// Name of the VM that owns the endpoint by the status of `vm`; waits until there is one.
std::string wait_owner(const deployment& all, const std::string& vm, const std::string& endpoint);

// Waits until each of the VMs adopted a view of exactly `members` members and no unsettled former
// ones; until then endpoints may change their owners. False when that doesn't happen.
bool wait_view(const deployment& all, const std::vector<std::string>& vms, std::size_t members);

// Value of a line of /metrics that begins with `name`, 0 when there is none.
std::uint64_t metric(const deployment& all, const std::string& vm, const std::string& name);

// Reduces the configuration to one generation stage at `endpoints` of the pool `generators`.
void keep_generation_only(web::json::value& document, const std::vector<std::string>& endpoints);

// Reduces the configuration to the failure domain dom-a and the endpoints in it.
void keep_first_domain_only(web::json::value& document);

// The answer of a pipeline that keep_generation_only left.
std::vector<std::string> generated_tokens(const std::string& input);

} // namespace fixture
