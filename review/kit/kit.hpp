// Stand-ins for the scripts of the review: the platform's store, HTTP on blocking sockets, and the
// VMs as processes. Each case is one program that links this file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline steady::time_point began = steady::now();

inline long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - began).count();
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// record.txt: one line for each thing that was sent, answered or run.
class recorder
{
public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...)
    {
        std::lock_guard lock(mutex_);
        if (file_ == nullptr)
            return;
        std::fprintf(file_, "%7ld ", now_ms());
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

inline recorder record;

// A JSON value, as far as the messages here need it.
struct json
{
    enum class type
    {
        null,
        boolean,
        number,
        string,
        array,
        object
    };
    type kind = type::null;
    bool boolean = false;
    double number = 0;
    std::string text;
    std::vector<json> items;
    std::map<std::string, json> fields;

    const json& operator[](const std::string& name) const
    {
        static const json none;
        const auto found = fields.find(name);
        return found == fields.end() ? none : found->second;
    }

    static json parse(const std::string& from)
    {
        std::size_t at = 0;
        return value(from, at);
    }

private:
    static void skip(const std::string& s, std::size_t& at)
    {
        while (at < s.size() && std::isspace(static_cast<unsigned char>(s[at])))
            ++at;
    }
    static std::string quoted(const std::string& s, std::size_t& at)
    {
        std::string out;
        ++at;
        while (at < s.size() && s[at] != '"')
        {
            if (s[at] == '\\' && at + 1 < s.size())
            {
                ++at;
                if (s[at] == 'n')
                    out += '\n';
                else if (s[at] == 'u')
                {
                    out += static_cast<char>(std::stoi(s.substr(at + 1, 4), nullptr, 16));
                    at += 4;
                }
                else
                    out += s[at];
            }
            else
                out += s[at];
            ++at;
        }
        ++at;
        return out;
    }
    static json value(const std::string& s, std::size_t& at)
    {
        json out;
        skip(s, at);
        if (at >= s.size())
            return out;
        if (s[at] == '{' || s[at] == '[')
        {
            const bool object = s[at] == '{';
            const char end = object ? '}' : ']';
            out.kind = object ? type::object : type::array;
            ++at;
            for (skip(s, at); at < s.size() && s[at] != end; skip(s, at))
            {
                if (s[at] == ',')
                {
                    ++at;
                    continue;
                }
                if (!object)
                {
                    out.items.push_back(value(s, at));
                    continue;
                }
                const std::string name = quoted(s, at);
                skip(s, at);
                ++at; // the colon
                out.fields[name] = value(s, at);
            }
            ++at;
            return out;
        }
        if (s[at] == '"')
        {
            out.kind = type::string;
            out.text = quoted(s, at);
            return out;
        }
        std::size_t end = at;
        while (end < s.size() && std::strchr(",]} \r\n\t", s[end]) == nullptr)
            ++end;
        const std::string word = s.substr(at, end - at);
        at = end;
        if (word == "true" || word == "false")
        {
            out.kind = type::boolean;
            out.boolean = word == "true";
        }
        else if (word != "null")
        {
            out.kind = type::number;
            out.number = std::atof(word.c_str());
        }
        return out;
    }
};

inline std::string base64(const std::string& in)
{
    static const char* table = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        std::uint32_t v = static_cast<unsigned char>(in[i]) << 16;
        if (i + 1 < in.size())
            v |= static_cast<unsigned char>(in[i + 1]) << 8;
        if (i + 2 < in.size())
            v |= static_cast<unsigned char>(in[i + 2]);
        out += table[v >> 18];
        out += table[(v >> 12) & 63];
        out += i + 1 < in.size() ? table[(v >> 6) & 63] : '=';
        out += i + 2 < in.size() ? table[v & 63] : '=';
    }
    return out;
}

struct message
{
    std::string start_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool until_close = false;

