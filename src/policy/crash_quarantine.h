#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "policy/prompt.h"
#include "policy/upstream_entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace quincefall {

/// Something that several requests have in common and under which upstreams may crash: a part of
/// their prompts, or the whole request when a caller sends it again.
struct request_trait
{
    std::uint64_t id = 0; ///< Of the part, or digestOf() the request.
    unsigned depth = 0; ///< Number of prompt parts before it.
    bool isWholeRequest = false;
};

/// The prompt's parts that other prompts may share. Its last part is its own.
std::vector<request_trait> sharedPartTraits(const prompt_outline &prompt);

/// One crash of an upstream under a request with a certain trait.
struct crash_evidence
{
    std::uint64_t crash = 0; ///< crashId() of the upstream.
    instant at = instant::min(); ///< When a host noticed it.
    milliseconds waited{0}; ///< Time that the request had been there.
    bool wasAnswering = false; ///< The answer to the request had begun a moment before.
    bool isRefuted = false; ///< The upstream went on answering; it was only cut off.
};

/// A trait of requests under which upstreams crashed.
struct suspected_trait
{
    std::vector<crash_evidence> crashes; ///< In the order of their times.
    bool isWholeRequest = false;
    unsigned depth = 0; ///< Largest number of parts before it in a prompt.
    instant answeredAt = instant::min(); ///< Last answer to a request with it, on any host.
    instant changedAt = instant::min(); ///< When this host last learned something of it.
    std::int64_t trialRound = 0; ///< Last one in which this host has tried the trait again.
    bool isFirstHand = false; ///< This host has seen a crash under it.
    bool isHeld = false;
};

/// Times of the last answers to whole requests, by digest. Bounded: the older generation is dropped
/// when the newer one is full.
struct answered_requests
{
    std::unordered_map<std::uint64_t, instant> newer;
    std::unordered_map<std::uint64_t, instant> older;
};

/// The crash of an upstream that had a request.
struct upstream_crash
{
    std::uint64_t crash = 0; ///< crashId() of the upstream.
    instant sent = instant::min(); ///< When the request was sent there.
    bool wasAnswering = false; ///< The answer had begun, but not yet gone on.
};

/// A connection that an upstream closed under a request, while its address did not refuse
/// connections afterwards. Whether the upstream crashed is not known until it is listed anew.
struct unexplained_loss
{
    upstream_entry entry;
    upstream_crash crash; ///< If it was one.
    std::vector<request_trait> traits; ///< Of the request.
    instant at = instant::min(); ///< When this host noticed it.
};

/// Traits of requests under which upstreams crashed, as this host and the other hosts saw it.
///
/// Guards against a request that crashes each upstream which runs it, and against a prompt part
/// with which any request does: repeated elsewhere, or sent again and again by callers, it would
/// take one upstream after the other from all callers. The crash of an upstream ends many requests,
/// so a trait is held back only when several crashes have it in common and no request with it was
/// answered since. A crash that a held trait explains speaks against no other trait.
struct crash_quarantine
{
    std::unordered_map<std::uint64_t, instant> answeredParts; ///< Last answer on this host, by id.
    answered_requests answeredRequests; ///< On this host.
    std::map<std::uint64_t, suspected_trait> suspects; ///< By id of the trait.
    std::map<std::uint64_t, instant> recentCrashes; ///< Not refuted, by crashId().
    std::vector<unexplained_loss> losses; ///< On this host, in the order of their times.
    std::set<std::uint64_t> news; ///< Suspects of which all other hosts should hear at once.
    std::set<std::uint64_t> holdChanges; ///< Held or released since they were last stored.
    std::set<std::uint64_t> keeperNews; ///< Suspects of which their keepers should hear at once.
};

/// A crash as hosts tell each other.
struct told_crash
{
    std::uint64_t crash = 0;
    milliseconds age{0};
    std::optional<milliseconds> waited; ///< Time that the request had been there; empty if unknown.
    bool wasAnswering = false;
    bool isRefuted = false;
};

