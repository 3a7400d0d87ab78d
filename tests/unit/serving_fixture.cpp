#include "serving_fixture.h"

#include "coordination/edge.h"
#include "transport/log.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace serving
{

namespace
{

using namespace zinnianotch;
using web::json::value;
namespace asio = boost::asio;

std::string base64_encode(const std::string& bytes)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string base64_decode(const std::string& text)
{
    const auto bytes = utility::conversions::from_base64(text);
    return {bytes.begin(), bytes.end()};
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string response_text(const std::string& status, const std::string& fields,
                          const std::string& body)
{
    return "HTTP/1.1 " + status + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return response_text(std::to_string(status), fields, body);
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

fake_store::fake_store(asio::io_context& io) : io_(io) {}

std::size_t fake_store::add_listener()
{
    const std::size_t listener = listeners_.size();
    calls_at_.push_back(0);
    listeners_.push_back(std::make_unique<server_listener>(
        io_, loopback, 0,
        [this, listener](const std::shared_ptr<server_connection>& client,
                         received_request&& request) { handle(listener, client, request); }));
    return listener;
}

std::string fake_store::address(std::size_t listener) const
{
    return std::string(loopback) + ":" + std::to_string(listeners_[listener]->port());
}

void fake_store::put(const std::string& table, const std::string& key, const value& document)
{
    put_bytes(table, key, document.serialize());
}

void fake_store::put_bytes(const std::string& table, const std::string& key,
                           const std::string& bytes)
{
    rows_[{table, key}] = {bytes, ++version_, false};
    notify_feeds();
}

void fake_store::remove(const std::string& table, const std::string& key)
{
    rows_[{table, key}] = {"", ++version_, true};
    notify_feeds();
}

void fake_store::save_copy()
{
    copied_rows_ = rows_;
    copied_version_ = version_;
}

void fake_store::restore_copy()
{
    rows_ = copied_rows_;
    version_ = copied_version_;
    history_from_ = std::min(history_from_, version_);
    ++era_;
    for (const pending_feed& feed : std::exchange(feeds_, {}))
    {
        feed.timer->cancel();
        feed.client->abort();
    }
}

bool fake_store::has(const std::string& table, const std::string& key) const
{
    const auto found = rows_.find({table, key});
    return found != rows_.end() && !found->second.deleted;
}

value fake_store::get(const std::string& table, const std::string& key) const
{
    return has(table, key) ? value::parse(rows_.at({table, key}).value) : value();
}

void fake_store::handle(std::size_t listener, const std::shared_ptr<server_connection>& client,
                        const received_request& request)
{
    ++calls;
    ++calls_at_[listener];
    const web::uri uri(request.head.target);
    if (uri.path() == "/rows-tx")
        ++writes;
    if (unresponsive || silent_listeners_.contains(listener))
        return;
    if (refuse_status != 0 || failing_listeners_.contains(listener))
        return respond(client, refuse_status != 0 ? refuse_status : 503, "{}");
    const auto query = web::uri::split_query(uri.query());
    if (uri.path() == "/rows-get")
        return list(client, query);
    if (uri.path() == "/rows-feed")
        return feed(listener, client, query);
    if (uri.path() == "/rows-tx")
    {
        const milliseconds delay = std::exchange(next_write_delay, milliseconds(0));
        if (delay == milliseconds(0))
            return apply_transaction(client, request.body);
        const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
        return timer->async_wait(
            [this, timer, client, body = request.body](const boost::system::error_code& error)
            {
                if (!error)
                    apply_transaction(client, body);
            });
    }
    respond(client, 404, "{}");
}

void fake_store::list(const std::shared_ptr<server_connection>& client,
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
        row["value"] = value::string(base64_encode(entry.value));
        row["ver"] = value::number(entry.version);
        rows.push_back(row);
    }
    value body = value::object();
    body["rows"] = value::array(rows);
    body["has_more"] = value::boolean(more);
    body["ver"] = page_version.is_null() ? value::number(version_) : page_version;
    respond(client, 200, body.serialize());
}

void fake_store::feed(std::size_t listener, const std::shared_ptr<server_connection>& client,
                      const std::map<std::string, std::string>& query)
{
    pending_feed waiting{client, listener, query.at("table"), std::stoull(query.at("after")),
                         nullptr};
    if (waiting.after < history_from_ || waiting.after > version_)
        return respond(client, 410, "{}");
    if (respond_to_feed(waiting, false))
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
            const pending_feed due = *found;
            feeds_.erase(found);
            if (!unresponsive && !silent_listeners_.contains(due.listener))
                (void)respond_to_feed(due, true);
        });
    feeds_.push_back(waiting);
}

bool fake_store::respond_to_feed(const pending_feed& feed, bool even_if_empty)
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
            row["value"] = value::string(base64_encode(entry.value));
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
    body["ver"] = page_version.is_null() ? value::number(version_) : page_version;
    const auto slow = response_times_.find(feed.table);
    if (slow == response_times_.end() || rows.empty())
    {
        respond(feed.client, 200, body.serialize());
        return true;
    }
    constexpr std::size_t parts = 20;
    const std::string text = response(success_status, body.serialize());
    send_in_parts(feed.client, text, text.size() / parts + 1,
                  slow->second / static_cast<int>(parts));
    return true;
}

