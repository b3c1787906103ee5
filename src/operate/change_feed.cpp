#include "operate/change_feed.h"

namespace quincefall {

change_feed::change_feed(std::size_t capacity)
    : m_capacity(capacity)
{
}

void change_feed::record(const config_state &state, const config_effect &effect)
{
    const std::uint64_t offset = state.next - 1;
    // A gap means that the state was replaced as a whole, from a peer or a checkpoint.
    if (offset != m_nextOffset) {
        m_changes.clear();
        m_keptAfter = offset;
    }
    m_nextOffset = offset + 1;
    if (!effect.changed)
        return;
    const std::string operation = effect.outcome ? effect.outcome->operation : std::string();
    m_changes.push_back(
        {state.next, *effect.changed, operation, !state.resources.contains(*effect.changed)});
    if (m_changes.size() <= m_capacity)
        return;
    m_keptAfter = m_changes.front().version;
    m_changes.pop_front();
}

bool change_feed::hasChangesBetween(std::uint64_t from, std::uint64_t until) const
{
    // After the state was replaced as a whole, it is ahead of the last recorded offset until the
    // next record. The changes in between are missing here.
    return from >= m_keptAfter && from <= m_nextOffset && until == m_nextOffset;
}

std::vector<feed_change> change_feed::changesSince(std::uint64_t from) const
{
    std::vector<feed_change> found;
    for (const feed_change &change : m_changes) {
        if (change.version > from)
            found.push_back(change);
    }
    return found;
}

} // namespace quincefall
