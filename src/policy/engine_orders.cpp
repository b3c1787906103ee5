#include "policy/engine_orders.h"

#include <algorithm>
#include <limits>

namespace quincefall {
namespace {

// The list of engines at the start of a fleet is complete when it no longer grows.
constexpr milliseconds listSettleTime{1'500};
// Beyond the time to boot, until a new engine is listed on this host.
constexpr milliseconds listingDelay{4'000};
constexpr milliseconds minRepeatPause{1'000};
constexpr milliseconds maxRepeatPause{60'000};
constexpr milliseconds stepInterval{2'000}; // Prompts are prefilled again between two steps.
constexpr unsigned stepsToReplace = 4; // A step removes at most this part of a domain's engines.

constexpr std::string_view demandRose = "demand rose";
constexpr std::string_view demandFell = "demand fell";
constexpr std::string_view cheaperKind = "interruptible engines cost less";
constexpr std::string_view cheaperKindServes = "interruptible engines serve instead";
constexpr std::string_view noneAvailable = "interruptible engines are not to be had";
constexpr std::string_view limitReached = "limit of the service";

void delay(kind_order &order, milliseconds shortest, instant now)
{
    order.pause = std::clamp(order.pause * 2, shortest, std::max(shortest, maxRepeatPause));
    order.notBefore = now + order.pause;
    order.isDue = true;
}

void addListed(order_book &book, const std::map<std::string, listed_engines> &listed, instant now)
{
    for (const auto &[domain, engines] : listed)
        book.domains.try_emplace(domain);
    for (auto &[domain, orders] : book.domains) {
        const auto found = listed.find(domain);
        const listed_engines engines = found == listed.end() ? listed_engines() : found->second;
        if (engines.serving != orders.listed.serving)
            book.listChangedAt = now;
        orders.listed = engines;
    }
}

/// Opens the book once the list of engines is complete.
void openWhenSettled(order_book &book, instant now)
{
    const bool isAnyListed
        = std::any_of(book.domains.begin(), book.domains.end(),
                      [](const auto &row) { return row.second.listed.serving.total() > 0; });
    if (!isAnyListed || now - book.listChangedAt < listSettleTime)
        return;
    book.isOpen = true;
    for (auto &[domain, orders] : book.domains) {
        const engine_counts serving = orders.listed.serving;
        const bool isAdopted = orders.ordinary.isOrdered || orders.interruptible.isOrdered;
        if (!orders.ordinary.isOrdered)
            orders.ordinary.count = serving.ordinary;
        if (!orders.interruptible.isOrdered)
            orders.interruptible.count = serving.interruptible;
        // Both kinds are ordered while one replaces the other.
        orders.floor = isAdopted ? std::max(orders.ordinary.count, orders.interruptible.count + 1)
                                 : serving.total();
    }
}

/// Makes an accepted order due again if the list doesn't show what was ordered in time. True if
/// engines are missing.
bool checkMet(kind_order &order, unsigned serving, milliseconds bootTime, instant now)
{
    if (!order.isOrdered || order.isDue || order.isBeingSent)
        return false;
    if (serving == order.count) {
        order.pause = milliseconds(0);
        return false;
    }
    const milliseconds patience = std::max(bootTime + listingDelay, order.pause);
    if (now - order.acceptedAt < patience)
        return false;
    delay(order, minRepeatPause, now);
    order.notBefore = now;
    return serving < order.count;
}

void updateSupply(domain_orders &orders, const autoscale_rule &rule, instant now)
{
    kind_order &order = orders.interruptible;
    const unsigned serving = orders.listed.serving.interruptible;
    const bool isMissing = checkMet(order, serving, rule.bootTime, now);
    // A step removes fewer than are left.
    const bool isTaken = orders.listed.interruptibleLeaving > serving && serving < order.count;
    if (isTaken && !orders.lacksInterruptible)
        delay(order, rule.bootTime, now);
    if (isTaken || isMissing)
        orders.lacksInterruptible = true;
    else if (serving >= order.count && !order.isDue)
        orders.lacksInterruptible = false;
}

std::map<std::string, domain_target> targetsOf(const order_book &book, const autoscale_rule &rule,
                                               const engine_demand &demand, instant now)
{
    const bool isNeedKnown = hasSeenWave(demand, now);
    std::map<std::string, domain_need> needs;
    for (const auto &[domain, orders] : book.domains) {
        domain_need &need = needs[domain];
        need.engines = enginesNeeded(demand, domain);
        need.floor = isNeedKnown ? 0 : orders.floor;
        need.serving = orders.listed.serving;
        need.lacksInterruptible = orders.lacksInterruptible;
    }
    return targetEngines(rule, needs);
}

/// Number by which the orders of a domain may be lowered now.
unsigned allowedStep(const domain_orders &orders, bool hasWork, instant now)
{
    if (!hasWork)
        return std::numeric_limits<unsigned>::max(); // There are no cached prompts to lose.
    if (orders.loweredAt != instant::min() && now - orders.loweredAt < stepInterval)
        return 0;
    return std::max(1U, orders.listed.serving.total() / stepsToReplace);
}

unsigned lowered(unsigned count, unsigned step, unsigned lowest)
{
    const unsigned after = count > step ? count - step : 0;
    return std::min(count, std::max(after, lowest));
}

unsigned missingWith(unsigned wanted, unsigned serving)
{
    return wanted > serving ? wanted - serving : 0;
}

order_change nextOrdinary(const domain_orders &orders, const domain_target &target, unsigned step,
                          const autoscale_rule &rule)
{
    order_change change;
    change.from = orders.ordinary.count;
    if (target.orders.ordinary >= change.from) {
        change.to = target.orders.ordinary;
        change.reason = orders.lacksInterruptible ? noneAvailable : demandRose;
        return change;
    }
    const engine_counts &serving = orders.listed.serving;
    unsigned lowest
        = std::max(target.orders.ordinary, missingWith(target.engines, serving.interruptible));
    // Without room within the limits, one has to go before another one of the other kind comes.
    const bool isFull = change.from + orders.interruptible.count >= rule.maxCount
        && serving.interruptible == orders.interruptible.count && !orders.lacksInterruptible;
    if (isFull && orders.interruptible.count < target.orders.interruptible)
        lowest = std::min(lowest, change.from - 1);
    change.to = lowered(change.from, step, lowest);
    change.reason = serving.interruptible > 0 ? cheaperKindServes : demandFell;
    return change;
}

order_change nextInterruptible(const domain_orders &orders, const domain_target &target,
                               unsigned ordinary, unsigned step, const autoscale_rule &rule)
{
    order_change change;
    change.isInterruptible = true;
    change.from = orders.interruptible.count;
    // The platform may still count the ordinary engines that were ordered before.
    const unsigned room = rule.maxCount - std::min(rule.maxCount, ordinary);
    const unsigned wanted = std::min(target.orders.interruptible, room);
    if (wanted >= change.from) {
        change.to = wanted;
        change.reason = orders.interruptible.isOrdered ? demandRose : cheaperKind;
        return change;
    }
    if (change.from > room) {
        change.to = room;
        change.reason = limitReached;
        return change;
    }
    const unsigned lowest
        = std::max(wanted, missingWith(target.engines, orders.listed.serving.ordinary));
    change.to = lowered(change.from, step, lowest);
    change.reason = demandFell;
    return change;
}

void applyChange(domain_orders &orders, const order_change &change, instant now)
{
    kind_order &order = change.isInterruptible ? orders.interruptible : orders.ordinary;
    order.count = change.to;
    order.isOrdered = true;
    order.isDue = true;
    // Engines that are not to be had are asked for at their intervals only.
    if (!change.isInterruptible || !orders.lacksInterruptible)
        order.notBefore = now;
    if (change.to < change.from)
        orders.loweredAt = now;
}

} // namespace

kind_order &orderOf(order_book &book, const std::string &domain, bool isInterruptible)
{
    domain_orders &orders = book.domains[domain];
    return isInterruptible ? orders.interruptible : orders.ordinary;
}

void adoptOrder(order_book &book, const due_order &order, instant now)
{
    kind_order &own = orderOf(book, order.domain, order.isInterruptible);
    own.count = order.count;
    own.isOrdered = true;
    own.isDue = true;
    own.notBefore = now;
}

void recordListed(order_book &book, const std::map<std::string, listed_engines> &listed,
                  const autoscale_rule &rule, instant now)
{
    addListed(book, listed, now);
    if (!book.isOpen)
        openWhenSettled(book, now);
    if (!book.isOpen)
        return;
    for (auto &[domain, orders] : book.domains) {
        checkMet(orders.ordinary, orders.listed.serving.ordinary, rule.bootTime, now);
        updateSupply(orders, rule, now);
    }
}

std::vector<order_change> changeOrders(order_book &book, const autoscale_rule &rule,
                                       const engine_demand &demand, instant now)
{
    std::vector<order_change> changes;
    if (!book.isOpen)
        return changes;
    const auto targets = targetsOf(book, rule, demand, now);
    for (auto &[domain, orders] : book.domains) {
        const domain_target &target = targets.at(domain);
        const unsigned step = allowedStep(orders, hasSeenWork(demand), now);
        const order_change ordinary = nextOrdinary(orders, target, step, rule);
        const order_change interruptible
            = nextInterruptible(orders, target, std::max(ordinary.from, ordinary.to), step, rule);
        for (order_change change : {ordinary, interruptible}) {
            if (change.to == change.from)
                continue;
            change.domain = domain;
            applyChange(orders, change, now);
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

std::vector<due_order> dueOrders(const order_book &book, instant now)
{
    std::vector<due_order> due;
    const auto add = [&](const std::string &domain, const kind_order &order, bool isInterruptible) {
        if (order.isDue && !order.isBeingSent && order.notBefore <= now)
            due.push_back({domain, isInterruptible, order.count});
    };
    for (const auto &[domain, orders] : book.domains) {
        add(domain, orders.ordinary, false);
        add(domain, orders.interruptible, true);
    }
    return due;
}

void recordSending(order_book &book, const due_order &order)
{
    orderOf(book, order.domain, order.isInterruptible).isBeingSent = true;
}

void recordSent(order_book &book, const due_order &order, order_outcome outcome,
                const autoscale_rule &rule, instant now)
{
    kind_order &sent = orderOf(book, order.domain, order.isInterruptible);
    sent.isBeingSent = false;
    switch (outcome) {
    case order_outcome::accepted:
        sent.acceptedAt = now;
        sent.isDue = sent.count != order.count;
        return;
    case order_outcome::unavailable:
        if (order.isInterruptible)
            book.domains[order.domain].lacksInterruptible = true;
        delay(sent, rule.bootTime, now);
        return;
    case order_outcome::unknown:
    case order_outcome::notSent:
        delay(sent, minRepeatPause, now);
        return;
    }
}

} // namespace quincefall
