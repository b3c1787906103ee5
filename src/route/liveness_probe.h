#pragma once

#include "route/upstream_paths.h"
#include "route/wire_format.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

/// Connections to an upstream that are open before a request is sent to it. An answer on one of
/// them proves that the process which accepted it still runs.
class liveness_probe
{
public:
    ~liveness_probe();

    /// Whether the upstream's process answers a call that is sent now, within @p limit.
    boost::asio::awaitable<bool> isAlive(microseconds limit);

private:
    friend class liveness_probes;
    struct state;
    explicit liveness_probe(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

/// The probes of a host. Requests that are at the same upstream share one.
class liveness_probes
{
public:
    /// @p format must outlive the probes.
    static std::unique_ptr<liveness_probes>
    makeLivenessProbes(std::shared_ptr<upstream_paths> paths, const wire_format &format);
    ~liveness_probes();

    /// A probe with an open connection on which the upstream has answered; null if there is none.
    boost::asio::awaitable<std::shared_ptr<liveness_probe>> open(upstream_entry entry);

    /// A probe whose first connection was opened before @p time, such as an idle one that is kept
    /// for requests; null if there is none.
    std::shared_ptr<liveness_probe> findOpenedBefore(const upstream_entry &entry, instant time);

private:
    struct state;
    explicit liveness_probes(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
