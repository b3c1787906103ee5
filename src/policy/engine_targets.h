#pragma once

#include "policy/desired_state.h"

#include <map>
#include <string>

namespace quincefall {

/// Engines of each kind.
struct engine_counts
{
    unsigned ordinary = 0;
    unsigned interruptible = 0;

    unsigned total() const { return ordinary + interruptible; }
    bool operator==(const engine_counts &) const = default;
};

/// What one failure domain needs and has.
struct domain_need
{
    double engines = 0; ///< That its callers need; not rounded.
    unsigned floor = 0; ///< Engines that it must keep until the need is known.
    engine_counts serving;
    bool lacksInterruptible = false; ///< None are to be had, or they were taken away.
};

/// What one failure domain is to have.
struct domain_target
{
    unsigned engines = 0; ///< Of both kinds together.
    engine_counts orders; ///< More than `engines` where ordinary ones take the place of others.
};

/// Engines of each kind that each failure domain is to have, within the service's limits.
///
/// All interruptible engines of a failure domain may be taken away at once. Their number is such
/// that those of the other domains are enough for all callers then, as far as that costs less than
/// ordinary engines; one ordinary engine stays in each domain. Where interruptible engines can't be
/// had, ordinary ones take their place, and the other domains make up for the lost reserve.
std::map<std::string, domain_target>
targetEngines(const autoscale_rule &rule, const std::map<std::string, domain_need> &domains);

} // namespace quincefall
