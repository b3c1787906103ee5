#include "ledger/claim_attempts.h"

#include <algorithm>
#include <cassert>

namespace quincefall {
namespace {

claim_entry makeEntry(const claim_attempts &own, claim_action action, const claim_key &key,
                      const std::string &attempt, wall_milliseconds wall)
{
    claim_entry entry;
    entry.action = action;
    entry.key = key;
    entry.attempt = attempt;
    entry.host = own.host;
    entry.incarnation = own.incarnation;
    entry.wall = wall;
    return entry;
}

void removeFromOutbox(claim_attempts &own, claim_action action, const std::string &attempt)
{
    std::erase_if(own.outbox, [&](const claim_entry &entry) {
        return entry.action == action && entry.attempt == attempt;
    });
}

bool isInOutbox(const claim_attempts &own, const std::string &attempt)
{
    return std::any_of(own.outbox.begin(), own.outbox.end(),
                       [&](const claim_entry &entry) { return entry.attempt == attempt; });
}

/// Releases a claim that was applied although its attempt no longer exists.
void releaseOrphanedClaim(claim_attempts &own, const claim_effect &effect, wall_milliseconds wall)
{
    if (own.attempts.count(effect.attempt) > 0 || isInOutbox(own, effect.attempt))
        return;
    own.outbox.push_back(makeEntry(own, claim_action::release, effect.key, effect.attempt, wall));
}

void eraseFinished(claim_attempts &own, const std::string &attempt)
{
    const auto found = own.attempts.find(attempt);
    if (found == own.attempts.end() || isInOutbox(own, attempt))
        return;
    const attempt_phase phase = found->second.phase;
    if (phase == attempt_phase::abandoned || phase == attempt_phase::settled)
        own.attempts.erase(found);
}

} // namespace

std::string beginClaim(claim_attempts &own, const claim_key &key, const std::string &digest,
                       wall_milliseconds wall)
{
    std::string attempt = own.host + "-" + std::to_string(own.incarnation) + "-"
        + std::to_string(own.nextAttemptNumber++);
    own.attempts[attempt] = {key, attempt_phase::claiming, false};
    claim_entry entry = makeEntry(own, claim_action::claim, key, attempt, wall);
    entry.digest = digest;
    own.outbox.push_back(std::move(entry));
    return attempt;
}

std::vector<claim_entry> nextBatch(claim_attempts &own, std::size_t limit)
{
    const std::size_t count = std::min(limit, own.outbox.size());
    std::vector<claim_entry> batch(own.outbox.begin(), own.outbox.begin() + std::ptrdiff_t(count));
    for (const claim_entry &entry : batch) {
        const auto attempt = own.attempts.find(entry.attempt);
        if (entry.action == claim_action::claim && attempt != own.attempts.end())
            attempt->second.wasAppended = true;
    }
    return batch;
}

void handleReadBack(claim_attempts &own, const std::vector<claim_effect> &effects,
                    wall_milliseconds wall)
{
    for (const claim_effect &effect : effects) {
        if (effect.host != own.host || effect.incarnation != own.incarnation)
            continue;
        removeFromOutbox(own, effect.action, effect.attempt);
        if (effect.action == claim_action::claim && effect.isApplied)
            releaseOrphanedClaim(own, effect, wall);
        eraseFinished(own, effect.attempt);
    }
}

send_verdict decideSend(claim_attempts &own, const claim_table &table, const std::string &attempt,
                        instant now, instant deadline)
{
    local_attempt &mine = own.attempts.at(attempt);
    assert(mine.phase == attempt_phase::claiming);
    const claim_record *holder = findClaim(table, mine.key);
    if (holder != nullptr && holder->attempt != attempt)
        return send_verdict::lost;
    if (now >= deadline)
        return send_verdict::timedOut;
    if (holder == nullptr)
        return send_verdict::wait;
    mine.phase = attempt_phase::sending;
    return send_verdict::send;
}

void abandon(claim_attempts &own, const std::string &attempt, wall_milliseconds wall)
{
    local_attempt &mine = own.attempts.at(attempt);
    assert(mine.phase == attempt_phase::claiming);
    mine.phase = attempt_phase::abandoned;
    removeFromOutbox(own, claim_action::claim, attempt);
    if (mine.wasAppended)
        own.outbox.push_back(makeEntry(own, claim_action::release, mine.key, attempt, wall));
    eraseFinished(own, attempt);
}

void revertToClaiming(claim_attempts &own, const std::string &attempt)
{
    local_attempt &mine = own.attempts.at(attempt);
    assert(mine.phase == attempt_phase::sending);
    mine.phase = attempt_phase::claiming;
}

void settle(claim_attempts &own, const std::string &attempt,
            const std::optional<claim_result> &outcome, wall_milliseconds wall)
{
    local_attempt &mine = own.attempts.at(attempt);
    assert(mine.phase == attempt_phase::sending);
    mine.phase = attempt_phase::settled;
    const claim_action action = outcome ? claim_action::result : claim_action::unknown;
    claim_entry entry = makeEntry(own, action, mine.key, attempt, wall);
    if (outcome)
        entry.result = *outcome;
    own.outbox.push_back(std::move(entry));
}

bool hasActiveAttempt(const claim_attempts &own, const claim_key &key)
{
    return std::any_of(own.attempts.begin(), own.attempts.end(), [&](const auto &entry) {
        const auto &[id, attempt] = entry;
        return attempt.key == key && attempt.phase != attempt_phase::abandoned;
    });
}

} // namespace quincefall
