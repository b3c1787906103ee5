#include "route/usage_codec.h"

namespace quincefall {
namespace {

constexpr std::size_t maxMessageBytes = 8'000;
constexpr std::size_t maxOrganisationsPerRow = 100;

void writeCounts(wire::UsageCounts &row, const usage_source &source, std::int64_t window,
                 const usage_counts &counts)
{
    row.set_host(toString(source.host));
    row.set_started_ms(source.started);
    row.set_window(window);
    for (const auto &[organisation, count] : counts)
        (*row.mutable_counts())[organisation] = count;
}

/// Several rows of one window are merged like copies, so counts may be spread over messages.
std::vector<usage_counts> split(const usage_counts &counts)
{
    std::vector<usage_counts> parts;
    for (const auto &entry : counts) {
        if (parts.empty() || parts.back().size() == maxOrganisationsPerRow)
            parts.emplace_back();
        parts.back().insert(entry);
    }
    return parts;
}

} // namespace

std::vector<std::string> encodeUsage(const usage_ledger &ledger, const usage_source &source,
                                     const std::set<std::int64_t> &windows)
{
    std::vector<std::string> messages;
    wire::LoadHint message;
    const auto finish = [&messages, &message] {
        if (message.usage_size() > 0)
            messages.push_back(message.SerializeAsString());
        message.Clear();
    };
    for (const std::int64_t window : windows) {
        const auto sources = ledger.windows.find(window);
        if (sources == ledger.windows.end() || !sources->second.contains(source))
            continue;
        for (const usage_counts &part : split(sources->second.at(source))) {
            wire::UsageCounts row;
            writeCounts(row, source, window, part);
            if (message.ByteSizeLong() + row.ByteSizeLong() > maxMessageBytes)
                finish();
            *message.add_usage() = std::move(row);
        }
    }
    finish();
    return messages;
}

std::string encodeReports(const usage_ledger &ledger, const std::set<std::int64_t> &windows)
{
    wire::LoadHint message;
    for (const std::int64_t window : windows) {
        const auto found = ledger.reports.find(window);
        if (found == ledger.reports.end())
            continue;
        wire::UsageReport &row = *message.add_usage_reports();
        row.set_window(window);
        row.mutable_counts()->insert(found->second.begin(), found->second.end());
    }
    return message.SerializeAsString();
}

std::set<std::int64_t>
mergeReports(usage_ledger &ledger,
             const google::protobuf::RepeatedPtrField<wire::UsageReport> &rows, std::int64_t first,
             std::int64_t last)
{
    std::set<std::int64_t> added;
    for (const wire::UsageReport &row : rows) {
        const usage_counts counts(row.counts().begin(), row.counts().end());
        const bool isKept = row.window() >= first && row.window() <= last;
        if (isKept && recordReport(ledger, row.window(), counts))
            added.insert(row.window());
    }
    return added;
}

bool mergeUsage(usage_ledger &ledger,
                const google::protobuf::RepeatedPtrField<wire::UsageCounts> &rows,
                std::int64_t first)
{
    bool hasChanged = false;
    for (const wire::UsageCounts &row : rows) {
        const auto host = parseAddress(row.host());
        if (!host || row.window() < first)
            continue;
        const usage_counts counts(row.counts().begin(), row.counts().end());
        const bool isNew = mergeCounts(ledger, row.window(), {*host, row.started_ms()}, counts);
        hasChanged = hasChanged || isNew;
    }
    return hasChanged;
}

void storeOpenUsage(wire::DutyRecord &record, const usage_ledger &ledger, std::int64_t first)
{
    record.clear_open_usage();
    for (auto row = ledger.windows.lower_bound(first); row != ledger.windows.end(); ++row) {
        for (const auto &[source, counts] : row->second)
            writeCounts(*record.add_open_usage(), source, row->first, counts);
    }
}

} // namespace quincefall
