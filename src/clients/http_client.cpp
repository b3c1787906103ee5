#include "clients/http_client.h"

#include "kernel/asio_headers.h"

#include <array>
#include <deque>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t idleConnectionsPerAddress = 64;
constexpr std::size_t readBufferBytes = 16384;
constexpr std::uint64_t largestReply = 256ULL * 1024 * 1024;
constexpr milliseconds connectTimeout{1000};

using connection = beast::tcp_stream;
using connection_ptr = std::unique_ptr<connection>;
using token = asio::as_tuple_t<asio::use_awaitable_t<>>;
constexpr token asTuple{};

error toError(const boost::system::error_code &code, const host_address &address)
{
    const bool isTimeout = code == beast::error::timeout;
    return {isTimeout ? result_code::upstreamTimeout : result_code::upstreamFailed,
            toString(address) + ": " + code.message()};
}

tl::unexpected<error> unreachable(const boost::system::error_code &code,
                                  const host_address &address)
{
    return makeError(result_code::upstreamUnreachable, toString(address) + ": " + code.message());
}

http::request<http::string_body> toBeast(const http_request &request, const host_address &address)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, toString(address));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

bool hasInput(connection &idle)
{
    boost::system::error_code code;
    auto &socket = idle.socket();
    socket.non_blocking(true, code);
    std::array<char, 1> byte{};
    const std::size_t size = socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return size > 0 || code != asio::error::would_block;
}

/// Open connections that wait for their next request.
struct connection_pool
{
    explicit connection_pool(asio::io_context &io)
        : context(io)
    {
    }

    asio::io_context &context;
    std::map<host_address, std::deque<connection_ptr>> idle;

    connection_ptr takeIdle(const host_address &address)
    {
        auto &kept = idle[address];
        while (!kept.empty()) {
            connection_ptr candidate = std::move(kept.back());
            kept.pop_back();
            // Input on an idle connection means that the other end has closed it.
            if (!hasInput(*candidate))
                return candidate;
        }
        return nullptr;
    }

    void putIdle(const host_address &address, connection_ptr used)
    {
        auto &kept = idle[address];
        if (kept.size() < idleConnectionsPerAddress)
            kept.push_back(std::move(used));
    }

    asio::awaitable<result<connection_ptr>> connect(host_address address, milliseconds timeout)
    {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address(address.ip, failure);
        if (failure)
            co_return unreachable(failure, address);
        auto fresh = std::make_unique<connection>(context);
        fresh->expires_after(std::min(timeout, connectTimeout));
        const tcp::endpoint endpoint(ip, address.port);
        const auto [code] = co_await fresh->async_connect(endpoint, asTuple);
        if (code)
            co_return unreachable(code, address);
        fresh->socket().set_option(tcp::no_delay(true), failure);
        co_return fresh;
    }
};

} // namespace

struct http_client::state : connection_pool
{
    using connection_pool::connection_pool;
};

struct http_stream::state
{
    std::weak_ptr<connection_pool> owner;
    host_address address;
    connection_ptr stream;
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    std::array<char, readBufferBytes> piece{};

    /// Adds the chunks that were received already to the piece, so that many small ones cost one
    /// turn of the event loop. What is left over waits for the next read, which reports errors.
    void parseBuffered()
    {
        boost::system::error_code code;
        while (!code && !parser.is_done() && buffer.size() > 0 && parser.get().body().size > 0) {
            const std::size_t used = parser.put(buffer.data(), code);
            buffer.consume(used);
        }
    }

    ~state()
    {
        const auto connections = owner.lock();
        if (connections && stream && parser.is_done() && parser.keep_alive())
            connections->putIdle(address, std::move(stream));
    }
};

std::string_view http_reply::header(std::string_view name) const
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
    return int(m_state->parser.get().result_int());
}

std::string_view http_stream::header(std::string_view name) const
{
    return m_state->parser.get()[name];
}

asio::awaitable<result<std::string_view>> http_stream::read(milliseconds timeout)
{
    auto &self = *m_state;
    while (!self.parser.is_done()) {
        auto &body = self.parser.get().body();
        body.data = self.piece.data();
        body.size = self.piece.size();
        body.more = true;
        self.stream->expires_after(timeout);
        const auto [code, size]
            = co_await http::async_read_some(*self.stream, self.buffer, self.parser, asTuple);
        (void)size;
        if (code && code != http::error::need_buffer)
            co_return tl::unexpected(toError(code, self.address));
        self.parseBuffered();
        const std::size_t filled = self.piece.size() - body.size;
        if (filled > 0)
            co_return std::string_view(self.piece.data(), filled);
    }
    co_return std::string_view();
}

void http_stream::close()
{
    if (m_state->stream)
        m_state->stream->close();
}

std::unique_ptr<http_client> http_client::makeHttpClient(asio::io_context &context)
{
    return std::unique_ptr<http_client>(new http_client(std::make_shared<state>(context)));
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
        opened->owner = shared;
        opened->address = address;
        opened->parser.body_limit(largestReply);
        opened->stream = shared->takeIdle(address);
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
        if (!code) {
            const auto [readCode, size] = co_await http::async_read_header(
                *opened->stream, opened->buffer, opened->parser, asTuple);
            code = readCode;
        }
        if (!code)
            co_return std::unique_ptr<http_stream>(new http_stream(std::move(opened)));
        if (!isReused || code == beast::error::timeout)
            co_return tl::unexpected(toError(code, address));
    }
}

asio::awaitable<result<http_reply>> http_client::send(host_address address, http_request request,
                                                      milliseconds timeout, connection_use use)
{
    const auto shared = m_state;
    const auto message = toBeast(request, address);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        connection_ptr stream = use == connection_use::reuse ? shared->takeIdle(address) : nullptr;
        const bool isReused = stream != nullptr;
        if (!isReused) {
            auto fresh = co_await shared->connect(address, timeout);
            if (!fresh)
                co_return tl::unexpected(fresh.error());
            stream = std::move(*fresh);
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(largestReply);
        stream->expires_at(deadline);
        const auto [writeCode, written] = co_await http::async_write(*stream, message, asTuple);
        boost::system::error_code code = writeCode;
        if (!code) {
            const auto [readCode, size]
                = co_await http::async_read(*stream, buffer, parser, asTuple);
            code = readCode;
        }
        if (code) {
            if (isReused && code != beast::error::timeout)
                continue;
            co_return tl::unexpected(toError(code, address));
        }
        auto &answer = parser.get();
        http_reply reply;
        reply.status = int(answer.result_int());
        for (const auto &field : answer)
            reply.headers.emplace_back(field.name_string(), field.value());
        reply.body = std::move(answer.body());
        if (parser.keep_alive())
            shared->putIdle(address, std::move(stream));
        co_return reply;
    }
}

} // namespace quincefall
