#include "policy/stream_origins.h"

#include "policy/answer_proof.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

constexpr std::size_t maxOrigins = 8'192; // In each generation; about 1 MB.

} // namespace

std::optional<upstream_kind> assumedKind(const origin_belief &belief)
{
    if (belief.kinds.size() != 1 || belief.hasSeveral || belief.isOutdated || belief.mayMissChanges)
        return std::nullopt;
    return *belief.kinds.begin();
}

std::optional<upstream_kind> decideOrigin(const origin_belief &own, const origin_answers &answers)
{
    if (answers.known)
        return answers.known;
    std::set<upstream_kind> assumed = answers.assumed;
    assumed.insert(own.kinds.begin(), own.kinds.end());
    const bool isUnconfirmed = own.isOutdated || (own.mayMissChanges && answers.assumed.empty());
    if (own.hasSeveral || answers.hasSeveral || isUnconfirmed || assumed.size() != 1)
        return std::nullopt;
    return *assumed.begin();
}

void recordOrigin(stream_origins &origins, std::uint64_t stream, stream_origin origin)
{
    if (findOrigin(origins, stream))
        return;
    if (origins.newer.size() >= maxOrigins) {
        origins.older = std::move(origins.newer);
        origins.newer.clear();
    }
    origins.newer.emplace(stream, std::move(origin));
}

bool isPlausible(const stream_run_end &end)
{
    const auto &upstreams = end.upstreams;
    return !upstreams.empty() && upstreams.size() <= maxRunEnds
        && std::find(upstreams.begin(), upstreams.end(), 0) == upstreams.end()
        && end.before < end.after;
}

void recordRunEnd(stream_origins &origins, std::uint64_t stream, stream_run_end end)
{
    for (auto *generation : {&origins.newer, &origins.older}) {
        const auto row = generation->find(stream);
        if (row == generation->end())
            continue;
        row->second.isUntold = false;
        row->second.runEnd = std::move(end);
        return;
    }
}

const stream_origin *findOrigin(const stream_origins &origins, std::uint64_t stream)
{
    for (const auto *generation : {&origins.newer, &origins.older}) {
        const auto row = generation->find(stream);
        if (row != generation->end())
            return &row->second;
    }
    return nullptr;
}

void forgetUntold(stream_origins &origins, std::uint64_t stream)
{
    for (auto *generation : {&origins.newer, &origins.older}) {
        const auto row = generation->find(stream);
        if (row != generation->end() && row->second.isUntold)
            generation->erase(row);
    }
}

std::vector<std::uint64_t> takeUntold(stream_origins &origins, std::string_view service,
                                      instant from)
{
    std::vector<std::uint64_t> streams;
    for (auto *generation : {&origins.newer, &origins.older}) {
        for (auto &[stream, origin] : *generation) {
            if (!origin.isUntold || origin.service != service || origin.begunAt < from)
                continue;
            origin.isUntold = false;
            streams.push_back(stream);
        }
    }
    return streams;
}

} // namespace quincefall
