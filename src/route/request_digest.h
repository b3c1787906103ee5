#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace quincefall {

/// Digest of a request by @p fields in their order: the first 64 bits of a SHA-256, so that no
/// caller can make a request that is taken for another one's.
std::uint64_t digestOf(std::span<const std::string_view> fields);

} // namespace quincefall