    std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    std::string target() const
    {
        const std::size_t first = start_line.find(' ') + 1;
        return start_line.substr(first, start_line.find(' ', first) - first);
    }
    int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

// One TCP connection; closed with the object.
class channel
{
public:
    explicit channel(int fd = -1) : fd_(fd) {}
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    static std::shared_ptr<channel> connect(int port, int timeout_ms = 1000)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::fcntl(fd, F_SETFL, O_NONBLOCK);
        int failed = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
        if (failed != 0 && errno == EINPROGRESS)
        {
            pollfd wait{fd, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t size = sizeof error;
            if (::poll(&wait, 1, timeout_ms) == 1)
                (void)::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            failed = error;
        }
        if (failed != 0)
        {
            ::close(fd);
            return nullptr;
        }
        (void)::fcntl(fd, F_SETFL, 0);
        const int on = 1;
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return std::make_shared<channel>(fd);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads one message; nullopt when the channel ends first or the time is over.
    std::optional<message> read(long timeout_ms, bool response = false)
    {
        const auto end = steady::now() + milliseconds(timeout_ms);
        std::size_t head = std::string::npos;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill(end))
                return std::nullopt;
        }
        message out;
        std::size_t at = buffer_.find("\r\n");
        out.start_line = buffer_.substr(0, at);
        at += 2;
        while (at < head + 2)
        {
            const std::size_t stop = buffer_.find("\r\n", at);
            const std::string line = buffer_.substr(at, stop - at);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            std::size_t from = colon + 1;
            while (from < line.size() && line[from] == ' ')
                ++from;
            out.fields[name] = line.substr(from);
            at = stop + 2;
        }
        buffer_.erase(0, head + 4);
        if (out.field("transfer-encoding") == "chunked")
            return chunks(out, end) ? std::optional(out) : std::nullopt;
        if (response && !out.fields.contains("content-length"))
        {
            out.until_close = true;
            return out;
        }
        const std::size_t length =
            static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
        while (buffer_.size() < length)
        {
            if (!fill(end))
                return std::nullopt;
        }
        out.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return out;
    }

