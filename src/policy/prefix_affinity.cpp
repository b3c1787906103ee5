#include "policy/prefix_affinity.h"

namespace quincefall {
namespace {

constexpr std::size_t maxPrefixesPerUpstream = 4096;

void removeHint(prefix_hints &hints, std::string_view upstream, std::uint64_t prefixHash)
{
    if (const auto own = hints.prefixes.find(upstream); own != hints.prefixes.end())
        own->second.erase(prefixHash);
    const auto holders = hints.holders.find(prefixHash);
    if (holders == hints.holders.end())
        return;
    if (const auto holder = holders->second.find(upstream); holder != holders->second.end())
        holders->second.erase(holder);
    if (holders->second.empty())
        hints.holders.erase(holders);
}

} // namespace

void recordPrefix(prefix_hints &hints, std::string_view upstream, std::uint64_t prefixHash)
{
    if (prefixHash == 0)
        return;
    auto &own = hints.prefixes[std::string(upstream)];
    if (own.size() >= maxPrefixesPerUpstream && !own.contains(prefixHash))
        removeHint(hints, upstream, *own.begin());
    own.insert(prefixHash);
    hints.holders[prefixHash].emplace(upstream);
}

void dropHints(prefix_hints &hints, std::string_view upstream)
{
    const auto own = hints.prefixes.find(upstream);
    if (own == hints.prefixes.end())
        return;
    const std::set<std::uint64_t> dropped = own->second;
    for (const std::uint64_t prefixHash : dropped)
        removeHint(hints, upstream, prefixHash);
}

void applyCacheEvent(prefix_hints &hints, const cache_event &event)
{
    const auto [next, isNew] = hints.nextSequence.try_emplace(event.upstream, event.sequence);
    if (event.sequence < next->second)
        return;
    if (event.sequence > next->second)
        dropHints(hints, event.upstream);
    next->second = event.sequence + 1;
    if (event.stored)
        recordPrefix(hints, event.upstream, event.prefixHash);
    else
        removeHint(hints, event.upstream, event.prefixHash);
}

const std::set<std::string, std::less<>> *holdersOf(const prefix_hints &hints,
                                                    std::uint64_t prefixHash)
{
    const auto found = hints.holders.find(prefixHash);
    return found == hints.holders.end() ? nullptr : &found->second;
}

} // namespace quincefall
