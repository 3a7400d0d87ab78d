// fault_proxy: TCP proxy for one target address that injects network faults on command.
//
// Prints `listening PORT` and `control PORT`. The body of a POST to the control port is one
// command:
//   pass                ends refuse, freeze_all, drop_answers and delay; forwards held-back data
//   refuse              new connections are reset
//   cut                 resets all existing connections, once
//   freeze_established  existing connections stop forwarding permanently; new ones work
//   freeze_all          existing and new connections stop forwarding until `pass`
//   drop_answers        forwards data to the target, discards data from the target
//   delay MS            forwards each read MS milliseconds late
// GET and POST return {"accepted":n,"open":n,"frozen":n}, counts of connections.
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
    mode current_mode = mode::pass;
    std::chrono::milliseconds delay{0};
    std::vector<std::function<void()>> deferred; // run on `pass`
};

// Closes the socket with a TCP reset instead of an orderly shutdown.
void close_with_reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// One proxied connection. All handlers run on the single thread of the event loop.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket client, proxy_state& state, std::function<void(connection&)> on_closed)
        : state_(state), on_closed_(std::move(on_closed)), target_(client.get_executor()),
          client_(std::move(client)), client_to_target_(client_, target_),
          target_to_client_(target_, client_)
    {
    }

    void start(const tcp::endpoint& target)
    {
        if (state_.current_mode == mode::freeze_all)
        {
            state_.deferred.emplace_back([self = shared_from_this(), target]
                                         { self->start(target); });
            return;
        }
        target_.async_connect(target,
                              [self = shared_from_this()](error_code error)
                              {
                                  if (error)
                                  {
                                      self->abort();
                                      return;
                                  }
                                  self->set_no_delay();
                                  self->read(self->client_to_target_);
                                  self->read(self->target_to_client_);
                              });
    }

    // Stops forwarding permanently, with the sockets left open.
    void freeze() { frozen_ = true; }

    bool frozen() const { return frozen_; }

    void abort()
    {
        const auto self = shared_from_this(); // on_closed_ releases the owner's reference
        close_with_reset(client_);
        close_with_reset(target_);
        on_closed_(*this);
    }

private:
    struct relay_direction
    {
        relay_direction(tcp::socket& source, tcp::socket& sink)
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

    void read(relay_direction& direction)
    {
        direction.from.async_read_some(
            asio::buffer(direction.data),
            [self = shared_from_this(), &direction](error_code error, std::size_t size)
            { self->on_read(direction, error, size); });
    }

    void on_read(relay_direction& direction, error_code error, std::size_t size)
    {
        if (error == asio::error::operation_aborted || !direction.from.is_open())
            return;
        direction.timer.expires_after(state_.delay);
        direction.timer.async_wait([self = shared_from_this(), &direction, error, size](error_code)
                                   { self->forward(direction, error, size); });
    }

    // Forwards the result of a read: data, an orderly shutdown or a reset.
    void forward(relay_direction& direction, error_code error, std::size_t size)
    {
        if (frozen_ || !direction.from.is_open())
            return;
        const bool dropping =
            state_.current_mode == mode::drop_answers && &direction == &target_to_client_;
        if (state_.current_mode == mode::freeze_all || (dropping && error))
        {
            state_.deferred.emplace_back([self = shared_from_this(), &direction, error, size]
                                         { self->forward(direction, error, size); });
            return;
        }
        if (dropping)
            read(direction);
        else if (error)
            handle_read_error(direction, error);
        else
            write(direction, size);
    }

    void write(relay_direction& direction, std::size_t size)
    {
        asio::async_write(direction.to, asio::buffer(direction.data.data(), size),
                          [self = shared_from_this(), &direction](error_code error, std::size_t)
                          {
                              if (!error)
                                  self->read(direction);
                              else if (direction.to.is_open() && !self->frozen_)
                                  self->abort();
                          });
    }

    void handle_read_error(relay_direction& direction, error_code error)
    {
        if (error != asio::error::eof)
        {
            abort();
            return;
        }
        direction.ended = true;
        error_code ignored;
        direction.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (!client_to_target_.ended || !target_to_client_.ended)
            return;
        client_.close(ignored);
        target_.close(ignored);
        on_closed_(*this); // the handler that is running holds a reference
    }

    proxy_state& state_;
    std::function<void(connection&)> on_closed_;
    tcp::socket target_;
    tcp::socket client_;
    relay_direction client_to_target_;
    relay_direction target_to_client_;
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

    // Executes a command of the control port. Returns false if it is unknown or malformed.
    bool execute(const std::string& command)
    {
        std::istringstream words(command);
        std::string name;
        words >> name;
        if (name == "pass")
            pass();
        else if (name == "refuse")
            state_.current_mode = mode::refuse;
        else if (name == "freeze_all")
            state_.current_mode = mode::freeze_all;
        else if (name == "drop_answers")
            state_.current_mode = mode::drop_answers;
        else if (name == "cut")
        {
            while (!connections_.empty())
                (*connections_.begin())->abort();
        }
        else if (name == "freeze_established")
        {
            for (const auto& established : connections_)
                established->freeze();
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
        for (const auto& established : connections_)
            frozen += established->frozen() ? 1 : 0;
        return "{\"accepted\":" + std::to_string(accepted_) +
               ",\"open\":" + std::to_string(connections_.size()) +
               ",\"frozen\":" + std::to_string(frozen) + '}';
    }

private:
    void pass()
    {
        state_.current_mode = mode::pass;
        state_.delay = {};
        for (const auto& resume : std::exchange(state_.deferred, {}))
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
                if (state_.current_mode == mode::refuse)
                {
                    close_with_reset(client);
                    return;
                }
                const auto opened = std::make_shared<connection>(
                    std::move(client), state_,
                    [this](connection& closed) { connections_.erase(closed.shared_from_this()); });
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

// Serves the control port, one request at a time, on its own thread. Each command runs on the event
// loop; the response is sent after the command has taken effect.
void serve_control(asio::io_context& loop, proxy& fault_proxy, tcp::acceptor& acceptor)
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
        std::promise<http::response<http::string_body>> result;
        asio::post(loop,
                   [&]
                   {
                       const bool known = request.method() == http::verb::get ||
                                          fault_proxy.execute(request.body());
                       http::response<http::string_body> response(
                           known ? http::status::ok : http::status::bad_request, 11);
                       response.body() = fault_proxy.counters();
                       result.set_value(std::move(response));
                   });
        auto response = result.get_future().get();
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
    const poptOption option_table[] = {
        {"target", 0, POPT_ARG_STRING, &target, 0, "address that connections are forwarded to",
         "IP:PORT"},
        {"port", 0, POPT_ARG_INT, &port, 0, "port on 127.0.0.1; 0: any free port", "PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext options = poptGetContext("fault_proxy", argc, argv, option_table, 0);
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
        proxy fault_proxy(loop,
                          {asio::ip::make_address(address.substr(0, colon)),
                           static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
                          static_cast<std::uint16_t>(port));
        asio::io_context control_context;
        tcp::acceptor control(control_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::thread([&] { serve_control(loop, fault_proxy, control); }).detach();
        std::cout << "listening " << fault_proxy.port() << "\ncontrol "
                  << control.local_endpoint().port() << std::endl;
        loop.run();
    }
    catch (const std::exception& error)
    {
        std::cerr << "fault_proxy: " << error.what() << '\n';
        return 1;
    }
}
