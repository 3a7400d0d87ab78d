// Stand-ins for the platform's store, engines and clients, and control of VM processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace rig
{

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline clock_type::time_point start_time()
{
    static const auto at = clock_type::now();
    return at;
}

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - start_time()).count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Lines of record.txt, with the time since the start in milliseconds.
class record
{
public:
    static record& get()
    {
        static record instance;
        return instance;
    }
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%8lld ", static_cast<long long>(now_ms()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

#define RECORD(...) rig::record::get().line(__VA_ARGS__)

// Ends the script with 2: the case could not run.
[[noreturn]] void cannot_run(const std::string& why);

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;
    bool closed = false; // the connection ended before or within the message
    bool reset = false;

    std::string field(const char* name) const
    {
        for (const auto& [key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        return {};
    }
    bool has(const char* name) const
    {
        for (const auto& [key, value] : fields)
            if (strcasecmp(key.c_str(), name) == 0)
                return true;
        return false;
    }
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const
    {
        const auto from = first_line.find(' ') + 1;
        return first_line.substr(from, first_line.find(' ', from) - from);
    }
};

// Blocking TCP connection.
class channel
{
public:
    explicit channel(int fd = -1) : fd_(fd) {}
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(); }

    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    void reset()
    {
        if (fd_ < 0)
            return;
        const linger option{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    bool connect(std::uint16_t port, int receive_buffer = 0)
    {
        close();
        buffer.clear();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return true;
        close();
        return false;
    }
    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count =
                ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Bytes read; 0 at the end, -1 at an error or time-out.
    ssize_t read_some(int timeout_ms)
    {
        pollfd entry{fd_, POLLIN, 0};
        const int ready = ::poll(&entry, 1, timeout_ms);
        if (ready == 0)
        {
            timed_out = true;
            return -1;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count > 0)
            buffer.append(bytes, static_cast<std::size_t>(count));
        return count;
    }
    // True if the peer has closed or reset the connection.
    bool peer_closed() const
    {
        pollfd entry{fd_, POLLIN | POLLRDHUP, 0};
        if (::poll(&entry, 1, 0) <= 0)
            return false;
        return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    std::string buffer;
    bool timed_out = false;

private:
    int fd_;
};

inline bool read_until(channel& from, std::size_t size, std::int64_t deadline, message& into)
{
    while (from.buffer.size() < size)
    {
        const std::int64_t left = deadline - now_ms();
        if (left <= 0)
        {
            from.timed_out = true;
            return false;
        }
        const ssize_t count = from.read_some(static_cast<int>(left));
        if (count > 0)
            continue;
        if (count == 0 || !from.timed_out)
        {
            into.closed = true;
            into.reset = count < 0;
        }
        return false;
    }
    return true;
}

// Reads a request or a response. The body of a response without length ends with the connection.
inline message read_message(channel& from, std::int64_t timeout_ms, bool is_response)
{
    message read;
    const std::int64_t deadline = now_ms() + timeout_ms;
    from.timed_out = false;
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!read_until(from, from.buffer.size() + 1, deadline, read))
            return read;
    }
    std::istringstream head(from.buffer.substr(0, end));
    from.buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (read.first_line.empty())
            read.first_line = line;
        else if (const auto colon = line.find(':'); colon != std::string::npos)
        {
            std::size_t at = colon + 1;
            while (at < line.size() && line[at] == ' ')
                ++at;
            read.fields.emplace_back(line.substr(0, colon), line.substr(at));
        }
    }
    if (strcasecmp(read.field("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        for (;;)
        {
            std::size_t line_end = 0;
            while ((line_end = from.buffer.find("\r\n")) == std::string::npos)
            {
                if (!read_until(from, from.buffer.size() + 1, deadline, read))
                    return read;
            }
            const std::size_t size = std::strtoul(from.buffer.c_str(), nullptr, 16);
            if (!read_until(from, line_end + 2 + size + 2, deadline, read))
                return read;
            read.body += from.buffer.substr(line_end + 2, size);
            from.buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0)
                break;
        }
        read.complete = true;
        return read;
    }
    if (read.has("Content-Length"))
    {
        const std::size_t size = std::strtoul(read.field("Content-Length").c_str(), nullptr, 10);
        read.complete = read_until(from, size, deadline, read);
        read.body = from.buffer.substr(0, size);
        from.buffer.erase(0, std::min(size, from.buffer.size()));
        return read;
    }
    if (!is_response || read.status() == 204 || read.status() == 304)
    {
        read.complete = true;
        return read;
    }
    while (read_until(from, from.buffer.size() + 1, deadline, read))
    {
    }
    read.body = std::exchange(from.buffer, {});
    read.complete = read.closed && !read.reset;
    return read;
}

// HTTP server with a thread for each connection.
class server
{
public:
    // Returns false to close the connection.
    using handler = std::function<bool(channel& client, const message& request)>;

    server(handler on_request, std::uint16_t port = 0) : on_request_(std::move(on_request))
    {
        listen(port);
    }
    ~server() { stop(); }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    // Closes the listener and, with a reset or in order, all connections.
    void stop(bool with_reset = true)
    {
        if (listener_ < 0)
            return;
        const int fd = listener_;
        listener_ = -1;
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
        accepting_.join();
        const std::lock_guard lock(mutex_);
        for (const int each : open_)
        {
            if (with_reset)
            {
                const linger option{1, 0};
                ::setsockopt(each, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            }
            ::shutdown(each, SHUT_RDWR);
        }
    }
    void start_again() { listen(port_); }

private:
    void listen(std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd, 512) != 0)
            cannot_run("no port for a stand-in");
        socklen_t size = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        listener_ = fd;
        accepting_ = std::thread([this, fd] { accept(fd); });
    }
    void accept(int fd)
    {
        for (;;)
        {
            const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
            {
                if (listener_ != fd)
                    return;
                continue;
            }
            const int one = 1;
            ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(client);
            }
            std::thread([this, client] { serve(client); }).detach();
        }
    }
    void serve(int fd)
    {
        channel client(fd);
        for (;;)
        {
            const message request = read_message(client, 120'000, false);
            if (!request.complete || !on_request_(client, request))
                break;
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        client.close();
    }

    handler on_request_;
    std::uint16_t port_ = 0;
    std::atomic<int> listener_{-1};
    std::thread accepting_;
    std::mutex mutex_;
    std::set<int> open_;
};

// A link of limited speed from the store to one machine.
class narrow_link
{
public:
    narrow_link(std::uint16_t to, double mbps) : to_(to), bytes_per_ms_(mbps * 125.0)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(listener_, 64) != 0 ||
            ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            cannot_run("no port for a link");
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept()
    {
        for (;;)
        {
            const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                continue;
            const auto near = std::make_shared<channel>(client);
            const auto far = std::make_shared<channel>();
            if (!far->connect(to_))
                continue;
            const int one = 1;
            ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, near, far] { pass(*near, *far, false); }).detach();
            std::thread([this, near, far] { pass(*far, *near, true); }).detach();
        }
    }
    // All connections share the link, piece by piece.
    void pass(channel& from, channel& to, bool is_limited)
    {
        char bytes[4096];
        for (;;)
        {
            const ssize_t count = ::recv(from.fd(), bytes, sizeof bytes, 0);
            if (count <= 0)
                break;
            if (is_limited)
                wait_turn(static_cast<std::size_t>(count));
            if (!to.write(std::string(bytes, static_cast<std::size_t>(count))))
                break;
        }
        ::shutdown(to.fd(), SHUT_RDWR);
        ::shutdown(from.fd(), SHUT_RDWR);
    }
    void wait_turn(std::size_t bytes)
    {
        clock_type::time_point until;
        {
            const std::lock_guard lock(mutex_);
            until = std::max(free_at_, clock_type::now());
            until += std::chrono::nanoseconds(
                static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_ms_ * 1e6));
            free_at_ = until;
        }
        std::this_thread::sleep_until(until);
    }

    std::uint16_t to_;
    double bytes_per_ms_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    clock_type::time_point free_at_{};
};

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        std::uint32_t bits = static_cast<unsigned char>(text[i]) << 16;
        if (i + 1 < text.size())
            bits |= static_cast<unsigned char>(text[i + 1]) << 8;
        if (i + 2 < text.size())
            bits |= static_cast<unsigned char>(text[i + 2]);
        out += digits[bits >> 18 & 63];
        out += digits[bits >> 12 & 63];
        out += i + 1 < text.size() ? digits[bits >> 6 & 63] : '=';
        out += i + 2 < text.size() ? digits[bits & 63] : '=';
    }
    return out;
}

