// Randomized soak of the serving path: real zinnianotchd processes, stand-ins for the store and the
// endpoints, loopback proxies between them, and faults from outside. It checks what callers and
// endpoints see while it runs.
//
//   soak --seed N --seconds S [--vms N]
//
// Ends with "1 passed, 0 failed" or with a line for each broken promise.
#include "../process/fixture.h"
#include "../unit/seeds.h"
#include "../unit/serving_fixture.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

namespace
{

using namespace serving;
using fixture::child_process;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::upstream_failure;
using zinnianotch::testing::random_source;
namespace asio = boost::asio;

constexpr milliseconds request_pause{20};
constexpr milliseconds fault_least{200};
constexpr milliseconds fault_most{1200};
// Nothing is sent in this time before the end, so that all requests have ended.
constexpr milliseconds settle_time{6500};
constexpr int stream_events = 6;
constexpr const char* proxy_path = FAULT_PROXY_PATH;
constexpr const char* daemon_path = ZINNIANOTCHD_PATH;

enum class request_kind
{
    read,
    order,
    stream,
    once
};

struct kind_entry
{
    const char* method;
    const char* prefix;
    bool runs_once;
    bool streams;
};

constexpr std::array<kind_entry, 4> kinds = {{{"GET", "/read/", false, false},
                                              {"POST", "/order/", true, false},
                                              {"POST", "/stream/", false, true},
                                              {"POST", "/once/", true, true}}};

// A free port; another program could take it before it is used, which shows as a failed start.
std::uint16_t free_port()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address(loopback), 0});
    return acceptor.local_endpoint().port();
}

// A fault proxy before one address.
class proxy
{
public:
    explicit proxy(const std::string& target) : process_({proxy_path, "--target", target})
    {
        address_ = std::string(loopback) + ":" + word(process_.wait_for_line("listening "));
        control_ = static_cast<std::uint16_t>(std::stoi(word(process_.wait_for_line("control "))));
    }

    const std::string& address() const { return address_; }
    void command(const std::string& text) { (void)fixture::send_http(control_, "POST", "/", text); }

private:
    static std::string word(const std::string& line)
    {
        return line.substr(line.find_last_of(' ') + 1);
    }

    child_process process_;
    std::string address_;
    std::uint16_t control_ = 0;
};

// A request of a caller that keeps its connection for the next one.
class sent_request : public zinnianotch::upstream_response_handler
{
public:
    sent_request(std::string attempt, request_kind kind) : attempt(std::move(attempt)), kind(kind)
    {
    }
    bool matches_request(const zinnianotch::message_head&) override { return true; }
    void on_head(zinnianotch::message_head& head, zinnianotch::body_framing,
                 std::optional<std::uint64_t>) override
    {
        status = head.status;
    }
    void on_body(std::string bytes) override { body += bytes; }
    void on_end() override { done = true; }
    void on_failure(upstream_failure why) override { failure = why; }

    std::string attempt;
    request_kind kind;
    int status = 0;
    std::string body;
    bool done = false;
    std::optional<upstream_failure> failure;
    std::shared_ptr<zinnianotch::upstream_connection> connection;
};

// A VM of the system as a process, started again whenever it has ended.
class vm_process
{
public:
    vm_process(std::size_t number, const std::string& store, const std::string& folder)
        : name_("vm-" + std::to_string(number)), callers_(free_port())
    {
        path_ = folder + "/" + name_ + ".yaml";
        std::ofstream file(path_);
        const auto address = [](std::uint16_t port)
        { return std::string(loopback) + ":" + std::to_string(port); };
        file << "vm: " << name_ << "\nfailure_domain: dom-a\nlisten: {callers: \""
             << address(callers_) << "\", peers: \"" << address(free_port())
             << "\"}\nplatform: {table: \"http://" << store
             << "\"}\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \""
             << address(free_port()) << "\"\n  store: \"" << store
             << "\"\n  repeat_slack: 1000\n  stop_grace_s: 4\n";
        file.close();
        start();
    }