void fake_store::notify_feeds()
{
    if (unresponsive || refuse_status != 0)
        return;
    const auto waiting = std::move(feeds_);
    feeds_.clear();
    for (const pending_feed& feed : waiting)
    {
        const bool fails =
            failing_listeners_.contains(feed.listener) || silent_listeners_.contains(feed.listener);
        if (fails || !respond_to_feed(feed, false))
            feeds_.push_back(feed);
        else
            feed.timer->cancel();
    }
}

void fake_store::apply_transaction(const std::shared_ptr<server_connection>& client,
                                   const std::string& body)
{
    const value parsed = value::parse(body);
    for (const value& row : parsed.at("expect_rev").as_array())
    {
        const auto found = rows_.find({row.at("table").as_string(), row.at("key").as_string()});
        const std::uint64_t version =
            found == rows_.end() || found->second.deleted ? 0 : found->second.version;
        if (version == row.at("ver").as_number().to_uint64())
            continue;
        ++conflicts;
        return respond(client, 412, "{\"rows\":[],\"ver\":" + std::to_string(version_) + "}");
    }
    for (const value& row : parsed.at("puts").as_array())
    {
        const std::string& key = row.at("key").as_string();
        const std::string bytes = base64_decode(row.at("value").as_string());
        put_bytes(row.at("table").as_string(), key, bytes);
        if (row.at("table").as_string() == "status")
            statuses[key].push_back(value::parse(bytes));
    }
    for (const value& row : parsed.at("remove").as_array())
        remove(row.at("table").as_string(), row.at("key").as_string());
    if (lost_write_answers > 0)
    {
        --lost_write_answers;
        return;
    }
    respond(client, 200, "{\"ver\":" + std::to_string(version_) + "}");
}

std::string fake_store::response(const std::string& status, const std::string& body) const
{
    return response_text(status,
                         "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) +
                             "\r\n" + response_fields,
                         body);
}

void fake_store::respond(const std::shared_ptr<server_connection>& client, int status,
                         const std::string& body)
{
    client->send(response(status == 200 ? success_status : std::to_string(status), body));
    client->end(true);
}

void fake_store::send_in_parts(const std::shared_ptr<server_connection>& client,
                               const std::string& rest, std::size_t part, milliseconds pause)
{
    client->send(rest.substr(0, part));
    if (rest.size() <= part)
        return client->end(true);
    const auto timer = std::make_shared<asio::steady_timer>(io_, pause);
    timer->async_wait(
        [this, timer, client, rest = rest.substr(part), part,
         pause](const boost::system::error_code& error)
        {
            if (!error)
                send_in_parts(client, rest, part, pause);
        });
}

fake_endpoint::fake_endpoint(asio::io_context& io, std::string id)
    : io_(io), id_(std::move(id)), listener_(make_listener())
{
}

std::unique_ptr<server_listener> fake_endpoint::make_listener()
{
    return std::make_unique<server_listener>(
        io_, loopback, 0,
        [this](const std::shared_ptr<server_connection>& client, received_request&& request)
        { receive(client, request); });
}

