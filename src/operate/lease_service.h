#pragma once

#include "kernel/clock.h"
#include "ledger/lease_table.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace quincefall {

class log_client;
class timeline;

/// Competes for one lease in the log's stream `leases` and keeps it renewed while held.
class lease_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        timeline &events;
        clock_source clock;
        std::string lease;
        std::string hostName;
        std::uint64_t incarnation = 0;
        lease_timing timing;
    };

    static std::unique_ptr<lease_service> makeLeaseService(dependencies needs);
    ~lease_service();

    void start();
    void stop();

    /// Whether this process may act as the holder now; to be asked right before each write.
    bool mayAct() const;

    /// The fencing number of this process's hold; 0 when it has none.
    std::uint64_t fence() const;

    /// The lease as the log shows it.
    lease_state leaseState() const;

    /// Stops acting at once and frees the lease.
    void giveUp();

private:
    struct state;
    explicit lease_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
