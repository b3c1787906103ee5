#include "serve/engine_attempt.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds cancelTimeout{500};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr std::uint32_t noTokens = 0;
constexpr std::size_t maxEventBytes = 256UL * 1024;
constexpr std::size_t maxAnswerBytes = 32UL * 1024 * 1024;

http_request toRequest(const engine_call &call, std::uint32_t delivered)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", call.requestId},
                       {"X-Attempt-Id", call.attemptId},
                       {"X-Priority", std::to_string(call.priority)}};
    if (delivered > noTokens)
        request.headers.emplace_back("Last-Event-ID", std::to_string(delivered));
    request.body = call.body;
    return request;
}

/// Appends the events that @p piece completes to the answer. Fails with streamMismatch when an
/// event is malformed or a token is missing.
result<void> appendPiece(answer_assembly &assembly, sse_reader &reader, std::string_view piece)
{
    reader.feed(piece);
    sse_event event;
    while (reader.next(event)) {
        const event_outcome verdict = addEvent(assembly, event);
        if (verdict == event_outcome::gap)
            return makeError(result_code::streamMismatch, "a token is missing in the stream");
        if (verdict == event_outcome::malformed)
            return makeError(result_code::streamMismatch, "the stream has a malformed event");
    }
    if (reader.pendingBytes() > maxEventBytes)
        return makeError(result_code::streamMismatch, "an event of the stream has no end");
    if (assembly.text.size() > maxAnswerBytes)
        return makeError(result_code::upstreamFailed, "the answer is too long");
    return {};
}

engine_outcome outcomeOfStatus(int status)
{
    engine_outcome outcome;
    outcome.failure
        = error{result_code::upstreamFailed, "the engine answered " + std::to_string(status)};
    outcome.isEngineOverloaded = status == statusUnavailable || status == statusTooMany;
    outcome.isRequestRejected
        = status >= 400 && status < 500 && status != statusTooMany && status != statusNotFound;
    return outcome;
}

/// Asks an engine to stop an attempt whose answer is no longer needed.
asio::awaitable<void> cancelAtEngine(http_client &client, engine_call call)
{
    http_request request;
    request.method = "POST";
    request.target = "/cancel";
    request.body = boost::json::serialize(
        boost::json::object{{"request_id", call.requestId}, {"attempt_id", call.attemptId}});
    // A fresh connection, since a fault of the current one may be why the attempt ended.
    const auto use = http_client::connection_use::fresh;
    co_await client.send(call.address, std::move(request), cancelTimeout, use);
}

/// Appends the engine's events to the answer until it is complete, fails or is abandoned.
asio::awaitable<result<void>> readStream(http_stream &stream, const engine_call &call,
                                         clock_source clock, instant begin,
                                         std::shared_ptr<answer_stream> answer,
                                         engine_outcome &outcome)
{
    sse_reader reader;
    const std::uint32_t tokensBefore = answer->assembly.delivered;
    while (!*answer->isAbandoned) {
        const bool hasFirstToken = answer->assembly.delivered > tokensBefore;
        const auto piece
            = co_await stream.read(hasFirstToken ? call.tokenGapTimeout : call.firstTokenTimeout);
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (piece->empty() && answer->assembly.isComplete)
            co_return result<void>();
        if (piece->empty())
            co_return makeError(result_code::streamIncomplete,
                                "the stream ended before its end mark");
        const auto added = appendPiece(answer->assembly, reader, *piece);
        attempt_usage &usage = outcome.usage;
        usage.tokens = answer->assembly.delivered - tokensBefore;
        if (!hasFirstToken && usage.tokens > 0)
            usage.timeToFirstToken = clock.now() - begin;
        answer->changed.notifyAll();
        if (!added)
            co_return added;
        const bool isRunning = usage.tokens > 0 && !answer->assembly.hasFinishEvent;
        if (isRunning && call.shouldMove && call.shouldMove(usage.tokens)) {
            outcome.isMoved = true;
            co_return makeError(result_code::upstreamTimeout,
                                "the token rate is below the target of the service class");
        }
    }
    co_return result<void>();
}

} // namespace

asio::awaitable<engine_outcome> runEngineAttempt(http_client &client, clock_source clock,
                                                 engine_call call,
                                                 std::shared_ptr<answer_stream> answer)
{
    const instant begin = clock.now();
    auto request = toRequest(call, answer->assembly.delivered);
    auto stream = co_await client.open(call.address, std::move(request), call.firstTokenTimeout);
    engine_outcome outcome;
    if (!stream) {
        outcome.failure = stream.error();
    } else if ((*stream)->status() != statusOk) {
        outcome = outcomeOfStatus((*stream)->status());
        // The engine may send the refusal once more, where the answer to a later call is due.
        (*stream)->close();
    } else if ((*stream)->header("X-Attempt-Id") != call.attemptId) {
        outcome.failure
            = error{result_code::streamMismatch, "the response belongs to another attempt"};
    } else {
        const auto read = co_await readStream(**stream, call, clock, begin, answer, outcome);
        if (!read)
            outcome.failure = read.error();
    }
    outcome.usage.duration = clock.now() - begin;
    outcome.usage.failed
        = outcome.failure.has_value() && !outcome.isEngineOverloaded && !outcome.isMoved;
    outcome.usage.stopped = outcome.isMoved || (!outcome.failure && !answer->assembly.isComplete);
    const bool mayStillRun = !answer->assembly.isComplete && !outcome.isEngineOverloaded
        && !outcome.isRequestRejected
        && !(outcome.failure && outcome.failure->code == result_code::upstreamUnreachable);
    if (mayStillRun) {
        if (stream)
            (*stream)->close();
        asio::co_spawn(co_await asio::this_coro::executor, cancelAtEngine(client, call),
                       asio::detached);
    }
    co_return outcome;
}

} // namespace quincefall