std::string fake_endpoint::address() const
{
    return std::string(loopback) + ":" + std::to_string(listener_->port());
}

void fake_endpoint::run_after(milliseconds time, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(time);
    timer->async_wait(
        [this, timer, callback = std::move(callback)](const boost::system::error_code& error)
        {
            if (!error)
                run_unless_silent(callback);
        });
}

void fake_endpoint::fall_silent(milliseconds time)
{
    ++silences;
    ++silences_in_progress_;
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(time);
    timer->async_wait(
        [this, timer](const boost::system::error_code& error)
        {
            if (error || --silences_in_progress_ > 0)
                return;
            for (const auto& callback : std::exchange(held_back_, {}))
                run_unless_silent(callback);
        });
}

bool fake_endpoint::falls_silent(silence_point point)
{
    if (silent_at != point || silences_left == 0)
        return false;
    --silences_left;
    fall_silent(silence_time);
    return true;
}

void fake_endpoint::run_unless_silent(std::function<void()> callback)
{
    if (is_silent())
        held_back_.push_back(std::move(callback));
    else
        callback();
}

void fake_endpoint::receive(const std::shared_ptr<server_connection>& client,
                            const received_request& request)
{
    const bool is_new = std::none_of(clients_.begin(), clients_.end(),
                                     [&](const auto& known) { return known.lock() == client; });
    if (is_new)
        (void)falls_silent(silence_point::before_accept);
    (void)falls_silent(silence_point::before_reading);
    run_unless_silent([this, client, request] { handle(client, request); });
}

void fake_endpoint::send_response(const std::shared_ptr<server_connection>& client,
                                  const std::string& text, bool keep_alive)
{
    const std::size_t head = text.find("\r\n\r\n") + 4;
    std::size_t first_part = text.size();
    if (falls_silent(silence_point::within_head))
        first_part = head / 2;
    else if (falls_silent(silence_point::within_plain_body))
        first_part = (head + text.size()) / 2;
    else if (keep_alive && falls_silent(silence_point::before_last_byte))
        first_part = text.size() - 1;
    client->send(text.substr(0, first_part));
    if (!keep_alive)
        (void)falls_silent(silence_point::before_close);
    run_unless_silent(
        [this, client, rest = text.substr(first_part), keep_alive]
        {
            client->send(rest);
            if (!keep_alive && exits_after_answer)
                exit_in_order();
            client->end(keep_alive);
            if (!keep_alive)
                (void)falls_silent(silence_point::after_close);
        });
}

void fake_endpoint::handle(const std::shared_ptr<server_connection>& client,
                           const received_request& request)
{
    if (is_crashed_ && close_delimited)
    {
        client->send(response_text(421, "Instance-Id: another\r\n", ""));
        return client->end(true);
    }
    if (is_crashed_)
        return client->abort();
    std::erase_if(clients_, [](const auto& known) { return known.expired(); });
    clients_.push_back(client);
    recorded_request recorded;
    recorded.received_at = steady_clock::now();
    arrivals.push_back(recorded.received_at);
    recorded.method = request.head.method;
    recorded.target = request.head.target;
    recorded.body = request.body;
    for (const header_field& field : request.head.fields)
        recorded.fields[to_lower(field.name)] = field.value;
    recorded.attempt = recorded.fields["attempt-id"];
    client->on_disconnect = [this] { ++disconnects; };
    if (recorded.target == "/stage-free")
    {
        const value parsed = value::parse(request.body);
        for (const value& handle : parsed.at("handles").as_array())
            freed.push_back(handle.as_string());
        client->send(response_text(200, "", ""));
        return client->end(true);
    }
    requests.push_back(recorded);
    const bool refuses = fail_next > 0 && fail_as_not_run;
    if (!refuses && recorded.target != "/stage-run")
        ++executions[recorded.attempt];
    if (never_responds)
        return;
    const auto expected = recorded.fields.find("expect-instance");
    if (expected != recorded.fields.end() && expected->second != id_)
    {
        client->send(response_text(421, "Instance-Id: " + id_ + "\r\n", ""));
        return client->end(true);
    }
    if (break_before_answer > 0)
    {
        --break_before_answer;
        return client->abort();
    }
    if (endless != endless_bytes::none)
        return send_endless(client);
    send_refusal_copy(client);
    if (recorded.target == "/stage-run" && refuses)
    {
        --fail_next;
        return refuse(client, fail_status, "");
    }
    if (recorded.target == "/stage-run")
    {
        if (repeats_results_early && answered_on_.lock() == client)
        {
            repeats_results_early = false;
            client->send(last_answer_);
        }
        (void)falls_silent(silence_point::before_stage_results);
        return run_after(processing_time,
                         [this, client, body = request.body] { run_pieces(client, body); });
    }
    (void)falls_silent(silence_point::before_head);
    run_after(processing_time, [this, client, recorded] { respond(client, recorded); });
}

