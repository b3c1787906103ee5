#pragma once

#include "kernel/clock.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace quincefall {

class config_service;
class http_exchange;
class timeline;

/// The operators' HTTP interface.
class operator_api
{
public:
    struct dependencies
    {
        config_service &config;
        timeline &events;
        std::string hostName;
        std::string operatorKey;
        std::function<bool()> isStopping;
    };

    static std::unique_ptr<operator_api> makeOperatorApi(dependencies needs);
    ~operator_api();

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

private:
    struct state;
    explicit operator_api(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
