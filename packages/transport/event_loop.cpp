#include "transport/event_loop.h"

#include "transport/log.h"

#include <ctime>
#include <exception>

namespace zinnianotch
{

void run_event_loop(boost::asio::io_context& io)
{
    while (!io.stopped())
    {
        try
        {
            (void)io.run();
        }
        catch (const std::exception& error)
        {
            log_event(log_level::error, "unexpected_error", {{"detail", error.what()}});
        }
    }
}

milliseconds boot_time()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace zinnianotch
