// What one VM believes and does, as operators ask for it. Plain data.
#pragma once

#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// How a VM treats an endpoint at the moment.
enum class endpoint_use
{
    used,
    cold,        // just started: it gets its part of the cold limit only
    full,        // it refused a request for want of room a moment ago
    failing,     // most of its answers fail: it gets a trial now and then
    unreachable, // no connection: the next trial comes after a pause
    lapsed,      // its entry is missing since the store was away; it may come back
    draining,    // it leaves: no new work
    domain_out   // its failure domain is out of service
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
    double load = 0.0; // requests at the endpoint as far as this VM can tell
};

struct table_report
{
    std::string name;
    std::uint64_t revision = 0;
    bool in_touch = false;        // the store answered the last call
    milliseconds answered_ago{0}; // since the last answer; meaningless before the first one
};

struct vm_report
{
    std::string vm;
    std::string domain;
    std::string state;                 // starting, ready or stopping
    std::uint64_t desired_version = 0; // 0 while there is none
    milliseconds desired_for{0};       // since the version came into force here
    std::vector<std::string> vms;      // that the store lists
    std::vector<std::string> gathers;  // queues of stages that this VM gathers
    std::size_t links_up = 0;          // connections to other VMs
    std::size_t requests_in_hand = 0;
    std::vector<std::string> domains_out;
    std::vector<table_report> tables;
    std::vector<endpoint_report> endpoints;
    std::map<std::string, std::uint64_t> refusals; // by reason
    std::map<std::string, std::uint64_t> retries;  // by reason
};

} // namespace zinnianotch
