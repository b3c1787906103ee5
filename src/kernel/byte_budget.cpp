#include "kernel/byte_budget.h"

#include <map>
#include <utility>

namespace quincefall {

struct byte_share::state
{
    std::shared_ptr<byte_budget> budget;
    std::function<void()> onEviction;
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    bool isEvicted = false;
};

struct byte_budget::state
{
    std::size_t limit;
    std::size_t held = 0;
    std::uint64_t lastNumber = 0;
    std::uint64_t evictions = 0;
    /// Shares by size, then by age; the last one is evicted first.
    std::map<std::pair<std::size_t, std::uint64_t>, byte_share::state *> bySize;

    void remove(const byte_share::state &share)
    {
        held -= share.bytes;
        bySize.erase({share.bytes, share.number});
    }

    void evictLargest(const byte_share::state *growing)
    {
        byte_share::state &largest = *bySize.rbegin()->second;
        remove(largest);
        largest.bytes = 0;
        largest.isEvicted = true;
        ++evictions;
        // The owner of the one that grows learns it from resize().
        if (&largest != growing && largest.onEviction)
            largest.onEviction();
    }
};

std::shared_ptr<byte_budget> byte_budget::makeByteBudget(std::size_t limit)
{
    return std::shared_ptr<byte_budget>(
        new byte_budget(std::make_unique<state>(state{limit, 0, 0, 0, {}})));
}

byte_budget::byte_budget(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

byte_budget::~byte_budget() = default;

std::unique_ptr<byte_share> byte_budget::addShare(const std::shared_ptr<byte_budget> &budget,
                                                  std::function<void()> onEviction)
{
    auto owned = std::make_unique<byte_share::state>();
    owned->budget = budget;
    owned->onEviction = std::move(onEviction);
    owned->number = ++budget->m_state->lastNumber;
    return std::unique_ptr<byte_share>(new byte_share(std::move(owned)));
}

std::size_t byte_budget::heldBytes() const
{
    return m_state->held;
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
    byte_budget::state &budget = *self.budget->m_state;
    if (self.isEvicted || bytes == self.bytes)
        return !self.isEvicted;
    if (self.bytes > 0)
        budget.remove(self);
    self.bytes = bytes;
    if (bytes > 0) {
        budget.held += bytes;
        budget.bySize.emplace(std::pair(bytes, self.number), &self);
    }
    while (budget.held > budget.limit)
        budget.evictLargest(&self);
    return !self.isEvicted;
}

bool byte_share::isEvicted() const
{
    return m_state->isEvicted;
}

} // namespace quincefall
