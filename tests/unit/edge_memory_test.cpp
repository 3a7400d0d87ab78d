// Slow clients and slow engines on a VM whose memory is known: responses are read on, slow reading
// is no silence, and engines get no more than their memory.
#include "serving_fixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace serving;
using boost::asio::ip::tcp;
using web::json::value;

namespace
{

constexpr std::uint64_t small_vm_bytes = 120ULL * 1024 * 1024;

struct memory_deployment : deployment
{
    fake_endpoint& engine_1 = add_endpoint("engines", "engine-1");
    fake_endpoint& engine_2 = add_endpoint("engines", "engine-2");

    memory_deployment() { memory_bytes = small_vm_bytes; }
    void start()
    {
        for (fake_endpoint* engine : {&engine_1, &engine_2})
            engine->event_count = 3;
        routes["/stream/"]["attempts"] = value::number(4);
        routes["/stream/"]["timeout_ms"] = value::number(20000);
        configure(1);
        add_vm();
        cr_assert(run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= 2; }));
    }
    std::size_t engine_requests() const
    {
        return engine_1.requests.size() + engine_2.requests.size();
    }
};

// An endpoint that reads a request at a limited rate, and answers once it has read all.
class slow_reading_endpoint
{
public:
    static constexpr std::size_t bytes_per_read = 8 * 1024;
    static constexpr milliseconds read_interval{20};

    explicit slow_reading_endpoint(boost::asio::io_context& io)
        : acceptor_(io), socket_(io), timer_(io)
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(8 * 1024));
        acceptor_.bind({boost::asio::ip::make_address(loopback), 0});
        acceptor_.listen();
        acceptor_.async_accept(socket_,
                               [this](const boost::system::error_code& error)
                               {
                                   if (!error)
                                       read();
                               });
    }
    std::string address() const
    {
        return std::string(loopback) + ":" + std::to_string(acceptor_.local_endpoint().port());
    }

    std::string received;
    std::string attempt;
    std::size_t expected_bytes = 0; // of the body

private:
    void read()
    {
        boost::system::error_code error;
        const std::size_t count =
            socket_.available() > 0 ? socket_.read_some(boost::asio::buffer(buffer_), error) : 0;
        received.append(buffer_.data(), count);
        const std::size_t head = received.find("\r\n\r\n");
        if (head != std::string::npos && received.size() >= head + 4 + expected_bytes)
        {
            const std::string text =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 4\r\n\r\ndone";
            boost::asio::write(socket_, boost::asio::buffer(text), error);
            return;
        }
        timer_.expires_after(read_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& cancelled)
            {
                if (!cancelled)
                    read();
            });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, bytes_per_read> buffer_{};
};

// An engine that answers with a long stream and cuts it off once nothing of it has been read for
// unread_limit.
class impatient_engine
{
public:
    static constexpr int events = 160;
    static constexpr std::size_t event_bytes = 100 * 1024;
    static constexpr milliseconds unread_limit{3000};

    explicit impatient_engine(boost::asio::io_context& io) : acceptor_(io), socket_(io), timer_(io)
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::send_buffer_size(32 * 1024));
        acceptor_.bind({boost::asio::ip::make_address(loopback), 0});
        acceptor_.listen();
        acceptor_.async_accept(socket_,
                               [this](const boost::system::error_code& error)
                               {
                                   if (!error)
                                       respond();
                               });
    }
    std::string address() const
    {
        return std::string(loopback) + ":" + std::to_string(acceptor_.local_endpoint().port());
    }

    std::string attempt;
    bool has_cut = false;
    bool has_sent_all = false;

private:
    void respond()
    {
        std::string body;
        for (int i = 1; i <= events; ++i)
            body +=
                "id: " + std::to_string(i) + "\ndata: " + std::string(event_bytes, '.') + "\n\n";
        text_ = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
        write();
    }
    void write()
    {
        timer_.expires_after(unread_limit);
        timer_.async_wait(
            [this](const boost::system::error_code& cancelled)
            {
                if (cancelled || has_sent_all)
                    return;
                has_cut = true;
                boost::system::error_code ignored;
                (void)socket_.close(ignored);
            });
        socket_.async_write_some(boost::asio::buffer(text_) + sent_,
                                 [this](const boost::system::error_code& error, std::size_t count)
                                 {
                                     if (error)
                                         return;
                                     sent_ += count;
                                     has_sent_all = sent_ == text_.size();
                                     if (!has_sent_all)
                                         write();
                                 });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string text_;
    std::size_t sent_ = 0;
};

// Writes the entry of an endpoint that is none of the fixture's.
void publish(deployment& harness, const std::string& id, const std::string& service,
             const std::string& address)
{
    value entry = value::object();
    entry["service"] = value::string(service);
    entry["zone"] = value::string("dom-a");
    entry["address"] = value::string(address);
    entry["state"] = value::string("ready");
    entry["cold_ms"] = value::number(0);
    entry["born"] = value::number(1);
    entry["slots"] = value::number(8);
    entry["version"] = value::string("v1");
    harness.store.put("servers", id, entry);
}

// One endpoint of the service plain that reads slowly, and an idle one that reads at once.
struct slow_reading_deployment : deployment
{
    static constexpr std::size_t body_bytes = 1024 * 1024;
    slow_reading_endpoint slow{io};
    fake_endpoint& other = add_endpoint("plain", "plain-2", "dom-b");

