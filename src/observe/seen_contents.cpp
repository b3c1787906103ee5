#include "observe/seen_contents.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace quincefall {
namespace {

constexpr std::size_t maxContents = 4'096;

} // namespace

bool recordContent(seen_contents &seen, std::string_view key, std::string_view content)
{
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    const std::uint64_t hash = XXH64(content.data(), content.size(), seed);
    if (!seen.hashes.insert(hash).second)
        return false;
    seen.order.push_back(hash);
    if (seen.order.size() > maxContents) {
        seen.hashes.erase(seen.order.front());
        seen.order.pop_front();
    }
    return true;
}

std::string toPrintable(std::string_view text)
{
    std::string printable;
    for (const char letter : text) {
        if (letter > ' ' && letter < 127 && letter != '\\') {
            printable += letter;
            continue;
        }
        std::array<char, 5> code{};
        std::snprintf(code.data(), code.size(), "\\x%02x", unsigned(std::uint8_t(letter)));
        printable += code.data();
    }
    return printable;
}

} // namespace quincefall
