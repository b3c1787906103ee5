#include "peer/peer_secret.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace quincefall {
namespace {

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest digestOf(std::string_view text)
{
    digest value{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), value.data());
    return value;
}

} // namespace

std::string bearerField(std::string_view secret)
{
    return "Bearer " + std::string(secret);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    // All digests have the same length, so the time does not reveal the lengths of the texts.
    const digest leftDigest = digestOf(left);
    const digest rightDigest = digestOf(right);
    return CRYPTO_memcmp(leftDigest.data(), rightDigest.data(), leftDigest.size()) == 0;
}

} // namespace quincefall