    std::unique_ptr<client_exchange> send_large_body()
    {
        publish(*this, "plain-1", "plain", slow.address()); // in the domain of the VM
        slow.expected_bytes = body_bytes;
        slow.attempt = "a1";
        routes["/read/"]["attempts"] = value::number(3);
        routes["/read/"]["timeout_ms"] = value::number(20000);
        configure(1);
        add_vm();
        cr_assert(run_until([&] { return is_ready(0) && vm(0).known_endpoints() >= 2; }));
        return send_and_wait(
            0, request_text("POST", "/read/1", "a1", "", std::string(body_bytes, 'b')));
    }
};

} // namespace

// Guards against a response that its engine cuts off because the VM stops reading it while the
// client reads slowly.
Test(edge_memory, engine_that_cuts_off_unread_streams_is_read_on_for_slow_client)
{
    constexpr milliseconds pause{8000}; // of the client
    deployment harness;
    harness.memory_bytes = small_vm_bytes;
    impatient_engine engine(harness.io);
    engine.attempt = "s1";
    publish(harness, "engine-1", "engines", engine.address());
    harness.routes["/stream/"]["timeout_ms"] = value::number(20000);
    harness.configure(1);
    harness.add_vm();
    cr_assert(harness.run_until(
        [&] { return harness.is_ready(0) && harness.vm(0).known_endpoints() == 1; }));
    const auto exchange =
        harness.start_request(0, request_text("POST", "/stream/1", "s1", "", "x"));
    cr_assert(harness.run_until([&] { return !exchange->body.empty(); }));
    exchange->set_paused(true);
    harness.run_for(pause);
    cr_assert(!engine.has_sent_all, "the response is too short");
    cr_assert(harness.vm(0).held().total() <= harness.vm(0).held().bound());
    exchange->set_paused(false);
    cr_assert(harness.run_until([&] { return exchange->ended(); }));
    cr_assert(!engine.has_cut && exchange->done);
    cr_assert(exchange->body.size() > impatient_engine::events * impatient_engine::event_bytes);
    cr_assert(harness.run_until([&] { return harness.vm(0).held().total() == 0; }));
}

// Guards against an endpoint that is left, and gets the request a second time elsewhere, while it
// reads a large body slowly.
Test(edge_memory, endpoint_that_reads_body_slowly_keeps_the_request)
{
    slow_reading_deployment harness;
    harness.memory_bytes = small_vm_bytes;
    const auto exchange = harness.send_large_body();
    cr_assert(exchange->done && exchange->head.status == 200 && exchange->body == "done");
    cr_assert(harness.other.requests.empty());
    cr_assert(harness.run_until([&] { return harness.vm(0).held().total() == 0; }));
}

// Guards against a body above what the VM can hold that is accepted, and against a refusal that
// does not say when to come back.
Test(edge_memory, body_without_room_is_refused_with_retry_after)
{
    memory_deployment harness;
    harness.memory_bytes = 20ULL * 1024 * 1024;
    harness.start();
    const auto refused = harness.send_and_wait(
        0, request_text("POST", "/read/1", "a1", "", std::string(3 * 1024 * 1024, 'b')));
    cr_assert(refused->head.status == 503 && find_field(refused->head, "Retry-After"));
    const auto served = harness.send_and_wait(0, request_text("POST", "/stream/1", "a2", "", "x"));
    cr_assert_eq(served->head.status, 200);
}

// Guards against an engine that gets more requests than its memory holds and crashes.
Test(edge_memory, request_without_room_in_any_engine_is_refused_unsent)
{
    memory_deployment harness;
    harness.engine_memory_tokens = 10'000;
    harness.start();
    for (fake_endpoint* engine : {&harness.engine_1, &harness.engine_2})
        engine->never_responds = true;
    const auto request = [](const std::string& attempt, int tokens)
    {
        return request_text("POST", "/stream/1", attempt,
                            "Prompt-Prefix: " + attempt + ":" + std::to_string(tokens) + "\r\n",
                            "x");
    };
    // Larger than the memory of an engine that has another, not of an empty one.
    const auto first = harness.start_request(0, request("aa", 7000));
    const auto second = harness.start_request(0, request("bb", 7000));
    cr_assert(harness.run_until([&] { return harness.engine_requests() == 2; }));
    cr_assert_eq(harness.engine_1.requests.size(), 1);
    const auto third = harness.send_and_wait(0, request("cc", 7000));
    cr_assert_eq(third->head.status, 503);
    cr_assert(find_field(third->head, "Retry-After"));
    cr_assert_eq(harness.engine_requests(), 2);
    const auto small = harness.start_request(0, request("dd", 100));
    cr_assert(harness.run_until([&] { return harness.engine_requests() == 3; }));
}

// Guards against a deployment whose VMs do not know their memory being served differently.
Test(edge_memory, without_memory_limit_engines_get_all_requests)
{
    memory_deployment harness;
    harness.memory_bytes = 0;
    harness.engine_memory_tokens = 10'000;
    harness.start();
    for (fake_endpoint* engine : {&harness.engine_1, &harness.engine_2})
        engine->never_responds = true;
    std::vector<std::unique_ptr<client_exchange>> sent;
    for (const char* attempt : {"aa", "bb", "cc", "dd"})
        sent.push_back(harness.start_request(
            0, request_text("POST", "/stream/1", attempt,
                            std::string("Prompt-Prefix: ") + attempt + ":7000\r\n", "x")));
    cr_assert(harness.run_until([&] { return harness.engine_requests() == 4; }));
}
