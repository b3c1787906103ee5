#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "route/routing_state.h"
#include "route/stream_archive.h"

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

/// Where and how long a stream may have run.
struct stream_scope
{
    std::string authority; ///< By which its route is found, with the path.
    std::string path;
    microseconds longest{0};
};

/// Where a stream goes on.
struct found_origin
{
    std::optional<upstream_kind> kind; ///< Empty if it can't be known.
    bool isOutdated = false; ///< The store did not answer this host; another one may know.
};

/// Finds out at which service and software version a stream may go on that another host has begun.
///
/// While a stream's route has several services, or its service has upstreams of several versions,
/// the host that begins it tells the stream's keepers, which a host that takes it up asks, and the
/// archive. While there is only one of each, nothing is sent. Of a stream that is known to neither,
/// a host believes what the platform's store says then, if that leaves one service and version
/// only.
class stream_directory
{
public:
    using send_function = std::function<void(const host_address &host, const std::string &bytes)>;
    /// See feed::confirm().
    using confirm_function = std::function<boost::asio::awaitable<bool>()>;

    static std::unique_ptr<stream_directory>
    makeStreamDirectory(boost::asio::io_context &context, routing_state &target,
                        const host_address &self, clock_source clock, send_function send,
                        confirm_function confirm);
    ~stream_directory();

    /// Records that @p upstream sends the first event of a stream. To be called before the caller
    /// gets the event.
    void recordBegin(std::uint64_t stream, const upstream_entry &upstream,
                     const stream_scope &scope);

    /// Records that @p upstream ended a run of the stream without a proof that the stream ends
    /// there, and tells the keepers.
    void recordRunEnd(std::uint64_t stream, const upstream_entry &upstream,
                      const stream_run_end &end);

    /// The last such end that this host or a keeper knows of. Takes a tenth of a second at most.
    boost::asio::awaitable<std::optional<stream_run_end>> findRunEnd(std::uint64_t stream,
                                                                     stream_scope scope);

    /// Records that a stream has reached its end.
    void recordEnd(std::uint64_t stream);

    /// Tells the keepers of the streams that were begun while there was one service and version
    /// only, if there are several now.
    void tellUntold();

    /// Handles that @p host has started, or no longer stops: it may have become a keeper.
    void noteHostStart(const host_address &host);

    /// Tells the keepers of all recent streams that this host knows. To be called before it exits.
    void handOver();

    /// Adds what is to outlive all hosts to @p archive and, where no host was told of a stream,
    /// reads it there. It must outlive the directory's use.
    void useArchive(stream_archive &archive);

    /// Takes a tenth of a second at most, and a second more if no other host was told.
    boost::asio::awaitable<found_origin> findOrigin(std::uint64_t stream, stream_scope scope);

    /// Handles what @p sender sent of streams.
    void receive(const wire::LoadHint &message, const host_address &sender);

private:
    struct state;
    explicit stream_directory(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
