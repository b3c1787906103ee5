#include "serve/http_exchange_state.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Sets whether closing the connection resets it, also if the process is killed.
void setResetOnClose(boost::beast::tcp_stream &stream, bool isReset)
{
    boost::system::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
}

} // namespace

http_exchange::http_exchange(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

http_exchange::~http_exchange() = default;

std::string_view http_exchange::method() const
{
    return m_state->request.method_string();
}

std::string_view http_exchange::target() const
{
    return m_state->request.target();
}

std::string_view http_exchange::path() const
{
    const std::string_view whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string http_exchange::query(std::string_view name) const
{
    const auto url = boost::urls::parse_origin_form(target());
    if (!url)
        return {};
    const auto parameters = url->params();
    const auto entry = parameters.find(name);
    return entry == parameters.end() ? std::string() : std::string((*entry).value);
}

std::string_view http_exchange::header(std::string_view name) const
{
    return m_state->request[name];
}

void http_exchange::forEachHeader(
    const std::function<void(std::string_view, std::string_view)> &visitor) const
{
    for (const auto &field : m_state->request)
        visitor(field.name_string(), field.value());
}

std::string_view http_exchange::repeatedHeader(std::span<const std::string_view> names) const
{
    const auto isRepeated
        = [this](std::string_view name) { return m_state->request.count(name) > 1; };
    const auto found = std::find_if(names.begin(), names.end(), isRepeated);
    return found == names.end() ? std::string_view() : *found;
}

const std::string &http_exchange::body() const
{
    return m_state->request.body();
}

void http_exchange::releaseBody()
{
    std::string().swap(m_state->request.body());
    m_state->held.reset();
}

asio::awaitable<bool> http_exchange::respond(int status, std::span<const response_header> headers,
                                             std::string body)
{
    if (m_state->endsWithHead(status))
        co_return co_await respondWithHead(status, headers, body.size());
    http::response<http::string_body> response;
    m_state->prepareResponse(response, status, headers);
    response.body() = std::move(body);
    response.prepare_payload();
    const auto [code, size] = co_await http::async_write(m_state->stream, response, asTuple);
    co_return m_state->handleWriteResult(code);
}

/// The length is left out where it is 0, since an upstream's answer to HEAD has no body either, and
/// with 204, which has none.
asio::awaitable<bool> http_exchange::respondWithHead(int status,
                                                     std::span<const response_header> headers,
                                                     std::size_t bodySize)
{
    http::response<http::empty_body> response;
    m_state->prepareResponse(response, status, headers);
    if (bodySize > 0 && response.result() != http::status::no_content)
        response.content_length(bodySize);
    http::response_serializer<http::empty_body> serializer(response);
    const auto [code, size]
        = co_await http::async_write_header(m_state->stream, serializer, asTuple);
    co_return m_state->handleWriteResult(code);
}

asio::awaitable<bool> http_exchange::beginStream(int status,
                                                 std::span<const response_header> headers)
{
    if (m_state->endsWithHead(status)) {
        m_state->streamEnd = stream_end::head;
        co_return co_await respondWithHead(status, headers, 0);
    }
    http::response<http::empty_body> response;
    m_state->prepareResponse(response, status, headers);
    const bool isChunked = m_state->isHttp11();
    response.chunked(isChunked);
    if (!isChunked) {
        m_state->streamEnd = stream_end::connectionEnd;
        m_state->keepAlive = false;
        response.keep_alive(false);
        setResetOnClose(m_state->stream, true);
    }
    http::response_serializer<http::empty_body> serializer(response);
    const auto [code, size]
        = co_await http::async_write_header(m_state->stream, serializer, asTuple);
    co_return m_state->handleWriteResult(code);
}

asio::awaitable<bool> http_exchange::write(std::string_view piece)
{
    if (m_state->isCallerDisconnected)
        co_return false;
    if (m_state->streamEnd == stream_end::head)
        co_return true;
    m_state->stream.expires_after(m_state->core->settings.requestTimeout);
    boost::system::error_code code;
    if (m_state->streamEnd == stream_end::lastChunk)
        std::tie(code, std::ignore) = co_await asio::async_write(
            m_state->stream, http::make_chunk(asio::buffer(piece)), asTuple);
    else
        std::tie(code, std::ignore)
            = co_await asio::async_write(m_state->stream, asio::buffer(piece), asTuple);
    co_return m_state->handleWriteResult(code);
}

asio::awaitable<bool> http_exchange::endStream()
{
    if (m_state->isCallerDisconnected)
        co_return false;
    if (m_state->streamEnd == stream_end::connectionEnd)
        setResetOnClose(m_state->stream, false);
    if (m_state->streamEnd != stream_end::lastChunk)
        co_return true;
    m_state->stream.expires_after(m_state->core->settings.requestTimeout);
    const auto last = http::make_chunk_last();
    const auto [code, size] = co_await asio::async_write(m_state->stream, last, asTuple);
    co_return m_state->handleWriteResult(code);
}

asio::awaitable<asio::ip::tcp::socket *> http_exchange::upgrade(std::string_view protocol)
{
    const bool isNamed = boost::beast::iequals(m_state->request[http::field::upgrade], protocol);
    if (!isNamed || !m_state->isHttp11() || m_state->unread.size() > 0) {
        const std::array<response_header, 1> fields{{{"Upgrade", std::string(protocol)}}};
        m_state->request.keep_alive(false);
        co_await respond(int(http::status::upgrade_required), fields, {});
        co_return nullptr;
    }
    http::response<http::empty_body> response(http::status::switching_protocols, 11);
    response.set(http::field::connection, "Upgrade");
    response.set(http::field::upgrade, protocol);
    m_state->hasStartedResponse = true;
    m_state->keepAlive = false;
    m_state->stream.expires_after(m_state->core->settings.requestTimeout);
    const auto [code, size] = co_await http::async_write(m_state->stream, response, asTuple);
    m_state->stream.expires_never();
    co_return m_state->handleWriteResult(code) ? &m_state->stream.socket() : nullptr;
}

void http_exchange::abort()
{
    m_state->keepAlive = false;
    // Without the last chunk the caller detects a truncated response. The connection is closed and
    // not reset, since a reset would discard data that a slow caller has not read yet; but where
    // the response ends with the connection, only a reset shows that it is truncated.
    m_state->stream.close();
    m_state->markDisconnected();
}

bool http_exchange::hasStartedResponse() const
{
    return m_state->hasStartedResponse;
}

bool http_exchange::isCallerDisconnected() const
{
    return m_state->isCallerDisconnected;
}

void http_exchange::setDisconnectListener(std::function<void()> listener)
{
    m_state->disconnectListener = std::move(listener);
}

} // namespace quincefall
