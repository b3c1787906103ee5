#include "peer/peer_mesh.h"

#include "peer/peer_link.h"
#include "peer/peer_server.h"

#include <map>
#include <utility>

namespace quincefall {

namespace asio = boost::asio;
using asio::ip::tcp;

struct peer_mesh::state : std::enable_shared_from_this<peer_mesh::state>
{
    state(asio::io_context &loop, options values)
        : context(loop)
        , settings(std::move(values))
    {
    }

    asio::io_context &context;
    options settings;
    std::shared_ptr<byte_counter> counter = std::make_shared<byte_counter>();
    std::shared_ptr<peer_server> server;
    reachability_listener onReachability;
    std::map<std::string, host_address, std::less<>> addresses;
    std::map<std::string, std::shared_ptr<peer_link>, std::less<>> links;
    bool stopped = false;

    result<std::shared_ptr<peer_link>> linkTo(const std::string &host);
};

result<std::shared_ptr<peer_link>> peer_mesh::state::linkTo(const std::string &host)
{
    if (stopped)
        return makeError(result_code::hostStopping, "this host is stopping");
    if (const auto entry = links.find(host); entry != links.end())
        return entry->second;
    const auto address = addresses.find(host);
    if (address == addresses.end())
        return makeError(result_code::peerUnreachable, "the address of " + host + " is not known");
    boost::system::error_code failure;
    const auto number = asio::ip::make_address(address->second.ip, failure);
    if (failure)
        return makeError(result_code::peerUnreachable, "not an IP address: " + address->second.ip);
    const auto onChange = [weak = weak_from_this(), host](bool reachable) {
        const auto self = weak.lock();
        if (self && self->onReachability)
            self->onReachability(host,
                                 reachable ? reachability::reachable : reachability::suspected);
    };
    peer_link::options linkOptions{tcp::endpoint(number, address->second.port), settings.secret,
                                   settings.connectTimeout, settings.pingInterval,
                                   settings.pingTimeout};
    const auto link
        = std::make_shared<peer_link>(context, std::move(linkOptions), onChange, counter);
    links.emplace(host, link);
    return link;
}

result<std::unique_ptr<peer_mesh>> peer_mesh::makePeerMesh(asio::io_context &context,
                                                           options settings)
{
    auto shared = std::make_shared<state>(context, std::move(settings));
    const options &used = shared->settings;
    auto server = peer_server::makePeerServer(context, {used.listen, used.secret, used.idleTimeout},
                                              shared->counter);
    if (!server)
        return tl::unexpected(server.error());
    shared->server = std::move(*server);
    return std::unique_ptr<peer_mesh>(new peer_mesh(std::move(shared)));
}

peer_mesh::peer_mesh(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

peer_mesh::~peer_mesh()
{
    stop();
}

std::uint16_t peer_mesh::port() const
{
    return m_state->server->port();
}

void peer_mesh::handle(std::string path, handler function)
{
    m_state->server->handle(std::move(path), std::move(function));
}

void peer_mesh::setAddress(const std::string &name, host_address address)
{
    const auto entry = m_state->addresses.find(name);
    if (entry != m_state->addresses.end() && entry->second == address)
        return;
    disconnect(name);
    m_state->links.erase(name);
    m_state->addresses.insert_or_assign(name, std::move(address));
}

namespace {

asio::awaitable<result<std::string>> callOwnHost(asio::io_context &context,
                                                 std::shared_ptr<peer_server> server,
                                                 std::string path, std::string body,
                                                 milliseconds timeout)
{
    const auto pending = std::make_shared<pending_call>(context.get_executor());
    const auto complete
        = [pending](result<std::string> answer) { pending->complete(std::move(answer)); };
    const auto signal = std::make_shared<asio::cancellation_signal>();
    server->run(path, std::move(body), signal, complete);
    auto waiting = waitForAnswer(pending, timeout);
    result<std::string> answer = co_await std::move(waiting);
    if (!pending->answer)
        signal->emit(asio::cancellation_type::terminal);
    co_return answer;
}

} // namespace

asio::awaitable<result<std::string>> peer_mesh::call(std::string host, std::string path,
                                                     std::string body, milliseconds timeout)
{
    // Keeps the state alive, since the mesh may be destroyed before the answer arrives.
    const std::shared_ptr<state> shared = m_state;
    if (host == shared->settings.hostName) {
        auto running = callOwnHost(shared->context, shared->server, std::move(path),
                                   std::move(body), timeout);
        co_return co_await std::move(running);
    }
    const auto link = shared->linkTo(host);
    if (!link)
        co_return tl::unexpected(link.error());
    auto running = (*link)->call(std::move(path), std::move(body), timeout);
    co_return co_await std::move(running);
}

void peer_mesh::onReachability(reachability_listener listener)
{
    m_state->onReachability = std::move(listener);
}

asio::awaitable<bool> peer_mesh::ping(std::string host)
{
    const auto link = m_state->linkTo(host);
    if (!link)
        co_return false;
    auto pinging = (*link)->ping();
    co_return co_await std::move(pinging);
}

asio::awaitable<bool> peer_mesh::reconnect(std::string host)
{
    const auto link = m_state->linkTo(host);
    if (!link)
        co_return false;
    auto connecting = (*link)->reconnect();
    co_return co_await std::move(connecting);
}

void peer_mesh::disconnect(const std::string &host)
{
    const auto entry = m_state->links.find(host);
    if (entry != m_state->links.end())
        entry->second->close("the connection was closed");
}

peer_mesh::traffic peer_mesh::trafficTotals() const
{
    return {m_state->counter->sent, m_state->counter->received};
}

void peer_mesh::stop()
{
    m_state->stopped = true;
    m_state->server->stop();
    for (const auto &[host, link] : m_state->links)
        link->close("this host is stopping");
}

} // namespace quincefall
