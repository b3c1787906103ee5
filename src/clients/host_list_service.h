#pragma once

#include "clients/host_list_client.h"
#include "kernel/address.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace quincefall {

class timeline;

/// Polls the platform's host list and keeps the last list that was read.
class host_list_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        http_client &client;
        timeline &events;
        host_address address;
    };

    static std::unique_ptr<host_list_service> makeHostListService(dependencies needs);
    ~host_list_service();

    void start();
    void stop();

    /// The last list that was read; empty until the first read succeeds.
    const std::vector<listed_host> &hosts() const;

    /// Whether the list marks the upstream @p name as leaving.
    bool isLeavingUpstream(std::string_view name) const;

    /// Calls @p listener whenever a read returns a list that differs from the last one.
    void onChange(std::function<void()> listener);

private:
    struct state;
    explicit host_list_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
