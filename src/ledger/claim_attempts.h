#pragma once

#include "ledger/claim_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {

/// What a host does with one of its own attempts.
enum class attempt_phase {
    claiming, ///< Its claim is not known to be in the log, or not known to have won.
    sending, ///< The call was given to the network once; never again.
    abandoned, ///< Has not sent the call and never will.
    settled, ///< Sent, and the outcome is known or given up.
};

/// What an attempt may do now.
enum class send_verdict {
    send, ///< The claim counts and was read back: send exactly once.
    wait, ///< The claim has not been read back.
    lost, ///< Another attempt holds the key.
    timedOut, ///< The deadline has passed.
};

struct local_attempt
{
    claim_key key;
    attempt_phase phase = attempt_phase::claiming;
    bool wasAppended = false; ///< An append with its claim was begun, so it may be in the log.
};

/// The attempts of one process and the entries that it still has to bring into the log. It decides
/// alone who may send: nothing else gives that right.
struct claim_attempts
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t nextNumber = 1;
    std::map<std::string, local_attempt> attempts; ///< Not settled, or not read back yet.
    std::vector<claim_entry> outbox; ///< In order; leaves when it has been read back.
};

/// Begins to claim @p key and returns the attempt's id.
std::string beginClaim(claim_attempts &own, const claim_key &key, const std::string &digest,
                       wall_milliseconds wall);

/// Entries for the next append, at most @p limit; their claims count as begun from here on.
std::vector<claim_entry> nextBatch(claim_attempts &own, std::size_t limit);

/// Takes in what was read back from the log.
void handleReadBack(claim_attempts &own, const std::vector<claim_effect> &effects,
                    wall_milliseconds wall);

/// Whether @p attempt may send. The verdict `send` is given once: the attempt is `sending` then.
send_verdict decideSend(claim_attempts &own, const claim_table &book, const std::string &attempt,
                        instant now, instant deadline);

/// Gives the attempt up; it must not have sent. Its claim is taken back in the log if it may have
/// got there.
void abandon(claim_attempts &own, const std::string &attempt, wall_milliseconds wall);

/// Takes back the right to send when the connection could not be opened: nothing was sent.
void revertToClaiming(claim_attempts &own, const std::string &attempt);

/// Records the outcome of a sent call; without @p outcome it is unknown.
void settle(claim_attempts &own, const std::string &attempt,
            const std::optional<claim_result> &outcome, wall_milliseconds wall);

/// True while an attempt of this process for @p key may still send or has sent.
bool hasActiveAttempt(const claim_attempts &own, const claim_key &key);

} // namespace quincefall
