// A request that crashes each engine is held on all VMs; then all VMs are killed at the same moment
// and start again, and the request comes again.
#include "engine.h"

#include <random>

using namespace rig;

namespace
{

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t round_interval_ms = 4000;
constexpr int copies = 3; // of the request in each round, each at another VM
constexpr int rounds_before = 4;
constexpr int rounds_after = 6;
constexpr double sound_per_s = 40.0;

} // namespace

int main(int, char** argv)
{
    record out(argv[1]);
    fleet system;
    const char* const zones[] = {"ne-a", "ne-b", "ne-c"};
    for (int i = 0; i < 6; ++i)
        system.add_vm("front-" + std::to_string(i), zones[i % 3]);

    std::mutex mutex;
    std::vector<std::int64_t> crashes;
    std::vector<std::int64_t> arrivals; // of the request
    const auto decide = [&](engine& self, const message& request)
    {
        engine_answer how;
        how.first_byte_ms = 150;
        if (request.target != "/c/bad")
            return how;
        how.crashes = true;
        const std::lock_guard lock(mutex);
        arrivals.push_back(now_ms());
        out.line("engine " + self.id() + " gets the request as " + request.field("attempt-id"));
        std::thread(
            [&, id = self.id()]
            {
                sleep_ms(150);
                const std::lock_guard inner(mutex);
                crashes.push_back(now_ms());
                out.line("engine " + id + " crashes");
            })
            .detach();
        return how;
    };
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 9; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            system.table,
            engine_settings{"i-" + std::to_string(i), "catalogue", zones[i % 3], 6, 0}, decide));
        engines.back()->begin();
    }
    system.table.put(
        "op", "config",
        R"({"version":3,"routes":[{"name":"r","host":"a.example","prefix":"/c/",)"
        R"("kind":"idempotent","timeout_ms":4000,"slo_ms":300,"priority":1,)"
        R"("service":"catalogue","attempts":2,"stages":[],"allow_anonymous":false,"sticky":false,)"
        R"("resumable":false}],"services":[{"name":"catalogue","health_path":"/health",)"
        R"("max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})");
    if (!system.start())
    {
        out.line("the VMs did not start" + system.last_words());
        system.finish(2);
    }

    std::mt19937_64 random(static_cast<std::uint64_t>(::getpid()));
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    work clients;
    const auto send = [&](const std::string& path, std::size_t vm_index)
    {
        const std::string attempt = hex(random());
        const address to = system.vms[vm_index % system.vms.size()]->front();
        clients.start(
            [&, attempt, to, path]
            {
                const message answer =
                    call(to,
                         "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt +
                             "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n",
                         "", 6000);
                if (path == "/c/bad")
                    out.line("client has " + std::to_string(answer.status) + " for " + attempt +
                             ", the request");
                else
                    ++(answer.status == 200 ? served : failed);
            });
    };
    std::int64_t next_sound = now_ms();
    const auto play_until = [&](std::int64_t until)
    {
        while (now_ms() < until)
        {
            send("/c/" + std::to_string(random() % 500), random());
            next_sound += static_cast<std::int64_t>(1000.0 / sound_per_s);
            sleep_until_ms(next_sound);
        }
    };
    const auto play_rounds = [&](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const std::size_t first = random();
            for (std::size_t copy = 0; copy < copies; ++copy)
                send("/c/bad", first + copy);
            play_until(now_ms() + round_interval_ms);
        }
    };
    play_until(now_ms() + 2000);
    play_rounds(rounds_before);
    if (has_trouble())
    {
        out.line("SIGKILL to all VMs");
        for (const auto& each : system.vms)
            each->kill_now();
        sleep_ms(1000);
        if (!system.start())
        {
            out.line("the VMs did not start again" + system.last_words());
            system.finish(2);
        }
        out.line("all VMs are ready again");
    }
    const std::int64_t restarted = now_ms();
    next_sound = now_ms();
    play_until(now_ms() + contact_ms + 500);
    play_rounds(rounds_after);
    clients.wait();

    const std::lock_guard lock(mutex);
    std::sort(crashes.begin(), crashes.end());
    int counted = 0;
    for (const std::int64_t at : arrivals)
    {
        const bool follows_third = crashes.size() >= 3 && at > crashes[2] + contact_ms;
        const bool is_in_touch = at < restarted || at > restarted + contact_ms;
        counted += follows_third && is_in_touch ? 1 : 0;
    }
    out.line("crashes " + std::to_string(crashes.size()) + ", arrivals of the request " +
             std::to_string(arrivals.size()) + ", counted " + std::to_string(counted) +
             " (3 are allowed); sound requests served " + std::to_string(served) + ", not served " +
             std::to_string(failed));
    system.finish(counted > 3 ? 1 : 0);
}
