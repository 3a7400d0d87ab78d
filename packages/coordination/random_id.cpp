#include "coordination/random_id.h"

#include <cstdio>
#include <random>

namespace zinnianotch
{

std::uint64_t random_number()
{
    // Seeded once per thread, because each read of the entropy source costs a system call.
    thread_local std::mt19937_64 engine = []
    {
        std::random_device source;
        std::seed_seq seed{source(), source(), source(), source(), source(), source()};
        return std::mt19937_64(seed);
    }();
    std::uint64_t number = 0;
    while (number == 0)
        number = engine();
    return number;
}

std::string random_id()
{
    char text[17];
    (void)std::snprintf(text, sizeof text, "%016llx",
                        static_cast<unsigned long long>(random_number()));
    return text;
}

} // namespace zinnianotch
