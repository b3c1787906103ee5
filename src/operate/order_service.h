#pragma once

#include "kernel/clock.h"
#include "ledger/order_plan.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <string>
#include <vector>

namespace quincefall {

class config_service;
class http_client;
class lease_service;
class timeline;

/// State of the lease and of the engines, and counts of the orders that this process has sent.
struct order_status
{
    std::string holder; ///< Host that holds the lease; empty if it is free.
    std::uint64_t fence = 0; ///< Fencing number of the lease.
    bool isHeldHere = false;
    std::vector<engine_report> engines; ///< Latest reports; empty unless held here.
    std::vector<placement_gap> gaps; ///< Models that are not loaded as declared.
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0; ///< Orders that engines refused for an old fencing number.
};

/// The `orders` section of the status, as JSON.
boost::json::object describeOrders(const order_status &status);

/// Control loop that brings engines to the declared models, versions and adapters. While this
/// process holds the lease, it repeatedly reads the state of the engines and sends the orders that
/// the plan requires.
class order_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        http_client &client;
        config_service &config;
        lease_service &lease;
        timeline &events;
        clock_source clock;
        milliseconds leaseTtl{3000};
    };

    static std::unique_ptr<order_service> makeOrderService(dependencies needs);
    ~order_service();

    void start();
    void stop();

    order_status status() const;

private:
    struct state;
    explicit order_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
