#include "serve/http_server.h"

#include "clients/message_framing.h"
#include "observe/log_setup.h"
#include "serve/accept_filter.h"
#include "serve/http_exchange_state.h"
#include "serve/problem.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <system_error>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds acceptRetryDelay{20};
// For handshakes that have begun when the server stops accepting.
constexpr milliseconds handshakeTime{20};
constexpr std::size_t initialReadBytes = 4096;
constexpr std::size_t bodyReadBytes = 16'384;
// Of a chunk's extension or a trailer, none of which the parser reads in parts.
constexpr std::size_t maxUnparsedBytes = 65'536;
// A body from which on a request is refused by its head where that is enough.
constexpr std::size_t checkedBodyBytes = 65'536;
constexpr std::size_t bytesPerField = 96; // Beside its text.
// A caller can't know when other requests have ended.
constexpr milliseconds memoryRetryAfter{1'000};
// Sizes of a socket's buffer in one direction. The kernel doubles them.
constexpr std::size_t minSocketBytes = 4'096;
constexpr std::size_t maxSocketBytes = 131'072;
constexpr double socketFactor = 4; // Two directions, each doubled.
// Bounds for a connection that is closed while its caller still sends, and for all of them.
constexpr milliseconds maxLingerTime{2'000};
constexpr std::size_t maxLingerBytes = 8UL * 1024 * 1024;
constexpr std::size_t maxLingering = 64;

using core_ptr = std::shared_ptr<http_server_core>;

result_code parseFailureCode(const boost::system::error_code &code,
                             const http_server::options &settings)
{
    // Also a chunk's extension or a trailer that is too long.
    if (code == http::error::header_limit || code == http::error::buffer_overflow)
        return settings.headerLimitCode;
    if (code == http::error::body_limit)
        return result_code::requestTooLarge;
    if (code == beast::error::timeout)
        return result_code::callerTimeout;
    return result_code::malformedRequest;
}

http::response<http::string_body> problemResponse(const problem &value)
{
    http::response<http::string_body> response(
        http::int_to_status(resultInfo(value.code).httpStatus), 11);
    response.set(http::field::content_type, "application/problem+json");
    if (value.retryAfter)
        response.set(http::field::retry_after, retryAfterSeconds(*value.retryAfter));
    response.keep_alive(false);
    response.body() = encodeProblem(value);
    response.prepare_payload();
    return response;
}

bool isClosedByPeer(tcp::socket &socket)
{
    boost::system::error_code code;
    std::array<char, 1> byte{};
    socket.non_blocking(true, code);
    const std::size_t size = socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return size == 0 && code != asio::error::would_block;
}

using caller_parser = http::request_parser<http::string_body>;

/// How reading a request, or its head, has ended.
struct read_end
{
    boost::system::error_code code;
    std::string_view fault; ///< Why the head is refused; empty if it is not.
    std::optional<problem> refusal; ///< Why the request is; empty if it is not.
};

problem problemOf(const read_end &end, const http_server::options &settings)
{
    if (end.refusal)
        return *end.refusal;
    if (end.code)
        return {parseFailureCode(end.code, settings), end.code.message(), {}, {}};
    return {result_code::malformedRequest, std::string(end.fault), {}, {}};
}

problem memoryProblem()
{
    return {result_code::memoryLimit, "other requests take the memory of this host",
            run_state::notRun, memoryRetryAfter};
}

/// Bytes of memory that the fields of the head take, and their copy where a trailer may follow.
std::size_t headBytes(caller_parser &parser)
{
    std::size_t bytes = 0;
    for (const auto &field : parser.get())
        bytes += bytesPerField + field.name_string().size() + field.value().size();
    return parser.chunked() ? 2 * bytes : bytes;
}

/// Bytes of memory that the body takes. Of one with a length, what has not arrived takes none yet.
std::size_t bodyBytes(caller_parser &parser)
{
    const std::string &body = parser.get().body();
    return parser.chunked() ? body.capacity() : body.size();
}

void freeBody(caller_parser &parser)
{
    std::string().swap(parser.get().body());
}

/// Parses what is in @p buffer; need_more if that is not the whole body.
boost::system::error_code parseBody(caller_parser &parser, beast::flat_buffer &buffer)
{
    boost::system::error_code code;
    while (!code && !parser.is_done()) {
        if (buffer.size() == 0)
            return http::error::need_more;
        const std::size_t used = parser.put(buffer.data(), code);
        buffer.consume(used);
        if (!code && used == 0)
            return http::error::need_more;
    }
    return code;
}

/// Why the host serves no request with this head, whose bytes were read in full; empty if it may.
std::string_view faultOfHead(const caller_parser &parser)
{
    const auto &request = parser.get();
    if (!hasPlainLength(request, request.version()))
        return request.count(http::field::transfer_encoding) > 0
            ? "the transfer coding is not just chunked"
            : "the content length is not one number";
    // What follows is data for the tunnel (RFC 9110, 9.3.6), and no request.
    if (request.method() == http::verb::connect)
        return "CONNECT is not supported";
    if (request.method() == http::verb::trace && !parser.is_done())
        return "TRACE has content";
    return {};
}

bool waitsForContinue(const http::request<http::string_body> &request)
{
    return request.version() >= 11 && beast::iequals(request[http::field::expect], "100-continue");
}

asio::awaitable<boost::system::error_code> writeContinue(beast::tcp_stream &stream)
{
    const http::response<http::empty_body> interim(http::status::continue_, 11);
    const auto [code, size] = co_await http::async_write(stream, interim, asTuple);
    co_return code;
}

asio::awaitable<void> writeHead(beast::tcp_stream &stream,
                                const http::response<http::string_body> &response)
{
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(stream, serializer, asTuple);
}

/// Reads the head of a request whose first bytes are in @p buffer. The bytes go to the parser here,
/// since it joins the lines of a folded field without a trace.
asio::awaitable<read_end> readHead(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                   caller_parser &parser)
{
    boost::system::error_code code = http::error::need_more;
    while (true) {
        if (buffer.size() > 0) {
            const std::size_t parsed = parser.put(buffer.data(), code);
            const std::string_view lines(static_cast<const char *>(buffer.data().data()), parsed);
            if (hasFoldedField(lines))
                co_return read_end{{}, "a field goes on in the next line", {}};
            buffer.consume(parsed);
        }
        if (!code && parser.is_header_done())
            co_return read_end{{}, faultOfHead(parser), {}};
        if (code && code != http::error::need_more)
            co_return read_end{code, {}, {}};
        const auto space = buffer.prepare(initialReadBytes);
        const auto [failure, size] = co_await stream.async_read_some(space, asTuple);
        buffer.commit(size);
        if (failure == asio::error::eof)
            co_return read_end{http::error::partial_message, {}, {}};
        if (failure)
            co_return read_end{failure, {}, {}};
    }
}

/// Ends an exchange whose handler threw, without an answer: whether the request ran is unknown.
void endFailedExchange(http_exchange &exchange, const std::exception_ptr &failure)
{
    std::string cause = "not a std::exception";
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &reason) {
        cause = reason.what();
    } catch (...) {
    }
    logError("request handler failed",
             {{"path", std::string(exchange.path())}, {"cause", std::move(cause)}});
    exchange.abort();
}

} // namespace

