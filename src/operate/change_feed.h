#pragma once

#include "ledger/config_state.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quincefall {

/// One configuration change that is in force.
struct feed_change
{
    std::uint64_t version = 0; ///< Offset of its record plus one.
    resource_key key;
    std::string operation;
    bool isDeleted = false;
};

/// Bounded history of the latest configuration changes, from which watches resume.
class change_feed
{
public:
    explicit change_feed(std::size_t capacity = 4096);

    /// Records @p effect, the effect of the record that was applied last to @p state.
    void record(const config_state &state, const config_effect &effect);

    /// True if all changes with versions above @p from and up to @p until are kept.
    bool hasChangesBetween(std::uint64_t from, std::uint64_t until) const;

    /// The kept changes with versions above @p from, oldest first.
    std::vector<feed_change> changesSince(std::uint64_t from) const;

private:
    std::size_t m_capacity;
    std::uint64_t m_keptAfter = 0; ///< All changes with versions above this are kept.
    std::uint64_t m_nextOffset = 0; ///< Offset that the next record should have.
    std::deque<feed_change> m_changes;
};

} // namespace quincefall
