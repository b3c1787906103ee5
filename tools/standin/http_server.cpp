#include "standin/http_server.h"

#include "kernel/asio_headers.h"
#include "standin/json_fields.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <set>

namespace quincefall::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);
constexpr std::uint64_t bodyLimitBytes = 64ULL * 1024 * 1024;
constexpr std::string_view adminPrefix = "/admin/";
constexpr std::string_view faultsPath = "/admin/faults";

using wire_request = http::request<http::string_body>;

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    explicit state(net::io_context &loop)
        : context(loop)
        , acceptor(loop)
        , faultsChanged(loop)
    {
    }

    net::io_context &context;
    tcp::acceptor acceptor;
    handler requestHandler;
    fault_set faults;
    boost::json::object faultsJson;
    wake_signal faultsChanged;
    std::set<http_connection *> connections;
};

/// A caller's connection, with the request that is in progress.
struct http_connection : std::enable_shared_from_this<http_connection>
{
    http_connection(tcp::socket accepted, std::shared_ptr<http_server::state> owner)
        : socket(std::move(accepted))
        , server(std::move(owner))
    {
        server->connections.insert(this);
    }

    ~http_connection() { server->connections.erase(this); }

    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    void close()
    {
        if (closed)
            return;
        closed = true;
        // Linger time 0 sends a reset instead of an orderly close, as when a process crashes.
        error_code ignored;
        socket.set_option(net::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        markDisconnected();
    }

    void markDisconnected()
    {
        closed = true;
        server->faultsChanged.notify();
        if (auto listener = std::exchange(disconnectListener, nullptr))
            listener();
    }

    tcp::socket socket;
    std::shared_ptr<http_server::state> server;
    boost::beast::flat_buffer buffer;
    wire_request request;
    net::cancellation_signal watchCancellation;
    std::function<void()> disconnectListener;
    bool closed = false;
    bool isSilenced = false; ///< silent_open was set while the connection was open.
    bool isAdmin = false; ///< The current request is exempt from faults.
};

namespace {

net::awaitable<void> sleepFor(net::io_context &context, milliseconds span)
{
    net::steady_timer timer(context, span);
    co_await timer.async_wait(asTuple);
}

/// Delays output to the caller while a fault keeps its connection silent.
net::awaitable<void> waitWhileSilent(std::shared_ptr<http_connection> connection)
{
    while (!connection->isAdmin && !connection->closed
           && (connection->server->faults.silent || connection->isSilenced))
        co_await connection->server->faultsChanged.wait();
}

/// Calls markDisconnected() if the caller closes the connection while its request runs.
void watchForDisconnect(const std::shared_ptr<http_connection> &connection)
{
    auto onReadable = [weak = std::weak_ptr(connection)](error_code failure) {
        const auto self = weak.lock();
        if (!self || self->closed || failure == net::error::operation_aborted)
            return;
        error_code ignored;
        if (failure || self->socket.available(ignored) == 0)
            self->markDisconnected();
    };
    connection->socket.async_wait(
        tcp::socket::wait_read,
        net::bind_cancellation_slot(connection->watchCancellation.slot(), std::move(onReadable)));
}

void applyFaults(http_server::state &server, const fault_set &faults, http_connection &requester)
{
    server.faults = faults;
    const std::set<http_connection *> openConnections = server.connections;
    for (http_connection *connection : openConnections) {
        if (connection == &requester)
            continue;
        connection->isSilenced = faults.silentOpen;
        if (faults.refuse)
            connection->close();
    }
    server.faultsChanged.notify();
}

net::awaitable<void> handleFaultsRequest(std::shared_ptr<http_exchange> exchange,
                                         std::shared_ptr<http_connection> connection)
{
    http_server::state &server = *connection->server;
    if (exchange->method() != "GET") {
        const auto object = parseObject(exchange->body());
        const auto faults = parseFaults(object.value_or(boost::json::object()));
        if (!object || !faults) {
            boost::json::value detail{
                {"error", object ? faults.error().detail : "the body is not a JSON object"}};
            co_await exchange->reply(400, std::move(detail));
            co_return;
        }
        server.faultsJson = *object;
        applyFaults(server, *faults, *connection);
    }
    boost::json::value current(server.faultsJson);
    co_await exchange->reply(200, std::move(current));
}

net::awaitable<void> handleRequest(std::shared_ptr<http_connection> connection)
{
    auto exchange = std::make_shared<http_exchange>(connection);
    const std::shared_ptr<http_server::state> server = connection->server;
    if (exchange->path() == faultsPath) {
        co_await handleFaultsRequest(exchange, connection);
        co_return;
    }
    watchForDisconnect(connection);
    co_await waitWhileSilent(connection);
    const bool appliesFaults = !connection->isAdmin;
    if (appliesFaults && server->faults.delay.count() > 0)
        co_await sleepFor(server->context, server->faults.delay);
    if (appliesFaults && server->faults.down) {
        boost::json::value body{{"error", "down"}};
        std::vector<http_header> headers{{"Retry-After", "1"}};
        co_await exchange->reply(503, std::move(body), std::move(headers));
    } else if (!connection->closed) {
        co_await server->requestHandler(exchange);
    }
    connection->watchCancellation.emit(net::cancellation_type::all);
}

net::awaitable<void> serveConnection(std::shared_ptr<http_connection> connection)
{
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimitBytes);
        const auto [failure, size]
            = co_await http::async_read(connection->socket, connection->buffer, parser, asTuple);
        if (failure || connection->closed)
            co_return;
        connection->request = parser.release();
        connection->isAdmin = connection->request.target().starts_with(adminPrefix);
        if (connection->server->faults.refuse && !connection->isAdmin) {
            connection->close();
            co_return;
        }
        const bool keepAlive = connection->request.keep_alive();
        co_await handleRequest(connection);
        connection->disconnectListener = nullptr;
        if (!keepAlive || connection->closed)
            co_return;
    }
}