struct http_server::state
{
    state(asio::io_context &io, core_ptr shared)
        : context(io)
        , acceptor(io)
        , core(std::move(shared))
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    core_ptr core;
    int socketSize = 0; ///< Of the buffers of sockets that are accepted; 0 until set.

    static asio::awaitable<void> accept(std::shared_ptr<state> self);
    static asio::awaitable<void> stopAccepting(std::shared_ptr<state> self);
    static asio::awaitable<void> closeIdle(std::shared_ptr<state> self);
    void acceptQueued();
    void cancelIdle();
    void startServing(tcp::socket socket);
    static asio::awaitable<void> serve(core_ptr core, tcp::socket socket);
    static asio::awaitable<bool> serveOne(core_ptr core, beast::tcp_stream &stream,
                                          beast::flat_buffer &buffer);
    static asio::awaitable<read_end> readRequest(core_ptr core, beast::tcp_stream &stream,
                                                 beast::flat_buffer &buffer, caller_parser &parser,
                                                 byte_share &held);
    static asio::awaitable<read_end> readBody(core_ptr core, beast::tcp_stream &stream,
                                              beast::flat_buffer &buffer, caller_parser &parser,
                                              byte_share &held);
    static std::optional<problem> refusalOfHead(const core_ptr &core, beast::tcp_stream &stream,
                                                const beast::flat_buffer &buffer,
                                                caller_parser &parser);
    void limitSocketBytes(tcp::socket *accepted);
    std::size_t openConnections() const { return core->open.size() + core->starting; }
    static asio::awaitable<bool> readFirstBytes(core_ptr core, beast::tcp_stream &stream,
                                                beast::flat_buffer &buffer);
    static asio::awaitable<void> refuse(core_ptr core, tcp::socket socket);
    static asio::awaitable<void> linger(core_ptr core, beast::tcp_stream &stream);
    static asio::awaitable<void> watchDisconnect(http_exchange::state &exchange,
                                                 std::shared_ptr<bool> isOver);
};

