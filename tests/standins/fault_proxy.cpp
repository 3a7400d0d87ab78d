// fault_proxy: TCP proxy towards one target, with network faults that tests switch on.
//
// Prints `listening PORT` and `control PORT`. POST to the control port with one command as body:
//   pass                ends all faults below; data held by freeze_all flows on
//   refuse              new connections are reset
//   cut                 resets all existing connections
//   freeze_established  existing connections go silent for good, new ones work
//   freeze_all          existing and new connections are silent until `pass`
//   drop_answers        requests are forwarded, answers are discarded
//   delay MS            holds each piece of data for MS milliseconds
// GET answers {"accepted":n,"open":n,"frozen":n}.
#include <utility> // Boost.Asio 1.74 uses std::exchange without it

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <popt.h>

#include <array>
#include <cstdint>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t buffer_size = 16 * 1024;

enum class mode
{
    pass,
    refuse,
    freeze_all,
    drop_answers
};

struct proxy_state
{
    mode current = mode::pass;
    std::chrono::milliseconds delay{0};
    std::vector<std::function<void()>> held; // continued on `pass`
};

// Closes the socket with a reset instead of an orderly end.
void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// One proxied connection. All handlers run on the single thread of the event loop.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket client, proxy_state& state, std::function<void(connection&)> on_end)
        : state_(state), on_end_(std::move(on_end)), target_(client.get_executor()),
          client_(std::move(client)), requests_(client_, target_), answers_(target_, client_)
    {
    }

    void start(const tcp::endpoint& target)
    {
        if (state_.current == mode::freeze_all)
        {
            state_.held.emplace_back([self = shared_from_this(), target] { self->start(target); });
            return;
        }
        target_.async_connect(target,
                              [self = shared_from_this()](error_code error)
                              {
                                  if (error)
                                  {
                                      self->cut();
                                      return;
                                  }
                                  self->set_no_delay();
                                  self->read(self->requests_);
                                  self->read(self->answers_);
                              });
    }

    // Nothing is forwarded any more, and the sockets stay open.
    void freeze() { frozen_ = true; }

    bool frozen() const { return frozen_; }

    void cut()
    {
        const auto self = shared_from_this(); // on_end_ drops the owner's reference
        reset(client_);
        reset(target_);
        on_end_(*this);
    }

private:
    struct direction
    {
        direction(tcp::socket& source, tcp::socket& sink)
            : from(source), to(sink), timer(source.get_executor())
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, buffer_size> data;
        bool ended = false;
    };

    void set_no_delay()
    {
        error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        target_.set_option(tcp::no_delay(true), ignored);
    }

    void read(direction& way)
    {
        way.from.async_read_some(asio::buffer(way.data), [self = shared_from_this(),
                                                          &way](error_code error, std::size_t size)
                                 { self->on_read(way, error, size); });
    }

    void on_read(direction& way, error_code error, std::size_t size)
    {
        if (error == asio::error::operation_aborted || !way.from.is_open())
            return;
        way.timer.expires_after(state_.delay);
        way.timer.async_wait([self = shared_from_this(), &way, error, size](error_code)
                             { self->forward(way, error, size); });
    }

    // Passes on what was read: data, an orderly end or a reset.
    void forward(direction& way, error_code error, std::size_t size)
    {
        if (frozen_ || !way.from.is_open())
            return;
        const bool dropping = state_.current == mode::drop_answers && &way == &answers_;
        if (state_.current == mode::freeze_all || (dropping && error))
        {
            state_.held.emplace_back([self = shared_from_this(), &way, error, size]
                                     { self->forward(way, error, size); });
            return;
        }
        if (dropping)
            read(way);
        else if (error)
            end(way, error);
        else
            write(way, size);
    }

    void write(direction& way, std::size_t size)
    {
        asio::async_write(way.to, asio::buffer(way.data.data(), size),
                          [self = shared_from_this(), &way](error_code error, std::size_t)
                          {
                              if (!error)
                                  self->read(way);
                              else if (way.to.is_open() && !self->frozen_)
                                  self->cut();
                          });
    }

    void end(direction& way, error_code error)
    {
        if (error != asio::error::eof)
        {
            cut();
            return;
        }
        way.ended = true;
        error_code ignored;
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (!requests_.ended || !answers_.ended)
            return;
        client_.close(ignored);
        target_.close(ignored);
        on_end_(*this); // the running handler still holds a reference
    }

    proxy_state& state_;
    std::function<void(connection&)> on_end_;
    tcp::socket target_;
    tcp::socket client_;
    direction requests_;
    direction answers_;
    bool frozen_ = false;
};

