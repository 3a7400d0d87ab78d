// Sockets, HTTP/1.1 and time for the stand-ins of the second review. Blocking calls, one thread for
// each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace rig
{

using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point started = clock_type::now();

// Milliseconds since the start of the rig.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - started)
        .count();
}

inline void sleep_ms(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void sleep_until_ms(std::int64_t at)
{
    sleep_ms(at - now_ms());
}

// A loopback address of this process's own, so that runs beside one another share no ports.
inline const std::string& own_host()
{
    static const std::string host = "127." + std::to_string(1 + ::getpid() / 250 % 250) + "." +
                                    std::to_string(1 + ::getpid() % 250) + ".1";
    return host;
}

struct address
{
    std::string host = own_host();
    std::uint16_t port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &out.sin_addr);
    return out;
}

// Listens on the address; port 0 takes a free one, which is stored in `at`. -1 on failure.
inline int listen_on(address& at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in local = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof local;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
    at.port = ntohs(local.sin_port);
    return fd;
}

// The system may give out a port again that was only bound for a moment.
inline address free_address()
{
    static std::set<std::uint16_t> taken;
    for (;;)
    {
        address at;
        ::close(listen_on(at));
        if (taken.insert(at.port).second)
            return at;
    }
}

inline int connect_to(const address& at, int timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in peer = to_sockaddr(at);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0)
    {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeout_ms) != 1 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        {
            ::close(fd);
            return -1;
        }
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN)
        {
            pollfd waiting{fd, POLLOUT, 0};
            if (::poll(&waiting, 1, 5000) != 1)
                return false;
            continue;
        }
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Bytes of a connection, read with a deadline.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}
    // False at the end of the connection, on an error or after the deadline.
    bool fill(std::int64_t deadline_ms)
    {
        for (;;)
        {
            pollfd waiting{fd_, POLLIN, 0};
            const std::int64_t left = deadline_ms - now_ms();
            if (left <= 0)
            {
                timed_out = true;
                return false;
            }
            const int ready = ::poll(&waiting, 1, static_cast<int>(left));
            if (ready == 0)
            {
                timed_out = true;
                return false;
            }
            if (ready < 0 && errno == EINTR)
                continue;
            char buffer[16384];
            const ssize_t count = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (count <= 0)
            {
                was_reset = count < 0;
                return false;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
            return true;
        }
    }

    std::string bytes;
    bool timed_out = false;
    bool was_reset = false;

private:
    int fd_;
};

struct message
{
    std::string first_line;
    std::string method; // of a request
    std::string target;
    int status = 0;                            // of a response
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool complete = false;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline void parse_head(const std::string& head, message& out)
{
    std::size_t at = head.find("\r\n");
    out.first_line = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size())
    {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        out.fields[lower(line.substr(0, colon))] = line.substr(value);
    }
    const std::size_t space = out.first_line.find(' ');
    if (out.first_line.starts_with("HTTP/"))
        out.status = std::atoi(out.first_line.c_str() + space + 1);
    else if (space != std::string::npos)
    {
        out.method = out.first_line.substr(0, space);
        out.target = out.first_line.substr(space + 1, out.first_line.rfind(' ') - space - 1);
    }
}

// Reads one message. nullopt if the connection ended before its head; otherwise `complete` tells
// whether all of its body has arrived.
inline std::optional<message> read_message(reader& in, std::int64_t deadline_ms)
{
    message out;
    std::size_t end = 0;
    while ((end = in.bytes.find("\r\n\r\n")) == std::string::npos)
    {
        if (!in.fill(deadline_ms))
            return std::nullopt;
    }
    parse_head(in.bytes.substr(0, end), out);
    in.bytes.erase(0, end + 4);
    const auto length = out.fields.find("content-length");
    const bool has_no_body = out.status == 204 || out.status == 304;
    if (lower(out.field("transfer-encoding")) == "chunked")
    {
        for (;;)
        {
            std::size_t line = 0;
            while ((line = in.bytes.find("\r\n")) == std::string::npos)
            {
                if (!in.fill(deadline_ms))
                    return out;
            }
            const std::size_t size = std::strtoul(in.bytes.c_str(), nullptr, 16);
            while (in.bytes.size() < line + 2 + size + 2)
            {
                if (!in.fill(deadline_ms))
                    return out;
            }
            out.body += in.bytes.substr(line + 2, size);
            in.bytes.erase(0, line + 2 + size + 2);
            if (size == 0)
                break;
        }
    }
    else if (length != out.fields.end())
    {
        const std::size_t size = std::strtoul(length->second.c_str(), nullptr, 10);
        while (in.bytes.size() < size)
        {
            if (!in.fill(deadline_ms))
                return out;
        }
        out.body = in.bytes.substr(0, size);
        in.bytes.erase(0, size);
    }
    else if (out.status != 0 && !has_no_body)
    {
        while (in.fill(deadline_ms))
        {
        }
        out.body = std::exchange(in.bytes, {});
        out.complete = !in.timed_out && !in.was_reset;
        return out;
    }
    out.complete = true;
    return out;
}

// True if the peer has closed the connection.
inline bool is_closed(int fd)
{
    char byte = 0;
    const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace rig
