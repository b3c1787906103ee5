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

/// Follows the configuration stream of the log and keeps the folded state in force.
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

    /// Begins to follow the log.
    void start();
    void stop();

    /// The state in force.
    const config_state &state() const;

    /// True once the state has reached the log's tail, or a peer's state, since the start.
    bool isReady() const;

    /// True while the last read of the log succeeded.
    bool isLogReachable() const;

    /// Tells whether this host is the one that writes checkpoints now.
    void setCheckpointWriter(std::function<bool()> isWriter);

    /// Called after each change of the state in force.
    void onChange(std::function<void()> listener);

    /// Called after each record that was folded in.
    void onRecordApplied(std::function<void(const config_effect &effect)> listener);

    /// Offset that the log's next append gets, as last read.
    std::uint64_t nextLogOffset() const;

    /// Publishes @p change and waits until this host has decided it. Fails with the fold's code,
    /// logUnavailable when nothing was written, or writeUnknown when that cannot be told.
    boost::asio::awaitable<result<operation_outcome>> publish(config_change change,
                                                              milliseconds timeout);

    /// Takes in records that a peer has read from the log; older ones are ignored. @p peerNext is
    /// the peer's next offset: a host that reaches it is ready.
    void adoptRecords(const std::vector<log_record> &records, std::uint64_t peerNext);

    /// Takes in a peer's whole state when it is newer than this host's.
    void adoptState(config_state newer);

    /// Recent records from offset @p from on, for a peer; empty when they are no longer kept.
    std::vector<log_record> recentRecords(std::uint64_t from) const;

private:
    struct state_data;
    explicit config_service(std::shared_ptr<state_data> shared);
    std::shared_ptr<state_data> m_state;
};

} // namespace quincefall
