#include "peer/peer_server.h"

#include "peer/peer_secret.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>

#include <unordered_map>
#include <utility>

namespace quincefall {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A connection from a peer, with the running handlers of its calls.
struct peer_server::client
{
    std::shared_ptr<peer_connection> connection;
    std::unordered_map<http2_session::stream_id, cancel_signal> running;
    instant lastReceivedAtSweep{};
    int idleSweepCount = 0;

    void cancel(http2_session::stream_id stream)
    {
        const auto entry = running.find(stream);
        if (entry == running.end())
            return;
        const cancel_signal signal = std::move(entry->second);
        running.erase(entry);
        signal->emit(asio::cancellation_type::terminal);
    }

    void cancelAll()
    {
        while (!running.empty())
            cancel(running.begin()->first);
    }
};

namespace {

/// Consecutive sweeps without received bytes after which a connection is closed as idle. More than
/// one, so that a process that was paused reads the bytes that arrived during the pause before it
/// closes connections.
constexpr int maxIdleSweeps = 2;

constexpr milliseconds acceptRetryDelay{100};

http2_response toResponse(result<std::string> answer)
{
    if (answer && answer->size() > http2_session::maxBodyBytes)
        answer = makeError(result_code::internal, "the answer exceeds the body limit");
    if (answer)
        return {200, 0, {}, std::move(*answer)};
    const error &reason = answer.error();
    const result_info &info = resultInfo(reason.code);
    const int status = info.httpStatus == 200 ? 500 : info.httpStatus;
    return {status, static_cast<int>(info.code), reason.detail, {}};
}

/// Keeps the handler alive while its coroutine runs.
asio::awaitable<result<std::string>> runHandler(std::shared_ptr<const peer_mesh::handler> function,
                                                std::string body)
{
    auto running = (*function)(std::move(body));
    co_return co_await std::move(running);
}

std::string describe(const std::exception_ptr &thrown)
{
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception &reason) {
        return reason.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace

result<std::shared_ptr<peer_server>>
peer_server::makePeerServer(asio::io_context &context, const options &settings,
                            std::shared_ptr<byte_counter> counter)
{
    std::shared_ptr<peer_server> server(new peer_server(context, settings, std::move(counter)));
    if (auto listening = server->listen(settings.listen); !listening)
        return tl::unexpected(listening.error());
    server->accept();
    server->scheduleSweep();
    return server;
}

peer_server::peer_server(asio::io_context &context, const options &settings,
                         std::shared_ptr<byte_counter> counter)
    : m_context(context)
    , m_acceptor(context)
    , m_acceptTimer(context)
    , m_sweepTimer(context)
    , m_idleTimeout(settings.idleTimeout)
    , m_expectedAuthorization(bearerField(settings.secret))
    , m_counter(std::move(counter))
{
}

result<void> peer_server::listen(const host_address &address)
{
    boost::system::error_code failure;
    const auto number = asio::ip::make_address(address.ip, failure);
    if (failure)
        return makeError(result_code::settingsInvalid, "not an IP address: " + address.ip);
    const tcp::endpoint endpoint(number, address.port);
    m_acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        m_acceptor.bind(endpoint, failure);
    if (!failure)
        m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return makeError(result_code::settingsInvalid, "cannot listen: " + failure.message());
    return {};
}

std::uint16_t peer_server::port() const
{
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void peer_server::handle(std::string path, peer_mesh::handler function)
{
    m_handlers.insert_or_assign(std::move(path),
                                std::make_shared<const peer_mesh::handler>(std::move(function)));
}

void peer_server::accept()
{
    m_acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code &failure, tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (failure)
                return self->acceptLater();
            self->addClient(std::move(socket));
            self->accept();
        });
}

void peer_server::acceptLater()
{
    // The usual cause is that the process is out of file descriptors; an immediate retry would
    // spin.
    m_acceptTimer.expires_after(acceptRetryDelay);
    m_acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &aborted) {
        if (!aborted && self->m_acceptor.is_open())
            self->accept();
    });
}

