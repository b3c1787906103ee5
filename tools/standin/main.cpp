// Simulates one of the platform's systems on loopback. See docs/PLATFORM.md.

#include "standin/role.h"

#include <boost/asio.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free one");
DEFINE_string(name, "", "name in answers");
DEFINE_double(appends_per_second, 500, "log: appends accepted per second");
DEFINE_int64(retention, 1'000'000, "log: records kept in each stream");
DEFINE_int64(slots, 8, "engine: requests run at once");
DEFINE_int64(queue, 64, "engine: requests that may wait");
DEFINE_int64(token_delay_ms, 10, "engine: time between tokens; 0 writes as fast as possible");
DEFINE_int64(first_token_delay_ms, 20, "engine: time to the first token");
DEFINE_int64(default_tokens, 16, "engine: tokens of an answer without max_tokens");
DEFINE_int64(tokens_per_write, 16, "engine: tokens that share a write at token delay 0");
DEFINE_int64(cached_prefixes, 64, "engine: prompt prefixes kept in memory");
DEFINE_string(models, "", "engine: models loaded at the start, as a,b:version");
DEFINE_string(weights, "", "engine: address of the weight store, as ip:port");
DEFINE_int64(load_ms, 0, "engine: shortest time to load a model");
DEFINE_bool(checks_fencing, true, "engine: refuses orders with an old fencing number");
DEFINE_double(transfers_per_second, 1, "weights: transfers accepted per second");
DEFINE_int64(transfer_ms, 100, "weights: time of one transfer");
DEFINE_int64(lag_ms, 0, "hosts: delay until a new list shows");

namespace quincefall::standin {
namespace {

constexpr int usageExitCode = 2;

using role_maker
    = http_server::handler (*)(boost::asio::io_context &, http_server &, const role_options &);

const std::map<std::string, role_maker> &roles()
{
    static const std::map<std::string, role_maker> makers{
        {"log", makeLogStandin},         {"engine", makeEngineStandin},
        {"service", makeServiceStandin}, {"weights", makeWeightsStandin},
        {"hosts", makeHostsStandin},
    };
    return makers;
}

struct ip_port
{
    std::string ip;
    std::uint16_t port = 0;
};

ip_port splitAddress(const std::string &text)
{
    ip_port address;
    const auto colon = std::min(text.rfind(':'), text.size());
    address.ip = text.substr(0, colon);
    const std::string port = text.substr(std::min(colon + 1, text.size()));
    std::from_chars(port.data(), port.data() + port.size(), address.port);
    return address;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

role_options optionsFromFlags()
{
    role_options options;
    options.name = FLAGS_name;
    options.appendsPerSecond = FLAGS_appends_per_second;
    options.retention = FLAGS_retention;
    options.slots = FLAGS_slots;
    options.maxWaiting = FLAGS_queue;
    options.tokenDelay = milliseconds(FLAGS_token_delay_ms);
    options.firstTokenDelay = milliseconds(FLAGS_first_token_delay_ms);
    options.defaultTokens = FLAGS_default_tokens;
    options.tokensPerWrite = FLAGS_tokens_per_write;
    options.cachedPrefixes = FLAGS_cached_prefixes;
    options.models = splitList(FLAGS_models);
    const ip_port weights = splitAddress(FLAGS_weights);
    options.weightsIp = weights.ip;
    options.weightsPort = weights.port;
    options.minLoadTime = milliseconds(FLAGS_load_ms);
    options.checksFencing = FLAGS_checks_fencing;
    options.transfersPerSecond = FLAGS_transfers_per_second;
    options.transferTime = milliseconds(FLAGS_transfer_ms);
    options.listLag = milliseconds(FLAGS_lag_ms);
    return options;
}

int runRole(const std::string &role, role_maker makeRole)
{
    boost::asio::io_context context(1);
    const ip_port listen = splitAddress(FLAGS_listen);
    auto server = http_server::makeHttpServer(context, listen.ip, listen.port);
    if (!server) {
        std::cerr << server.error().detail << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    (*server)->start(makeRole(context, **server, optionsFromFlags()));
    std::cout << "ready " << role << ' ' << listen.ip << ':' << (*server)->port() << std::endl;
    context.run();
    // Exits without running destructors: the server would be destroyed before the suspended
    // coroutines that refer to it.
    std::quick_exit(0);
}

} // namespace
} // namespace quincefall::standin

int main(int argc, char **argv)
{
    using namespace quincefall::standin;
    gflags::SetUsageMessage("standin <log|engine|service|weights|hosts> [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto role = roles().find(argc == 2 ? argv[1] : "");
    if (role == roles().end()) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return usageExitCode;
    }
    return runRole(role->first, role->second);
}
