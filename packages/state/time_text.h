// Texts of times for operators.
#pragma once

#include "state/time.h"

#include <string>

namespace zinnianotch
{

// Such as "250 ms".
inline std::string ms_text(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

} // namespace zinnianotch
