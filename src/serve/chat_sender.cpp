#include "serve/chat_sender.h"

#include "kernel/asio_headers.h"
#include "serve/http_server.h"
#include "serve/respond.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds maxChangeWait{60'000};

json::object completionBody(const answer_stream &answer, const chat_job &job)
{
    json::object body{
        {"id", job.requestId}, {"object", "chat.completion"}, {"model", job.request.model}};
    boost::system::error_code failure;
    const json::value finish = json::parse(finishEvent(answer.assembly), failure);
    const json::object *object = failure ? nullptr : finish.if_object();
    if (const json::value *usage = object == nullptr ? nullptr : object->if_contains("usage"))
        body["usage"] = *usage;
    json::object message{{"role", "assistant"}, {"content", joinedContent(answer.assembly)}};
    body["choices"] = json::array{
        json::object{{"index", 0}, {"message", std::move(message)}, {"finish_reason", "stop"}}};
    return body;
}

std::string errorEvent(const problem &failure, const std::string &requestId)
{
    return "event: error\ndata: " + encodeProblem(failure, requestId) + "\n\n";
}

} // namespace

asio::awaitable<void> sendChatStream(http_exchange &exchange, const chat_job &job,
                                     std::shared_ptr<answer_stream> answer)
{
    std::size_t sent = offsetAfterToken(answer->assembly, job.resumeAfterToken.value_or(0));
    const std::vector<response_header> headers{{"Content-Type", "text/event-stream"},
                                               {"Cache-Control", "no-cache"},
                                               {"X-Request-Id", job.callerRequestId}};
    while (!exchange.isCallerDisconnected()) {
        const std::string &text = answer->assembly.text;
        if (sent < text.size()) {
            if (!exchange.hasStartedResponse() && !co_await exchange.beginStream(200, headers))
                co_return;
            // A copy, because the answer's text may be reallocated during the write.
            const std::string piece = text.substr(sent);
            sent += piece.size();
            co_await exchange.write(piece);
            continue;
        }
        if (answer->isDone())
            break;
        co_await answer->changed.wait(maxChangeWait);
    }
    if (answer->assembly.isComplete) {
        co_await exchange.endStream();
    } else if (answer->failure && !exchange.hasStartedResponse()) {
        co_await respondProblem(exchange, *answer->failure, job.callerRequestId);
    } else if (answer->failure) {
        co_await exchange.write(errorEvent(*answer->failure, job.callerRequestId));
        exchange.abort();
    }
}

asio::awaitable<void> sendChatJson(http_exchange &exchange, const chat_job &job,
                                   std::shared_ptr<answer_stream> answer)
{
    while (!exchange.isCallerDisconnected() && !answer->isDone())
        co_await answer->changed.wait(maxChangeWait);
    if (answer->assembly.isComplete)
        co_await respondJson(exchange, 200, completionBody(*answer, job), job.callerRequestId);
    else if (answer->failure)
        co_await respondProblem(exchange, *answer->failure, job.callerRequestId);
}

} // namespace quincefall
