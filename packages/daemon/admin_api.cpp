// Handlers of the administration API, /admin/v1: configuration, failure domains, exceptions, status
// and orders.
#include "coordination/random_id.h"
#include "daemon/api.h"
#include "protocol/codec.h"
#include "protocol/config_diff.h"
#include "protocol/json_list.h"
#include "transport/log.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace zinnianotch
{

namespace
{

constexpr milliseconds default_admin_deadline{10000};
constexpr milliseconds store_timeout{1000};
constexpr std::size_t max_history_versions = 100;
constexpr std::size_t default_history_versions = 20;

json to_json_array(const std::vector<std::string>& lines)
{
    json list = json::array(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
        list[i] = json(lines[i]);
    return list;
}

// Keeps the author of each unchanged exception and sets `author` on new and changed ones.
void set_authors(const configuration& before, configuration& after, const std::string& author)
{
    for (exception_config& exception : after.exceptions)
    {
        exception.author = author;
        for (const exception_config& previous : before.exceptions)
        {
            const bool same = previous.id == exception.id && previous.target == exception.target &&
                              previous.setting == exception.setting &&
                              previous.value == exception.value &&
                              previous.reason == exception.reason;
            if (same)
                exception.author = previous.author;
        }
    }
}

// Version conflict that names the version in effect, so that the operator can reapply the change
// to it.
failure configuration_conflict(std::uint64_t in_effect)
{
    failure error =
        not_run(reason::version_conflict, "the version in effect is " + std::to_string(in_effect));
    error.current_version = in_effect;
    return error;
}

json peer_status(const peer_info& peer, time_point now)
{
    json out = json::object();
    out["vm"] = json(peer.last_heartbeat.vm.name);
    out["failure_domain"] = json(peer.last_heartbeat.domain);
    out["address"] = json(peer.last_heartbeat.address);
    out["state"] = json(std::string(to_string(peer.last_heartbeat.state)));
    out["reachable"] = json(now - peer.last_heard <= peer_timeout);
    out["configuration_version"] = json::number(peer.last_heartbeat.config_version);
    return out;
}

} // namespace

void api::route_admin(const api_request& request, http_response& response)
{
    const std::string& method = request.http->method;
    const std::vector<std::string> path(request.path.begin() + 2, request.path.end());
    if (path == std::vector<std::string>{"config"} && method == "GET")
        return get_config(request, response);
    if (path == std::vector<std::string>{"config"} && method == "PUT")
        return put_config(request, response);
    if (path == std::vector<std::string>{"config", "history"} && method == "GET")
        return get_history(request, response);
    if (path.size() == 2 && path[0] == "domains" && method == "PUT")
        return put_domain(request, response);
    if (path == std::vector<std::string>{"exceptions"} && method == "POST")
        return post_exception(request, response);
    if (path.size() == 2 && path[0] == "exceptions" && method == "DELETE")
        return delete_exception(request, response);
    if (path == std::vector<std::string>{"status"} && method == "GET")
        return get_status(request, response);
    if (path.size() == 3 && path[0] == "orders" && method == "POST")
        return settle_order(request, response);
    send_error(request, response, not_run(reason::not_found, "no such route"));
}

void api::get_config(const api_request& request, http_response& response)
{
    const configuration_ptr config = node_.config().current();
    json body = write_configuration(*config);
    body["version"] = json::number(config->version);
    body["author"] = json(config->author);
    send_json(request, response, body, {{"ETag", "\"" + std::to_string(config->version) + "\""}});
}

void api::put_config(const api_request& request, http_response& response)
{
    result<time_point> deadline = deadline_of(request, default_admin_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    std::string_view condition = request.http->header("if-match");
    if (condition.size() >= 2 && condition.front() == '"' && condition.back() == '"')
        condition = condition.substr(1, condition.size() - 2);
    const std::optional<std::uint64_t> expected = parse_unsigned(condition);
    if (!expected)
        return send_error(
            request, response,
            not_run(reason::bad_request, "If-Match must be a configuration version in quotes"));
    result<json> body = parse_json(request.http->body);
    if (!body)
        return send_error(request, response, body.error());
    result<configuration> parsed = parse_configuration(body.value());
    if (!parsed)
        return send_error(request, response, parsed.error());

    node_.config().poll(store_timeout);
    const configuration_ptr before = node_.config().current();
    if (before->version != *expected)
        return send_error(request, response, configuration_conflict(before->version));
    result<json> answer = write_change(request, *before, std::move(parsed.value()), {},
                                       dry_run.value(), deadline.value());
    if (!answer)
        return send_error(request, response, answer.error());
    send_json(request, response, answer.value());
}

void api::get_history(const api_request& request, http_response& response)
{
    std::size_t limit = default_history_versions;
    const std::string_view limit_text = request.query_value("limit");
    if (!limit_text.empty())
    {
        const std::optional<std::uint64_t> number = parse_unsigned(limit_text);
        if (!number || *number < 1 || *number > max_history_versions)
            return send_error(request, response,
                              not_run(reason::bad_request, "limit must be from 1 to 100"));
        limit = static_cast<std::size_t>(*number);
    }
    result<std::vector<table_row>> rows = node_.config().history(limit, store_timeout);
    if (!rows)
        return send_error(request, response, rows.error());
    json versions = json::array(rows.value().size());
    for (std::size_t i = 0; i < rows.value().size(); ++i)
    {
        const table_row& row = rows.value()[i];
        json entry = json::object();
        entry["version"] = json::number(configuration_version(row.key));
        result<configuration_row> parsed = parse_configuration_row(row.value);
        if (parsed)
        {
            entry["author"] = json(parsed.value().author);
            entry["reason"] = json(parsed.value().reason);
            entry["changes"] = to_json_array(parsed.value().changes);
        }
        versions[i] = entry;
    }
    json body = json::object();
    body["versions"] = versions;
    send_json(request, response, body);
}

void api::put_domain(const api_request& request, http_response& response)
{
    result<json> body = parse_body(request, {"state", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    const std::string state = string_field(body.value(), "state");
    if (state != "in" && state != "out")
        return send_error(request, response,
                          not_run(reason::bad_request, "state must be in or out"));
    result<std::string> reason_text = required_string_field(body.value(), "reason");
    if (!reason_text)
        return send_error(request, response, reason_text.error());
    const std::string id = request.path[3];
    config_edit change;
    change.reason = reason_text.value();
    change.apply = [id, out = state == "out"](configuration& config) -> result<void>
    {
        for (domain_config& domain : config.domains)
        {
            if (domain.id != id)
                continue;
            domain.out = out;
            return outcome::success();
        }
        return not_run(reason::not_found, "no such failure domain");
    };
    change_config(request, response, change);
}

void api::post_exception(const api_request& request, http_response& response)
{
    result<json> body = parse_body(request, {"target", "setting", "value", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    exception_config added;
    added.id = "ex-" + random_id();
    for (auto [name, field] :
         {std::pair{"target", &added.target}, std::pair{"setting", &added.setting},
          std::pair{"reason", &added.reason}})
    {
        result<std::string> text = required_string_field(body.value(), name);
        if (!text)
            return send_error(request, response, text.error());
        *field = text.value();
    }
    const std::int64_t value = integer_field(body.value(), "value", -1);
    if (value < 0 || value > std::numeric_limits<std::uint32_t>::max())
        return send_error(
            request, response,
            not_run(reason::bad_request, "value must be a whole number from 0 to 4294967295"));
    added.value = static_cast<std::uint32_t>(value);
    added.author = request.identity.name;
    config_edit change;
    change.reason = added.reason;
    change.exception_id = added.id;
    change.apply = [added](configuration& config) -> result<void>
    {
        config.exceptions.push_back(added);
        return outcome::success();
    };
    change_config(request, response, change);
}

void api::delete_exception(const api_request& request, http_response& response)
{
    const std::string id = request.path[3];
    config_edit change;
    change.reason = "exception " + id + " ended";
    change.apply = [id](configuration& config) -> result<void>
    {
        const auto removed = std::erase_if(config.exceptions, [&](const exception_config& exception)
                                           { return exception.id == id; });
        if (removed == 0)
            return not_run(reason::not_found, "no such exception");
        return outcome::success();
    };
    change_config(request, response, change);
}

void api::change_config(const api_request& request, http_response& response,
                        const config_edit& change)
{
    result<time_point> deadline = deadline_of(request, default_admin_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    for (;;)
    {
        // Apply the edit to the newest version in the state table, so poll the table first.
        node_.config().poll(store_timeout);
        const configuration_ptr before = node_.config().current();
        configuration after = *before;
        result<void> applied = change.apply(after);
        if (!applied)
            return send_error(request, response, applied.error());
        result<json> answer = write_change(request, *before, std::move(after), change.reason,
                                           dry_run.value(), deadline.value());
        if (answer)
        {
            if (!change.exception_id.empty())
                answer.value()["id"] = json(change.exception_id);
            return send_json(request, response, answer.value());
        }
        const bool is_conflict = answer.error().why == reason::version_conflict;
        if (!is_conflict || steady_clock::now() >= deadline.value())
            return send_error(request, response, answer.error());
    }
}

// Checks the operator's rights and the validity of the new configuration, then writes it as the
// next version. Returns the response body. Writes nothing on a dry run or when nothing changed.
result<json> api::write_change(const api_request& request, const configuration& before,
                               configuration after, const std::string& change_reason, bool dry_run,
                               time_point deadline)
{
    set_authors(before, after, request.identity.name);
    const std::vector<config_difference> differences = compare(before, after);
    result<void> allowed = check_rights(before, after, differences, request.identity.team);
    if (!allowed)
        return allowed.error();
    const std::vector<std::string> problems = validate(after);
    if (!problems.empty())
    {
        std::string lines;
        for (const std::string& problem : problems)
            lines += (lines.empty() ? "" : "\n") + problem;
        return not_run(reason::invalid_configuration, lines);
    }
    configuration_row row;
    row.token = random_id();
    row.author = request.identity.name;
    row.reason = change_reason;
    row.document = write_configuration(after);
    for (const config_difference& difference : differences)
        row.changes.push_back(difference.text);

    json answer = json::object();
    answer["dry_run"] = json(dry_run);
    answer["changes"] = to_json_array(row.changes);
    answer["version"] = json::number(before.version + 1);
    if (row.changes.empty())
        answer["version"] = json::number(before.version);
    if (dry_run || row.changes.empty())
        return answer;

    result<config_change> changed = node_.config().change(before.version, row, deadline);
    if (!changed)
    {
        failure error = changed.error();
        if (error.outcome == verdict::may_have_run)
            error.why = reason::deadline_exceeded;
        return error;
    }
    if (changed.value().conflict)
        return configuration_conflict(changed.value().version);
    log_event(log_level::info, "config_accepted",
              {{"request", request.id},
               {"version", std::to_string(changed.value().version)},
               {"author", request.identity.name},
               {"reason", change_reason}});
    return answer;
}

void api::get_status(const api_request& request, http_response& response)
{
    const time_point now = steady_clock::now();
    const configuration_ptr config = node_.config().current();
    membership& members = node_.members();
    const domain_view view = members.view();

    json vm = json::object();
    vm["name"] = json(settings_.vm);
    vm["incarnation"] = json(std::to_string(members.self().incarnation));
    vm["failure_domain"] = json(settings_.failure_domain);
    vm["state"] = json(std::string(to_string(node_.state())));
    vm["in_flight"] = json::number(static_cast<std::uint64_t>(in_flight_callback_()));

    json in_effect = json::object();
    in_effect["version"] = json::number(config->version);
    in_effect["author"] = json(config->author);

    std::vector<std::string> names;
    for (const view_member& member : view.members)
        names.push_back(member.id.name);
    std::vector<std::string> former;
    for (const view_member& member : view.former)
        former.push_back(member.id.name);
    json view_part = json::object();
    view_part["version"] = json::number(view.version);
    view_part["authority_current"] = json(members.has_current_authority(now));
    view_part["members"] = to_json_array(names);
    view_part["former"] = to_json_array(former);

    const std::vector<peer_info> peers = members.known_peers();
    json peer_list = json::array(peers.size());
    for (std::size_t i = 0; i < peers.size(); ++i)
        peer_list[i] = peer_status(peers[i], now);

    json endpoints = json::array();
    std::size_t index = 0;
    for (const pool_config& pool : config->pools)
    {
        for (const endpoint_config& endpoint : pool.endpoints)
        {
            const endpoint_summary summary = node_.loads().summary_of(endpoint.id, now);
            json entry = json::object();
            entry["id"] = json(endpoint.id);
            entry["pool"] = json(pool.name);
            entry["failure_domain"] = json(endpoint.domain);
            const bool own_domain = endpoint.domain == settings_.failure_domain;
            const view_member* owner = own_domain ? owner_of(view, endpoint.id) : nullptr;
            entry["owner"] = json(owner == nullptr ? std::string() : owner->id.name);
            entry["phase"] = json(summary.known ? std::string(to_string(summary.phase))
                                                : std::string("unknown"));
            entry["in_flight"] = json(summary.in_flight);
            entry["limit"] = json(summary.limit);
            endpoints[index++] = entry;
        }
    }

    json body = json::object();
    body["vm"] = vm;
    body["configuration"] = in_effect;
    body["view"] = view_part;
    body["peers"] = peer_list;
    body["endpoints"] = endpoints;
    body["refusals"] = write_counts(node_.counters().refusals_by_reason());
    body["retries"] = write_counts(node_.counters().retries_by_reason());
    send_json(request, response, body);
}

void api::settle_order(const api_request& request, http_response& response)
{
    if (!request.identity.team.empty())
        return send_error(request, response,
                          not_run(reason::forbidden, "only a fleet operator may settle orders"));
    result<json> body = parse_body(request, {"state", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    order_state state = order_state::started;
    if (!from_string(string_field(body.value(), "state"), state) || state == order_state::started)
        return send_error(request, response,
                          not_run(reason::bad_request, "state must be ran or not_run"));
    result<std::string> reason_text = required_string_field(body.value(), "reason");
    if (!reason_text)
        return send_error(request, response, reason_text.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    json note = json::object();
    note["settled_by"] = json(request.identity.name);
    note["reason"] = json(reason_text.value());
    const std::string& account = request.path[3];
    const std::string& key = request.path[4];
    result<order_state> previous = node_.orders().settle(account, key, state, note.serialize(),
                                                         dry_run.value(), store_timeout);
    if (!previous)
        return send_error(request, response, previous.error());
    log_event(log_level::info, "order_settled",
              {{"request", request.id},
               {"operator", request.identity.name},
               {"account", account},
               {"key", key},
               {"state", std::string(to_string(state))},
               {"dry_run", dry_run.value() ? "true" : "false"}});
    json answer = json::object();
    answer["account"] = json(account);
    answer["key"] = json(key);
    answer["state"] = json(std::string(to_string(state)));
    answer["previous_state"] = json(std::string(to_string(previous.value())));
    answer["dry_run"] = json(dry_run.value());
    send_json(request, response, answer);
}

} // namespace zinnianotch