/// Marks the exchange as disconnected when the caller closes the connection while the handler runs.
asio::awaitable<void> http_server::state::watchDisconnect(http_exchange::state &exchange,
                                                          std::shared_ptr<bool> isOver)
{
    auto &socket = exchange.stream.socket();
    const auto [code] = co_await socket.async_wait(tcp::socket::wait_read, asTuple);
    if (*isOver || code == asio::error::operation_aborted)
        co_return;
    if (code || isClosedByPeer(socket))
        exchange.markDisconnected();
}

/// Waits for the first bytes of the next request; false when the connection ends or times out.
asio::awaitable<bool> http_server::state::readFirstBytes(core_ptr core, beast::tcp_stream &stream,
                                                         beast::flat_buffer &buffer)
{
    core->idle.insert(&stream);
    stream.expires_after(core->settings.idleTimeout);
    const auto space = buffer.prepare(initialReadBytes);
    const auto [code, size] = co_await stream.async_read_some(space, asTuple);
    core->idle.erase(&stream);
    buffer.commit(size);
    co_return !code && !core->isStopped;
}

/// Reads a request whose first bytes are in @p buffer.
asio::awaitable<read_end> http_server::state::readRequest(core_ptr core, beast::tcp_stream &stream,
                                                          beast::flat_buffer &buffer,
                                                          caller_parser &parser, byte_share &held)
{
    parser.header_limit(core->settings.maxHeaderBytes);
    buffer.max_size(std::max(core->settings.maxHeaderBytes + maxUnparsedBytes,
                             buffer.size() + initialReadBytes));
    parser.body_limit(core->settings.maxBodyBytes);
    stream.expires_after(core->settings.headerTimeout);
    read_end head = co_await readHead(stream, buffer, parser);
    if (head.code || !head.fault.empty())
        co_return head;
    if (!held.resize(headBytes(parser)))
        co_return read_end{{}, {}, memoryProblem()};
    stream.expires_after(core->settings.requestTimeout);
    if (!parser.is_done() && waitsForContinue(parser.get())) {
        if (auto refusal = refusalOfHead(core, stream, buffer, parser))
            co_return read_end{{}, {}, std::move(refusal)};
        if (const auto code = co_await writeContinue(stream))
            co_return read_end{code, {}, {}};
    }
    http::fields &fields = parser.get();
    const http::fields fieldsOfHead = parser.chunked() ? fields : http::fields();
    read_end body = co_await readBody(core, stream, buffer, parser, held);
    // The parser adds the trailer to the fields of the head (RFC 9110, 6.5.1).
    if (parser.chunked())
        fields = fieldsOfHead;
    co_return body;
}

