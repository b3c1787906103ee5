#include "standin/weights_client.h"

#include "kernel/asio_headers.h"

namespace quincefall::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto asTuple = net::as_tuple(net::use_awaitable);

} // namespace

net::awaitable<int> fetchWeights(net::io_context &context, std::string ip, std::uint16_t port,
                                 std::string model, std::string version)
{
    net::ip::tcp::socket socket(context);
    const net::ip::tcp::endpoint endpoint(net::ip::make_address(ip), port);
    const auto [connectError] = co_await socket.async_connect(endpoint, asTuple);
    if (connectError)
        co_return 0;
    const std::string target = "/weights/" + model + "/" + version;
    const http::request<http::empty_body> request(http::verb::get, target, 11);
    const auto [writeError, sent] = co_await http::async_write(socket, request, asTuple);
    if (writeError)
        co_return 0;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [readError, read] = co_await http::async_read(socket, buffer, response, asTuple);
    co_return readError ? 0 : int(response.result_int());
}

} // namespace quincefall::standin
