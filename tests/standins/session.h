// Blocking HTTP server of the stand-ins on Boost.Beast, one thread for each connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace standins
{

using milliseconds = std::chrono::milliseconds;

// One connection of a client, with the request that is being answered.
class session
{
public:
    explicit session(boost::asio::ip::tcp::socket socket);

    // Reads the next request; false when the connection has ended.
    bool read();

    std::string method() const;
    std::string path() const; // percent-decoded, without the query
    std::string query(const std::string& name) const;
    std::string header(boost::beast::http::field name) const;
    const std::string& body() const;

    void answer(int status, std::string body,
                const std::map<std::string, std::string>& headers = {});

    // Streams a chunked answer. write_line returns false once the client is gone.
    bool start_stream();
    bool write_line(const std::string& line);
    void finish_stream();

    // Waits for `duration`; returns false early when the client leaves or `stop` returns true.
    bool wait(milliseconds duration, const std::function<bool()>& stop);

    // Closes the connection without an answer.
    void close();

private:
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
};

// Listens on 127.0.0.1 and serves each request with `handler`; returns the port. Threads are never
// joined: the process ends by _exit.
std::uint16_t listen(std::uint16_t port, std::function<void(session&)> handler);

} // namespace standins
