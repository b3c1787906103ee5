#include "route/stream_archive.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/software_versions.h"
#include "route/stream_record_codec.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds writeInterval{500};
constexpr milliseconds readInterval{500}; // Between the begins of two reads.
constexpr milliseconds readTimeout{500};
constexpr std::size_t maxStored = 4'096; // Streams of one record; about 50 kB.

/// Stored versions without the time since the last change, which grows with each record.
bool haveSameVersions(const std::vector<stored_versions> &left,
                      const std::vector<stored_versions> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const stored_versions &one, const stored_versions &other) {
                          return one.service == other.service && one.listed == other.listed
                              && one.hasSeenOthers == other.hasSeenOthers;
                      });
}

} // namespace

struct stream_archive::state : std::enable_shared_from_this<stream_archive::state>
{
    state(asio::io_context &io, routing_state &target, state_source reader, const host_address &own,
          clock_source clocks)
        : context(io)
        , routing(target)
        , source(std::move(reader))
        , self(own)
        , clock(std::move(clocks))
        , stopped(io.get_executor())
        , readEnded(io.get_executor())
    {
    }

    struct begun_stream
    {
        upstream_kind kind;
        instant begunAt;
    };

    asio::io_context &context;
    routing_state &routing;
    state_source source;
    host_address self;
    clock_source clock;
    async_signal stopped;
    async_signal readEnded;
    std::function<bool()> writesVersions;
    std::unordered_map<std::uint64_t, begun_stream> streams; ///< Of this host's record.
    bool hasUnwritten = false; ///< Some were added since it was written.
    std::vector<stored_versions> writtenVersions;
    std::uint64_t writtenEpoch = 0;
    bool isReading = false;
    bool isReadAnswered = false; ///< The last read was.
    instant readAt = instant::min(); ///< Begin of the last read.
    bool isStopped = false;

    /// For how long streams are kept and versions matter. Timeouts may have been longer before this
    /// host started.
    microseconds memory() const
    {
        const microseconds longest = routing.desired
            ? longestStream(routing.moves, *routing.desired, clock.now())
            : microseconds(0);
        return std::max<microseconds>(longest, longestWithoutTimeout);
    }

    void forgetOld()
    {
        if (!routing.desired)
            return;
        const instant from
            = clock.now() - longestStream(routing.moves, *routing.desired, clock.now());
        std::erase_if(streams, [from](const auto &row) { return row.second.begunAt < from; });
    }

    void restore(const std::vector<stored_record> &found)
    {
        std::vector<stream_record> records;
        for (const stored_record &one : found) {
            auto record = decodeStreamRecord(one.value, clock.wall());
            if (!record)
                continue; // Not a record of this program.
            for (const stored_stream &stream : record->streams)
                restoreStream(stream, record->age, one.key == toString(self));
            records.push_back(std::move(*record));
        }
        if (!routing.hasReadStreams)
            restoreHistory(records);
    }

    /// Versions that this host has not seen itself, since it started later.
    void restoreHistory(const std::vector<stream_record> &records)
    {
        std::set<std::string> services;
        for (const stream_record &record : records) {
            for (const stored_versions &versions : record.versions)
                services.insert(versions.service);
        }
        for (const std::string &service : services)
            restoreVersions(routing.pools[service].versions, service, records,
                            memory() + maxHostLag, clock.now());
        if (mayLackRecords(records, routing.storeEpoch))
            routing.membership.missedAt = clock.now();
        logInfo("stream records read",
                {{"records", std::to_string(records.size())},
                 {"services", std::to_string(services.size())},
                 {"own_streams", std::to_string(streams.size())}});
    }

    void restoreStream(const stored_stream &stored, microseconds recordAge, bool isOwn)
    {
        const microseconds age = stored.age + recordAge;
        if (age > memory())
            return;
        const instant begunAt = clock.now() - age;
        recordOrigin(routing.streams, stored.stream,
                     {stored.kind.service, stored.kind.version, begunAt, false});
        // The record of this host's former process is replaced by the next one.
        if (isOwn && streams.size() < maxStored)
            streams.try_emplace(stored.stream, begun_stream{stored.kind, begunAt});
    }

