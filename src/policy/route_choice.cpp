#include "policy/route_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace quincefall {
namespace {

std::string_view withoutPort(std::string_view authority)
{
    const std::size_t colon = authority.rfind(':');
    const bool isPort = colon != std::string_view::npos
        && authority.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
    return isPort ? authority.substr(0, colon) : authority;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? char(letter + ('a' - 'A')) : letter;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [lower](char one, char other) { return lower(one) == lower(other); });
}

/// Position in [0, 1) that depends on the request id alone.
double splitPosition(std::string_view requestId)
{
    constexpr double steps = 4294967296.0;
    return double(XXH64(requestId.data(), requestId.size(), 0) >> 32U) / steps;
}

const service_share *shareFor(const route_rule &route, std::string_view requestId)
{
    double total = 0;
    for (const service_share &share : route.services)
        total += share.weight;
    double position = splitPosition(requestId) * total;
    for (const service_share &share : route.services) {
        position -= share.weight;
        if (position < 0)
            return &share;
    }
    return route.services.empty() ? nullptr : &route.services.back();
}

} // namespace

const route_rule *findRoute(const desired_state &desired, std::string_view authority,
                            std::string_view path)
{
    const std::string_view host = withoutPort(authority);
    const route_rule *best = nullptr;
    for (const route_rule &route : desired.routes) {
        if (!path.starts_with(route.pathPrefix) || !equalsIgnoringCase(route.authority, host))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

route_choice chooseRoute(const desired_state &desired, std::string_view authority,
                         std::string_view path, std::string_view key, std::string_view requestId)
{
    route_choice choice;
    choice.route = findRoute(desired, authority, path);
    if (!choice.route) {
        choice.refusal = route_refusal::noRoute;
        return choice;
    }
    if (desired.checksKeys && choice.route->needsKey) {
        const auto holder = desired.organisationsByKey.find(key);
        if (holder == desired.organisationsByKey.end()) {
            choice.refusal = route_refusal::unknownKey;
            return choice;
        }
        choice.organisation = &holder->second;
    }
    if (const service_share *share = shareFor(*choice.route, requestId)) {
        const auto service = desired.services.find(share->service);
        if (service != desired.services.end())
            choice.service = &service->second;
    }
    return choice;
}

bool setService(const desired_state &desired, route_choice &choice, std::string_view service)
{
    const auto &shares = choice.route->services;
    const bool isNamed = std::any_of(shares.begin(), shares.end(), [service](const auto &share) {
        return share.service == service && share.weight > 0;
    });
    const auto row = desired.services.find(service);
    if (!isNamed || row == desired.services.end())
        return false;
    choice.service = &row->second;
    return true;
}

int urgencyOf(const desired_state &desired, const route_choice &choice, int lowestUrgency)
{
    const auto own = std::lower_bound(desired.ranks.begin(), desired.ranks.end(),
                                      rankOf(choice.organisation, *choice.route));
    const auto rankIndex = int(std::distance(desired.ranks.begin(), own));
    const int count = int(desired.ranks.size());
    return count <= lowestUrgency + 1 ? rankIndex : rankIndex * (lowestUrgency + 1) / count;
}

std::pair<int, int> rankOf(const organisation_rule *organisation, const route_rule &route)
{
    const int organisationPriority
        = organisation ? organisation->priority.value_or(route.priority) : 0;
    return {organisationPriority, route.priority};
}

void indexRanks(desired_state &desired)
{
    std::set<std::pair<int, int>> ranks;
    for (const route_rule &route : desired.routes) {
        if (!desired.checksKeys || !route.needsKey)
            ranks.insert(rankOf(nullptr, route));
        else
            for (const auto &[key, organisation] : desired.organisationsByKey)
                ranks.insert(rankOf(&organisation, route));
    }
    desired.ranks.assign(ranks.begin(), ranks.end());
}

} // namespace quincefall
