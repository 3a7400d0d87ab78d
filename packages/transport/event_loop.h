// Runs the event loop of a process.
#pragma once

#include "state/time.h"

#include <boost/asio/io_context.hpp>

namespace zinnianotch
{

// Runs until the io_context is stopped or out of work. An unexpected exception is logged and ends
// only the callback that threw it, hence one request or call rather than the process.
void run_event_loop(boost::asio::io_context& io);

// Time since boot, which includes suspension of the machine; 0 if the system does not tell.
milliseconds boot_time();

} // namespace zinnianotch
