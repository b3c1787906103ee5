#include "clients/compression.h"

#include <zstd.h>

#include <cassert>

namespace quincefall {
namespace {

constexpr int level = 1; // Hosts have a tenth of a core, and higher levels gain little on JSON.

} // namespace

std::string compress(std::string_view text)
{
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size
        = ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), level);
    assert(ZSTD_isError(size) == 0);
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

result<std::string> decompress(std::string_view bytes, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return makeError(result_code::messageInvalid,
                         std::to_string(bytes.size()) + " bytes are no compressed text");
    if (size > maxBytes)
        return makeError(result_code::messageInvalid,
                         "compressed text of " + std::to_string(size) + " bytes is larger than "
                             + std::to_string(maxBytes));
    std::string text(std::size_t(size), '\0');
    const std::size_t read = ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(read) != 0 || read != text.size())
        return makeError(result_code::messageInvalid,
                         "compressed text of " + std::to_string(size)
                             + " bytes ends early or is damaged");
    return text;
}

} // namespace quincefall
