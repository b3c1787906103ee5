#pragma once

#include "policy/wait_queue.h"

#include <cstdint>
#include <map>

namespace quincefall {

// Specification of the tier rule. Tier 1 is the highest.
//
// 1. A free slot goes to the highest tier with a waiting request that may use the slot.
// 2. A running request is never preempted.
// 3. A class of a lower tier starts ahead of a waiting higher tier only by a guaranteed start:
//    a. Share: the class runs fewer requests than `guaranteedShare` times the pool's slots
//       (rounded down, at least 1 for a share above 0), and no higher tier is overloaded.
//    b. Floor: the class has waiting requests, and none of its requests has started for half of
//       its `maxWait`. This gives one start per half `maxWait`, also when the share is 0 or a
//       higher tier is overloaded.
// 4. A tier is overloaded while one of its waiting requests has waited for at least half of its
//    first-token target, and for five seconds after one of its requests was shed.
// 5. A request is shed when it has waited for `maxWait`. It is shed on arrival when the requests
//    of its own and higher tiers ahead of it, at the recent start rate of its own and lower tiers,
//    take longer than that. Requests waiting in lower tiers never count. A class's only waiting
//    request is not shed on arrival, so that the floor (3b) has a request to start.
//
// `higherTierShedForLower` must stay zero. It counts each shed request during whose wait a request
// of a lower tier was started, other than by rule 3, on an upstream that the shed request's tier
// could have used. `higherTierShedForGuarantee` counts the other sheds that a guaranteed start
// during their wait may have caused, at most one for each such start. These are the cost of the
// guarantee that every class is eventually served: one start per half `maxWait` of each lower
// class while the tier is overloaded.

/// Why a request may start.
enum class start_reason {
    tierOrder, ///< It is first in the order of tiers.
    share, ///< Rule 3a.
    floor, ///< Rule 3b.
};

/// State of one tier.
struct tier_record
{
    instant lastShed = instant::min();
    instant overtakenOutOfOrder = instant::min(); ///< Last start of a lower tier against rule 1.
    instant overtakenByGuarantee = instant::min(); ///< Last guaranteed start of a lower tier.
    std::uint32_t uncountedGuaranteedStarts = 0; ///< Such starts that no shed is counted for yet.
};

/// State of the tier rule for one pool.
struct tier_rule
{
    std::map<int, tier_record> tiers;
    std::map<std::string, std::uint32_t, std::less<>> running; ///< Number of requests, by class.
    std::uint64_t shareStarts = 0; ///< Starts by rule 3a ahead of a waiting higher tier.
    std::uint64_t floorStarts = 0; ///< Starts by rule 3b ahead of a waiting higher tier.
    std::uint64_t higherTierShedForLower = 0; ///< Must stay zero.
    std::uint64_t higherTierShedForGuarantee = 0;
};

/// Number of slots that the class may hold ahead of higher tiers (rule 3a).
std::uint32_t guaranteedSlots(const class_policy &policy, double poolSlots);

/// Whether @p tier is overloaded (rule 4).
bool isTierOverloaded(const tier_rule &rule, const wait_queue &queue, int tier, instant now);

/// The guaranteed start that the class may claim now; `tierOrder` when it has none.
start_reason guaranteedStart(const tier_rule &rule, const wait_queue &queue,
                             const class_queue &candidate, double poolSlots, instant now);

/// Records a start by @p reason on a slot that a waiting request of the higher tier @p overtaken
/// could have used.
void recordOvertaken(tier_rule &rule, int overtaken, start_reason reason, instant now);

/// Counts a request of @p tier that was shed after waiting since @p arrival.
void recordShed(tier_rule &rule, int tier, instant arrival, instant now);

} // namespace quincefall
