#include "policy/zone_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <optional>

namespace quincefall {
namespace {

constexpr double bytesPerMegabyte = 1e6;
// Together with its half-life this makes a steady count the uses within 40 s, for which an unused
// prefix counts as cached.
constexpr double useHalfLifeMs = 40'000 * std::numbers::ln2;
// Until prefixes of a size have been seen. With some ten hosts in a domain, narrow scopes cost most
// at about this number.
constexpr double unknownUses = 0.04;
constexpr double typicalSmoothing = 0.02; // Weight of one prompt.
constexpr std::size_t maxRecentPrefixes = 8'192; // About 300 kB.
constexpr double minCountKept = 0.1;
// Part of a request's objective that it may wait longer at home to keep the share steady.
constexpr double maxDampingShare = 0.25;
// Requests are spread over domains that cost up to this much more than the cheapest one: little for
// the callers, while all hosts that see the same old hints would choose the cheapest.
constexpr double maxSpreadFactor = 1.5;
// Weight of a domain without an idle upstream, which still takes work when it queues less.
constexpr double minRoom = 0.25;

struct draw_input
{
    std::uint64_t key;
    std::uint64_t seed;
};

/// Uniform in (0, 1).
double drawOf(const draw_input &input)
{
    constexpr double steps = 9007199254740992.0; // 2^53
    const std::uint64_t hash = XXH64(&input.key, sizeof input.key, input.seed);
    return (double(hash >> 11U) + 0.5) / steps;
}

double decayedCount(const prefix_uses::use &use, instant now)
{
    if (use.at == instant::min())
        return 0;
    return use.count * std::exp2(-toMilliseconds(now - use.at) / useHalfLifeMs);
}

std::size_t sizeClass(double tokens)
{
    const double level = std::log2(std::max(1.0, tokens));
    return std::min(prefix_uses{}.typical.size() - 1, std::size_t(level));
}

double awayCost(const zone_offer &offer)
{
    return offer.costMs + offer.transferMs;
}

bool isAway(const zone_offer &offer)
{
    return offer.distance != zone_distance::home;
}

/// The link's bound holds as long as another region is not the only one with upstreams.
bool isOpen(const zone_offer &offer, const zone_view &view)
{
    return offer.distance != zone_distance::far || view.hasLinkRoom;
}

/// Added to home's queue where the share is computed from it. Between two hints a queue grows by
/// about their age times the excess; a share that rises faster than that would swing.
double dampingMs(const zone_view &view)
{
    if (view.objectiveMs <= 0)
        return view.hintAgeMs;
    return std::min(view.hintAgeMs, view.objectiveMs * maxDampingShare);
}

/// The cheapest of the other domains.
std::optional<std::size_t> cheapestAway(std::span<const zone_offer> offers, const zone_view &view,
                                        bool keepsLinkBound)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < offers.size(); ++index) {
        if (!isAway(offers[index]) || (keepsLinkBound && !isOpen(offers[index], view)))
            continue;
        if (!best || awayCost(offers[index]) < awayCost(offers[*best]))
            best = index;
    }
    return best;
}

double spreadLimitMs(const zone_offer &cheapest)
{
    constexpr double minRangeMs = 1; // Offers that cost nothing are spread as well.
    return awayCost(cheapest) * maxSpreadFactor + minRangeMs;
}

/// Weighted rendezvous hashing: each domain gets a part of the keys by its gain and its room, and a
/// key changes its domain only if weights change.
std::size_t spreadAway(std::span<const zone_offer> offers, const zone_view &view, double limitMs,
                       std::uint64_t key)
{
    std::size_t chosen = 0;
    double bestScore = -1;
    for (std::size_t index = 0; index < offers.size(); ++index) {
        const zone_offer &offer = offers[index];
        const double gain = limitMs - awayCost(offer);
        if (!isAway(offer) || !isOpen(offer, view) || gain <= 0)
            continue;
        const std::uint64_t seed = XXH64(offer.failureDomain.data(), offer.failureDomain.size(), 0);
        const double score = gain * std::max(minRoom, offer.room) / -std::log(drawOf({key, seed}));
        if (score > bestScore) {
            bestScore = score;
            chosen = index;
        }
    }
    return chosen;
}

} // namespace

