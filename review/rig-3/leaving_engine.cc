// One VM loses the store for a second. Just after it is back, an engine leaves as some engines do:
// its entry is removed, and it serves on for a while. Another VM, which nothing has happened to,
// goes on sending requests to it.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t cut_ms = 1000;
constexpr int engine_count = 6;
constexpr int rounds = 7;

const char* const config =
    R"({"version":1,"routes":[{"name":"order","host":"h.example","prefix":"/order/",)"
    R"("kind":"non_idempotent","timeout_ms":2000,"slo_ms":300,"priority":1,)"
    R"("service":"circulation","attempts":1,"allow_anonymous":true}],"services":[)"
    R"({"name":"circulation","health_path":"/health","max_conns":300,"warmup_s":0.0,)"
    R"("cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

struct engine
{
    std::string id;
    std::unique_ptr<server> listener;
    std::atomic<std::int64_t> left_at{-1}; // its entry was removed
    std::int64_t born = 1;
    int sequence = 1;
};

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::atomic<int> late{0};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sent_at; // by Attempt-Id
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engine_count; ++i)
    {
        engines.push_back(std::make_unique<engine>());
        engine& each = *engines.back();
        each.id = "i-" + std::to_string(i);
        each.listener = std::make_unique<server>(
            [&](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                const std::int64_t left = each.left_at;
                const std::int64_t now = now_ms();
                std::int64_t sent = 0;
                {
                    const std::lock_guard lock(mutex);
                    sent = sent_at[attempt];
                }
                if (left >= 0 && now > left + drain_ms && sent > left)
                {
                    ++late;
                    RECORD("order %s, sent %lld ms after engine %s had left, reaches it %lld ms "
                           "after it",
                           attempt.c_str(), static_cast<long long>(sent - left), each.id.c_str(),
                           static_cast<long long>(now - left));
                }
                sleep_ms(20);
                return client.write(response_text(
                    200, "Attempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt + "\r\n",
                    "ok"));
            });
    }
    const auto list = [&](engine& each)
    {
        table.put("servers", each.id,
                  server_entry("circulation", each.listener->address(), "za", 64, "ready",
                               each.born, ++each.sequence));
    };
    for (const auto& each : engines)
        list(*each);
    table.put("op", "config", config);
    own.start_vms({"za", "za"}, table.address());
    own.vms.push_back(std::make_unique<vm>("vm-2", "za", table.other_address(), own.folder,
                                           own.program, "  memory_mb: 260\n"));
    running_vms().push_back(own.vms.back().get());
    own.vms.back()->start();
    own.vms.back()->wait_ready();
    sleep_ms(4000);

    std::atomic<bool> ended{false};
    std::vector<std::thread> running;
    running.emplace_back(
        [&]
        {
            for (std::size_t i = 0; !ended; ++i)
            {
                engine& each = *engines[i % engines.size()];
                if (each.left_at < 0)
                    list(each);
                sleep_ms(heartbeat_ms / engine_count);
            }
        });
    // Orders to vm-0 and vm-1 only, which are in touch all the time.
    running.emplace_back(
        [&]
        {
            for (int n = 0; !ended; ++n)
            {
                std::thread(
                    [&, n]
                    {
                        const std::string attempt = attempt_id();
                        channel client;
                        if (!client.connect(own.vms[static_cast<std::size_t>(n % 2)]->port()))
                            return;
                        {
                            const std::lock_guard lock(mutex);
                            sent_at[attempt] = now_ms();
                        }
                        (void)client.write(
                            "POST /order/kit-17 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                            attempt + "\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}");
                        (void)read_message(client, 5000, true);
                    })
                    .detach();
                sleep_ms(5);
            }
        });

    for (int round = 0; round < rounds; ++round)
    {
        // VMs ask the store some 600 ms after each answer; rounds meet them at different points.
        sleep_ms(2000 + 130 * round);
        engine& leaving = *engines[static_cast<std::size_t>(round) % engines.size()];
        if (own.trouble)
        {
            table.cut_other();
            RECORD("vm-2 loses the store");
            sleep_ms(cut_ms);
            table.other_asked_at = -1;
            table.restore_other();
            RECORD("vm-2 reaches the store again");
            for (int i = 0; i < 4000 && table.other_asked_at < 0; ++i)
                sleep_ms(1);
            sleep_ms(30);
        }
        else
            sleep_ms(cut_ms + 500);
        leaving.left_at = now_ms();
        table.remove("servers", leaving.id);
        RECORD("engine %s leaves: its entry is removed", leaving.id.c_str());
        sleep_ms(6000);
        leaving.left_at = -1;
        leaving.born += now_ms();
        list(leaving);
        RECORD("engine %s is back", leaving.id.c_str());
    }
    ended = true;
    for (std::thread& each : running)
        each.join();
    sleep_ms(500);
    finish(late > 0, std::to_string(late.load()) +
                         " orders reached an engine later than drain_ms after its entry was gone, "
                         "sent on by VMs that had lost nothing");
}
