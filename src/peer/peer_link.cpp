#include "peer/peer_link.h"

#include "peer/peer_secret.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace quincefall {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A connection with its unanswered calls and pings.
struct peer_link::channel
{
    explicit channel(asio::io_context &context)
        : monitorTimer(context)
    {
    }

    std::shared_ptr<peer_connection> connection;
    std::unordered_map<http2_session::stream_id, std::shared_ptr<pending_call>> calls;
    std::vector<std::shared_ptr<pending_call>> pings; ///< Completed by the next pong.
    asio::steady_timer monitorTimer;
    instant unansweredSince{}; ///< When the first unanswered call was made.
    bool isMonitored = false;
    bool hasReceived = false; ///< A response or a pong was received.
    bool authenticated = false; ///< The secret was accepted and need not be sent again.

    void complete(http2_session::stream_id stream, result<std::string> answer)
    {
        const auto entry = calls.find(stream);
        if (entry != calls.end())
            entry->second->complete(std::move(answer));
    }

    /// Whether calls are unanswered, or have timed out without anything received since.
    bool expectsInput() const
    {
        return !calls.empty() || connection->lastReceived() < unansweredSince;
    }

    void completePings()
    {
        for (const auto &waiting : std::exchange(pings, {}))
            waiting->complete(std::string());
    }

    void failAll(const std::string &reason)
    {
        const auto failure = makeError(result_code::peerUnreachable, reason);
        for (const auto &[stream, pending] : calls)
            pending->complete(failure);
        for (const auto &waiting : std::exchange(pings, {}))
            waiting->complete(failure);
        monitorTimer.cancel();
    }
};

namespace {

result<std::string> toResult(http2_response response)
{
    if (response.status == 200)
        return std::move(response.body);
    const result_info &info = resultInfo(static_cast<result_code>(response.code));
    if (static_cast<int>(info.code) != response.code)
        return makeError(result_code::peerRejected, "status " + std::to_string(response.status));
    return makeError(info.code, std::move(response.detail));
}

} // namespace

peer_link::peer_link(asio::io_context &context, options settings, listener onChange,
                     std::shared_ptr<byte_counter> counter)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_onChange(std::move(onChange))
    , m_counter(std::move(counter))
{
}

std::shared_ptr<peer_link::channel> peer_link::openChannel()
{
    auto opened = std::make_shared<channel>(m_context);
    const std::weak_ptr<channel> weak = opened;
    http2_session::events events;
    const std::weak_ptr<peer_link> owner = weak_from_this();
    events.onResponse = [weak, owner](http2_session::stream_id stream, http2_response response) {
        const auto self = weak.lock();
        if (!self)
            return;
        handleReceived(owner, self);
        self->authenticated = self->authenticated || response.status != 401;
        self->complete(stream, toResult(std::move(response)));
    };
    events.onStreamClosed = [weak](http2_session::stream_id stream) {
        if (const auto self = weak.lock())
            self->complete(stream, makeError(result_code::peerUnreachable, "the stream was reset"));
    };
    events.onPong = [weak, owner] {
        const auto self = weak.lock();
        if (!self)
            return;
        handleReceived(owner, self);
        self->completePings();
    };
    const auto onEnd = [weak, owner](const error &reason) {
        const auto link = owner.lock();
        const auto self = weak.lock();
        if (link && self)
            link->onClosed(self, reason);
    };
    auto connection = peer_connection::makePeerConnection(
        tcp::socket(m_context), http2_session::role::client, std::move(events), onEnd, m_counter);
    if (!connection)
        return nullptr;
    opened->connection = std::move(*connection);
    opened->connection->connect(m_settings.endpoint, m_settings.connectTimeout);
    return opened;
}

void peer_link::handleReceived(const std::weak_ptr<peer_link> &owner,
                               const std::shared_ptr<channel> &used)
{
    used->hasReceived = true;
    if (const auto link = owner.lock())
        link->setReachable(true);
}

void peer_link::onClosed(const std::shared_ptr<channel> &closed, const error &reason)
{
    // A connection on which the peer has answered may end by an orderly restart of the peer. The
    // next call then opens a new one, and only when that fails is the peer reported as unreachable.
    if (m_channel == closed && !closed->hasReceived)
        setReachable(false);
    if (m_channel == closed)
        m_channel = nullptr;
    closed->failAll(reason.detail);
}

void peer_link::closeChannel(std::shared_ptr<channel> closed, const std::string &reason)
{
    if (m_channel == closed)
        m_channel = nullptr;
    closed->connection->close();
    closed->failAll(reason);
}

