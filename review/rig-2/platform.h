// Stand-in for the platform's metadata store, and the processes of the system that run against it.
#pragma once

#include "net.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rig
{

using web::json::value;

inline std::string base64(const std::string& text)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(text.begin(), text.end()));
}

// Accepts connections and serves each on a thread of its own.
class server
{
public:
    explicit server(address at) : at_(std::move(at)) {}
    virtual ~server() = default;

    bool open()
    {
        const int fd = listen_on(at_);
        if (fd < 0)
            return false;
        const std::lock_guard lock(mutex_);
        listener_ = fd;
        std::thread([this, fd] { accept_all(fd); }).detach();
        return true;
    }
    // Ends as a crashed process does: refuses connections, and the open ones end.
    void crash()
    {
        const std::lock_guard lock(mutex_);
        if (listener_ >= 0)
            ::shutdown(listener_, SHUT_RDWR);
        listener_ = -1;
        for (const int fd : connections_)
            ::shutdown(fd, SHUT_RDWR);
    }
    const address& at() const { return at_; }

protected:
    // Serves one connection until it ends.
    virtual void serve(int fd) = 0;

private:
    void accept_all(int listener)
    {
        for (;;)
        {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            {
                const std::lock_guard lock(mutex_);
                if (listener_ != listener)
                {
                    ::close(fd);
                    break;
                }
                connections_.insert(fd);
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread(
                [this, fd]
                {
                    serve(fd);
                    const std::lock_guard lock(mutex_);
                    connections_.erase(fd);
                    ::close(fd);
                })
                .detach();
        }
        ::close(listener);
    }

    address at_;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
};

inline std::string json_response(int status, const value& body)
{
    const std::string text = body.serialize();
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Failed") +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
}

// Tables of rows with versions, as the pages describe them. Answers at once.
class store : public server
{
public:
    store() : server(address()) {}

