// Plain TCP sockets for tests that send invalid or incomplete HTTP, or close connections at chosen
// moments. Waits time out after test_timeout unless the caller sets a limit.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinnianotch::test
{

using clock = std::chrono::steady_clock;

// Much longer than any awaited event takes, so that a timeout is a failure.
inline constexpr std::chrono::seconds test_timeout{30};
inline constexpr int poll_step_ms = 5;

// Polls until the condition holds; returns false on timeout.
template <typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds timeout = test_timeout)
{
    const auto deadline = clock::now() + timeout;
    while (!condition())
    {
        if (clock::now() >= deadline)
            return false;
        ::poll(nullptr, 0, poll_step_ms);
    }
    return true;
}

// Owns an IPv4 TCP socket; connections go to the loopback interface.
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

    // Connects to a port of the loopback interface; the result is not valid() on failure.
    // `receive_buffer_bytes` sets SO_RCVBUF; 0 keeps the system's default.
    static raw_socket connect_to(std::uint16_t port, int receive_buffer_bytes = 0)
    {
        raw_socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (receive_buffer_bytes > 0)
            ::setsockopt(out.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                         sizeof receive_buffer_bytes);
        const sockaddr_in address = loopback_address(port);
        if (::connect(out.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0)
            out.close();
        return out;
    }

    static sockaddr_in loopback_address(std::uint16_t port)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(port);
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return out;
    }

    bool valid() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }

    // True if bytes or the end of the connection have arrived.
    bool is_readable() const
    {
        pollfd readable{descriptor_, POLLIN, 0};
        return ::poll(&readable, 1, 0) > 0;
    }

    // Returns false if the connection fails, or the peer stops reading for test_timeout, before all
    // of `data` has been passed to the system.
    bool send(std::string_view data) const
    {
        while (!data.empty())
        {
            pollfd writable{descriptor_, POLLOUT, 0};
            if (::poll(&writable, 1, test_timeout_ms()) <= 0)
                return false;
            const ssize_t count =
                ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // Reads until the bytes received by this call contain `text`, the connection ends or
    // test_timeout has elapsed; returns all bytes received by this call. An empty `text` matches
    // nothing.
    std::string read_until(std::string_view text)
    {
        std::string out;
        disconnected_ = false;
        const auto deadline = clock::now() + test_timeout;
        while (text.empty() || out.find(text) == std::string::npos)
        {
            pollfd readable{descriptor_, POLLIN, 0};
            if (clock::now() >= deadline || ::poll(&readable, 1, test_timeout_ms()) <= 0)
                return out;
            char buffer[4096];
            const ssize_t count = ::recv(descriptor_, buffer, sizeof buffer, 0);
            if (count <= 0)
            {
                disconnected_ = true;
                return out;
            }
            out.append(buffer, static_cast<std::size_t>(count));
        }
        return out;
    }

    // Waits until no more bytes arrive, as when the peer has filled the buffers of the connection;
    // returns false on timeout.
    bool wait_until_filled() const
    {
        constexpr int unchanged_polls = 10;
        int waiting_bytes = -1;
        int unchanged = 0;
        const auto is_filled = [&]
        {
            int now_waiting = 0;
            (void)::ioctl(descriptor_, FIONREAD, &now_waiting);
            unchanged = now_waiting == waiting_bytes ? unchanged + 1 : 0;
            waiting_bytes = now_waiting;
            return unchanged >= unchanged_polls;
        };
        return eventually(is_filled);
    }

    // Reads until the connection ends or test_timeout has elapsed; disconnected() tells which.
    std::string read_to_end() { return read_until({}); }
    // True if the last read found the connection closed or reset by the peer.
    bool disconnected() const { return disconnected_; }

    void shutdown_send() const { ::shutdown(descriptor_, SHUT_WR); }

    // Closes the connection with a TCP reset: SO_LINGER with a timeout of 0.
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
    static int test_timeout_ms()
    {
        return static_cast<int>(std::chrono::milliseconds(test_timeout).count());
    }

    int descriptor_ = -1;
    bool disconnected_ = false;
};

// Socket bound to a loopback port chosen by the system. With a backlog of 0 it does not listen, so
// that connections to its port are refused.
class raw_listener
{
public:
    explicit raw_listener(int backlog = 64)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in requested = raw_socket::loopback_address(0);
        if (::bind(socket_.descriptor(), reinterpret_cast<const sockaddr*>(&requested),
                   sizeof requested) != 0)
            return; // port() stays 0, and connections to it fail
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        (void)::getsockname(socket_.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
        port_ = ntohs(bound.sin_port);
        if (backlog > 0)
            ::listen(socket_.descriptor(), backlog);
    }

    std::uint16_t port() const { return port_; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }

    // Refuses connections from now on.
    void close() { socket_.close(); }

    // Accepts a connection; the result is not valid() on timeout.
    raw_socket accept(std::chrono::milliseconds timeout = test_timeout) const
    {
        pollfd readable{socket_.descriptor(), POLLIN, 0};
        if (::poll(&readable, 1, static_cast<int>(timeout.count())) <= 0)
            return {};
        return raw_socket(::accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    }

    // Connects until the listener's backlog is full. The last one is not established.
    std::vector<raw_socket> fill_backlog() const
    {
        constexpr int established_within_ms = 100;
        std::vector<raw_socket> out;
        for (int i = 0; i < 64; ++i)
        {
            raw_socket client(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            const sockaddr_in address = raw_socket::loopback_address(port_);
            (void)::connect(client.descriptor(), reinterpret_cast<const sockaddr*>(&address),
                            sizeof address);
            pollfd writable{client.descriptor(), POLLOUT, 0};
            const bool established = ::poll(&writable, 1, established_within_ms) > 0;
            out.push_back(std::move(client));
            if (!established)
                return out;
        }
        return {}; // it takes every connection
    }

private:
    raw_socket socket_;
    std::uint16_t port_ = 0;
};

} // namespace zinnianotch::test
