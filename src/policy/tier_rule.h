#pragma once

#include "policy/wait_queue.h"

#include <cstdint>
#include <map>

namespace quincefall {

// The tier rule, exactly. Tier 1 is the highest.
//
// 1. A free place goes to the highest tier with a waiting request that may use the place.
// 2. Nothing that runs is ever preempted.
// 3. A class of a lower tier starts ahead of a waiting higher tier only by a guaranteed start:
//    a. Share: the class runs fewer requests than `guaranteedShare` times the pool's slots
//       (rounded down, at least 1 for a share above 0), and no higher tier is in distress.
//    b. Floor: the class waits, and nothing of it has started for half of its `maxWait`. This is
//       one start per half `maxWait`; it holds also with a share of 0 and in distress.
// 4. A tier is in distress while one of its requests has waited for half of its first-token
//    target, and for five seconds after one of its requests was shed.
// 5. A request is shed when it has waited for `maxWait`, or on arrival when work of its own and
//    higher tiers alone, at the rate at which its own and lower tiers were started lately, will
//    take longer than that. Work waiting in lower tiers never counts. A class's only waiting
//    request is not shed on arrival, so that the floor has something to start.
//
// `higherTierShedForLower` counts every shed request during whose wait a lower tier was started,
// on an upstream that the shed request's tier could have used, other than by rule 3. It must stay
// zero. `higherTierShedForGuarantee` counts the other sheds that a guaranteed start during their
// wait may have caused, at most one for each such start: the price of "every class is eventually
// served", one start per half `maxWait` of each lower class once the tier is in distress.

/// Why a request may start.
enum class start_reason {
    tierOrder, ///< It is first in the order of tiers.
    share, ///< Rule 3a.
    floor, ///< Rule 3b.
};

/// What is remembered of one tier.
struct tier_record
{
    instant lastShed = instant::min();
    instant overtakenOutOfOrder = instant::min(); ///< Last start of a lower tier out of order.
    instant overtakenByGuarantee = instant::min(); ///< Last guaranteed start of a lower tier.
    std::uint32_t uncountedGuaranteedStarts
        = 0; ///< Guaranteed starts that no shed is counted for yet.
};

/// State of the tier rule for one pool.
struct tier_rule
{
    std::map<int, tier_record> tiers;
    std::map<std::string, std::uint32_t, std::less<>> running; ///< Requests by class.
    std::uint64_t shareStarts = 0; ///< Starts by rule 3a ahead of a waiting higher tier.
    std::uint64_t floorStarts = 0; ///< Starts by rule 3b ahead of a waiting higher tier.
    std::uint64_t higherTierShedForLower = 0; ///< Must stay zero.
    std::uint64_t higherTierShedForGuarantee = 0;
};

/// Slots that the class may hold ahead of higher tiers.
std::uint32_t guaranteedSlots(const class_policy &policy, double poolSlots);

/// Whether @p tier is in distress (rule 4).
bool isTierOverloaded(const tier_rule &rule, const wait_queue &queue, int tier, instant now);

/// The guaranteed start that the class may claim now; `tierOrder` when it has none.
start_reason guaranteedStart(const tier_rule &rule, const wait_queue &queue,
                             const class_queue &candidate, double poolSlots, instant now);

/// Records a start by @p reason on a place that waiting requests of the tier @p passed could
/// have used.
void recordOvertaken(tier_rule &rule, int passed, start_reason reason, instant now);

/// Counts a request of @p tier that was shed after waiting since @p arrival.
void recordShed(tier_rule &rule, int tier, instant arrival, instant now);

} // namespace quincefall
