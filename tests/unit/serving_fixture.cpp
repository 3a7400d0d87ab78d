#include "serving_fixture.h"

#include "coordination/edge.h"
#include "transport/log.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace serving
{

namespace
{

using namespace zinnianotch;
using web::json::value;
namespace asio = boost::asio;

std::string encode(const std::string& bytes)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string decode(const std::string& text)
{
    const auto bytes = utility::conversions::from_base64(text);
    return {bytes.begin(), bytes.end()};
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string plain_answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 24> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string event_text(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

} // namespace

store_standin::store_standin(asio::io_context& io) : io_(io) {}

std::size_t store_standin::add_door()
{
    const std::size_t door = doors_.size();
    doors_.push_back(std::make_unique<server_listener>(
        io_, loopback, 0,
        [this, door](const std::shared_ptr<server_connection>& client, received_request&& request)
        { handle(door, client, request); }));
    return door;
}

std::string store_standin::address(std::size_t door) const
{
    return std::string(loopback) + ":" + std::to_string(doors_[door]->port());
}

void store_standin::put(const std::string& table, const std::string& key, const value& described)
{
    put_bytes(table, key, described.serialize());
}

void store_standin::put_bytes(const std::string& table, const std::string& key,
                              const std::string& bytes)
{
    rows_[{table, key}] = {bytes, ++version_, false};
    changed();
}

void store_standin::remove(const std::string& table, const std::string& key)
{
    rows_[{table, key}] = {"", ++version_, true};
    changed();
}

bool store_standin::has(const std::string& table, const std::string& key) const
{
    const auto found = rows_.find({table, key});
    return found != rows_.end() && !found->second.deleted;
}

void store_standin::handle(std::size_t door, const std::shared_ptr<server_connection>& client,
                           const received_request& request)
{
    ++calls;
    if (silent)
        return;
    if (refuse_status != 0 || turned_away_.contains(door))
        return answer(client, refuse_status != 0 ? refuse_status : 503, "{}");
    const web::uri uri(request.head.target);
    const auto query = web::uri::split_query(uri.query());
    if (uri.path() == "/rows-get")
        return list(client, query);
    if (uri.path() == "/rows-feed")
        return feed(door, client, query);
    if (uri.path() == "/rows-tx")
        return change(client, request.body);
    answer(client, 404, "{}");
}

void store_standin::list(const std::shared_ptr<server_connection>& client,
                         const std::map<std::string, std::string>& query)
{
    const std::size_t limit = std::stoul(query.at("limit"));
    const std::string from =
        query.contains("from") ? web::uri::decode(query.at("from")) : std::string();
    std::vector<value> rows;
    bool more = false;
    for (const auto& [name, entry] : rows_)
    {
        if (name.first != query.at("table") || name.second < from || entry.deleted)
            continue;
        if (rows.size() == limit)
        {
            more = true;
            break;
        }
        value row = value::object();
        row["key"] = value::string(name.second);
        row["value"] = value::string(encode(entry.value));
        row["ver"] = value::number(entry.version);
        rows.push_back(row);
    }
    value body = value::object();
    body["rows"] = value::array(rows);
    body["has_more"] = value::boolean(more);
    body["ver"] = value::number(version_);
    answer(client, 200, body.serialize());
}

void store_standin::feed(std::size_t door, const std::shared_ptr<server_connection>& client,
                         const std::map<std::string, std::string>& query)
{
    waiting_feed waiting{client, door, query.at("table"), std::stoull(query.at("after")), nullptr};
    if (waiting.after < history_from_)
        return answer(client, 410, "{}");
    if (answer_feed(waiting, false))
        return;
    waiting.timer = std::make_shared<asio::steady_timer>(io_);
    waiting.timer->expires_after(milliseconds(std::stol(query.at("wait_ms"))));
    waiting.timer->async_wait(
        [this, raw = client.get()](const boost::system::error_code& error)
        {
            const auto found =
                std::find_if(feeds_.begin(), feeds_.end(),
                             [&](const auto& entry) { return entry.client.get() == raw; });
            if (error || found == feeds_.end())
                return;
            const waiting_feed due = *found;
            feeds_.erase(found);
            (void)answer_feed(due, true);
        });
    feeds_.push_back(waiting);
}

bool store_standin::answer_feed(const waiting_feed& feed, bool even_if_empty)
{
    std::vector<std::pair<std::uint64_t, value>> rows;
    for (const auto& [name, entry] : rows_)
    {
        if (name.first != feed.table || entry.version <= feed.after)
            continue;
        value row = value::object();
        row["key"] = value::string(name.second);
        row["ver"] = value::number(entry.version);
        if (entry.deleted)
            row["deleted"] = value::boolean(true);
        else
            row["value"] = value::string(encode(entry.value));
        rows.emplace_back(entry.version, row);
    }
    if (rows.empty() && !even_if_empty)
        return false;
    std::sort(rows.begin(), rows.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<value> list;
    list.reserve(rows.size());
    for (const auto& [version, row] : rows)
        list.push_back(row);
    value body = value::object();
    body["rows"] = value::array(list);
    body["ver"] = value::number(version_);
    answer(feed.client, 200, body.serialize());
    return true;
}

void store_standin::changed()
{
    if (silent || refuse_status != 0)
        return;
    const auto waiting = std::move(feeds_);
    feeds_.clear();
    for (const waiting_feed& feed : waiting)
    {
        if (turned_away_.contains(feed.door) || !answer_feed(feed, false))
            feeds_.push_back(feed);
        else
            feed.timer->cancel();
    }
}

void store_standin::change(const std::shared_ptr<server_connection>& client,
                           const std::string& body)
{
    const value parsed = value::parse(body);
    for (const value& row : parsed.at("puts").as_array())
        put_bytes(row.at("table").as_string(), row.at("key").as_string(),
                  decode(row.at("value").as_string()));
    for (const value& row : parsed.at("remove").as_array())
        remove(row.at("table").as_string(), row.at("key").as_string());
    answer(client, 200, "{\"ver\":" + std::to_string(version_) + "}");
}

void store_standin::answer(const std::shared_ptr<server_connection>& client, int status,
                           const std::string& body)
{
    client->send(plain_answer(status, "Content-Type: application/json\r\n", body));
    client->end(true);
}

endpoint_standin::endpoint_standin(asio::io_context& io, std::string id)
    : io_(io), id_(std::move(id)),
      listener_(io, loopback, 0,
                [this](const std::shared_ptr<server_connection>& client, received_request&& request)
                { handle(client, request); })
{
}

std::string endpoint_standin::address() const
{
    return std::string(loopback) + ":" + std::to_string(listener_.port());
}

void endpoint_standin::after(milliseconds time, std::function<void()> then)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(time);
    timer->async_wait(
        [timer, then = std::move(then)](const boost::system::error_code& error)
        {
            if (!error)
                then();
        });
}

void endpoint_standin::handle(const std::shared_ptr<server_connection>& client,
                              const received_request& request)
{
    seen_request described;
    described.method = request.head.method;
    described.target = request.head.target;
    described.body = request.body;
    for (const header_field& field : request.head.fields)
        described.fields[lower(field.name)] = field.value;
    described.attempt = described.fields["attempt-id"];
    client->on_disconnect = [this] { ++left; };
    if (described.target == "/stage-free")
    {
        const value parsed = value::parse(request.body);
        for (const value& handle : parsed.at("handles").as_array())
            freed.push_back(handle.as_string());
        client->send(plain_answer(200, "", ""));
        return client->end(true);
    }
    seen.push_back(described);
    const bool refuses = fail_next > 0 && fail_says_not_run;
    if (!refuses && described.target != "/stage-run")
        ++ran[described.attempt];
    if (mute)
        return;
    const auto expected = described.fields.find("expect-instance");
    if (expected != described.fields.end() && expected->second != id_)
    {
        client->send(plain_answer(421, "Instance-Id: " + id_ + "\r\n", ""));
        return client->end(true);
    }
    if (break_before_answer > 0)
    {
        --break_before_answer;
        return client->abort();
    }
    if (described.target == "/stage-run")
        return after(work, [this, client, body = request.body] { run_pieces(client, body); });
    after(work, [this, client, described] { answer(client, described); });
}

void endpoint_standin::run_pieces(const std::shared_ptr<server_connection>& client,
                                  const std::string& body)
{
    std::vector<value> made;
    const value parsed = value::parse(body);
    for (std::size_t i = 0; i < parsed.at("items").size(); ++i)
    {
        value item = value::object();
        const bool has_room = pieces_made - freed.size() < result_limit;
        if (first_piece_fails && i == 0)
            item["reason"] = value::string("error");
        else if (piece_reason.empty() && has_room)
        {
            ++pieces_made;
            item["handle"] = value::string(address() + "/" + std::to_string(++next_handle_));
        }
        else
        {
            pieces_without_room += piece_reason.empty() ? 1 : 0;
            item["reason"] = value::string(piece_reason.empty() ? "room" : piece_reason);
        }
        made.push_back(item);
    }
    value answered = value::object();
    answered["items"] = value::array(made);
    client->send(plain_answer(200, "", answered.serialize()));
    client->end(true);
}

void endpoint_standin::answer(const std::shared_ptr<server_connection>& client,
                              const seen_request& request)
{
    const std::string fields =
        "Attempt-Id: " + request.attempt + "\r\nResponse-Seal: seal-" + request.attempt + "\r\n";
    if (fail_next > 0)
    {
        --fail_next;
        client->send(plain_answer(fail_status, fail_says_not_run ? "Not-Executed: 1\r\n" : fields,
                                  "failed"));
        return client->end(true);
    }
    if (inputs_gone_once)
    {
        inputs_gone_once = false;
        client->send(plain_answer(409, "Not-Executed: 1\r\n", ""));
        return client->end(true);
    }
    if (stray_answer_first)
        client->send(plain_answer(200, "Attempt-Id: another\r\nResponse-Seal: x\r\n", "stray"));
    if (events == 0)
    {
        const std::string body = "answer to " + request.attempt;
        if (unframed)
        {
            client->send("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body);
            return client->end(false);
        }
        client->send(plain_answer(200, fields, body) + (extra_bytes ? "HTTP/1.1 200 O" : ""));
        return client->end(true);
    }
    const auto resumed = request.fields.find("last-event-id");
    const int first = resumed == request.fields.end() ? 1 : std::stoi(resumed->second) + 1;
    client->send("HTTP/1.1 200 OK\r\n" + fields +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream(client, request.attempt, first);
}

void endpoint_standin::stream(const std::shared_ptr<server_connection>& client,
                              const std::string& attempt, int next)
{
    if (next > events)
    {
        client->send("0\r\n\r\n");
        return client->end(true);
    }
    if (break_after_event >= 0 && next > break_after_event)
    {
        break_after_event = -1;
        client->send(chunk("id: " + std::to_string(next) + "\nda"));
        return after(milliseconds(5), [client] { client->abort(); });
    }
    client->send(chunk(event_text(next)));
    after(event_pause, [this, client, attempt, next] { stream(client, attempt, next + 1); });
}

caller::caller(asio::io_context& io, const std::string& address, const std::string& request)
    : pool_(io, *parse_socket_address(address))
{
    connection_ = pool_.start(request, *this, milliseconds(0), steady_clock::now());
}

void caller::on_head(message_head& received, body_framing, std::optional<std::uint64_t>)
{
    head = received;
}

void caller::on_failure(upstream_failure why)
{
    failure = why;
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& attempt, const std::string& fields,
                         const std::string& body)
{
    std::string text = method + " " + target +
                       " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt + "\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

value route(const std::string& kind, const std::string& service)
{
    value made = value::object();
    made["name"] = value::string("r-" + service + "-" + kind);
    made["host"] = value::string("a.example");
    made["kind"] = value::string(kind);
    made["service"] = value::string(service);
    made["timeout_ms"] = value::number(5000);
    made["slo_ms"] = value::number(1000);
    made["priority"] = value::number(1);
    made["attempts"] = value::number(2);
    return made;
}

deployment::deployment() : store(io)
{
    // ZINNIANOTCH_TEST_LOG=info shows what the VMs decide.
    log_level level = log_level::error;
    if (const char* const wanted = std::getenv("ZINNIANOTCH_TEST_LOG"))
        (void)from_string(wanted, level);
    configure_log(level, "test");
    limits.repeats.slack = 100;
    routes["/read/"] = route("idempotent", "plain");
    routes["/order/"] = route("non_idempotent", "plain");
    routes["/stream/"] = route("streaming", "engines");
    routes["/stream/"]["resumable"] = value::boolean(true);
    routes["/once/"] = route("streaming", "engines");
}

deployment::~deployment() = default;

endpoint_standin& deployment::add_endpoint(const std::string& service, const std::string& id,
                                           const std::string& domain)
{
    endpoints_.push_back(std::make_unique<endpoint_standin>(io, id));
    list_endpoint(service, *endpoints_.back(), domain);
    return *endpoints_.back();
}

void deployment::list_endpoint(const std::string& service, const endpoint_standin& endpoint,
                               const std::string& domain, const std::string& state,
                               std::int64_t born)
{
    value entry = value::object();
    entry["service"] = value::string(service);
    entry["address"] = value::string(endpoint.address());
    entry["zone"] = value::string(domain);
    entry["slots"] = value::number(8);
    entry["state"] = value::string(state);
    entry["cold_ms"] = value::number(0);
    entry["born"] = value::number(born);
    store.put("servers", endpoint.id(), entry);
}

std::size_t deployment::add_vm()
{
    edge_options options;
    options.vm = "vm-" + std::to_string(vms_.size());
    options.domain = "dom-a";
    options.callers = {loopback, 0};
    options.readiness = {loopback, 0};
    options.peers = {loopback, 0};
    options.metrics = {loopback, 0};
    options.store = store.address(store.add_door());
    options.limits = limits;
    vms_.push_back(std::make_unique<edge<platform::codec>>(io, options));
    vms_.back()->start();
    return vms_.size() - 1;
}

std::string deployment::address(std::size_t vm) const
{
    return std::string(loopback) + ":" + std::to_string(vms_[vm]->callers_port());
}

std::unique_ptr<caller> deployment::ask_operations(std::size_t vm, const std::string& target)
{
    auto asked =
        std::make_unique<caller>(io, loopback + (":" + std::to_string(vms_[vm]->metrics_port())),
                                 request_text("GET", target, "operator"));
    (void)run_until([&] { return asked->ended(); });
    return asked;
}

void deployment::configure(std::uint64_t version)
{
    value state = value::object();
    state["version"] = value::number(version);
    std::vector<value> list;
    for (auto& [prefix, described] : routes)
    {
        described["prefix"] = value::string(prefix);
        list.push_back(described);
    }
    state["routes"] = value::array(list);
    const auto service = [](const std::string& name)
    {
        value made = value::object();
        made["name"] = value::string(name);
        made["max_conns"] = value::number(100);
        made["warmup_s"] = value::number(1.0);
        made["cold_per_s"] = value::number(0.0);
        return made;
    };
    value engines = service("engines");
    engines["engine"] = value::object();
    engines["engine"]["slots"] = value::number(8);
    value stage = service("encoders");
    stage["pieces"] = value::object();
    stage["pieces"]["batch"] = value::number(8);
    stage["pieces"]["slots"] = value::number(1);
    stage["pieces"]["call_ms"] = value::number(20);
    stage["pieces"]["item_ms"] = value::number(1.0);
    stage["pieces"]["room_mb"] = value::number(stage_room_mb);
    stage["pieces"]["handle_s"] = value::number(4.0);
    state["services"] = value::array({service("plain"), engines, stage});
    state["tenants"] = accounts;
    store.put("op", "config", state);
}

std::unique_ptr<caller> deployment::call(std::size_t vm, const std::string& request)
{
    return std::make_unique<caller>(io, address(vm), request);
}

std::unique_ptr<caller> deployment::ask(std::size_t vm, const std::string& request)
{
    auto made = call(vm, request);
    (void)run_until([&] { return made->ended(); });
    return made;
}

bool deployment::run_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point end = steady_clock::now() + limit;
    while (!condition())
    {
        if (steady_clock::now() >= end)
            return false;
        io.restart();
        (void)io.run_one_for(milliseconds(20));
    }
    return true;
}

void deployment::run_for(milliseconds time)
{
    (void)run_until([] { return false; }, time);
}

} // namespace serving
