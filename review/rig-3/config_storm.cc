// Desired states of 2,001 routes come in quick succession; the link of each VM has 10 Mbit/s.
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr int idle_routes = 2000;
constexpr int versions = 25;
constexpr double link_mbps = 10.0;
constexpr std::int64_t storm_gap_ms = 60;
constexpr std::int64_t calm_gap_ms = 1000;
constexpr std::int64_t config_ms = 3000;
constexpr std::int64_t history_ms = 20'000;
constexpr std::int64_t play_ms = 16'000; // after the last version

std::string route(const std::string& name, const std::string& prefix, int timeout_ms,
                  const std::string& service)
{
    return R"({"name":")" + name + R"(","host":"h.example","prefix":")" + prefix +
           R"(","kind":"non_idempotent","timeout_ms":)" + std::to_string(timeout_ms) +
           R"(,"slo_ms":300,"priority":1,"service":")" + service +
           R"(","attempts":1,"allow_anonymous":true,"sticky":false,"resumable":false,)"
           R"("gap_slo_ms":0})";
}

// Each version changes a timeout; the last one moves the orders to the service next.
std::string config(int version, bool is_last)
{
    std::string routes =
        route("order", "/order/", 2000 + version, is_last ? "next" : "circulation");
    for (int i = 0; i < idle_routes; ++i)
    {
        char name[32];
        std::snprintf(name, sizeof name, "r-%05d", i);
        char prefix[32];
        std::snprintf(prefix, sizeof prefix, "/idle%05d/part%d/", i, i % 7);
        routes += "," + route(name, prefix, 2000, "circulation");
    }
    const auto service = [](const char* name)
    {
        return std::string(R"({"name":")") + name +
               R"(","health_path":"/health","max_conns":470,"warmup_s":0.0,"cold_per_s":0.0})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[)" + service("circulation") + "," + service("next") +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::mutex mutex;
    std::map<std::string, std::int64_t> sent_at; // by Attempt-Id
    std::atomic<std::int64_t> last_confirmed{INT64_MAX};
    std::atomic<int> late{0};
    std::atomic<int> by_next{0};
    const auto make = [&](const char* service, bool is_next)
    {
        return std::make_unique<server>(
            [&, service, is_next](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                by_next += is_next ? 1 : 0;
                std::int64_t sent = 0;
                {
                    const std::lock_guard lock(mutex);
                    sent = sent_at[attempt];
                }
                const bool is_late = !is_next && last_confirmed != INT64_MAX &&
                                     sent > last_confirmed + config_ms;
                late += is_late ? 1 : 0;
                RECORD("%s runs %s, sent at %lld%s", service, attempt.c_str(),
                       static_cast<long long>(sent), is_late ? ": withdrawn" : "");
                return client.write(response_text(
                    200, "Attempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt + "\r\n",
                    service));
            });
    };
    const auto circulation = make("circulation", false);
    const auto next = make("next", true);
    table.put("servers", "i-c1", server_entry("circulation", circulation->address(), "za", 64));
    table.put("servers", "i-n1", server_entry("next", next->address(), "za", 64));
    const std::string first = config(1, false);
    table.put("op", "config", first);
    table.keep_history(history_ms);
    RECORD("a desired state has %zu bytes", first.size());
    std::vector<std::unique_ptr<narrow_link>> links;
    std::vector<std::string> addresses;
    for (int i = 0; i < 3; ++i)
    {
        links.push_back(std::make_unique<narrow_link>(table.port(), link_mbps));
        addresses.push_back(links.back()->address());
    }
    own.start_vms({"za", "zb", "zc"}, addresses, "  memory_mb: 160\n  link_mbps: 10\n");

    std::atomic<bool> goes_on{true};
    std::atomic<int> orders{0};
    std::atomic<int> served{0};
    const auto order = [&](const vm& at)
    {
        const std::string attempt = attempt_id();
        channel client;
        if (!client.connect(at.port()))
            return;
        {
            const std::lock_guard lock(mutex);
            sent_at[attempt] = now_ms();
        }
        (void)client.write("POST /order/kit-17 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                           attempt + "\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}");
        served += read_message(client, 5000, true).status() == 200 ? 1 : 0;
        ++orders;
    };
    std::thread clients(
        [&]
        {
            for (int n = 0; goes_on; ++n)
            {
                order(own.vm_of(n));
                sleep_ms(50);
            }
        });
    sleep_ms(2000);
    for (int version = 2; version <= versions + 1; ++version)
    {
        const bool is_last = version == versions + 1;
        table.put("op", "config", config(version, is_last));
        RECORD("version %d is confirmed", version);
        if (is_last)
            last_confirmed = now_ms();
        else
            sleep_ms(own.trouble ? storm_gap_ms : calm_gap_ms);
    }
    sleep_ms(play_ms);
    goes_on = false;
    clients.join();
    if (served * 10 < orders * 9)
        cannot_run("orders are not served");
    finish(late > 0, std::to_string(late.load()) + " of " + std::to_string(orders.load()) +
                         " orders were sent more than config_ms after the last version and run by "
                         "the service that it withdraws; by the other one " +
                         std::to_string(by_next.load()));
}