net::awaitable<void> acceptConnections(std::shared_ptr<http_server::state> server)
{
    for (;;) {
        auto [failure, socket] = co_await server->acceptor.async_accept(asTuple);
        if (failure == net::error::operation_aborted)
            co_return;
        if (failure) {
            co_await sleepFor(server->context, milliseconds(10));
            continue;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<http_connection>(std::move(socket), server);
        net::co_spawn(server->context, serveConnection(std::move(connection)), net::detached);
    }
}

} // namespace

struct http_exchange::state
{
    std::shared_ptr<http_connection> connection;
    bool dropsAnswer = false; ///< The request takes effect but its response is not sent.
};

http_exchange::http_exchange(std::shared_ptr<http_connection> connection)
    : m_state(std::make_unique<state>())
{
    m_state->connection = std::move(connection);
    http_connection &self = *m_state->connection;
    fault_set &faults = self.server->faults;
    if (!self.isAdmin && faults.loseAnswers > 0 && self.request.method() == http::verb::post
        && path().starts_with(faults.losePath)) {
        --faults.loseAnswers;
        m_state->dropsAnswer = true;
    }
}

http_exchange::~http_exchange() = default;

std::string_view http_exchange::method() const
{
    const auto text = m_state->connection->request.method_string();
    return {text.data(), text.size()};
}

std::string_view http_exchange::path() const
{
    const auto target = m_state->connection->request.target();
    return std::string_view(target.data(), target.size()).substr(0, target.find('?'));
}

