// Status of one VM, as shown to operators.
#pragma once

#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// How a VM currently uses an endpoint.
enum class endpoint_use
{
    used,
    cold,        // recently started: limited to this VM's share of the cold limit
    full,        // it recently refused a request for lack of capacity
    failing,     // most of its responses are errors: it only gets occasional probes
    unreachable, // no connection: the next attempt follows after a pause
    lapsed,      // its entry is missing after an outage of the store and may reappear
    draining,    // it is leaving: no new requests
    domain_out,  // its failure domain is out of service
    barred,      // a roll-out keeps all requests from it
    limited      // it has named how many requests it takes
};

std::string_view to_string(endpoint_use value);

struct endpoint_report
{
    std::string id;
    std::string service;
    std::string domain;
    std::string address;
    endpoint_use use = endpoint_use::used;
    std::uint32_t in_flight = 0;
    double load = 0.0; // requests at the endpoint, as estimated by this VM
};

struct table_report
{
    std::string name;
    std::uint64_t revision = 0;
    bool is_current = false;           // kept up to date by its source
    milliseconds last_response_age{0}; // of the source; undefined before the first response
    std::string source;                // "store", or the VM whose copy this one follows
};

// A request that is refused because endpoints crash under it.
struct held_request_report
{
    std::string digest;
    std::string route;
    std::size_t crashes = 0;
    milliseconds held_for{0};

    bool operator==(const held_request_report&) const = default;
};

struct rollout_status_report
{
    std::string service;
    std::string version;
    std::string phase;
    milliseconds age{0}; // of the order
};

struct vm_report
{
    std::string vm;
    std::string domain;
    std::string state;                       // starting, ready or stopping
    std::uint64_t desired_version = 0;       // 0 if there is none
    milliseconds desired_version_age{0};     // time since this VM applied it
    std::vector<std::string> vms;            // VMs listed in the store
    std::vector<std::string> batched_queues; // stage queues that this VM batches into calls
    bool is_relay = false;                   // reads the store for other VMs
    std::size_t links_up = 0;                // open connections to other VMs
    std::size_t active_requests = 0;
    std::vector<std::string> domains_out;
    std::vector<std::string> held_prompt_parts; // engines crash under them
    std::vector<held_request_report> held_requests;
    std::vector<rollout_status_report> rollouts;
    std::vector<table_report> tables;
    std::vector<endpoint_report> endpoints;
    std::map<std::string, std::uint64_t> refusals; // by reason
    std::map<std::string, std::uint64_t> retries;  // by reason
};

} // namespace zinnianotch