    void start()
    {
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{daemon_path, "--settings", path_});
    }
    child_process& process() { return *process_; }
    std::uint16_t port() const { return callers_; }

    // Starts the process again if it has ended. Returns its exit code when that was not asked for.
    std::optional<int> revive(bool expected)
    {
        const auto code = process_->wait_exit(milliseconds(0));
        if (!code)
            return std::nullopt;
        const bool planned = expected_end_ || expected;
        expected_end_ = false;
        if (!planned)
            std::cerr << process_->output() << "\n";
        start();
        return planned ? std::nullopt : code;
    }
    void expect_end() { expected_end_ = true; }

private:
    std::string name_;
    std::uint16_t callers_;
    std::string path_;
    std::unique_ptr<child_process> process_;
    bool expected_end_ = false;
};

class soak
{
public:
    soak(std::uint64_t seed, std::size_t vms, std::string folder)
        : random_(seed), folder_(std::move(folder)), store_(io_)
    {
        store_proxy_ = std::make_unique<proxy>(store_.address(store_.add_door()));
        for (const char* service : {"plain", "plain", "engines", "engines", "encoders"})
            add_endpoint(service);
        configure();
        for (std::size_t i = 0; i < vms; ++i)
            vms_.push_back(std::make_unique<vm_process>(i, store_proxy_->address(), folder_));
        for (const auto& vm : vms_)
            pools_.push_back(std::make_unique<zinnianotch::upstream_pool>(
                io_, asio::ip::tcp::endpoint(asio::ip::make_address(loopback), vm->port())));
    }

    // Plays and returns the broken promises.
    std::vector<std::string> run(milliseconds time)
    {
        const time_point end = steady_clock::now() + time;
        time_point next_request = steady_clock::now() + milliseconds(1500);
        time_point next_fault = next_request + milliseconds(1000);
        while (steady_clock::now() < end + settle_time)
        {
            io_.restart();
            (void)io_.run_one_for(milliseconds(5));
            const time_point now = steady_clock::now();
            for (const auto& vm : vms_)
            {
                if (const auto code = vm->revive(false))
                    broken_.push_back("a VM ended by itself with " + std::to_string(*code));
            }
            end_faults(now, now >= end);
            if (now >= end)
                continue;
            if (now >= next_request)
            {
                next_request = now + request_pause;
                send();
            }
            if (now >= next_fault)
            {
                next_fault =
                    now + milliseconds(random_.between(fault_least.count(), fault_most.count()));
                fault(now);
            }
        }
        check();
        return broken_;
    }

    std::size_t answered() const { return answered_; }
    std::size_t sent() const { return requests_.size(); }

private:
    struct listed_endpoint
    {
        std::string service;
        std::unique_ptr<endpoint_standin> endpoint;
        std::unique_ptr<proxy> before;
    };

    struct open_fault
    {
        time_point ends;
        std::function<void()> end;
    };

    void add_endpoint(const std::string& service)
    {
        listed_endpoint added;
        added.service = service;
        added.endpoint = std::make_unique<endpoint_standin>(
            io_, service + "-" + std::to_string(endpoints_.size()));
        added.endpoint->events = service == "engines" ? stream_events : 0;
        added.endpoint->event_pause = milliseconds(15);
        added.before = std::make_unique<proxy>(added.endpoint->address());
        endpoints_.push_back(std::move(added));
        list(endpoints_.back(), "ready");
    }

    void list(const listed_endpoint& entry, const std::string& state)
    {
        value row = value::object();
        row["service"] = value::string(entry.service);
        row["address"] = value::string(entry.before->address());
        row["zone"] = value::string("dom-a");
        row["state"] = value::string(state);
        row["slots"] = value::number(8);
        row["born"] = value::number(1);
        store_.put("servers", entry.endpoint->id(), row);
    }

    void configure()
    {
        deployment_routes routes;
        store_.put("op", "config", routes.state(++version_));
    }

