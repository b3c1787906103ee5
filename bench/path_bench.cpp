// Load client that compares requests through quincefall with direct requests to the engines.
// `scripts/measure path` starts the stand-ins and hosts and runs it; it prints one JSON object.

#include "clients/http_client.h"
#include "kernel/address.h"

#include <boost/asio.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <unistd.h>

DEFINE_string(mode, "latency", "latency: open-loop arrivals; throughput: back-to-back streams");
DEFINE_string(direct, "", "engines that get requests directly, as ip:port,...");
DEFINE_string(through, "", "hosts that get requests, as ip:port,...");
DEFINE_string(pids, "", "throughput: ids of the processes whose processor time is measured");
DEFINE_string(key, "", "bearer key for the hosts");
DEFINE_string(model, "m", "model that the requests name");
DEFINE_double(rate, 200, "latency: arrivals per second on each path (direct and through hosts)");
DEFINE_double(seconds, 10, "length of the measurement in seconds");
DEFINE_double(warm_up_seconds, 2, "seconds of load before the measurement");
DEFINE_int32(streams, 32, "throughput: concurrent streams");
DEFINE_int32(tokens, 16, "tokens of each answer");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace quincefall {
namespace {

namespace net = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr milliseconds requestTimeout(10'000);
constexpr std::size_t maxInFlight = 2000;
constexpr int statusOk = 200;
constexpr std::string_view tokenMark = R"("content":")";
constexpr std::string_view endMark = "data: [DONE]";

/// One path to the engines, direct or through hosts, with what was measured on it.
struct request_path
{
    std::string name;
    std::vector<host_address> targets;
    std::string key;
    std::vector<double> firstTokenMs{};
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t skipped = 0; ///< Arrivals not sent because `maxInFlight` requests were in flight.
    std::uint64_t tokens = 0;
    std::size_t inFlight = 0;
    std::string firstFailure{};
};

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

std::vector<host_address> parseTargets(const std::string &text)
{
    std::vector<host_address> targets;
    for (const std::string &item : splitList(text)) {
        if (const auto address = parseAddress(item))
            targets.push_back(*address);
    }
    return targets;
}

http_request makeRequest(const request_path &path, std::uint64_t number)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", path.name + "-" + std::to_string(number)}};
    if (!path.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + path.key);
    const std::string prompt = "Who covers the nap of group " + std::to_string(number % 50) + "?";
    const json::object message{{"role", "user"}, {"content", prompt}};
    const json::object body{{"model", FLAGS_model},
                            {"stream", true},
                            {"max_tokens", FLAGS_tokens},
                            {"messages", json::array{message}}};
    request.body = json::serialize(body);
    return request;
}

std::uint64_t countOf(std::string_view text, std::string_view mark)
{
    std::uint64_t count = 0;
    for (auto at = text.find(mark); at != std::string_view::npos;
         at = text.find(mark, at + mark.size()))
        ++count;
    return count;
}

/// Counts tokens in, and finds the end of, an event stream that is fed in pieces.
struct mark_counter
{
    std::string tail;
    std::uint64_t tokens = 0;
    bool ended = false;

    void feed(std::string_view piece)
    {
        const std::string text = tail + std::string(piece);
        tokens += countOf(text, tokenMark);
        ended = ended || text.find(endMark) != std::string::npos;
        // Keeps bytes that may begin a token mark, one fewer than a whole one: none counts twice.
        const std::size_t kept = std::min(text.size(), tokenMark.size() - 1);
        tail = text.substr(text.size() - kept);
    }
};

void recordFailure(request_path &path, const std::string &detail)
{
    ++path.failed;
    if (path.firstFailure.empty())
        path.firstFailure = detail;
}

/// Sends one request and reads its answer. Latency counts from @p arrival, the time when the
/// request was due.
net::awaitable<void> runRequest(http_client &client, request_path &path, std::uint64_t number,
                                steady_clock::time_point arrival, bool measured)
{
    ++path.inFlight;
    const host_address target = path.targets[number % path.targets.size()];
    const http_request request = makeRequest(path, number);
    auto stream = co_await client.open(target, request, requestTimeout);
    mark_counter counter;
    std::string failure;
    if (!stream)
        failure = stream.error().detail;
    else if ((*stream)->status() != statusOk)
        failure = "status " + std::to_string((*stream)->status());
    while (failure.empty()) {
        const auto piece = co_await (*stream)->read(requestTimeout);
        if (!piece)
            failure = piece.error().detail;
        else if (piece->empty())
            break;
        else {
            const bool isFirst = counter.tokens == 0;
            counter.feed(*piece);
            if (isFirst && counter.tokens > 0 && measured) {
                const auto span = steady_clock::now() - arrival;
                path.firstTokenMs.push_back(
                    std::chrono::duration<double, std::milli>(span).count());
            }
        }
    }
    if (failure.empty() && (!counter.ended || counter.tokens != std::uint64_t(FLAGS_tokens)))
        failure = "answer incomplete: tokens or the end event are missing";
    if (!failure.empty())
        recordFailure(path, failure);
    path.tokens += counter.tokens;
    --path.inFlight;
}

/// Generates open-loop arrivals with exponential gaps: slow answers don't delay later requests.
net::awaitable<void> generateArrivals(net::io_context &context, http_client &client,
                                      request_path &path, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(FLAGS_rate);
    const auto start = steady_clock::now();
    const double end = FLAGS_warm_up_seconds + FLAGS_seconds;
    net::steady_timer timer(context);
    double offset = gap(random);
    while (offset < end) {
        const auto span = std::chrono::duration<double>(offset);
        const auto arrival = start + std::chrono::duration_cast<steady_clock::duration>(span);
        timer.expires_at(arrival);
        co_await timer.async_wait(net::use_awaitable);
        const bool measured = offset >= FLAGS_warm_up_seconds;
        if (path.inFlight >= maxInFlight) {
            ++path.skipped;
        } else {
            net::co_spawn(context, runRequest(client, path, path.sent, arrival, measured),
                          net::detached);
            ++path.sent;
        }
        offset += gap(random);
    }
}

net::awaitable<void> repeatRequests(http_client &client, request_path &path, const bool &stopped)
{
    while (!stopped) {
        const std::uint64_t number = path.sent++;
        co_await runRequest(client, path, number, steady_clock::now(), false);
    }
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = std::lround(share * double(values.size() - 1));
    return values[std::size_t(index)];
}

json::object describe(const request_path &path)
{
    constexpr double tailShare = 0.99;
    json::object described{{"requests", path.sent},
                           {"failed", path.failed},
                           {"skipped", path.skipped},
                           {"measured", path.firstTokenMs.size()},
                           {"median_ms", quantile(path.firstTokenMs, 0.5)},
                           {"p99_ms", quantile(path.firstTokenMs, tailShare)}};
    if (!path.firstFailure.empty())
        described["first_failure"] = path.firstFailure;
    return described;
}

/// Processor time of a process so far in seconds, user and kernel mode, from /proc/<pid>/stat.
double processorSeconds(const std::string &pid)
{
    constexpr int fieldsBeforeUserTime = 11;
    std::ifstream file("/proc/" + pid + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(std::min(line.rfind(')') + 1, line.size())));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / double(sysconf(_SC_CLK_TCK));
}

double processorSeconds(const std::vector<std::string> &pids)
{
    double sum = 0;
    for (const std::string &pid : pids)
        sum += processorSeconds(pid);
    return sum;
}

json::object measureLatency()
{
    net::io_context context(1);
    const auto client = http_client::makeHttpClient(context);
    request_path direct{"direct", parseTargets(FLAGS_direct), ""};
    request_path through{"through", parseTargets(FLAGS_through), FLAGS_key};
    // Both paths run at the same time, so that they see the engines under the same load.
    for (request_path *path : {&direct, &through}) {
        const std::uint64_t seed = FLAGS_seed + (path == &through ? 1 : 0);
        if (!path->targets.empty())
            net::co_spawn(context, generateArrivals(context, *client, *path, seed), net::detached);
    }
    context.run();
    const json::object directJson = describe(direct);
    const json::object throughJson = describe(through);
    const auto added = [&](double share) {
        return quantile(through.firstTokenMs, share) - quantile(direct.firstTokenMs, share);
    };
    return {{"rate_per_second", FLAGS_rate}, {"seed", FLAGS_seed},
            {"direct", directJson},          {"through", throughJson},
            {"added_median_ms", added(0.5)}, {"added_p99_ms", added(0.99)}};
}

net::awaitable<void> measureInterval(net::io_context &context, const request_path &path,
                                     json::object &report, bool &stopped)
{
    net::steady_timer timer(context);
    const auto pids = splitList(FLAGS_pids);
    timer.expires_after(std::chrono::milliseconds(std::int64_t(FLAGS_warm_up_seconds * 1000)));
    co_await timer.async_wait(net::use_awaitable);
    const std::uint64_t tokensBefore = path.tokens;
    const double processorBefore = processorSeconds(pids);
    const auto start = steady_clock::now();
    timer.expires_after(std::chrono::milliseconds(std::int64_t(FLAGS_seconds * 1000)));
    co_await timer.async_wait(net::use_awaitable);
    const std::chrono::duration<double> elapsed = steady_clock::now() - start;
    const double processor = processorSeconds(pids) - processorBefore;
    const double tokens = double(path.tokens - tokensBefore);
    report = {{"streams", FLAGS_streams},
              {"tokens_per_second", tokens / elapsed.count()},
              {"host_processor_share", processor / elapsed.count()},
              {"tokens_per_core_second", processor > 0 ? tokens / processor : 0}};
    stopped = true;
}

json::object measureThroughput()
{
    net::io_context context(1);
    const auto client = http_client::makeHttpClient(context);
    const bool isDirect = FLAGS_through.empty();
    request_path path{"load", parseTargets(isDirect ? FLAGS_direct : FLAGS_through), FLAGS_key};
    json::object report;
    bool stopped = false;
    for (int i = 0; i < FLAGS_streams; ++i)
        net::co_spawn(context, repeatRequests(*client, path, stopped), net::detached);
    net::co_spawn(context, measureInterval(context, path, report, stopped), net::detached);
    context.run();
    report["requests"] = path.sent;
    report["failed"] = path.failed;
    if (!path.firstFailure.empty())
        report["first_failure"] = path.firstFailure;
    return report;
}

} // namespace
} // namespace quincefall

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("load client; see scripts/measure path");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto report
        = FLAGS_mode == "latency" ? quincefall::measureLatency() : quincefall::measureThroughput();
    std::cout << boost::json::serialize(report) << '\n';
    return 0;
}
