#include "kernel/byte_budget.h"

#include "kernel/clock.h"

#include <array>
#include <map>
#include <utility>

namespace quincefall {
namespace {

// A message of which less than this has arrived for as long has stopped to arrive.
constexpr std::size_t progressBytes = 16UL * 1024;
constexpr seconds progressTime{1};
// The part of the limit for requests, so that there is room for answers to them.
constexpr std::size_t requestDivisor = 2;

} // namespace

struct byte_share::state
{
    std::shared_ptr<byte_budget> budget;
    std::function<void()> onEviction;
    share_kind kind = share_kind::answer;
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    std::size_t arrived = 0; ///< Since progressAt.
    instant progressAt = steadyNow();
    bool isEvicted = false;

    bool isStalled(instant now) const { return now - progressAt >= progressTime; }
};

struct byte_budget::state
{
    /// The shares of one kind.
    struct share_group
    {
        std::size_t held = 0;
        std::size_t evictable = 0; ///< Of `held`.
        /// Shares that may be evicted, by size, then by age.
        std::map<std::pair<std::size_t, std::uint64_t>, byte_share::state *> bySize;
    };

    std::size_t limit;
    std::size_t reserve;
    std::uint64_t lastNumber = 0;
    std::uint64_t evictions = 0;
    std::array<share_group, 2> groups{};

    share_group &groupOf(share_kind kind) { return groups.at(std::size_t(kind)); }

    std::size_t held() const { return groups[0].held + groups[1].held; }

    void add(byte_share::state &share)
    {
        share_group &group = groupOf(share.kind);
        group.held += share.bytes;
        group.evictable += share.bytes;
        group.bySize.emplace(std::pair(share.bytes, share.number), &share);
    }

    void makePermanent(const byte_share::state &share)
    {
        share_group &group = groupOf(share.kind);
        if (group.bySize.erase({share.bytes, share.number}) > 0)
            group.evictable -= share.bytes;
    }

    void remove(const byte_share::state &share)
    {
        makePermanent(share);
        groupOf(share.kind).held -= share.bytes;
    }

    /// Whether @p growing does not fit beside the other shares.
    bool isOver(const byte_share::state &growing)
    {
        if (growing.bytes <= byte_budget::smallShareBytes)
            return held() > limit;
        if (held() > limit - reserve)
            return true;
        // One that is alone may be larger, as long as it fits.
        const std::size_t requests = groupOf(share_kind::request).held;
        return growing.kind == share_kind::request && requests > limit / requestDivisor
            && requests > growing.bytes;
    }

    /// The group from which a share is evicted for @p growing. Requests displace no answers, which
    /// upstreams have worked for.
    const share_group &groupToEvict(const byte_share::state &growing)
    {
        const share_group &requests = groupOf(share_kind::request);
        const share_group &answers = groupOf(share_kind::answer);
        const bool isRequest = growing.kind == share_kind::request;
        return isRequest || requests.evictable > answers.evictable ? requests : answers;
    }

    /// Null if no share of @p group may be evicted.
    static byte_share::state *nextEvicted(const share_group &group)
    {
        if (group.bySize.empty())
            return nullptr;
        const instant now = steadyNow();
        const std::size_t largest = group.bySize.rbegin()->first.first;
        byte_share::state *next = group.bySize.rbegin()->second;
        for (auto row = group.bySize.rbegin(); row != group.bySize.rend(); ++row) {
            const std::size_t bytes = row->first.first;
            if (bytes <= byte_budget::smallShareBytes)
                break;
            if (row->second->isStalled(now))
                return row->second;
            if (bytes == largest && row->second->progressAt < next->progressAt)
                next = row->second;
        }
        return next;
    }

    void evict(byte_share::state &share, const byte_share::state &growing)
    {
        remove(share);
        share.bytes = 0;
        share.isEvicted = true;
        ++evictions;
        // The owner of the one that grows learns it from resize().
        if (&share != &growing && share.onEviction)
            share.onEviction();
    }
};

std::shared_ptr<byte_budget> byte_budget::makeByteBudget(std::size_t limit, std::size_t reserve)
{
    return std::shared_ptr<byte_budget>(
        new byte_budget(std::make_unique<state>(state{limit, reserve})));
}

byte_budget::byte_budget(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

byte_budget::~byte_budget() = default;

std::unique_ptr<byte_share> byte_budget::addShare(const std::shared_ptr<byte_budget> &budget,
                                                  std::function<void()> onEviction, share_kind kind)
{
    auto owned = std::make_unique<byte_share::state>();
    owned->kind = kind;
    owned->budget = budget;
    owned->onEviction = std::move(onEviction);
    if (budget)
        owned->number = ++budget->m_state->lastNumber;
    return std::unique_ptr<byte_share>(new byte_share(std::move(owned)));
}

std::size_t byte_budget::heldBytes() const
{
    return m_state->held();
}

std::uint64_t byte_budget::evictions() const
{
    return m_state->evictions;
}

byte_share::byte_share(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

byte_share::~byte_share()
{
    if (m_state->bytes > 0)
        m_state->budget->m_state->remove(*m_state);
}

bool byte_share::resize(std::size_t bytes)
{
    state &self = *m_state;
    if (!self.budget || self.isEvicted || bytes == self.bytes)
        return !self.isEvicted;
    byte_budget::state &budget = *self.budget->m_state;
    if (self.bytes > 0)
        budget.remove(self);
    self.bytes = bytes;
    if (bytes > 0)
        budget.add(self);
    while (!self.isEvicted && budget.isOver(self)) {
        byte_share::state *next = byte_budget::state::nextEvicted(budget.groupToEvict(self));
        if (!next)
            break;
        budget.evict(*next, self);
    }
    return !self.isEvicted;
}

void byte_share::noteArrival(std::size_t bytes)
{
    m_state->arrived += bytes;
    if (m_state->arrived < progressBytes)
        return;
    m_state->arrived = 0;
    m_state->progressAt = steadyNow();
}

void byte_share::pin()
{
    if (m_state->budget && !m_state->isEvicted)
        m_state->budget->m_state->makePermanent(*m_state);
}

bool byte_share::isEvicted() const
{
    return m_state->isEvicted;
}

} // namespace quincefall
