// Blocking HTTP server of the stand-ins, based on Boost.Beast, with one thread per connection.
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

// What makes the heads of responses invalid.
struct head_fault
{
    std::string status; // replaces the status code; empty: none
    std::string lines;  // added to the header, each with its line end
};

// Connection of one client, with its current request.
class session
{
public:
    explicit session(boost::asio::ip::tcp::socket socket);

    // Of the response to the current request.
    void set_head_fault(head_fault fault) { head_fault_ = std::move(fault); }

    // Reads the next request. Returns false if the connection is closed or the request is
    // malformed.
    bool read();

    std::string method() const;
    std::string path() const; // percent-decoded, without the query
    std::string query(const std::string& name) const;
    std::string header(boost::beast::http::field name) const;
    const std::string& body() const;

    void respond(int status, std::string body,
                 const std::map<std::string, std::string>& headers = {});

    // Sends a response in chunks. start_stream and write_line return false if the write fails, for
    // example because the client has disconnected.
    bool start_stream();
    bool write_line(const std::string& line);
    void finish_stream();

    // Waits for `duration`. Returns false early if the client disconnects or `should_stop` returns
    // true.
    bool wait(milliseconds duration, const std::function<bool()>& should_stop);

    // Closes the connection without a response.
    void close();

private:
    // Sends a response, or its head, with the fault in it.
    template <typename Message>
    bool send_with_fault(const Message& message);

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    head_fault head_fault_;
};

// Listens on 127.0.0.1, calls `handler` for each request, and returns the port; port 0 chooses a
// free one. Threads are never joined: the process terminates by _exit.
std::uint16_t start_server(std::uint16_t port, std::function<void(session&)> handler);

} // namespace standins
