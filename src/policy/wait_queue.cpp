#include "policy/wait_queue.h"

#include <algorithm>

namespace quincefall {
namespace {

const char *const fallbackClass = "";
constexpr instant resumedDeadline = instant::min();

request_traits traitsOf(const work_item &item)
{
    request_traits traits{item.model, item.entryRegion, item.excluded};
    std::sort(traits.excluded.begin(), traits.excluded.end());
    return traits;
}

void activate(class_queue &queue, const std::string &name, organisation_queue &organisation)
{
    // An idle organisation must not accumulate credit for later.
    organisation.virtualTime = std::max(organisation.virtualTime, queue.virtualTime);
    queue.active.emplace(organisation.virtualTime, name);
}

void recordArrival(class_queue &queue, instant now)
{
    // A class without demand is not starved.
    if (queue.size == 1 && now - queue.lastArrival > queue.policy.maxWait / floorDivisor)
        queue.starvedSince = now;
    queue.lastArrival = now;
}

request_group::const_iterator nextInGroup(const request_group &group, instant earliestFirstToken)
{
    if (group.begin()->first.deadline == resumedDeadline)
        return group.begin();
    const auto onTime = group.lower_bound(order_key{earliestFirstToken, 0});
    return onTime == group.end() ? group.begin() : onTime;
}

bool precedes(const start_candidate &left, const start_candidate &right)
{
    if (left.onTime != right.onTime)
        return left.onTime;
    return left.key < right.key;
}

std::optional<start_candidate> nextOfOrganisation(class_queue &queue, organisation_queue &from,
                                                  instant now, const upstream_selector &select)
{
    const instant earliestFirstToken = now + queue.timeToFirstToken;
    std::vector<start_candidate> heads;
    for (const auto &[traits, group] : from.groups) {
        const auto next = nextInGroup(group, earliestFirstToken);
        const instant deadline = next->first.deadline;
        const bool onTime = deadline >= earliestFirstToken || deadline == resumedDeadline;
        heads.push_back({&queue, &from, &next->second, next->first, onTime, {}});
    }
    std::sort(heads.begin(), heads.end(), precedes);
    for (start_candidate &head : heads) {
        head.upstream = select(*head.item);
        if (!head.upstream.empty())
            return head;
    }
    return std::nullopt;
}

} // namespace

void setClasses(wait_queue &queue, const std::vector<class_policy> &classes, instant now)
{
    wait_queue previous = std::exchange(queue, {});
    queue.nextSequence = previous.nextSequence;
    class_policy fallback;
    for (const class_policy &policy : classes) {
        fallback.tier = std::max(fallback.tier, policy.tier);
        queue.classes[policy.name].policy = policy;
    }
    queue.classes[fallbackClass].policy = fallback;
    std::vector<std::pair<std::uint64_t, work_item>> kept;
    for (auto &[name, old] : previous.classes) {
        for (auto &[organisation, waiting] : old.organisations) {
            for (auto &[traits, group] : waiting.groups) {
                for (auto &[key, item] : group)
                    kept.emplace_back(key.sequence, std::move(item));
            }
            const auto target = queue.classes.find(name);
            if (target != queue.classes.end())
                target->second.organisations[organisation].virtualTime = waiting.virtualTime;
        }
        if (const auto target = queue.classes.find(name); target != queue.classes.end()) {
            target->second.virtualTime = old.virtualTime;
            target->second.timeToFirstToken = old.timeToFirstToken;
            target->second.lastArrival = old.lastArrival;
            target->second.starvedSince = old.starvedSince;
        }
    }
    std::sort(kept.begin(), kept.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    for (auto &[sequence, item] : kept)
        enqueue(queue, std::move(item), now);
}

class_queue &classQueue(wait_queue &queue, std::string_view name)
{
    const auto found = queue.classes.find(name);
    return found == queue.classes.end() ? queue.classes[fallbackClass] : found->second;
}

bool enqueue(wait_queue &queue, work_item item, instant now)
{
    if (queue.byId.contains(item.id))
        return false;
    class_queue &target = classQueue(queue, item.serviceClass);
    const bool resumed = item.resumeFrom > 0;
    const instant deadline = item.arrival + target.policy.firstTokenTarget;
    const order_key key{resumed ? resumedDeadline : deadline, queue.nextSequence++};
    const instant expiry = (resumed ? now : item.arrival) + target.policy.maxWait;
    const std::string organisationName = item.organisation;
    organisation_queue &organisation = target.organisations[organisationName];
    ++target.size;
    recordArrival(target, now);
    if (organisation.size++ == 0)
        activate(target, organisationName, organisation);
    request_traits traits = traitsOf(item);
    queue.byId.emplace(
        item.id, wait_queue::location{item.serviceClass, organisationName, traits, key, expiry});
    queue.expiries.emplace(expiry, key.sequence, item.id);
    target.expiries.insert(order_key{expiry, key.sequence});
    request_group &group = organisation.groups[std::move(traits)];
    group.emplace(key, std::move(item));
    return true;
}

std::optional<work_item> dequeue(wait_queue &queue, std::string_view id)
{
    const auto found = queue.byId.find(std::string(id));
    if (found == queue.byId.end())
        return std::nullopt;
    const wait_queue::location where = found->second;
    class_queue &from = classQueue(queue, where.serviceClass);
    organisation_queue &organisation = from.organisations.find(where.organisation)->second;
    const auto group = organisation.groups.find(where.traits);
    auto node = group->second.extract(where.key);
    work_item item = std::move(node.mapped());
    if (group->second.empty())
        organisation.groups.erase(group);
    if (--organisation.size == 0)
        from.active.erase({organisation.virtualTime, where.organisation});
    --from.size;
    from.expiries.erase(order_key{where.expiry, where.key.sequence});
    queue.expiries.erase({where.expiry, where.key.sequence, found->first});
    queue.byId.erase(found);
    return item;
}

std::optional<start_candidate> nextOfClass(class_queue &queue, instant now,
                                           const upstream_selector &select)
{
    std::optional<start_candidate> late;
    for (const auto &[virtualTime, name] : queue.active) {
        organisation_queue &organisation = queue.organisations.find(name)->second;
        auto next = nextOfOrganisation(queue, organisation, now, select);
        if (next && next->onTime)
            return next;
        if (next && !late)
            late = std::move(next);
    }
    return late;
}

std::optional<start_candidate> nextOfTier(wait_queue &queue, int tier, instant now,
                                          const upstream_selector &select)
{
    std::optional<start_candidate> best;
    for (auto &[name, classQueue] : queue.classes) {
        if (classQueue.policy.tier != tier || classQueue.size == 0)
            continue;
        auto next = nextOfClass(classQueue, now, select);
        if (next && (!best || precedes(*next, *best)))
            best = std::move(next);
    }
    return best;
}

void chargeOrganisation(class_queue &queue, std::string_view organisation, double tokens,
                        double weight)
{
    const auto found = queue.organisations.find(organisation);
    if (found == queue.organisations.end())
        return;
    organisation_queue &charged = found->second;
    const bool active = charged.size > 0;
    if (active)
        queue.active.erase({charged.virtualTime, found->first});
    if (tokens > 0)
        queue.virtualTime = std::max(queue.virtualTime, charged.virtualTime);
    charged.virtualTime += tokens / weight;
    if (active)
        queue.active.emplace(charged.virtualTime, found->first);
}

std::string_view nextExpired(const wait_queue &queue, instant now)
{
    if (queue.expiries.empty() || std::get<instant>(*queue.expiries.begin()) > now)
        return {};
    return std::get<std::string>(*queue.expiries.begin());
}

void collectIdsOfHost(const class_queue &queue, std::string_view host,
                      std::vector<std::string> &ids)
{
    for (const auto &[name, organisation] : queue.organisations) {
        for (const auto &[traits, group] : organisation.groups) {
            for (const auto &[key, item] : group) {
                if (item.entryHost == host)
                    ids.push_back(item.id);
            }
        }
    }
}

std::size_t waitingAboveTier(const wait_queue &queue, int tier)
{
    std::size_t count = 0;
    for (const auto &[name, classQueue] : queue.classes)
        count += classQueue.policy.tier < tier ? classQueue.size : 0;
    return count;
}

} // namespace quincefall