    // True once the peer has closed or reset the channel.
    bool is_gone()
    {
        char byte = 0;
        const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void reset()
    {
        const linger hard{1, 0};
        (void)::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void shut() { (void)::shutdown(fd_, SHUT_RDWR); }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

private:
    bool fill(steady::time_point end)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
        pollfd wait{fd_, POLLIN, 0};
        if (fd_ < 0 || left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool chunks(message& out, steady::time_point end)
    {
        for (;;)
        {
            std::size_t line = 0;
            while ((line = buffer_.find("\r\n")) == std::string::npos)
            {
                if (!fill(end))
                    return false;
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2)
            {
                if (!fill(end))
                    return false;
            }
            out.body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int fd_;
    std::string buffer_;
};

using channel_ptr = std::shared_ptr<channel>;

inline std::string answer(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK\r\n" : " Status\r\n") +
           fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts on a loopback port and serves each channel on a thread of its own. The handler returns
// false to end the channel.
class server
{
public:
    using handler = std::function<bool(const channel_ptr&, const message&)>;

    explicit server(handler on_message, int port = 0) : on_message_(std::move(on_message))
    {
        listen(port);
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void listen(int port)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        (void)::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 512) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof at;
        (void)::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    void accept()
    {
        for (;;)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [this, open = std::make_shared<channel>(fd)]
                {
                    while (const auto got = open->read(3'600'000))
                    {
                        if (!on_message_(open, *got))
                            break;
                    }
                    open->close();
                })
                .detach();
        }
    }

    handler on_message_;
    int fd_ = -1;
    int port_ = 0;
};

// A port below those that the system gives to outgoing connections, which could take it while the
// process that it is for restarts. Programs that run at the same time look in different places.
inline int free_port()
{
    static int next = 10'000 + static_cast<int>(::getpid() % 100) * 60;
    for (;;)
    {
        const int port = next++;
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(fd);
        if (is_free)
            return port;
    }
}

// The platform's store: rows, transactions, reads and the feed. Answers take 4 ms.
class store
{
public:
    store() = default;

    // An address of its own for each VM, so that the path of one VM can fail.
    std::string add_address()
    {
        const std::size_t path = servers_.size();
        servers_.push_back(
            std::make_unique<server>([this, path](const channel_ptr& from, const message& call)
                                     { return serve(path, from, call); }));
        return servers_.back()->address();
    }
    // Calls on these paths get no answer.
    void cut(std::size_t path)
    {
        std::lock_guard lock(mutex_);
        cut_.insert(path);
    }
    void heal(std::size_t path)
    {
        std::lock_guard lock(mutex_);
        cut_.erase(path);
    }
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(mutex_);
        rows_[{table, key}] = {base64(value), ++version_, false};
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(mutex_);
        rows_[{table, key}] = {"", ++version_, true};
        changed_.notify_all();
    }
    std::size_t count(const std::string& table)
    {
        std::lock_guard lock(mutex_);
        std::size_t n = 0;
        for (const auto& [key, row] : rows_)
            n += key.first == table && !row.deleted ? 1 : 0;
        return n;
    }
    // Called with each answer: path, call and table.
    std::function<void(std::size_t, const std::string&, const std::string&)> on_answer;

private:
    struct row
    {
        std::string value; // base64
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair =
                target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
    static std::string text_of(const std::string& key, const std::string& table, const row& r)
    {
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" +
               r.value + "\",\"ver\":" + std::to_string(r.version) +
               (r.deleted ? ",\"deleted\":true}" : "}");
    }
    std::string page(const std::vector<std::string>& rows) const
    {
        std::string out = "{\"ver\":" + std::to_string(version_) +
                          ",\"now_ms\":" + std::to_string(now_ms()) + ",\"rows\":[";
        for (std::size_t i = 0; i < rows.size(); ++i)
            out += (i > 0 ? "," : "") + rows[i];
        return out + "],\"has_more\":false}";
    }
    bool is_cut(std::size_t path)
    {
        std::lock_guard lock(mutex_);
        return cut_.contains(path);
    }
    bool serve(std::size_t path, const channel_ptr& from, const message& call)
    {
        const std::string target = call.target();
        const std::string what = target.substr(0, target.find('?'));
        const std::string table = parameter(target, "table");
        if (is_cut(path))
        {
            sleep_ms(100'000); // a path that is cut delivers nothing
            return false;
        }
        sleep_ms(4);
        std::string body = "{}";
        int status = 200;
        if (what == "/rows-get")
        {
            std::lock_guard lock(mutex_);
            std::vector<std::string> list;
            for (const auto& [key, r] : rows_)
            {
                if (key.first == table && !r.deleted)
                    list.push_back(text_of(key.second, table, r));
            }
            body = page(list);
        }
        else if (what == "/rows-feed")
        {
            const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const long wait = std::atol(parameter(target, "wait_ms").c_str());
            std::unique_lock lock(mutex_);
            std::vector<std::string> list;
            const auto end = steady::now() + milliseconds(wait);
            for (;;)
            {
                list.clear();
                std::map<std::uint64_t, std::string> ordered;
                for (const auto& [key, r] : rows_)
                {
                    if (key.first == table && r.version > after)
                        ordered[r.version] = text_of(key.second, table, r);
                }
                for (const auto& [version, text] : ordered)
                    list.push_back(text);
                if (!list.empty() || changed_.wait_until(lock, end) == std::cv_status::timeout)
                    break;
            }
            body = page(list);
        }
        else if (what == "/rows-tx")
        {
            const json tx = json::parse(call.body);
            std::lock_guard lock(mutex_);
            ++version_;
            for (const json& r : tx["puts"].items)
                rows_[{r["table"].text, r["key"].text}] = {r["value"].text, version_, false};
            for (const json& r : tx["remove"].items)
                rows_[{r["table"].text, r["key"].text}] = {"", version_, true};
            changed_.notify_all();
            body = "{\"ver\":" + std::to_string(version_) + "}";
        }
        else
            status = 404;
        if (is_cut(path))
        {
            sleep_ms(100'000);
            return false;
        }
        const bool sent = from->send(answer(status, body, "Content-Type: application/json\r\n"));
        if (on_answer)
            on_answer(path, what, table);
        return sent;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 1;
    std::set<std::size_t> cut_;
    std::vector<std::unique_ptr<server>> servers_;
};

// A VM: zinnianotchd with the settings that deploy/settings.yaml makes of the platform's fields.
class vm
{
public:
    struct bounds
    {
        int retry_slack = 58;
        double cold_over = 1.5;
        int cold_slack = 5;
        int grace_s = 8;
    };

    vm(std::string root, std::string folder, std::string name, std::string zone,
       std::string store_address, std::vector<std::string> seeds, int peers_port, bounds limits)
        : root_(std::move(root)), name_(std::move(name)), callers_(free_port()), ready_(free_port())
    {
        path_ = folder + "/" + name_ + ".yaml";
        log_ = folder + "/" + name_ + ".log";
        std::ofstream file(path_);
        file << "vm: " << name_ << "\nfailure_domain: " << zone
             << "\nlisten: {callers: \"127.0.0.1:" << callers_
             << "\", peers: \"127.0.0.1:" << peers_port << "\"}\nplatform: {table: \"http://"
             << store_address << "\"}\nseeds: [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            file << (i > 0 ? "," : "") << '"' << seeds[i] << '"';
        file << "]\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \"127.0.0.1:"
             << ready_ << "\"\n  metrics: \"127.0.0.1:" << free_port() << "\"\n  store: \""
             << store_address << "\"\n  repeat_ratio: 0.2\n  repeat_slack: " << limits.retry_slack
             << "\n  repeat_window_s: 10\n  cold_over: " << limits.cold_over
             << "\n  cold_slack: " << limits.cold_slack << "\n  stop_grace_s: " << limits.grace_s
             << "\n  processor_share: 0.25\n  link_mbps: 1000\n";
    }
    ~vm() { kill(); }

    void start()
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program in any case
        const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        (void)::dup2(out, 1);
        (void)::dup2(out, 2);
        (void)!::chdir(root_.c_str());
        ::execl("target/packages/daemon/zinnianotchd", "zinnianotchd", "--settings", path_.c_str(),
                nullptr);
        ::_exit(127);
    }
    void signal(int number)
    {
        if (pid_ > 0)
            (void)::kill(pid_, number);
    }
    void kill()
    {
        if (pid_ <= 0)
            return;
        (void)::kill(pid_, SIGKILL);
        (void)::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool has_exited()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ <= 0;
    }
    bool is_ready() const
    {
        const auto to = channel::connect(ready_);
        if (!to || !to->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
            return false;
        const auto got = to->read(1000, true);
        return got && got->status() == 200;
    }
    // Resident memory in MB: now, or the most so far.
    double memory_mb(const char* which = "VmRSS:") const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (file >> word)
        {
            double kb = 0;
            if (word == which && file >> kb)
                return kb / 1024;
        }
        return 0;
    }
    int port() const { return callers_; }
    const std::string& name() const { return name_; }
    int pid() const { return pid_; }

private:
    std::string root_;
    std::string name_;
    std::string path_;
    std::string log_;
    int callers_;
    int ready_;
    int pid_ = -1;
};

inline bool wait_until(const std::function<bool()>& condition, long limit_ms)
{
    for (const long end = now_ms() + limit_ms; now_ms() < end; sleep_ms(20))
    {
        if (condition())
            return true;
    }
    return condition();
}

inline std::string hex_id()
{
    static std::atomic<std::uint64_t> next{0x9c41d07be2a30000ULL};
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
    return text;
}

// Ends the program with the result, without waiting for its threads.
[[noreturn]] inline void finish(int result, std::vector<std::unique_ptr<vm>>& vms)
{
    vms.clear();
    std::fflush(nullptr);
    ::_exit(result);
}

inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace kit
