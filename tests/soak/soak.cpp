// Randomized soak test of the serving path: real zinnianotchd processes, stand-ins for the store
// and the endpoints, loopback proxies between them, and injected faults. It checks the responses
// that callers receive and the requests that endpoints run.
//
//   soak --seed N --seconds S [--vms N] [--crashing-part | --rollouts] [--logs FOLDER]
//
// With --crashing-part, engines crash under a part of some prompts and VMs are killed or stopped;
// no other faults are injected.
//
// With --rollouts, good and bad versions of a service are ordered while faults are injected. A good
// and a bad one follow without faults, and are to be completed and rolled back.
//
// Prints one line per violation, then "1 passed, 0 failed" or "0 passed, 1 failed".
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
using fixture::reserved_port;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::upstream_failure;
using zinnianotch::testing::random_source;
namespace asio = boost::asio;

constexpr milliseconds request_interval{20};
constexpr milliseconds min_fault_interval{200};
constexpr milliseconds max_fault_interval{1200};
// After the last request and fault: longer than the request timeout, so that all requests have
// ended.
constexpr milliseconds settle_time{6500};
constexpr int stream_events = 6;
// VMs have this long to hold a part under which five engines have crashed, and to hear of it after
// their start.
constexpr milliseconds contact{3000};
constexpr std::size_t max_late_arrivals = 3;
constexpr milliseconds engine_down_time{700};
constexpr const char* crashing_part = "badc0de1";
constexpr milliseconds rollout_order_time{9000};
// After it, the next version is ordered whatever has become of this one.
constexpr milliseconds rollout_patience{15000};
constexpr milliseconds rollout_request_interval{8};
// After the last fault: VMs that were stopped or killed are back.
constexpr milliseconds recovery_time{7000};
constexpr std::size_t rollout_endpoints = 4;
// Answers of a bad version after which it must be known as such, see rollout_limits::roll_back.
constexpr std::size_t sign_of_bad_version = 50;
constexpr milliseconds roll_back_bound{5000};
constexpr const char* proxy_path = FAULT_PROXY_PATH;
constexpr const char* daemon_path = ZINNIANOTCHD_PATH;

enum class request_kind
{
    read,
    order,
    resumable_stream,
    non_idempotent_stream
};

struct route_entry
{
    const char* method;
    const char* prefix;
    bool non_idempotent;
    bool streams;
};

constexpr std::array<route_entry, 4> route_entries = {{{"GET", "/read/", false, false},
                                                       {"POST", "/order/", true, false},
                                                       {"POST", "/stream/", false, true},
                                                       {"POST", "/once/", true, true}}};

// A fault proxy process in front of one address.
class proxy
{
public:
    explicit proxy(const std::string& target) : process_({proxy_path, "--target", target})
    {
        address_ = std::string(loopback) + ":" + last_word(process_.wait_for_line("listening "));
        control_ =
            static_cast<std::uint16_t>(std::stoi(last_word(process_.wait_for_line("control "))));
    }

    const std::string& address() const { return address_; }
    void command(const std::string& text) { (void)fixture::send_http(control_, "POST", "/", text); }

private:
    static std::string last_word(const std::string& line)
    {
        return line.substr(line.find_last_of(' ') + 1);
    }

    child_process process_;
    std::string address_;
    std::uint16_t control_ = 0;
};

// A request on a keep-alive connection, with the response received for it.
class sent_request : public zinnianotch::upstream_response_handler
{
public:
    sent_request(std::string attempt, request_kind kind, std::size_t vm)
        : attempt(std::move(attempt)), kind(kind), vm(vm)
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
    std::size_t vm;
    bool has_crashing_part = false;
    int status = 0;
    std::string body;
    bool done = false;
    std::optional<upstream_failure> failure;
    std::shared_ptr<zinnianotch::upstream_connection> connection;
};

