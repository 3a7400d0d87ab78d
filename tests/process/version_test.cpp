// The binaries start.
#include <criterion/criterion.h>

Test(binaries, paths_configured_exist)
{
    cr_assert(ZINNIANOTCHD_PATH[0] == '/');
}
