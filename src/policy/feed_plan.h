#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/fleet_load.h"
#include "policy/store_position.h"

#include <optional>
#include <vector>

namespace quincefall {

/// From where a host should fetch updates next.
struct feed_step
{
    enum class kind {
        wait, ///< No free host has a newer revision, and no read of the store is due.
        readStore,
        askHost, ///< `host` has a newer revision.
    };

    kind action = kind::wait;
    host_address host{};
};

/// What a host has of one data set: the desired state or the list of upstreams.
struct feed_view
{
    /// Position of the list, or the version of the desired state, which needs no epoch. Offset 0
    /// when there is none yet.
    store_position revision;
    milliseconds age{0}; ///< Since the revision was last confirmed to be the newest.
    bool isUpstreamList = false; ///< Otherwise the desired state.
    bool isStoreReachable = true; ///< The store answered this host's last read.
    milliseconds interval{1'000}; ///< Between two reads of the store by one reader.
    milliseconds sinceRead{0}; ///< Since this host's last read of the store, also a failed one.
    milliseconds hintInterval{0}; ///< Between two hints of another host, which tell its age.
};

/// Plans a host's next step. A few hosts, the readers, read the store; the others fetch a new
/// revision from a host that has it.
///
/// Bounds the cost and the rate of calls to the store in a large fleet. A host reads the store
/// itself when its revision has not been confirmed for several intervals, as happens when the
/// readers fail or lose the store. A reader whose last read failed fetches newer revisions from
/// other hosts.
feed_step planFeed(const feed_view &view, const fleet_load &others, const host_address &own,
                   instant now);

/// The host to ask for a newer revision while this host's own read of the store is under way, which
/// may bring it later or never; none until @p newerKnownFor, the time for which a newer revision
/// has been known, is long enough for a sound read to bring it.
std::optional<host_address> hostToAskDuringRead(const feed_view &view, const fleet_load &others,
                                                const host_address &own, milliseconds newerKnownFor,
                                                instant now);

/// Latest time at which another host with the same revision confirmed that it is the newest;
/// instant::min() if there is none.
instant latestConfirmation(const feed_view &view, const fleet_load &others);

/// Interval between the hints that reader candidates send to each other.
inline constexpr milliseconds candidateHintInterval{300};

/// The other hosts of which this host has to hear often: if it is one of the first hosts by a hash
/// of their addresses, which are the readers and those that replace them, the others of these;
/// nobody otherwise.
///
/// Answers the loss of all readers at once in a large fleet, where a host's hints to all others are
/// seconds apart and a reader would be missed too late for a change to be in force in time.
std::vector<host_address> readerCandidates(const fleet_load &others, const host_address &own);

/// Whether this host reads the store: the readers are the first few hosts, by a hash of their
/// addresses, whose revision was recently confirmed to be the newest, and the next few while these
/// are late. The confirmation may have come through another host. Among reader candidates only
/// those count whose hints arrive. This host's own age is not tested.
bool isReader(const feed_view &view, const fleet_load &others, const host_address &own,
              instant now);

} // namespace quincefall
