#include "serve/answer_relay.h"

#include "kernel/asio_headers.h"
#include "peer.pb.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds searchTimeout{1000};
constexpr milliseconds maxReadWait{1000};
constexpr milliseconds readCallMargin{1000};

void applyEvents(answer_stream &answer, std::string_view events)
{
    sse_reader reader;
    reader.feed(events);
    sse_event event;
    while (reader.next(event))
        addEvent(answer.assembly, event);
    answer.changed.notifyAll();
}

/// Progress of a query that was sent to all peers in parallel.
struct host_search
{
    explicit host_search(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    async_signal changed;
    std::string foundHost;
    int pendingReplies = 0; ///< Peers whose reply is outstanding.
};

} // namespace

struct answer_relay::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;

    asio::awaitable<result<std::string>> handleRead(std::string body) const
    {
        wire::AnswerRequest request;
        if (!request.ParseFromString(body))
            co_return makeError(result_code::messageInvalid,
                                "cannot decode an AnswerRequest message");
        wire::AnswerResponse response;
        const auto answer = needs.findLocalAnswer(request.request_id());
        const std::uint32_t after = request.after_token();
        // Another host delivered the tokens before the assembly's first; this host does not have
        // them.
        if (!answer || answer->digest != request.digest()
            || after + 1 < answer->assembly.firstTokenNumber)
            co_return response.SerializeAsString();
        if (request.wait_ms() > 0)
            ++answer->peerReads;
        const milliseconds wait = std::min(maxReadWait, milliseconds(request.wait_ms()));
        const auto hasNewTokens = [&answer, after] { return answer->assembly.delivered > after; };
        if (wait.count() > 0 && !hasNewTokens() && !answer->isDone())
            co_await answer->changed.wait(wait);
        response.set_found(true);
        response.set_events(
            answer->assembly.text.substr(offsetAfterToken(answer->assembly, after)));
        response.set_is_over(answer->isDone());
        co_return response.SerializeAsString();
    }

    /// Sends one read to @p host. Fails with notFound when the host does not have the answer.
    asio::awaitable<result<wire::AnswerResponse>>
    readOnce(std::string host, wire::AnswerRequest request, milliseconds timeout) const
    {
        const auto reply
            = co_await needs.mesh.call(host, "/answer", request.SerializeAsString(), timeout);
        if (!reply)
            co_return tl::unexpected(reply.error());
        wire::AnswerResponse response;
        if (!response.ParseFromString(*reply) || !response.found())
            co_return makeError(result_code::notFound, "the host is not running the request");
        co_return response;
    }

    static asio::awaitable<void> searchHost(std::shared_ptr<state> self,
                                            std::shared_ptr<host_search> search, std::string host,
                                            std::string requestId, std::uint64_t digest)
    {
        // With a token number beyond the end of any answer the reply carries no events; it tells
        // only whether the host has the answer.
        wire::AnswerRequest request;
        request.set_request_id(requestId);
        request.set_after_token(UINT32_MAX - 1);
        request.set_digest(digest);
        const auto response = co_await self->readOnce(host, request, searchTimeout);
        if (response && search->foundHost.empty())
            search->foundHost = host;
        --search->pendingReplies;
        search->changed.notifyAll();
    }
};

std::unique_ptr<answer_relay> answer_relay::makeAnswerRelay(dependencies needs)
{
    return std::unique_ptr<answer_relay>(
        new answer_relay(std::make_shared<state>(std::move(needs))));
}

answer_relay::answer_relay(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

answer_relay::~answer_relay() = default;

void answer_relay::start()
{
    m_state->needs.mesh.handle("/answer", [self = m_state](std::string body) {
        return self->handleRead(std::move(body));
    });
}

asio::awaitable<std::string> answer_relay::findHost(std::string requestId, std::uint64_t digest)
{
    const auto self = m_state;
    const auto search = std::make_shared<host_search>(self->needs.context.get_executor());
    for (const std::string &host : self->needs.liveHosts()) {
        if (host == self->needs.hostName)
            continue;
        ++search->pendingReplies;
        asio::co_spawn(self->needs.context,
                       state::searchHost(self, search, host, requestId, digest), asio::detached);
    }
    while (search->foundHost.empty() && search->pendingReplies > 0)
        co_await search->changed.wait(searchTimeout);
    co_return search->foundHost;
}

asio::awaitable<void> answer_relay::copyAnswer(std::string host,
                                               std::shared_ptr<answer_stream> answer)
{
    const auto self = m_state;
    while (!*answer->isAbandoned && !answer->assembly.isComplete) {
        wire::AnswerRequest request;
        request.set_request_id(answer->assembly.requestId);
        request.set_after_token(answer->assembly.delivered);
        request.set_wait_ms(std::uint32_t(maxReadWait.count()));
        request.set_digest(answer->digest);
        const auto response = co_await self->readOnce(host, request, maxReadWait + readCallMargin);
        if (!response)
            co_return;
        applyEvents(*answer, response->events());
        if (response->is_over())
            co_return;
    }
}

} // namespace quincefall
