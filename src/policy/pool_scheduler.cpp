#include "policy/pool_scheduler.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr milliseconds minimumRetryAfter{1000};

const class_policy *findClass(const pool_state &state, std::string_view name)
{
    const auto &classes = state.plan.classes;
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [name](const class_policy &c) { return c.name == name; });
    return found == classes.end() ? nullptr : &*found;
}

int tierOf(const pool_state &state, const work_item &item)
{
    const class_policy *policy = findClass(state, item.serviceClass);
    return policy == nullptr ? 1 : policy->tier;
}

bool isExcluded(const work_item &item, std::string_view upstream)
{
    return std::find(item.excluded.begin(), item.excluded.end(), upstream) != item.excluded.end();
}

pool_state::upstream_state *leastLoaded(pool_state &state, const work_item &item)
{
    pool_state::upstream_state *best = nullptr;
    for (auto &[name, upstream] : state.upstreams) {
        const std::size_t running = upstream.running.size();
        if (upstream.info.leaving || running >= upstream.info.slots || isExcluded(item, name))
            continue;
        if (best == nullptr || running < best->running.size())
            best = &upstream;
    }
    return best;
}

void assign(pool_state &state, decisions &out)
{
    std::stable_sort(state.waiting.begin(), state.waiting.end(),
                     [&state](const work_item &left, const work_item &right) {
                         return tierOf(state, left) < tierOf(state, right);
                     });
    for (auto item = state.waiting.begin(); item != state.waiting.end();) {
        pool_state::upstream_state *upstream = leastLoaded(state, *item);
        if (upstream == nullptr) {
            ++item;
            continue;
        }
        const std::uint64_t permit = state.nextPermit++;
        out.grants.push_back({item->id, item->entryHost, permit, upstream->info.name});
        upstream->running.emplace(permit, std::move(*item));
        item = state.waiting.erase(item);
    }
}

decisions assigned(pool_state &state)
{
    decisions out;
    assign(state, out);
    return out;
}

} // namespace

decisions configure(pool_state &state, pool_plan plan, instant)
{
    state.plan = std::move(plan);
    std::map<std::string, pool_state::upstream_state, std::less<>> kept;
    for (const upstream_info &info : state.plan.upstreams) {
        const auto previous = state.upstreams.find(info.name);
        auto &upstream = kept[info.name];
        if (previous != state.upstreams.end())
            upstream = std::move(previous->second);
        upstream.info = info;
    }
    state.upstreams = std::move(kept);
    return assigned(state);
}

decisions submit(pool_state &state, work_item item, instant)
{
    const auto same = [&item](const work_item &other) { return other.id == item.id; };
    if (std::none_of(state.waiting.begin(), state.waiting.end(), same))
        state.waiting.push_back(std::move(item));
    return assigned(state);
}

decisions cancel(pool_state &state, std::string_view id, instant)
{
    std::erase_if(state.waiting, [id](const work_item &item) { return item.id == id; });
    return {};
}

decisions finish(pool_state &state, const completion &done, instant)
{
    if (const auto upstream = state.upstreams.find(done.upstream);
        upstream != state.upstreams.end())
        upstream->second.running.erase(done.permit);
    return assigned(state);
}

decisions adoptRunning(pool_state &state, const running_attempt &attempt, instant now)
{
    const auto upstream = state.upstreams.find(attempt.upstream);
    if (upstream == state.upstreams.end())
        return {};
    work_item item;
    item.id = attempt.id;
    item.entryHost = attempt.entryHost;
    item.serviceClass = attempt.serviceClass;
    item.organisation = attempt.organisation;
    item.arrival = now - attempt.running;
    upstream->second.running.emplace(attempt.permit, std::move(item));
    return {};
}

decisions applyLoadReport(pool_state &state, const load_report &, instant)
{
    return assigned(state);
}

decisions advance(pool_state &state, instant now)
{
    decisions out;
    std::erase_if(state.waiting, [&](const work_item &item) {
        const class_policy *policy = findClass(state, item.serviceClass);
        const microseconds limit = policy == nullptr ? seconds(10) : policy->maxWait;
        if (now - item.arrival < limit)
            return false;
        out.refusals.push_back({item.id, item.entryHost, result_code::deadlineUnreachable,
                                minimumRetryAfter, "waited as long as its class allows"});
        return true;
    });
    return out;
}

decisions dropEntryHost(pool_state &state, std::string_view host, instant)
{
    const auto ofHost = [host](const work_item &item) { return item.entryHost == host; };
    std::erase_if(state.waiting, ofHost);
    for (auto &[name, upstream] : state.upstreams)
        std::erase_if(upstream.running, [&](const auto &entry) { return ofHost(entry.second); });
    return assigned(state);
}

} // namespace quincefall
