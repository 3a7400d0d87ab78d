// Stand-ins for the platform's services and for the endpoints, with faults that tests switch on.
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
    std::string stage = "encoder"; // name that a stage puts around its input
    std::string vms;               // names listed as live at the start, separated by commas
    int port = 0;
    int capacity = 16;
    int cold_capacity = 2;
    int cold_ms = 0; // time until warm; 0: warm at the start, negative: cold until told
    int work_ms = 0; // time for a whole answer, or to the first token
    int token_ms = 1;
    int seed = 1;
};

// Faults switched by POST /control, under these names. Percentages are drawn from the seeded
// generator.
struct faults
{
    bool leaving = false;         // shown in the load report
    bool down = false;            // every connection is closed without an answer
    bool swap_attempts = false;   // the answer is that of the request before
    bool duplicate_lines = false; // each token line is sent twice
    int delay_ms = 0;             // added to work (endpoints) or to each request (platform)
    int fail_percent = 0;         // answered 500 (endpoints) or 503 (platform), without effect
    int lose_answers_percent = 0; // work or write takes effect, connection closed unanswered
    int cut_after_tokens = 0;     // connection closed after so many tokens; 0: never
};

// What all roles share: the control interface and the drawing of faults.
class standin
{
public:
    explicit standin(const options& opts);
    virtual ~standin() = default;

    void serve(session& client);

protected:
    // Answers a request other than /control; `now` holds the faults at its arrival.
    virtual void handle(session& client, const faults& now) = 0;

    // Role-specific part of POST and GET /control, called with mutex held.
    virtual void control(const web::json::value&) {}
    virtual void report(web::json::value&) {}

    // Draws whether an event of the given probability happens.
    bool draw(int percent);

    bool is_down();

    const options settings;
    std::mutex mutex;
    faults switched;

private:
    void handle_control(session& client);

    std::mt19937_64 random_;
    std::uint64_t requests_ = 0; // all but /control and /load
};

std::unique_ptr<standin> make_table(const options& opts);
std::unique_ptr<standin> make_vm_list(const options& opts);
std::unique_ptr<standin> make_endpoint(const options& opts); // engine, stage or service

} // namespace standins
