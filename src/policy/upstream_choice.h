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

/// An attempt that occupies a slot of an upstream.
struct attempt_record
{
    work_item item;
    instant started;
    double chargedTokens = 0; ///< Charged to the organisation at the start.
};

/// Scheduling state of one upstream.
struct upstream_record
{
    upstream_info info;
    std::map<std::uint64_t, attempt_record> running; ///< By permit.
    std::uint32_t reportedSlots = 0; ///< Zero until the first load report.
    double remoteLoad = 0; ///< Requests of others, from the last load report.
    upstream_health health;
    std::deque<std::pair<instant, std::uint32_t>> inFlightHistory; ///< Past sizes of `running`.
    double rank = 0; ///< Load per slot; orders the table's `available`.
    bool withheld = false; ///< Failing or slow; gets probes only.
    double countedCapacity = 0; ///< Its contribution to the table's `capacity`.
    bool countedSlow = false; ///< Included in the table's `slowCount`.
    bool isAvailable = false; ///< Included in the table's `available`.
};

/// The upstreams of a pool. Those with a free slot are ordered by load per slot within their
/// region.
struct upstream_table
{
    using ordered_names = std::set<std::pair<double, std::string>>;

    std::map<std::string, upstream_record, std::less<>> records;
    std::map<std::string, ordered_names, std::less<>> available; ///< By region.
    std::set<std::string, std::less<>> withheld; ///< Failing and slow ones that may be probed.
    std::size_t availableCount = 0;
    std::size_t slowCount = 0;
    double capacity = 0; ///< Slots of all upstreams that take new work.
    typical_rate typicalRate;
};

/// Slots that the upstream reported or else declared; 1 while it gets probes only.
double capacity(const upstream_record &record);

/// Replaces the listed upstreams. One that is no longer listed takes no new work and stays in the
/// table while it has running attempts.
void setUpstreams(upstream_table &table, const std::vector<upstream_info> &listed);

/// Updates the table's order and sums after a change of the record's load or health.
void refresh(upstream_table &table, upstream_record &record);

/// Adds a running attempt. False when the upstream already has one with this permit.
bool addAttempt(upstream_table &table, upstream_record &record, std::uint64_t permit,
                attempt_record attempt, instant now);

/// Removes an attempt and returns it; empty when it is unknown.
std::optional<attempt_record> removeAttempt(upstream_table &table, upstream_record &record,
                                            std::uint64_t permit, instant now);

/// Applies a load report. Requests beyond this scheduler's own attempts at the time of the report
/// are counted as remote load.
void applyReport(upstream_table &table, const load_report &report, instant now);

/// Whether any upstream has a free slot or may be probed.
bool hasFreeSlot(const upstream_table &table);

/// Whether @p record can serve @p item, regardless of its load.
bool canServe(const upstream_record &record, const work_item &item);

/// A failing or slow upstream that can serve @p item and whose probe has been due for @p overdue,
/// or null.
const upstream_record *dueProbe(const upstream_table &table, const work_item &item,
                                microseconds overdue, instant now);

/// The least loaded upstream with a free slot in @p region that can serve @p item, or null.
const upstream_record *leastLoadedIn(const upstream_table &table, std::string_view region,
                                     const work_item &item);

/// The less loaded of two random upstreams with a free slot in @p region that can serve @p item, or
/// null. Keeps several schedulers that see the same outdated load reports from all choosing the
/// same upstream.
const upstream_record *lessLoadedOfTwoIn(const upstream_table &table, std::string_view region,
                                         const work_item &item, std::mt19937_64 &random);

} // namespace quincefall