inline std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store as PROTOCOL.md describes it: the tables op, servers and others.
class store
{
public:
    store()
        : server_([this](channel& client, const message& request)
                  { return handle(client, request); }),
          other_server_([this](channel& client, const message& request)
                        { return handle_other(client, request); })
    {
    }

    std::string address() const { return server_.address(); }
    std::uint16_t port() const { return server_.port(); }
    // Another address of the same store, for one machine that is to lose it for a while.
    std::string other_address() const { return other_server_.address(); }
    void cut_other() { other_server_.stop(); }
    void restore_other() { other_server_.start_again(); }
    // When a change of this table was first asked for at the other address after restore_other().
    std::atomic<std::int64_t> other_asked_at{-1};
    // From now on /rows-feed returns each change of a row, for the given time.
    void keep_history(std::int64_t history_ms)
    {
        const std::lock_guard lock(mutex_);
        history_ms_ = history_ms;
        history_from_ = version_;
    }

    // As the operator or an engine writes; returns when it is acknowledged.
    void put(const std::string& table, const std::string& key, const std::string& value,
             const std::string& part = {})
    {
        const std::lock_guard lock(mutex_);
        set(table, key, base64(value), part);
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        unset(table, key);
    }
    std::size_t count(const std::string& table)
    {
        const std::lock_guard lock(mutex_);
        std::size_t rows = 0;
        for (const auto& [name, each] : rows_)
            rows += name.table == table && !each.deleted ? 1 : 0;
        return rows;
    }

private:
    struct row_name
    {
        std::string table;
        std::string part;
        std::string key;

