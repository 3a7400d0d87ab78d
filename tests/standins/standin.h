// Stand-ins: test doubles of the platform's services and of the endpoints, with fault injection.
// Tests set the faults and read counters over HTTP at /control.
#pragma once

#include "session.h"

#include <cpprest/json.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace standins
{

struct options
{
    std::string role;
    std::string stage = "encoder"; // a stage outputs "<stage>(<input>)"
    std::string vms;               // names listed as live at startup, comma-separated
    int port = 0;
    int capacity = 16;
    int cold_capacity = 2;
    int cold_ms = 0; // time until warm; 0: starts warm, negative: cold until set by /control
    int work_ms = 0; // time to a complete response, or to the first token
    int token_ms = 1;
    int seed = 1;
};

// Faults to inject, set by POST /control under these names. Percentages are probabilities, sampled
// from the generator with the given seed.
struct faults
{
    bool leaving = false;         // value in the load report
    bool down = false;            // every connection is closed without a response
    bool swap_attempts = false;   // responds with attempt and result of the previous request
    bool duplicate_lines = false; // each token line is sent twice
    int delay_ms = 0;             // added to work_ms (endpoints) or to each request (platform)
    int fail_percent = 0;         // status 500 (endpoints) or 503 (platform), without effect
    int lose_answers_percent = 0; // work or write takes effect, but no response is sent
    int cut_after_tokens = 0;     // connection closed after this many tokens; 0: never
    head_fault head;              // of each response, by the names invalid_status and invalid_lines
};

// Base class of all roles: the control interface and fault injection.
class standin
{
public:
    explicit standin(const options& opts);
    virtual ~standin() = default;

    void serve(session& client);

protected:
    // Handles a request other than /control; `injected` holds the faults active at its arrival.
    virtual void handle(session& client, const faults& injected) = 0;

    // Role-specific parts of /control, called with mutex held: settings of a POST, and counters of
    // the response.
    virtual void apply_control(const web::json::value&) {}
    virtual void add_counters(web::json::value&) {}

    // Returns true with a probability of `percent`. Call without mutex held.
    bool sample_bernoulli(int percent);

    bool is_down();

    const options settings;
    std::mutex mutex;
    faults active_faults;

private:
    void handle_control(session& client);

    std::mt19937_64 random_;
    std::uint64_t requests_ = 0; // all except /control and /load
};

std::unique_ptr<standin> make_table(const options& opts);
std::unique_ptr<standin> make_vm_list(const options& opts);
std::unique_ptr<standin> make_endpoint(const options& opts); // engine, stage or service

} // namespace standins
