#include "route/stream_record_codec.h"

#include "kernel/elapsed_time.h"
#include "peer.pb.h"

#include <algorithm>
#include <limits>
#include <map>

namespace quincefall {
namespace {

std::uint32_t toMessageAge(microseconds age)
{
    constexpr std::int64_t largest = std::numeric_limits<std::uint32_t>::max();
    const auto count = std::chrono::ceil<milliseconds>(age).count();
    return std::uint32_t(std::clamp<std::int64_t>(count, 0, largest));
}

} // namespace

std::string encodeStreamRecord(const stream_record &record, wall_milliseconds now)
{
    wire::StreamRecord message;
    message.set_written_ms(now);
    message.set_store_epoch(record.storeEpoch);
    std::map<upstream_kind, wire::StoredStreams *> rows;
    for (const stored_stream &one : record.streams) {
        wire::StoredStreams *&row = rows[one.kind];
        if (!row) {
            row = message.add_streams();
            row->set_service(one.kind.service);
            row->set_software_version(one.kind.version);
        }
        row->add_streams(one.stream);
        row->add_age_ms(toMessageAge(one.age));
    }
    for (const stored_versions &one : record.versions) {
        wire::StoredVersions *row = message.add_versions();
        row->set_service(one.service);
        for (const std::string &version : one.listed)
            row->add_listed(version);
        row->set_seen_others(one.hasSeenOthers);
        row->set_unchanged_ms(toMessageAge(one.unchangedFor));
    }
    return message.SerializeAsString();
}

std::optional<stream_record> decodeStreamRecord(std::string_view bytes, wall_milliseconds now)
{
    wire::StreamRecord message;
    if (!message.ParseFromArray(bytes.data(), int(bytes.size())) || message.written_ms() <= 0)
        return std::nullopt;
    stream_record record;
    record.age = elapsed(message.written_ms(), now);
    record.storeEpoch = message.store_epoch();
    for (const wire::StoredStreams &row : message.streams()) {
        if (row.service().empty() || row.streams_size() != row.age_ms_size())
            return std::nullopt;
        for (int index = 0; index < row.streams_size(); ++index)
            record.streams.push_back({row.streams(index),
                                      {row.service(), row.software_version()},
                                      milliseconds(row.age_ms(index))});
    }
    for (const wire::StoredVersions &row : message.versions())
        record.versions.push_back({row.service(),
                                   {row.listed().begin(), row.listed().end()},
                                   row.seen_others(),
                                   milliseconds(row.unchanged_ms())});
    return record;
}

} // namespace quincefall