// A VM as a zinnianotchd process that is restarted whenever it has exited.
class vm_process
{
public:
    vm_process(std::size_t number, const std::string& store, const std::string& folder,
               bool has_rollouts)
        : name_("vm-" + std::to_string(number))
    {
        path_ = folder + "/" + name_ + ".yaml";
        std::ofstream file(path_);
        file << "vm: " << name_ << "\nfailure_domain: dom-a\nlisten: {callers: \""
             << callers_.address() << "\", peers: \"" << peers_.address()
             << "\"}\nplatform: {table: \"http://" << store
             << "\"}\nkeys: {accounts: [], operators: []}\nserving:\n  readiness: \""
             << readiness_.address() << "\"\n  store: \"" << store
             << "\"\n  repeat_slack: 1000\n  stop_grace_s: 4\n";
        if (has_rollouts)
            file << "  rollouts: {exposure_share: 0.1, exposure_slack: 50, roll_back_ms: "
                 << roll_back_bound.count() << "}\n";
        file.close();
        start();
    }

    void start()
    {
        process_ = std::make_unique<child_process>(
            std::vector<std::string>{daemon_path, "--settings", path_});
    }
    child_process& process() { return *process_; }
    const child_process& process() const { return *process_; }
    std::uint16_t port() const { return callers_.number(); }

    // Restarts the process if it has exited. Returns the exit code if the exit was not expected.
    std::optional<int> restart_if_exited(bool expected)
    {
        const auto code = process_->wait_exit(milliseconds(0));
        if (!code)
            return std::nullopt;
        const bool planned = exit_expected_ || expected;
        exit_expected_ = false;
        if (!planned)
            std::cerr << process_->output() << "\n";
        start();
        started_at_ = steady_clock::now();
        return planned ? std::nullopt : code;
    }
    void expect_exit() { exit_expected_ = true; }
    time_point started_at() const { return started_at_; }

private:
    std::string name_;
    reserved_port callers_;
    reserved_port peers_;
    reserved_port readiness_;
    std::string path_;
    std::unique_ptr<child_process> process_;
    bool exit_expected_ = false;
    time_point started_at_{};
};

class soak_run
{
public:
    soak_run(std::uint64_t seed, std::size_t vms, std::string folder, bool engines_crash,
             bool has_rollouts)
        : random_(seed), folder_(std::move(folder)), engines_crash_(engines_crash),
          has_rollouts_(has_rollouts), store_(io_)
    {
        store_proxy_ = std::make_unique<proxy>(store_.address(store_.add_listener()));
        for (const char* service : {"plain", "plain", "engines", "engines", "encoders"})
            add_endpoint(service, "v0");
        for (std::size_t i = 2; has_rollouts_ && i < rollout_endpoints; ++i)
            add_endpoint("plain", "v0");
        for (std::size_t i = 0; engines_crash_ && i < 4; ++i)
            add_endpoint("engines", "v0");
        configure();
        for (std::size_t i = 0; i < vms; ++i)
            vms_.push_back(
                std::make_unique<vm_process>(i, store_proxy_->address(), folder_, has_rollouts_));
        for (const auto& vm : vms_)
            pools_.push_back(std::make_unique<zinnianotch::upstream_pool>(
                io_, asio::ip::tcp::endpoint(asio::ip::make_address(loopback), vm->port())));
    }

    // Sends requests and injects faults for `duration`; returns the violations.
    std::vector<std::string> execute(milliseconds duration)
    {
        const time_point end = steady_clock::now() + duration;
        time_point next_request = steady_clock::now() + milliseconds(1500);
        time_point next_fault = next_request + milliseconds(1000);
        time_point requests_end = end;
        while (steady_clock::now() < requests_end + settle_time)
        {
            io_.restart();
            (void)io_.run_one_for(milliseconds(5));
            const time_point now = steady_clock::now();
            for (const auto& vm : vms_)
            {
                if (const auto code = vm->restart_if_exited(false))
                    violations_.push_back("a VM exited unexpectedly with code " +
                                          std::to_string(*code));
            }
            end_faults(now, now >= end);
            const bool recovers = now >= end && now < end + recovery_time;
            if (has_rollouts_ && now >= next_request &&
                (recovers || follow_rollouts(now, now >= end)))
                requests_end = std::max(requests_end, now);
            if (now > requests_end)
                continue;
            if (now >= next_request)
            {
                next_request = now + (has_rollouts_ ? rollout_request_interval : request_interval);
                send_request();
            }
            if (now >= next_fault && now < end)
            {
                next_fault = now + milliseconds(random_.between(min_fault_interval.count(),
                                                                max_fault_interval.count()));
                if (engines_crash_) // most VMs are to run long enough to have heard of the crashes
                    next_fault += contact;
                inject_fault(now);
            }
        }
        check();
        return violations_;
    }

