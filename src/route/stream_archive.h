#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/stream_record.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// Keeps in the platform's store where streams began, and which software versions services have
/// had, so that both are known after all hosts were lost.
///
/// A few hosts write for all: each has one record, of the streams that others told it or that it
/// has begun, and writes it twice a second at most, if there are new ones. A host that starts reads
/// the records of all hosts.
class stream_archive
{
public:
    static std::unique_ptr<stream_archive>
    makeStreamArchive(boost::asio::io_context &context, routing_state &target, state_source source,
                      const host_address &self, clock_source clock);
    ~stream_archive();

    void start();
    void stop();

    /// Adds a stream that has begun at @p kind a moment ago. It is kept until it can't be taken up
    /// any more.
    void add(std::uint64_t stream, const upstream_kind &kind);

    /// While @p condition returns true, the versions of services are written, too.
    void writeVersionsWhile(std::function<bool()> condition);

    /// Reads the records of all hosts, unless that was done a moment ago. Takes half a second at
    /// most. False if the store did not answer.
    boost::asio::awaitable<bool> read();

private:
    struct state;
    explicit stream_archive(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
