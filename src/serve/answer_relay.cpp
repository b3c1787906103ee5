#include "serve/answer_relay.h"

#include "kernel/asio_headers.h"
#include "peer.pb.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds findTimeout{300};
constexpr milliseconds longestWait{1000};
constexpr milliseconds callMargin{1000};

void addEvents(answer_stream &answer, std::string_view events)
{
    sse_reader reader;
    reader.feed(events);
    sse_event event;
    while (reader.next(event))
        addEvent(answer.assembly, event);
    answer.changed.notifyAll();
}

} // namespace

struct answer_relay::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;

    asio::awaitable<result<std::string>> onRead(std::string body) const
    {
        wire::AnswerRequest request;
        if (!request.ParseFromString(body))
            co_return makeError(result_code::messageInvalid, "not a request for an answer");
        wire::AnswerResponse response;
        const auto answer = needs.find(request.request_id());
        const std::uint32_t after = request.after_token();
        // Tokens before the answer's first were delivered by another host and are not kept here.
        if (!answer || after + 1 < answer->assembly.firstToken)
            co_return response.SerializeAsString();
        const milliseconds wait = std::min(longestWait, milliseconds(request.wait_ms()));
        const auto isNew = [&answer, after] { return answer->assembly.delivered > after; };
        if (wait.count() > 0 && !isNew() && !answer->isDone()) {
            ++answer->readers;
            co_await answer->changed.wait(wait);
            --answer->readers;
        }
        response.set_found(true);
        response.set_events(answer->assembly.text.substr(positionAfter(answer->assembly, after)));
        response.set_is_over(answer->isDone());
        co_return response.SerializeAsString();
    }

    /// Asks @p host once; fails when it does not have the answer.
    asio::awaitable<result<wire::AnswerResponse>> ask(std::string host, std::string requestId,
                                                      std::uint32_t afterToken, milliseconds wait,
                                                      milliseconds timeout) const
    {
        wire::AnswerRequest request;
        request.set_request_id(requestId);
        request.set_after_token(afterToken);
        request.set_wait_ms(std::uint32_t(wait.count()));
        const auto reply
            = co_await needs.mesh.call(host, "/answer", request.SerializeAsString(), timeout);
        if (!reply)
            co_return tl::unexpected(reply.error());
        wire::AnswerResponse response;
        if (!response.ParseFromString(*reply) || !response.found())
            co_return makeError(result_code::notFound, "the host does not run the request");
        co_return response;
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
    m_state->needs.mesh.handle(
        "/answer", [self = m_state](std::string body) { return self->onRead(std::move(body)); });
}

asio::awaitable<std::string> answer_relay::findHost(std::string requestId)
{
    const auto self = m_state;
    const std::vector<std::string> hosts = self->needs.liveHosts();
    for (const std::string &host : hosts) {
        if (host == self->needs.hostName)
            continue;
        // Any token number beyond the end only asks whether the answer is there.
        const auto found
            = co_await self->ask(host, requestId, UINT32_MAX - 1, milliseconds(0), findTimeout);
        if (found)
            co_return host;
    }
    co_return std::string();
}

asio::awaitable<void> answer_relay::follow(std::string host, std::shared_ptr<answer_stream> answer)
{
    const auto self = m_state;
    while (!*answer->isAbandoned && !answer->assembly.isComplete) {
        const auto response
            = co_await self->ask(host, answer->assembly.requestId, answer->assembly.delivered,
                                 longestWait, longestWait + callMargin);
        if (!response)
            co_return;
        addEvents(*answer, response->events());
        if (response->is_over())
            co_return;
    }
}

} // namespace quincefall
