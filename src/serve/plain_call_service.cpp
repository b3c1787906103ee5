#include "serve/plain_call_service.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "observe/timeline.h"
#include "operate/config_service.h"
#include "serve/chat_request.h"
#include "serve/claim_service.h"
#include "serve/http_server.h"
#include "serve/respond.h"

#include <algorithm>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr std::string_view servicePrefix = "/services/";
constexpr int maxAttempts = 3;
constexpr milliseconds failedRetryAfter{1000};
constexpr std::size_t maxIdempotencyKeyChars = 255;

/// State of one call.
struct plain_call
{
    std::string requestId;
    std::string callerRequestId;
    std::string service;
    std::string path;
    plain_service declared;
    caller_identity caller;
    instant arrival;
    std::string attempt; ///< Attempt id of the call's claim; empty for repeatable calls.
    std::vector<std::string> excluded;
};

result<std::pair<std::string, std::string>> splitTarget(std::string_view target)
{
    const std::string_view rest = target.substr(servicePrefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0)
        return makeError(result_code::notFound, "expected /services/{name}/{path}");
    return std::pair(std::string(rest.substr(0, slash)), std::string(rest.substr(slash)));
}

/// Keys are stored in log records, so they are limited to 1..255 printable ASCII characters.
bool isIdempotencyKey(std::string_view key)
{
    const auto isPrintable = [](char character) { return character > ' ' && character <= '~'; };
    return !key.empty() && key.size() <= maxIdempotencyKeyChars
        && std::all_of(key.begin(), key.end(), isPrintable);
}

/// Digest of the parts in which requests with the same idempotency key must agree.
std::string requestDigest(const http_exchange &exchange, const plain_call &call)
{
    std::string text(exchange.method());
    text += '\n' + call.path + '\n';
    text += std::string(exchange.header("Content-Type")) + '\n';
    text += exchange.body();
    return sha256Hex(text);
}

/// The error for a repeated call whose response body was too large, or not valid UTF-8, to be
/// stored.
problem bodyNotStored(const claim_result &stored)
{
    return {result_code::callOutcomeUnknown,
            "the call ran and answered with status " + std::to_string(stored.status)
                + "; its body was not kept, SHA-256 " + stored.bodyDigest,
            run_state::partial,
            {}};
}

bool isCertainlyNotRun(const error &failure)
{
    return failure.code == result_code::upstreamUnreachable;
}

} // namespace

