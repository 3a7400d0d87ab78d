// A deployment of the serving path in one process: stand-ins for the store and for endpoints, entry
// VMs and a caller, all on one event loop. The stand-ins speak the platform's words and have faults
// that tests switch on.
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
// Far above any time that a test needs on a busy machine; only a failing test waits this long.
inline constexpr milliseconds patience{20000};

// Tables of rows with one counter of versions and a feed of changes.
class store_standin
{
public:
    explicit store_standin(boost::asio::io_context& io);

    // A further address of the store, so that it can turn one VM away and serve the others.
    std::size_t add_door();
    std::string address(std::size_t door) const;
    void turn_away(std::size_t door) { turned_away_.insert(door); }

    void put(const std::string& table, const std::string& key, const web::json::value& value);
    void put_bytes(const std::string& table, const std::string& key, const std::string& bytes);
    void remove(const std::string& table, const std::string& key);
    bool has(const std::string& table, const std::string& key) const;
    // Changes so far can no longer be followed, only listed.
    void forget_history() { history_from_ = version_; }

    int refuse_status = 0; // answers every call with this status; 0: serves
    bool silent = false;   // takes calls and never answers
    std::uint64_t calls = 0;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    struct waiting_feed
    {
        std::shared_ptr<zinnianotch::server_connection> client;
        std::size_t door = 0;
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(std::size_t door, const std::shared_ptr<zinnianotch::server_connection>& client,
                const zinnianotch::received_request& request);
    void list(const std::shared_ptr<zinnianotch::server_connection>& client,
              const std::map<std::string, std::string>& query);
    void feed(std::size_t door, const std::shared_ptr<zinnianotch::server_connection>& client,
              const std::map<std::string, std::string>& query);
    void change(const std::shared_ptr<zinnianotch::server_connection>& client,
                const std::string& body);
    bool answer_feed(const waiting_feed& feed, bool even_if_empty);
    void changed();
    void answer(const std::shared_ptr<zinnianotch::server_connection>& client, int status,
                const std::string& body);

    boost::asio::io_context& io_;
    std::vector<std::unique_ptr<zinnianotch::server_listener>> doors_;
    std::set<std::size_t> turned_away_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 1;
    std::uint64_t history_from_ = 0;
    std::vector<waiting_feed> feeds_;
};

// What an endpoint was sent.
struct seen_request
{
    std::string method;
    std::string target;
    std::string attempt;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
};

// A model engine, a stage's endpoint or a plain service, as its faults and its requests say.
class endpoint_standin
{
public:
    endpoint_standin(boost::asio::io_context& io, std::string id);

    const std::string& id() const { return id_; }
    std::string address() const;

    // Events of a stream; 0: a plain answer.
    int events = 0;
    milliseconds work{1};        // before the answer
    milliseconds event_pause{1}; // between events
    // Faults.
    int fail_next = 0; // answers so many requests with fail_status
    int fail_status = 500;
    bool fail_says_not_run = false;
    int break_before_answer = 0;     // closes so many connections instead of answering
    int break_after_event = -1;      // resets the connection once, in the middle of the next event
    bool stray_answer_first = false; // sends another request's answer before its own
    bool extra_bytes = false;        // sends bytes behind a whole answer
    bool unframed = false;           // no length; the answer ends with the connection
    bool mute = false;               // takes requests and never answers
    std::string piece_reason;        // every piece fails for this reason
    bool first_piece_fails = false;  // of each call, for the reason "error"
    bool inputs_gone_once = false;   // says once that an input is gone
    std::size_t result_limit = SIZE_MAX; // results that it keeps until they are freed

