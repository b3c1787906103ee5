#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

class http_exchange;

/// How far a host's configuration has come.
struct host_progress
{
    std::string host;
    bool hasAnswered = false;
    std::uint64_t version = 0; ///< Changes up to this version are in force there.
};

/// Asks all live hosts how far their configuration has come.
boost::asio::awaitable<std::vector<host_progress>> gatherProgress(const operator_context &needs);

/// Lets peers read this host's status and progress. @p needs must outlive the mesh's calls.
void registerStatusHandlers(const operator_context &needs);

/// Answers GET /v1/status: the fleet as seen from this host.
boost::asio::awaitable<void> answerStatus(http_exchange &exchange, const operator_context &needs);

/// Answers GET /v1/progress: the version in force on each live host.
boost::asio::awaitable<void> answerProgress(http_exchange &exchange, const operator_context &needs);

} // namespace quincefall
