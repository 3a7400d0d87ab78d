#include "transport/request_digest.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <new>
#include <stdexcept>

namespace zinnianotch
{

namespace
{

constexpr std::size_t digest_bytes = 16;

} // namespace

std::string request_digest(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    if (!context)
        throw std::bad_alloc();
    bool is_valid = EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const std::string_view field : fields)
    {
        // The same bytes on all VMs, whatever their byte order.
        const std::string length = std::to_string(field.size()) + ":";
        is_valid = is_valid && EVP_DigestUpdate(context.get(), length.data(), length.size()) == 1 &&
                   EVP_DigestUpdate(context.get(), field.data(), field.size()) == 1;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    if (!is_valid || EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < digest_bytes; ++i)
    {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xFU];
    }
    return text;
}

} // namespace zinnianotch
