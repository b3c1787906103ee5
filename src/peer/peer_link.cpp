#include "peer/peer_link.h"

#include "peer/peer_secret.h"

#include <utility>

namespace quincefall {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A connection with the calls that wait for an answer on it.
struct peer_link::channel
{
    std::shared_ptr<peer_connection> connection;
    std::unordered_map<http2_session::stream_id, std::shared_ptr<pending_call>> calls;
    bool authenticated = false; ///< An answer came in, so the secret need not be sent again.

    void complete(http2_session::stream_id stream, result<std::string> answer)
    {
        const auto entry = calls.find(stream);
        if (entry != calls.end())
            entry->second->complete(std::move(answer));
    }

    void failAll(const error &reason)
    {
        for (const auto &[stream, pending] : calls)
            pending->complete(makeError(result_code::peerUnreachable, reason.detail));
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

peer_link::peer_link(asio::io_context &context, options settings,
                     std::shared_ptr<byte_counter> counter)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_counter(std::move(counter))
{
}

std::shared_ptr<peer_link::channel> peer_link::openChannel()
{
    auto opened = std::make_shared<channel>();
    const std::weak_ptr<channel> weak = opened;
    http2_session::events events;
    events.onResponse = [weak](http2_session::stream_id stream, http2_response response) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->authenticated = self->authenticated || response.status != 401;
        self->complete(stream, toResult(std::move(response)));
    };
    events.onStreamClosed = [weak](http2_session::stream_id stream) {
        if (const auto self = weak.lock())
            self->complete(stream, makeError(result_code::peerUnreachable, "the call was reset"));
    };
    const auto onEnd = [weak, owner = weak_from_this()](const error &reason) {
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

void peer_link::onClosed(const std::shared_ptr<channel> &closed, const error &reason)
{
    if (m_channel == closed)
        m_channel = nullptr;
    closed->failAll(reason);
}

asio::awaitable<result<std::string>> peer_link::call(std::string path, std::string body,
                                                     milliseconds timeout)
{
    const auto self = shared_from_this();
    if (body.size() > http2_session::maxBodyBytes)
        co_return makeError(result_code::requestTooLarge, "the message exceeds its limit");
    if (!m_channel)
        m_channel = openChannel();
    const std::shared_ptr<channel> used = m_channel;
    if (!used)
        co_return makeError(result_code::internal, "no connection could be made");
    std::string authorization = used->authenticated ? "" : bearerField(m_settings.secret);
    const http2_session::stream_id stream = used->connection->submitRequest(
        {std::move(path), std::move(authorization), std::move(body)});
    if (stream < 0) {
        // All stream numbers of this connection are used up.
        close("the connection is used up");
        co_return makeError(result_code::peerUnreachable, "the connection is used up");
    }
    const auto pending = std::make_shared<pending_call>(m_context.get_executor());
    used->calls.emplace(stream, pending);
    auto waiting = waitForAnswer(pending, timeout);
    result<std::string> answer = co_await std::move(waiting);
    used->calls.erase(stream);
    if (!pending->answer)
        used->connection->reset(stream);
    co_return answer;
}

void peer_link::close(const std::string &reason)
{
    const std::shared_ptr<channel> closed = std::exchange(m_channel, nullptr);
    if (!closed)
        return;
    closed->connection->close();
    closed->failAll({result_code::peerUnreachable, reason});
}

} // namespace quincefall
