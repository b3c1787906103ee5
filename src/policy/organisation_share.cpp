#include "policy/organisation_share.h"

#include <algorithm>

namespace quincefall {
namespace {

constexpr double minimumWeight = 0.01;

} // namespace

void setOrganisations(organisation_table &table, const std::vector<organisation_policy> &policies)
{
    for (auto &[name, record] : table.records) {
        record.weight = 1;
        record.maxInFlight = 0;
    }
    for (const organisation_policy &policy : policies) {
        auto &record = table.records[policy.name];
        record.weight = std::max(policy.weight, minimumWeight);
        record.maxInFlight = policy.maxInFlight;
    }
}

double weightOf(const organisation_table &table, std::string_view name)
{
    const auto found = table.records.find(name);
    return found == table.records.end() ? 1 : found->second.weight;
}

bool isBelowLimit(const organisation_table &table, std::string_view name)
{
    const auto found = table.records.find(name);
    if (found == table.records.end() || found->second.maxInFlight == 0)
        return true;
    return found->second.inFlight < found->second.maxInFlight;
}

void countStart(organisation_table &table, std::string_view name)
{
    ++table.records[std::string(name)].inFlight;
}

void countEnd(organisation_table &table, std::string_view name)
{
    const auto found = table.records.find(name);
    if (found != table.records.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

} // namespace quincefall
