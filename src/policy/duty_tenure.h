#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/store_position.h"

#include <cstdint>
#include <map>
#include <optional>

namespace quincefall {

/// Limits of a tenure of the fleet's duties.
struct tenure_settings
{
    milliseconds lease{6'000}; ///< Without a new record, after which another host takes over.
    bool checksFence = true; ///< The platform refuses calls with an outdated fencing token.
};

/// The parts of a duty record that decide who holds the duties.
struct tenure_record
{
    host_address host;
    std::uint64_t nonce = 0; ///< Of the write.
    std::optional<host_address> predecessor;
    bool isReleased = false;
};

/// What one host knows of who holds the fleet's duties: one host at a time, which replaces the
/// newest record in the store by conditional appends. All instants are of a clock that also
/// advances while the machine is suspended.
///
/// Answers the load of a fleet that loses the holder under full traffic: a host that is slow, that
/// was suspended, or whose answers were lost stops to act before another host begins, and hosts
/// don't take over from one that the store alone does not answer.
struct duty_tenure
{
    host_address self;
    tenure_settings settings;
    store_position end; ///< After the newest known record.
    bool hasRead = false; ///< `end` and `newest` are known.
    std::optional<tenure_record> newest;
    microseconds silence{0}; ///< Time since `newest` in which the store told of no other record.

    bool isHolder = false;
    /// This host has to store a record before it may act.
    bool needsCommit = false;
    instant confirmedAt{}; ///< When the last stored record was sent.
    instant ranAt{}; ///< Last time that the process was seen to run.
    std::optional<instant> heldUntil; ///< End of this process's last tenure.
    /// Writes that may still be stored: nonce, and when it was sent.
    std::map<std::uint64_t, instant> openWrites;
};

duty_tenure makeTenure(host_address self, tenure_settings settings);

/// Time between two commits of the holder. A failed one can be repeated within the lease.
microseconds renewalInterval(const tenure_settings &settings);

/// When the holder commits the next time for its tenure alone. A commit for another reason that is
/// expected by @p expected, shortly after that, takes the place of the renewal.
instant renewalDue(const duty_tenure &tenure, instant expected);

/// Applies a read that found @p newest, empty if there is no record at all, before @p end. If that
/// is an open write of this host, it holds the duties from then on; otherwise no longer.
void applyRead(duty_tenure &tenure, const std::optional<tenure_record> &newest, store_position end,
               instant now);

/// Applies a read that was answered after @p waited without a newer record.
void applySilence(duty_tenure &tenure, microseconds waited);

/// Applies a call to the store that failed, after which the holder, too, may have to renew late.
void applyOutage(duty_tenure &tenure);

/// Time without a newer record after which this host may claim the duties; 0 if it may now. A host
/// that held them before the current holder waits for a lease in any case, so that holders don't
/// act in the order A, B, A within it.
microseconds timeUntilClaim(const duty_tenure &tenure, instant now);

/// The record for a claim or a commit of this host.
tenure_record makeRecord(const duty_tenure &tenure, std::uint64_t nonce, bool isReleased);

/// Notes that a write of @p record is sent, on the condition that the topic ends at `end`.
void beginWrite(duty_tenure &tenure, const tenure_record &record, instant now);

/// Applies the answer that @p record was stored before @p end.
void applyStored(duty_tenure &tenure, const tenure_record &record, store_position end, instant now);

/// Notes that the process runs. Between two calls that are far apart it may have been suspended.
void noteRunning(duty_tenure &tenure, instant now);

/// Whether this host holds the duties and may act for them at @p now.
bool mayAct(const duty_tenure &tenure, instant now);

/// Ends this host's tenure, if it has one.
void endTenure(duty_tenure &tenure, instant now);

/// Fencing token of calls after the record that ends at @p end. Rises with each record, also when
/// the store gives out offsets again in a newer epoch.
std::uint64_t fencingToken(const store_position &end);

} // namespace quincefall
