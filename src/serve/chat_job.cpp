#include "serve/chat_job.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace quincefall {
namespace {

constexpr milliseconds minTokenGapTimeout{1000};
constexpr milliseconds minFirstTokenTimeout{3000};
constexpr int tokenGapTimeoutFactor = 10;
constexpr int firstTokenTimeoutFactor = 4;

result<void> parseIds(chat_job &job, const chat_headers &headers)
{
    job.isIdFromCaller = !headers.requestId.empty();
    if (job.isIdFromCaller && !isRequestId(headers.requestId))
        return makeError(result_code::malformedRequest,
                         "X-Request-Id: expected 1 to 64 letters, digits, '.', '_' or '-'");
    if (headers.lastEventId.empty())
        return {};
    std::uint32_t number = 0;
    if (!boost::conversion::try_lexical_convert(headers.lastEventId, number) || !job.isIdFromCaller)
        return makeError(result_code::malformedRequest,
                         "Last-Event-ID: expected a token number and an X-Request-Id");
    job.resumeAfterToken = number;
    return {};
}

} // namespace

result<chat_job> makeChatJob(const config_state &config, caller_identity caller,
                             std::string_view body, const chat_headers &headers)
{
    auto request = parseChatRequest(body);
    if (!request)
        return tl::unexpected(request.error());
    const std::string name = request->model.substr(0, request->model.find(':'));
    const auto *declared = findSpec<model>(config, resource_kind::model, name);
    if (declared == nullptr)
        return makeError(result_code::notFound, "model \"" + name + "\" is not declared");
    chat_job job;
    if (auto ids = parseIds(job, headers); !ids)
        return tl::unexpected(ids.error());
    job.caller = std::move(caller);
    job.request = std::move(*request);
    job.pool = declared->pool;
    if (job.isIdFromCaller)
        setCallerRequestId(job, std::string(headers.requestId));
    return job;
}

void setCallerRequestId(chat_job &job, std::string callerRequestId)
{
    job.callerRequestId = std::move(callerRequestId);
    job.requestId = job.caller.organisation + "." + job.callerRequestId;
}

permit_query toPermitQuery(const chat_job &job, std::uint32_t delivered)
{
    permit_query query;
    query.pool = job.pool;
    query.requestId = job.requestId;
    query.organisation = job.caller.organisation;
    query.serviceClass = job.caller.serviceClass;
    query.model = job.request.model;
    query.prefixHash = job.request.prefixHash;
    query.promptTokens = job.request.promptTokens;
    query.resumeFrom = delivered;
    query.excluded = job.excluded;
    query.arrival = job.arrival;
    query.maxWait = job.caller.policy.maxWait;
    return query;
}

engine_call toEngineCall(const chat_job &job, const host_address &address)
{
    const service_class &policy = job.caller.policy;
    engine_call call;
    call.address = address;
    call.requestId = job.requestId;
    call.attemptId = job.requestId + "." + std::to_string(job.attempts);
    call.body = job.request.engineBody;
    call.priority = policy.tier;
    call.firstTokenTimeout
        = std::max(minFirstTokenTimeout, policy.firstTokenTarget * firstTokenTimeoutFactor);
    call.tokenGapTimeout
        = std::max(minTokenGapTimeout, policy.tokenGapTarget * tokenGapTimeoutFactor);
    return call;
}

} // namespace quincefall
