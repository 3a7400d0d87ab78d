// RPC between entry VMs. One thread runs the Cap'n Proto event loop; calling threads block until
// their call has ended.
#pragma once

#include "state/admission.h"
#include "state/routing.h"
#include "state/time.h"
#include "state/verdict.h"
#include "state/view.h"
#include "transport/http_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinnianotch
{

enum class vm_state
{
    starting,
    serving,
    draining
};

std::string_view to_string(vm_state value);

struct heartbeat
{
    vm_id vm;
    std::string domain;
    std::string address;
    vm_state state = vm_state::starting;
    std::uint64_t config_version = 0;
    std::uint64_t view_version = 0;
    std::vector<endpoint_summary> endpoints;
};

struct stage_call
{
    std::string request;
    std::string attempt;
    std::string account;
    std::uint32_t priority = 0;
    std::string pipeline;
    std::string stage;
    std::string pool;
    std::string endpoint;
    bool streaming = false;
    std::uint32_t max_tokens = 0;
    std::uint32_t resume_from = 0;
    milliseconds time_left{0};
    std::uint64_t config_version = 0;
    std::string input;
};

struct stage_output
{
    std::string attempt;
    std::string output;
    std::uint32_t tokens = 0;
    std::uint32_t status = 0; // HTTP status of a plain service's response
};

struct config_document
{
    std::uint64_t version = 0;
    std::string document;
};

// Receives tokens of a generation stage; `first` is the index of the first item. Returning false
// cancels the attempt. Called by one thread at a time.
using token_handler =
    std::function<bool(std::uint32_t first, const std::vector<std::string>& items)>;

// Handler of calls from other VMs, implemented by the coordination layer. on_heartbeat and
// on_fetch_config run on the event loop and must not block; on_run_stage runs on a worker thread.
class rpc_service
{
public:
    virtual ~rpc_service() = default;
    virtual heartbeat on_heartbeat(const heartbeat& beat) = 0;
    virtual config_document on_fetch_config() = 0;
    virtual result<stage_output> on_run_stage(const stage_call& call,
                                              const token_handler& on_tokens,
                                              const cancel_flag& cancelled) = 0;
};

struct rpc_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t workers = 256;      // threads for run_stage calls from other VMs
    std::size_t queue_length = 256; // waiting calls; further ones are refused as overloaded
    std::size_t max_inbound_connections = 1024; // further ones are closed
};

// Server and client of the Peer interface. run_stage, fetch_config and stop block the calling
// thread, which must not be that of the event loop.
class rpc_node
{
public:
    rpc_node(rpc_options options, rpc_service& service);
    ~rpc_node();

    rpc_node(const rpc_node&) = delete;
    rpc_node& operator=(const rpc_node&) = delete;

    void start();
    std::uint16_t port() const;

    // Sends a heartbeat without waiting; `on_reply` runs on the event loop when the reply arrives.
    // If there is none within peer_timeout, the connection is closed; the next call opens a new
    // one.
    void send_heartbeat(const std::string& address, const heartbeat& beat,
                        std::function<void(const heartbeat&)> on_reply);

    // Runs a stage on another VM. Fails with peer_unreachable and not_run if the connection could
    // not be opened, and with may_have_run if it broke or timed out after the call was sent.
    result<stage_output> run_stage(const std::string& address, const stage_call& call,
                                   const token_handler& on_tokens, const cancel_flag& cancelled);

    result<config_document> fetch_config(const std::string& address, milliseconds timeout);

    // Number of stage calls from other VMs in progress.
    std::size_t in_flight() const;

    // Closes all connections and joins the threads.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace zinnianotch