void peer_server::addClient(tcp::socket socket)
{
    const auto added = std::make_shared<client>();
    const std::weak_ptr<client> weak = added;
    const std::weak_ptr<peer_server> owner = weak_from_this();
    http2_session::events events;
    events.authorize = [expected = m_expectedAuthorization](std::string_view authorization) {
        return equalInConstantTime(authorization, expected);
    };
    events.onRequest = [weak, owner](http2_session::stream_id stream, http2_request request) {
        const auto self = owner.lock();
        const auto requester = weak.lock();
        if (self && requester)
            self->answer(requester, stream, std::move(request));
    };
    events.onStreamClosed = [weak](http2_session::stream_id stream) {
        if (const auto requester = weak.lock())
            requester->cancel(stream);
    };
    const auto onEnd = [weak, owner](const error &) {
        const auto self = owner.lock();
        const auto requester = weak.lock();
        if (self && requester)
            self->removeClient(requester);
    };
    auto connection = peer_connection::makePeerConnection(
        std::move(socket), http2_session::role::server, std::move(events), onEnd, m_counter);
    if (!connection)
        return;
    added->connection = std::move(*connection);
    m_clients.insert(added);
    added->connection->start();
}

void peer_server::answer(const std::shared_ptr<client> &requester, http2_session::stream_id stream,
                         http2_request request)
{
    const std::weak_ptr<client> weak = requester;
    const auto reply = [weak, stream](result<std::string> outcome) {
        const auto target = weak.lock();
        if (!target || target->running.erase(stream) == 0)
            return;
        target->connection->submitResponse(stream, toResponse(std::move(outcome)));
    };
    const auto signal = std::make_shared<asio::cancellation_signal>();
    requester->running[stream] = signal;
    run(request.path, std::move(request.body), signal, reply);
}

void peer_server::run(const std::string &path, std::string body, cancel_signal signal,
                      completion done)
{
    const auto entry = m_handlers.find(path);
    if (entry == m_handlers.end())
        return done(makeError(result_code::notFound, "no handler for " + path));
    // The completion handler holds the signal, which must live as long as the coroutine that uses
    // its slot.
    auto onDone = [done = std::move(done), signal](const std::exception_ptr &thrown,
                                                   result<std::string> answer) {
        if (thrown)
            done(makeError(result_code::internal, describe(thrown)));
        else
            done(std::move(answer));
    };
    asio::co_spawn(m_context, runHandler(entry->second, std::move(body)),
                   asio::bind_cancellation_slot(signal->slot(), std::move(onDone)));
}

void peer_server::removeClient(const std::shared_ptr<client> &closed)
{
    m_clients.erase(closed);
    closed->cancelAll();
}

void peer_server::scheduleSweep()
{
    m_sweepTimer.expires_after(m_idleTimeout / maxIdleSweeps);
    m_sweepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &aborted) {
        const auto self = weak.lock();
        if (aborted || !self)
            return;
        self->sweep();
        self->scheduleSweep();
    });
}

void peer_server::sweep()
{
    const auto clients = m_clients;
    for (const auto &swept : clients) {
        const instant lastReceived = swept->connection->lastReceived();
        const bool isIdle = swept->lastReceivedAtSweep == lastReceived;
        swept->idleSweepCount = isIdle ? swept->idleSweepCount + 1 : 0;
        swept->lastReceivedAtSweep = lastReceived;
        if (swept->idleSweepCount < maxIdleSweeps)
            continue;
        swept->connection->close();
        removeClient(swept);
    }
}

void peer_server::stop()
{
    boost::system::error_code ignored;
    m_acceptTimer.cancel();
    m_sweepTimer.cancel();
    m_acceptor.close(ignored);
    const auto clients = std::exchange(m_clients, {});
    for (const auto &closed : clients) {
        closed->connection->close();
        closed->cancelAll();
    }
}

} // namespace quincefall
