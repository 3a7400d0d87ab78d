// Clock types. Decisions take the present time as an argument and never read a clock.
#pragma once

#include <chrono>

namespace zinnianotch
{

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

} // namespace zinnianotch
