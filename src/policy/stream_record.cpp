#include "policy/stream_record.h"

#include <algorithm>

namespace quincefall {
namespace {

const stored_versions *findVersions(const stream_record &record, const std::string &service)
{
    const auto found = std::find_if(record.versions.begin(), record.versions.end(),
                                    [&service](const auto &row) { return row.service == service; });
    return found == record.versions.end() ? nullptr : &*found;
}

} // namespace

std::vector<stored_versions> versionsToStore(const std::map<std::string, version_history> &services,
                                             instant now)
{
    std::vector<stored_versions> stored;
    for (const auto &[service, history] : services) {
        if (history.listed.size() < 2 && !history.hasSeenOthers)
            continue;
        const microseconds unchanged
            = history.aloneSince == instant::min() ? microseconds(0) : now - history.aloneSince;
        stored.push_back({service, history.listed, history.hasSeenOthers, unchanged});
    }
    return stored;
}

void restoreVersions(version_history &history, const std::string &service,
                     std::span<const stream_record> records, microseconds window, instant now)
{
    const stream_record *newest = nullptr;
    for (const stream_record &record : records) {
        const bool isNewer = !newest || record.age < newest->age;
        if (isNewer && findVersions(record, service))
            newest = &record;
    }
    if (!newest)
        return;
    const stored_versions &last = *findVersions(*newest, service);
    if (history.listed.empty())
        history.listed = last.listed;
    if (last.hasSeenOthers) {
        history.hasSeenOthers = true;
        history.aloneSince = std::max(history.aloneSince, now - (newest->age + last.unchangedFor));
    }
    for (const stream_record &record : records) {
        const stored_versions *seen = findVersions(record, service);
        if (!seen || (&record != newest && record.age > window))
            continue;
        // When a version has left that is not listed any more, nobody knows.
        for (const std::string &version : seen->listed)
            noteListed(history, version, now);
    }
}

bool mayLackRecords(std::span<const stream_record> records, std::uint64_t storeEpoch)
{
    return !records.empty()
        && std::all_of(records.begin(), records.end(), [storeEpoch](const stream_record &record) {
               return record.storeEpoch > 0 && record.storeEpoch < storeEpoch;
           });
}

} // namespace quincefall
