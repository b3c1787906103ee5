#pragma once

#include "policy/pool_types.h"
#include "policy/upstream_health.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <utility>

namespace quincefall {

/// An attempt that holds a place on an upstream.
struct attempt_record
{
    work_item item;
    instant started;
    double chargedTokens = 0; ///< Charged to the organisation at the start.
};

/// What the scheduler knows of one upstream.
struct upstream_record
{
    upstream_info info;
    std::map<std::uint64_t, attempt_record> running; ///< By permit.
    std::uint32_t reportedSlots = 0; ///< Zero until the first load report.
    double foreign = 0; ///< Work of others, from the last report.
    upstream_health health;
    std::deque<std::pair<instant, std::uint32_t>> history; ///< Past sizes of `running`.
    double rank = 0; ///< Its place in the table's order.
    bool withheld = false; ///< Gets probes only.
    double countedCapacity = 0; ///< Its part of the table's `capacity`.
    bool countedSlow = false; ///< Part of the table's `slowCount`.
    bool isAvailable = false; ///< Stands in the table's order.
};

/// The upstreams of a pool; those with a free place are ordered by load within their region.
struct upstream_table
{
    using ordered_names = std::set<std::pair<double, std::string>>;

    std::map<std::string, upstream_record, std::less<>> records;
    std::map<std::string, ordered_names, std::less<>> available;
    std::set<std::string, std::less<>> withheld; ///< Failing and slow ones with a free place.
    std::size_t availableCount = 0;
    std::size_t slowCount = 0;
    double capacity = 0; ///< Slots of all upstreams that take new work.
    typical_rate typicalRate;
};

/// Declared or reported slots; 1 while the upstream gets probes only.
double capacity(const upstream_record &record);

/// Replaces the listed upstreams. One that is gone keeps its running attempts, and takes no new
/// work, until they end.
void setUpstreams(upstream_table &table, const std::vector<upstream_info> &listed);

/// Puts the record in its place after a change of its load.
void refresh(upstream_table &table, upstream_record &record);

/// Counts an attempt. False when the permit is in use there already.
bool addAttempt(upstream_table &table, upstream_record &record, std::uint64_t permit,
                attempt_record attempt, instant now);

/// Ends an attempt; empty when it is unknown.
std::optional<attempt_record> removeAttempt(upstream_table &table, upstream_record &record,
                                            std::uint64_t permit, instant now);

/// Takes in a load report: what it says beyond our own work in flight at its time is foreign.
void applyReport(upstream_table &table, const load_report &report, instant now);

/// Whether any upstream may take a request now.
bool hasFreeSlot(const upstream_table &table);

/// Whether @p record may serve @p item at all, its load aside.
bool canServe(const upstream_record &record, const work_item &item);

/// A failing or slow upstream that was due for a probe @p overdue ago and may serve @p item, or
/// null.
const upstream_record *dueProbe(const upstream_table &table, const work_item &item,
                                microseconds overdue, instant now);

/// The least loaded upstream with a free place in @p region that may serve @p item, or null.
const upstream_record *leastLoadedIn(const upstream_table &table, std::string_view region,
                                     const work_item &item);

/// The less loaded of two upstreams with a free place in @p region, drawn at random, or null. Keeps
/// several schedulers that see the same lagging reports from all choosing the same upstream.
const upstream_record *lessLoadedOfTwoIn(const upstream_table &table, std::string_view region,
                                         const work_item &item, std::mt19937_64 &random);

} // namespace quincefall
