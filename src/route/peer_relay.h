#pragma once

#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/state_source.h"
#include "serve/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace quincefall {

/// Path at which hosts tell each other the desired state.
inline constexpr std::string_view peerDesiredPath = "/desired-state";

/// Answers another host: the desired state in force here if it is newer than the query's `after`,
/// with the age of what is known in milliseconds.
boost::asio::awaitable<void> answerDesired(http_exchange &exchange, const routing_state &state,
                                           instant now);

/// Announces this host, learns of the others, and asks them for the desired state while the
/// platform's store does not answer this host.
class peer_relay
{
public:
    /// @p seeds are asked until other hosts are known.
    static std::unique_ptr<peer_relay> makePeerRelay(boost::asio::io_context &context,
                                                     routing_state &state, state_source source,
                                                     host_announcement own,
                                                     std::vector<host_address> seeds,
                                                     clock_source clock);
    ~peer_relay();

    /// Called after a desired state came from another host.
    void onChange(std::function<void()> listener);

    void start();
    void stop();

private:
    struct state;
    explicit peer_relay(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
