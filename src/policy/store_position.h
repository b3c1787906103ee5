#pragma once

#include <compare>
#include <cstdint>

namespace quincefall {

/// Place in one of the store's logs. Offsets of different epochs can't be compared.
struct store_position
{
    /// Rises each time the store has come back from an older copy of itself, in which records are
    /// missing and offsets are given out again; 0 if the store does not tell it.
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const store_position &) const = default;
};

} // namespace quincefall