void fake_endpoint::crash()
{
    is_crashed_ = true;
    ++crashes;
    if (refuses_after_crash)
        listener_->stop_accepting();
    for (const auto& known : std::exchange(clients_, {}))
    {
        const auto client = known.lock();
        if (client && close_delimited && client->is_busy())
            client->end(false);
        else if (client)
            client->abort();
    }
    if (on_crash)
        on_crash();
}

void fake_endpoint::restart()
{
    is_crashed_ = false;
    if (!refuses_after_crash)
        return;
    listener_->close_all();
    listener_ = make_listener();
}

void fake_endpoint::crash_for_good()
{
    listener_->stop_accepting();
    crash();
}

void fake_endpoint::exit_in_order()
{
    listener_->stop_accepting();
    if (on_exit)
        on_exit();
}

void fake_endpoint::send_endless(const std::shared_ptr<server_connection>& client)
{
    const auto filler = [this]() -> std::string
    {
        std::string block(16 * 1024, 'x');
        switch (endless)
        {
        case endless_bytes::in_head:
            return "X-Filler: " + block + "\r\n";
        case endless_bytes::interim_responses:
        {
            std::string text;
            for (int i = 0; i < 500; ++i)
                text += "HTTP/1.1 102 Processing\r\n\r\n";
            return text;
        }
        default:
            return block;
        }
    };
    std::string first = "HTTP/1.1 200 OK\r\n";
    if (endless == endless_bytes::in_chunk_header)
        first += "Transfer-Encoding: chunked\r\n\r\n5;";
    else if (endless == endless_bytes::in_refusal)
        first = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n";
    else if (endless == endless_bytes::in_event || endless == endless_bytes::in_stage_results)
        first += "\r\n";
    else if (endless == endless_bytes::interim_responses)
        first.clear();
    ++endless_connections;
    client->on_disconnect = [this] { ++endless_closed; };
    const auto send_more = [this, filler, weak = std::weak_ptr(client)]
    {
        const auto alive = weak.lock();
        if (!alive)
            return;
        const std::string bytes = filler();
        endless_bytes_sent += bytes.size();
        alive->send(bytes);
    };
    client->on_writable = send_more;
    client->send(first);
}

// Sends the bytes of an event that never ends.
void fake_endpoint::stall(const std::shared_ptr<server_connection>& client)
{
    constexpr milliseconds pause{100};
    run_after(pause,
              [this, weak = std::weak_ptr(client)]
              {
                  const auto alive = weak.lock();
                  if (!alive || !alive->is_busy())
                      return;
                  alive->send(chunk("x"));
                  stall(alive);
              });
}

