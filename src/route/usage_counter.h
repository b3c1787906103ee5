#pragma once

#include "kernel/clock.h"
#include "peer.pb.h"
#include "policy/usage_ledger.h"
#include "route/routing_state.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quincefall {

/// Counts the requests that begin to run on this host, and sends the counts to the hosts that hold
/// the duties or may come to hold them.
class usage_counter
{
public:
    struct options
    {
        host_address self; ///< Peer address of this host.
        usage_windows windows;
    };

    using send_function = std::function<void(const host_address &host, const std::string &bytes)>;

    /// @p clock has to advance while the machine is suspended; see makeSuspensionClock().
    static std::unique_ptr<usage_counter> makeUsageCounter(boost::asio::io_context &context,
                                                           routing_state &state, clock_source clock,
                                                           options settings, send_function send);
    ~usage_counter();

    void start();
    /// Sends what was not sent yet.
    void stop();

    /// Counts a request of @p organisation that begins to run now. Requests without an organisation
    /// are not counted.
    void countRun(const std::string &organisation);

    /// Applies the wall clock that another host told.
    void noteWallClock(const host_address &host, wall_milliseconds wall);

    /// Merges the counts, or the reports, of another host.
    void receive(const wire::LoadHint &message);

    /// Records the reports of a record that the store has, and tells the hosts that may come to
    /// hold the duties: the store may come back from a copy without them.
    void noteStored(const wire::DutyRecord &record);

    /// Counts of all hosts as far as they arrived. Windows are dropped some time after their
    /// reports are due.
    usage_ledger &ledger();

    /// Unix time, also while the time of day of this host is wrong.
    wall_milliseconds now() const;

    /// Time after which counts that changed are sent.
    microseconds sendInterval() const;

    /// Window in which this process started.
    std::int64_t firstWindow() const;

    /// Oldest window whose counts are kept.
    std::int64_t oldestWindow() const;

private:
    struct state;
    explicit usage_counter(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
