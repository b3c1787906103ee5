#pragma once

#include "ledger/claim_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {

/// State of one of this host's own attempts.
enum class attempt_phase {
    claiming, ///< The claim has not been read back from the log as the holder of the key.
    sending, ///< The right to send was used; the call is sent at most once.
    abandoned, ///< The call was not sent and will not be.
    settled, ///< The call was sent; its result, or the lack of one, has been reported.
};

/// Whether an attempt may send its call now.
enum class send_verdict {
    send, ///< The claim was read back and holds the key: send exactly once.
    wait, ///< The claim has not been read back yet.
    lost, ///< Another attempt holds the key.
    timedOut, ///< The deadline passed before the call could be sent.
};

struct local_attempt
{
    claim_key key;
    attempt_phase phase = attempt_phase::claiming;
    bool wasAppended = false; ///< An append with its claim was started; the log may hold it.
};

/// The attempts of one process and the entries that it still has to append to the log. Only
/// decideSend on this structure grants the right to send a call.
struct claim_attempts
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t nextAttemptNumber = 1;
    std::map<std::string, local_attempt> attempts; ///< By id; erased when finished and read back.
    std::vector<claim_entry> outbox; ///< In append order; an entry is removed when it is read back.
};

/// Starts an attempt by putting a claim of @p key into the outbox. @p digest identifies the content
/// of the request. Returns the attempt's id.
std::string beginClaim(claim_attempts &own, const claim_key &key, const std::string &digest,
                       wall_milliseconds wall);

/// The entries for the next append, at most @p limit. They stay in the outbox until they are read
/// back; from now on their claims are treated as possibly in the log.
std::vector<claim_entry> nextBatch(claim_attempts &own, std::size_t limit);

/// Removes this process's entries from the outbox after they were read back from the log. Releases
/// an applied claim whose attempt no longer exists.
void handleReadBack(claim_attempts &own, const std::vector<claim_effect> &effects,
                    wall_milliseconds wall);

/// Whether @p attempt, which must be `claiming`, may send. Returns `send` at most once per attempt,
/// as it moves the attempt to `sending`; only revertToClaiming undoes that.
send_verdict decideSend(claim_attempts &own, const claim_table &table, const std::string &attempt,
                        instant now, instant deadline);

/// Abandons an attempt that is `claiming`. If its claim may be in the log, puts a release into
/// the outbox.
void abandon(claim_attempts &own, const std::string &attempt, wall_milliseconds wall);

/// Moves a `sending` attempt back to `claiming` when the connection could not be opened, so that
/// nothing was sent.
void revertToClaiming(claim_attempts &own, const std::string &attempt);

/// Puts the outcome of a sent call into the outbox; without @p outcome it is recorded as unknown.
void settle(claim_attempts &own, const std::string &attempt,
            const std::optional<claim_result> &outcome, wall_milliseconds wall);

/// True while an attempt of this process for @p key may still send its call or has sent it.
bool hasActiveAttempt(const claim_attempts &own, const claim_key &key);

} // namespace quincefall
