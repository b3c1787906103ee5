#pragma once

#include "kernel/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace quincefall {

/// Name of the format in HTTP's Accept-Encoding and Content-Encoding.
inline constexpr std::string_view compressionName = "zstd";

/// Compresses @p text. Never fails; the result may be larger than the text.
std::string compress(std::string_view text);

/// Reverses compress(). Fails with messageInvalid when @p bytes are not a whole compressed text or
/// when the text is larger than @p maxBytes.
result<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace quincefall
