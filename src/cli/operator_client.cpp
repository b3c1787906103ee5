#include "cli/operator_client.h"

#include "kernel/asio_headers.h"

#include <boost/json/parse.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <random>

DEFINE_string(host, "", "operator addresses ip:port, comma separated; the first that answers");
DEFINE_string(key, "", "operator key; QUINCEFALL_OPERATOR_KEY when it is not given");

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *keyEnvironmentVariable = "QUINCEFALL_OPERATOR_KEY";
constexpr milliseconds responseTimeout{15'000};
constexpr milliseconds idleTimeout{15'000};
constexpr int statusOk = 200;

std::string operatorKey()
{
    const char *fromEnvironment = std::getenv(keyEnvironmentVariable);
    if (!FLAGS_key.empty() || fromEnvironment == nullptr)
        return FLAGS_key;
    return fromEnvironment;
}

bool parseHosts(const std::string &text, std::vector<host_address> &hosts)
{
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const auto address = parseAddress(std::string_view(text).substr(begin, end - begin));
        if (!address)
            return false;
        hosts.push_back(*address);
        begin = end + 1;
    }
    return !hosts.empty();
}

std::string stringField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace

struct operator_client::state
{
    asio::io_context context{1};
    std::unique_ptr<http_client> client = http_client::makeHttpClient(context);
    std::vector<host_address> hosts;
    std::string key;

    /// Runs @p task to completion on this thread.
    template <typename value_type>
    value_type run(asio::awaitable<value_type> task)
    {
        std::optional<value_type> value;
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(task),
                       [&value, &failure](std::exception_ptr thrown, value_type done) {
                           failure = thrown;
                           value = std::move(done);
                       });
        context.restart();
        context.run();
        if (failure)
            std::rethrow_exception(failure);
        return std::move(*value);
    }

    void authorise(http_request &request) const
    {
        request.headers.emplace_back("Authorization", "Bearer " + key);
    }

    asio::awaitable<result<http_response>> sendTo(host_address address, http_request request)
    {
        auto response
            = co_await client->send(std::move(address), std::move(request), responseTimeout);
        context.stop();
        co_return response;
    }

    static bool deliverLines(std::string &buffer,
                             const std::function<bool(std::string_view)> &onLine)
    {
        std::size_t end = 0;
        while ((end = buffer.find('\n')) != std::string::npos) {
            const std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 1);
            if (!line.empty() && !onLine(line))
                return false;
        }
        return true;
    }

    asio::awaitable<result<void>> followFrom(host_address address, http_request request,
                                             const std::function<bool(std::string_view)> &onLine)
    {
        auto stream
            = co_await client->open(std::move(address), std::move(request), responseTimeout);
        if (!stream) {
            context.stop();
            co_return tl::unexpected(stream.error());
        }
        const bool isAccepted = (*stream)->status() == statusOk;
        std::string buffer;
        result<void> outcome;
        while (outcome) {
            const auto chunk = co_await (*stream)->read(idleTimeout);
            if (!chunk) {
                outcome = tl::unexpected(chunk.error());
                break;
            }
            if (chunk->empty()) {
                outcome = (*stream)->checkWhole();
                break;
            }
            buffer += *chunk;
            if (isAccepted && !deliverLines(buffer, onLine))
                break;
        }
        if (!isAccepted)
            outcome = makeError(result_code::malformedRequest, buffer);
        (*stream)->close();
        context.stop();
        co_return outcome;
    }
};

std::unique_ptr<operator_client> operator_client::makeFromFlags()
{
    auto owned = std::make_unique<state>();
    owned->key = operatorKey();
    if (!parseHosts(FLAGS_host, owned->hosts)) {
        std::cerr
            << "quincefall: --host: expected one or more ip:port addresses, separated by commas\n";
        return nullptr;
    }
    if (owned->key.empty()) {
        std::cerr << "quincefall: no operator key: give --key or set " << keyEnvironmentVariable
                  << '\n';
        return nullptr;
    }
    return std::unique_ptr<operator_client>(new operator_client(std::move(owned)));
}

operator_client::operator_client(std::unique_ptr<state> owned)
    : m_state(std::move(owned))
{
}

operator_client::~operator_client() = default;

result<http_response> operator_client::send(std::string method, std::string target,
                                            std::string body, std::vector<http_header> headers)
{
    http_request request{std::move(method), std::move(target), std::move(headers), std::move(body)};
    m_state->authorise(request);
    bool mayHaveArrived = false;
    std::string reasons;
    for (const host_address &address : m_state->hosts) {
        auto response = m_state->run(m_state->sendTo(address, request));
        if (response)
            return response;
        mayHaveArrived |= response.error().code != result_code::upstreamUnreachable;
        reasons += (reasons.empty() ? "" : "; ") + response.error().detail;
    }
    const bool isWrite = request.method != "GET";
    return makeError(isWrite && mayHaveArrived ? result_code::writeUnknown
                                               : result_code::upstreamUnreachable,
                     reasons);
}

result<void> operator_client::follow(const std::string &target,
                                     const std::function<bool(std::string_view line)> &onLine)
{
    http_request request;
    request.target = target;
    m_state->authorise(request);
    result<void> outcome;
    for (const host_address &address : m_state->hosts) {
        outcome = m_state->run(m_state->followFrom(address, request, onLine));
        if (outcome || outcome.error().code != result_code::upstreamUnreachable)
            break;
    }
    return outcome;
}

std::size_t operator_client::hostCount() const
{
    return m_state->hosts.size();
}

json::value parseBody(const http_response &response)
{
    boost::system::error_code failure;
    json::value body = json::parse(response.body, failure);
    return failure ? json::value() : body;
}

exit_code reportFailure(const error &failure)
{
    const bool isUnknown = failure.code == result_code::writeUnknown;
    std::cerr << "quincefall: " << (isUnknown ? "outcome unknown: " : "no host answered: ")
              << failure.detail << '\n';
    return isUnknown ? exit_code::unknown : exit_code::unreachable;
}

exit_code reportRefusal(const http_response &response)
{
    const json::value body = parseBody(response);
    const json::object empty;
    const json::object &problem = body.is_object() ? body.get_object() : empty;
    std::cerr << "quincefall: " << response.status << ' ' << stringField(problem, "title") << ' '
              << stringField(problem, "detail") << '\n';
    return stringField(problem, "run") == "unknown" ? exit_code::unknown : exit_code::failure;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

std::string makeOperationId()
{
    const char *user = std::getenv("USER");
    std::random_device source;
    const std::uint64_t number = std::uint64_t(source()) << 32U | source();
    return std::string(user == nullptr ? "operator" : user) + "-" + std::to_string(number);
}

} // namespace quincefall