class proxy
{
public:
    proxy(asio::io_context& context, tcp::endpoint target, std::uint16_t port)
        : target_(std::move(target)),
          acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Carries out a command of the control port; false when it is unknown.
    bool command(const std::string& text)
    {
        std::istringstream words(text);
        std::string name;
        words >> name;
        if (name == "pass")
            pass();
        else if (name == "refuse")
            state_.current = mode::refuse;
        else if (name == "freeze_all")
            state_.current = mode::freeze_all;
        else if (name == "drop_answers")
            state_.current = mode::drop_answers;
        else if (name == "cut")
        {
            while (!connections_.empty())
                (*connections_.begin())->cut();
        }
        else if (name == "freeze_established")
        {
            for (const auto& open : connections_)
                open->freeze();
        }
        else if (int delay = 0; name == "delay" && words >> delay)
            state_.delay = std::chrono::milliseconds(delay);
        else
            return false;
        return true;
    }

    std::string counters() const
    {
        std::size_t frozen = 0;
        for (const auto& open : connections_)
            frozen += open->frozen() ? 1 : 0;
        return "{\"accepted\":" + std::to_string(accepted_) +
               ",\"open\":" + std::to_string(connections_.size()) +
               ",\"frozen\":" + std::to_string(frozen) + '}';
    }

private:
    void pass()
    {
        state_.current = mode::pass;
        state_.delay = {};
        for (const auto& resume : std::exchange(state_.held, {}))
            resume();
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket client)
            {
                accept();
                if (error)
                    return;
                ++accepted_;
                if (state_.current == mode::refuse)
                {
                    reset(client);
                    return;
                }
                const auto opened = std::make_shared<connection>(
                    std::move(client), state_,
                    [this](connection& ended) { connections_.erase(ended.shared_from_this()); });
                connections_.insert(opened);
                opened->start(target_);
            });
    }

    const tcp::endpoint target_;
    tcp::acceptor acceptor_;
    proxy_state state_;
    std::set<std::shared_ptr<connection>> connections_;
    std::uint64_t accepted_ = 0;
};

// Answers the control port's requests one at a time, on a thread of its own; each command runs on
// the event loop and is answered once it is in effect.
void serve_control(asio::io_context& loop, proxy& target, tcp::acceptor& acceptor)
{
    for (;;)
    {
        error_code error;
        tcp::socket socket = acceptor.accept(error);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        if (!error)
            http::read(socket, buffer, request, error);
        if (error)
            continue;
        std::promise<http::response<http::string_body>> answer;
        asio::post(loop,
                   [&]
                   {
                       const bool known =
                           request.method() == http::verb::get || target.command(request.body());
                       http::response<http::string_body> response(
                           known ? http::status::ok : http::status::bad_request, 11);
                       response.body() = target.counters();
                       answer.set_value(std::move(response));
                   });
        auto response = answer.get_future().get();
        response.set(http::field::content_type, "application/json");
        response.keep_alive(false);
        response.prepare_payload();
        http::write(socket, response, error);
        socket.shutdown(tcp::socket::shutdown_send, error);
    }
}

} // namespace

int main(int argc, const char** argv)
{
    char* target = nullptr;
    int port = 0;
    const poptOption table[] = {
        {"target", 0, POPT_ARG_STRING, &target, 0, "where connections lead", "IP:PORT"},
        {"port", 0, POPT_ARG_INT, &port, 0, "port on 127.0.0.1; 0: any free port", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext options = poptGetContext("fault_proxy", argc, argv, table, 0);
    const bool parsed = poptGetNextOpt(options) == -1;
    poptFreeContext(options);
    const std::string address = target == nullptr ? "" : target;
    const std::size_t colon = address.rfind(':');
    if (!parsed || colon == std::string::npos)
    {
        std::cerr << "usage: fault_proxy --target IP:PORT [--port PORT]\n";
        return 2;
    }
    try
    {
        asio::io_context loop;
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([](error_code, int) { ::_exit(0); });
        proxy faults(loop,
                     {asio::ip::make_address(address.substr(0, colon)),
                      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
                     static_cast<std::uint16_t>(port));
        asio::io_context control_context;
        tcp::acceptor control(control_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::thread([&] { serve_control(loop, faults, control); }).detach();
        std::cout << "listening " << faults.port() << "\ncontrol "
                  << control.local_endpoint().port() << std::endl;
        loop.run();
    }
    catch (const std::exception& error)
    {
        std::cerr << "fault_proxy: " << error.what() << '\n';
        return 1;
    }
}
