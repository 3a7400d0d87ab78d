// Clock types. The decision logic takes the current time as an argument and never reads a clock.
#pragma once

#include <chrono>

namespace zinnianotch
{

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

} // namespace zinnianotch
