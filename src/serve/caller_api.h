#pragma once

#include "serve/caller_directory.h"
#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace quincefall {

class chat_service;
class config_service;
class http_exchange;
class plain_call_service;

/// The callers' HTTP interface: authenticates the caller and dispatches the request by its path.
/// Requests that need no upstream, such as the list of models, are answered here.
class caller_api
{
public:
    struct dependencies
    {
        config_service &config;
        chat_service &chat;
        plain_call_service &calls;
    };

    static std::unique_ptr<caller_api> makeCallerApi(dependencies needs);
    ~caller_api();

    /// Handles one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

    /// Why a request with this head is refused, whatever its body is; empty if it may be served.
    std::optional<problem> refusalOfHead(const http_exchange &exchange) const;

private:
    struct state;
    explicit caller_api(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
