#include "policy/desired_check.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace quincefall {
namespace {

using finding_list = std::vector<desired_finding>;

std::string quoted(std::string_view kind, std::string_view name)
{
    return std::string(kind) + " \"" + std::string(name) + '"';
}

void addError(finding_list &findings, std::string entry, std::string text)
{
    findings.push_back({finding_level::error, std::move(entry), std::move(text)});
}

void addWarning(finding_list &findings, std::string entry, std::string text)
{
    findings.push_back({finding_level::warning, std::move(entry), std::move(text)});
}

std::string toText(milliseconds value)
{
    return std::to_string(value.count()) + " ms";
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return char(std::tolower(letter)); });
    return lower;
}

void checkServicesOf(const route_rule &route, const desired_state &desired, finding_list &findings)
{
    const std::string entry = quoted("route", route.name);
    double total = 0;
    for (const service_share &share : route.services) {
        if (!desired.services.contains(share.service))
            addError(findings, entry, quoted("service", share.service) + " is not declared");
        if (share.weight < 0)
            addError(findings, entry,
                     "the weight of " + quoted("service", share.service) + " is negative");
        else if (share.weight == 0)
            addWarning(findings, entry,
                       quoted("service", share.service) + " has weight 0 and gets no requests");
        total += std::max(0.0, share.weight);
    }
    if (route.services.empty())
        addError(findings, entry, "names no service");
    else if (total <= 0)
        addError(findings, entry, "the weights of its services sum to nothing");
}

/// A request's authority is compared without its port, and its path with prefixes that end with a
/// slash.
void checkMatch(const route_rule &route, finding_list &findings)
{
    const std::string entry = quoted("route", route.name);
    if (route.authority.empty())
        addError(findings, entry, "can never match: its authority is empty");
    if (route.authority.find(':') != std::string::npos)
        addError(findings, entry, "can never match: its authority names a port");
    if (!route.pathPrefix.starts_with('/'))
        addError(findings, entry, "can never match: its path prefix does not begin with a slash");
    else if (!route.pathPrefix.ends_with('/'))
        addWarning(findings, entry, "its path prefix does not end with a slash");
}

void checkTimes(const route_rule &route, finding_list &findings)
{
    const std::string entry = quoted("route", route.name);
    if (route.timeout.count() > 0 && route.targetLatency > route.timeout)
        addError(findings, entry,
                 "the latency target of " + toText(route.targetLatency) + " is over the timeout of "
                     + toText(route.timeout));
    if (route.gapTarget.count() > 0 && !route.isStream)
        addWarning(findings, entry, "has a target for gaps between events but is no stream");
    if (route.timeout.count() > 0 && route.gapTarget > route.timeout)
        addError(findings, entry,
                 "the gap target of " + toText(route.gapTarget) + " is over the timeout of "
                     + toText(route.timeout));
    if (route.targetLatency.count() <= 0)
        addWarning(findings, entry,
                   "has no latency target: none of its requests is late or refused");
    if (route.maxAttempts > 1 && !route.isRepeatable && !route.isResumable)
        addWarning(findings, entry,
                   "allows " + std::to_string(route.maxAttempts)
                       + " attempts, but its requests may run only once");
}

/// Of two routes for the same authority and prefix, the first one gets all requests.
void checkHiddenRoutes(const desired_state &desired, finding_list &findings)
{
    std::map<std::pair<std::string, std::string>, const route_rule *> firstByMatch;
    std::set<std::string_view> names;
    for (const route_rule &route : desired.routes) {
        const auto key = std::pair(lowerCase(route.authority), route.pathPrefix);
        const auto [first, isNew] = firstByMatch.try_emplace(key, &route);
        if (!isNew)
            addError(findings, quoted("route", route.name),
                     "can never match: " + quoted("route", first->second->name)
                         + " has the same authority and path prefix");
        if (!names.insert(route.name).second)
            addError(findings, quoted("route", route.name), "its name is declared twice");
    }
}

void checkAutoscale(const std::string &entry, const autoscale_rule &rule, finding_list &findings)
{
    if (rule.minCount > rule.maxCount)
        addError(findings, entry,
                 "at least " + std::to_string(rule.minCount) + " engines are over at most "
                     + std::to_string(rule.maxCount));
    if (rule.maxCount == 0)
        addError(findings, entry, "no engine may be ordered");
    if (rule.interruptiblePrice && *rule.interruptiblePrice >= 1)
        addWarning(findings, entry, "interruptible engines cost no less than others");
    for (const auto &[domain, price] : rule.domainPrices) {
        if (price <= 0)
            addWarning(findings, entry,
                       "engines in " + quoted("failure domain", domain) + " cost nothing");
    }
}

