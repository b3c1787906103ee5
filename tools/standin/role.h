#pragma once

#include "kernel/clock.h"
#include "standin/http_server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace quincefall::standin {

/// Command-line settings of all roles; each role reads its own.
struct role_options
{
    std::string name;

    double appendsPerSecond = 500;
    std::int64_t retention = 1'000'000;

    std::int64_t slots = 8;
    std::int64_t queue = 64;
    milliseconds tokenDelay{10};
    milliseconds firstTokenDelay{20};
    std::int64_t defaultTokens = 16;
    std::int64_t tokensPerWrite = 16;
    std::int64_t cachedPrefixes = 64;
    std::vector<std::string> models;
    std::string weightsIp;
    std::uint16_t weightsPort = 0;
    milliseconds loadTime{0};
    bool checksFencing = true;

    double transfersPerSecond = 1;
    milliseconds transferTime{100};

    milliseconds listLag{0};
};

/// A role's answers; the server keeps the role alive.
http_server::handler makeLogStandin(boost::asio::io_context &context, http_server &server,
                                    const role_options &options);
http_server::handler makeEngineStandin(boost::asio::io_context &context, http_server &server,
                                       const role_options &options);
http_server::handler makeServiceStandin(boost::asio::io_context &context, http_server &server,
                                        const role_options &options);
http_server::handler makeWeightsStandin(boost::asio::io_context &context, http_server &server,
                                        const role_options &options);
http_server::handler makeHostsStandin(boost::asio::io_context &context, http_server &server,
                                      const role_options &options);

} // namespace quincefall::standin
