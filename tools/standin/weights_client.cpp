#include "standin/weights_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace quincefall::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr auto tokenOfTuple = net::as_tuple(net::use_awaitable);

} // namespace

net::awaitable<int> fetchWeights(net::io_context &context, std::string ip, std::uint16_t port,
                                 std::string model, std::string version)
{
    net::ip::tcp::socket socket(context);
    const net::ip::tcp::endpoint endpoint(net::ip::make_address(ip), port);
    const auto [refused] = co_await socket.async_connect(endpoint, tokenOfTuple);
    if (refused)
        co_return 0;
    const std::string target = "/weights/" + model + "/" + version;
    const http::request<http::empty_body> request(http::verb::get, target, 11);
    const auto [unsent, sent] = co_await http::async_write(socket, request, tokenOfTuple);
    if (unsent)
        co_return 0;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [unread, read] = co_await http::async_read(socket, buffer, response, tokenOfTuple);
    co_return unread ? 0 : int(response.result_int());
}

} // namespace quincefall::standin
