#pragma once

#include "policy/pool_types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace quincefall {

/// A class is starved when none of its requests has started for its `maxWait` divided by this.
constexpr int floorDivisor = 2;

/// Position of a request in deadline order; the sequence keeps equal deadlines in arrival order.
struct order_key
{
    instant deadline;
    std::uint64_t sequence = 0;

    bool operator<(const order_key &other) const
    {
        return std::tie(deadline, sequence) < std::tie(other.deadline, other.sequence);
    }
};

/// The properties that decide which upstreams may serve a request. Requests with equal traits form
/// a group, so that a group whose next request can't be placed is skipped as a whole.
struct request_traits
{
    std::string model;
    std::string entryRegion;
    std::vector<std::string> excluded;

    bool operator<(const request_traits &other) const
    {
        return std::tie(model, entryRegion, excluded)
            < std::tie(other.model, other.entryRegion, other.excluded);
    }
};

using request_group = std::map<order_key, work_item>;

/// Waiting requests of one organisation in one class, and its virtual time for fair sharing.
struct organisation_queue
{
    double virtualTime = 0; ///< Charged tokens by weight; the lowest is served next.
    std::size_t size = 0;
    std::map<request_traits, request_group> groups;
};

/// Waiting requests of one class.
struct class_queue
{
    class_policy policy;
    double virtualTime = 0; ///< Of the last start; idle organisations resume here.
    std::size_t size = 0;
    microseconds timeToFirstToken{0}; ///< Expected time from the start to the first token.
    instant lastArrival; ///< Includes requests that were refused later.
    instant starvedSince; ///< Last start, or first arrival after a time without arrivals.
    std::map<std::string, organisation_queue, std::less<>> organisations;
    std::set<std::pair<double, std::string>> active; ///< With waiting requests, by virtual time.
    std::set<order_key> expiries; ///< Ends of the waits.
};

/// The waiting requests of a pool.
///
/// Every operation takes time logarithmic in the number of waiting requests, plus time linear in
/// the number of classes and, while requests can't be placed, of organisations.
struct wait_queue
{
    struct location
    {
        std::string serviceClass;
        std::string organisation;
        request_traits traits;
        order_key key;
        instant expiry;
    };

    std::map<std::string, class_queue, std::less<>> classes;
    std::unordered_map<std::string, location> byId;
    std::set<std::tuple<instant, std::uint64_t, std::string>> expiries;
    std::uint64_t nextSequence = 1;
};

/// A request that may start now.
struct start_candidate
{
    class_queue *queue = nullptr;
    organisation_queue *organisation = nullptr;
    const work_item *item = nullptr;
    order_key key;
    bool onTime = false; ///< It can still meet its first-token target.
    std::string upstream;
};

/// Selects the upstream for a request; empty when none can take it now.
using upstream_selector = std::function<std::string(const work_item &)>;

/// Replaces the classes. Waiting requests are enqueued again; those of a removed class join the
/// lowest tier.
void setClasses(wait_queue &queue, const std::vector<class_policy> &classes, instant now);

/// The queue of the class @p name, or the fallback queue in the lowest tier when there is no such
/// class.
class_queue &classQueue(wait_queue &queue, std::string_view name);

/// Adds a request; false when its id already waits. A request that resumes a broken answer precedes
/// all others of its class and organisation, and its wait begins at @p now.
bool enqueue(wait_queue &queue, work_item item, instant now);

/// Removes a request; empty when no request with the id waits.
std::optional<work_item> dequeue(wait_queue &queue, std::string_view id);

/// The next request of one class: first those that can still meet their first-token target, by
/// their organisation's virtual time and then by deadline, then the late ones in the same order.
std::optional<start_candidate> nextOfClass(class_queue &queue, instant now,
                                           const upstream_selector &select);

/// The next request of one tier: of its classes' next requests the one with the earliest deadline,
/// and those that can be on time before late ones.
std::optional<start_candidate> nextOfTier(wait_queue &queue, int tier, instant now,
                                          const upstream_selector &select);

/// Charges @p tokens to an organisation's virtual time in a class; negative corrects an estimate.
void chargeOrganisation(class_queue &queue, std::string_view organisation, double tokens,
                        double weight);

/// Id of a request whose wait ended at @p now or before; empty when there is none.
std::string_view nextExpired(const wait_queue &queue, instant now);

/// Appends the ids of the waiting requests that entered through @p host to @p ids.
void collectIdsOfHost(const class_queue &queue, std::string_view host,
                      std::vector<std::string> &ids);

/// Number of requests that wait in tiers above @p tier.
std::size_t waitingAboveTier(const wait_queue &queue, int tier);

} // namespace quincefall
