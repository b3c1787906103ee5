#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/stream_record.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace quincefall {

/// Keeps in the platform's store where streams began, and which software versions services have
/// had, so that both are known after all hosts were lost.
///
/// Each host writes one record, of the streams that it has begun and whose keepers had to be told,
/// a few times a second at most and only if there are new ones that still run. A host that starts
/// reads the records of all hosts.
class stream_archive
{
public:
    static std::unique_ptr<stream_archive>
    makeStreamArchive(boost::asio::io_context &context, routing_state &target, state_source source,
                      const host_address &self, clock_source clock);
    ~stream_archive();

    void start();
    void stop();

    /// Adds a stream that this host has begun at @p kind.
    void add(std::uint64_t stream, const upstream_kind &kind);

    /// Forgets a stream that has ended.
    void remove(std::uint64_t stream);

    /// The streams that were added, and may still be taken up.
    std::vector<std::uint64_t> streams() const;

    /// Reads the records of all hosts, unless that was done a moment ago. Takes half a second at
    /// most. False if the store did not answer.
    boost::asio::awaitable<bool> read();

private:
    struct state;
    explicit stream_archive(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
