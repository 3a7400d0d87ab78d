#include "session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>

namespace standins
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t body_limit = 8 * 1024 * 1024;
constexpr milliseconds stop_check_interval{10};

std::string percent_decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            decoded += text[i];
    }
    return decoded;
}

} // namespace

session::session(tcp::socket socket) : socket_(std::move(socket))
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

bool session::read()
{
    if (!socket_.is_open())
        return false;
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    boost::system::error_code error;
    http::read(socket_, buffer_, parser, error);
    if (error)
        return false;
    request_ = parser.release();
    return true;
}

std::string session::method() const
{
    return std::string(request_.method_string());
}

std::string session::path() const
{
    const std::string target(request_.target());
    return percent_decode(target.substr(0, target.find('?')));
}

std::string session::query(const std::string& name) const
{
    const std::string target(request_.target());
    std::size_t begin = target.find('?');
    while (begin != std::string::npos)
    {
        const std::size_t end = target.find('&', begin + 1);
        const std::string field = target.substr(begin + 1, end - begin - 1);
        if (field.starts_with(name + '='))
            return percent_decode(field.substr(name.size() + 1));
        begin = end;
    }
    return {};
}

std::string session::header(http::field name) const
{
    return std::string(request_[name]);
}

const std::string& session::body() const
{
    return request_.body();
}

template <typename Message>
bool session::send_with_fault(const Message& message)
{
    constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t status_digits = 3;
    std::ostringstream out;
    out << message;
    std::string text = out.str();
    text.insert(text.find("\r\n\r\n") + 2, head_fault_.lines);
    if (!head_fault_.status.empty())
        text.replace(status_at, status_digits, head_fault_.status);
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(text), error);
    return !error;
}

void session::respond(int status, std::string body,
                      const std::map<std::string, std::string>& headers)
{
    http::response<http::string_body> response(static_cast<http::status>(status),
                                               request_.version());
    response.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers)
        response.set(name, value);
    response.keep_alive(request_.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    if (!send_with_fault(response) || !request_.keep_alive())
        close();
}

bool session::start_stream()
{
    http::response<http::empty_body> response(http::status::ok, request_.version());
    response.set(http::field::content_type, "application/x-ndjson");
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    return send_with_fault(response.base());
}

bool session::write_line(const std::string& line)
{
    const std::string chunk = line + '\n';
    boost::system::error_code error;
    boost::asio::write(socket_, http::make_chunk(boost::asio::buffer(chunk)), error);
    return !error;
}

void session::finish_stream()
{
    boost::system::error_code error;
    boost::asio::write(socket_, http::make_chunk_last(), error);
    if (error || !request_.keep_alive())
        close();
}

bool session::wait(milliseconds duration, const std::function<bool()>& should_stop)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    for (;;)
    {
        const auto left = std::chrono::ceil<milliseconds>(end - std::chrono::steady_clock::now());
        const auto slice = std::clamp(left, milliseconds{0}, stop_check_interval);
        pollfd client{socket_.native_handle(), POLLRDHUP, 0};
        if (::poll(&client, 1, static_cast<int>(slice.count())) > 0 || should_stop())
            return false;
        if (left <= slice)
            return true;
    }
}

void session::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

std::uint16_t start_server(std::uint16_t port, std::function<void(session&)> handler)
{
    static boost::asio::io_context context;
    auto acceptor = std::make_shared<tcp::acceptor>(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    const std::uint16_t bound_port = acceptor->local_endpoint().port();
    std::thread(
        [acceptor, handler = std::move(handler)]
        {
            for (;;)
            {
                boost::system::error_code error;
                tcp::socket socket = acceptor->accept(error);
                if (error)
                    continue;
                std::thread(
                    [handler, socket = std::move(socket)]() mutable
                    {
                        session client(std::move(socket));
                        while (client.read())
                        {
                            try
                            {
                                handler(client);
                            }
                            catch (const std::exception& error)
                            {
                                std::cerr << "request failed: " << error.what() << '\n';
                                client.respond(400, R"({"error":"bad request"})");
                            }
                        }
                    })
                    .detach();
            }
        })
        .detach();
    return bound_port;
}

} // namespace standins
