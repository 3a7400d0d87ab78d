// Runs the serving path in one process: fake store, fake endpoints, entry VMs and clients, all on
// one event loop. The fakes implement the platform's protocols and inject faults that tests enable.
#pragma once

#include "coordination/edge.h"
#include "platform/codec.h"
#include "transport/server_connection.h"
#include "transport/upstream.h"

#include <cpprest/json.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace serving
{

using zinnianotch::milliseconds;
using zinnianotch::time_point;

inline constexpr const char* loopback = "127.0.0.1";
// Default limit of run_until. Well above what any test needs on a loaded machine, so only a failing
// test waits this long.
inline constexpr milliseconds run_timeout{20000};

// In-memory store: tables of rows, one version counter for all tables, and a change feed.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& io);

    // Opens another listening address and returns its index. With one address per VM, the store can
    // fail for one VM and serve the others.
    std::size_t add_listener();
    std::string address(std::size_t listener) const;
    // Calls at this address get status 503 from now on.
    void fail_listener(std::size_t listener) { failing_listeners_.insert(listener); }
    // Ends the effect of fail_listener.
    void restore_listener(std::size_t listener) { failing_listeners_.erase(listener); }
    // Calls at this address get no response from now on, nor do those in progress.
    void silence_listener(std::size_t listener) { silent_listeners_.insert(listener); }
    // Responses with rows of the table take this long from their first to their last byte.
    void slow_responses(const std::string& table, milliseconds duration)
    {
        response_times_[table] = duration;
    }
    std::uint64_t calls_at(std::size_t listener) const { return calls_at_[listener]; }

    void put(const std::string& table, const std::string& key, const web::json::value& document);
    void put_bytes(const std::string& table, const std::string& key, const std::string& bytes);
    void remove(const std::string& table, const std::string& key);
    bool has(const std::string& table, const std::string& key) const;
    // Null if there is no such row.
    web::json::value get(const std::string& table, const std::string& key) const;
    // Feeds that start before the current version get status 410 from now on.
    void discard_history() { history_from_ = version_; }
    // Keeps a copy of all tables.
    void save_copy();
    // Comes back from the copy: what was written since is gone, versions are given out again, and a
    // new era begins. Calls in progress get no response.
    void restore_copy();

    web::json::value page_version;      // given out instead of the version of a page, unless null
    int refuse_status = 0;              // status of the response to every call; 0: calls are served
    std::string success_status = "200"; // as sent in the status line
    std::string response_fields;        // added to all responses, each with its line end
    bool unresponsive = false;          // accepts calls and never responds
    std::uint64_t calls = 0;
    std::uint64_t writes = 0;         // received, including refused ones
    milliseconds next_write_delay{0}; // before the next write takes effect
    int lost_write_answers = 0;       // number of writes that take effect and get no response
    std::uint64_t conflicts = 0;      // writes whose condition did not hold
    // Values that transactions have written to the table of the status, by key.
    std::map<std::string, std::vector<web::json::value>> statuses;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    struct pending_feed
    {
        std::shared_ptr<zinnianotch::server_connection> client;
        std::size_t listener = 0;
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(std::size_t listener, const std::shared_ptr<zinnianotch::server_connection>& client,
                const zinnianotch::received_request& request);
    void list(const std::shared_ptr<zinnianotch::server_connection>& client,
              const std::map<std::string, std::string>& query);
    void feed(std::size_t listener, const std::shared_ptr<zinnianotch::server_connection>& client,
              const std::map<std::string, std::string>& query);
    void apply_transaction(const std::shared_ptr<zinnianotch::server_connection>& client,
                           const std::string& body);
    bool respond_to_feed(const pending_feed& feed, bool even_if_empty);
    void notify_feeds();
    std::string response(const std::string& status, const std::string& body) const;
    void respond(const std::shared_ptr<zinnianotch::server_connection>& client, int status,
                 const std::string& body);
    void send_in_parts(const std::shared_ptr<zinnianotch::server_connection>& client,
                       const std::string& rest, std::size_t part, milliseconds pause);

    boost::asio::io_context& io_;
    std::vector<std::unique_ptr<zinnianotch::server_listener>> listeners_;
    std::set<std::size_t> failing_listeners_;
    std::set<std::size_t> silent_listeners_;
    std::map<std::string, milliseconds> response_times_; // by table
    std::vector<std::uint64_t> calls_at_;                // by listener
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 1;
    std::uint64_t history_from_ = 0;
    std::uint64_t era_ = 1;
    std::map<std::pair<std::string, std::string>, row> copied_rows_;
    std::uint64_t copied_version_ = 0;
    std::vector<pending_feed> feeds_;
};

// A request as received by an endpoint.
struct recorded_request
{
    std::string method;
    std::string target;
    std::string attempt;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    time_point received_at{};
};

// Where an endpoint sends bytes that never end.
enum class endless_bytes
{
    none,
    in_head,
    in_chunk_header,
    interim_responses,
    in_refusal, // in the body of a refusal
    in_event,   // of a stream
    in_stage_results
};

// Where in an exchange a sound endpoint falls silent.
enum class silence_point
{
    none,
    before_accept,     // of a new connection
    before_reading,    // of a request, on any connection
    before_head,       // the request is read
    within_head,       // half of it is sent
    between_events,    // after event number `silent_after_event`; 0: after the head
    within_event,      // after half of the event that follows `silent_after_event`
    within_plain_body, // half of it is sent
    before_last_byte,  // of a response that has a length or ends with a chunk
    before_close,      // of the connection that ends a response without a length
    after_close,       // of that connection
    before_stage_results
};

// Acts as a model engine, as an endpoint of a stage, or as a plain service, depending on the
// request and on `event_count`.
class fake_endpoint
{
public:
    fake_endpoint(boost::asio::io_context& io, std::string id);

    const std::string& id() const { return id_; }
    std::string address() const;
    std::string version = "v1"; // of its software

    // Events per streamed response; 0: responses are not streamed.
    int event_count = 0;
    std::size_t filler_bytes = 0;    // added to the body of responses that are not streamed
    std::size_t event_bytes = 0;     // added to each event
    milliseconds processing_time{1}; // delay before the response
    milliseconds event_interval{1};  // delay between events

    // Faults.
    int fail_next = 0;                                  // number of requests that get fail_status
    std::function<bool(const recorded_request&)> fails; // such requests get fail_status too
    int fail_status = 500;
    bool fail_as_not_run = false;    // such responses have a Not-Executed field
    int break_before_answer = 0;     // number of connections closed instead of responding
    int break_in_body = 0;           // number of connections aborted in the middle of a plain body
    milliseconds break_delay{50};    // from the last byte of such a body to the abort
    int break_after_event = -1;      // aborts the connection once, within the next event
    bool stray_answer_first = false; // first sends the response to another request
    bool extra_bytes = false;        // sends bytes after a complete response
    int end_in_event_after = -1;     // ends the stream in order once, within the next event
    int empty_streams = 0;           // number of streams that end in order before the first event
    int crash_in_answer = -1;     // crashes for good once this many events or body bytes are sent
    int end_in_head = 0;          // number of responses that end in order within their head
    bool close_delimited = false; // no length; the end of the connection ends the response
    endless_bytes endless = endless_bytes::none;
    int stall_after_event = -1;         // then sends a byte now and then, once
    bool repeats_answer_late = false;   // sends its previous answer again before the next one
    bool repeats_results_early = false; // those of the last call as soon as the next arrives, once
    bool repeats_refusal_late = false; // as soon as the next request on the same connection arrives
    bool refusals_have_id = false;     // refusals name the request that they answer
    bool refusal_copies_have_id = false; // as well
    std::string refusal_fields;          // added to refusals, each with its line end
    std::string answer_fields;           // added to all other responses
    std::string success_status = "200";  // as sent in the status line
    bool never_responds = false;         // accepts requests and never responds
    std::string piece_failure_reason;    // if set, every piece fails with it
    bool first_piece_fails = false;      // of each call, with the reason "error"
    bool inputs_gone_once = false;       // reports once that an input is gone (409)
    std::size_t result_limit = SIZE_MAX; // maximum of results held until they are freed
    std::string crash_part;              // crashes as it begins to answer a prompt with this part
    // Crashes crash_delay after it begins to run such a request.
    std::function<bool(const recorded_request&)> is_crashing;
    int crash_events = 0; // sent before a crash under a part or such a request
    milliseconds crash_delay{60};
    bool refuses_after_crash = false; // accepts no connection before restart()
    std::function<void()> on_crash;
    bool exits_after_answer = false; // with the end of its next response that has no length
    std::function<void()> on_exit;

    // Silences of a sound endpoint: for this long it reads and sends nothing on any connection, as
    // a process that is paused, and then goes on where it was.
    silence_point silent_at = silence_point::none;
    int silences_left = 0; // number of requests at which it falls silent there
    int silent_after_event = 2;
    milliseconds silence_time{1500};
    std::size_t silences = 0;
    void fall_silent(milliseconds time);
    bool is_silent() const { return silences_in_progress_ > 0; }

    std::vector<recorded_request> requests;
    std::map<std::string, int> executions;       // by attempt; without refused ones
    std::map<std::string, std::string> made_for; // result handle: attempt
    std::vector<std::string> freed;
    std::vector<time_point> arrivals; // of requests of any kind
    std::size_t pieces_completed = 0;
    std::size_t pieces_rejected = 0;     // because of result_limit
    std::size_t endless_connections = 0; // on which endless bytes were sent
    std::size_t endless_closed = 0;      // of these, closed by the client
    std::size_t endless_bytes_sent = 0;
    std::size_t disconnects = 0; // connections closed by the client before the response
    std::size_t crashes = 0;

    // Breaks all connections, and every later one until restart(). With close_delimited, those with
    // a request are closed in order, so that a response without a length looks complete, and later
    // requests meet another endpoint at the address.
    void crash();
    // As crash(), and no connection is accepted any more.
    void crash_for_good();
    // Accepts no connection any more; those with a request go on.
    void exit_in_order();
    // With refuses_after_crash, at another address.
    void restart();

private:
    void receive(const std::shared_ptr<zinnianotch::server_connection>& client,
                 const zinnianotch::received_request& request);
    void handle(const std::shared_ptr<zinnianotch::server_connection>& client,
                const zinnianotch::received_request& request);
    // Falls silent if that is due at this point.
    bool falls_silent(silence_point point);
    // Runs the callback, as soon as the endpoint is no longer silent.
    void run_unless_silent(std::function<void()> callback);
    // Sends a response that is not streamed, with the silence within it that is due.
    void send_response(const std::shared_ptr<zinnianotch::server_connection>& client,
                       const std::string& text, bool keep_alive);
    void run_pieces(const std::shared_ptr<zinnianotch::server_connection>& client,
                    const std::string& body);
    void respond(const std::shared_ptr<zinnianotch::server_connection>& client,
                 const recorded_request& request);
    // Sends the next event; the head of the response has set its framing.
    void stream(const std::shared_ptr<zinnianotch::server_connection>& client,
                const std::string& attempt, int next, bool until_close);
    void refuse(const std::shared_ptr<zinnianotch::server_connection>& client, int status,
                const std::string& attempt);
    void send_refusal_copy(const std::shared_ptr<zinnianotch::server_connection>& client);
    void send_endless(const std::shared_ptr<zinnianotch::server_connection>& client);
    void stall(const std::shared_ptr<zinnianotch::server_connection>& client);
    void run_after(milliseconds time, std::function<void()> callback);
    std::unique_ptr<zinnianotch::server_listener> make_listener();

    boost::asio::io_context& io_;
    std::string id_;
    std::unique_ptr<zinnianotch::server_listener> listener_;
    int next_handle_ = 0;
    std::weak_ptr<zinnianotch::server_connection> refused_on_;
    std::string refusal_copy_;
    std::string last_answer_;
    std::weak_ptr<zinnianotch::server_connection> answered_on_; // results of a stage
    bool is_crashed_ = false;
    int silences_in_progress_ = 0;
    std::deque<std::function<void()>> held_back_; // until the silence is over
    std::vector<std::weak_ptr<zinnianotch::server_connection>> clients_;
};

// One request of a client and its response, or several in turn on a kept connection.
class client_exchange : public zinnianotch::upstream_response_handler
{
public:
    client_exchange(boost::asio::io_context& io, const std::string& address,
                    const std::string& request);

    bool matches_request(const zinnianotch::message_head&) override { return true; }
    void on_head(zinnianotch::message_head& head, zinnianotch::body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override { body += bytes; }
    void on_end() override;
    void on_failure(zinnianotch::upstream_failure cause) override;
    void disconnect() { connection_->cancel(); }
    // Stops or resumes reading the response.
    void set_paused(bool paused) { connection_->set_paused(paused); }
    // Sends another request, on the same connection unless that was closed.
    void send_next(const std::string& request);
    // True if the request was sent on a connection that had been used before.
    bool is_reused() const { return is_reused_; }

    zinnianotch::message_head head;
    std::string body;
    bool done = false;
    std::optional<zinnianotch::upstream_failure> failure;
    bool ended() const { return done || failure.has_value(); }
    time_point ended_at{};

private:
    zinnianotch::upstream_pool pool_;
    std::shared_ptr<zinnianotch::upstream_connection> connection_;
    bool is_reused_ = false; // a connection that is replaced forgets it
};

// Body of a stream with this number of events, as a fake_endpoint sends it.
std::string events_text(int count);

// A request with the given attempt id as HTTP text; `fields` are further header lines, each with
// its line end.
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& attempt, const std::string& fields = {},
                         const std::string& body = {});

class deployment
{
public:
    deployment();
    ~deployment();

    // Adds an endpoint and publishes it in the store.
    fake_endpoint& add_endpoint(const std::string& service, const std::string& id,
                                const std::string& domain = "dom-a",
                                const std::string& version = "v1");
    // Writes the endpoint's entry to the store, or replaces it.
    void publish_endpoint(const std::string& service, const fake_endpoint& endpoint,
                          const std::string& domain, const std::string& state = "ready",
                          std::int64_t born = 1);
    // The same for an endpoint at the address that is no fake.
    void publish_address(const std::string& service, const std::string& id,
                         const std::string& address, const std::string& domain);
    // Writes the order to move the service to the version.
    void order_rollout(const std::string& service, const std::string& version,
                       milliseconds duration);
    // State of the last order: running, completed or rolled_back; empty if there is none yet.
    std::string rollout_state(const std::string& service) const;
    // Adds an entry VM and returns its index.
    std::size_t add_vm();
    // The store fails for one VM until that has lost it, and then answers it again. Meanwhile the
    // entry of the endpoint changes all the time. False if that takes too long.
    bool lose_store(std::size_t vm, const fake_endpoint& endpoint);
    void stop_vm(std::size_t vm) { vms_[vm]->begin_stop(); }
    // Stops a VM without shutdown, as a crash does.
    void kill_vm(std::size_t vm) { vms_[vm].reset(); }
    bool is_ready(std::size_t vm) const { return vms_[vm]->is_ready(); }
    std::string address(std::size_t vm) const;
    zinnianotch::edge<zinnianotch::platform::codec>& vm(std::size_t number)
    {
        return *vms_[number];
    }

    // Writes the desired state to the store: `routes`, `accounts` and the services that tests use.
    // Gives the route /stream/ one stage, run by the service encoders; call it before `configure`.
    void add_stage();
    void configure(std::uint64_t version);

    std::unique_ptr<client_exchange> start_request(std::size_t vm, const std::string& request);
    // Sends a request and waits until the exchange has ended.
    std::unique_ptr<client_exchange> send_and_wait(std::size_t vm, const std::string& request);
    // Sends a GET request to a VM's metrics port and waits until the exchange has ended.
    std::unique_ptr<client_exchange> get_from_metrics_port(std::size_t vm,
                                                           const std::string& target);

    // Runs the event loop until the condition holds. False if it does not hold within `limit`.
    bool run_until(const std::function<bool()>& condition, milliseconds limit = run_timeout);
    void run_for(milliseconds time);

    boost::asio::io_context io;
    fake_store store;
    // Routes by path prefix; changes take effect with the next configure().
    std::map<std::string, web::json::value> routes;
    web::json::value accounts = web::json::value::array();
    web::json::value client_limits = web::json::value::object(); // those missing have defaults
    zinnianotch::fleet_limits limits;
    milliseconds stop_grace{8000};
    std::uint64_t memory_bytes = 0;        // of a VM; 0: not known
    std::int64_t engine_memory_tokens = 0; // of each engine; 0: not known
    double result_memory_mb = 10.0;        // per endpoint of a stage
    milliseconds stage_call_time{20};
    std::vector<std::string> further_services; // without stages, in the desired state

private:
    std::deque<std::unique_ptr<fake_endpoint>> endpoints_;
    std::vector<std::unique_ptr<zinnianotch::edge<zinnianotch::platform::codec>>> vms_;
};

// Two endpoints of the plain service, and two engines that send five events.
struct four_endpoint_deployment : deployment
{
    four_endpoint_deployment();
    // Writes the desired state and adds a VM. False if that does not become ready with all
    // endpoints.
    bool start();

    fake_endpoint& plain_1 = add_endpoint("plain", "plain-1");
    fake_endpoint& plain_2 = add_endpoint("plain", "plain-2");
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& engine_2 = add_endpoint("engines", "engine-2");
};

web::json::value route(const std::string& kind, const std::string& service);

} // namespace serving
