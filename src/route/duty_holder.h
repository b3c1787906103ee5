#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "peer.pb.h"
#include "route/routing_state.h"
#include "route/state_source.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

/// Agrees with the other hosts on the one that holds the fleet's duties, through a record in the
/// platform's store that is replaced only by a conditional append. Its offset is the fencing token,
/// so no two hosts ever have the same one and each commit() of a holder raises it.
class duty_holder
{
public:
    struct options
    {
        host_address self; ///< Peer address of this host.
        milliseconds lease{6'000}; ///< Without a new record, after which another host takes over.
        bool checksFence = true; ///< The platform refuses calls with an outdated token.
    };

    /// What this host did for the tenure since it started.
    struct counts
    {
        std::uint64_t takeovers = 0;
        std::uint64_t losses = 0; ///< Of the duties to another host.
        std::uint64_t commits = 0;
        std::uint64_t failedCommits = 0;
        std::uint64_t refusals = 0; ///< Calls that failed with fencingStale.
    };

    /// @p clock has to advance while the machine is suspended; see makeSuspensionClock().
    static std::unique_ptr<duty_holder> makeDutyHolder(boost::asio::io_context &context,
                                                       routing_state &state, state_source source,
                                                       clock_source clock, options settings);
    ~duty_holder();

    void start();
    /// Releases the duties, so that another host can take over at once.
    boost::asio::awaitable<void> stop();

    /// Whether this host holds the duties and may act for them now.
    bool isHolder() const;

    /// What the duties keep. The holder changes it, then calls commit(); a new holder finds what
    /// its predecessor stored.
    wire::DutyRecord &record();

    /// Stores the record and returns the fencing token for the calls that follow. Fails with
    /// leaseNotHeld when another host took over, and with logUnavailable when the store doesn't
    /// answer; the record may be stored all the same. Concurrent calls are joined.
    boost::asio::awaitable<result<std::uint64_t>> commit();

    /// Announces a commit() by a caller within @p time. A renewal that is due shortly before waits
    /// for it, which saves a call to the store.
    void expectCommit(microseconds time);

    /// Called when this host begins to hold the duties, with the record that it found.
    void onTakeover(std::function<void()> listener);

    /// Called with each record that was read from the store.
    void onRead(std::function<void(const wire::DutyRecord &record)> listener);

    /// Stops to act after a call failed with fencingStale, until a commit shows that no other host
    /// has taken over.
    void yield();

    /// Epoch of the store in which the record was read or stored last.
    std::uint64_t storeEpoch() const;

    /// The holder's newest fencing token, 0 on other hosts.
    std::uint64_t fence() const;

    counts numbers() const;

private:
    struct state;
    explicit duty_holder(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
