// One of six engines works five times as long as usual for a while. Like some engines, it does not
// drop a request when its channel closes.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr std::int64_t event_ms = 60;
constexpr std::int64_t preempted_ms = 650; // of a request that is read in again after an event
constexpr int slow_factor = 5;
constexpr int preempted_after = 3;
constexpr int events = 8;
constexpr std::int64_t overlap_ms = 400;
constexpr std::int64_t slow_from_ms = 4000;
constexpr std::int64_t slow_for_ms = 6500;
constexpr std::int64_t play_ms = 16'000;

const char* const config =
    R"({"version":1,"routes":[{"name":"digest","host":"h.example","prefix":"/digest/",)"
    R"("kind":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":1,"service":"pool",)"
    R"("attempts":2,"allow_anonymous":true,"sticky":true,"resumable":true,"gap_slo_ms":600}],)"
    R"("services":[{"name":"pool","health_path":"/health","max_conns":370,"protocol":"h1",)"
    R"("tls":false,"warmup_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":475968,)"
    R"("kv_bytes":35136,"stride":5,"models":[{"name":"m"}]}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"tenants":[]})";

// One run of a request at an engine.
struct run
{
    std::string engine;
    std::int64_t from = 0;
    std::int64_t to = -1; // -1: still at work
    int after_event = 0;
};

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::mutex mutex;
    std::map<std::string, std::vector<run>> runs; // by Attempt-Id
    std::atomic<bool> is_slow{false};
    std::vector<std::unique_ptr<server>> engines;
    const std::vector<std::string> zones{"za", "zb", "zc"};
    for (int i = 0; i < 6; ++i)
    {
        const std::string id = "i-" + std::to_string(i);
        engines.push_back(std::make_unique<server>(
            [&, id, i](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                const int after = std::atoi(request.field("Last-Event-Id").c_str());
                std::size_t index = 0;
                {
                    const std::lock_guard lock(mutex);
                    runs[attempt].push_back({id, now_ms(), -1, after});
                    index = runs[attempt].size() - 1;
                    if (index > 0)
                        RECORD("engine %s goes on with %s after event %d", id.c_str(),
                               attempt.c_str(), after);
                }
                const auto work = [&](std::int64_t ms)
                { sleep_ms(i == 0 && is_slow ? ms * slow_factor : ms); };
                bool is_open = client.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                                            "\r\nResponse-Seal: s." + attempt +
                                            "\r\nContent-Type: text/event-stream\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n");
                for (int event = after + 1; event <= events && is_open; ++event)
                {
                    work(event_ms);
                    if (event == preempted_after + 1)
                        work(preempted_ms);
                    const std::string text = "id: " + std::to_string(event) + "\ndata: t\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    is_open = client.write(size + text + "\r\n") && !client.peer_closed();
                }
                is_open = is_open && client.write("0\r\n\r\n");
                const std::lock_guard lock(mutex);
                runs[attempt][index].to = now_ms();
                if (runs[attempt].size() > 1)
                    RECORD("engine %s stops working on %s", id.c_str(), attempt.c_str());
                return is_open;
            }));
        table.put("servers", id,
                  server_entry("pool", engines.back()->address(),
                               zones[static_cast<std::size_t>(i) % 3], 64));
    }
    table.put("op", "config", config);
    own.start_vms(zones, table.address());

    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    const auto send = [&](int n)
    {
        const std::string attempt = attempt_id();
        channel client;
        if (!client.connect(own.vm_of(n).port()))
            return;
        char prefix[96];
        std::snprintf(prefix, sizeof prefix, "a0000001:800,b%07x:400,c%07x:250",
                      static_cast<unsigned>(n % 40), static_cast<unsigned>(n));
        (void)client.write("POST /digest/" + std::to_string(n) +
                           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
                           "\r\nModel: m\r\nToken-Count: 1450,40\r\nPrompt-Prefix: " + prefix +
                           "\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi");
        const message answer = read_message(client, 7000, true);
        ++sent;
        whole += answer.complete && answer.status() == 200 ? 1 : 0;
    };
    const std::int64_t began = now_ms();
    for (int n = 0; now_ms() < began + play_ms; ++n)
    {
        const std::int64_t at = now_ms() - began;
        const bool slow = own.trouble && at >= slow_from_ms && at < slow_from_ms + slow_for_ms;
        if (slow != is_slow)
            RECORD("engine i-0 works %s", slow ? "five times as long" : "as usual");
        is_slow = slow;
        std::thread(send, n).detach();
        sleep_ms(50);
    }
    sleep_ms(7000);

    const std::lock_guard lock(mutex);
    int overlapping = 0;
    for (const auto& [attempt, all] : runs)
    {
        for (std::size_t i = 1; i < all.size(); ++i)
        {
            const run& before = all[i - 1];
            const bool at_other = before.engine != all[i].engine;
            overlapping +=
                at_other && (before.to < 0 || before.to > all[i].from + overlap_ms) ? 1 : 0;
        }
    }
    finish(overlapping > 0,
           std::to_string(overlapping) + " of " + std::to_string(sent.load()) +
               " requests went on at another engine while the engine before still worked on them "
               "400 ms later; whole answers " +
               std::to_string(whole.load()));
}