    // Writes the output of each VM's current process to a file in the folder.
    void save_output(const std::string& to) const
    {
        for (std::size_t i = 0; i < vms_.size(); ++i)
            std::ofstream(to + "/vm-" + std::to_string(i) + ".log") << vms_[i]->process().output();
    }

    std::size_t answered() const { return answered_; }
    std::size_t sent() const { return requests_.size(); }

private:
    struct listed_endpoint
    {
        std::string service;
        std::unique_ptr<fake_endpoint> endpoint;
        std::unique_ptr<proxy> endpoint_proxy;
        std::int64_t starts = 1;
    };

    // A version of the service plain that was ordered.
    struct ordered_version
    {
        std::string name;
        bool is_bad = false;
        bool in_calm = false; // since the order
        time_point ordered_at{};
        std::size_t first_request = 0;
        std::string state;
    };

    struct active_fault
    {
        time_point ends;
        std::function<void()> end;
    };

    void add_endpoint(const std::string& service, const std::string& version)
    {
        listed_endpoint added;
        added.service = service;
        added.endpoint =
            std::make_unique<fake_endpoint>(io_, service + "-" + std::to_string(endpoints_.size()));
        added.endpoint->version = version;
        added.endpoint->event_count = service == "engines" ? stream_events : 0;
        added.endpoint->event_interval = milliseconds(15);
        added.endpoint_proxy = std::make_unique<proxy>(added.endpoint->address());
        endpoints_.push_back(std::move(added));
        listed_endpoint& entry = endpoints_.back();
        list_endpoint(entry, "ready");
        if (!engines_crash_ || service != "engines")
            return;
        entry.endpoint->crash_part = crashing_part;
        entry.endpoint->on_crash = [this, &entry] { handle_crash(entry); };
    }

    // The engine returns as a new lifetime.
    void handle_crash(listed_endpoint& entry)
    {
        const time_point now = steady_clock::now();
        crashes_.push_back(now);
        active_faults_.push_back({now + engine_down_time, [this, &entry]
                                  {
                                      ++entry.starts;
                                      entry.endpoint->restart();
                                      list_endpoint(entry, "ready");
                                  }});
    }

    void list_endpoint(const listed_endpoint& entry, const std::string& state)
    {
        value row = value::object();
        row["service"] = value::string(entry.service);
        row["address"] = value::string(entry.endpoint_proxy->address());
        row["zone"] = value::string("dom-a");
        row["state"] = value::string(state);
        row["slots"] = value::number(8);
        row["born"] = value::number(entry.starts);
        row["version"] = value::string(entry.endpoint->version);
        store_.put("servers", entry.endpoint->id(), row);
    }

    void configure()
    {
        deployment_routes routes;
        store_.put("op", "config", routes.state(++version_));
    }