std::string_view toString(zone_distance distance)
{
    switch (distance) {
    case zone_distance::home:
        return "home";
    case zone_distance::region:
        return "region";
    case zone_distance::far:
        break;
    }
    return "far";
}

double transferCostMs(const transfer_terms &terms, zone_distance distance, double bytes)
{
    switch (distance) {
    case zone_distance::home:
        return 0;
    case zone_distance::region:
        return terms.domainMsPerMb * bytes / bytesPerMegabyte;
    case zone_distance::far:
        break;
    }
    return terms.regionMsPerMb * bytes / bytesPerMegabyte;
}

zone_decision chooseZone(std::span<const zone_offer> offers, const zone_view &view,
                         std::uint64_t prefix)
{
    const std::uint64_t key = prefix ? prefix : view.request;
    const auto home = std::find_if(offers.begin(), offers.end(),
                                   [](const zone_offer &offer) { return !isAway(offer); });
    if (home == offers.end()) {
        auto away = cheapestAway(offers, view, true);
        if (!away)
            return {cheapestAway(offers, view, false).value_or(0), 1, "none"};
        return {spreadAway(offers, view, spreadLimitMs(offers[*away]), key), 1, "none"};
    }
    const zone_decision stay{std::size_t(home - offers.begin()), 0, "stays"};
    const auto away = cheapestAway(offers, view, true);
    if (!away || home->costMs <= awayCost(offers[*away]))
        return stay;
    const double excessMs = home->costMs - awayCost(offers[*away]);
    if (excessMs >= home->delayMs)
        return {*away, 1, "cache"};
    const double share = view.isRefusedAtHome ? 1 : excessMs / (home->delayMs + dampingMs(view));
    if (drawOf({view.request, 1}) >= share)
        return {stay.offer, share, "stays"};
    const double limitMs = std::min(home->costMs, spreadLimitMs(offers[*away]));
    return {spreadAway(offers, view, limitMs, key), share, "queue"};
}

void recordPrefixUse(prefix_uses &uses, std::uint64_t prefix, double tokens, instant now)
{
    if (uses.recent.size() >= maxRecentPrefixes)
        std::erase_if(uses.recent, [now](const auto &row) {
            return decayedCount(row.second, now) < minCountKept;
        });
    if (uses.recent.size() >= maxRecentPrefixes)
        uses.recent.clear();
    prefix_uses::use &use = uses.recent[prefix];
    const double earlier = decayedCount(use, now);
    double &typical = uses.typical[sizeClass(tokens)];
    typical = typical > 0 ? typical + typicalSmoothing * (earlier - typical) : unknownUses;
    use = {earlier + 1, now};
}

double expectedPrefixUses(const prefix_uses &uses, std::uint64_t prefix, double tokens, instant now)
{
    const auto found = uses.recent.find(prefix);
    // The request itself has been recorded.
    const double own
        = found == uses.recent.end() ? 0 : std::max(0.0, decayedCount(found->second, now) - 1);
    const double typical = uses.typical[sizeClass(tokens)];
    return std::max(own, typical > 0 ? typical : unknownUses);
}

prefix_scope choosePrefixScope(const scope_input &input)
{
    // Of the requests that use a prefix while it is cached, one prefills it.
    const auto prefillCost = [&input](double domains) {
        return input.prefillMs / (1 + input.usesPerDomain * domains);
    };
    const double withinRegion = (1 - 1 / input.domains) * input.domainTransferMs;
    const double domainCost = prefillCost(1);
    const double regionCost = prefillCost(input.domains) + withinRegion;
    const double fleetCost = prefillCost(input.domains * input.regions)
        + withinRegion / input.regions + (1 - 1 / input.regions) * input.regionTransferMs;
    if (domainCost <= std::min(regionCost, fleetCost))
        return prefix_scope::domain;
    return regionCost <= fleetCost ? prefix_scope::region : prefix_scope::fleet;
}

} // namespace quincefall
