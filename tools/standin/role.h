#pragma once

#include "kernel/clock.h"
#include "standin/http_server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace quincefall::standin {

/// Command-line flags of all roles. Each role uses only its own.
struct role_options
{
    std::string name;

    double appendsPerSecond = 500;
    std::int64_t retention = 1'000'000; ///< Records kept in each stream of the log.

    std::int64_t slots = 8; ///< Requests that run at once.
    std::int64_t maxWaiting = 64;
    milliseconds tokenDelay{10};
    milliseconds firstTokenDelay{20};
    std::int64_t defaultTokens = 16;
    std::int64_t tokensPerWrite = 16;
    std::int64_t cachedPrefixes = 64;
    std::vector<std::string> models;
    std::string weightsIp;
    std::uint16_t weightsPort = 0;
    milliseconds minLoadTime{0};
    bool checksFencing = true;

    double transfersPerSecond = 1;
    milliseconds transferTime{100};

    milliseconds listLag{0}; ///< Time until a new host list becomes visible.
};

/// The makers return the request handler of a role. The handler owns the role's state.
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
