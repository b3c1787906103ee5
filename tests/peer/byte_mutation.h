#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>

namespace quincefall::testing {

using random_source = std::mt19937_64;

/// A number from 0 to @p last.
inline std::size_t pick(random_source &random, std::size_t last)
{
    return std::uniform_int_distribution<std::size_t>(0, last)(random);
}

inline std::string randomBytes(random_source &random, std::size_t size)
{
    std::string bytes(size, '\0');
    std::generate(bytes.begin(), bytes.end(),
                  [&random] { return static_cast<char>(pick(random, 255)); });
    return bytes;
}

/// @p bytes with up to eight changes: bytes replaced, removed, inserted or repeated.
inline std::string mutate(random_source &random, std::string bytes)
{
    const std::size_t changes = 1 + pick(random, 7);
    for (std::size_t change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t place = pick(random, bytes.size() - 1);
        const std::size_t count = std::min(bytes.size() - place, 1 + pick(random, 15));
        switch (pick(random, 4)) {
        case 0:
            bytes[place] = static_cast<char>(pick(random, 255));
            break;
        case 1:
            bytes[place] = static_cast<char>(bytes[place] ^ (1 << pick(random, 7)));
            break;
        case 2:
            bytes.erase(place, count);
            break;
        case 3:
            bytes.insert(place, randomBytes(random, count));
            break;
        default:
            bytes.insert(place, bytes.substr(place, count));
            break;
        }
    }
    return bytes;
}

} // namespace quincefall::testing
