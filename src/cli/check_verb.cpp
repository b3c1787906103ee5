#include "cli/verbs.h"

#include "clients/http_client.h"
#include "kernel/asio_headers.h"
#include "platform/state_codec.h"
#include "policy/desired_check.h"
#include "route/peer_calls.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

DECLARE_string(config);
DECLARE_string(host);
DECLARE_bool(json);
DEFINE_string(desired, "", "desired state to check, as JSON");
DEFINE_string(in_force, "", "desired state to compare with; --host gives a peer address instead");

namespace quincefall {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// What the check of one desired state gave.
struct check_report
{
    std::vector<desired_finding> findings;
    std::optional<std::uint64_t> versionInForce;
    std::vector<std::string> differences;
};

result<desired_state> readDesiredFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(result_code::settingsUnreadable, path + " cannot be read");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    auto desired = decodeDesiredState(text);
    if (!desired)
        return makeError(desired.error().code, path + ": " + desired.error().detail);
    return desired;
}

asio::awaitable<result<std::string>> fetchText(http_client &client, host_address host)
{
    constexpr int maxReferrals = 3;
    for (int referrals = 0; referrals < maxReferrals; ++referrals) {
        const host_address notOfTheFleet;
        auto known = co_await fetchDesired(client, host, 0, notOfTheFleet);
        if (!known)
            co_return tl::unexpected(known.error());
        if (known->text)
            co_return std::move(*known->text);
        if (!known->askInstead)
            co_return makeError(result_code::notReady,
                                "host " + toString(host) + " has no desired state in force");
        host = *known->askInstead;
    }
    co_return makeError(result_code::peerRejected, "host " + toString(host) + " is busy");
}

result<desired_state> readDesiredOfHost(const std::string &address)
{
    const auto host = parseAddress(address);
    if (!host)
        return tl::unexpected(host.error());
    asio::io_context context(1);
    const auto client = http_client::makeHttpClient(context);
    result<std::string> text = makeError(result_code::cancelled, "nothing was read");
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { text = co_await fetchText(*client, *host); },
        asio::detached);
    context.run();
    if (!text)
        return tl::unexpected(text.error());
    return decodeDesiredState(*text);
}

/// Empty when neither a file nor a host is given.
result<std::optional<desired_state>> readInForce()
{
    if (FLAGS_in_force.empty() && FLAGS_host.empty())
        return std::nullopt;
    auto desired
        = FLAGS_in_force.empty() ? readDesiredOfHost(FLAGS_host) : readDesiredFile(FLAGS_in_force);
    if (!desired)
        return tl::unexpected(desired.error());
    return std::optional(std::move(*desired));
}

check_report makeReport(const desired_state &next, const std::optional<desired_state> &inForce)
{
    check_report report;
    report.findings = checkDesired(next);
    if (!inForce)
        return report;
    report.versionInForce = inForce->version;
    report.differences = compareDesired(*inForce, next);
    if (next.version <= inForce->version)
        report.findings.push_back({finding_level::error, "version",
                                   std::to_string(next.version) + " is not above version "
                                       + std::to_string(inForce->version)
                                       + " in force; hosts would ignore it"});
    return report;
}

std::string_view toString(finding_level level)
{
    return level == finding_level::error ? "error" : "warning";
}

void printJson(const check_report &report)
{
    json::array findings;
    for (const desired_finding &finding : report.findings)
        findings.push_back(json::object{
            {"level", toString(finding.level)}, {"entry", finding.entry}, {"text", finding.text}});
    json::object all{{"findings", std::move(findings)}};
    if (report.versionInForce) {
        all["version_in_force"] = *report.versionInForce;
        all["differences"] = json::array(report.differences.begin(), report.differences.end());
    }
    std::cout << json::serialize(all) << '\n';
}

void printText(const check_report &report)
{
    for (const desired_finding &finding : report.findings)
        std::cout << toString(finding.level) << ": " << finding.entry << ": " << finding.text
                  << '\n';
    if (report.versionInForce) {
        std::cout << "in force: version " << *report.versionInForce
                  << ", differences: " << report.differences.size() << '\n';
        for (const std::string &line : report.differences)
            std::cout << "differs: " << line << '\n';
    }
    if (report.findings.empty())
        std::cout << FLAGS_desired << ": no findings\n";
}

exit_code fail(const error &cause)
{
    std::cerr << "quincefall: " << cause.detail << '\n';
    const bool isInvalid = cause.code == result_code::resourceInvalid
        || cause.code == result_code::settingsUnreadable;
    return isInvalid ? exit_code::failure : exit_code::unreachable;
}

exit_code checkDesiredFile()
{
    const auto next = readDesiredFile(FLAGS_desired);
    if (!next)
        return fail(next.error());
    const auto inForce = readInForce();
    if (!inForce)
        return fail(inForce.error());
    const check_report report = makeReport(*next, *inForce);
    if (FLAGS_json)
        printJson(report);
    else
        printText(report);
    const bool hasError
        = std::any_of(report.findings.begin(), report.findings.end(),
                      [](const auto &finding) { return finding.level == finding_level::error; });
    return hasError ? exit_code::failure : exit_code::success;
}

} // namespace

exit_code runCheck(std::span<const std::string>)
{
    if (FLAGS_desired.empty() == FLAGS_config.empty()) {
        std::cerr << "quincefall: expected either --config FILE or --desired FILE\n";
        return exit_code::usage;
    }
    return FLAGS_desired.empty() ? checkSettings() : checkDesiredFile();
}

} // namespace quincefall
