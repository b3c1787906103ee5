#include "cli/verbs.h"

#include "kernel/asio_headers.h"
#include "observe/log_setup.h"
#include "operate/host_process.h"
#include "operate/settings.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(config, "", "settings file");

namespace quincefall {
namespace {

namespace asio = boost::asio;

/// Reads the settings file named by --config; prints every error in it and returns nothing when
/// there is one.
std::optional<settings> loadSettings()
{
    const settings_reading reading = readSettingsFile(FLAGS_config);
    for (const settings_mistake &mistake : reading.mistakes)
        std::cerr << describe(mistake, FLAGS_config) << '\n';
    if (!reading.mistakes.empty())
        return std::nullopt;
    return reading.values;
}

std::string withPort(const host_address &address, std::uint16_t port)
{
    return toString(host_address{address.ip, port});
}

void printReady(const settings &values, const host_process::ports &ports)
{
    std::cout << "ready caller=" << withPort(values.callerListen, ports.caller)
              << " peer=" << withPort(values.peerListen, ports.peer)
              << " operator=" << withPort(values.operatorListen, ports.operators) << std::endl;
}

exit_code serve(const settings &values)
{
    if (auto log = setUpLog(values.logTarget, values.logLevel); !log) {
        std::cerr << "quincefall: " << log.error().detail << '\n';
        return exit_code::settings;
    }
    asio::io_context context(1);
    auto host = host_process::makeHostProcess(context, values);
    if (!host) {
        std::cerr << "quincefall: " << host.error().detail << '\n';
        return exit_code::failure;
    }
    printReady(values, (*host)->listeningPorts());
    logInfo("host started", {{"host", values.hostName}, {"region", values.region}});
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&host, &context](const boost::system::error_code &failure, int) {
        if (!failure)
            (*host)->stopGracefully([&context] { context.stop(); });
    });
    context.run();
    return exit_code::success;
}

} // namespace

exit_code runServe(std::span<const std::string>)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto values = loadSettings();
    return values ? serve(*values) : exit_code::settings;
}

exit_code checkSettings()
{
    if (!loadSettings())
        return exit_code::settings;
    std::cout << FLAGS_config << ": valid\n";
    return exit_code::success;
}

} // namespace quincefall