    std::vector<seen_request> seen;
    std::map<std::string, int> ran; // runs by attempt; refused ones do not count
    std::vector<std::string> freed;
    std::size_t pieces_made = 0;
    std::size_t pieces_without_room = 0;
    std::size_t left = 0; // callers that closed their connection before the answer

private:
    void handle(const std::shared_ptr<zinnianotch::server_connection>& client,
                const zinnianotch::received_request& request);
    void run_pieces(const std::shared_ptr<zinnianotch::server_connection>& client,
                    const std::string& body);
    void answer(const std::shared_ptr<zinnianotch::server_connection>& client,
                const seen_request& request);
    void stream(const std::shared_ptr<zinnianotch::server_connection>& client,
                const std::string& attempt, int next);
    void after(milliseconds time, std::function<void()> then);

    boost::asio::io_context& io_;
    std::string id_;
    zinnianotch::server_listener listener_;
    int next_handle_ = 0;
};

// One request of a caller and what came of it.
class caller : public zinnianotch::upstream_response_handler
{
public:
    caller(boost::asio::io_context& io, const std::string& address, const std::string& request);

    bool matches_request(const zinnianotch::message_head&) override { return true; }
    void on_head(zinnianotch::message_head& head, zinnianotch::body_framing framing,
                 std::optional<std::uint64_t> length) override;
    void on_body(std::string bytes) override { body += bytes; }
    void on_end() override { done = true; }
    void on_failure(zinnianotch::upstream_failure why) override;
    void leave() { connection_->cancel(); }

    zinnianotch::message_head head;
    std::string body;
    bool done = false;
    std::optional<zinnianotch::upstream_failure> failure;
    bool ended() const { return done || failure.has_value(); }

private:
    zinnianotch::upstream_pool pool_;
    std::shared_ptr<zinnianotch::upstream_connection> connection_;
};

// Text of a request with the given attempt id; `fields` are further lines with their line ends.
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& attempt, const std::string& fields = {},
                         const std::string& body = {});

class deployment
{
public:
    deployment();
    ~deployment();

    // Adds an endpoint and lists it in the store.
    endpoint_standin& add_endpoint(const std::string& service, const std::string& id,
                                   const std::string& domain = "dom-a");
    void list_endpoint(const std::string& service, const endpoint_standin& endpoint,
                       const std::string& domain, const std::string& state = "ready",
                       std::int64_t born = 1);
    // Adds an entry VM; its number is returned.
    std::size_t add_vm();
    void stop_vm(std::size_t vm) { vms_[vm]->begin_stop(); }
    // Ends a VM at once, as a crash does.
    void kill_vm(std::size_t vm) { vms_[vm].reset(); }
    bool is_ready(std::size_t vm) const { return vms_[vm]->is_ready(); }
    std::string address(std::size_t vm) const;
    zinnianotch::edge<zinnianotch::platform::codec>& vm(std::size_t number)
    {
        return *vms_[number];
    }

    // Writes the desired state: the routes of `routes` and the services that tests use.
    void configure(std::uint64_t version);

    std::unique_ptr<caller> call(std::size_t vm, const std::string& request);
    // Sends a request and waits for its end.
    std::unique_ptr<caller> ask(std::size_t vm, const std::string& request);
    // Asks a VM at its metrics address.
    std::unique_ptr<caller> ask_operations(std::size_t vm, const std::string& target);

    // Runs the loop until the condition holds; false when it does not in time.
    bool run_until(const std::function<bool()>& condition, milliseconds limit = patience);
    void run_for(milliseconds time);

    boost::asio::io_context io;
    store_standin store;
    // Routes by their path prefix; tests change them before configure().
    std::map<std::string, web::json::value> routes;
    web::json::value accounts = web::json::value::array();
    zinnianotch::fleet_limits limits;
    double stage_room_mb = 10.0; // for results at each endpoint of a stage

private:
    std::deque<std::unique_ptr<endpoint_standin>> endpoints_;
    std::vector<std::unique_ptr<zinnianotch::edge<zinnianotch::platform::codec>>> vms_;
};

web::json::value route(const std::string& kind, const std::string& service);

} // namespace serving
