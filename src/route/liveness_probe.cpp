#include "route/liveness_probe.h"

#include "clients/message_framing.h"
#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "observe/background_task.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

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
// Of an answer. It is kept only until it has ended.
constexpr std::size_t maxAnswerBytes = 65'536;
constexpr std::size_t maxHeadBytes = 16'384;
constexpr int maxInterimAnswers = 4;

enum class probe_phase { opening, open, lost };

/// How a call on one connection ended.
struct call_end
{
    bool isAnswered = false;
    bool isReusable = false;
};

std::vector<http_header> fieldsOf(const http::response<http::string_body> &answer)
{
    std::vector<http_header> fields;
    for (const auto &field : answer)
        fields.emplace_back(field.name_string(), field.value());
    return fields;
}

/// Whether a connection on which nothing is expected was closed or has received something.
bool hasInput(asio::ip::tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    socket.non_blocking(true, code);
    const std::size_t size
        = socket.receive(asio::buffer(byte), asio::socket_base::message_peek, code);
    return size > 0 || code != asio::error::would_block;
}

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

    /// Reads the answer to a call. Its head is the proof; the rest only frees the connection.
    asio::awaitable<call_end> readAnswer(pooled_connection &connection)
    {
        beast::flat_buffer buffer(maxHeadBytes + maxAnswerBytes);
        for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
            http::response_parser<http::string_body> parser;
            parser.header_limit(maxHeadBytes);
            parser.body_limit(maxAnswerBytes);
            auto [code, size]
                = co_await http::async_read_header(connection.socket, buffer, parser, asTuple);
            if (code || faultOfHead(parser.get()) != head_fault::none)
                break;
            const int status = int(parser.get().result_int());
            if (status < int(http::status::ok))
                continue;
            const auto keepAlive = wire.readAnswer(status, fieldsOf(parser.get())).keepAlive;
            if (keepAlive) {
                callInterval
                    = std::max(defaultCallInterval,
                               std::chrono::ceil<milliseconds>(*keepAlive * callIntervalShare));
            }
            if (!parser.need_eof())
                std::tie(code, size)
                    = co_await http::async_read(connection.socket, buffer, parser, asTuple);
            const bool isReusable
                = !code && parser.is_done() && parser.keep_alive() && buffer.size() == 0;
            co_return call_end{true, isReusable};
        }
        co_return call_end{};
    }

    asio::awaitable<call_end> sendCall(pooled_connection &connection)
    {
        // An answer that came before the call would prove nothing.
        if (hasInput(connection.socket))
            co_return call_end{};
        connection.hasCarriedRequest = true;
        const std::string request = wire.writeLivenessCall(entry);
        const auto [code, size]
            = co_await asio::async_write(connection.socket, asio::buffer(request), asTuple);
        if (code)
            co_return call_end{};
        const call_end end = co_await readAnswer(connection);
        co_return end;
    }

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
            asio::steady_timer timer(paths->context(), limit);
            const auto outcome = co_await (sendCall(*used) || timer.async_wait(asTuple));
            const call_end end = outcome.index() == 0 ? std::get<0>(outcome) : call_end{};
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
