#include "transport/request_digest.h"

#include "state/crashing_requests.h"

#include <criterion/criterion.h>

using namespace zinnianotch;

// Guards against VMs or versions that know one request by different digests.
Test(request_digest, known_bytes_first_half_of_sha_256)
{
    // printf '3:abc' | sha256sum
    cr_assert(request_digest({"abc"}) == "aab5f9ae99b2e38fb462025c8f72f570");
    cr_assert(request_digest({"abc"}).size() == request_digest_size);
}

// Guards against requests with the same bytes in other fields that count as one.
Test(request_digest, bytes_in_other_fields_other_digest)
{
    cr_assert(request_digest({"GET", "/a", "b"}) != request_digest({"GET", "/ab", ""}));
    cr_assert(request_digest({"a", ""}) != request_digest({"a"}));
    const std::string large(4'000'000, 'x');
    cr_assert(request_digest({large}) != request_digest({large + "x"}));
}
