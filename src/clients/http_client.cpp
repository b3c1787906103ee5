#include "clients/http_client.h"

#include "clients/buffered_body.h"
#include "clients/connection_pool.h"
#include "clients/message_framing.h"
#include "kernel/asio_headers.h"
#include "policy/answer_proof.h"

#include <array>
#include <optional>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t maxIdleConnectionsPerAddress = 64;
constexpr std::size_t readBufferBytes = 16384;
constexpr std::uint64_t maxResponseBytes = 32ULL * 1024 * 1024;
// Of a head, a chunk's extension or a trailer, none of which the parser reads in parts.
constexpr std::size_t maxUnparsedBytes = 65'536;
constexpr milliseconds connectTimeout{1000};
constexpr int maxInterimAnswers = 16;
constexpr unsigned firstFinalStatus = 200;
// External services may close idle connections earlier; takeIdle() discards those.
constexpr milliseconds maxIdleTime = std::chrono::hours(24);

using connection = beast::tcp_stream;
using token = asio::as_tuple_t<asio::use_awaitable_t<>>;
constexpr token asTuple{};

error toError(const boost::system::error_code &code, const host_address &address)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? result_code::upstreamTimeout : result_code::upstreamFailed,
            toString(address) + ": " + code.message()};
}

error toError(const boost::system::error_code &code, const host_address &address,
              std::size_t bodyBytes)
{
    error failure = toError(code, address);
    if (bodyBytes > 0)
        failure.detail += " after " + std::to_string(bodyBytes) + " bytes of the body";
    return failure;
}

http::request<http::string_body> toBeast(const http_request &request, const host_address &address)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, toString(address));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// Reads the head of the final answer, whose body follows. Drops interim answers.
template <typename body_type>
asio::awaitable<boost::system::error_code>
readFinalHead(connection &stream, beast::flat_buffer &buffer,
              std::optional<http::response_parser<body_type>> &parser, http::verb method)
{
    for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
        parser.emplace();
        parser->body_limit(maxResponseBytes);
        parser->skip(method == http::verb::head);
        const auto [code, size]
            = co_await http::async_read_header(stream, buffer, *parser, asTuple);
        if (code)
            co_return code;
        const head_fault fault = faultOfHead(parser->get());
        if (fault == head_fault::transferCoding)
            co_return http::error::bad_transfer_encoding;
        if (fault != head_fault::none)
            co_return http::error::bad_status;
        if (parser->get().result_int() >= firstFinalStatus)
            co_return code;
    }
    co_return http::error::bad_status;
}

/// Fails unless the answer that @p parser has read to its end is proven whole. What an external
/// service may declare, or a second run show, is not known here, so that only framing is a proof.
template <typename body_type>
result<void> checkEnd(const http::response_parser<body_type> &parser, const host_address &address,
                      std::uint64_t bodyBytes)
{
    run_end end;
    end.isFramed = !parser.need_eof();
    if (proofOf(end) != answer_proof::none)
        return {};
    return makeError(result_code::upstreamFailed,
                     toString(address) + ": only its connection ended the answer after "
                         + std::to_string(bodyBytes)
                         + " bytes of the body, which does not prove it whole");
}

/// Wraps a pooled connection for use by a request; null stays null.
std::unique_ptr<connection> toTcpStream(connection_ptr taken)
{
    return taken ? std::make_unique<connection>(std::move(taken->socket)) : nullptr;
}

/// Bytes behind the answer belong to no request, and the next one must not read them.
template <typename body_type>
bool isReusable(const http::response_parser<body_type> &parser, const beast::flat_buffer &buffer)
{
    return parser.is_done() && parser.keep_alive() && buffer.size() == 0;
}

void returnToPool(connection_pool &pool, const host_address &address, connection &used)
{
    auto idle = std::make_unique<pooled_connection>(
        pooled_connection{used.release_socket(), maxIdleTime, instant{}});
    pool.putIdle(address, std::move(idle));
}

} // namespace

struct http_client::state
{
    std::shared_ptr<connection_pool> pool;
    std::shared_ptr<byte_budget> answers;

    std::unique_ptr<byte_share> addShare(connection &stream) const
    {
        return answers ? byte_budget::addShare(answers, [&stream] { stream.close(); }) : nullptr;
    }

    asio::awaitable<result<std::unique_ptr<connection>>> connect(host_address address,
                                                                 milliseconds timeout) const
    {
        auto opened = co_await pool->open(std::move(address), std::min(timeout, connectTimeout));
        if (!opened)
            co_return tl::unexpected(opened.error());
        co_return toTcpStream(std::move(*opened));
    }
};

struct http_stream::state
{
    std::weak_ptr<connection_pool> owner;
    host_address address;
    std::unique_ptr<connection> stream;
    beast::flat_buffer buffer{maxUnparsedBytes};
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, readBufferBytes> chunk{};
    std::uint64_t bodyBytes = 0; ///< Returned by read().

    ~state()
    {
        const auto connections = owner.lock();
        if (connections && stream && parser && isReusable(*parser, buffer))
            returnToPool(*connections, address, *stream);
    }
};

std::string_view http_response::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

