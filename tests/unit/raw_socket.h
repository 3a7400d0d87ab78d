// Plain TCP sockets for tests that send what no well-behaved HTTP peer would. Every wait ends at a
// generous deadline, after which the test fails.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace zinnianotch::test
{

using clock = std::chrono::steady_clock;

inline constexpr std::chrono::seconds wait_limit{30};
inline constexpr int poll_step_ms = 5;

// Polls until the condition holds; false after the deadline.
template <typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds limit = wait_limit)
{
    const auto end = clock::now() + limit;
    while (!condition())
    {
        if (clock::now() >= end)
            return false;
        ::poll(nullptr, 0, poll_step_ms);
    }
    return true;
}

// An owned TCP socket on the loopback interface.
class raw_socket
{
public:
    raw_socket() = default;
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
    raw_socket(raw_socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    raw_socket& operator=(raw_socket&& other) noexcept
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        return *this;
    }
    ~raw_socket() { close(); }

    // Connects to a port; a receive buffer size of 0 leaves the system's choice.
    static raw_socket connect_to(std::uint16_t port, int receive_buffer = 0)
    {
        raw_socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receive_buffer > 0)
            ::setsockopt(out.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer);
        const sockaddr_in address = loopback(port);
        if (::connect(out.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0)
            out.close();
        return out;
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(port);
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return out;
    }

    bool valid() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }

    // False when the peer has closed the connection before all was taken.
    bool send(std::string_view data) const
    {
        while (!data.empty())
        {
            pollfd wait{descriptor_, POLLOUT, 0};
            if (::poll(&wait, 1, wait_ms()) <= 0)
                return false;
            const ssize_t count =
                ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // Reads until the text occurs in what was received, the connection ends or the deadline
    // passes; returns all that was received and not yet returned.
    std::string read_until(std::string_view needle)
    {
        std::string out;
        ended_ = false;
        const auto end = clock::now() + wait_limit;
        while (needle.empty() || out.find(needle) == std::string::npos)
        {
            pollfd wait{descriptor_, POLLIN, 0};
            if (clock::now() >= end || ::poll(&wait, 1, wait_ms()) <= 0)
                return out;
            char piece[4096];
            const ssize_t count = ::recv(descriptor_, piece, sizeof piece, 0);
            if (count <= 0)
            {
                ended_ = true;
                return out;
            }
            out.append(piece, static_cast<std::size_t>(count));
        }
        return out;
    }

    // Reads until the peer closes; ended() says whether it did.
    std::string read_to_end() { return read_until({}); }
    bool ended() const { return ended_; }

    void shutdown_send() const { ::shutdown(descriptor_, SHUT_WR); }

    // Closes with a reset instead of an orderly end.
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

private:
    static int wait_ms() { return static_cast<int>(std::chrono::milliseconds(wait_limit).count()); }

    int descriptor_ = -1;
    bool ended_ = false;
};

// A listening socket on a port that the system chose.
class raw_listener
{
public:
    explicit raw_listener(int backlog = 64)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in wanted = raw_socket::loopback(0);
        if (::bind(socket_.descriptor(), reinterpret_cast<const sockaddr*>(&wanted),
                   sizeof wanted) != 0)
            return; // port 0 makes every later step of the test fail
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        (void)::getsockname(socket_.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
        port_ = ntohs(bound.sin_port);
        if (backlog > 0)
            ::listen(socket_.descriptor(), backlog);
    }

    std::uint16_t port() const { return port_; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }

    // Invalid when no connection arrives before the deadline, or within the given time.
    raw_socket accept(std::chrono::milliseconds limit = wait_limit) const
    {
        pollfd wait{socket_.descriptor(), POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(limit.count())) <= 0)
            return {};
        return raw_socket(::accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    }

private:
    raw_socket socket_;
    std::uint16_t port_ = 0;
};

} // namespace zinnianotch::test
