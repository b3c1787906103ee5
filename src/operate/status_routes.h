#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace quincefall {

class http_exchange;

/// The configuration version in force on one host.
struct host_progress
{
    std::string host;
    bool hasAnswered = false;
    std::uint64_t version = 0; ///< Changes up to this version are in force; 0 without an answer.
};

/// Asks all live hosts for the configuration version in force.
boost::asio::awaitable<std::vector<host_progress>> gatherProgress(const operator_context &needs);

/// Registers the handlers with which peers read this host's status and progress. @p needs must
/// outlive the calls of the mesh.
void registerStatusHandlers(const operator_context &needs);

/// Answers GET /v1/status: the fleet as seen from this host.
boost::asio::awaitable<void> answerStatus(http_exchange &exchange, const operator_context &needs);

/// Answers GET /v1/progress: the version in force on each live host.
boost::asio::awaitable<void> answerProgress(http_exchange &exchange, const operator_context &needs);

} // namespace quincefall
