#include "clients/host_list_client.h"

#include "clients/http_client.h"

#include "kernel/asio_headers.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

listed_host decodeHost(const json::value &row)
{
    listed_host host;
    host.name = std::string(row.at("name").as_string());
    host.isEntry = row.at("role").as_string() == "entry";
    if (auto address = parseAddress(std::string_view(row.at("address").as_string())))
        host.address = *address;
    host.region = std::string(row.at("region").as_string());
    host.failureDomain = std::string(row.at("failure_domain").as_string());
    host.isLeaving = row.at("state").as_string() == "leaving";
    return host;
}

result<std::vector<listed_host>> decodeList(const http_response &response)
{
    std::vector<listed_host> hosts;
    try {
        const json::value body = json::parse(response.body);
        for (const json::value &row : body.at("hosts").as_array())
            hosts.push_back(decodeHost(row));
    } catch (const std::exception &failure) {
        return makeError(result_code::hostListUnavailable, failure.what());
    }
    return hosts;
}

} // namespace

asio::awaitable<result<std::vector<listed_host>>>
readHostList(http_client &client, host_address address, milliseconds timeout)
{
    http_request request;
    request.target = "/hosts";
    const auto response = co_await client.send(std::move(address), std::move(request), timeout);
    if (!response)
        co_return makeError(result_code::hostListUnavailable, response.error().detail);
    if (response->status != 200)
        co_return makeError(result_code::hostListUnavailable,
                            "the host list service answered " + std::to_string(response->status));
    co_return decodeList(*response);
}

} // namespace quincefall
