#pragma once

#include "policy/engine_demand.h"
#include "policy/engine_targets.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// The order of one kind of engines in one failure domain.
struct kind_order
{
    unsigned count = 0; ///< Ordered, or listed before the first order.
    bool isOrdered = false; ///< A host of the fleet has ordered this kind.
    bool isDue = false; ///< It has to be sent (again).
    bool isBeingSent = false;
    instant notBefore = instant::min(); ///< Of the next attempt to send it.
    milliseconds pause{0}; ///< Before the newest attempt; 0 after an order that was met.
    instant acceptedAt = instant::min();
};

/// Engines that the platform lists for one failure domain.
struct listed_engines
{
    engine_counts serving;
    unsigned interruptibleLeaving = 0;
};

/// Orders and engines of one failure domain.
struct domain_orders
{
    kind_order ordinary;
    kind_order interruptible;
    listed_engines listed;
    unsigned floor = 0; ///< Engines that it had at first.
    bool lacksInterruptible = false; ///< None are to be had, or they were taken away.
    instant loweredAt = instant::min();
};

/// Orders of engines for one service, by failure domain.
struct order_book
{
    std::map<std::string, domain_orders> domains;
    instant listChangedAt = instant::min(); ///< Last change of the number of engines listed.
    bool isOpen = false; ///< The engines at first are known, so that orders can be made.
};

/// A change of an order, for the log.
struct order_change
{
    std::string domain;
    bool isInterruptible = false;
    unsigned from = 0;
    unsigned to = 0;
    std::string_view reason;
};

/// An order to be sent.
struct due_order
{
    std::string domain;
    bool isInterruptible = false;
    unsigned count = 0;
};

/// What became of an order that was sent.
enum class order_outcome {
    accepted,
    unavailable, ///< There are no such engines at the moment.
    unknown, ///< No answer; it may be carried out later.
    notSent,
};

/// Takes over an order of the previous holder. It is sent once more, since the previous holder may
/// have stopped before it sent it.
void adoptOrder(order_book &book, const due_order &order, instant now);

/// Records the engines that the platform lists, by failure domain.
///
/// Answers engines that are taken away a domain at a time, and orders that are accepted but never
/// met: the order is due again, at growing intervals, and other engines are ordered meanwhile.
void recordListed(order_book &book, const std::map<std::string, listed_engines> &listed,
                  const autoscale_rule &rule, instant now);

/// Changes the orders towards targetEngines() and returns the changes.
///
/// More engines are ordered at once. Engines are removed in steps, and only as far as the others
/// that already serve are enough: each one that is removed takes its cached prompts with it, and
/// all at once would make a burst of prompts to be prefilled again.
std::vector<order_change> changeOrders(order_book &book, const autoscale_rule &rule,
                                       const engine_demand &demand, instant now);

/// Orders to be sent now.
std::vector<due_order> dueOrders(const order_book &book, instant now);

void recordSending(order_book &book, const due_order &order);
void recordSent(order_book &book, const due_order &order, order_outcome outcome,
                const autoscale_rule &rule, instant now);

/// The order of one kind in one failure domain.
kind_order &orderOf(order_book &book, const std::string &domain, bool isInterruptible);

} // namespace quincefall
