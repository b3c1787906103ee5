#pragma once

#include "route/duty_calls.h"
#include "route/duty_holder.h"
#include "route/routing_state.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quincefall {

/// Orders engines for the services whose number of engines may be changed. Acts on the host that
/// holds the duties only; the orders in force are in the duty record, so that the next holder goes
/// on with them.
class engine_orderer
{
public:
    struct options
    {
        std::string failureDomain; ///< Of this host.
        double callsPerSecond = 50; ///< Of all hosts and duties together.
    };

    struct counts
    {
        std::uint64_t accepted = 0;
        std::uint64_t unavailable = 0;
        std::uint64_t outdated = 0; ///< Another holder has a higher fencing token.
        std::uint64_t rateLimited = 0;
        std::uint64_t unanswered = 0;
    };

    /// Engines of one kind in one failure domain, over all services.
    struct domain_counts
    {
        unsigned ordered = 0; ///< 0 on hosts that don't hold the duties.
        unsigned listed = 0; ///< Without those that leave.
    };

    static std::unique_ptr<engine_orderer> makeEngineOrderer(boost::asio::io_context &context,
                                                             routing_state &state,
                                                             duty_holder &holder, duty_calls calls,
                                                             clock_source clock, options settings);
    ~engine_orderer();

    void start();
    void stop();

    counts numbers() const;
    domain_counts engines(const std::string &failureDomain, bool isInterruptible) const;

private:
    struct state;
    explicit engine_orderer(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