/// A suspected trait as hosts tell each other.
struct told_suspect
{
    std::uint64_t trait = 0;
    std::vector<told_crash> crashes;
    bool isWholeRequest = false;
    unsigned depth = 0;
    bool isHeld = false; ///< The teller holds it back.
    std::optional<milliseconds> answeredAge; ///< Since a request with it was last answered.
};

/// A trait for which a request is refused.
struct held_trait
{
    std::uint64_t id = 0;
    bool isWholeRequest = false;
    std::size_t crashes = 0; ///< That speak against it.
    microseconds retryAfter{0}; ///< Until a host may try it again.
};

/// Identifies an upstream's process and so its only crash.
std::uint64_t crashId(const upstream_entry &entry);

/// Records that the answer to a request with @p traits has gone on for so long, or is complete, so
/// that none of them crashes an upstream.
void recordAnswered(crash_quarantine &quarantine, std::span<const request_trait> traits,
                    instant now);

/// Records that an upstream crashed while it had a request with @p traits. The first crash under a
/// whole request is told to the request's keepers only, since each crash ends many requests that
/// never come again; the second one to all hosts.
void recordCrash(crash_quarantine &quarantine, const upstream_crash &crash,
                 std::span<const request_trait> traits, instant now);

/// Whether @p listed is a later process than that of @p earlier, under its id or at its address, so
/// that the earlier one has ended.
bool isLaterStart(const upstream_entry &listed, const upstream_entry &earlier);

/// Records a loss that may turn out to be a crash.
void recordLoss(crash_quarantine &quarantine, unexplained_loss loss);

/// Records that @p listed is in the platform's list. Losses of a process that it replaces count as
/// crashes from when they were noticed. Returns their number.
std::size_t recordListing(crash_quarantine &quarantine, const upstream_entry &listed, instant now);

/// Records that the upstream of @p crash answers a request that was sent to it at @p sent. That
/// refutes a crash noticed after @p sent and some time ago.
void recordSurvival(crash_quarantine &quarantine, std::uint64_t crash, instant sent, instant now);

/// Whether a prompt part among @p traits was never seen to be answered on this host.
bool hasUnansweredPart(const crash_quarantine &quarantine, std::span<const request_trait> traits);

/// Number of crashes that speak against the whole request among @p traits.
std::size_t crashesOfRequest(const crash_quarantine &quarantine,
                             std::span<const request_trait> traits);

/// The first of @p traits that is held; empty if the request may be sent. Once in a while, that is
/// for a single request of a single host, which tries whether the trait still crashes upstreams. A
/// whole request gets only a few such trials.
std::optional<held_trait> findHeldTrait(crash_quarantine &quarantine,
                                        std::span<const request_trait> traits,
                                        const host_address &own,
                                        std::span<const host_address> others, instant now);

/// Whether one of @p traits is held; never starts a trial.
bool isHeld(const crash_quarantine &quarantine, std::span<const request_trait> traits);

/// What to repeat to other hosts: the traits that are held, and the prompt parts under which this
/// host has seen a crash a short time ago.
std::vector<told_suspect> suspectsToTell(const crash_quarantine &quarantine, instant now);

/// Take what all other hosts, or the keepers of each trait, should hear at once.
std::vector<told_suspect> takeNews(crash_quarantine &quarantine, instant now);
std::vector<told_suspect> takeKeeperNews(crash_quarantine &quarantine, instant now);

/// The trait as hosts tell each other; empty if it is not held.
std::optional<told_suspect> findHeld(const crash_quarantine &quarantine, std::uint64_t trait,
                                     instant now);

/// Merges what another host told. Where the other host holds a trait back and this host knows what
/// speaks for it, that is news. True if a keeper of the trait should tell all hosts: the other host
/// told a crash that was new here and does not know of another one.
bool applySuspect(crash_quarantine &quarantine, const told_suspect &told, instant now);

/// Number of traits that are held, of whole requests or of prompt parts.
std::size_t heldCount(const crash_quarantine &quarantine, bool wholeRequests);

/// Traits that have become held or are so no longer since the last call.
std::vector<std::uint64_t> updateHeldTraits(crash_quarantine &quarantine, instant now);

} // namespace quincefall
