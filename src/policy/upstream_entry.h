#pragma once

#include "kernel/address.h"

#include <cstdint>
#include <string>

namespace quincefall {

/// An upstream as the platform lists it.
struct upstream_entry
{
    std::string id; ///< May be reused after a restart; `started` differs then.
    std::string service;
    host_address address;
    std::string failureDomain;
    std::string region;
    unsigned slots = 1;
    bool isLeaving = false; ///< Takes no new work.
    std::int64_t started = 0; ///< Unix time in milliseconds; 0 if unknown.
    std::string softwareVersion; ///< Empty if unknown.
    bool isInterruptible = false; ///< It may be taken away at short notice.
    std::int64_t leavesAt = 0; ///< Unix time in milliseconds at which it ends; 0 if unknown.

    bool operator==(const upstream_entry &) const = default;
};

} // namespace quincefall