asio::awaitable<read_end> http_server::state::readBody(core_ptr core, beast::tcp_stream &stream,
                                                       beast::flat_buffer &buffer,
                                                       caller_parser &parser, byte_share &held)
{
    const std::size_t head = headBytes(parser);
    bool isChecked = false;
    parser.eager(true);
    while (true) {
        const auto parsed = parseBody(parser, buffer);
        if (parsed && parsed != http::error::need_more)
            co_return read_end{parsed, {}, {}};
        if (!held.resize(head + bodyBytes(parser) + buffer.size()))
            co_return read_end{{}, {}, memoryProblem()};
        if (!parsed)
            co_return read_end{};
        if (!isChecked && parser.get().body().size() >= checkedBodyBytes) {
            isChecked = true;
            if (auto refusal = refusalOfHead(core, stream, buffer, parser))
                co_return read_end{{}, {}, std::move(refusal)};
        }
        if (buffer.size() >= buffer.max_size())
            co_return read_end{http::error::buffer_overflow, {}, {}};
        const auto space
            = buffer.prepare(std::min(bodyReadBytes, buffer.max_size() - buffer.size()));
        const auto [code, size] = co_await stream.async_read_some(space, asTuple);
        buffer.commit(size);
        held.noteArrival(size);
        if (held.isEvicted())
            co_return read_end{{}, {}, memoryProblem()};
        if (code)
            co_return read_end{
                code == asio::error::eof ? http::error::partial_message : code, {}, {}};
    }
}

/// Asks the owner of the server whether it would refuse the request, whatever its body is.
std::optional<problem> http_server::state::refusalOfHead(const core_ptr &core,
                                                         beast::tcp_stream &stream,
                                                         const beast::flat_buffer &buffer,
                                                         caller_parser &parser)
{
    if (!core->settings.refusalOfHead)
        return std::nullopt;
    http::request<http::string_body> head(parser.get().base());
    const http_exchange exchange(std::unique_ptr<http_exchange::state>(
        new http_exchange::state{stream, core, buffer, std::move(head), {}, {}}));
    return core->settings.refusalOfHead(exchange);
}

/// Reads one request and runs its handler; false when the connection must be closed.
asio::awaitable<bool> http_server::state::serveOne(core_ptr core, beast::tcp_stream &stream,
                                                   beast::flat_buffer &buffer)
{
    if (buffer.size() == 0 && !co_await readFirstBytes(core, stream, buffer))
        co_return false;
    caller_parser parser;
    auto held = byte_budget::addShare(
        core->settings.held, [&stream] { stream.cancel(); }, share_kind::request);
    const read_end end = co_await readRequest(core, stream, buffer, parser, *held);
    if (end.code == http::error::end_of_stream || end.code == asio::error::connection_reset)
        co_return false;
    if (end.code || !end.fault.empty() || end.refusal) {
        freeBody(parser);
        held.reset();
        const auto response = problemResponse(problemOf(end, core->settings));
        stream.expires_after(core->settings.requestTimeout);
        if (parser.get().method() == http::verb::head)
            co_await writeHead(stream, response);
        else
            co_await http::async_write(stream, response, asTuple);
        co_return false;
    }
    stream.expires_never();
    held->pin();
    if (buffer.size() == 0)
        buffer.shrink_to_fit();
    http_exchange exchange(std::unique_ptr<http_exchange::state>(
        new http_exchange::state{stream, core, buffer, parser.release(), std::move(held), {}}));
    const auto isOver = std::make_shared<bool>(false);
    asio::co_spawn(stream.get_executor(), watchDisconnect(*exchange.m_state, isOver),
                   asio::detached);
    core->running.insert(exchange.m_state.get());
    std::exception_ptr failure;
    try {
        co_await core->requestHandler(exchange);
    } catch (...) {
        failure = std::current_exception();
    }
    core->running.erase(exchange.m_state.get());
    *isOver = true;
    if (failure)
        endFailedExchange(exchange, failure);
    boost::system::error_code ignored;
    stream.socket().cancel(ignored);
    // Closed without the shutdown that a whole response ends with, which would prevent a reset.
    if (exchange.isCallerDisconnected() && !exchange.m_state->isAnsweredAtOnce)
        stream.close();
    co_return exchange.m_state->keepAlive && !exchange.isCallerDisconnected();
}

