// Measures latency, rate, processor time and bytes of calls between two hosts, each on its own
// thread of this process; prints one JSON object.

#include "peer/peer_mesh.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <thread>

DEFINE_uint32(calls, 50000, "calls of each measurement");
DEFINE_uint32(in_flight, 64, "concurrent calls in the second measurement");
DEFINE_uint32(body_bytes, 100, "size of the request body, which the callee echoes");

namespace {

using namespace quincefall;
namespace asio = boost::asio;
namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

constexpr milliseconds callTimeout{10000};

double secondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

/// CPU time of all threads of this process in seconds.
double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::unique_ptr<peer_mesh> makeMesh(asio::io_context &context, const std::string &name)
{
    peer_mesh::options settings;
    settings.hostName = name;
    settings.listen = {"127.0.0.1", 0};
    settings.secret = "a secret of the usual length of 32";
    return std::move(peer_mesh::makePeerMesh(context, settings).value());
}

struct call_figures
{
    std::uint32_t left = 0;
    std::uint32_t failed = 0;
    std::vector<double> microsecondsPerCall;
};

asio::awaitable<void> callRepeatedly(peer_mesh &mesh, call_figures &figures)
{
    const std::string body(FLAGS_body_bytes, 'x');
    while (figures.left > 0) {
        --figures.left;
        const auto start = clock_type::now();
        auto calling = mesh.call("b", "/echo", body, callTimeout);
        const result<std::string> answer = co_await std::move(calling);
        figures.failed += answer ? 0 : 1;
        figures.microsecondsPerCall.push_back(1e6 * secondsSince(start));
    }
}

double quantile(std::vector<double> &values, double share)
{
    const auto place = values.begin() + static_cast<long>(share * double(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

json::object measureCalls(asio::io_context &context, peer_mesh &mesh, std::uint32_t inFlight)
{
    call_figures figures;
    figures.left = FLAGS_calls;
    figures.microsecondsPerCall.reserve(FLAGS_calls);
    const auto before = mesh.trafficTotals();
    const double processorBefore = processorSeconds();
    const auto start = clock_type::now();
    for (std::uint32_t worker = 0; worker < inFlight; ++worker)
        asio::co_spawn(context, callRepeatedly(mesh, figures), asio::detached);
    context.restart();
    while (figures.microsecondsPerCall.size() < FLAGS_calls)
        context.run_one();
    const double elapsed = secondsSince(start);
    const double processor = processorSeconds() - processorBefore;
    const auto after = mesh.trafficTotals();
    json::object report;
    report["in_flight"] = inFlight;
    report["calls"] = FLAGS_calls;
    report["failed"] = figures.failed;
    report["calls_per_second"] = FLAGS_calls / elapsed;
    report["cpu_us_per_call_both_sides"] = 1e6 * processor / FLAGS_calls;
    report["latency_us_p50"] = quantile(figures.microsecondsPerCall, 0.5);
    report["latency_us_p99"] = quantile(figures.microsecondsPerCall, 0.99);
    report["bytes_sent_per_call"] = double(after.sent - before.sent) / FLAGS_calls;
    report["bytes_received_per_call"] = double(after.received - before.received) / FLAGS_calls;
    return report;
}

json::array measureCallsBetweenTwoHosts()
{
    asio::io_context callerContext;
    asio::io_context calleeContext;
    const auto caller = makeMesh(callerContext, "a");
    auto callee = makeMesh(calleeContext, "b");
    callee->handle(
        "/echo", [](std::string body) -> asio::awaitable<result<std::string>> { co_return body; });
    caller->setAddress("b", {"127.0.0.1", callee->port()});
    auto work = asio::make_work_guard(calleeContext);
    std::thread calleeThread([&calleeContext] { calleeContext.run(); });
    json::array reports;
    reports.push_back(measureCalls(callerContext, *caller, 1));
    reports.push_back(measureCalls(callerContext, *caller, FLAGS_in_flight));
    calleeContext.stop();
    calleeThread.join();
    return reports;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    json::object report;
    report["calls"] = measureCallsBetweenTwoHosts();
    std::cout << json::serialize(report) << '\n';
    return 0;
}
