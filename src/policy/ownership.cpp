#include "policy/ownership.h"

#include <xxhash.h>

namespace quincefall {

std::string_view rendezvousOwner(std::string_view key, std::span<const std::string> hosts)
{
    std::string_view owner;
    XXH64_hash_t highest = 0;
    const XXH64_hash_t seed = XXH64(key.data(), key.size(), 0);
    for (const std::string &host : hosts) {
        const XXH64_hash_t weight = XXH64(host.data(), host.size(), seed);
        if (owner.empty() || weight > highest || (weight == highest && host < owner)) {
            owner = host;
            highest = weight;
        }
    }
    return owner;
}

} // namespace quincefall
