#include "serve/respond.h"

#include "serve/http_server.h"

#include <boost/json/serialize.hpp>

#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

void addRequestId(std::vector<response_header> &headers, const std::string &requestId)
{
    if (!requestId.empty())
        headers.push_back({"X-Request-Id", requestId});
}

} // namespace

asio::awaitable<void> respondProblem(http_exchange &exchange, problem failure,
                                     std::string requestId)
{
    std::vector<response_header> headers{{"Content-Type", "application/problem+json"}};
    if (failure.retryAfter)
        headers.push_back({"Retry-After", retryAfterSeconds(*failure.retryAfter)});
    addRequestId(headers, requestId);
    const int status = resultInfo(failure.code).httpStatus;
    co_await exchange.respond(status, headers, encodeProblem(failure, requestId));
}

asio::awaitable<void> respondJson(http_exchange &exchange, int status, boost::json::object body,
                                  std::string requestId)
{
    std::vector<response_header> headers{{"Content-Type", "application/json"}};
    addRequestId(headers, requestId);
    co_await exchange.respond(status, headers, boost::json::serialize(body));
}

} // namespace quincefall
