#include "route/report_call.h"

#include "clients/message_framing.h"
#include "kernel/asio_headers.h"

#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace asio::experimental::awaitable_operators;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t maxAnswerBytes = 65'536;
constexpr std::size_t maxHeadBytes = 16'384;
// Answers before the report: interim ones, and late ones to earlier requests.
constexpr int maxDroppedAnswers = 16;

std::vector<http_header> fieldsOf(const http::response<http::string_body> &answer)
{
    std::vector<http_header> fields;
    for (const auto &field : answer)
        fields.emplace_back(field.name_string(), field.value());
    return fields;
}

/// Reads answers until the one to the call. The call has no id, so one that echoes an id belongs to
/// an earlier request on the connection.
asio::awaitable<report_end> readAnswer(pooled_connection &connection, const wire_format &wire)
{
    beast::flat_buffer buffer(maxHeadBytes + maxAnswerBytes);
    bool hasOtherAnswer = false;
    for (int dropped = 0; dropped <= maxDroppedAnswers; ++dropped) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(maxHeadBytes);
        parser.body_limit(maxAnswerBytes);
        auto [code, size]
            = co_await http::async_read_header(connection.socket, buffer, parser, asTuple);
        if (code || faultOfHead(parser.get()) != head_fault::none)
            break;
        const int status = int(parser.get().result_int());
        if (status < int(http::status::ok))
            continue;
        const answer_head head = wire.readAnswer(status, fieldsOf(parser.get()));
        if (!parser.need_eof())
            std::tie(code, size)
                = co_await http::async_read(connection.socket, buffer, parser, asTuple);
        const bool isWhole = !code && parser.is_done();
        if (!head.requestId.empty()) {
            if (!isWhole)
                break;
            hasOtherAnswer = true;
            continue;
        }
        report_end end;
        end.isAnswered = true;
        end.keepAlive = head.keepAlive;
        end.isReusable = isWhole && parser.keep_alive() && buffer.size() == 0 && !hasOtherAnswer;
        if (isWhole && status == int(http::status::ok))
            end.body = std::move(parser.get().body());
        co_return end;
    }
    co_return report_end{};
}

asio::awaitable<report_end> call(pooled_connection &connection, const wire_format &wire,
                                 const upstream_entry &entry)
{
    if (hasInput(connection.socket))
        co_return report_end{};
    connection.hasCarriedRequest = true;
    const std::string request = wire.writeLivenessCall(entry);
    const auto [code, size]
        = co_await asio::async_write(connection.socket, asio::buffer(request), asTuple);
    if (code)
        co_return report_end{};
    report_end end = co_await readAnswer(connection, wire);
    co_return end;
}

} // namespace

asio::awaitable<report_end> callForReport(pooled_connection &connection, const wire_format &wire,
                                          const upstream_entry &entry, microseconds limit)
{
    asio::steady_timer timer(connection.socket.get_executor(), limit);
    auto outcome = co_await (call(connection, wire, entry) || timer.async_wait(asTuple));
    co_return outcome.index() == 0 ? std::move(std::get<0>(outcome)) : report_end{};
}

} // namespace quincefall