    // Written by the operator or by an engine.
    void put(const std::string& table, const std::string& key, const std::string& text)
    {
        const std::lock_guard lock(rows_mutex_);
        rows_[table][key] = {base64(text), ++version_, false};
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(rows_mutex_);
        const auto found = rows_[table].find(key);
        if (found == rows_[table].end() || found->second.deleted)
            return;
        found->second.deleted = true;
        found->second.version = ++version_;
        changed_.notify_all();
    }
    std::size_t count(const std::string& table)
    {
        const std::lock_guard lock(rows_mutex_);
        return static_cast<std::size_t>(std::count_if(rows_[table].begin(), rows_[table].end(),
                                                      [](const auto& row)
                                                      { return !row.second.deleted; }));
    }

private:
    struct row
    {
        std::string text; // base64
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void serve(int fd) override
    {
        reader in(fd);
        while (const auto request = read_message(in, now_ms() + 600'000))
        {
            if (!request->complete || !send_all(fd, handle(*request)))
                return;
        }
    }

    std::string handle(const message& request)
    {
        const web::uri target(request.target);
        const auto query = web::uri::split_query(target.query());
        const auto word = [&](const char* name)
        {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : web::uri::decode(found->second);
        };
        if (target.path() == "/rows-get")
            return list(word("table"), word("from"), word("to"),
                        std::strtoul(word("limit").c_str(), nullptr, 10));
        if (target.path() == "/rows-feed")
            return feed(word("table"), std::strtoull(word("after").c_str(), nullptr, 10),
                        std::strtoul(word("wait_ms").c_str(), nullptr, 10));
        if (target.path() == "/rows-tx")
            return transact(value::parse(request.body));
        return json_response(404, value::object());
    }

    value describe(const std::string& table, const std::string& key, const row& of) const
    {
        value out = value::object();
        out["table"] = value::string(table);
        out["part"] = value::string("");
        out["key"] = value::string(key);
        out["ver"] = value::number(of.version);
        if (of.deleted)
            out["deleted"] = value::boolean(true);
        else
            out["value"] = value::string(of.text);
        return out;
    }
    value page(const std::vector<value>& rows, bool has_more) const
    {
        value out = value::object();
        out["rows"] = value::array(rows);
        out["has_more"] = value::boolean(has_more);
        out["ver"] = value::number(version_);
        out["now_ms"] = value::number(now_ms());
        return out;
    }

    std::string list(const std::string& table, const std::string& from, const std::string& to,
                     std::size_t limit)
    {
        const std::lock_guard lock(rows_mutex_);
        std::vector<value> rows;
        const std::size_t most = std::min<std::size_t>(limit == 0 ? 500 : limit, 500);
        bool has_more = false;
        for (const auto& [key, each] : rows_[table])
        {
            if (each.deleted || key < from || (!to.empty() && key >= to))
                continue;
            if (rows.size() == most)
            {
                has_more = true;
                break;
            }
            rows.push_back(describe(table, key, each));
        }
        return json_response(200, page(rows, has_more));
    }

    std::string feed(const std::string& table, std::uint64_t after, std::size_t wait_ms)
    {
        std::unique_lock lock(rows_mutex_);
        const auto until = clock_type::now() + std::chrono::milliseconds(wait_ms);
        for (;;)
        {
            std::vector<std::pair<std::uint64_t, value>> changed;
            for (const auto& [key, each] : rows_[table])
            {
                if (each.version > after)
                    changed.emplace_back(each.version, describe(table, key, each));
            }
            if (!changed.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout)
            {
                std::sort(changed.begin(), changed.end(),
                          [](const auto& a, const auto& b) { return a.first < b.first; });
                std::vector<value> rows;
                for (auto& each : changed)
                    rows.push_back(std::move(each.second));
                return json_response(200, page(rows, false));
            }
        }
    }

    std::string transact(const value& body)
    {
        const std::lock_guard lock(rows_mutex_);
        const auto entries = [&](const char* name)
        { return body.has_array_field(name) ? body.at(name) : value::array(); };
        for (const char* name : {"puts", "remove"})
        {
            const value list = entries(name);
            for (const value& each : list.as_array())
            {
                const std::string table = each.at("table").as_string();
                if (table == "op" || table == "servers")
                    return json_response(403, value::object());
            }
        }
        const value expected = entries("expect_rev");
        std::vector<value> conflicts;
        for (const value& each : expected.as_array())
        {
            const std::string table = each.at("table").as_string();
            const std::string key = each.at("key").as_string();
            const auto found = rows_[table].find(key);
            const std::uint64_t current =
                found == rows_[table].end() || found->second.deleted ? 0 : found->second.version;
            if (current != static_cast<std::uint64_t>(each.at("ver").as_number().to_uint64()))
                conflicts.push_back(describe(table, key, current == 0 ? row{} : found->second));
        }
        if (!conflicts.empty())
            return json_response(412, page(conflicts, false));
        ++version_;
        const value puts = entries("puts");
        for (const value& each : puts.as_array())
            rows_[each.at("table").as_string()][each.at("key").as_string()] = {
                each.at("value").as_string(), version_, false};
        const value removed = entries("remove");
        for (const value& each : removed.as_array())
        {
            const auto found = rows_[each.at("table").as_string()].find(each.at("key").as_string());
            if (found == rows_[each.at("table").as_string()].end())
                continue;
            found->second.deleted = true;
            found->second.version = version_;
        }
        changed_.notify_all();
        return json_response(200, page({}, false));
    }

    std::mutex rows_mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> rows_;
    std::uint64_t version_ = 100;
};

// Bounds of the settings, as in the installations of the pages.
struct fleet_settings
{
    std::string program = "target/packages/daemon/zinnianotchd"; // the deploy file's command
    double repeat_ratio = 0.2;
    double repeat_slack = 58;
    int repeat_window_s = 10;
    double cold_over = 1.5;
    double cold_slack = 5;
    int grace_s = 8;
    double link_mbps = 1000;
    int memory_mb = 260;
};

// One VM of the system, with settings as deploy/settings.yaml gives them.
class vm
{
public:
    vm(std::string name, std::string domain, std::string folder)
        : name_(std::move(name)), domain_(std::move(domain)), folder_(std::move(folder)),
          front_(free_address()), ready_(free_address()), control_(free_address()),
          metrics_(free_address())
    {
    }
    ~vm() { kill_now(); }

    void write_settings(const address& store_at, const std::vector<std::string>& seeds,
                        const fleet_settings& with) const
    {
        std::ofstream out(path());
        out << "vm: " << name_ << "\nfailure_domain: " << domain_ << "\nlisten: {callers: \""
            << front_.text() << "\", peers: \"" << control_.text()
            << "\"}\nplatform: {table: \"http://" << store_at.text() << "\"}\nseeds: [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            out << (i == 0 ? "" : ", ") << '"' << seeds[i] << '"';
        out << "]\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \"" << ready_.text()
            << "\"\n  metrics: \"" << metrics_.text() << "\"\n  store: \"" << store_at.text()
            << "\"\n  repeat_ratio: " << with.repeat_ratio
            << "\n  repeat_slack: " << with.repeat_slack
            << "\n  repeat_window_s: " << with.repeat_window_s
            << "\n  cold_over: " << with.cold_over << "\n  cold_slack: " << with.cold_slack
            << "\n  stop_grace_s: " << with.grace_s
            << "\n  processor_share: 0.25\n  link_mbps: " << with.link_mbps
            << "\n  memory_mb: " << with.memory_mb << "\n";
    }

    void start(const fleet_settings& with)
    {
        const std::string log = folder_ + "/" + name_ + ".log";
        const std::string settings = path();
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the rig is killed
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(with.program.c_str(), with.program.c_str(), "--settings", settings.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    // True once the process has ended; `status` as of waitpid.
    bool has_ended()
    {
        if (pid_ <= 0)
            return true;
        if (::waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = 0;
        return true;
    }
    void kill_now()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
    }
    bool is_ready() const
    {
        const int fd = connect_to(ready_, 300);
        if (fd < 0)
            return false;
        (void)send_all(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        reader in(fd);
        const auto answer = read_message(in, now_ms() + 500);
        ::close(fd);
        return answer && answer->status == 200;
    }

    const std::string& name() const { return name_; }
    const address& front() const { return front_; }
    const address& control() const { return control_; }
    const address& metrics() const { return metrics_; }
    int status = 0;

private:
    std::string path() const { return folder_ + "/" + name_ + ".yaml"; }

    std::string name_;
    std::string domain_;
    std::string folder_;
    address front_;
    address ready_;
    address control_;
    address metrics_;
    pid_t pid_ = 0;
};

inline constexpr unsigned run_limit_s = 115;

// The store, the VMs and what the operator wants of them.
class fleet
{
public:
    explicit fleet(const fleet_settings& with = {}) : with_(with)
    {
        // A run that takes longer counts as one that could not run.
        (void)std::signal(SIGALRM, [](int) { ::_exit(2); });
        ::alarm(run_limit_s);
        char name[] = "/tmp/zinnianotch-review-XXXXXX";
        folder_ = ::mkdtemp(name);
        table.open();
    }
    // Ends all VMs and then the rig, whose threads may still wait for one another.
    [[noreturn]] void finish(int status)
    {
        for (const auto& each : vms)
            each->kill_now();
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_);
        std::_Exit(status);
    }

    void add_vm(const std::string& name, const std::string& domain)
    {
        vms.push_back(std::make_unique<vm>(name, domain, folder_));
    }
    // Starts all VMs; false unless all are ready within 15 seconds.
    bool start()
    {
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, vms.size()); ++i)
            seeds.push_back(vms[i]->control().text());
        for (const auto& each : vms)
        {
            each->write_settings(table.at(), seeds, with_);
            each->start(with_);
        }
        const std::int64_t until = now_ms() + 15'000;
        for (const auto& each : vms)
        {
            while (!each->is_ready())
            {
                if (now_ms() > until)
                    return false;
                sleep_ms(50);
            }
        }
        while (table.count("vms") < vms.size())
        {
            if (now_ms() > until)
                return false;
            sleep_ms(50);
        }
        sleep_ms(2000);
        return true;
    }
    // Last line of the log of each VM that is not ready.
    std::string last_words() const
    {
        std::string text;
        for (const auto& each : vms)
        {
            if (each->is_ready())
                continue;
            std::ifstream log(folder_ + "/" + each->name() + ".log");
            std::string line;
            std::string last;
            while (std::getline(log, line))
                last = line;
            text += "\n" + each->name() + ": " + last;
        }
        return text;
    }
    const fleet_settings& settings() const { return with_; }
    const std::string& folder() const { return folder_; }

    store table;
    std::vector<std::unique_ptr<vm>> vms;

private:
    fleet_settings with_;
    std::string folder_;
};

// Lines of record.txt, from all threads.
class record
{
public:
    explicit record(const std::string& path) : out_(path) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        out_ << now_ms() << " " << text << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

} // namespace rig
