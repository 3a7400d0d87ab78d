// CPU time, memory and TCP traffic of processes, and linear fits.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

// CPU time used by the process so far, user plus system.
double cpu_seconds(pid_t pid);

// Resident memory in bytes.
std::uint64_t resident_bytes(pid_t pid);

// Bytes sent and received so far on the established TCP connections whose local port is `port`,
// from the kernel's counters (ss -ti).
std::uint64_t tcp_bytes(std::uint16_t port);

// Least-squares fit of y = offset + slope * x.
struct line_fit
{
    double slope = 0;
    double offset = 0;
    double r_squared = 0;
};

line_fit fit(const std::vector<double>& x, const std::vector<double>& y);

} // namespace bench
