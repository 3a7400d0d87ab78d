// Invariant 9: an accepted configuration takes effect on all VMs within seconds and never reverts.
#include "callers.h"

#include "transport/rpc.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

using namespace fixture;
using web::json::value;
using zinnianotch::steady_clock;
using zinnianotch::time_point;

namespace
{

constexpr std::uint32_t first_limit = 20; // the warm limit identifies the version

// The configuration in effect at `vm`, with another warm limit.
value with_warm_limit(const deployment& cluster, const std::string& vm, std::uint32_t limit)
{
    value document = read_config(cluster, vm);
    document["defaults"]["warm_limit"] = value::number(limit);
    return document;
}

http_result put_next_version(const deployment& cluster, const std::string& vm,
                             std::uint64_t expected)
{
    const auto limit = first_limit + static_cast<std::uint32_t>(expected);
    return put_config(cluster, vm, expected, with_warm_limit(cluster, vm, limit));
}

std::uint32_t warm_limit_at(const deployment& cluster, const std::string& vm)
{
    return read_config(cluster, vm).at("defaults").at("warm_limit").as_number().to_uint32();
}

std::string reason_of(const http_result& answer)
{
    return answer.json().at("error").at("reason").as_string();
}

// Two operators concurrently replace the same version with different documents. One write is
// accepted, the other gets a conflict with the current version, and all VMs adopt the accepted
// document.
void race(const deployment& cluster, const std::vector<std::string>& vms, std::uint64_t expected)
{
    http_result answers[2];
    const auto limit = first_limit + 2 * static_cast<std::uint32_t>(expected);
    const value documents[2] = {with_warm_limit(cluster, vms[0], limit),
                                with_warm_limit(cluster, vms[1], limit + 1)};
    std::thread other([&] { answers[0] = put_config(cluster, vms[0], expected, documents[0]); });
    answers[1] = put_config(cluster, vms[1], expected, documents[1]);
    other.join();
    const int winner = answers[0].status == 200 ? 0 : 1;
    const http_result& won = answers[winner];
    const http_result& lost = answers[1 - winner];
    cr_assert_eq(won.status, 200, "%s", won.body.c_str());
    cr_expect_eq(won.json().at("version").as_number().to_uint64(), expected + 1);
    cr_assert_eq(lost.status, 409, "%s", lost.body.c_str());
    cr_expect(reason_of(lost) == "version_conflict");
    cr_expect(lost.json().at("error").at("verdict").as_string() == "not_run");
    cr_expect_eq(lost.json().at("error").at("current_version").as_number().to_uint64(),
                 expected + 1);
    cr_assert(eventually([&] { return all_have_config_version(cluster, expected + 1); }));
    for (const auto& [name, vm] : cluster.vms)
        cr_expect_eq(warm_limit_at(cluster, name), limit + winner, "%s", name.c_str());
}

// Waits until all VMs have the version; returns the time since it was accepted.
milliseconds propagation_time(const deployment& cluster, std::uint64_t version, time_point accepted)
{
    cr_assert(eventually([&] { return all_have_config_version(cluster, version); }));
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - accepted);
}

void print_ratio(const char* label, std::size_t vms, milliseconds time)
{
    const auto ratio =
        static_cast<double>(time.count()) / static_cast<double>(max_change_delay.count());
    (void)std::printf("configuration in effect, %s, %zu VMs: %.2f of the bound\n", label, vms,
                      ratio);
    (void)std::fflush(stdout);
}

// A peer that announces a version that it does not have, and serves an old document instead.
class replaying_peer : public zinnianotch::rpc_service
{
public:
    explicit replaying_peer(zinnianotch::config_document old) : old_(std::move(old)) {}

    zinnianotch::heartbeat on_heartbeat(const zinnianotch::heartbeat&) override
    {
        return own_heartbeat;
    }

    zinnianotch::config_document on_fetch_config() override
    {
        ++fetches;
        return old_;
    }

    zinnianotch::result<zinnianotch::stage_output>
    on_run_stage(const zinnianotch::stage_call&, const zinnianotch::token_handler&,
                 const zinnianotch::cancel_flag&) override
    {
        return zinnianotch::not_run(zinnianotch::reason::draining);
    }

    zinnianotch::heartbeat own_heartbeat;
    std::atomic<std::size_t> fetches{0};

private:
    zinnianotch::config_document old_;
};

} // namespace

// Guards against two accepted changes of one version, and against a losing operator that gets no
// conflict or gets the other operator's change confirmed as its own.
Test(configuration, operators_race_one_is_accepted_and_one_conflicts)
{
    deployment_options options;
    options.vms_per_domain = 2;
    const deployment cluster(options);
    config_version_monitor observer(cluster);
    for (std::uint64_t version = 1; version <= 6; ++version)
        race(cluster,
             version % 2 == 0 ? std::vector<std::string>{"vm-a1", "vm-a1"}
                              : std::vector<std::string>{"vm-a1", "vm-b2"},
             version);
    observer.stop();
    cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
}

