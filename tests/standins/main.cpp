// standin: test double of one external service, in the given role, for process tests.
#include "standin.h"

#include <popt.h>

#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>

namespace standins
{

standin::standin(const options& opts)
    : settings(opts), random_(static_cast<std::uint64_t>(opts.seed))
{
}

void standin::serve(session& client)
{
    if (client.path() == "/control")
    {
        client.set_head_fault({});
        handle_control(client);
        return;
    }
    faults injected;
    {
        const std::lock_guard lock(mutex);
        injected = active_faults;
        if (client.path() != "/load")
            ++requests_;
    }
    client.set_head_fault(injected.head);
    if (injected.down)
        client.close();
    else
        handle(client, injected);
}

void standin::handle_control(session& client)
{
    const std::lock_guard lock(mutex);
    if (client.method() == "POST")
    {
        const auto change = web::json::value::parse(client.body());
        const auto set_flag = [&](const char* name, bool& flag)
        {
            if (change.has_field(name))
                flag = change.at(name).as_bool();
        };
        const auto set_number = [&](const char* name, int& number)
        {
            if (change.has_field(name))
                number = change.at(name).as_integer();
        };
        const auto set_text = [&](const char* name, std::string& text)
        {
            if (change.has_field(name))
                text = change.at(name).as_string();
        };
        set_flag("leaving", active_faults.leaving);
        set_flag("down", active_faults.down);
        set_flag("swap_attempts", active_faults.swap_attempts);
        set_flag("duplicate_lines", active_faults.duplicate_lines);
        set_number("delay_ms", active_faults.delay_ms);
        set_number("fail_percent", active_faults.fail_percent);
        set_number("lose_answers_percent", active_faults.lose_answers_percent);
        set_number("cut_after_tokens", active_faults.cut_after_tokens);
        set_text("invalid_status", active_faults.head.status);
        set_text("invalid_lines", active_faults.head.lines);
        apply_control(change);
    }
    auto counters = web::json::value::object();
    counters["requests"] = web::json::value::number(requests_);
    add_counters(counters);
    client.respond(200, counters.serialize());
}

bool standin::sample_bernoulli(int percent)
{
    const std::lock_guard lock(mutex);
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

bool standin::is_down()
{
    const std::lock_guard lock(mutex);
    return active_faults.down;
}

} // namespace standins

namespace
{

// Blocks until SIGTERM or SIGINT, or, if `watch_stdin` is set, until standard input closes.
void wait_for_shutdown(int signal_fd, bool watch_stdin)
{
    pollfd fds[] = {{signal_fd, POLLIN, 0}, {watch_stdin ? STDIN_FILENO : -1, POLLIN, 0}};
    for (;;)
    {
        if (::poll(fds, 2, -1) < 0)
            continue;
        char discarded[256];
        if (fds[0].revents != 0)
            return;
        if (fds[1].revents != 0 && ::read(STDIN_FILENO, discarded, sizeof discarded) <= 0)
            return;
    }
}

std::unique_ptr<standins::standin> make_standin(const standins::options& opts)
{
    if (opts.role == "table")
        return standins::make_table(opts);
    if (opts.role == "vm_list")
        return standins::make_vm_list(opts);
    if (opts.role == "engine" || opts.role == "stage" || opts.role == "service")
        return standins::make_endpoint(opts);
    return nullptr;
}

} // namespace

int main(int argc, const char** argv)
{
    standins::options opts;
    char* role = nullptr;
    char* stage = nullptr;
    char* vms = nullptr;
    int exit_with_stdin = 0;
    const poptOption option_table[] = {
        {"role", 0, POPT_ARG_STRING, &role, 0, "table, vm_list, engine, stage or service", "ROLE"},
        {"stage", 0, POPT_ARG_STRING, &stage, 0, "name of the stage", "NAME"},
        {"vms", 0, POPT_ARG_STRING, &vms, 0, "names listed as live at startup, comma-separated",
         "NAMES"},
        {"port", 0, POPT_ARG_INT, &opts.port, 0, "port on 127.0.0.1; 0: any free port", "PORT"},
        {"capacity", 0, POPT_ARG_INT, &opts.capacity, 0, "maximum concurrent requests when warm",
         "N"},
        {"cold-capacity", 0, POPT_ARG_INT, &opts.cold_capacity, 0,
         "maximum concurrent requests when cold", "N"},
        {"cold-ms", 0, POPT_ARG_INT, &opts.cold_ms, 0,
         "time until warm; 0: starts warm, negative: cold until set by /control", "MS"},
        {"work-ms", 0, POPT_ARG_INT, &opts.work_ms, 0, "time to a response or first token", "MS"},
        {"token-ms", 0, POPT_ARG_INT, &opts.token_ms, 0, "time between tokens", "MS"},
        {"seed", 0, POPT_ARG_INT, &opts.seed, 0, "seed for random faults", "N"},
        {"exit-with-stdin", 0, POPT_ARG_NONE, &exit_with_stdin, 0,
         "exit when standard input closes", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("standin", argc, argv, option_table, 0);
    const int parse_result = poptGetNextOpt(context);
    if (parse_result < -1)
    {
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(parse_result) << '\n';
        return 2;
    }
    if (role != nullptr)
        opts.role = role;
    if (stage != nullptr)
        opts.stage = stage;
    if (vms != nullptr)
        opts.vms = vms;
    poptFreeContext(context);

    const auto standin = make_standin(opts);
    if (standin == nullptr)
    {
        std::cerr << "unknown role '" << opts.role
                  << "'; expected table, vm_list, engine, stage or service\n";
        return 2;
    }
    // Blocked before any thread starts, so that only the signalfd receives them.
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    sigprocmask(SIG_BLOCK, &mask, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    const int signal_fd = ::signalfd(-1, &mask, SFD_CLOEXEC);
    try
    {
        const auto port =
            standins::start_server(static_cast<std::uint16_t>(opts.port),
                                   [&](standins::session& client) { standin->serve(client); });
        std::cout << "listening " << port << std::endl;
    }
    catch (const std::exception& error)
    {
        std::cerr << "cannot listen: " << error.what() << '\n';
        return 1;
    }
    wait_for_shutdown(signal_fd, exit_with_stdin != 0);
    ::_exit(0);
}
