#pragma once

#include "policy/pool_types.h"

#include <map>
#include <string_view>

namespace quincefall {

/// Weights, limits and running requests of the organisations.
struct organisation_table
{
    struct record
    {
        double weight = 1;
        std::uint32_t maxInFlight = 0; ///< 0 means no limit.
        std::uint32_t inFlight = 0;
    };

    std::map<std::string, record, std::less<>> records;
};

/// Replaces weights and limits; counts of running requests are kept.
void setOrganisations(organisation_table &table, const std::vector<organisation_policy> &policies);

/// Weight of the organisation; 1 when it is not declared.
double weightOf(const organisation_table &table, std::string_view name);

/// Whether the organisation may start another request.
bool isBelowLimit(const organisation_table &table, std::string_view name);

/// Counts the start of an attempt.
void countStart(organisation_table &table, std::string_view name);

/// Counts the end of an attempt.
void countEnd(organisation_table &table, std::string_view name);

} // namespace quincefall
