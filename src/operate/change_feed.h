#pragma once

#include "ledger/config_state.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quincefall {

/// One change that came into force.
struct feed_change
{
    std::uint64_t version = 0; ///< Offset of its record plus one.
    resource_key key;
    std::string operation;
    bool isDeleted = false;
};

/// The newest changes of the configuration, bounded, for watches.
class change_feed
{
public:
    explicit change_feed(std::size_t capacity = 4096);

    /// Takes in what the last record folded into @p state did.
    void record(const config_state &state, const config_effect &effect);

    /// True when every change after version @p from up to version @p until is still kept.
    bool hasChangesBetween(std::uint64_t from, std::uint64_t until) const;

    /// The changes after version @p from, oldest first.
    std::vector<feed_change> changesAfter(std::uint64_t from) const;

private:
    std::size_t m_capacity;
    std::uint64_t m_oldestVersion = 0; ///< Changes with a version above this are kept.
    std::uint64_t m_nextOffset = 0; ///< Offset of the next record expected.
    std::deque<feed_change> m_changes;
};

} // namespace quincefall
