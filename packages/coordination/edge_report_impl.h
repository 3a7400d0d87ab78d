// Operator endpoints of edge: metrics, VM status and the log lines of one request.
#pragma once

#include "coordination/edge.h"
#include "protocol/vm_report_codec.h"
#include "transport/log.h"

namespace zinnianotch
{

namespace edge_detail
{

// Paths on the metrics address; any other path returns the metrics.
inline constexpr std::string_view status_path = "/vm/status";
inline constexpr std::string_view request_path = "/vm/requests/";

inline milliseconds since(time_point earlier, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - earlier);
}

} // namespace edge_detail

template <typename Codec>
std::vector<std::string> edge<Codec>::batched_queues()
{
    std::vector<std::string> queues;
    for (const auto& [service, shards] : shards_)
    {
        for (const stage_shard& shard : shards)
        {
            const std::string queue = queue_name(service, shard.domain);
            if (stage_router_.is_batcher_of(queue))
                queues.push_back(queue);
        }
    }
    return queues;
}

template <typename Codec>
vm_report edge<Codec>::report(time_point now)
{
    vm_report result;
    result.vm = options_.vm;
    result.domain = options_.domain;
    result.state = is_ready() ? "ready" : "starting";
    if (stop_)
        result.state = "stopping";
    result.desired_version = desired_version();
    if (state_)
        result.desired_version_age = edge_detail::since(state_since_, now);
    for (const auto& [name, vm] : known_vms_)
        result.vms.push_back(name);
    result.batched_queues = batched_queues();
    result.links_up = links_up();
    result.active_requests = exchanges_.size();
    result.domains_out = endpoints_.domains_out();
    result.held_prompt_parts = crash_suspects_.held_parts(now);
    result.held_requests = crashing_requests_.held_requests(now);
    if (rollouts_)
    {
        for (const rollout_status& rollout : rollouts_->status(now))
            result.rollouts.push_back({rollout.service, rollout.version,
                                       std::string(to_string(rollout.phase)), rollout.age});
    }
    for (const state_table table : all_state_tables)
    {
        const state_follower<Codec>& followed = follower(table);
        table_report entry{std::string(to_string(table)), copy_of(table, now).position.revision,
                           is_current(table, now),
                           edge_detail::since(followed.last_response_at(), now), "store"};
        if (const auto origin = sources_.newest(table, now); origin && !followed.is_reading())
        {
            entry.source = origin->vm;
            entry.last_response_age = origin->age;
        }
        result.tables.push_back(std::move(entry));
    }
    result.is_relay = is_relay_;
    result.endpoints = endpoints_.report(now);
    for (endpoint_report& endpoint : result.endpoints)
    {
        if (lapsed_endpoints_.contains(endpoint.id))
            endpoint.use = endpoint_use::lapsed;
    }
    result.refusals = counters_.refusals_by_reason();
    result.retries = counters_.retries_by_reason();
    return result;
}

template <typename Codec>
void edge<Codec>::serve_operator_request(const std::shared_ptr<server_connection>& client,
                                         const std::string& target)
{
    if (target == edge_detail::status_path)
        return send_text_response(client, 200, encode_report(report(steady_clock::now())));
    if (!target.starts_with(edge_detail::request_path))
    {
        for (std::size_t i = 0; i < held_kind_count; ++i)
        {
            const auto kind = static_cast<held_kind>(i);
            counters_.set_gauge("held_" + std::string(to_string(kind)) + "_bytes",
                                static_cast<std::int64_t>(memory_->ledger.total(kind)));
        }
        counters_.set_gauge("held_bytes", static_cast<std::int64_t>(memory_->ledger.total()));
        counters_.set_gauge("held_bytes_bound", static_cast<std::int64_t>(memory_->ledger.bound()));
        return send_text_response(client, 200, counters_.scrape());
    }
    std::string body;
    for (const std::string& line :
         request_log_lines(target.substr(edge_detail::request_path.size())))
        body += line + "\n";
    send_text_response(client, body.empty() ? 404 : 200, body);
}

} // namespace zinnianotch