void peer_link::setReachable(bool reachable)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    if (m_onChange)
        m_onChange(reachable);
}

asio::awaitable<result<std::string>> peer_link::call(std::string path, std::string body,
                                                     milliseconds timeout)
{
    const auto self = shared_from_this();
    if (body.size() > http2_session::maxBodyBytes)
        co_return makeError(result_code::requestTooLarge, "the message exceeds the body limit");
    if (!m_channel)
        m_channel = openChannel();
    const std::shared_ptr<channel> used = m_channel;
    if (!used)
        co_return makeError(result_code::internal, "cannot create the connection");
    std::string authorization = used->authenticated ? "" : bearerField(m_settings.secret);
    const http2_session::stream_id stream = used->connection->submitRequest(
        {std::move(path), std::move(authorization), std::move(body)});
    if (stream < 0) {
        closeChannel(used, "the connection has no stream ID left");
        co_return makeError(result_code::peerUnreachable, "the connection has no stream ID left");
    }
    const auto pending = std::make_shared<pending_call>(m_context.get_executor());
    // While nothing is received, calls that have timed out still count as unanswered, so that a
    // stalled connection is detected even when each call gives up before the ping interval ends.
    if (used->calls.empty() && used->connection->lastReceived() >= used->unansweredSince)
        used->unansweredSince = steadyNow();
    used->calls.emplace(stream, pending);
    startMonitoring(used);
    auto waiting = waitForAnswer(pending, timeout);
    result<std::string> answer = co_await std::move(waiting);
    used->calls.erase(stream);
    if (!pending->answer)
        used->connection->reset(stream);
    co_return answer;
}

asio::awaitable<bool> peer_link::pingOver(std::shared_ptr<channel> used, milliseconds timeout)
{
    const auto waiting = std::make_shared<pending_call>(m_context.get_executor());
    used->pings.push_back(waiting);
    used->connection->ping();
    auto answering = waitForAnswer(waiting, timeout);
    const result<std::string> answer = co_await std::move(answering);
    std::erase(used->pings, waiting);
    co_return answer.has_value();
}

asio::awaitable<bool> peer_link::ping()
{
    const auto self = shared_from_this();
    if (!m_channel)
        co_return false;
    auto pinging = pingOver(m_channel, m_settings.pingTimeout);
    co_return co_await std::move(pinging);
}

asio::awaitable<bool> peer_link::reconnect()
{
    const auto self = shared_from_this();
    const std::shared_ptr<channel> previous = m_channel;
    const std::shared_ptr<channel> replacement = openChannel();
    if (!replacement)
        co_return false;
    m_candidates.push_back(replacement);
    auto pinging
        = pingOver(replacement, std::max(m_settings.connectTimeout, m_settings.pingTimeout));
    const bool answered = co_await std::move(pinging);
    // In the meantime the link may have been closed, or a call may have opened another connection,
    // which is used instead.
    const bool replaces = std::erase(m_candidates, replacement) > 0 && m_channel == previous;
    if (!answered || !replaces)
        closeChannel(replacement, "the new connection is not used");
    if (!answered && replaces)
        setReachable(false);
    if (replaces && previous)
        closeChannel(previous, "the peer no longer answered on the connection");
    if (answered && replaces)
        m_channel = replacement;
    co_return answered;
}

void peer_link::startMonitoring(const std::shared_ptr<channel> &monitored)
{
    if (std::exchange(monitored->isMonitored, true))
        return;
    asio::co_spawn(m_context, monitor(monitored), asio::detached);
}

asio::awaitable<void> peer_link::monitor(std::shared_ptr<channel> monitored)
{
    const auto self = shared_from_this();
    while (m_channel == monitored && monitored->expectsInput()) {
        const instant lastActivity
            = std::max(monitored->connection->lastReceived(), monitored->unansweredSince);
        const instant due = lastActivity + m_settings.pingInterval;
        if (steadyNow() < due) {
            monitored->monitorTimer.expires_at(due);
            co_await monitored->monitorTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        auto pinging = pingOver(monitored, m_settings.pingTimeout);
        const bool answered = co_await std::move(pinging);
        const bool receivedSince = monitored->connection->lastReceived() > lastActivity;
        if (answered || receivedSince || m_channel != monitored)
            continue;
        auto reconnecting = reconnect();
        co_await std::move(reconnecting);
    }
    monitored->isMonitored = false;
}

void peer_link::close(const std::string &reason)
{
    for (const auto &candidate : std::exchange(m_candidates, {}))
        closeChannel(candidate, reason);
    if (m_channel)
        closeChannel(m_channel, reason);
}

} // namespace quincefall
