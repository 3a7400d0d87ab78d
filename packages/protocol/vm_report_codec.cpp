#include "protocol/vm_report_codec.h"

#include "protocol/json_list.h"

namespace zinnianotch
{

namespace
{

using web::json::value;

value text(std::string_view content)
{
    return value::string(std::string(content));
}

value number(std::uint64_t content)
{
    return value::number(content);
}

value texts(const std::vector<std::string>& list)
{
    return write_list(list, text);
}

value encode_table(const table_report& table)
{
    value object = value::object();
    object["name"] = text(table.name);
    object["revision"] = number(table.revision);
    object["in_touch"] = value::boolean(table.is_current);
    object["answered_ms_ago"] = value::number(std::int64_t{table.last_response_age.count()});
    object["source"] = text(table.source);
    return object;
}

value encode_held_request(const held_request_report& held)
{
    value object = value::object();
    object["digest"] = text(held.digest);
    object["route"] = text(held.route);
    object["crashes"] = number(held.crashes);
    object["held_ms"] = value::number(std::int64_t{held.held_for.count()});
    return object;
}

value encode_rollout(const rollout_status_report& rollout)
{
    value object = value::object();
    object["service"] = text(rollout.service);
    object["version"] = text(rollout.version);
    object["phase"] = text(rollout.phase);
    object["age_ms"] = value::number(std::int64_t{rollout.age.count()});
    return object;
}

value encode_endpoint(const endpoint_report& endpoint)
{
    value object = value::object();
    object["id"] = text(endpoint.id);
    object["service"] = text(endpoint.service);
    object["failure_domain"] = text(endpoint.domain);
    object["address"] = text(endpoint.address);
    object["use"] = text(to_string(endpoint.use));
    object["in_flight"] = number(endpoint.in_flight);
    object["load"] = value::number(endpoint.load);
    return object;
}

} // namespace

std::string encode_report(const vm_report& report)
{
    value object = value::object();
    object["vm"] = text(report.vm);
    object["failure_domain"] = text(report.domain);
    object["state"] = text(report.state);
    object["desired_version"] = number(report.desired_version);
    object["desired_ms"] = value::number(std::int64_t{report.desired_version_age.count()});
    object["vms"] = texts(report.vms);
    object["gathers"] = texts(report.batched_queues);
    object["relay"] = value::boolean(report.is_relay);
    object["links_up"] = number(report.links_up);
    object["requests_in_hand"] = number(report.active_requests);
    object["domains_out"] = texts(report.domains_out);
    object["held_prompt_parts"] = texts(report.held_prompt_parts);
    object["held_requests"] = write_list(report.held_requests, encode_held_request);
    object["rollouts"] = write_list(report.rollouts, encode_rollout);
    object["tables"] = write_list(report.tables, encode_table);
    object["endpoints"] = write_list(report.endpoints, encode_endpoint);
    object["refusals"] = write_counts(report.refusals);
    object["retries"] = write_counts(report.retries);
    return object.serialize();
}

} // namespace zinnianotch