    // The routes of the tests' deployment, with a stage before the resumable streams.
    struct deployment_routes
    {
        value state(std::uint64_t version) const
        {
            const auto service = [](const std::string& name)
            {
                value made = value::object();
                made["name"] = value::string(name);
                made["max_conns"] = value::number(200);
                return made;
            };
            value encoders = service("encoders");
            encoders["pieces"] = value::object();
            encoders["pieces"]["batch"] = value::number(8);
            encoders["pieces"]["call_ms"] = value::number(20);
            encoders["pieces"]["item_ms"] = value::number(1);
            value engines = service("engines");
            engines["engine"] = value::object();
            std::vector<value> routes;
            for (const kind_entry& kind : kinds)
            {
                const char* const name = kind.streams     ? "streaming"
                                         : kind.runs_once ? "non_idempotent"
                                                          : "idempotent";
                value made = route(name, kind.streams ? "engines" : "plain");
                made["prefix"] = value::string(kind.prefix);
                made["resumable"] = value::boolean(kind.streams && !kind.runs_once);
                if (kind.streams)
                {
                    value stage = value::object();
                    stage["service"] = value::string("encoders");
                    stage["after"] = value::array();
                    made["stages"] = value::array({stage});
                }
                routes.push_back(made);
            }
            value out = value::object();
            out["version"] = value::number(version);
            out["routes"] = value::array(routes);
            out["services"] = value::array({service("plain"), engines, encoders});
            return out;
        }
    };

    void send()
    {
        const std::size_t vm = random_.below(vms_.size());
        const auto kind = static_cast<request_kind>(random_.below(kinds.size()));
        const kind_entry& entry = kinds[static_cast<std::size_t>(kind)];
        requests_.push_back(
            std::make_unique<sent_request>("a" + std::to_string(requests_.size()), kind));
        sent_request& request = *requests_.back();
        const std::string fields = entry.streams ? "Pieces: 2\r\nPiece-Key: k\r\n" : "";
        request.connection = pools_[vm]->start(
            request_text(entry.method, std::string(entry.prefix) + "x", request.attempt, fields,
                         entry.runs_once || entry.streams ? "body" : ""),
            request, milliseconds(5000), steady_clock::now());
    }

    void begin(time_point now, std::function<void()> end)
    {
        open_.push_back({now + milliseconds(random_.between(300, 2500)), std::move(end)});
    }

