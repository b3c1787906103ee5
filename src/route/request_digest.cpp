#include "route/request_digest.h"

#include <openssl/sha.h>

#include <array>
#include <cstring>
#include <string>

namespace quincefall {
namespace {

using sha256_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

sha256_digest sha256(std::string_view text)
{
    sha256_digest value{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), value.data());
    return value;
}

} // namespace

std::uint64_t digestOf(std::span<const std::string_view> fields)
{
    std::string digests;
    for (const std::string_view field : fields) {
        const sha256_digest value = sha256(field);
        digests.append(value.begin(), value.end());
    }
    const sha256_digest whole = sha256(digests);
    std::uint64_t first = 0;
    std::memcpy(&first, whole.data(), sizeof first);
    return first;
}

} // namespace quincefall
