#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "route/routing_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quincefall {

namespace wire {
class LoadHint;
}

/// Finds out at which software version a stream may go on that another host has begun.
///
/// While a service has upstreams of several versions, the host that begins a stream tells the
/// stream's keepers, which a host that takes it up asks. While it has one version only, nothing is
/// sent.
class stream_directory
{
public:
    using send_function = std::function<void(const host_address &host, const std::string &bytes)>;

    static std::unique_ptr<stream_directory>
    makeStreamDirectory(boost::asio::io_context &context, routing_state &target,
                        const host_address &self, clock_source clock, send_function send);
    ~stream_directory();

    /// Records that @p upstream sends the first event of a stream, which lasts @p longest at most.
    /// To be called before the caller gets the event.
    void recordBegin(std::uint64_t stream, const upstream_entry &upstream, microseconds longest);

    /// Records that a stream has reached its end.
    void recordEnd(std::uint64_t stream);

    /// Tells the keepers of the streams that were begun while their service had one version only,
    /// if it has several now.
    void tellUntold();

    /// The software version at which a stream goes on that has begun within @p longest; empty if it
    /// can't be known. Takes a tenth of a second at most.
    boost::asio::awaitable<std::optional<std::string>>
    findVersion(std::uint64_t stream, std::string service, microseconds longest);

    /// Handles what @p sender sent of streams.
    void receive(const wire::LoadHint &message, const host_address &sender);

private:
    struct state;
    explicit stream_directory(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
