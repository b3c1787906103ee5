#include "route/liveness_probe.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/background_task.h"
#include "route/report_call.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

// A request waits for the first connection, and for the answer to the first call.
constexpr milliseconds connectTimeout{400};
// Longer than the silences of sound upstreams.
constexpr milliseconds callTimeout{4'000};
// Upstreams close idle connections. One that names no limit in whole seconds may do so sooner.
constexpr milliseconds defaultCallInterval{200};
// Of the idle limit that the upstream names. The connections are used in turn.
constexpr double callIntervalShare = 0.35;
// Upstreams close connections after some answers. A second one, which is open by then, goes on.
constexpr std::size_t wantedConnections = 2;
// After one that an upstream had no room for.
constexpr milliseconds openRetryDelay{1'000};

enum class probe_phase { opening, open, lost };

} // namespace

struct liveness_probe::state
{
    state(std::shared_ptr<upstream_paths> upstreamPaths, const wire_format &format,
          upstream_entry target)
        : paths(std::move(upstreamPaths))
        , wire(format)
        , entry(std::move(target))
        , changed(paths->context().get_executor())
    {
    }

    std::shared_ptr<upstream_paths> paths;
    const wire_format &wire;
    upstream_entry entry;
    async_signal changed;
    /// All to the same process. The one that was called longest ago is the first.
    std::vector<connection_ptr> connections;
    connection_ptr opened; ///< Not known yet to lead to the same process.
    probe_phase phase = probe_phase::opening;
    instant openedAt = instant::max(); ///< Of the first connection.
    milliseconds callInterval = defaultCallInterval;
    std::uint64_t asked = 0; ///< Calls of isAlive().
    std::uint64_t answered = 0; ///< Those of them that an answer has followed.
    instant nextOpenAt{};
    bool isOver = false;

    /// Takes the connection for the next call; null if there is none. One that has been answered
    /// before is known to be accepted by the process; another may still wait for a listener that
    /// outlives it. @p isProof calls use the latter only where there are no others.
    connection_ptr takeConnection(bool isProof, bool hasFailed)
    {
        auto next = connections.begin();
        if (isProof)
            next = std::find_if(connections.begin(), connections.end(),
                                [](const connection_ptr &one) { return one->hasCarriedRequest; });
        if (next == connections.end() && !hasFailed)
            next = connections.begin();
        if (next == connections.end())
            return nullptr;
        connection_ptr taken = std::move(*next);
        connections.erase(next);
        return taken;
    }

    /// Calls on one connection after the other until there is an answer.
    asio::awaitable<bool> call(bool isProof, milliseconds limit)
    {
        bool hasFailed = false;
        while (connection_ptr used = takeConnection(isProof, hasFailed)) {
            const report_end end = co_await callForReport(*used, wire, entry, limit);
            if (end.keepAlive) {
                callInterval
                    = std::max(defaultCallInterval,
                               std::chrono::ceil<milliseconds>(*end.keepAlive * callIntervalShare));
            }
            if (!end.isAnswered) {
                nextOpenAt = steadyNow() + openRetryDelay;
                hasFailed = true;
                continue;
            }
            // This process still ran when the other connection was open already.
            if (opened)
                connections.push_back(std::move(opened));
            if (end.isReusable)
                connections.push_back(std::move(used));
            co_return true;
        }
        connections.clear();
        co_return false;
    }

    /// Opens a second connection if there is none.
    asio::awaitable<void> openSecond()
    {
        if (connections.size() >= wantedConnections || steadyNow() < nextOpenAt)
            co_return;
        opened = co_await open();
        if (!opened)
            nextOpenAt = steadyNow() + openRetryDelay;
    }

    void use(connection_ptr first)
    {
        openedAt = first->openedAt;
        connections.push_back(std::move(first));
    }

    asio::awaitable<connection_ptr> open()
    {
        auto made = co_await paths->open(entry, connectTimeout);
        if (!made)
            co_return nullptr;
        co_return std::move(*made);
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        if (self->phase == probe_phase::opening) {
            if (auto first = co_await self->open()) {
                self->use(std::move(first));
                co_await self->openSecond();
                co_await self->call(true, connectTimeout);
            }
            self->setPhase();
        }
        while (self->phase == probe_phase::open && !self->isOver) {
            if (self->asked == self->answered)
                co_await self->changed.wait(self->callInterval);
            if (self->isOver)
                break;
            const std::uint64_t round = self->asked;
            co_await self->openSecond();
            if (co_await self->call(round != self->answered, callTimeout))
                self->answered = round;
            self->setPhase();
        }
        // Idle ones would keep places at upstreams that have few.
        self->connections.clear();
    }

    void setPhase()
    {
        opened.reset();
        phase = connections.empty() ? probe_phase::lost : probe_phase::open;
        changed.notifyAll();
    }

    /// Whether requests that are sent from now on can share the probe.
    bool isUsable(const upstream_entry &wanted)
    {
        const bool isSame = entry.address == wanted.address && entry.started == wanted.started;
        return isSame && phase != probe_phase::lost
            && std::none_of(connections.begin(), connections.end(),
                            [](const connection_ptr &one) { return hasInput(one->socket); });
    }

    void end()
    {
        isOver = true;
        changed.notifyAll();
    }
};

liveness_probe::liveness_probe(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

liveness_probe::~liveness_probe()
{
    m_state->end();
}

asio::awaitable<bool> liveness_probe::isAlive(microseconds limit)
{
    const auto self = m_state;
    const instant end = steadyNow() + limit;
    const std::uint64_t round = ++self->asked;
    self->changed.notifyAll();
    while (self->phase == probe_phase::open && self->answered < round) {
        const auto left = std::chrono::duration_cast<microseconds>(end - steadyNow());
        if (left.count() <= 0)
            co_return false;
        co_await self->changed.wait(left);
    }
    co_return self->answered >= round;
}

struct liveness_probes::state
{
    std::shared_ptr<upstream_paths> paths;
    const wire_format &wire;
    /// By the upstream's id.
    std::map<std::string, std::weak_ptr<liveness_probe>, std::less<>> probes;

    /// The probe that requests to the upstream share now, if there is one.
    std::shared_ptr<liveness_probe> find(const upstream_entry &entry)
    {
        std::erase_if(probes, [](const auto &row) { return row.second.expired(); });
        const auto row = probes.find(entry.id);
        auto probe = row == probes.end() ? nullptr : row->second.lock();
        return probe && probe->m_state->isUsable(entry) ? probe : nullptr;
    }

    /// @p first is a connection on which the upstream has answered; null to open one.
    std::shared_ptr<liveness_probe> start(const upstream_entry &entry, connection_ptr first)
    {
        auto shared = std::make_shared<liveness_probe::state>(paths, wire, entry);
        if (first) {
            shared->use(std::move(first));
            shared->phase = probe_phase::open;
        }
        startTask(paths->context(), "liveness probe", liveness_probe::state::run(shared));
        auto probe = std::shared_ptr<liveness_probe>(new liveness_probe(std::move(shared)));
        probes.insert_or_assign(entry.id, probe);
        return probe;
    }
};

std::unique_ptr<liveness_probes>
liveness_probes::makeLivenessProbes(std::shared_ptr<upstream_paths> paths,
                                    const wire_format &format)
{
    return std::unique_ptr<liveness_probes>(
        new liveness_probes(std::make_unique<state>(state{std::move(paths), format, {}})));
}

liveness_probes::liveness_probes(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

liveness_probes::~liveness_probes() = default;

asio::awaitable<std::shared_ptr<liveness_probe>> liveness_probes::open(upstream_entry entry)
{
    auto probe = m_state->find(entry);
    if (!probe)
        probe = m_state->start(entry, nullptr);
    const auto shared = probe->m_state;
    while (shared->phase == probe_phase::opening)
        co_await shared->changed.wait(connectTimeout);
    co_return shared->phase == probe_phase::open ? probe : nullptr;
}

std::shared_ptr<liveness_probe> liveness_probes::findOpenedBefore(const upstream_entry &entry,
                                                                  instant time)
{
    auto probe = m_state->find(entry);
    if (probe && probe->m_state->phase == probe_phase::open && probe->m_state->openedAt < time)
        return probe;
    auto first = m_state->paths->takeOpenedBefore(entry, time);
    return first ? m_state->start(entry, std::move(first)) : nullptr;
}

} // namespace quincefall