    void end_faults(time_point now, bool all)
    {
        for (std::size_t i = 0; i < open_.size();)
        {
            if (!all && now < open_[i].ends)
            {
                ++i;
                continue;
            }
            const auto end = std::move(open_[i].end);
            open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i));
            end();
        }
    }

    void fault(time_point now)
    {
        vm_process& vm = *vms_[random_.below(vms_.size())];
        listed_endpoint& entry = endpoints_[random_.below(endpoints_.size())];
        endpoint_standin& endpoint = *entry.endpoint;
        switch (random_.below(16))
        {
        case 0:
            vm.expect_end();
            return vm.process().kill();
        case 1:
            vm.expect_end();
            return vm.process().signal(SIGTERM);
        case 2:
            vm.process().stop();
            return begin(now, [&vm] { vm.process().resume(); });
        case 3:
            return vm.process().signal(SIGHUP);
        case 4:
        {
            constexpr std::array<const char*, 5> commands = {"refuse", "cut", "freeze_established",
                                                             "drop_answers", "delay 60"};
            entry.before->command(commands[random_.below(commands.size())]);
            return begin(now, [&entry] { entry.before->command("pass"); });
        }
        case 5:
            store_proxy_->command(random_.chance(0.5) ? "freeze_all" : "refuse");
            return begin(now, [this] { store_proxy_->command("pass"); });
        case 6:
            store_.refuse_status = random_.chance(0.5) ? 503 : 429;
            return begin(now, [this] { store_.refuse_status = 0; });
        case 7:
            return store_.forget_history();
        case 8:
            endpoint.break_before_answer = 2;
            return;
        case 9:
            endpoint.break_after_event = static_cast<int>(random_.below(stream_events));
            return;
        case 10:
            endpoint.stray_answer_first = true;
            return begin(now, [&endpoint] { endpoint.stray_answer_first = false; });
        case 11:
            endpoint.extra_bytes = true;
            return begin(now, [&endpoint] { endpoint.extra_bytes = false; });
        case 12:
            endpoint.unframed = true;
            return begin(now, [&endpoint] { endpoint.unframed = false; });
        case 13:
            endpoint.fail_next = 5;
            endpoint.fail_says_not_run = random_.chance(0.5);
            endpoint.fail_status = 503;
            return;
        case 14:
            list(entry, "draining");
            return begin(now, [this, &entry] { list(entry, "ready"); });
        default:
            return configure();
        }
    }

    int runs(const std::string& attempt) const
    {
        int count = 0;
        for (const listed_endpoint& entry : endpoints_)
        {
            const auto found = entry.endpoint->ran.find(attempt);
            count += found == entry.endpoint->ran.end() ? 0 : found->second;
        }
        return count;
    }

    static std::string whole_answer(const sent_request& request)
    {
        if (!kinds[static_cast<std::size_t>(request.kind)].streams)
            return "answer to " + request.attempt;
        std::string text;
        for (int i = 1; i <= stream_events; ++i)
            text += "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i) + "\n\n";
        return text;
    }

    void check()
    {
        for (const auto& request : requests_)
        {
            const kind_entry& entry = kinds[static_cast<std::size_t>(request->kind)];
            const int count = runs(request->attempt);
            const std::string what = std::string(entry.prefix) + " " + request->attempt;
            if (!request->done && !request->failure)
                broken_.push_back(what + " has no end");
            if (request->failure == upstream_failure::invalid_answer)
                broken_.push_back(what + " got bytes that are no answer");
            if (request->done && request->status == 200)
            {
                ++answered_;
                if (request->body != whole_answer(*request))
                    broken_.push_back(what + " got another answer: " + request->body);
            }
            if (!entry.runs_once)
                continue;
            if (count > 1)
                broken_.push_back(what + " ran " + std::to_string(count) + " times");
            const bool promised = request->status == 503 || request->status == 429 ||
                                  request->status == 408 || request->status == 421;
            if (promised && count > 0)
                broken_.push_back(what + " was refused as not run and ran");
        }
    }

    random_source random_;
    std::string folder_;
    asio::io_context io_;
    store_standin store_;
    std::unique_ptr<proxy> store_proxy_;
    std::deque<listed_endpoint> endpoints_;
    std::vector<std::unique_ptr<vm_process>> vms_;
    std::vector<std::unique_ptr<zinnianotch::upstream_pool>> pools_;
    std::vector<std::unique_ptr<sent_request>> requests_;
    std::vector<open_fault> open_;
    std::vector<std::string> broken_;
    std::uint64_t version_ = 0;
    std::size_t answered_ = 0;
};

} // namespace

int main(int argc, const char** argv)
{
    long long seed = 1;
    int seconds = 10;
    int vms = 3;
    const poptOption options[] = {
        {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of the faults and requests", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "time of requests and faults", "S"},
        {"vms", 0, POPT_ARG_INT, &vms, 0, "processes of the system", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("soak", argc, argv, options, 0), &poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || vms < 1 || seconds < 1)
    {
        (void)std::fprintf(stderr, "soak: invalid arguments, see --help\n");
        return 2;
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    std::string folder =
        (std::filesystem::temp_directory_path() / "zinnianotch-soak-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
    {
        std::perror("soak: mkdtemp");
        return 2;
    }
    std::vector<std::string> broken;
    {
        soak played(static_cast<std::uint64_t>(seed), static_cast<std::size_t>(vms), folder);
        broken = played.run(milliseconds(seconds * 1000));
        std::cout << "soak seed=" << seed << " sent=" << played.sent()
                  << " answered=" << played.answered() << " broken=" << broken.size() << "\n";
        if (played.answered() * 4 < played.sent())
            broken.push_back("less than a quarter of the requests were answered");
    }
    std::filesystem::remove_all(folder);
    for (const std::string& line : broken)
        std::cout << "broken: " << line << "\n";
    std::cout << (broken.empty() ? "1 passed, 0 failed" : "0 passed, 1 failed") << "\n";
    return broken.empty() ? 0 : 1;
}