    // One route per request kind. Streaming routes have an encoder stage before the engine.
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
            for (const route_entry& kind : route_entries)
            {
                const char* const name = kind.streams          ? "streaming"
                                         : kind.non_idempotent ? "non_idempotent"
                                                               : "idempotent";
                value made = route(name, kind.streams ? "engines" : "plain");
                made["prefix"] = value::string(kind.prefix);
                made["resumable"] = value::boolean(kind.streams && !kind.non_idempotent);
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

    void send_request()
    {
        const std::size_t vm = random_.below(vms_.size());
        const auto kind = static_cast<request_kind>(random_.below(route_entries.size()));
        const route_entry& entry = route_entries[static_cast<std::size_t>(kind)];
        requests_.push_back(
            std::make_unique<sent_request>("a" + std::to_string(requests_.size()), kind, vm));
        sent_request& request = *requests_.back();
        std::string fields = entry.streams ? "Pieces: 2\r\nPiece-Key: k\r\n" : "";
        if (engines_crash_ && entry.streams)
        {
            request.has_crashing_part = random_.chance(0.2);
            fields += "Prompt-Prefix: 0007:800," +
                      (request.has_crashing_part ? std::string(crashing_part)
                                                 : "50f" + std::to_string(random_.below(8))) +
                      ":400,own" + request.attempt + ":90\r\n";
        }
        request.connection = pools_[vm]->start(
            request_text(entry.method, std::string(entry.prefix) + "x", request.attempt, fields,
                         entry.non_idempotent || entry.streams ? "body" : ""),
            request, milliseconds(5000), steady_clock::now());
    }

    // Ends the fault just injected after 0.3 to 2.5 s.
    void schedule_fault_end(time_point now, std::function<void()> end)
    {
        active_faults_.push_back({now + milliseconds(random_.between(300, 2500)), std::move(end)});
    }

    void end_faults(time_point now, bool all)
    {
        for (std::size_t i = 0; i < active_faults_.size();)
        {
            if (!all && now < active_faults_[i].ends)
            {
                ++i;
                continue;
            }
            const auto end = std::move(active_faults_[i].end);
            active_faults_.erase(active_faults_.begin() + static_cast<std::ptrdiff_t>(i));
            end();
        }
    }

    void inject_fault(time_point now)
    {
        vm_process& vm = *vms_[random_.below(vms_.size())];
        listed_endpoint& entry = endpoints_[random_.below(endpoints_.size())];
        fake_endpoint& endpoint = *entry.endpoint;
        switch (random_.below(engines_crash_ ? 2 : 16))
        {
        case 0:
            vm.expect_exit();
            return vm.process().kill();
        case 1:
            vm.expect_exit();
            return vm.process().signal(SIGTERM);
        case 2:
            vm.process().stop();
            return schedule_fault_end(now, [&vm] { vm.process().resume(); });
        case 3:
            return vm.process().signal(SIGHUP);
        case 4:
        {
            constexpr std::array<const char*, 5> commands = {"refuse", "cut", "freeze_established",
                                                             "drop_answers", "delay 60"};
            entry.endpoint_proxy->command(commands[random_.below(commands.size())]);
            return schedule_fault_end(now, [&entry] { entry.endpoint_proxy->command("pass"); });
        }
        case 5:
            store_proxy_->command(random_.chance(0.5) ? "freeze_all" : "refuse");
            return schedule_fault_end(now, [this] { store_proxy_->command("pass"); });
        case 6:
            store_.refuse_status = random_.chance(0.5) ? 503 : 429;
            return schedule_fault_end(now, [this] { store_.refuse_status = 0; });
        case 7:
            return store_.discard_history();
        case 8:
            endpoint.break_before_answer = 2;
            return;
        case 9:
            endpoint.break_after_event = static_cast<int>(random_.below(stream_events));
            return;
        case 10:
            endpoint.stray_answer_first = true;
            return schedule_fault_end(now, [&endpoint] { endpoint.stray_answer_first = false; });
        case 11:
            endpoint.extra_bytes = true;
            return schedule_fault_end(now, [&endpoint] { endpoint.extra_bytes = false; });
        case 12:
            endpoint.close_delimited = true;
            return schedule_fault_end(now, [&endpoint] { endpoint.close_delimited = false; });
        case 13:
            endpoint.fail_next = 5;
            endpoint.fail_as_not_run = random_.chance(0.5);
            endpoint.fail_status = 503;
            return;
        case 14:
            list_endpoint(entry, "draining");
            return schedule_fault_end(now, [this, &entry] { list_endpoint(entry, "ready"); });
        default:
            return configure();
        }
    }

    // Orders the next version once the last one has its final state. False when all are done.
    bool follow_rollouts(time_point now, bool in_calm)
    {
        const value status = store_.get("status", "rollout/plain");
        if (!orders_.empty())
        {
            ordered_version& last = orders_.back();
            const bool is_own = !status.is_null() && status.at("to").as_string() == last.name;
            const std::string state = is_own ? status.at("state").as_string() : "";
            if (state != last.state)
                on_rollout_state(last, state);
            const bool is_final = state == "completed" || state == "rolled_back";
            if (!is_final && now < last.ordered_at + rollout_patience)
                return true;
            if (last.in_calm && last.is_bad)
                return now < last.ordered_at + rollout_patience;
        }
        const bool was_good_in_calm = !orders_.empty() && orders_.back().in_calm;
        order_version(now, in_calm, in_calm ? was_good_in_calm : random_.chance(0.5));
        return true;
    }

    void order_version(time_point now, bool in_calm, bool is_bad)
    {
        const std::string name = "v" + std::to_string(orders_.size() + 1);
        orders_.push_back({name, is_bad, in_calm, now, requests_.size(), ""});
        value order = value::object();
        order["service"] = value::string("plain");
        order["to"] = value::string(name);
        order["rollout_s"] = value::number(static_cast<double>(rollout_order_time.count()) / 1000);
        store_.put("op", "rollout/plain", order);
        for (std::size_t i = 0; i < rollout_endpoints; ++i)
        {
            add_endpoint("plain", name);
            if (is_bad)
                endpoints_.back().endpoint->fails = [](const recorded_request&) { return true; };
        }
    }

    void on_rollout_state(ordered_version& order, const std::string& state)
    {
        if (order.state == "completed" || order.state == "rolled_back")
            violations_.push_back("roll-out of " + order.name + " went from " + order.state +
                                  " to " + state);
        order.state = state;
        if (state == "completed" && order.is_bad)
            violations_.push_back("bad version " + order.name + " was completed");
        for (listed_endpoint& entry : endpoints_)
        {
            const bool is_old = entry.endpoint->version != order.name;
            const bool ends =
                (state == "completed" && is_old) || (state == "rolled_back" && !is_old);
            if (entry.service != "plain" || !ends || !store_.has("servers", entry.endpoint->id()))
                continue;
            store_.remove("servers", entry.endpoint->id());
            if (state == "completed")
                entry.endpoint->crash_for_good();
        }
    }

    // Requests to the version, in their order.
    std::vector<time_point> arrivals_at(const std::string& version) const
    {
        std::vector<time_point> times;
        for (const listed_endpoint& entry : endpoints_)
        {
            for (const recorded_request& request : entry.endpoint->requests)
            {
                if (entry.service == "plain" && entry.endpoint->version == version)
                    times.push_back(request.received_at);
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    void check_rollouts()
    {
        for (const ordered_version& order : orders_)
        {
            const std::vector<time_point> times = arrivals_at(order.name);
            std::cout << "rollout " << order.name << (order.is_bad ? " bad" : " good")
                      << (order.in_calm ? " in calm" : "") << " state=" << order.state
                      << " arrivals=" << times.size() << "\n";
            if (!order.in_calm)
                continue;
            if (order.state != (order.is_bad ? "rolled_back" : "completed"))
                violations_.push_back("roll-out of " + order.name + " in calm is " + order.state);
            if (order.is_bad && times.size() > sign_of_bad_version &&
                times.back() > times[sign_of_bad_version] + roll_back_bound)
                violations_.push_back("bad version " + order.name + " got requests for long");
            for (std::size_t i = order.first_request; !order.is_bad && i < requests_.size(); ++i)
            {
                // Until the next order, which is of a bad version.
                if (&order != &orders_.back() && i >= (&order + 1)->first_request)
                    break;
                if (!requests_[i]->done || requests_[i]->status != 200)
                    violations_.push_back(
                        requests_[i]->attempt + " failed during the roll-out of " + order.name +
                        " in calm: status " + std::to_string(requests_[i]->status) + " from vm-" +
                        std::to_string(requests_[i]->vm) + " " + requests_[i]->body);
            }
        }
    }

    int run_count(const std::string& attempt) const
    {
        int count = 0;
        for (const listed_endpoint& entry : endpoints_)
        {
            const auto found = entry.endpoint->executions.find(attempt);
            count += found == entry.endpoint->executions.end() ? 0 : found->second;
        }
        return count;
    }

    static std::string expected_answer(const sent_request& request)
    {
        if (!route_entries[static_cast<std::size_t>(request.kind)].streams)
            return "answer to " + request.attempt;
        std::string text;
        for (int i = 1; i <= stream_events; ++i)
            text += "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i) + "\n\n";
        return text;
    }

    // Requests with the crashing part that reached engines too late, sent by VMs that had time to
    // hear of it.
    void check_crashes()
    {
        if (crashes_.empty())
            return violations_.push_back("no engine crashed");
        const time_point bound = crashes_[std::min<std::size_t>(crashes_.size(), 5) - 1] + contact;
        std::size_t late = 0;
        for (const listed_endpoint& entry : endpoints_)
        {
            for (const recorded_request& received : entry.endpoint->requests)
            {
                if (entry.service != "engines" || received.received_at <= bound)
                    continue;
                const sent_request& sent = *requests_[std::stoul(received.attempt.substr(1))];
                if (sent.has_crashing_part &&
                    received.received_at > vms_[sent.vm]->started_at() + contact)
                    ++late;
            }
        }
        std::cout << "crashes=" << crashes_.size() << " late_arrivals=" << late << "\n";
        if (late > max_late_arrivals)
            violations_.push_back(std::to_string(late) +
                                  " requests with the crashing part reached engines late");
    }

    void check()
    {
        if (engines_crash_)
            check_crashes();
        check_rollouts();
        for (const auto& request : requests_)
        {
            const route_entry& entry = route_entries[static_cast<std::size_t>(request->kind)];
            const int count = run_count(request->attempt);
            const std::string label = std::string(entry.prefix) + " " + request->attempt;
            if (!request->done && !request->failure)
                violations_.push_back(label + " has neither a response nor an error");
            if (request->failure == upstream_failure::invalid_answer)
                violations_.push_back(label + " received an invalid response");
            if (request->done && request->status == 200)
            {
                ++answered_;
                if (request->body != expected_answer(*request))
                    violations_.push_back(label + " received a wrong response: " + request->body);
            }
            if (!entry.non_idempotent)
                continue;
            if (count > 1)
                violations_.push_back(label + " ran " + std::to_string(count) + " times");
            const bool refused_as_not_run = request->status == 503 || request->status == 429 ||
                                            request->status == 408 || request->status == 421;
            if (refused_as_not_run && count > 0)
                violations_.push_back(label + " was refused as not run, but ran");
        }
    }

    random_source random_;
    std::string folder_;
    bool engines_crash_;
    bool has_rollouts_;
    std::vector<ordered_version> orders_;
    std::vector<time_point> crashes_;
    asio::io_context io_;
    fake_store store_;
    std::unique_ptr<proxy> store_proxy_;
    std::deque<listed_endpoint> endpoints_;
    std::vector<std::unique_ptr<vm_process>> vms_;
    std::vector<std::unique_ptr<zinnianotch::upstream_pool>> pools_;
    std::vector<std::unique_ptr<sent_request>> requests_;
    std::vector<active_fault> active_faults_;
    std::vector<std::string> violations_;
    std::uint64_t version_ = 0;
    std::size_t answered_ = 0;
};

} // namespace

int main(int argc, const char** argv)
{
    long long seed = 1;
    int seconds = 10;
    int vms = 3;
    int engines_crash = 0;
    int has_rollouts = 0;
    const char* logs = nullptr;
    const poptOption options[] = {
        {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of the requests and faults", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of requests and faults in seconds",
         "S"},
        {"vms", 0, POPT_ARG_INT, &vms, 0, "number of VMs", "N"},
        {"crashing-part", 0, POPT_ARG_NONE, &engines_crash, 0,
         "let engines crash under a part of some prompts", nullptr},
        {"rollouts", 0, POPT_ARG_NONE, &has_rollouts, 0, "order good and bad versions", nullptr},
        {"logs", 0, POPT_ARG_STRING, &logs, 0, "keep the output of the VMs in a folder", "FOLDER"},
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
    std::vector<std::string> violations;
    {
        soak_run run(static_cast<std::uint64_t>(seed), static_cast<std::size_t>(vms), folder,
                     engines_crash != 0, has_rollouts != 0);
        violations = run.execute(milliseconds(seconds * 1000));
        if (logs != nullptr)
            run.save_output(logs);
        std::cout << "soak seed=" << seed << " sent=" << run.sent()
                  << " answered=" << run.answered() << " violations=" << violations.size() << "\n";
        if (run.answered() * 4 < run.sent())
            violations.push_back("fewer than a quarter of the requests were answered");
    }
    std::filesystem::remove_all(folder);
    for (const std::string& line : violations)
        std::cout << "violation: " << line << "\n";
    std::cout << (violations.empty() ? "1 passed, 0 failed" : "0 passed, 1 failed") << "\n";
    return violations.empty() ? 0 : 1;
}
