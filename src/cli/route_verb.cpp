#include "cli/verbs.h"

#include "kernel/asio_headers.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "platform/duty_client.h"
#include "platform/state_reader.h"
#include "platform/wire_codec.h"
#include "route/route_process.h"
#include "route/route_settings.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DECLARE_string(config);
DEFINE_bool(check, false, "read the settings and end");

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr const char *settingsEnvironmentVariable = "QUINCEFALL_CONFIG";

std::string settingsPath()
{
    if (!FLAGS_config.empty())
        return FLAGS_config;
    const char *fromEnvironment = std::getenv(settingsEnvironmentVariable);
    return fromEnvironment ? fromEnvironment : "";
}

/// Reads the settings file; prints every error in it and returns nothing when there is one.
std::optional<route_settings> loadRouteSettings()
{
    const std::string path = settingsPath();
    const route_settings_reading reading = readRouteSettingsFile(path);
    for (const settings_mistake &mistake : reading.mistakes)
        std::cerr << describe(mistake, path) << '\n';
    if (!reading.mistakes.empty())
        return std::nullopt;
    return reading.values;
}

/// Stops the host on SIGTERM and SIGINT, and reloads the settings on SIGHUP.
void waitForSignals(asio::signal_set &signals, route_process &host, asio::io_context &context)
{
    signals.async_wait([&](const boost::system::error_code &failure, int number) {
        if (failure)
            return;
        if (number == SIGHUP) {
            if (const auto values = loadRouteSettings())
                host.reload(*values);
            else
                logWarning("settings not reloaded", {{"cause", "the settings file is invalid"}});
        } else {
            host.stopGracefully([&context] { context.stop(); });
        }
        waitForSignals(signals, host, context);
    });
}

duty_calls makeDutyCalls(asio::io_context &context, const route_settings &values)
{
    if (!values.duties)
        return {};
    return makePlatformDutyCalls(context, values.duties->platform, values.hostName);
}

exit_code route(const route_settings &values)
{
    if (auto log = setUpLog(values.logTarget, values.logLevel); !log) {
        std::cerr << "quincefall: " << log.error().detail << '\n';
        return exit_code::settings;
    }
    asio::io_context context(1);
    auto host = route_process::makeRouteProcess(
        context, values, makePlatformStateSource(context, values.store, values.regions),
        makePlatformWireFormat(), makeDutyCalls(context, values));
    if (!host) {
        std::cerr << "quincefall: " << host.error().detail << '\n';
        return exit_code::failure;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    waitForSignals(signals, **host, context);
    runContext(context);
    return exit_code::success;
}

} // namespace

exit_code runRoute(std::span<const std::string>)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto values = loadRouteSettings();
    if (!values)
        return exit_code::settings;
    if (FLAGS_check) {
        std::cout << settingsPath() << ": valid\n";
        return exit_code::success;
    }
    return route(*values);
}

} // namespace quincefall
