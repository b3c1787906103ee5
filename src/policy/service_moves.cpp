#include "policy/service_moves.h"

#include "policy/route_choice.h"

#include <algorithm>
#include <map>
#include <utility>

namespace quincefall {
namespace {

constexpr std::size_t maxMoves = 4'096; // About 1 MB.

using route_key = std::pair<std::string, std::string>;

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? char(letter + ('a' - 'A')) : letter;
    });
    return lower;
}

std::set<std::string> servicesOf(const route_rule *route)
{
    std::set<std::string> services;
    if (route) {
        for (const service_share &share : route->services) {
            if (share.weight > 0)
                services.insert(share.service);
        }
    }
    return services;
}

std::map<route_key, const route_rule *> streamRoutes(const desired_state &desired)
{
    std::map<route_key, const route_rule *> routes;
    for (const route_rule &route : desired.routes) {
        if (route.isStream)
            routes.try_emplace({toLower(route.authority), route.pathPrefix}, &route);
    }
    return routes;
}

void recordMove(service_moves &moves, const route_key &key, std::set<std::string> services,
                instant now)
{
    if (services.empty())
        return;
    moves.moves.push_back({key.first, key.second, std::move(services), now});
    while (moves.moves.size() > maxMoves) {
        moves.completeSince = moves.moves.front().until;
        moves.moves.pop_front();
    }
}

void recordTimeout(service_moves &moves, const route_key &key, const route_rule &before,
                   const route_rule &after, instant now)
{
    if (longestStream(before) <= longestStream(after))
        return;
    moves.timeouts.push_back({key.first, key.second, longestStream(before), now});
}

} // namespace

void recordMoves(service_moves &moves, const desired_state *before, const desired_state &after,
                 instant now)
{
    if (!before) {
        moves.firstAt = now;
        return;
    }
    const auto oldRoutes = streamRoutes(*before);
    const auto newRoutes = streamRoutes(after);
    for (const auto &[key, route] : newRoutes) {
        const auto row = oldRoutes.find(key);
        // The requests of an added route were those of a shorter prefix.
        const route_rule *old
            = row != oldRoutes.end() ? row->second : findRoute(*before, key.first, key.second);
        auto services = servicesOf(old);
        if (old)
            recordTimeout(moves, key, *old, *route, now);
        if (services != servicesOf(route))
            recordMove(moves, key, std::move(services), now);
    }
    for (const auto &[key, route] : oldRoutes) {
        if (newRoutes.contains(key))
            continue;
        recordMove(moves, key, servicesOf(route), now);
        // Its requests are those of a shorter prefix now, or of a route to come.
        moves.timeouts.push_back({key.first, key.second, longestStream(*route), now});
    }
    while (moves.timeouts.size() > maxMoves)
        moves.timeouts.pop_front();
}

void noteMissedStates(service_moves &moves, instant now)
{
    moves.missedAt = now;
}

bool mayMissMoves(const service_moves &moves, instant from)
{
    return std::max(moves.firstAt, moves.missedAt) > from;
}

void noteNoEarlierState(service_moves &moves)
{
    moves.firstAt = instant::min();
}

microseconds longestStream(const route_rule &route)
{
    return route.timeout.count() > 0 ? route.timeout : longestWithoutTimeout;
}

microseconds longestStream(const service_moves &moves, const desired_state &desired,
                           std::string_view authority, std::string_view path, microseconds longest,
                           instant now)
{
    const route_rule *route = findRoute(desired, authority, path);
    const std::string key = route ? toLower(route->authority) : std::string();
    for (const former_timeout &former : moves.timeouts) {
        const bool isOfRoute = former.authority == key && path.starts_with(former.pathPrefix);
        if (isOfRoute && former.until + former.longest >= now)
            longest = std::max(longest, former.longest);
    }
    return longest;
}

microseconds longestStream(const service_moves &moves, const desired_state &desired, instant now)
{
    microseconds longest{0};
    for (const route_rule &route : desired.routes) {
        if (route.isStream)
            longest = std::max(longest, longestStream(route));
    }
    for (const former_timeout &former : moves.timeouts) {
        if (former.until + former.longest >= now)
            longest = std::max(longest, former.longest);
    }
    return longest;
}

std::set<std::string> recentServices(const service_moves &moves, const desired_state &desired,
                                     std::string_view authority, std::string_view path,
                                     microseconds time, instant now)
{
    const instant from = now - time;
    if (from < moves.completeSince)
        return {};
    const route_rule *route = findRoute(desired, authority, path);
    std::set<std::string> services = servicesOf(route);
    if (!route)
        return services;
    const std::string key = toLower(route->authority);
    for (const service_move &move : moves.moves) {
        if (move.until >= from && move.authority == key && path.starts_with(move.pathPrefix))
            services.insert(move.services.begin(), move.services.end());
    }
    return services;
}

std::set<std::string> possibleStreamServices(const desired_state &desired)
{
    const bool areEnginesDeclared
        = std::any_of(desired.services.begin(), desired.services.end(),
                      [](const auto &row) { return row.second.engine.has_value(); });
    std::set<std::string> services;
    for (const route_rule &route : desired.routes) {
        if (route.isStream)
            services.merge(servicesOf(&route));
    }
    for (const auto &[name, service] : desired.services) {
        if (service.engine || !areEnginesDeclared)
            services.insert(name);
    }
    return services;
}

std::set<std::string> movedServices(const service_moves &moves, instant from)
{
    std::set<std::string> services;
    for (const service_move &move : moves.moves) {
        if (move.until >= from)
            services.insert(move.services.begin(), move.services.end());
    }
    return services;
}

} // namespace quincefall
