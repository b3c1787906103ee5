#pragma once

#include "policy/crash_quarantine.h"
#include "route/proxy_job.h"
#include "route/routing_state.h"
#include "route/upstream_call.h"
#include "route/upstream_paths.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace quincefall {

/// Applies the quarantine of traits to the requests of this host.
struct crash_guard
{
    routing_state &state;
    std::shared_ptr<upstream_paths> paths;
    clock_source clock;
    host_address self; ///< Peer address of this host.
    std::function<void()> newsListener; ///< Called when other hosts should hear of a trait at once.
    /// Attempts whose answer has not gone on for a while.
    std::map<proxy_job *, std::weak_ptr<upstream_call>> running{};
};

/// An attempt that ended because the upstream closed its connection.
struct lost_attempt
{
    instant sent; ///< When it was started.
    bool wasAnswering = false; ///< The answer had just begun.
    bool hasGoneOn = false; ///< The answer had gone on for a while; see noteGoingOn().
    bool hasBrokenOff = false; ///< The answer was not complete; else only its end is not proven.
};

/// Record the begin and the end of an attempt. removeAttempt() is true if noteGoingOn() and
/// noteAnswered() were not called.
void addAttempt(crash_guard &guard, proxy_job &job, const std::shared_ptr<upstream_call> &call);
bool removeAttempt(crash_guard &guard, proxy_job &job);

/// Records that the answer to the job has gone on for so long that no part of its prompt crashes
/// the upstream.
void noteGoingOn(crash_guard &guard, proxy_job &job);

/// Records that the job was answered to its end.
void noteAnswered(crash_guard &guard, proxy_job &job);

/// Records that the upstream sent something to a request that it got at @p sent.
void noteBytes(crash_guard &guard, const upstream_entry &entry, instant sent);

/// Finds out whether the upstream has crashed after it closed the connection of the job's attempt,
/// and records that, or that it may have.
boost::asio::awaitable<void> noteLostConnection(crash_guard &guard, proxy_job &job,
                                                const upstream_entry &entry, lost_attempt lost);

/// Applies what was recorded elsewhere, such as a crash that a listing shows.
void applyCrashNews(crash_guard &guard);

/// The held trait for which the job must not be sent; empty if it may be sent.
std::optional<held_trait> findHeldTrait(crash_guard &guard, const proxy_job &job);

/// Cancels the running attempts of requests with a held trait.
void cancelHeldAttempts(crash_guard &guard);

/// Error for a request that is held back.
error heldBackError(const held_trait &held);

} // namespace quincefall
