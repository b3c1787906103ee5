#pragma once

#include "clients/log_client.h"
#include "kernel/clock.h"
#include "kernel/result.h"
#include "ledger/checkpoint.h"
#include "ledger/config_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace quincefall {

class timeline;

/// Follows the configuration stream of the log and keeps the resulting state in force.
class config_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        timeline &events;
        clock_source clock;
        std::string hostName;
        checkpoint_settings checkpoints;
    };

    static std::unique_ptr<config_service> makeConfigService(dependencies needs);
    ~config_service();

    /// Starts following the log.
    void start();
    void stop();

    /// The state in force.
    const config_state &state() const;

    /// True once the state has caught up with the end of the log or with a peer since the start.
    bool isReady() const;

    /// True while the last read of the log succeeded.
    bool isLogReachable() const;

    /// Sets the predicate that tells whether this host writes the checkpoints now.
    void setCheckpointWriter(std::function<bool()> isWriter);

    /// Calls @p listener after each change of the state in force. Until the host is ready, it may
    /// also be called without a change.
    void onChange(std::function<void()> listener);

    /// Calls @p listener after each record that was applied.
    void onRecordApplied(std::function<void(const config_effect &effect)> listener);

    /// Offset that the log assigns next, as of the last successful read.
    std::uint64_t nextLogOffset() const;

    /// Appends @p change to the log and waits until this host has applied its record. Fails with
    /// the code of the outcome if the change was rejected, with logUnavailable if nothing was
    /// written, and with writeUnknown if the outcome is still unknown after @p timeout.
    boost::asio::awaitable<result<operation_outcome>> publish(config_change change,
                                                              milliseconds timeout);

    /// Applies records that a peer has read from the log. Records that do not directly follow the
    /// state in force are ignored. @p peerNext is the peer's next offset; this host becomes ready
    /// when it has reached that offset.
    void adoptRecords(const std::vector<log_record> &records, std::uint64_t peerNext);

    /// Replaces the state by that of a peer if the peer's is newer. Makes this host ready.
    void adoptState(config_state newer);

    /// The records from offset @p from on, for a peer; empty if that offset is no longer in memory.
    std::vector<log_record> recentRecords(std::uint64_t from) const;

private:
    struct state_data;
    explicit config_service(std::shared_ptr<state_data> shared);
    std::shared_ptr<state_data> m_state;
};

} // namespace quincefall
