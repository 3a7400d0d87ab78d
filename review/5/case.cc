// A request crashes each engine as soon as it begins to run it. It is sent on channels that the VMs
// keep, so its crashes are not counted, and it is sent to engines without end. See claim.txt.
#include "../kit/kit.hpp"

#include <random>

using namespace kit;

namespace
{

constexpr long contact_ms = 3000;
constexpr int crashes_before_bound = 3;
constexpr int arrivals_allowed = 3;
constexpr long down_ms = 2500; // "back after some seconds"
constexpr long check_in_ms = 1200;
constexpr long traffic_ms = 40'000;
constexpr const char* crashing_target = "/status/9";

long crash_delay_ms = 5; // from the moment at which an engine begins to run the request

store platform;
std::mutex seen_mutex;
std::vector<long> crashes;  // times
std::vector<long> arrivals; // of the crashing request
std::atomic<int> served{0};
std::atomic<int> failed{0};
std::atomic<int> refused{0};
std::atomic<int> orders_lost{0};

// An engine that crashes, and is back under a new id.
class engine
{
public:
    engine(std::string name, std::string zone) : name_(std::move(name)), zone_(std::move(zone))
    {
        begin();
    }

private:
    std::string id_of(int lifetime) const { return name_ + "-" + std::to_string(lifetime); }
    void begin()
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        (void)::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = 0; // an address of its own for each lifetime
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 512) != 0)
            std::exit(2);
        socklen_t size = sizeof at;
        (void)::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        const int lifetime = ++lifetime_;
        is_up_ = true;
        std::thread([this, lifetime, fd = fd_] { accept(lifetime, fd); }).detach();
        platform.put("servers", id_of(lifetime),
                     "{\"service\":\"studio-orders\",\"address\":\"127.0.0.1:" +
                         std::to_string(port_) + "\",\"zone\":\"" + zone_ +
                         "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_ms\":0,"
                         "\"sequence\":1,\"born\":" +
                         std::to_string(1'700'000'000'000 + now_ms()) + "}");
        record.line("engine %s starts", id_of(lifetime).c_str());
    }
    void accept(int lifetime, int listening)
    {
        for (;;)
        {
            const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard lock(mutex_);
                if (lifetime != lifetime_ || !is_up_)
                {
                    ::close(fd);
                    continue;
                }
                open_.insert(fd);
            }
            std::thread(
                [this, lifetime, fd]
                {
                    const auto from = std::make_shared<channel>(fd);
                    while (const auto call = from->read(3'600'000))
                    {
                        if (!serve(lifetime, from, *call))
                            break;
                    }
                    std::lock_guard lock(mutex_);
                    open_.erase(fd);
                    from->close();
                })
                .detach();
        }
    }
    bool is_alive(int lifetime)
    {
        std::lock_guard lock(mutex_);
        return is_up_ && lifetime == lifetime_;
    }
    bool work(int lifetime, long ms)
    {
        for (const long end = now_ms() + ms; now_ms() < end; sleep_ms(1))
        {
            if (!is_alive(lifetime))
                return false;
        }
        return is_alive(lifetime);
    }
    bool serve(int lifetime, const channel_ptr& from, const message& call)
    {
        const std::string attempt = call.field("attempt-id");
        if (call.field("expect-instance") != id_of(lifetime))
            return from->send(
                answer(421, "", "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n"));
        const bool crashing = call.target() == crashing_target;
        if (crashing)
        {
            std::lock_guard lock(seen_mutex);
            arrivals.push_back(now_ms());
            record.line("engine %s runs %s, the crashing request", id_of(lifetime).c_str(),
                        attempt.c_str());
        }
        if (!work(lifetime, crashing && trouble() ? crash_delay_ms : 60))
            return false;
        if (crashing && trouble())
        {
            crash(lifetime);
            return false;
        }
        return from->send(
            answer(200, std::string(300, 'a'),
                   "Attempt-Id: " + attempt + "\r\nResponse-Seal: s." + attempt + "\r\n"));
    }
    // Resets all channels and refuses new ones; the entry lapses after three check-ins.
    void crash(int lifetime)
    {
        {
            std::lock_guard lock(mutex_);
            if (!is_up_ || lifetime != lifetime_)
                return;
            is_up_ = false;
            const linger hard{1, 0};
            for (const int fd : open_)
            {
                (void)::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                (void)::shutdown(fd, SHUT_RD); // its thread closes it
            }
            (void)::shutdown(fd_, SHUT_RDWR);
            ::close(fd_);
        }
        {
            std::lock_guard lock(seen_mutex);
            crashes.push_back(now_ms());
            record.line("engine %s crashes, %zu crashes so far", id_of(lifetime).c_str(),
                        crashes.size());
        }
        std::thread(
            [this, lifetime]
            {
                sleep_ms(down_ms);
                begin();
                sleep_ms(3 * check_in_ms - down_ms);
                platform.remove("servers", id_of(lifetime));
            })
            .detach();
    }

    std::string name_;
    std::string zone_;
    std::mutex mutex_;
    std::set<int> open_;
    int fd_ = -1;
    int port_ = 0;
    int lifetime_ = 0;
    bool is_up_ = false;
};