http_stream::http_stream(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

http_stream::~http_stream() = default;

int http_stream::status() const
{
    return int(m_state->parser->get().result_int());
}

std::string_view http_stream::header(std::string_view name) const
{
    return m_state->parser->get()[name];
}

asio::awaitable<result<std::string_view>> http_stream::read(milliseconds timeout)
{
    auto &self = *m_state;
    while (!self.parser->is_done()) {
        auto &body = self.parser->get().body();
        body.data = self.chunk.data();
        body.size = self.chunk.size();
        body.more = true;
        self.stream->expires_after(timeout);
        const auto [code, size]
            = co_await http::async_read_some(*self.stream, self.buffer, *self.parser, asTuple);
        (void)size;
        if (code && code != http::error::need_buffer)
            co_return tl::unexpected(toError(code, self.address));
        parseBuffered(*self.parser, self.buffer);
        const std::size_t filled = self.chunk.size() - body.size;
        self.bodyBytes += filled;
        if (filled > 0)
            co_return std::string_view(self.chunk.data(), filled);
    }
    co_return std::string_view();
}

result<void> http_stream::checkWhole() const
{
    return checkEnd(*m_state->parser, m_state->address, m_state->bodyBytes);
}

void http_stream::close()
{
    if (m_state->stream)
        m_state->stream->close();
}

std::unique_ptr<http_client> http_client::makeHttpClient(asio::io_context &context,
                                                         std::shared_ptr<byte_budget> answers)
{
    return std::unique_ptr<http_client>(new http_client(std::make_shared<state>(
        state{connection_pool::makeConnectionPool(context, {maxIdleConnectionsPerAddress, false}),
              std::move(answers)})));
}

http_client::http_client(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

http_client::~http_client() = default;

asio::awaitable<result<std::unique_ptr<http_stream>>>
http_client::open(host_address address, http_request request, milliseconds timeout)
{
    const auto shared = m_state;
    const auto message = toBeast(request, address);
    while (true) {
        auto opened = std::make_unique<http_stream::state>();
        opened->owner = shared->pool;
        opened->address = address;
        opened->stream = toTcpStream(shared->pool->takeIdle(address));
        const bool isReused = opened->stream != nullptr;
        if (!isReused) {
            auto fresh = co_await shared->connect(address, timeout);
            if (!fresh)
                co_return tl::unexpected(fresh.error());
            opened->stream = std::move(*fresh);
        }
        opened->stream->expires_after(timeout);
        const auto [writeCode, written]
            = co_await http::async_write(*opened->stream, message, asTuple);
        boost::system::error_code code = writeCode;
        if (!code)
            code = co_await readFinalHead(*opened->stream, opened->buffer, opened->parser,
                                          message.method());
        if (!code)
            co_return std::unique_ptr<http_stream>(new http_stream(std::move(opened)));
        if (!isReused || code == beast::error::timeout)
            co_return tl::unexpected(toError(code, address));
    }
}

asio::awaitable<result<http_response>> http_client::send(host_address address, http_request request,
                                                         milliseconds timeout, connection_use use)
{
    auto response = co_await send(std::move(address), std::move(request),
                                  call_timeouts{timeout, timeout, timeout}, use);
    co_return response;
}

asio::awaitable<result<http_response>> http_client::send(host_address address, http_request request,
                                                         call_timeouts timeouts, connection_use use)
{
    const auto shared = m_state;
    const auto message = toBeast(request, address);
    const auto deadline = std::chrono::steady_clock::now() + timeouts.total;
    while (true) {
        auto stream
            = use == connection_use::reuse ? toTcpStream(shared->pool->takeIdle(address)) : nullptr;
        const bool isReused = stream != nullptr;
        if (!isReused) {
            auto fresh = co_await shared->connect(address, timeouts.response);
            if (!fresh)
                co_return tl::unexpected(fresh.error());
            stream = std::move(*fresh);
        }
        beast::flat_buffer buffer(maxUnparsedBytes);
        std::optional<http::response_parser<http::string_body>> parser;
        const auto setExpiry = [&stream, deadline](milliseconds time) {
            stream->expires_at(std::min(deadline, std::chrono::steady_clock::now() + time));
        };
        setExpiry(timeouts.response);
        const auto [writeCode, written] = co_await http::async_write(*stream, message, asTuple);
        boost::system::error_code code = writeCode;
        if (!code)
            code = co_await readFinalHead(*stream, buffer, parser, message.method());
        const auto held = shared->addShare(*stream);
        setExpiry(timeouts.silence);
        while (!code && !parser->is_done()) {
            const auto [readCode, size]
                = co_await http::async_read_some(*stream, buffer, *parser, asTuple);
            code = readCode;
            if (held && !held->resize(parser->get().body().capacity()))
                co_return makeError(result_code::upstreamFailed,
                                    toString(address)
                                        + ": the answer was dropped, since the host holds too "
                                          "many bytes of answers");
            setExpiry(timeouts.silence);
        }
        if (code) {
            if (isReused && code != beast::error::timeout)
                continue;
            co_return tl::unexpected(
                toError(code, address, parser ? parser->get().body().size() : 0));
        }
        // No failure of a reused connection: the server has run the request, so that it is not sent
        // again. That the server lives would prove nothing; it may end an answer early.
        if (const auto whole = checkEnd(*parser, address, parser->get().body().size()); !whole)
            co_return tl::unexpected(whole.error());
        auto &received = parser->get();
        http_response response;
        response.status = int(received.result_int());
        for (const auto &field : received)
            response.headers.emplace_back(field.name_string(), field.value());
        response.body = std::move(received.body());
        if (isReusable(*parser, buffer))
            returnToPool(*shared->pool, address, *stream);
        co_return response;
    }
}

} // namespace quincefall
