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

/// One crash of an upstream under a prompt with a certain part.
struct crash_evidence
{
    std::uint64_t crash = 0; ///< crashId() of the upstream.
    instant at = instant::min(); ///< When a host noticed it.
    bool wasAnswering = false; ///< The answer to the prompt had begun a moment before.
    bool isRefuted = false; ///< The upstream went on answering; it was only cut off.
};

/// A part of prompts under which upstreams crashed.
struct suspected_trait
{
    std::vector<crash_evidence> crashes; ///< In the order of their times.
    unsigned depth = 0; ///< Largest number of parts before it in a prompt.
    instant answeredAt = instant::min(); ///< Last answer to a prompt with it, on any host.
    instant changedAt = instant::min(); ///< When this host last learned something of it.
    std::int64_t trialRound = 0; ///< Last one in which this host has tried the part again.
    bool isFirstHand = false; ///< This host has seen a crash under it.
    bool isHeld = false;
};

/// Prompt parts under which upstreams crashed, as this host and the other hosts saw it.
///
/// Guards against a prompt that crashes each upstream which answers it: repeated elsewhere, or sent
/// again and again by callers, it would take one upstream after the other from all callers. The
/// crash of an upstream ends many requests, so a part is held back only when several crashes have
/// it in common and no prompt with it was answered since. A crash that a held part explains speaks
/// against no other part. The last part of a prompt is its own and never suspected.
struct crash_quarantine
{
    std::unordered_map<std::uint64_t, instant> answeredParts; ///< Last answer on this host, by id.
    std::map<std::uint64_t, suspected_trait> suspects; ///< By id of the part.
    std::set<std::uint64_t> news; ///< Suspects of which other hosts should hear at once.
};

/// A crash as hosts tell each other.
struct told_crash
{
    std::uint64_t crash = 0;
    milliseconds age{0};
    bool wasAnswering = false;
    bool isRefuted = false;
};

/// A suspected part as hosts tell each other.
struct told_suspect
{
    std::uint64_t part = 0;
    std::vector<told_crash> crashes;
    unsigned depth = 0;
    bool isHeld = false; ///< The teller holds it back.
    std::optional<milliseconds> answeredAge; ///< Since a prompt with it was last answered.
};

/// A part for which a request is refused.
struct held_trait
{
    std::uint64_t part = 0;
    std::size_t crashes = 0; ///< That speak against it.
    microseconds retryAfter{0}; ///< Until a host may try it again.
};

/// Identifies an upstream's process and so its only crash.
std::uint64_t crashId(const upstream_entry &entry);

/// Records that the answer to @p prompt has gone on for so long that none of its parts crashes an
/// upstream.
void recordAnswered(crash_quarantine &quarantine, const prompt_outline &prompt, instant now);

/// Records that the upstream of @p crash crashed while it had @p prompt. @p wasAnswering tells
/// whether its answer had begun, but not yet gone on; see recordAnswered().
void recordCrash(crash_quarantine &quarantine, std::uint64_t crash, const prompt_outline &prompt,
                 bool wasAnswering, instant now);

/// Records that the upstream of @p crash answers a request that was sent to it at @p sent. That
/// refutes a crash noticed after @p sent and some time ago.
void recordSurvival(crash_quarantine &quarantine, std::uint64_t crash, instant sent, instant now);

/// Whether a part of the prompt was never seen to be answered on this host.
bool hasUnansweredPart(const crash_quarantine &quarantine, const prompt_outline &prompt);

/// The first held part of the prompt; empty if the prompt may be sent. Once in a while, that is for
/// a single prompt of a single host, which tries whether the part still crashes upstreams.
std::optional<held_trait> findHeldTrait(crash_quarantine &quarantine, const prompt_outline &prompt,
                                        const host_address &own,
                                        std::span<const host_address> others, instant now);

/// Whether a part of the prompt is held; never starts a trial.
bool isHeld(const crash_quarantine &quarantine, const prompt_outline &prompt);

/// What to repeat to other hosts: the parts that are held, and those under which this host has seen
/// a crash a short time ago.
std::vector<told_suspect> suspectsToTell(const crash_quarantine &quarantine, instant now);

/// Takes what the other hosts should hear at once.
std::vector<told_suspect> takeNews(crash_quarantine &quarantine, instant now);

/// Merges what another host told. Where the other host holds a part back and this host knows what
/// speaks for it, that is news.
void applySuspect(crash_quarantine &quarantine, const told_suspect &told, instant now);

/// Number of parts that are held.
std::size_t heldCount(const crash_quarantine &quarantine);

/// Parts that have become held or are so no longer since the last call.
std::vector<std::uint64_t> updateHeldTraits(crash_quarantine &quarantine, instant now);

} // namespace quincefall