    asio::awaitable<void> readOnce()
    {
        isReading = true;
        readAt = clock.now();
        const bool isFirst = !routing.hasReadStreams;
        const auto records = co_await source.streamRecords();
        isReading = false;
        isReadAnswered = records.has_value();
        if (records) {
            restore(*records);
            routing.hasReadStreams = true;
        } else if (isFirst) {
            logInfo("stream records not read", {{"cause", records.error().detail}});
        }
        readEnded.notifyAll();
    }

    bool isChanged(const std::vector<stored_versions> &versions) const
    {
        const bool hasNewVersions
            = writesVersions && writesVersions() && !haveSameVersions(versions, writtenVersions);
        return hasUnwritten || hasNewVersions
            || (writtenEpoch > 0 && routing.storeEpoch > writtenEpoch);
    }

    std::vector<stored_versions> currentVersions() const
    {
        std::map<std::string, version_history> services;
        for (const auto &[service, pool] : routing.pools)
            services.emplace(service, pool.versions);
        return versionsToStore(services, clock.now());
    }

    asio::awaitable<void> write()
    {
        forgetOld();
        stream_record record;
        record.versions = currentVersions();
        if (!isChanged(record.versions))
            co_return;
        record.storeEpoch = routing.storeEpoch;
        for (const auto &[stream, begun] : streams)
            record.streams.push_back({stream, begun.kind, clock.now() - begun.begunAt});
        hasUnwritten = false;
        std::string bytes = encodeStreamRecord(record, clock.wall());
        const auto done = co_await source.storeStreamRecord(toString(self), std::move(bytes));
        if (done) {
            writtenVersions = std::move(record.versions);
            writtenEpoch = record.storeEpoch;
            co_return;
        }
        hasUnwritten = true;
        logInfo("stream record not written",
                {{"streams", std::to_string(streams.size())}, {"cause", done.error().detail}});
    }

    static asio::awaitable<void> run(std::shared_ptr<state> shared)
    {
        while (!shared->isStopped && !shared->routing.hasReadStreams) {
            co_await read(shared);
            if (!shared->routing.hasReadStreams)
                co_await shared->stopped.wait(readInterval);
        }
        while (!shared->isStopped) {
            co_await shared->write();
            co_await shared->stopped.wait(writeInterval);
        }
    }

    static asio::awaitable<bool> read(std::shared_ptr<state> shared)
    {
        const instant end = shared->clock.now() + readTimeout;
        if (!shared->isReading && shared->clock.now() < shared->readAt + readInterval)
            co_return shared->isReadAnswered;
        if (!std::exchange(shared->isReading, true))
            startTask(shared->context, "stream records", readShared(shared));
        while (shared->isReading && shared->clock.now() < end)
            co_await shared->readEnded.wait(end - shared->clock.now());
        co_return !shared->isReading && shared->isReadAnswered;
    }

    static asio::awaitable<void> readShared(std::shared_ptr<state> shared)
    {
        co_await shared->readOnce();
    }
};

std::unique_ptr<stream_archive>
stream_archive::makeStreamArchive(asio::io_context &context, routing_state &target,
                                  state_source source, const host_address &self, clock_source clock)
{
    return std::unique_ptr<stream_archive>(new stream_archive(
        std::make_shared<state>(context, target, std::move(source), self, std::move(clock))));
}

stream_archive::stream_archive(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

stream_archive::~stream_archive()
{
    stop();
}

void stream_archive::start()
{
    startService(m_state->context, "stream archive",
                 [shared = m_state] { return state::run(shared); });
}

void stream_archive::stop()
{
    m_state->isStopped = true;
    m_state->stopped.notifyAll();
}

void stream_archive::add(std::uint64_t stream, const upstream_kind &kind)
{
    if (m_state->streams.size() >= maxStored)
        return;
    const state::begun_stream begun{kind, m_state->clock.now()};
    const bool isNew = m_state->streams.try_emplace(stream, begun).second;
    m_state->hasUnwritten = m_state->hasUnwritten || isNew;
}

void stream_archive::writeVersionsWhile(std::function<bool()> condition)
{
    m_state->writesVersions = std::move(condition);
}

asio::awaitable<bool> stream_archive::read()
{
    return state::read(m_state);
}

} // namespace quincefall
