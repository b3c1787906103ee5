#pragma once

#include "serve/caller_directory.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace quincefall {

class chat_service;
class config_service;
class http_exchange;
class plain_call_service;

/// The callers' HTTP interface: routes by path, identifies the caller, answers what needs no queue.
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

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

private:
    struct state;
    explicit caller_api(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