        bool operator<(const row_name& other) const
        {
            return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
        }
    };
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void set(const std::string& table, const std::string& key, const std::string& value,
             const std::string& part = {})
    {
        rows_[{table, part, key}] = {value, ++version_, false};
        note_change({table, part, key});
    }
    void unset(const std::string& table, const std::string& key)
    {
        const auto found = rows_.find({table, "", key});
        if (found == rows_.end() || found->second.deleted)
            return;
        found->second = {"", ++version_, true};
        note_change(found->first);
    }
    void note_change(const row_name& name)
    {
        if (history_ms_ > 0)
            history_.push_back({version_, now_ms(), name.table, encode(name, rows_[name])});
        changed_.notify_all();
    }
    // Forgets changes whose time is up. False if some after this version are forgotten.
    bool has_history_after(std::uint64_t version)
    {
        while (!history_.empty() && now_ms() - history_.front().at > history_ms_)
        {
            history_from_ = history_.front().version;
            history_.pop_front();
        }
        return history_ms_ == 0 || version >= history_from_;
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::istringstream all(target.substr(query + 1));
        std::string each;
        while (std::getline(all, each, '&'))
        {
            if (each.compare(0, name.size() + 1, name + "=") != 0)
                continue;
            std::string decoded;
            for (std::size_t i = name.size() + 1; i < each.size(); ++i)
            {
                if (each[i] == '%' && i + 2 < each.size())
                {
                    decoded +=
                        static_cast<char>(std::strtoul(each.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                }
                else
                    decoded += each[i];
            }
            return decoded;
        }
        return {};
    }
    std::string tail() const
    {
        return "\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(now_ms()) +
               "}";
    }
    static std::string encode(const row_name& name, const row& each)
    {
        std::string out = "{\"table\":\"" + name.table + "\",\"part\":\"" + name.part +
                          "\",\"key\":\"" + name.key + "\",\"ver\":" + std::to_string(each.version);
        out += each.deleted ? ",\"deleted\":true}" : ",\"value\":\"" + each.value + "\"}";
        return out;
    }
    std::string list(const std::string& table, const std::string& part, const std::string& from)
    {
        std::string rows;
        for (const auto& [name, each] : rows_)
            if (name.table == table && name.part == part && !each.deleted && name.key >= from)
                rows += (rows.empty() ? "" : ",") + encode(name, each);
        return "{\"rows\":[" + rows + "],\"has_more\":false," + tail();
    }
    std::string changes(const std::string& table, std::uint64_t after)
    {
        if (history_ms_ > 0)
        {
            std::string rows;
            for (const change& each : history_)
                if (each.table == table && each.version > after)
                    rows += (rows.empty() ? "" : ",") + each.text;
            return rows;
        }
        std::map<std::uint64_t, std::string> ordered;
        for (const auto& [name, each] : rows_)
            if (name.table == table && each.version > after)
                ordered[each.version] = encode(name, each);
        std::string rows;
        for (const auto& [version, text] : ordered)
            rows += (rows.empty() ? "" : ",") + text;
        return rows;
    }
    bool handle_other(channel& client, const message& request)
    {
        if (request.target().find("/rows-feed?table=servers") == 0 && other_asked_at < 0)
            other_asked_at = now_ms();
        return handle(client, request);
    }
    bool handle(channel& client, const message& request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::string body;
        if (path == "/rows-get")
        {
            const std::lock_guard lock(mutex_);
            body = list(parameter(target, "table"), parameter(target, "part"),
                        parameter(target, "from"));
        }
        else if (path == "/rows-feed")
        {
            const std::string table = parameter(target, "table");
            const std::uint64_t after = std::stoull(parameter(target, "after"));
            const milliseconds wait(std::stoll(parameter(target, "wait_ms")));
            std::unique_lock lock(mutex_);
            if (!has_history_after(after))
            {
                RECORD("store: changes of %s after version %llu are forgotten", table.c_str(),
                       static_cast<unsigned long long>(after));
                return client.write(response_text(410, "", "{}"));
            }
            changed_.wait_for(lock, wait, [&] { return !changes(table, after).empty(); });
            body = "{\"rows\":[" + changes(table, after) + "]," + tail();
            if (history_ms_ > 0 && table == "op")
                RECORD("store: changes of op after version %llu, %zu bytes",
                       static_cast<unsigned long long>(after), body.size());
        }
        else if (path == "/rows-tx")
        {
            const std::lock_guard lock(mutex_);
            apply(request.body);
            body = "{" + tail();
        }
        else
            return client.write(response_text(404, "", "{}"));
        return client.write(response_text(200, "Content-Type: application/json\r\n", body));
    }
    // The VMs write without a condition: entries are read from the lists puts and remove.
    void apply(const std::string& body)
    {
        const auto section = [&](const std::string& name)
        {
            const auto from = body.find("\"" + name + "\":[");
            return from == std::string::npos ? std::string()
                                             : body.substr(from, body.find(']', from) - from);
        };
        const auto fields = [](const std::string& text, const std::string& name)
        {
            std::vector<std::string> found;
            const std::string key = "\"" + name + "\":\"";
            for (auto at = text.find(key); at != std::string::npos; at = text.find(key, at + 1))
                found.push_back(text.substr(at + key.size(),
                                            text.find('"', at + key.size()) - at - key.size()));
            return found;
        };
        const std::string puts = section("puts");
        const auto tables = fields(puts, "table");
        const auto keys = fields(puts, "key");
        const auto values = fields(puts, "value");
        for (std::size_t i = 0; i < keys.size(); ++i)
            set(tables[i], keys[i], values[i]);
        const std::string removed = section("remove");
        const auto removed_tables = fields(removed, "table");
        const auto removed_keys = fields(removed, "key");
        for (std::size_t i = 0; i < removed_keys.size(); ++i)
            unset(removed_tables[i], removed_keys[i]);
    }

    struct change
    {
        std::uint64_t version = 0;
        std::int64_t at = 0;
        std::string table;
        std::string text;
    };

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, row> rows_;
    std::uint64_t version_ = 0;
    std::int64_t history_ms_ = 0; // 0: only the last change of each row is kept, without end
    std::deque<change> history_;
    std::uint64_t history_from_ = 0; // changes up to this version are forgotten
    server server_;
    server other_server_;
};

inline std::string server_entry(const std::string& service, const std::string& address,
                                const std::string& zone, int slots,
                                const std::string& state = "ready", std::int64_t born = 1,
                                int sequence = 1)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
           "\",\"cold_ms\":0,\"born\":" + std::to_string(1'796'000'000'000 + born) +
           ",\"sequence\":" + std::to_string(sequence) + "}";
}

// A free port below those that the system gives to connections, so that none takes it before the
// VM listens there.
inline std::uint16_t free_port()
{
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 37U +
                                static_cast<std::uint32_t>(::time(nullptr)) * 101U;
    for (int tries = 0; tries < 1000; ++tries)
    {
        const auto port = static_cast<std::uint16_t>(18'000 + next++ % 14'000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (is_free)
            return port;
    }
    cannot_run("no free port");
}

// A VM: the program of the deploy file with settings as the platform makes them.
class vm
{
public:
    vm(std::string name, std::string zone, const std::string& store_address, std::string folder,
       const std::string& program, const std::string& more_settings)
        : name_(std::move(name)), folder_(std::move(folder)), program_(program)
    {
        front_ = free_port();
        peers_ = free_port();
        ready_ = free_port();
        path_ = folder_ + "/" + name_ + ".yaml";
        std::ofstream file(path_);
        file << "vm: " << name_ << "\nfailure_domain: " << zone
             << "\nlisten: {callers: \"127.0.0.1:" << front_ << "\", peers: \"127.0.0.1:" << peers_
             << "\"}\nplatform: {table: \"http://" << store_address << "\"}\nseeds: []\n"
             << "keys: {accounts: [], operators: []}\nserving:\n  readiness: \"127.0.0.1:" << ready_
             << "\"\n  store: \"" << store_address
             << "\"\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  repeat_window_s: 10\n"
             << "  cold_over: 1.5\n  cold_slack: 5\n  stop_grace_s: 8\n"
             << more_settings;
    }
    ~vm() { end(); }

    // `output`: descriptor for standard output; -1: a log file in the folder
    void start(int output = -1)
    {
        const std::string log = folder_ + "/" + name_ + ".log";
        const int log_fd =
            output >= 0 ? output
                        : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        pid_ = ::fork();
        if (pid_ == 0)
        {
            (void)::prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the script
            ::dup2(log_fd, STDOUT_FILENO);
            ::dup2(log_fd, STDERR_FILENO);
            ::execl(program_.c_str(), program_.c_str(), "--settings", path_.c_str(), nullptr);
            ::_exit(127);
        }
        if (output < 0)
            ::close(log_fd);
    }
    bool is_ready() const
    {
        channel probe;
        if (!probe.connect(ready_) || !probe.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        return read_message(probe, 1000, true).status() == 200;
    }
    void wait_ready(std::int64_t timeout_ms = 10'000) const
    {
        const std::int64_t deadline = now_ms() + timeout_ms;
        while (!is_ready())
        {
            if (now_ms() > deadline)
                cannot_run(name_ + " is not ready");
            sleep_ms(20);
        }
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    // Waits for the end of the process; false if it still runs.
    bool wait_end(std::int64_t timeout_ms)
    {
        const std::int64_t deadline = now_ms() + timeout_ms;
        while (pid_ > 0)
        {
            if (::waitpid(pid_, &status_, WNOHANG) == pid_)
                pid_ = -1;
            else if (now_ms() > deadline)
                return false;
            else
                sleep_ms(5);
        }
        return true;
    }
    int status() const { return status_; }
    void end()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        (void)wait_end(5000);
    }
    std::uint16_t port() const { return front_; }
    const std::string& name() const { return name_; }
    pid_t pid() const { return pid_; }

private:
    std::string name_;
    std::string folder_;
    std::string program_;
    std::string path_;
    std::uint16_t front_ = 0;
    std::uint16_t peers_ = 0;
    std::uint16_t ready_ = 0;
    pid_t pid_ = -1;
    int status_ = 0;
};

inline std::string attempt_id()
{
    static std::atomic<std::uint64_t> next{1};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08llx", static_cast<unsigned>(::getpid()),
                  static_cast<unsigned long long>(next++));
    return text;
}

// Processes that finish() and cannot_run() end.
inline std::vector<vm*>& running_vms()
{
    static std::vector<vm*> all;
    return all;
}

[[noreturn]] inline void cannot_run(const std::string& why)
{
    RECORD("cannot run: %s", why.c_str());
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    for (vm* each : running_vms())
        each->end();
    std::_Exit(2);
}

[[noreturn]] inline void finish(bool broken, const std::string& what)
{
    RECORD("%s: %s", broken ? "BROKEN" : "HELD", what.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "HELD", what.c_str());
    std::fflush(stdout);
    for (vm* each : running_vms())
        each->end();
    std::_Exit(broken ? 1 : 0);
}

// A deployment of VMs in several zones. Arguments of a script: PROGRAM FOLDER RECORD TROUBLE.
struct script
{
    script(int argc, char** argv)
    {
        (void)start_time();
        (void)std::signal(SIGPIPE, SIG_IGN);
        if (argc != 5)
        {
            std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD TROUBLE\n", argv[0]);
            std::_Exit(2);
        }
        program = argv[1];
        folder = argv[2];
        record::get().open(argv[3]);
        trouble = std::atoi(argv[4]) != 0;
        RECORD("trouble: %s", trouble ? "yes" : "no");
        std::thread(
            []
            {
                sleep_ms(115'000);
                cannot_run("it takes too long");
            })
            .detach();
    }

    // Starts the VMs vm-0, vm-1 and so on; with `outputs`, their standard output goes there.
    void start_vms(const std::vector<std::string>& zones, const std::string& store_address,
                   const std::vector<int>& outputs = {})
    {
        start_vms(zones, std::vector<std::string>(zones.size(), store_address),
                  "  memory_mb: 260\n", outputs);
    }
    // The same with an address of the store for each.
    void start_vms(const std::vector<std::string>& zones,
                   const std::vector<std::string>& store_addresses,
                   const std::string& more_settings, const std::vector<int>& outputs = {})
    {
        for (std::size_t i = 0; i < zones.size(); ++i)
        {
            vms.push_back(std::make_unique<vm>("vm-" + std::to_string(i), zones[i],
                                               store_addresses[i], folder, program, more_settings));
            running_vms().push_back(vms.back().get());
            vms.back()->start(outputs.empty() ? -1 : outputs[i]);
        }
        for (const auto& each : vms)
            each->wait_ready();
        RECORD("%zu VMs are ready", vms.size());
        sleep_ms(1500); // links between them
    }
    vm& vm_of(int number) { return *vms[static_cast<std::size_t>(number) % vms.size()]; }

    std::string program;
    std::string folder;
    bool trouble = true;
    std::vector<std::unique_ptr<vm>> vms;
};

} // namespace rig
