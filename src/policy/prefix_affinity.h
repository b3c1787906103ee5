#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace quincefall {

/// Which upstreams probably have which prompt prefixes in their cache.
///
/// These are hints: a wrong one costs a prefill but never makes a request fail. A gap in an
/// upstream's cache events drops all hints about it, since one of the lost events may have been an
/// eviction.
struct prefix_hints
{
    std::map<std::uint64_t, std::set<std::string, std::less<>>> holders; ///< By prefix hash.
    std::map<std::string, std::set<std::uint64_t>, std::less<>> prefixes; ///< By upstream.
    std::map<std::string, std::uint64_t, std::less<>> nextSequence; ///< Expected, by upstream.
};

/// One cache event of an upstream.
struct cache_event
{
    std::string upstream;
    std::uint64_t sequence = 0;
    std::uint64_t prefixHash = 0;
    bool stored = true; ///< False for an eviction.
};

/// Applies one event; an event that was applied before is ignored.
void applyCacheEvent(prefix_hints &hints, const cache_event &event);

/// Records that a request with this prefix was started on the upstream.
void recordPrefix(prefix_hints &hints, std::string_view upstream, std::uint64_t prefixHash);

/// Drops all hints about an upstream.
void dropHints(prefix_hints &hints, std::string_view upstream);

/// Upstreams that may hold the prefix, or null.
const std::set<std::string, std::less<>> *holdersOf(const prefix_hints &hints,
                                                    std::uint64_t prefixHash);

} // namespace quincefall