asio::awaitable<void> http_server::state::serve(core_ptr core, tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    --core->starting;
    core->open.insert(&stream);
    beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen && !core->isStopped)
        isOpen = co_await serveOne(core, stream, buffer);
    core->open.erase(&stream);
    co_await linger(core, stream);
}

/// Closes the sending side and drops what the caller still sends. To close at once with bytes
/// unread would reset the connection, and the caller could lose the answer.
asio::awaitable<void> http_server::state::linger(core_ptr core, beast::tcp_stream &stream)
{
    boost::system::error_code code;
    stream.socket().shutdown(tcp::socket::shutdown_send, code);
    if (code || core->isStopped || core->lingering.size() >= maxLingering)
        co_return;
    core->lingering.insert(&stream);
    stream.expires_after(maxLingerTime);
    std::array<char, initialReadBytes> dropped{};
    for (std::size_t total = 0; !code && total < maxLingerBytes;) {
        std::size_t size = 0;
        std::tie(code, size) = co_await stream.async_read_some(asio::buffer(dropped), asTuple);
        total += size;
    }
    core->lingering.erase(&stream);
}

asio::awaitable<void> http_server::state::refuse(core_ptr core, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(seconds(1));
    const auto response = problemResponse(
        {result_code::connectionLimit, "too many open connections", run_state::notRun, seconds(1)});
    co_await http::async_write(stream, response, asTuple);
    co_await linger(core, stream);
}

/// Sets the sizes of the buffers of @p accepted, and of sockets that wait to be accepted. They fall
/// with the square of the number of connections, so that all together stay within twice the bound,
/// or the smallest sizes.
void http_server::state::limitSocketBytes(tcp::socket *accepted)
{
    if (core->settings.socketBytes == 0)
        return;
    const double full = double(core->settings.socketBytes) / socketFactor;
    const double open = double(openConnections());
    const double each = std::min(double(maxSocketBytes),
                                 full * full / maxSocketBytes / std::max(1.0, open * open));
    const int size = int(std::max(double(minSocketBytes), each));
    boost::system::error_code ignored; // Sockets then keep the sizes of the operating system.
    if (accepted) {
        accepted->set_option(asio::socket_base::receive_buffer_size(size), ignored);
        accepted->set_option(asio::socket_base::send_buffer_size(size), ignored);
    }
    if (size == std::exchange(socketSize, size))
        return;
    acceptor.set_option(asio::socket_base::receive_buffer_size(size), ignored);
    acceptor.set_option(asio::socket_base::send_buffer_size(size), ignored);
}