void checkServices(const desired_state &desired, finding_list &findings)
{
    std::set<std::string_view> used;
    for (const route_rule &route : desired.routes) {
        for (const service_share &share : route.services)
            used.insert(share.service);
    }
    for (const auto &[name, service] : desired.services) {
        const std::string entry = quoted("service", name);
        if (!used.contains(name))
            addWarning(findings, entry, "no route sends requests to it");
        if (service.engine && service.engine->slots == 0)
            addError(findings, entry, "its engines have no slots");
        if (service.engine && service.maxConnections > 0
            && service.maxConnections < service.engine->slots)
            addWarning(findings, entry,
                       "its engines take " + std::to_string(service.maxConnections)
                           + " connections for " + std::to_string(service.engine->slots)
                           + " slots");
        if (service.autoscale)
            checkAutoscale(entry, *service.autoscale, findings);
    }
    for (const std::string &overridden : desired.overriddenEntries)
        addError(findings, overridden, "is declared twice; the last one counts");
}

void checkOrganisations(const desired_state &desired, finding_list &findings)
{
    if (!desired.checksKeys)
        return;
    std::set<std::string_view> withKey;
    for (const auto &[key, organisation] : desired.organisationsByKey)
        withKey.insert(organisation.name);
    for (const std::string &name : desired.organisations) {
        if (!withKey.contains(name))
            addWarning(findings, quoted("organisation", name), "has no API key");
    }
    const bool isKeyNeeded = std::any_of(desired.routes.begin(), desired.routes.end(),
                                         [](const route_rule &route) { return route.needsKey; });
    if (withKey.empty() && isKeyNeeded)
        addError(findings, "organisations", "routes need a key, but no organisation has one");
}

void checkLimits(const caller_limits &limits, finding_list &findings)
{
    if (limits.maxHeaderBytes == 0)
        addError(findings, "limits", "no request fits: the largest header has 0 bytes");
    if (limits.headerTimeout.count() <= 0 || limits.idleTimeout.count() <= 0)
        addError(findings, "limits", "a timeout of callers is not above 0 ms");
    else if (limits.headerTimeout > limits.idleTimeout)
        addWarning(findings, "limits",
                   "the time for a header of " + toText(limits.headerTimeout)
                       + " is over the idle timeout of " + toText(limits.idleTimeout));
}

/// The fields of an entry by name, as text, to tell which of them changed.
using field_list = std::map<std::string, std::string>;

