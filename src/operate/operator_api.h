#pragma once

#include "operate/operator_context.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

class http_exchange;

/// The operators' HTTP API. docs/API.md lists its paths.
class operator_api
{
public:
    static std::unique_ptr<operator_api> makeOperatorApi(operator_context needs);
    ~operator_api();

    /// Registers the handlers for peers that collect the fleet's status and time line.
    void start();
    void stop();

    /// Adds a section to this host's status, under the section's name.
    void addStatusSection(status_section section);

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange &exchange);

private:
    struct state;
    explicit operator_api(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
