#include "route/upstream_witness.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"

#include <array>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds connectTimeout{400}; // As in upstream_call.
// Upstreams close idle connections, so each one is replaced before that.
constexpr milliseconds renewalInterval{1'000};
// A process that is killed closes its connections one after the other.
constexpr milliseconds closingTime{20};
// Before the host has read the answer's end. A connection that closed earlier was idle for too
// long.
constexpr milliseconds readingTime{50};

/// Whether the other end closed the connection in good order, as the kernel does for a process that
/// is killed. Upstreams reset connections that they have no room for.
bool isClosedInOrder(asio::ip::tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), asio::socket_base::message_peek, code);
    return code == asio::error::eof;
}

} // namespace

struct upstream_witness::state
{
    state(std::shared_ptr<upstream_paths> connections, upstream_entry target)
        : paths(std::move(connections))
        , entry(std::move(target))
        , renewal(paths->context())
        , closing(paths->context())
    {
    }

    std::shared_ptr<upstream_paths> paths;
    upstream_entry entry;
    std::shared_ptr<pooled_connection> connection; ///< Null until the first one is open.
    asio::steady_timer renewal;
    asio::steady_timer closing;
    instant closedAt = instant::min(); ///< When the upstream closed the last one in good order.
    bool isOver = false;

    /// Notes when the upstream closes @p watched while it is the current one.
    static asio::awaitable<void> watch(std::shared_ptr<state> self,
                                       std::shared_ptr<pooled_connection> watched)
    {
        const auto [code]
            = co_await watched->socket.async_wait(asio::ip::tcp::socket::wait_read, asTuple);
        if (code == asio::error::operation_aborted || self->connection != watched)
            co_return;
        if (isClosedInOrder(watched->socket))
            self->closedAt = steadyNow();
        self->release();
    }

    static asio::awaitable<void> keepOpen(std::shared_ptr<state> self)
    {
        while (!self->isOver) {
            auto opened = co_await self->paths->open(self->entry, connectTimeout);
            if (!opened || self->isOver)
                co_return;
            self->release();
            self->connection = std::move(*opened);
            startTask(self->paths->context(), "upstream witness", watch(self, self->connection));
            self->renewal.expires_after(renewalInterval);
            co_await self->renewal.async_wait(asTuple);
        }
    }

    void release()
    {
        boost::system::error_code ignored;
        if (const auto released = std::exchange(connection, nullptr))
            released->socket.close(ignored);
    }

    void end()
    {
        isOver = true;
        renewal.cancel();
        release();
    }
};

std::shared_ptr<upstream_witness>
upstream_witness::makeUpstreamWitness(std::shared_ptr<upstream_paths> paths, upstream_entry entry)
{
    auto shared = std::make_shared<state>(std::move(paths), std::move(entry));
    startTask(shared->paths->context(), "upstream witness", state::keepOpen(shared));
    return std::shared_ptr<upstream_witness>(new upstream_witness(std::move(shared)));
}

upstream_witness::upstream_witness(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

upstream_witness::~upstream_witness()
{
    m_state->end();
}

asio::awaitable<life_sign> upstream_witness::lookForLife()
{
    const auto self = m_state;
    // One that opens from now on may lead to a process that has just started.
    self->isOver = true;
    const instant readAt = steadyNow();
    if (self->connection) {
        self->closing.expires_after(closingTime);
        co_await self->closing.async_wait(asTuple);
    }
    if (self->connection)
        co_return life_sign::open;
    if (self->closedAt != instant::min() && self->closedAt > readAt - readingTime)
        co_return life_sign::closed;
    const life_sign sign = co_await self->paths->checkListening(self->entry);
    co_return sign;
}

} // namespace quincefall
