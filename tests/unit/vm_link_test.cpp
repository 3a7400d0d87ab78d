// Connections between VMs: when they count as lost.
#include "transport/vm_link.h"

#include "raw_socket.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>

using namespace zinnianotch;

namespace
{

constexpr milliseconds tick_time{20};
constexpr milliseconds often{100};
constexpr milliseconds several_timeouts{3500};

// A VM that accepts links and one that makes one, both on one event loop.
struct linked_vms
{
    boost::asio::io_context io;
    std::vector<std::shared_ptr<vm_channel>> accepted;
    std::size_t opened = 0;
    std::size_t received_by_connecting = 0;
    std::size_t received_by_accepting = 0;
    std::vector<link_history> ends_at_connecting;
    std::vector<link_history> ends_at_accepting;
    vm_listener listener{io, "127.0.0.1", 0,
                         [this](const std::shared_ptr<vm_channel>&, vm_message&&)
                         { ++received_by_accepting; },
                         [this](const std::shared_ptr<vm_channel>&, const link_history& history)
                         { ends_at_accepting.push_back(history); }};
    std::unique_ptr<vm_link> link;

    linked_vms()
    {
        listener.on_accepted = [this](const std::shared_ptr<vm_channel>& channel)
        { accepted.push_back(channel); };
    }

    void connect()
    {
        link = std::make_unique<vm_link>(
            io,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                           listener.port()),
            [this](vm_message&&) { ++received_by_connecting; }, [this] { ++opened; },
            [this](const link_history& history) { ends_at_connecting.push_back(history); });
    }

    // Runs both VMs, and calls `send` every `often`.
    void run_for(milliseconds time, const std::function<void()>& send = nullptr)
    {
        const time_point end = steady_clock::now() + time;
        time_point next_send = steady_clock::now();
        for (time_point now = steady_clock::now(); now < end; now = steady_clock::now())
        {
            if (send && now >= next_send)
            {
                next_send = now + often;
                send();
            }
            if (link)
                link->tick(now);
            listener.tick(now);
            io.restart();
            io.run_for(tick_time);
        }
    }
};

} // namespace

// Guards against a link that ends because only the VM that accepted it has something to say.
Test(vm_link, accepting_vm_alone_sends_often_link_stays_open)
{
    linked_vms vms;
    vms.connect();
    vms.run_for(several_timeouts, [&] { vms.listener.broadcast(leaving_message{}); });
    cr_assert(vms.opened == 1 && vms.link->is_up());
    cr_assert(vms.ends_at_connecting.empty() && vms.ends_at_accepting.empty());
    cr_assert(vms.received_by_connecting > 20);
}

// Guards against the same in the other direction.
Test(vm_link, connecting_vm_alone_sends_often_link_stays_open)
{
    linked_vms vms;
    vms.connect();
    vms.run_for(several_timeouts, [&] { vms.link->send(leaving_message{}); });
    cr_assert(vms.opened == 1 && vms.link->is_up());
    cr_assert(vms.ends_at_connecting.empty() && vms.ends_at_accepting.empty());
    cr_assert(vms.received_by_accepting > 20);
}

// Guards against a link that ends because neither VM has something to say.
Test(vm_link, neither_vm_sends_link_stays_open)
{
    linked_vms vms;
    vms.connect();
    vms.run_for(several_timeouts);
    cr_assert(vms.opened == 1 && vms.link->is_up());
    cr_assert(vms.ends_at_connecting.empty() && vms.ends_at_accepting.empty());
}

// Guards against a VM that goes on sending to one that no longer sends anything.
Test(vm_link, peer_falls_silent_link_ends_as_idle)
{
    linked_vms vms;
    const test::raw_socket silent = test::raw_socket::connect_to(vms.listener.port());
    cr_assert(silent.valid());
    vms.run_for(link_idle_timeout * 2, [&] { vms.listener.broadcast(leaving_message{}); });
    cr_assert(vms.accepted.size() == 1 && !vms.accepted.front()->is_open());
    cr_assert(vms.ends_at_accepting.size() == 1);
    cr_assert(vms.ends_at_accepting.front().end == link_end::idle);
    cr_assert(vms.ends_at_accepting.front().lived >= link_idle_timeout);
}