struct plain_call_service::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::uint64_t nextId = 1;

    result<plain_call> makeCall(const http_exchange &exchange, caller_identity caller)
    {
        const auto target = splitTarget(exchange.target());
        if (!target)
            return tl::unexpected(target.error());
        plain_call call;
        call.service = target->first;
        call.path = target->second;
        const auto *declared
            = findSpec<plain_service>(needs.config.state(), resource_kind::service, call.service);
        if (declared == nullptr)
            return makeError(result_code::notFound,
                             "service \"" + call.service + "\" is not declared");
        call.declared = *declared;
        if (!declared->isRepeatable && exchange.header("Idempotency-Key").empty())
            return makeError(result_code::idempotencyKeyMissing,
                             "calls of \"" + call.service + "\" may not be repeated");
        if (!declared->isRepeatable && !isIdempotencyKey(exchange.header("Idempotency-Key")))
            return makeError(result_code::malformedRequest,
                             "an Idempotency-Key has 1..255 printable ASCII characters");
        call.callerRequestId = std::string(exchange.header("X-Request-Id"));
        if (!isRequestId(call.callerRequestId))
            call.callerRequestId = needs.hostName + "-" + std::to_string(needs.incarnation) + "-s"
                + std::to_string(nextId++);
        call.requestId = caller.organisation + "." + call.callerRequestId;
        call.caller = std::move(caller);
        call.arrival = needs.clock.now();
        return call;
    }

    permit_query toQuery(const plain_call &call) const
    {
        permit_query query;
        query.pool = call.declared.pool;
        query.requestId = call.requestId;
        query.organisation = call.caller.organisation;
        query.serviceClass = call.caller.serviceClass;
        query.excluded = call.excluded;
        query.arrival = call.arrival;
        query.maxWait = call.caller.policy.maxWait;
        return query;
    }

    asio::awaitable<result<http_response>> send(const http_exchange &exchange,
                                                const plain_call &call, host_address address)
    {
        http_request request;
        request.method = std::string(exchange.method());
        request.target = call.path;
        request.headers = {{"X-Request-Id", call.requestId}};
        for (const char *name : {"Content-Type", "Idempotency-Key"}) {
            if (const std::string_view value = exchange.header(name); !value.empty())
                request.headers.emplace_back(name, value);
        }
        request.body = exchange.body();
        const auto use = call.declared.isRepeatable ? http_client::connection_use::reuse
                                                    : http_client::connection_use::fresh;
        co_return co_await needs.client.send(std::move(address), std::move(request),
                                             call.declared.timeout, use);
    }

    instant sendDeadline(const plain_call &call) const
    {
        return call.arrival + call.caller.policy.maxWait;
    }

    asio::awaitable<claim_service::outcome> claim(const http_exchange &exchange,
                                                  const plain_call &call)
    {
        claim_service::request claimRequest;
        claimRequest.key = {call.caller.organisation, call.service,
                            std::string(exchange.header("Idempotency-Key"))};
        claimRequest.digest = requestDigest(exchange, call);
        claimRequest.deadline = sendDeadline(call);
        claimRequest.serviceTimeout = call.declared.timeout;
        co_return co_await needs.claims.claim(std::move(claimRequest));
    }

    /// Records the call's result in its claim, or releases the claim when the call did not run.
    void settle(const plain_call &call, const tl::expected<http_response, problem> &reply)
    {
        if (reply)
            needs.claims.settle(
                call.attempt,
                makeClaimResult(reply->status, reply->header("Content-Type"), reply->body));
        else if (reply.error().run == run_state::notRun)
            needs.claims.release(call.attempt);
        else
            needs.claims.settle(call.attempt, std::nullopt);
    }

    /// Runs a call that must not be repeated, or returns the stored response of its earlier run.
    asio::awaitable<tl::expected<http_response, problem>>
    runAtMostOnce(const http_exchange &exchange, plain_call call)
    {
        auto claimed = co_await claim(exchange, call);
        if (auto *refusal = std::get_if<problem>(&claimed))
            co_return tl::unexpected(*refusal);
        if (auto *stored = std::get_if<claim_result>(&claimed)) {
            if (!stored->isBodyKept)
                co_return tl::unexpected(bodyNotStored(*stored));
            http_response reply;
            reply.status = stored->status;
            reply.headers = {{"Content-Type", stored->contentType}};
            reply.body = stored->body;
            co_return reply;
        }
        call.attempt = std::get<claim_service::grant>(claimed).attempt;
        auto reply = co_await run(exchange, call);
        settle(call, reply);
        co_return reply;
    }

    asio::awaitable<tl::expected<http_response, problem>> dispatch(const http_exchange &exchange,
                                                                   plain_call call)
    {
        if (!call.declared.isRepeatable)
            co_return co_await runAtMostOnce(exchange, std::move(call));
        co_return co_await run(exchange, std::move(call));
    }

    /// Whether the call may be sent now. Its claim and deadline must be checked directly before
    /// each send.
    bool mayStillSend(const plain_call &call) const
    {
        return call.attempt.empty() || needs.claims.mayStillSend(call.attempt, sendDeadline(call));
    }

    /// Sends the call to one upstream after another until one responds or no attempt is left. A
    /// call that must not be repeated ends with the first attempt that may have run.
    asio::awaitable<tl::expected<http_response, problem>> run(const http_exchange &exchange,
                                                              plain_call call)
    {
        problem lastProblem{result_code::noUpstream, "no upstream accepted the call",
                            run_state::notRun, failedRetryAfter};
        for (int attempt = 1; attempt <= maxAttempts; ++attempt) {
            const auto isCancelled = std::make_shared<bool>(false);
            auto query = toQuery(call);
            const auto held = co_await needs.permits.acquire(std::move(query), isCancelled);
            if (!held)
                co_return tl::unexpected(attempt == 1 ? held.error() : lastProblem);
            const instant begin = needs.clock.now();
            if (!mayStillSend(call)) {
                attempt_usage unused;
                unused.stopped = true;
                needs.permits.release(*held, unused);
                lastProblem.code = result_code::deadlineUnreachable;
                co_return tl::unexpected(lastProblem);
            }
            const upstream *target
                = findUpstream(needs.config.state(), call.declared.pool, held->upstream);
            result<http_response> reply = makeError(result_code::upstreamUnreachable, "undeclared");
            if (target != nullptr)
                reply = co_await send(exchange, call, target->address);
            attempt_usage usage;
            usage.duration = needs.clock.now() - begin;
            usage.failed = !reply.has_value();
            needs.permits.release(*held, usage);
            needs.events.record(reply ? "call.done" : "call.failed", call.requestId, held->upstream,
                                {{"reason", reply ? "" : reply.error().detail}});
            if (reply)
                co_return std::move(*reply);
            const bool mayHaveRun = !isCertainlyNotRun(reply.error());
            lastProblem = {reply.error().code, reply.error().detail,
                           mayHaveRun || lastProblem.run == run_state::unknown ? run_state::unknown
                                                                               : run_state::notRun,
                           failedRetryAfter};
            if (mayHaveRun && !call.declared.isRepeatable)
                break;
            call.excluded.push_back(held->upstream);
        }
        co_return tl::unexpected(lastProblem);
    }
};

std::unique_ptr<plain_call_service> plain_call_service::makePlainCallService(dependencies needs)
{
    return std::unique_ptr<plain_call_service>(
        new plain_call_service(std::make_shared<state>(std::move(needs))));
}

plain_call_service::plain_call_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

plain_call_service::~plain_call_service() = default;

asio::awaitable<void> plain_call_service::handle(http_exchange &exchange, caller_identity caller)
{
    const auto self = m_state;
    auto call = self->makeCall(exchange, std::move(caller));
    if (!call) {
        const problem failure{call.error().code, call.error().detail, run_state::notRun, {}};
        co_await respondProblem(exchange, failure, std::string());
        co_return;
    }
    const std::string callerRequestId = call->callerRequestId;
    const auto reply = co_await self->dispatch(exchange, *call);
    if (!reply) {
        co_await respondProblem(exchange, reply.error(), callerRequestId);
        co_return;
    }
    const std::vector<response_header> headers{
        {"Content-Type", std::string(reply->header("Content-Type"))},
        {"X-Request-Id", callerRequestId}};
    co_await exchange.respond(reply->status, headers, reply->body);
}

} // namespace quincefall