// Guards against a change that took effect but is reported as failed, or is applied twice, because
// the table's response was lost.
Test(configuration, answer_to_write_lost_both_operators_learn_the_outcome)
{
    const deployment cluster;
    config_version_monitor observer(cluster);
    cluster.table.control(R"({"lose_answers_percent":100})");
    const http_result alone = put_next_version(cluster, "vm-a1", 1);
    cr_assert_eq(alone.status, 200, "%s", alone.body.c_str());
    cr_assert(eventually([&] { return all_have_config_version(cluster, 2); }));
    race(cluster, {"vm-a1", "vm-b1"}, 2);
    race(cluster, {"vm-b1", "vm-b1"}, 3);
    cluster.table.control(R"({"lose_answers_percent":0})");
    const http_result history =
        cluster.admin(cluster.vms.at("vm-b1"), "GET", "/admin/v1/config/history");
    cr_assert_eq(history.status, 200, "%s", history.body.c_str());
    cr_expect_eq(history.json().at("versions").size(), 4);
    observer.stop();
    cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
}

// Guards against a VM that starts while the table is down and adopts an older version from the
// first peer that answers, or serves without a configuration.
Test(configuration, vm_restarted_with_table_down_takes_newest_version_of_peers)
{
    deployment_options options;
    options.vms_per_domain = 3;
    deployment cluster(options);
    config_version_monitor observer(cluster);
    // vm-a3 is frozen before the changes, so it keeps version 1.
    cluster.vms.at("vm-a3").process->stop();
    for (std::uint64_t version = 1; version <= 3; ++version)
    {
        const http_result written = put_next_version(cluster, "vm-a1", version);
        cr_assert_eq(written.status, 200, "%s", written.body.c_str());
    }
    cr_assert(
        eventually([&] { return read_config_version(cluster.vms.at("vm-a2").caller_port) == 4U; }));
    cluster.table.control(R"({"down":true})");
    cluster.vms.at("vm-a2").process->kill();
    cluster.vms.at("vm-a2").process->wait_exit();
    // vm-b1 is of the other failure domain: endpoints owned by the killed process have no owner as
    // long as the view cannot be written.
    add_seed_peers(cluster, "vm-a2", {"vm-a1", "vm-a3", "vm-b1"});
    const auto& restarted = cluster.start_vm("vm-a2");
    observer.set_port("vm-a2", restarted.caller_port);
    const http_result refused = send_http(restarted.caller_port, "POST", "/v1/pipelines/suggest",
                                          R"({"input":"early"})", caller_headers());
    const bool not_yet_ready = refused.status == 503 && reason_of(refused) == "not_ready";
    cr_expect(not_yet_ready || read_config_version(restarted.caller_port) == 4U, "%s",
              refused.body.c_str());
    const auto sees_current_peer = [&]
    {
        const value status = cluster.admin(restarted, "GET", "/admin/v1/status").json();
        for (const value& peer : status.at("peers").as_array())
            if (peer.at("vm").as_string() == "vm-a1")
                return true;
        return false;
    };
    cr_assert(eventually(sees_current_peer));
    cluster.vms.at("vm-a3").process->resume();
    deployment::wait_ready(restarted);
    cr_expect_eq(read_config_version(restarted.caller_port).value_or(0), 4);
    cr_expect(eventually([&] { return all_have_config_version(cluster, 4); }));
    const std::string error = call_pipeline(restarted.caller_port, "after the restart");
    cr_expect(error.empty(), "%s", error.c_str());
    cluster.table.control(R"({"down":false})");
    const http_result next = put_next_version(cluster, "vm-a2", 4);
    cr_expect_eq(next.status, 200, "%s", next.body.c_str());
    cr_expect(eventually([&] { return all_have_config_version(cluster, 5); }));
    observer.stop();
    cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
}

// Guards against a VM that adopts any version that a peer serves, even an older one.
Test(configuration, old_version_replayed_by_a_peer_is_ignored)
{
    const deployment cluster;
    config_version_monitor observer(cluster);
    const std::string old_row =
        send_http(cluster.table.port(), "GET", "/rows/config/0000000001").body;
    for (std::uint64_t version = 1; version <= 2; ++version)
    {
        const http_result written = put_next_version(cluster, "vm-a1", version);
        cr_assert_eq(written.status, 200, "%s", written.body.c_str());
    }
    cr_assert(eventually([&] { return all_have_config_version(cluster, 3); }));
    const std::uint32_t limit = warm_limit_at(cluster, "vm-a1");

    replaying_peer peer({1, old_row});
    zinnianotch::rpc_node node({}, peer);
    node.start();
    peer.own_heartbeat.vm = {"vm-a9", 1};
    peer.own_heartbeat.domain = "dom-a";
    peer.own_heartbeat.address = "127.0.0.1:" + std::to_string(node.port());
    peer.own_heartbeat.state = zinnianotch::vm_state::serving;
    peer.own_heartbeat.config_version = 99;
    const std::string target = "127.0.0.1:" + std::to_string(cluster.vms.at("vm-a1").peer_port);
    const auto fetched_three_times = [&]
    {
        node.send_heartbeat(target, peer.own_heartbeat, [](const zinnianotch::heartbeat&) {});
        return peer.fetches >= 3;
    };
    cr_assert(eventually(fetched_three_times));
    const std::size_t seen = observer.samples();
    cr_assert(eventually([&] { return observer.samples() >= seen + 10; }));
    cr_expect_eq(read_config_version(cluster.vms.at("vm-a1").caller_port).value_or(0), 3);
    cr_expect_eq(warm_limit_at(cluster, "vm-a1"), limit);
    observer.stop();
    cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
    node.stop();
}

