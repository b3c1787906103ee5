#include "policy/upstream_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

constexpr seconds inFlightHistorySpan{8};

template <typename container>
bool contains(const container &values, std::string_view value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

double load(const upstream_record &record)
{
    return static_cast<double>(record.running.size()) + record.remoteLoad;
}

/// Whether the upstream gets probes only. Slow upstreams are withheld only while they are a
/// minority; otherwise it is the typical rate that has changed.
bool isWithheld(const upstream_table &table, const upstream_record &record)
{
    using condition = upstream_health::condition;
    if (record.health.state == condition::slow)
        return (table.slowCount + 1) * 2 <= table.records.size();
    return record.health.state == condition::failing;
}

void removeFromIndexes(upstream_table &table, upstream_record &record)
{
    table.capacity -= std::exchange(record.countedCapacity, 0);
    table.slowCount -= record.countedSlow ? 1 : 0;
    record.countedSlow = false;
    table.withheld.erase(record.info.name);
    record.withheld = false;
    if (!record.isAvailable)
        return;
    table.available[record.info.region].erase({record.rank, record.info.name});
    record.isAvailable = false;
    --table.availableCount;
}

void indexWithheld(upstream_table &table, upstream_record &record)
{
    record.countedSlow = record.health.state == upstream_health::condition::slow;
    table.slowCount += record.countedSlow ? 1 : 0;
    if (!record.info.leaving && record.running.empty())
        table.withheld.insert(record.info.name);
}

void recordInFlight(upstream_record &record, instant now)
{
    while (record.inFlightHistory.size() > 1
           && record.inFlightHistory[1].first < now - inFlightHistorySpan)
        record.inFlightHistory.pop_front();
    record.inFlightHistory.emplace_back(now, static_cast<std::uint32_t>(record.running.size()));
}

std::uint32_t inFlightAt(const upstream_record &record, instant then)
{
    std::uint32_t count = 0;
    for (const auto &[time, size] : record.inFlightHistory) {
        if (time > then)
            break;
        count = size;
    }
    return count;
}

} // namespace

double capacity(const upstream_record &record)
{
    if (record.withheld)
        return 1;
    const std::uint32_t slots = record.reportedSlots > 0 ? record.reportedSlots : record.info.slots;
    return std::max(1U, slots);
}

void setUpstreams(upstream_table &table, const std::vector<upstream_info> &listed)
{
    std::set<std::string_view> names;
    for (const upstream_info &info : listed) {
        upstream_record &record = table.records[info.name];
        removeFromIndexes(table, record);
        record.info = info;
        refresh(table, record);
        names.insert(info.name);
    }
    for (auto entry = table.records.begin(); entry != table.records.end();) {
        upstream_record &record = entry->second;
        if (names.contains(entry->first)) {
            ++entry;
            continue;
        }
        removeFromIndexes(table, record);
        record.info.leaving = true;
        entry = record.running.empty() ? table.records.erase(entry) : std::next(entry);
    }
}

void refresh(upstream_table &table, upstream_record &record)
{
    removeFromIndexes(table, record);
    record.withheld = isWithheld(table, record);
    record.countedCapacity = record.info.leaving ? 0 : capacity(record);
    table.capacity += record.countedCapacity;
    if (record.withheld) {
        indexWithheld(table, record);
        return;
    }
    const double slots = capacity(record);
    if (record.info.leaving || load(record) >= slots)
        return;
    record.rank = load(record) / slots;
    record.isAvailable = true;
    ++table.availableCount;
    table.available[record.info.region].emplace(record.rank, record.info.name);
}

bool addAttempt(upstream_table &table, upstream_record &record, std::uint64_t permit,
                attempt_record attempt, instant now)
{
    if (!record.running.emplace(permit, std::move(attempt)).second)
        return false;
    recordInFlight(record, now);
    refresh(table, record);
    return true;
}

std::optional<attempt_record> removeAttempt(upstream_table &table, upstream_record &record,
                                            std::uint64_t permit, instant now)
{
    auto node = record.running.extract(permit);
    if (node.empty())
        return std::nullopt;
    recordInFlight(record, now);
    refresh(table, record);
    return std::move(node.mapped());
}

void applyReport(upstream_table &table, const load_report &report, instant now)
{
    const auto found = table.records.find(report.upstream);
    if (found == table.records.end())
        return;
    upstream_record &record = found->second;
    const double reported = report.running + report.waiting;
    const double own = inFlightAt(record, now - report.age);
    record.remoteLoad = std::max(0.0, reported - own);
    record.reportedSlots = report.slots;
    refresh(table, record);
}

bool hasFreeSlot(const upstream_table &table)
{
    return table.availableCount > 0 || !table.withheld.empty();
}

bool canServe(const upstream_record &record, const work_item &item)
{
    if (record.info.leaving || contains(item.excluded, record.info.name))
        return false;
    return item.model.empty() || record.info.models.empty()
        || contains(record.info.models, item.model);
}

const upstream_record *dueProbe(const upstream_table &table, const work_item &item,
                                microseconds overdue, instant now)
{
    for (const std::string &name : table.withheld) {
        const upstream_record &record = table.records.find(name)->second;
        if (record.health.probeFrom + overdue <= now && canServe(record, item))
            return &record;
    }
    return nullptr;
}

const upstream_record *leastLoadedIn(const upstream_table &table, std::string_view region,
                                     const work_item &item)
{
    const auto available = table.available.find(region);
    if (available == table.available.end())
        return nullptr;
    for (const auto &[rank, name] : available->second) {
        const upstream_record &record = table.records.find(name)->second;
        if (canServe(record, item))
            return &record;
    }
    return nullptr;
}

const upstream_record *lessLoadedOfTwoIn(const upstream_table &table, std::string_view region,
                                         const work_item &item, std::mt19937_64 &random)
{
    const auto available = table.available.find(region);
    if (available == table.available.end())
        return nullptr;
    std::vector<const upstream_record *> candidates;
    for (const auto &[rank, name] : available->second) {
        const upstream_record &record = table.records.find(name)->second;
        if (canServe(record, item))
            candidates.push_back(&record);
    }
    if (candidates.empty())
        return nullptr;
    const upstream_record *first = candidates[random() % candidates.size()];
    const upstream_record *second = candidates[random() % candidates.size()];
    return first->rank <= second->rank ? first : second;
}

} // namespace quincefall
