#include "operate/peer_gather.h"

#include "kernel/asio_headers.h"
#include "kernel/async_signal.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds longestGather{60'000};

struct gathering
{
    explicit gathering(const asio::any_io_executor &executor)
        : finished(executor)
    {
    }

    async_signal finished;
    std::vector<gathered_answer> answers;
    std::size_t missing = 0;
};

asio::awaitable<void> askOne(std::shared_ptr<gathering> all, peer_mesh &mesh, std::size_t index,
                             std::string path, std::string body, milliseconds timeout)
{
    const std::string host = all->answers[index].host;
    auto answer = co_await mesh.call(host, std::move(path), std::move(body), timeout);
    all->answers[index].answer = std::move(answer);
    --all->missing;
    all->finished.notifyAll();
}

} // namespace

asio::awaitable<std::vector<gathered_answer>>
gatherFromPeers(asio::io_context &context, peer_mesh &mesh, std::vector<std::string> hosts,
                std::string path, std::string body, milliseconds timeout)
{
    const auto all = std::make_shared<gathering>(context.get_executor());
    for (std::string &host : hosts)
        all->answers.push_back(
            {std::move(host), makeError(result_code::peerTimeout, "no answer yet")});
    all->missing = all->answers.size();
    for (std::size_t index = 0; index < all->answers.size(); ++index)
        asio::co_spawn(context, askOne(all, mesh, index, path, body, timeout), asio::detached);
    while (all->missing > 0)
        co_await all->finished.wait(longestGather);
    co_return std::move(all->answers);
}

} // namespace quincefall