// Guards against a failure domain that keeps or spreads its old version when it is reconnected to
// the other domain while its VMs still cannot reach the table.
Test(configuration, domains_reconnected_after_partition_agree_on_the_newest_version)
{
    deployment_options options;
    options.vms_per_domain = 2;
    options.proxies = true;
    const deployment cluster(options);
    config_version_monitor observer(cluster);
    cluster.table_proxies.at("dom-b").command("freeze_all");
    for (const std::string name : {"vm-b1", "vm-b2"})
        cluster.vms.at(name).process->stop();
    for (std::uint64_t version = 1; version <= 2; ++version)
    {
        const http_result written = put_next_version(cluster, "vm-a1", version);
        cr_assert_eq(written.status, 200, "%s", written.body.c_str());
    }
    cr_assert(
        eventually([&] { return read_config_version(cluster.vms.at("vm-a2").caller_port) == 3U; }));
    for (const std::string name : {"vm-a1", "vm-a2"})
        cluster.vms.at(name).process->stop();
    for (const std::string name : {"vm-b1", "vm-b2"})
        cluster.vms.at(name).process->resume();
    // dom-b is partitioned with the old version.
    for (const std::string name : {"vm-b1", "vm-b2"})
    {
        cr_expect_eq(read_config_version(cluster.vms.at(name).caller_port).value_or(0), 1);
        const http_result refused = put_next_version(cluster, name, 1);
        cr_expect(refused.status == 503 || refused.status == 504, "%s", refused.body.c_str());
    }
    for (const std::string name : {"vm-a1", "vm-a2"})
        cluster.vms.at(name).process->resume();
    const milliseconds time = propagation_time(cluster, 3, steady_clock::now());
    print_ratio("after a partition, by peers only", cluster.vms.size(), time);
    cr_expect(time <= max_change_delay);
    cluster.table_proxies.at("dom-b").command("pass");
    const http_result next = put_next_version(cluster, "vm-b1", 3);
    cr_expect_eq(next.status, 200, "%s", next.body.c_str());
    cr_expect(eventually([&] { return all_have_config_version(cluster, 4); }));
    observer.stop();
    cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
}

// Guards against a version that takes longer than the bound to reach all VMs, with the table
// reachable or down.
Test(configuration, accepted_version_reaches_fleets_of_all_sizes_within_bound)
{
    for (const int vms_per_domain : {1, 2, 4})
    {
        deployment_options options;
        options.vms_per_domain = vms_per_domain;
        const deployment cluster(options);
        config_version_monitor observer(cluster);
        milliseconds worst{0};
        for (std::uint64_t version = 1; version <= 5; ++version)
        {
            const http_result written =
                put_next_version(cluster, version % 2 == 0 ? "vm-a1" : "vm-b1", version);
            cr_assert_eq(written.status, 200, "%s", written.body.c_str());
            worst = std::max(worst, propagation_time(cluster, version + 1, steady_clock::now()));
        }
        print_ratio("worst of 5 changes", cluster.vms.size(), worst);
        cr_expect(worst <= max_change_delay);
        const http_result written = put_next_version(cluster, "vm-a1", 6);
        const time_point accepted = steady_clock::now();
        cluster.table.control(R"({"down":true})");
        cr_assert_eq(written.status, 200, "%s", written.body.c_str());
        const milliseconds by_peers = propagation_time(cluster, 7, accepted);
        print_ratio("table down after acceptance", cluster.vms.size(), by_peers);
        cr_expect(by_peers <= max_change_delay);
        observer.stop();
        cr_expect(observer.decreases().empty(), "%s", observer.decreases().c_str());
    }
}

// Guards against an exception of a pool's retries that has no effect.
Test(configuration, exception_for_retries_holds_for_its_pool)
{
    deployment_options options;
    options.modify_configuration = [](value& document)
    {
        document["defaults"]["retry_percent"] = value::number(0);
        document["exceptions"][0] =
            value::object({{"id", value("rerankers")},
                           {"target", value("pool:rerankers")},
                           {"setting", value("retry_percent")},
                           {"value", value::number(100)},
                           {"reason", value("rerankers fail often and answer quickly")},
                           {"author", value("night-shift")}});
    };
    const deployment cluster(options);
    for (const char* const id : {"reranker-a1", "reranker-b1"})
        cluster.endpoints.at(id).control(R"({"fail_percent":30})");
    const std::uint16_t port = cluster.vms.at("vm-a1").caller_port;
    std::size_t refused = 0;
    for (int i = 0; i < 60; ++i)
    {
        const std::string error = call_pipeline(port, std::to_string(i));
        refused += error.find("retry_budget_exhausted") == std::string::npos ? 0 : 1;
    }
    cr_assert_eq(refused, 0);
}
