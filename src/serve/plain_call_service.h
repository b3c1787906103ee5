#pragma once

#include "kernel/clock.h"
#include "serve/caller_directory.h"
#include "serve/permit_client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

class claim_service;
class config_service;
class http_client;
class http_exchange;
class timeline;

/// Forwards calls of plain HTTP services, /services/{name}/{path}, to their upstreams.
class plain_call_service
{
public:
    struct dependencies
    {
        http_client &client;
        permit_client &permits;
        config_service &config;
        claim_service &claims; ///< For services whose calls must not be repeated.
        timeline &events;
        clock_source clock;
        std::string hostName;
        std::uint64_t incarnation = 0; ///< Keeps generated request ids unique across restarts.
    };

    static std::unique_ptr<plain_call_service> makePlainCallService(dependencies needs);
    ~plain_call_service();

    /// Handles one call of @p caller.
    boost::asio::awaitable<void> handle(http_exchange &exchange, caller_identity caller);

private:
    struct state;
    explicit plain_call_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
