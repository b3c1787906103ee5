#include "clients/log_client.h"

#include "clients/http_client.h"

#include "kernel/asio_headers.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int maxRecordsPerRead = 1000;
constexpr milliseconds readTimeoutMargin{2000};
constexpr int statusOk = 200;
constexpr int statusGone = 410;

result<log_page> decodePage(const http_response &response)
{
    log_page page;
    try {
        const json::value body = json::parse(response.body);
        page.oldestOffset = body.at("first").to_number<std::uint64_t>();
        page.nextOffset = body.at("next").to_number<std::uint64_t>();
        page.isTruncated = response.status == statusGone;
        if (page.isTruncated)
            return page;
        for (const json::value &record : body.at("records").as_array()) {
            page.records.push_back({record.at("offset").to_number<std::uint64_t>(),
                                    std::string(record.at("data").as_string())});
        }
    } catch (const std::exception &failure) {
        return makeError(result_code::logUnavailable, failure.what());
    }
    return page;
}

result<std::uint64_t> decodeOffset(const http_response &response)
{
    boost::system::error_code failure;
    const json::value body = json::parse(response.body, failure);
    const json::object *object = body.if_object();
    const json::value *offset = object == nullptr ? nullptr : object->if_contains("offset");
    if (failure || offset == nullptr)
        return makeError(result_code::appendUnknown, "the log's answer has no offset");
    const auto number = offset->to_number<std::uint64_t>(failure);
    if (failure)
        return makeError(result_code::appendUnknown, "the log's answer has no offset");
    return number;
}

} // namespace

log_client::log_client(http_client &client, host_address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

asio::awaitable<result<std::uint64_t>>
log_client::append(std::string stream, std::vector<std::string> records, milliseconds timeout) const
{
    json::array texts;
    for (std::string &record : records)
        texts.emplace_back(record);
    http_request request;
    request.method = "POST";
    request.target = "/streams/" + stream + "/records";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json::serialize(json::object{{"records", std::move(texts)}});
    // A retry could append the records twice, so the HTTP client must not retry by itself.
    const auto response = co_await m_client.send(m_address, std::move(request), timeout,
                                                 http_client::connection_use::fresh);
    if (!response && response.error().code == result_code::upstreamUnreachable)
        co_return makeError(result_code::logUnavailable, response.error().detail);
    if (!response)
        co_return makeError(result_code::appendUnknown, response.error().detail);
    if (response->status != statusOk)
        co_return makeError(result_code::logUnavailable,
                            "the log answered " + std::to_string(response->status));
    co_return decodeOffset(*response);
}

asio::awaitable<result<log_page>> log_client::read(std::string stream, std::uint64_t from,
                                                   milliseconds wait) const
{
    http_request request;
    request.target = "/streams/" + stream + "/records?from=" + std::to_string(from)
        + "&max=" + std::to_string(maxRecordsPerRead) + "&wait_ms=" + std::to_string(wait.count());
    const auto response
        = co_await m_client.send(m_address, std::move(request), wait + readTimeoutMargin);
    if (!response)
        co_return makeError(result_code::logUnavailable, response.error().detail);
    if (response->status != statusOk && response->status != statusGone)
        co_return makeError(result_code::logUnavailable,
                            "the log answered " + std::to_string(response->status));
    co_return decodePage(*response);
}

} // namespace quincefall
