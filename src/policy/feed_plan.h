#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/fleet_load.h"

#include <optional>

namespace quincefall {

/// How one host should learn what is new on the platform.
struct feed_step
{
    enum class kind {
        wait, ///< Nothing is known to be new.
        readStore,
        askHost, ///< `host` knows more.
    };

    kind action = kind::wait;
    host_address host{};
};

/// What a host knows of one matter: the desired state or the list of upstreams.
struct feed_view
{
    std::uint64_t revision = 0; ///< Version or offset; 0 when nothing is known.
    milliseconds age{0}; ///< Since what is known was known to be the newest.
    bool isUpstreamList = false; ///< Otherwise the desired state.
    bool isStoreReachable = true; ///< The store answered this host's last read.
    milliseconds interval{1'000}; ///< Between two reads of one reader.
    milliseconds sinceRead{0}; ///< Since this host's last read of the store, also a failed one.
};

/// A few hosts read the store; the others hear from them that something is new.
///
/// Answers the price and the rate limit of the store's calls in a large fleet. A host whose readers
/// fall silent, or have lost the store, reads it itself; one that the store refuses asks the
/// hosts that are served.
feed_step planFeed(const feed_view &view, const fleet_load &others, const host_address &own,
                   instant now);

/// Latest moment at which a host that knows just what this one knows was sure that it is the
/// newest.
instant latestConfirmation(const feed_view &view, const fleet_load &others);

/// Whether this host is one of the readers.
bool isReader(const feed_view &view, const fleet_load &others, const host_address &own,
              instant now);

} // namespace quincefall
