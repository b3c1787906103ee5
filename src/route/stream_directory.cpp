#include "route/stream_directory.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"
#include "peer.pb.h"
#include "policy/keepers.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// More than the way to another region and back.
constexpr milliseconds replyTimeout{50};
constexpr int queryRounds = 2; // A lost datagram costs one.
// The keepers may have started lately, as the host that asks has.
constexpr std::size_t oldestHostsAsked = 2;
constexpr std::size_t mostHostsAsked = 6;
constexpr std::size_t maxOriginsPerDatagram = 64;
constexpr std::size_t maxBegun = 1'024; // Before those that must have ended are forgotten.
constexpr std::size_t maxPathBytes = 512; // Longer than the prefix of a route.
// Several times the interval at which a host confirms its desired state and upstreams.
constexpr milliseconds maxConfirmedAge{4'000};

void fillOrigin(wire::StreamOrigin &row, const stream_origin &origin)
{
    row.set_service(origin.service);
    row.set_software_version(origin.version);
    row.set_names_service(true);
    if (origin.runEnd) {
        row.set_run_ended_after(origin.runEnd->after);
        for (const std::uint64_t upstream : origin.runEnd->upstreams)
            row.add_run_ended_at(upstream);
        row.set_run_event_before(origin.runEnd->before);
        row.set_run_longest_wait_ms(std::uint32_t(origin.runEnd->longestWait.count()));
    }
}

/// Whether the last call to the store failed.
bool isStoreLost(const upstream_membership &membership)
{
    return membership.storeRecoveredAt < membership.lastFailure;
}

/// One query for a stream's origin.
struct stream_lookup
{
    explicit stream_lookup(asio::io_context &context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    std::size_t asked = 0; ///< Hosts.
    std::set<std::string> unheard; ///< Addresses of the hosts that have not answered.
    std::string onlyService; ///< The only one at which it may have begun; empty if there are more.
    origin_answers answers;
};

} // namespace

struct stream_directory::state : std::enable_shared_from_this<stream_directory::state>
{
    state(asio::io_context &io, routing_state &target, const host_address &own, clock_source clocks,
          send_function sender, confirm_function confirmer)
        : context(io)
        , routing(target)
        , self(own)
        , clock(std::move(clocks))
        , send(std::move(sender))
        , confirm(std::move(confirmer))
    {
    }

    asio::io_context &context;
    routing_state &routing;
    host_address self;
    clock_source clock;
    send_function send;
    confirm_function confirm;
    stream_archive *archive = nullptr; ///< Null until the host has one.
    std::map<std::uint64_t, instant> begun; ///< Streams of this host that run and were told.
    std::multimap<std::uint64_t, std::shared_ptr<stream_lookup>> lookups; ///< By stream.

    /// Whether the desired state or the list of upstreams was not confirmed for a while, such as
    /// after the process was stopped, or can't be at present.
    bool isOutdated() const
    {
        const instant oldest = clock.now() - maxConfirmedAge;
        return routing.desiredConfirmedAt < oldest || routing.upstreamsConfirmedAt < oldest
            || isStoreLost(routing.membership);
    }

    /// @p scope with the time for which streams may have run, whatever timeouts they began under.
    stream_scope widened(stream_scope scope) const
    {
        if (routing.desired)
            scope.longest = longestStream(routing.moves, *routing.desired, scope.authority,
                                          scope.path, scope.longest, clock.now());
        return scope;
    }

    std::set<std::string> servicesOf(const stream_scope &scope) const
    {
        if (!routing.desired)
            return {};
        return recentServices(routing.moves, *routing.desired, scope.authority, scope.path,
                              scope.longest + maxHostLag, clock.now());
    }

    std::string onlyServiceOf(const stream_scope &scope) const
    {
        const auto services = servicesOf(scope);
        return services.size() == 1 ? *services.begin() : std::string();
    }

    void addKind(origin_belief &belief, const std::string &service, microseconds longest) const
    {
        const auto pool = routing.pools.find(service);
        if (pool == routing.pools.end())
            return;
        const version_history &versions = pool->second.versions;
        for (const std::string &version : versions.listed)
            belief.kinds.insert({service, version});
        if (hasSeveralVersions(versions, longest + maxHostLag, clock.now()))
            belief.hasSeveral = true;
        // What a host that has just started can't tell apart, an older one may know.
        const microseconds unseenFor = longest + maxConfirmedAge;
        if (!onlyVersion(versions, unseenFor, clock.now())
            || routing.membership.missedAt > clock.now() - unseenFor)
            belief.mayMissChanges = true;
    }

    /// Whether streams of @p longest may be older than what this host has seen of the fleet, and
    /// may have begun at several services.
    bool mayMissMoves(microseconds longest) const
    {
        // The timeout may have been longer before this host started.
        const microseconds seenFor = std::max<microseconds>(longest, longestWithoutTimeout);
        return quincefall::mayMissMoves(routing.moves, clock.now() - seenFor - maxConfirmedAge)
            && (!routing.desired || possibleStreamServices(*routing.desired).size() > 1);
    }

    /// What this host believes of a stream that it does not know.
    origin_belief believe(const stream_scope &scope) const
    {
        origin_belief belief;
        belief.isOutdated = isOutdated();
        belief.mayMissChanges = mayMissMoves(scope.longest) || !routing.hasReadStreams;
        if (!routing.desired)
            return belief;
        const auto services = servicesOf(scope);
        belief.hasSeveral = services.size() != 1;
        for (const std::string &service : services)
            addKind(belief, service, scope.longest);
        return belief;
    }

    /// The stream's keepers other than this host, the one that stores its begin included.
    std::vector<host_address> keepersOfStream(std::uint64_t stream) const
    {
        const auto hosts = hostsThatStay();
        std::vector<host_address> keepers = keepersAmong(stream, hosts);
        addHost(keepers, streamWriter(stream, hosts));
        std::erase(keepers, self);
        return keepers;
    }

    /// Before their first hints, or after this host stood still, other hosts are known by their
    /// announcements alone.
    std::vector<host_address> hostsThatStay() const
    {
        auto hosts = stayingHosts(routing.otherHostsLoad, self, routing.isStopping);
        if (routing.otherHostsLoad.hosts.empty()) {
            for (const host_announcement &peer : routing.peers)
                hosts.push_back(peer.peer);
        }
        return hosts;
    }

    void store(std::uint64_t stream, const upstream_kind &kind) const
    {
        if (archive && streamWriter(stream, hostsThatStay()) == self)
            archive->add(stream, kind);
    }

    /// Tells @p host of the streams of this host for which it has become a keeper.
    void tellNewKeeper(const host_address &host)
    {
        std::vector<std::uint64_t> kept;
        for (const auto &[stream, begunAt] : begun) {
            const auto keepers = keepersOfStream(stream);
            if (std::find(keepers.begin(), keepers.end(), host) != keepers.end())
                kept.push_back(stream);
        }
        tellHosts(kept, [&host](std::uint64_t) { return std::vector{host}; });
    }

    void noteBegun(std::uint64_t stream)
    {
        begun.emplace(stream, clock.now());
        if (begun.size() <= maxBegun || !routing.desired)
            return;
        // Nobody says that a stream has ended whose caller left.
        const instant from
            = clock.now() - longestStream(routing.moves, *routing.desired, clock.now());
        std::erase_if(begun, [from](const auto &row) { return row.second < from; });
    }

    /// Tells of streams that this host has begun.
    void tell(const std::vector<std::uint64_t> &streams)
    {
        tellKeepers(streams);
        for (const std::uint64_t stream : streams) {
            const stream_origin *origin = quincefall::findOrigin(routing.streams, stream);
            noteBegun(stream);
            if (origin)
                store(stream, {origin->service, origin->version});
        }
    }

    void tellKeepers(const std::vector<std::uint64_t> &streams)
    {
        tellHosts(streams, [this](std::uint64_t stream) { return keepersOfStream(stream); });
    }

    void
    tellHosts(const std::vector<std::uint64_t> &streams,
              const std::function<std::vector<host_address>(std::uint64_t stream)> &hostsFor) const
    {
        std::map<host_address, wire::LoadHint> messages;
        for (const std::uint64_t stream : streams) {
            const stream_origin *origin = quincefall::findOrigin(routing.streams, stream);
            if (!origin)
                continue;
            for (const host_address &keeper : hostsFor(stream)) {
                wire::LoadHint &message = messages[keeper];
                wire::StreamOrigin *row = message.add_stream_origins();
                row->set_stream(stream);
                fillOrigin(*row, *origin);
                if (std::size_t(message.stream_origins_size()) < maxOriginsPerDatagram)
                    continue;
                sendTo(keeper, message);
                message.Clear();
            }
        }
        for (const auto &[keeper, message] : messages)
            sendTo(keeper, message);
    }

    void sendTo(const host_address &host, const wire::LoadHint &message) const
    {
        if (host != self && message.ByteSizeLong() > 0)
            send(host, message.SerializeAsString());
    }

    void applyOrigin(const wire::StreamOrigin &row, const host_address &sender)
    {
        const auto [begin, end] = lookups.equal_range(row.stream());
        // Without a query, hosts of earlier versions tell the service, too.
        const bool isService = row.names_service() || begin == end;
        if (!row.assumed() && !row.unknown() && isService) {
            recordOrigin(routing.streams, row.stream(),
                         {row.service(), row.software_version(), clock.now(), false});
            store(row.stream(), {row.service(), row.software_version()});
        }
        const stream_run_end runEnd{row.run_ended_after(),
                                    row.run_event_before(),
                                    {row.run_ended_at().begin(), row.run_ended_at().end()},
                                    milliseconds(row.run_longest_wait_ms())};
        if (isPlausible(runEnd))
            quincefall::recordRunEnd(routing.streams, row.stream(), runEnd);
        for (auto lookup = begin; lookup != end; ++lookup) {
            stream_lookup &found = *lookup->second;
            found.unheard.erase(sender.ip);
            const upstream_kind kind{isService ? row.service() : found.onlyService,
                                     row.software_version()};
            if (kind.service.empty() && !row.unknown())
                found.answers.hasSeveral = true;
            else if (row.assumed())
                found.answers.assumed.insert(kind);
            else if (row.unknown())
                found.answers.hasSeveral = found.answers.hasSeveral || row.several();
            else
                found.answers.known = kind;
            if (found.answers.known || found.unheard.empty())
                found.timer.cancel();
        }
    }

    /// Hosts of earlier versions ask by the service alone.
    origin_belief beliefFor(const wire::StreamQuery &query) const
    {
        const milliseconds longest(query.longest_ms());
        if (!query.authority().empty())
            return believe(widened({query.authority(), query.path(), longest}));
        origin_belief belief;
        belief.isOutdated = isOutdated();
        belief.mayMissChanges = mayMissMoves(longest) || !routing.hasReadStreams;
        addKind(belief, query.service(), longest);
        return belief;
    }

    void answer(const wire::StreamQuery &query, wire::LoadHint &reply) const
    {
        wire::StreamOrigin *row = reply.add_stream_origins();
        row->set_stream(query.stream());
        if (const stream_origin *origin = quincefall::findOrigin(routing.streams, query.stream())) {
            fillOrigin(*row, *origin);
            return;
        }
        const auto belief = beliefFor(query);
        const auto assumed = assumedKind(belief);
        row->set_assumed(assumed.has_value());
        row->set_unknown(!assumed);
        row->set_several(belief.hasSeveral);
        if (assumed) {
            row->set_service(assumed->service);
            row->set_software_version(assumed->version);
            row->set_names_service(true);
        }
    }

    void ask(const stream_lookup &lookup, const std::vector<host_address> &hosts,
             const wire::LoadHint &question) const
    {
        for (const host_address &host : hosts) {
            if (lookup.unheard.contains(host.ip))
                sendTo(host, question);
        }
    }

    static void addHost(std::vector<host_address> &hosts, const host_address &host)
    {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            hosts.push_back(host);
    }

    /// The hosts that may know more of a stream than this one.
    std::vector<host_address> hostsToAsk(std::uint64_t stream, const stream_scope &scope) const
    {
        std::vector<host_address> hosts = keepersOfStream(stream);
        // They were told while they did not stop yet.
        for (const host_address &host : keepersOf(stream, routing.otherHostsLoad, self)) {
            if (host != self)
                addHost(hosts, host);
        }
        if (!believe(scope).mayMissChanges)
            return hosts;
        for (const host_address &host : oldestHosts(routing.otherHostsLoad, oldestHostsAsked))
            addHost(hosts, host);
        for (const host_announcement &peer : routing.peers) {
            if (hosts.size() < mostHostsAsked)
                addHost(hosts, peer.peer);
        }
        return hosts;
    }

    static asio::awaitable<std::shared_ptr<stream_lookup>>
    askOthers(std::shared_ptr<state> shared, std::uint64_t stream, stream_scope scope)
    {
        auto lookup = std::make_shared<stream_lookup>(shared->context);
        const std::vector<host_address> hosts = shared->hostsToAsk(stream, scope);
        for (const host_address &host : hosts)
            lookup->unheard.insert(host.ip);
        lookup->asked = hosts.size();
        wire::LoadHint question;
        wire::StreamQuery *query = question.add_stream_queries();
        query->set_stream(stream);
        lookup->onlyService = shared->onlyServiceOf(scope);
        query->set_service(lookup->onlyService);
        query->set_authority(scope.authority);
        query->set_path(scope.path.substr(0, maxPathBytes));
        query->set_longest_ms(
            std::uint32_t(std::chrono::ceil<milliseconds>(scope.longest).count()));
        const auto row = shared->lookups.emplace(stream, lookup);
        for (int round = 0; round < queryRounds; ++round) {
            if (lookup->answers.known || lookup->unheard.empty())
                break;
            shared->ask(*lookup, hosts, question);
            lookup->timer.expires_after(replyTimeout);
            co_await lookup->timer.async_wait(asTuple);
        }
        shared->lookups.erase(row);
        co_return lookup;
    }

    static asio::awaitable<void> readArchive(std::shared_ptr<state> shared)
    {
        if (shared->archive)
            co_await shared->archive->read();
    }

    void logLookup(std::uint64_t stream, const std::optional<upstream_kind> &found,
                   const stream_lookup &lookup, const origin_belief &own) const
    {
        const std::size_t heard = lookup.asked - lookup.unheard.size();
        logInfo("stream looked up",
                {{"stream", formatTraitId(stream)},
                 {"service", found ? found->service : "unknown"},
                 {"software_version", found ? found->version : "unknown"},
                 {"heard", std::to_string(heard) + "/" + std::to_string(lookup.asked)},
                 {"known", lookup.answers.known ? "yes" : "no"},
                 {"assumed", std::to_string(lookup.answers.assumed.size())},
                 {"own", std::to_string(own.kinds.size())},
                 {"several", own.hasSeveral || lookup.answers.hasSeveral ? "yes" : "no"},
                 {"may_miss_changes", own.mayMissChanges ? "yes" : "no"},
                 {"outdated", own.isOutdated ? "yes" : "no"},
                 {"records_read", routing.hasReadStreams ? "yes" : "no"},
                 {"desired_age_ms", formatAge(routing.desiredConfirmedAt, clock.now())},
                 {"upstreams_age_ms", formatAge(routing.upstreamsConfirmedAt, clock.now())}});
    }
};

std::unique_ptr<stream_directory>
stream_directory::makeStreamDirectory(asio::io_context &context, routing_state &target,
                                      const host_address &self, clock_source clock,
                                      send_function send, confirm_function confirm)
{
    return std::unique_ptr<stream_directory>(new stream_directory(std::make_shared<state>(
        context, target, self, std::move(clock), std::move(send), std::move(confirm))));
}

stream_directory::stream_directory(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

stream_directory::~stream_directory() = default;

void stream_directory::recordBegin(std::uint64_t stream, const upstream_entry &upstream,
                                   const stream_scope &scope)
{
    state &self = *m_state;
    const upstream_kind kind{upstream.service, upstream.softwareVersion};
    const bool isTold = assumedKind(self.believe(self.widened(scope))) != kind;
    recordOrigin(self.routing.streams, stream,
                 {upstream.service, upstream.softwareVersion, self.clock.now(), !isTold});
    if (isTold)
        self.tell({stream});
}

void stream_directory::recordRunEnd(std::uint64_t stream, const upstream_entry &upstream,
                                    const stream_run_end &end)
{
    state &self = *m_state;
    recordOrigin(self.routing.streams, stream,
                 {upstream.service, upstream.softwareVersion, self.clock.now(), false});
    quincefall::recordRunEnd(self.routing.streams, stream, end);
    self.tellKeepers({stream});
}

asio::awaitable<std::optional<stream_run_end>> stream_directory::findRunEnd(std::uint64_t stream,
                                                                            stream_scope scope)
{
    state &self = *m_state;
    const stream_origin *origin = quincefall::findOrigin(self.routing.streams, stream);
    if (!origin || !origin->runEnd) {
        co_await state::askOthers(m_state, stream, self.widened(std::move(scope)));
        origin = quincefall::findOrigin(self.routing.streams, stream);
    }
    co_return origin ? origin->runEnd : std::nullopt;
}

void stream_directory::recordEnd(std::uint64_t stream)
{
    forgetUntold(m_state->routing.streams, stream);
    m_state->begun.erase(stream);
}

void stream_directory::tellUntold()
{
    state &self = *m_state;
    if (!self.routing.desired)
        return;
    const instant now = self.clock.now();
    const microseconds longest = longestStream(self.routing.moves, *self.routing.desired, now);
    const instant from = now - longest;
    const auto moved = movedServices(self.routing.moves, from);
    // No host that takes a stream up can read what the store has while it is lost to all.
    const bool mayMiss = self.mayMissMoves(longest) || isStoreLost(self.routing.membership);
    for (const auto &[service, pool] : self.routing.pools) {
        if (!hasSeveralVersions(pool.versions, longest, now) && !moved.contains(service)
            && !mayMiss)
            continue;
        self.tell(takeUntold(self.routing.streams, service, from));
    }
}

asio::awaitable<found_origin> stream_directory::findOrigin(std::uint64_t stream, stream_scope scope)
{
    state &self = *m_state;
    if (const stream_origin *origin = quincefall::findOrigin(self.routing.streams, stream))
        co_return found_origin{upstream_kind{origin->service, origin->version}};
    scope = self.widened(std::move(scope));
    const auto lookup = co_await state::askOthers(m_state, stream, scope);
    origin_belief own = self.believe(scope);
    own.isOutdated = false;
    if (!decideOrigin(own, lookup->answers)) {
        // All hosts that were told may have been lost since.
        co_await state::readArchive(m_state);
        if (const stream_origin *origin = quincefall::findOrigin(self.routing.streams, stream))
            lookup->answers.known = upstream_kind{origin->service, origin->version};
        own = self.believe(scope);
        own.isOutdated = false;
    }
    if (!lookup->answers.known && decideOrigin(own, lookup->answers)) {
        // The stream may be younger than all that this host has read.
        const bool isConfirmed = co_await self.confirm();
        if (const stream_origin *origin = quincefall::findOrigin(self.routing.streams, stream))
            co_return found_origin{upstream_kind{origin->service, origin->version}};
        own = self.believe(self.widened(std::move(scope)));
        own.isOutdated = !isConfirmed;
    }
    const auto found = decideOrigin(own, lookup->answers);
    self.logLookup(stream, found, *lookup, own);
    co_return found_origin{found, own.isOutdated};
}

void stream_directory::noteHostStart(const host_address &host)
{
    m_state->tellNewKeeper(host);
}

void stream_directory::handOver()
{
    state &self = *m_state;
    std::vector<std::uint64_t> known;
    const instant from = self.clock.now() - longestWithoutTimeout;
    for (const auto *generation : {&self.routing.streams.newer, &self.routing.streams.older}) {
        for (const auto &[stream, origin] : *generation) {
            if (origin.begunAt >= from)
                known.push_back(stream);
        }
    }
    self.tellKeepers(known);
    logInfo("streams handed over", {{"streams", std::to_string(known.size())}});
}

void stream_directory::useArchive(stream_archive &archive)
{
    m_state->archive = &archive;
    archive.writeVersionsWhile(
        [state = m_state.get()] { return isStreamWriter(state->self, state->hostsThatStay()); });
}

void stream_directory::receive(const wire::LoadHint &message, const host_address &sender)
{
    for (const wire::StreamOrigin &row : message.stream_origins())
        m_state->applyOrigin(row, sender);
    wire::LoadHint reply;
    for (const wire::StreamQuery &query : message.stream_queries())
        m_state->answer(query, reply);
    m_state->sendTo(sender, reply);
}

} // namespace quincefall
