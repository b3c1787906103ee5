#include "standin/json_fields.h"
#include "standin/rate_limit.h"
#include "standin/role.h"

#include <boost/asio.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace quincefall::standin {
namespace {

namespace json = boost::json;

constexpr std::string_view streamsPrefix = "/streams/";
constexpr std::string_view recordsSuffix = "/records";
constexpr std::int64_t maxRecordsPerRead = 1000;
constexpr std::int64_t maxWaitMs = 60'000;

/// Records of one stream. `first` is the offset of the oldest record that is kept.
struct log_stream
{
    std::int64_t first = 0;
    std::deque<std::string> records;

    std::int64_t next() const { return first + std::int64_t(records.size()); }
};

class log_standin
{
public:
    log_standin(boost::asio::io_context &context, http_server &server, const role_options &options)
        : m_server(server)
        , m_options(options)
        , m_limit(options.appendsPerSecond, std::max(1.0, options.appendsPerSecond))
        , m_appended(context)
    {
    }

    boost::asio::awaitable<void> handle(std::shared_ptr<http_exchange> exchange);

private:
    boost::asio::awaitable<void> append(std::shared_ptr<http_exchange> exchange, std::string name);
    boost::asio::awaitable<void> read(std::shared_ptr<http_exchange> exchange, std::string name);
    json::value describeStreams() const;
    void trim(log_stream &stream) const;

    http_server &m_server;
    role_options m_options;
    rate_limit m_limit;
    wake_signal m_appended;
    std::map<std::string, log_stream, std::less<>> m_streams;
    std::int64_t m_appends = 0;
    std::int64_t m_refusedAppends = 0;
};

std::int64_t parseNumber(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json::array describeRecords(const log_stream &stream, std::int64_t from, std::int64_t max)
{
    json::array records;
    const std::int64_t end = std::min(stream.next(), from + max);
    for (std::int64_t offset = from; offset < end; ++offset)
        records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.first]}});
    return records;
}

std::string streamName(std::string_view path)
{
    if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix))
        return {};
    path.remove_prefix(streamsPrefix.size());
    path.remove_suffix(std::min(recordsSuffix.size(), path.size()));
    return std::string(path);
}

boost::asio::awaitable<void> log_standin::handle(std::shared_ptr<http_exchange> exchange)
{
    const std::string name = streamName(exchange->path());
    if (!name.empty() && exchange->method() == "POST") {
        co_await append(exchange, name);
    } else if (!name.empty() && exchange->method() == "GET") {
        co_await read(exchange, name);
    } else if (exchange->path() == "/admin/streams") {
        json::value streams = describeStreams();
        co_await exchange->reply(200, std::move(streams));
    } else {
        json::value body{{"error", "unknown path"}};
        co_await exchange->reply(404, std::move(body));
    }
}

boost::asio::awaitable<void> log_standin::append(std::shared_ptr<http_exchange> exchange,
                                                 std::string name)
{
    const auto body = parseObject(exchange->body());
    const json::value *records = body ? body->if_contains("records") : nullptr;
    if (records == nullptr || !records->is_array() || records->get_array().empty()) {
        json::value detail{{"error", "`records` must be a non-empty array"}};
        co_await exchange->reply(400, std::move(detail));
        co_return;
    }
    if (!m_limit.tryTake(std::chrono::steady_clock::now())) {
        ++m_refusedAppends;
        json::value detail{{"error", "append rate limit exceeded"}};
        std::vector<http_header> headers{{"Retry-After", "1"}};
        co_await exchange->reply(429, std::move(detail), std::move(headers));
        co_return;
    }
    ++m_appends;
    log_stream &stream = m_streams[name];
    const std::int64_t offset = stream.next();
    for (const json::value &record : records->get_array())
        stream.records.emplace_back(record.is_string() ? std::string(record.get_string()) : "");
    trim(stream);
    m_appended.notify();
    json::value answer{{"offset", offset}};
    co_await exchange->reply(200, std::move(answer));
}

boost::asio::awaitable<void> log_standin::read(std::shared_ptr<http_exchange> exchange,
                                               std::string name)
{
    const std::int64_t from = std::max<std::int64_t>(0, parseNumber(exchange->query("from"), 0));
    const std::int64_t max = std::clamp<std::int64_t>(
        parseNumber(exchange->query("max"), maxRecordsPerRead), 1, maxRecordsPerRead);
    const std::int64_t wait
        = std::clamp<std::int64_t>(parseNumber(exchange->query("wait_ms"), 0), 0, maxWaitMs);
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait);
    log_stream &stream = m_streams[name];
    while (stream.next() <= from && !exchange->closed() && !m_server.faults().down
           && std::chrono::steady_clock::now() < deadline)
        co_await m_appended.wait(deadline);
    trim(stream);
    int status = 200;
    json::object answer{{"first", stream.first}, {"next", stream.next()}};
    if (m_server.faults().down) {
        // An outage that begins during a long poll ends it with an error.
        status = 503;
        answer = {{"error", "down"}};
    } else if (from < stream.first) {
        status = 410;
    } else {
        answer["records"] = describeRecords(stream, from, max);
    }
    json::value body(std::move(answer));
    co_await exchange->reply(status, std::move(body));
}

json::value log_standin::describeStreams() const
{
    json::object streams;
    for (const auto &[name, stream] : m_streams)
        streams[name] = {{"first", stream.first},
                         {"next", stream.next()},
                         {"records", describeRecords(stream, stream.first, stream.next())}};
    return {{"streams", std::move(streams)},
            {"appends", m_appends},
            {"refused_appends", m_refusedAppends}};
}

void log_standin::trim(log_stream &stream) const
{
    const std::int64_t kept = m_server.faults().retention.value_or(m_options.retention);
    while (std::int64_t(stream.records.size()) > kept) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace

http_server::handler makeLogStandin(boost::asio::io_context &context, http_server &server,
                                    const role_options &options)
{
    auto role = std::make_shared<log_standin>(context, server, options);
    return [role](std::shared_ptr<http_exchange> exchange) {
        return role->handle(std::move(exchange));
    };
}

} // namespace quincefall::standin