void send_request(int port, const std::string& method, const std::string& target)
{
    const std::string attempt = hex_id();
    const auto to = channel::connect(port);
    const std::string body = method == "POST" ? attempt : "";
    if (!to || !to->send(method + " " + target +
                         " HTTP/1.1\r\nHost: lowu48.example\r\nAttempt-Id: " + attempt +
                         "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body))
        return;
    const auto got = to->read(5000, true);
    const int status = got ? got->status() : 0;
    record.line("client gets %d for %s %s", status, target.c_str(), attempt.c_str());
    if (target == crashing_target)
        return;
    ++(status == 200 ? served : status == 503 ? refused : failed);
    if (status != 200 && status != 503 && method == "POST")
        ++orders_lost;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    const std::string root = argv[1];
    const std::string folder = argv[2];
    record.open(argv[3]);
    if (const char* delay = std::getenv("CRASH_DELAY_MS"))
        crash_delay_ms = std::atol(delay);
    const std::vector<std::string> zones = {"arusha-a", "moshi-b", "arusha-c"};
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 3; ++i)
        engines.push_back(std::make_unique<engine>("i-orders-" + std::to_string(i), zones[i]));
    platform.put(
        "op", "config",
        R"({"version":7,"routes":[{"name":"status","host":"lowu48.example","prefix":"/status/",)"
        R"("kind":"idempotent","timeout_ms":2000,"slo_ms":300,"priority":2,)"
        R"("service":"studio-orders","attempts":2,"stages":[],"allow_anonymous":false},)"
        R"({"name":"order","host":"lowu48.example","prefix":"/order/","kind":"non_idempotent",)"
        R"("timeout_ms":2000,"slo_ms":300,"priority":2,"service":"studio-orders","attempts":1,)"
        R"("stages":[],"allow_anonymous":false}],)"
        R"("services":[{"name":"studio-orders","health_path":"/health","max_conns":48,)"
        R"("warmup_s":0.0,"cold_per_s":0.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})");
    std::vector<std::unique_ptr<vm>> vms;
    std::vector<int> peers;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i)
    {
        peers.push_back(free_port());
        seeds.push_back("127.0.0.1:" + std::to_string(peers.back()));
    }
    vm::bounds bounds;
    bounds.retry_slack = 52;
    for (int i = 0; i < 3; ++i)
    {
        vms.push_back(std::make_unique<vm>(root, folder, "front-" + zones[i] + "-1", zones[i],
                                           platform.add_address(), seeds, peers[i], bounds));
        vms.back()->start();
    }
    const bool ready = wait_until(
        [&]
        {
            for (const auto& each : vms)
            {
                if (!each->is_ready())
                    return false;
            }
            return platform.count("vms") == vms.size();
        },
        10'000);
    if (!ready)
        finish(2, vms);
    sleep_ms(4000);
    // Sound traffic comes in clumps of four at each VM, 40 requests a second in all. The crashing
    // request comes each four seconds, at any VM.
    const long end = now_ms() + traffic_ms;
    std::thread crashing(
        [&]
        {
            std::mt19937 random(std::random_device{}());
            sleep_ms(3000);
            for (; now_ms() < end; sleep_ms(3500 + static_cast<long>(random() % 1000)))
                std::thread(send_request, vms[random() % vms.size()]->port(), "GET",
                            crashing_target)
                    .detach();
        });
    for (int i = 0; now_ms() < end; ++i)
    {
        const int port = vms[static_cast<std::size_t>(i) % vms.size()]->port();
        for (int n = 0; n < 4; ++n)
        {
            const std::string name = std::to_string(4 * i + n);
            if (n % 2 == 0)
                std::thread(send_request, port, "POST", "/order/" + name).detach();
            else
                std::thread(send_request, port, "GET", "/status/x" + name).detach();
        }
        sleep_ms(100);
    }
    crashing.join();
    sleep_ms(4500);
    std::lock_guard lock(seen_mutex);
    int late = 0;
    if (crashes.size() >= crashes_before_bound)
    {
        const long bound = crashes[crashes_before_bound - 1] + contact_ms;
        for (const long at : arrivals)
            late += at > bound ? 1 : 0;
    }
    char text[300];
    std::snprintf(
        text, sizeof text,
        "the crashing request ran %zu times, engines crashed %zu times; it reached engines "
        "%d times later than %ld ms after the third crash; others: served %d, refused %d, "
        "failed %d, of these orders %d",
        arrivals.size(), crashes.size(), late, contact_ms, served.load(), refused.load(),
        failed.load(), orders_lost.load());
    record.line("%s", text);
    std::printf("%s\n", text);
    if (served < 100)
        finish(2, vms);
    finish(late > arrivals_allowed ? 1 : 0, vms);
}