void fake_endpoint::run_pieces(const std::shared_ptr<server_connection>& client,
                               const std::string& body)
{
    std::vector<value> items;
    const value parsed = value::parse(body);
    for (std::size_t i = 0; i < parsed.at("items").size(); ++i)
    {
        value item = value::object();
        const bool has_room = pieces_completed - freed.size() < result_limit;
        if (first_piece_fails && i == 0)
            item["reason"] = value::string("error");
        else if (piece_failure_reason.empty() && has_room)
        {
            ++pieces_completed;
            const std::string handle = address() + "/" + std::to_string(++next_handle_);
            made_for[handle] = parsed.at("items").at(i).at("id").as_string();
            item["handle"] = value::string(handle);
        }
        else
        {
            pieces_rejected += piece_failure_reason.empty() ? 1 : 0;
            item["reason"] =
                value::string(piece_failure_reason.empty() ? "room" : piece_failure_reason);
        }
        items.push_back(item);
    }
    value response = value::object();
    response["items"] = value::array(items);
    const std::string answer = response_text(success_status, answer_fields, response.serialize());
    client->send((repeats_answer_late ? last_answer_ : "") + answer);
    last_answer_ = answer;
    answered_on_ = client;
    client->end(true);
}

void fake_endpoint::refuse(const std::shared_ptr<server_connection>& client, int status,
                           const std::string& attempt)
{
    const auto text = [&](bool has_id)
    {
        return response_text(status,
                             (has_id ? "Attempt-Id: " + attempt + "\r\n" : std::string()) +
                                 "Not-Executed: 1\r\n" + refusal_fields,
                             "failed" + std::string(filler_bytes, 'x'));
    };
    client->send(text(refusals_have_id));
    refusal_copy_ = text(refusal_copies_have_id);
    refused_on_ = client;
    client->end(true);
}

void fake_endpoint::send_refusal_copy(const std::shared_ptr<server_connection>& client)
{
    if (repeats_refusal_late && refused_on_.lock() == client)
        client->send(refusal_copy_);
}