template <typename value_type>
std::string numberText(value_type value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

field_list fieldsOf(const route_rule &route)
{
    std::string services;
    for (const service_share &share : route.services)
        services += (services.empty() ? "" : ", ") + share.service + ':' + numberText(share.weight);
    return {{"authority", route.authority},
            {"path prefix", route.pathPrefix},
            {"services", services},
            {"repeatable", yesOrNo(route.isRepeatable)},
            {"stream", yesOrNo(route.isStream)},
            {"resumable", yesOrNo(route.isResumable)},
            {"needs a key", yesOrNo(route.needsKey)},
            {"lists its prompt", yesOrNo(route.hasPrompt)},
            {"priority", numberText(route.priority)},
            {"attempts", numberText(route.maxAttempts)},
            {"timeout", toText(route.timeout)},
            {"latency target", toText(route.targetLatency)},
            {"gap target", toText(route.gapTarget)}};
}

void addAutoscaleFields(const autoscale_rule &rule, field_list &fields)
{
    fields["fewest engines"] = numberText(rule.minCount);
    fields["most engines"] = numberText(rule.maxCount);
    fields["boot time"] = toText(rule.bootTime);
    fields["interruptible price"]
        = rule.interruptiblePrice ? numberText(*rule.interruptiblePrice) : "none";
    for (const auto &[domain, price] : rule.domainPrices)
        fields["price in " + domain] = numberText(price);
}

field_list fieldsOf(const service_rule &service)
{
    field_list fields{{"health path", service.healthPath},
                      {"connections", numberText(service.maxConnections)}};
    if (service.engine) {
        fields["slots"] = numberText(service.engine->slots);
        fields["cache tokens"] = numberText(service.engine->cacheTokens);
        fields["tokens an event"] = numberText(service.engine->tokensPerEvent);
    }
    if (service.autoscale)
        addAutoscaleFields(*service.autoscale, fields);
    return fields;
}

field_list fieldsOf(const caller_limits &limits)
{
    return {{"header bytes", numberText(limits.maxHeaderBytes)},
            {"body bytes", numberText(limits.maxBodyBytes)},
            {"header timeout", toText(limits.headerTimeout)},
            {"idle timeout", toText(limits.idleTimeout)}};
}

std::string changeLine(const std::string &entry, const std::string &field,
                       const std::string &oldText, const std::string &newText)
{
    std::string line = entry;
    line.append(": ").append(field).append(" from ").append(oldText).append(" to ").append(newText);
    return line;
}

void compareFields(const std::string &entry, const field_list &before, const field_list &after,
                   std::vector<std::string> &lines)
{
    field_list all = before;
    all.insert(after.begin(), after.end());
    for (const auto &[name, unused] : all) {
        const auto old = before.find(name);
        const auto now = after.find(name);
        const std::string oldText = old == before.end() ? "none" : old->second;
        const std::string newText = now == after.end() ? "none" : now->second;
        if (oldText != newText)
            lines.push_back(changeLine(entry, name, oldText, newText));
    }
}

using entries_by_name = std::map<std::string, field_list>;

void compareEntries(std::string_view kind, const entries_by_name &before,
                    const entries_by_name &after, std::vector<std::string> &lines)
{
    for (const auto &[name, fields] : before) {
        const auto now = after.find(name);
        if (now == after.end())
            lines.push_back(quoted(kind, name) + ": removed");
        else
            compareFields(quoted(kind, name), fields, now->second, lines);
    }
    for (const auto &[name, fields] : after) {
        if (!before.contains(name))
            lines.push_back(quoted(kind, name) + ": added");
    }
}

entries_by_name routesOf(const desired_state &desired)
{
    entries_by_name entries;
    for (const route_rule &route : desired.routes)
        entries[route.name] = fieldsOf(route);
    return entries;
}

entries_by_name servicesOf(const desired_state &desired)
{
    entries_by_name entries;
    for (const auto &[name, service] : desired.services)
        entries[name] = fieldsOf(service);
    return entries;
}

entries_by_name organisationsOf(const desired_state &desired)
{
    entries_by_name entries;
    for (const std::string &name : desired.organisations)
        entries[name];
    for (const auto &[key, organisation] : desired.organisationsByKey)
        entries[organisation.name] = {{"priority",
                                       organisation.priority ? numberText(*organisation.priority)
                                                             : std::string("the route's")}};
    return entries;
}

using keys_by_organisation = std::map<std::string, std::set<std::string>>;

keys_by_organisation keysOf(const desired_state &desired)
{
    keys_by_organisation keys;
    for (const auto &[key, organisation] : desired.organisationsByKey)
        keys[organisation.name].insert(key);
    return keys;
}

std::size_t countMissing(const std::set<std::string> &keys, const std::set<std::string> &others)
{
    return std::size_t(std::count_if(keys.begin(), keys.end(),
                                     [&others](const auto &key) { return !others.contains(key); }));
}

void compareKeys(const desired_state &inForce, const desired_state &next,
                 std::vector<std::string> &lines)
{
    keys_by_organisation before = keysOf(inForce);
    keys_by_organisation after = keysOf(next);
    for (const auto &[name, unused] : after)
        before.try_emplace(name);
    for (const auto &[name, keys] : before) {
        const std::size_t removed = countMissing(keys, after[name]);
        const std::size_t added = countMissing(after[name], keys);
        if (removed + added > 0)
            lines.push_back(quoted("organisation", name) + ": API keys added: "
                            + std::to_string(added) + ", removed: " + std::to_string(removed));
    }
}

} // namespace

std::vector<desired_finding> checkDesired(const desired_state &desired)
{
    finding_list findings;
    for (const route_rule &route : desired.routes) {
        checkServicesOf(route, desired, findings);
        checkMatch(route, findings);
        checkTimes(route, findings);
    }
    checkHiddenRoutes(desired, findings);
    checkServices(desired, findings);
    checkOrganisations(desired, findings);
    checkLimits(desired.limits, findings);
    return findings;
}

std::vector<std::string> compareDesired(const desired_state &inForce, const desired_state &next)
{
    std::vector<std::string> lines;
    compareEntries("route", routesOf(inForce), routesOf(next), lines);
    compareEntries("service", servicesOf(inForce), servicesOf(next), lines);
    compareEntries("organisation", organisationsOf(inForce), organisationsOf(next), lines);
    compareKeys(inForce, next, lines);
    compareFields("limits", fieldsOf(inForce.limits), fieldsOf(next.limits), lines);
    if (inForce.checksKeys != next.checksKeys)
        lines.push_back(std::string("requests ") + (next.checksKeys ? "now" : "no longer")
                        + " need a key");
    return lines;
}

} // namespace quincefall
