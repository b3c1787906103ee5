#include "operate/peer_gather.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds maxGatherWait{60'000};

struct gather_state
{
    explicit gather_state(const asio::any_io_executor &executor)
        : finished(executor)
    {
    }

    async_signal finished;
    std::vector<gathered_response> responses;
    std::size_t pending = 0;
};

asio::awaitable<void> callHost(std::shared_ptr<gather_state> gather, peer_mesh &mesh,
                               std::size_t index, std::string path, std::string body,
                               milliseconds timeout)
{
    const std::string host = gather->responses[index].host;
    auto response = co_await mesh.call(host, std::move(path), std::move(body), timeout);
    gather->responses[index].response = std::move(response);
    --gather->pending;
    gather->finished.notifyAll();
}

} // namespace

asio::awaitable<std::vector<gathered_response>>
gatherFromPeers(asio::io_context &context, peer_mesh &mesh, std::vector<std::string> hosts,
                std::string path, std::string body, milliseconds timeout)
{
    const auto gather = std::make_shared<gather_state>(context.get_executor());
    for (std::string &host : hosts)
        gather->responses.push_back(
            {std::move(host),
             makeError(result_code::peerTimeout, "the host has not responded yet")});
    gather->pending = gather->responses.size();
    for (std::size_t index = 0; index < gather->responses.size(); ++index)
        asio::co_spawn(context, callHost(gather, mesh, index, path, body, timeout), asio::detached);
    while (gather->pending > 0)
        co_await gather->finished.wait(maxGatherWait);
    co_return std::move(gather->responses);
}

} // namespace quincefall