asio::awaitable<void> http_server::state::accept(std::shared_ptr<state> self)
{
    while (self->acceptor.is_open()) {
        self->limitSocketBytes(nullptr);
        auto [code, socket] = co_await self->acceptor.async_accept(asTuple);
        // A connection that was accepted just before the acceptor was closed is still served.
        if (code && !self->acceptor.is_open())
            co_return;
        if (code) {
            // Accepting fails when file descriptors run out: wait for connections to close instead
            // of retrying in a busy loop.
            asio::steady_timer pause(self->context, acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        if (self->core->open.size() >= self->core->settings.maxConnections)
            asio::co_spawn(self->context, refuse(self->core, std::move(socket)), asio::detached);
        else
            self->startServing(std::move(socket));
    }
}

void http_server::state::startServing(tcp::socket socket)
{
    limitSocketBytes(&socket);
    ++core->starting;
    asio::co_spawn(context, serve(core, std::move(socket)), asio::detached);
}

/// Accepts the connections in the listen queue, which closing the acceptor would reset.
void http_server::state::acceptQueued()
{
    boost::system::error_code code;
    acceptor.non_blocking(true, code);
    while (!code) {
        tcp::socket socket(context);
        acceptor.accept(socket, code);
        if (!code)
            startServing(std::move(socket));
    }
}

/// Closes the listening socket when no connection is on its way to it: the kernel resets those that
/// it has not handed over, and their callers can't tell whether their requests ran.
asio::awaitable<void> http_server::state::stopAccepting(std::shared_ptr<state> self)
{
    if (dropNewConnections(self->acceptor.native_handle())) {
        asio::steady_timer handshakes(self->context, handshakeTime);
        co_await handshakes.async_wait(asTuple);
    } else {
        logWarning("new connections can't be dropped before the listening socket is closed",
                   {{"cause", std::generic_category().message(errno)}});
    }
    self->acceptQueued();
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    asio::co_spawn(self->context, closeIdle(self), asio::detached);
}

/// Closes idle connections after closeGrace, so that a request which was in transit when the host
/// began to stop is still served.
asio::awaitable<void> http_server::state::closeIdle(std::shared_ptr<state> self)
{
    asio::steady_timer grace(self->context, self->core->settings.closeGrace);
    co_await grace.async_wait(asTuple);
    self->cancelIdle();
}

void http_server::state::cancelIdle()
{
    const auto idle = core->idle;
    for (beast::tcp_stream *stream : idle)
        stream->cancel();
}

result<std::unique_ptr<http_server>>
http_server::makeHttpServer(asio::io_context &context, options settings, handler requestHandler)
{
    auto core = std::make_shared<http_server_core>();
    core->settings = settings;
    core->requestHandler = std::move(requestHandler);
    auto shared = std::make_shared<state>(context, std::move(core));
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(settings.listen.ip, code);
    const tcp::endpoint endpoint(ip, settings.listen.port);
    if (!code)
        shared->acceptor.open(endpoint.protocol(), code);
    if (!code)
        shared->acceptor.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        shared->acceptor.bind(endpoint, code);
    if (!code)
        shared->acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return makeError(result_code::settingsInvalid,
                         "cannot listen on " + toString(settings.listen) + ": " + code.message());
    asio::co_spawn(context, state::accept(shared), asio::detached);
    return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

http_server::http_server(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

http_server::~http_server()
{
    stop();
}

std::uint16_t http_server::port() const
{
    boost::system::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

std::size_t http_server::activeExchanges() const
{
    return m_state->core->running.size();
}

void http_server::announceClose()
{
    m_state->core->isClosing = true;
}

asio::awaitable<void> http_server::stopAccepting()
{
    announceClose();
    if (m_state->acceptor.is_open())
        co_await state::stopAccepting(m_state);
}

void http_server::setLimits(const options &limits)
{
    options &settings = m_state->core->settings;
    settings.maxHeaderBytes = limits.maxHeaderBytes;
    settings.maxBodyBytes = limits.maxBodyBytes;
    settings.headerTimeout = limits.headerTimeout;
    settings.requestTimeout = limits.requestTimeout;
    settings.idleTimeout = limits.idleTimeout;
}

void http_server::closeIdle()
{
    m_state->cancelIdle();
}

void http_server::answerRunning(const problem &failure)
{
    const auto running = m_state->core->running;
    for (http_exchange::state *exchange : running)
        exchange->answerAtOnce(problemResponse(failure));
}

std::size_t http_server::openConnections() const
{
    return m_state->openConnections();
}

void http_server::stop()
{
    m_state->core->isStopped = true;
    announceClose();
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    auto open = m_state->core->open;
    open.merge(std::set(m_state->core->lingering));
    for (beast::tcp_stream *stream : open)
        stream->cancel();
}

} // namespace quincefall
