// A route was moved from one service to another: the old one is listed with weight 0. Then the zone
// of the new one is evacuated.
#include "rig.h"

using namespace rig;

namespace
{

constexpr std::int64_t settle_ms = 4000; // config_ms is 2000

std::string config(int version, int old_weight, int new_weight)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"order","host":"h.example","prefix":"/order/",)"
           R"("kind":"non_idempotent","timeout_ms":2000,"slo_ms":300,"priority":1,"backends":[)"
           R"({"service":"circulation","weight":)" +
           std::to_string(old_weight) + R"(},{"service":"circulation-2","weight":)" +
           std::to_string(new_weight) +
           R"(}],"attempts":1,"allow_anonymous":true}],"services":[)"
           R"({"name":"circulation","health_path":"/health","max_conns":110,"warmup_s":0.0,)"
           R"("cold_per_s":0.0},{"name":"circulation-2","health_path":"/health",)"
           R"("max_conns":110,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{)"
           R"("max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[]})";
}

} // namespace

int main(int argc, char** argv)
{
    script own(argc, argv);
    store table;
    std::atomic<int> old_runs{0};
    std::atomic<int> new_runs{0};
    const auto make = [](const char* service, std::atomic<int>& runs)
    {
        return std::make_unique<server>(
            [service, &runs](channel& client, const message& request)
            {
                const std::string attempt = request.field("Attempt-Id");
                RECORD("engine of %s runs %s", service, attempt.c_str());
                ++runs;
                return client.write(response_text(200,
                                                  "Attempt-Id: " + attempt +
                                                      "\r\nResponse-Seal: s." + attempt + "\r\n",
                                                  service));
            });
    };
    std::vector<std::unique_ptr<server>> engines;
    for (int i = 0; i < 2; ++i)
    {
        engines.push_back(make("circulation", old_runs));
        table.put("servers", "i-old-" + std::to_string(i),
                  server_entry("circulation", engines.back()->address(), i == 0 ? "za" : "zc", 6));
        engines.push_back(make("circulation-2", new_runs));
        table.put("servers", "i-new-" + std::to_string(i),
                  server_entry("circulation-2", engines.back()->address(), "zb", 6));
    }
    table.put("op", "config", config(3, 100, 0));
    own.start_vms({"za", "zb", "zc"}, table.address());

    const auto order_everywhere = [&](const char* when)
    {
        for (int round = 0; round < 5; ++round)
        {
            for (const auto& each : own.vms)
            {
                const std::string attempt = attempt_id();
                channel client;
                if (!client.connect(each->port()))
                    cannot_run("no connection to a VM");
                (void)client.write("POST /order/kit-17 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                                   attempt + "\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}");
                const message answer = read_message(client, 5000, true);
                RECORD("order %s at %s, %s: %d", attempt.c_str(), each->name().c_str(), when,
                       answer.status());
            }
        }
    };
    order_everywhere("version 3 (circulation 100, circulation-2 0)");
    table.put("op", "config", config(4, 0, 100));
    RECORD("row written: op/config, version 4 (circulation 0, circulation-2 100)");
    sleep_ms(settle_ms);
    const int old_before = old_runs;
    order_everywhere("version 4 (circulation 0, circulation-2 100)");
    if (new_runs < 15 || old_runs != old_before)
        cannot_run("version 4 is not in force");
    if (own.trouble)
    {
        table.put("op", "evacuate/zb", "{}");
        RECORD("row written: op/evacuate/zb");
    }
    sleep_ms(settle_ms);
    order_everywhere("version 4 (circulation 0, circulation-2 100)");
    const int run_by_old = old_runs - old_before;
    finish(run_by_old > 0, std::to_string(run_by_old) +
                               " orders sent later than config_ms after version 4 were run by the "
                               "service that has weight 0 in it");
}
