// standin: plays one role of the outside world for process tests.
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
        handle_control(client);
        return;
    }
    faults now;
    {
        const std::lock_guard lock(mutex);
        now = switched;
        if (client.path() != "/load")
            ++requests_;
    }
    if (now.down)
        client.close();
    else
        handle(client, now);
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
        set_flag("leaving", switched.leaving);
        set_flag("down", switched.down);
        set_flag("swap_attempts", switched.swap_attempts);
        set_flag("duplicate_lines", switched.duplicate_lines);
        set_number("delay_ms", switched.delay_ms);
        set_number("fail_percent", switched.fail_percent);
        set_number("lose_answers_percent", switched.lose_answers_percent);
        set_number("cut_after_tokens", switched.cut_after_tokens);
        control(change);
    }
    auto counters = web::json::value::object();
    counters["requests"] = web::json::value::number(requests_);
    report(counters);
    client.answer(200, counters.serialize());
}

bool standin::draw(int percent)
{
    const std::lock_guard lock(mutex);
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

bool standin::is_down()
{
    const std::lock_guard lock(mutex);
    return switched.down;
}

} // namespace standins

namespace
{

// Blocks until SIGTERM or SIGINT, or until standard input closes when `watch_input` is set.
void wait_for_end(int signals, bool watch_input)
{
    pollfd events[] = {{signals, POLLIN, 0}, {watch_input ? STDIN_FILENO : -1, POLLIN, 0}};
    for (;;)
    {
        if (::poll(events, 2, -1) < 0)
            continue;
        char discarded[256];
        if (events[0].revents != 0)
            return;
        if (events[1].revents != 0 && ::read(STDIN_FILENO, discarded, sizeof discarded) <= 0)
            return;
    }
}

std::unique_ptr<standins::standin> make(const standins::options& opts)
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
    const poptOption table[] = {
        {"role", 0, POPT_ARG_STRING, &role, 0, "table, vm_list, engine, stage or service", "ROLE"},
        {"stage", 0, POPT_ARG_STRING, &stage, 0, "name of the stage", "NAME"},
        {"vms", 0, POPT_ARG_STRING, &vms, 0, "names listed as live, comma-separated", "NAMES"},
        {"port", 0, POPT_ARG_INT, &opts.port, 0, "port on 127.0.0.1; 0: any free port", "PORT"},
        {"capacity", 0, POPT_ARG_INT, &opts.capacity, 0, "concurrent work when warm", "N"},
        {"cold-capacity", 0, POPT_ARG_INT, &opts.cold_capacity, 0, "the same when cold", "N"},
        {"cold-ms", 0, POPT_ARG_INT, &opts.cold_ms, 0,
         "time until warm; 0: starts warm, negative: cold until told", "MS"},
        {"work-ms", 0, POPT_ARG_INT, &opts.work_ms, 0, "time for an answer or a first token", "MS"},
        {"token-ms", 0, POPT_ARG_INT, &opts.token_ms, 0, "time between tokens", "MS"},
        {"seed", 0, POPT_ARG_INT, &opts.seed, 0, "seed for faults given in percent", "N"},
        {"exit-with-stdin", 0, POPT_ARG_NONE, &exit_with_stdin, 0, "end when standard input closes",
         nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("standin", argc, argv, table, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1)
    {
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(parsed) << '\n';
        return 2;
    }
    if (role != nullptr)
        opts.role = role;
    if (stage != nullptr)
        opts.stage = stage;
    if (vms != nullptr)
        opts.vms = vms;
    poptFreeContext(context);

    const auto standin = make(opts);
    if (standin == nullptr)
    {
        std::cerr << "unknown role '" << opts.role << "'\n";
        return 2;
    }
    // Blocked before any thread starts, so that only the signalfd receives them.
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    sigprocmask(SIG_BLOCK, &mask, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    const int signals = ::signalfd(-1, &mask, SFD_CLOEXEC);
    try
    {
        const auto port =
            standins::listen(static_cast<std::uint16_t>(opts.port),
                             [&](standins::session& client) { standin->serve(client); });
        std::cout << "listening " << port << std::endl;
    }
    catch (const std::exception& error)
    {
        std::cerr << "cannot listen: " << error.what() << '\n';
        return 1;
    }
    wait_for_end(signals, exit_with_stdin != 0);
    ::_exit(0);
}
