#include "serve/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace quincefall {

std::string encodeProblem(const problem &value, std::string_view requestId)
{
    const result_info &info = resultInfo(value.code);
    boost::json::object body{{"type", "urn:quincefall:error:" + std::string(info.name)},
                             {"title", info.summary},
                             {"status", info.httpStatus},
                             {"code", int(value.code)},
                             {"detail", value.detail},
                             {"run", toString(value.run)}};
    if (!requestId.empty())
        body["request_id"] = requestId;
    if (value.retryAfter)
        body["retry_after_ms"] = value.retryAfter->count();
    return boost::json::serialize(body);
}

std::string retryAfterSeconds(milliseconds wait)
{
    const auto whole = std::chrono::ceil<seconds>(wait).count();
    return std::to_string(std::max<long>(1, whole));
}

} // namespace quincefall