void fake_endpoint::respond(const std::shared_ptr<server_connection>& client,
                            const recorded_request& request)
{
    const bool is_crash_due = is_crashing && is_crashing(request);
    if (is_crash_due && crash_events == 0)
    {
        return run_after(crash_delay,
                         [this]
                         {
                             if (!is_crashed_)
                                 crash();
                         });
    }
    const std::string fields = "Attempt-Id: " + request.attempt + "\r\nResponse-Seal: seal-" +
                               request.attempt + "\r\n" + answer_fields;
    if (end_in_head > 0)
    {
        --end_in_head;
        client->send("HTTP/1.1 200 OK\r\n" + fields.substr(0, fields.size() - 4));
        return client->end(false);
    }
    if (event_count == 0 && crash_in_answer >= 0)
    {
        const std::string body = "answer to " + request.attempt + std::string(filler_bytes, '.');
        client->send("HTTP/1.1 " + std::to_string(fail_next > 0 ? fail_status : 200) + " x\r\n" +
                     fields + "\r\n" + body.substr(0, std::size_t(crash_in_answer)));
        return run_after(milliseconds(5), [this] { crash_for_good(); });
    }
    if (fails && fails(request))
    {
        client->send(response_text(fail_status, fields, "failed"));
        return client->end(true);
    }
    if (fail_next > 0)
    {
        --fail_next;
        if (close_delimited && !fail_as_not_run)
        {
            client->send("HTTP/1.1 " + std::to_string(fail_status) + " x\r\n" + fields +
                         "\r\nfailed" + std::string(filler_bytes, 'x'));
            return client->end(false);
        }
        if (fail_as_not_run)
            return refuse(client, fail_status, request.attempt);
        client->send(response_text(fail_status, fields, "failed" + std::string(filler_bytes, 'x')));
        return client->end(true);
    }
    if (inputs_gone_once)
    {
        inputs_gone_once = false;
        return refuse(client, 409, request.attempt);
    }
    if (stray_answer_first)
        client->send(response_text(200, "Attempt-Id: another\r\nResponse-Seal: x\r\n", "stray"));
    if (event_count == 0)
    {
        const std::string body = "answer to " + request.attempt + std::string(filler_bytes, '.');
        if (break_in_body > 0)
        {
            --break_in_body;
            const std::string text = response_text(200, fields, body);
            client->send(text.substr(0, text.size() - body.size() / 4));
            return run_after(break_delay, [client] { client->abort(); });
        }
        if (close_delimited)
            return send_response(
                client, "HTTP/1.1 " + success_status + " OK\r\n" + fields + "\r\n" + body, false);
        const std::string answer = response_text(success_status, fields, body);
        const std::string late_copy = repeats_answer_late ? last_answer_ : "";
        last_answer_ = answer;
        return send_response(client, late_copy + answer + (extra_bytes ? "HTTP/1.1 200 O" : ""),
                             true);
    }
    const auto resumed = request.fields.find("last-event-id");
    const int first = resumed == request.fields.end() ? 1 : std::stoi(resumed->second) + 1;
    const std::string head = "HTTP/1.1 " + success_status + " OK\r\n" + fields +
                             "Content-Type: text/event-stream\r\n" +
                             (close_delimited ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
    const std::size_t first_part =
        falls_silent(silence_point::within_head) ? head.size() / 2 : head.size();
    client->send(head.substr(0, first_part));
    if (silent_after_event == 0)
        (void)falls_silent(silence_point::between_events);
    const auto prompt = request.fields.find("prompt-prefix");
    const bool has_crash_part = !crash_part.empty() && prompt != request.fields.end() &&
                                prompt->second.find(crash_part) != std::string::npos;
    if (has_crash_part || is_crash_due)
    {
        for (int i = 0; i < crash_events; ++i)
        {
            const std::string text = event_text(first + i);
            client->send(close_delimited ? text : chunk(text));
        }
        return run_after(milliseconds(5), [this] { crash(); });
    }
    run_unless_silent(
        [this, client, attempt = request.attempt, rest = head.substr(first_part), first]
        {
            client->send(rest);
            stream(client, attempt, first, close_delimited);
        });
}

void fake_endpoint::stream(const std::shared_ptr<server_connection>& client,
                           const std::string& attempt, int next, bool until_close)
{
    const auto part = [until_close](const std::string& bytes)
    { return until_close ? bytes : chunk(bytes); };
    const bool ends_in_event = end_in_event_after >= 0 && next > end_in_event_after;
    const bool is_empty = empty_streams > 0;
    if (next > event_count || ends_in_event || is_empty)
    {
        empty_streams -= is_empty ? 1 : 0;
        if (ends_in_event)
            client->send(part("id: " + std::to_string(next) + "\ndata: te"));
        end_in_event_after = ends_in_event ? -1 : end_in_event_after;
        (void)falls_silent(until_close ? silence_point::before_close
                                       : silence_point::before_last_byte);
        return run_unless_silent(
            [this, client, until_close]
            {
                client->send(until_close ? "" : "0\r\n\r\n");
                if (until_close && exits_after_answer)
                    exit_in_order();
                client->end(!until_close);
                if (until_close)
                    (void)falls_silent(silence_point::after_close);
            });
    }
    if (crash_in_answer >= 0 && next > crash_in_answer)
        return run_after(milliseconds(5), [this] { crash_for_good(); });
    if (break_after_event >= 0 && next > break_after_event)
    {
        break_after_event = -1;
        client->send(part("id: " + std::to_string(next) + "\nda"));
        return run_after(milliseconds(5), [client] { client->abort(); });
    }
    if (stall_after_event >= 0 && next > stall_after_event)
    {
        stall_after_event = -1;
        return stall(client);
    }
    std::string text = event_text(next);
    text.insert(text.size() - 2, event_bytes, '.');
    std::size_t first_part = text.size();
    if (next == silent_after_event + 1 && falls_silent(silence_point::within_event))
        first_part /= 2;
    client->send(part(text.substr(0, first_part)));
    if (next == silent_after_event)
        (void)falls_silent(silence_point::between_events);
    run_unless_silent(
        [this, client, attempt, next, until_close, part, rest = text.substr(first_part)]
        {
            if (!rest.empty())
                client->send(part(rest));
            run_after(event_interval, [this, client, attempt, next, until_close]
                      { stream(client, attempt, next + 1, until_close); });
        });
}

client_exchange::client_exchange(asio::io_context& io, const std::string& address,
                                 const std::string& request)
    : pool_(io, *parse_socket_address(address))
{
    connection_ = pool_.start(request, *this, milliseconds(0), steady_clock::now());
}

void client_exchange::send_next(const std::string& request)
{
    head = {};
    body.clear();
    done = false;
    failure.reset();
    connection_ = pool_.start(request, *this, milliseconds::max(), steady_clock::now());
    is_reused_ = connection_->is_reused();
}

void client_exchange::on_head(message_head& received, body_framing, std::optional<std::uint64_t>)
{
    head = received;
}

void client_exchange::on_end()
{
    done = true;
    ended_at = steady_clock::now();
}

void client_exchange::on_failure(upstream_failure cause)
{
    failure = cause;
    ended_at = steady_clock::now();
}

std::string events_text(int count)
{
    std::string text;
    for (int i = 1; i <= count; ++i)
        text += "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i) + "\n\n";
    return text;
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
    value route_json = value::object();
    route_json["name"] = value::string("r-" + service + "-" + kind);
    route_json["host"] = value::string("a.example");
    route_json["kind"] = value::string(kind);
    route_json["service"] = value::string(service);
    route_json["timeout_ms"] = value::number(5000);
    route_json["slo_ms"] = value::number(1000);
    route_json["priority"] = value::number(1);
    route_json["attempts"] = value::number(2);
    return route_json;
}

deployment::deployment() : store(io)
{
    // ZINNIANOTCH_TEST_LOG sets the log level; info includes the decisions of the VMs.
    log_level level = log_level::error;
    if (const char* const wanted = std::getenv("ZINNIANOTCH_TEST_LOG"))
        (void)from_string(wanted, level);
    configure_log(level, "test");
    limits.retries.slack = 100;
    routes["/read/"] = route("idempotent", "plain");
    routes["/order/"] = route("non_idempotent", "plain");
    routes["/stream/"] = route("streaming", "engines");
    routes["/stream/"]["resumable"] = value::boolean(true);
    routes["/once/"] = route("streaming", "engines");
}

deployment::~deployment() = default;

fake_endpoint& deployment::add_endpoint(const std::string& service, const std::string& id,
                                        const std::string& domain, const std::string& version)
{
    endpoints_.push_back(std::make_unique<fake_endpoint>(io, id));
    endpoints_.back()->version = version;
    publish_endpoint(service, *endpoints_.back(), domain);
    return *endpoints_.back();
}

void deployment::publish_endpoint(const std::string& service, const fake_endpoint& endpoint,
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
    entry["version"] = value::string(endpoint.version);
    store.put("servers", endpoint.id(), entry);
}

bool deployment::lose_store(std::size_t number, const fake_endpoint& endpoint)
{
    constexpr milliseconds heartbeat_interval{100};
    constexpr milliseconds lost_response_age =
        zinnianotch::endpoints_timing.long_poll_wait + 2 * zinnianotch::follow_timeout_slack;
    constexpr milliseconds recent_response_age{500};
    const auto response_age = [&]
    {
        const auto report = vm(number).report(zinnianotch::steady_clock::now());
        return report.tables[static_cast<std::size_t>(zinnianotch::state_table::endpoints)]
            .last_response_age;
    };
    int heartbeats = 0;
    time_point next_heartbeat{};
    const auto run_with_heartbeats_until = [&](const std::function<bool()>& condition)
    {
        return run_until(
            [&]
            {
                const time_point now = zinnianotch::steady_clock::now();
                if (now >= next_heartbeat)
                {
                    next_heartbeat = now + heartbeat_interval;
                    value entry = store.get("servers", endpoint.id());
                    entry["sequence"] = value::number(++heartbeats);
                    store.put("servers", endpoint.id(), entry);
                }
                return condition();
            });
    };
    store.fail_listener(number);
    if (!run_with_heartbeats_until([&] { return response_age() > lost_response_age; }))
        return false;
    store.restore_listener(number);
    return run_with_heartbeats_until([&] { return response_age() < recent_response_age; });
}

void deployment::publish_address(const std::string& service, const std::string& id,
                                 const std::string& address, const std::string& domain)
{
    value entry = value::object();
    entry["service"] = value::string(service);
    entry["address"] = value::string(address);
    entry["zone"] = value::string(domain);
    entry["slots"] = value::number(8);
    entry["state"] = value::string("ready");
    entry["cold_ms"] = value::number(0);
    entry["born"] = value::number(1);
    store.put("servers", id, entry);
}

void deployment::order_rollout(const std::string& service, const std::string& version,
                               milliseconds duration)
{
    value order = value::object();
    order["service"] = value::string(service);
    order["to"] = value::string(version);
    order["rollout_s"] = value::number(static_cast<double>(duration.count()) / 1000.0);
    store.put("op", "rollout/" + service, order);
}

std::string deployment::rollout_state(const std::string& service) const
{
    const value status = store.get("status", "rollout/" + service);
    const value order = store.get("op", "rollout/" + service);
    if (status.is_null() || order.is_null() || status.at("to") != order.at("to"))
        return {};
    return status.at("state").as_string();
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
    options.store = store.address(store.add_listener());
    options.limits = limits;
    options.stop_grace = stop_grace;
    options.memory_bytes = memory_bytes;
    vms_.push_back(std::make_unique<edge<platform::codec>>(io, options));
    vms_.back()->start();
    return vms_.size() - 1;
}

std::string deployment::address(std::size_t vm) const
{
    return std::string(loopback) + ":" + std::to_string(vms_[vm]->callers_port());
}

std::unique_ptr<client_exchange> deployment::get_from_metrics_port(std::size_t vm,
                                                                   const std::string& target)
{
    auto exchange = std::make_unique<client_exchange>(
        io, loopback + (":" + std::to_string(vms_[vm]->metrics_port())),
        request_text("GET", target, "operator"));
    (void)run_until([&] { return exchange->ended(); });
    return exchange;
}

void deployment::add_stage()
{
    value stage = value::object();
    stage["service"] = value::string("encoders");
    stage["after"] = value::array();
    stage["bytes"] = value::number(1000);
    routes["/stream/"]["stages"] = value::array({stage});
}

void deployment::configure(std::uint64_t version)
{
    value state = value::object();
    state["version"] = value::number(version);
    std::vector<value> list;
    for (auto& [prefix, description] : routes)
    {
        description["prefix"] = value::string(prefix);
        list.push_back(description);
    }
    state["routes"] = value::array(list);
    const auto service = [](const std::string& name)
    {
        value spec = value::object();
        spec["name"] = value::string(name);
        spec["max_conns"] = value::number(100);
        spec["warmup_s"] = value::number(1.0);
        spec["cold_per_s"] = value::number(0.0);
        return spec;
    };
    value engines = service("engines");
    engines["engine"] = value::object();
    engines["engine"]["slots"] = value::number(8);
    if (engine_memory_tokens != 0)
        engines["engine"]["kv_tokens"] = value::number(engine_memory_tokens);
    value stage = service("encoders");
    stage["pieces"] = value::object();
    stage["pieces"]["batch"] = value::number(8);
    stage["pieces"]["slots"] = value::number(1);
    stage["pieces"]["call_ms"] = value::number(static_cast<std::int64_t>(stage_call_time.count()));
    stage["pieces"]["item_ms"] = value::number(1.0);
    stage["pieces"]["room_mb"] = value::number(result_memory_mb);
    stage["pieces"]["handle_s"] = value::number(4.0);
    std::vector<value> services{service("plain"), engines, stage};
    for (const std::string& name : further_services)
        services.push_back(service(name));
    state["services"] = value::array(services);
    state["tenants"] = accounts;
    state["limits"] = client_limits;
    store.put("op", "config", state);
}

std::unique_ptr<client_exchange> deployment::start_request(std::size_t vm,
                                                           const std::string& request)
{
    return std::make_unique<client_exchange>(io, address(vm), request);
}

std::unique_ptr<client_exchange> deployment::send_and_wait(std::size_t vm,
                                                           const std::string& request)
{
    auto exchange = start_request(vm, request);
    (void)run_until([&] { return exchange->ended(); });
    return exchange;
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

four_endpoint_deployment::four_endpoint_deployment()
{
    engine_1.event_count = 5;
    engine_2.event_count = 5;
}

bool four_endpoint_deployment::start()
{
    constexpr std::size_t endpoint_count = 4;
    configure(1);
    add_vm();
    return run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= endpoint_count; });
}

} // namespace serving
