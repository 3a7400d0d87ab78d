// Engines are replaced one after the other; each ends its last stream with its channel and exits.
// The VM takes the complete streams for broken ones and resets the clients. See claim.txt.
#include "../kit/kit.hpp"

#include <random>

using namespace kit;

namespace
{

constexpr int engines_at_first = 11;
constexpr int replaced = 5;   // share 0.45
constexpr long gap_ms = 1000; // one at a time
constexpr long drain_ms = 2000;
constexpr int events = 20;
constexpr long event_ms = 200;
constexpr int clients = 150;
constexpr int lost_allowed = 3;

store platform;
std::mutex complete_mutex;
std::set<std::string> complete; // attempts whose engine has sent the whole answer
std::atomic<int> lost{0};
std::atomic<int> served{0};
std::atomic<int> others{0};
std::atomic<bool> stopping{false};

class engine
{
public:
    engine(std::string id, std::string zone) : id_(std::move(id)), zone_(std::move(zone))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 512) != 0)
            std::exit(2);
        socklen_t size = sizeof at;
        (void)::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        std::thread([this] { accept(); }).detach();
        enter("ready");
        record.line("engine %s starts", id_.c_str());
    }
    // Serves on for drain_ms and until no request is in hand, then exits.
    void drain()
    {
        record.line("engine %s drains", id_.c_str());
        enter("draining");
        std::thread(
            [this]
            {
                sleep_ms(drain_ms);
                std::lock_guard lock(mutex_);
                leaving_ = true;
                if (in_hand_ == 0)
                    exit_now();
            })
            .detach();
    }

private:
    void enter(const std::string& state)
    {
        platform.put(
            "servers", id_,
            "{\"service\":\"zinnia-pool\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
                "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" +
                state + "\",\"cold_ms\":0,\"sequence\":1,\"born\":" + std::to_string(born_) + "}");
    }
    void accept()
    {
        for (;;)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [this, fd]
                {
                    const auto from = std::make_shared<channel>(fd);
                    while (const auto call = from->read(600'000))
                    {
                        if (!serve(from, *call))
                            break;
                    }
                    from->close();
                })
                .detach();
        }
    }
    bool serve(const channel_ptr& from, const message& call)
    {
        const std::string attempt = call.field("attempt-id");
        if (call.field("expect-instance") != id_)
            return from->send(
                answer(421, "", "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n"));
        {
            std::lock_guard lock(mutex_);
            ++in_hand_;
        }
        sleep_ms(100);
        // No length: the end of the channel ends the answer.
        bool sent = from->send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt +
            "\r\nResponse-Seal: s." + attempt + "\r\nConnection: close\r\n\r\n");
        for (int i = 1; sent && i <= events; ++i)
        {
            sleep_ms(event_ms);
            sent = from->send("id: " + std::to_string(i) + "\ndata: x\n\n");
        }
        if (sent)
        {
            std::lock_guard lock(complete_mutex);
            complete.insert(attempt);
        }
        std::lock_guard lock(mutex_);
        const bool is_last = --in_hand_ == 0 && leaving_;
        record.line("engine %s has sent the whole answer to %s%s", id_.c_str(), attempt.c_str(),
                    is_last ? ", its last one" : "");
        if (is_last)
            exit_now(); // the end of a process closes its sockets, this channel among them
        return false;
    }
    void exit_now()
    {
        (void)::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        record.line("engine %s exits", id_.c_str());
        std::thread([this] { platform.remove("servers", id_); }).detach();
    }

    std::string id_;
    std::string zone_;
    long born_ = 1'700'000'000'000 + now_ms();
    std::mutex mutex_;
    int in_hand_ = 0;
    bool leaving_ = false;
    int fd_ = -1;
    int port_ = 0;
};

// A client that keeps its channel for many requests.
void ask_again_and_again(int port, unsigned seed)
{
    std::mt19937 random(seed);
    channel_ptr to;
    int on_channel = 0;
    sleep_ms(static_cast<long>(random() % 3000));
    while (!stopping)
    {
        if (!to)
        {
            to = channel::connect(port);
            on_channel = 0;
            continue;
        }
        const std::string attempt = hex_id();
        const bool sent =
            to->send("POST /kit/advice HTTP/1.1\r\nHost: pule25.example\r\nAttempt-Id: " + attempt +
                     "\r\nModel: m\r\nToken-Count: 740,30\r\nPrompt-Prefix: 5c1e" +
                     std::to_string(1000 + random() % 150) + ":200," + attempt +
                     ":540\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
        const auto got = sent ? to->read(7000, true) : std::nullopt;
        if (got)
        {
            ++(got->status() == 200 ? served : others);
            ++on_channel;
            sleep_ms(static_cast<long>(random() % 1000));
            continue;
        }
        bool whole = false;
        {
            std::lock_guard lock(complete_mutex);
            whole = complete.contains(attempt);
        }
        if (sent && on_channel > 0 && whole)
        {
            ++lost;
            record.line("LOST: %s was answered whole by its engine, its kept channel ends without "
                        "the end of the answer",
                        attempt.c_str());
        }
        else
            ++others;
        to = nullptr;
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    const std::string root = argv[1];
    const std::string folder = argv[2];
    record.open(argv[3]);
    const std::vector<std::string> zones = {"ne-a", "ne-b", "ne-c"};
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engines_at_first; ++i)
        engines.push_back(std::make_unique<engine>("i-old-" + std::to_string(i), zones[i % 3]));
    platform.put(
        "op", "config",
        R"({"version":7,"routes":[{"name":"kit","host":"pule25.example","prefix":"/kit/",)"
        R"("kind":"streaming","timeout_ms":6000,"slo_ms":1800,"priority":0,"service":"zinnia-pool",)"
        R"("attempts":1,"stages":[],"allow_anonymous":false,"sticky":true,"resumable":false,)"
        R"("gap_slo_ms":300}],)"
        R"("services":[{"name":"zinnia-pool","health_path":"/health","max_conns":370,"warmup_s":0.0,)"
        R"("cold_per_s":0.0,"engine":{"slots":64,"kv_tokens":475968}}],)"
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
    for (int i = 0; i < 3; ++i)
    {
        vms.push_back(std::make_unique<vm>(root, folder, "front-" + zones[i] + "-1", zones[i],
                                           platform.add_address(), seeds, peers[i], vm::bounds{}));
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
            return true;
        },
        10'000);
    if (!ready)
        finish(2, vms);
    sleep_ms(4000);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < clients; ++i)
        threads.emplace_back(ask_again_and_again, vms[i % vms.size()]->port(), i + 1);
    sleep_ms(6000);
    for (int i = 0; i < replaced && trouble(); ++i)
    {
        engines.push_back(std::make_unique<engine>("i-new-" + std::to_string(i), zones[i % 3]));
        sleep_ms(gap_ms / 2);
        engines[static_cast<std::size_t>(i)]->drain();
        sleep_ms(gap_ms / 2);
    }
    sleep_ms(9000);
    stopping = true;
    for (std::thread& each : threads)
        each.join();
    char text[200];
    std::snprintf(text, sizeof text, "served %d, LOST %d, other ends %d", served.load(),
                  lost.load(), others.load());
    record.line("%s", text);
    std::printf("%s\n", text);
    if (served < 100)
        finish(2, vms);
    finish(lost > lost_allowed ? 1 : 0, vms);
}
