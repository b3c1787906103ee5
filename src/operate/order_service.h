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

/// What the holder of the lease knows and has done.
struct order_status
{
    std::string holder; ///< Of the lease, as the log shows it; empty when it is free.
    std::uint64_t fence = 0;
    bool isHeldHere = false;
    std::vector<engine_report> engines; ///< As last read; empty unless held here.
    std::vector<placement_gap> gaps; ///< What is not as declared, and why.
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0; ///< Refused for an old fencing number.
};

/// @p status for operators.
boost::json::object describeOrders(const order_status &status);

/// While this process holds the lease, brings engines to the declared models, versions and
/// adapters: reads what they have, orders what is missing, reads again.
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