std::string_view http_exchange::header(std::string_view name) const
{
    const auto value = m_state->connection->request[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

std::string_view http_exchange::body() const
{
    return m_state->connection->request.body();
}

std::string_view http_exchange::query(std::string_view name) const
{
    const auto target = m_state->connection->request.target();
    std::string_view rest(target.data(), target.size());
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? std::string_view() : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

net::awaitable<void> http_exchange::reply(int status, boost::json::value body,
                                          std::vector<http_header> headers)
{
    const std::shared_ptr<http_connection> connection = m_state->connection;
    if (m_state->dropsAnswer)
        connection->close();
    co_await waitWhileSilent(connection);
    if (connection->closed)
        co_return;
    http::response<http::string_body> response(http::status(status), 11);
    response.set(http::field::content_type, "application/json");
    for (const http_header &header : headers)
        response.set(header.name, header.value);
    response.body() = boost::json::serialize(body);
    response.keep_alive(connection->request.keep_alive());
    response.prepare_payload();
    const auto [failure, size] = co_await http::async_write(connection->socket, response, asTuple);
    if (failure && !connection->closed)
        connection->markDisconnected();
}

net::awaitable<void> http_exchange::beginStream(std::vector<http_header> headers)
{
    const std::shared_ptr<http_connection> connection = m_state->connection;
    co_await waitWhileSilent(connection);
    if (connection->closed || m_state->dropsAnswer)
        co_return;
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "text/event-stream");
    for (const http_header &header : headers)
        response.set(header.name, header.value);
    response.keep_alive(connection->request.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    const auto [failure, size]
        = co_await http::async_write_header(connection->socket, serializer, asTuple);
    if (failure && !connection->closed)
        connection->markDisconnected();
}

net::awaitable<void> http_exchange::write(std::string text)
{
    const std::shared_ptr<http_connection> connection = m_state->connection;
    co_await waitWhileSilent(connection);
    if (connection->closed || m_state->dropsAnswer || text.empty())
        co_return;
    const auto chunk = http::make_chunk(net::buffer(text));
    const auto [failure, size] = co_await net::async_write(connection->socket, chunk, asTuple);
    if (failure && !connection->closed)
        connection->markDisconnected();
}

net::awaitable<void> http_exchange::finish()
{
    const std::shared_ptr<http_connection> connection = m_state->connection;
    if (m_state->dropsAnswer)
        connection->close();
    co_await waitWhileSilent(connection);
    if (connection->closed)
        co_return;
    const auto lastChunk = http::make_chunk_last();
    const auto [failure, size] = co_await net::async_write(connection->socket, lastChunk, asTuple);
    if (failure && !connection->closed)
        connection->markDisconnected();
}

void http_exchange::abort()
{
    m_state->connection->close();
}

bool http_exchange::closed() const
{
    return m_state->connection->closed;
}

void http_exchange::setDisconnectListener(std::function<void()> listener)
{
    m_state->connection->disconnectListener = std::move(listener);
}

http_server::http_server(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>>
http_server::makeHttpServer(net::io_context &context, const std::string &ip, std::uint16_t port)
{
    auto shared = std::make_shared<state>(context);
    error_code failure;
    const auto address = net::ip::make_address(ip, failure);
    if (failure)
        return makeError(result_code::settingsInvalid,
                         "invalid listen address: " + failure.message());
    const tcp::endpoint endpoint(address, port);
    shared->acceptor.open(endpoint.protocol());
    shared->acceptor.set_option(net::socket_base::reuse_address(true));
    shared->acceptor.bind(endpoint, failure);
    if (!failure)
        shared->acceptor.listen(net::socket_base::max_listen_connections, failure);
    if (failure)
        return makeError(result_code::settingsInvalid, "cannot listen: " + failure.message());
    return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

void http_server::start(handler requestHandler)
{
    m_state->requestHandler = std::move(requestHandler);
    net::co_spawn(m_state->context, acceptConnections(m_state), net::detached);
}

std::uint16_t http_server::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

const fault_set &http_server::faults() const
{
    return m_state->faults;
}

wake_signal &http_server::faultsChanged()
{
    return m_state->faultsChanged;
}

} // namespace quincefall::standin
