#include "policy/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace quincefall {
namespace {

// Crashes closer together may have one cause, such as the loss of a failure domain, which ends many
// prompts with the same parts.
constexpr milliseconds sameMoment{250};
// Evidence of one moment: a prompt that waits at the upstream is less likely to have crashed it
// than one whose answer has just begun.
constexpr double answeringWeight = 1;
constexpr double waitingWeight = 0.5;
constexpr double heldFrom = 2;
// A part that was answered before most likely crashes nothing.
constexpr double answeredHeldFrom = 4;
// Bytes of a crashed upstream may still arrive, and times of other hosts are off by their way here.
constexpr milliseconds survivalTime{1'000};
// Each trial costs an upstream if the part still crashes it.
constexpr seconds minHoldTime{60};
constexpr seconds maxHoldTime{3'600};
constexpr int maxDoublings = 6;
constexpr seconds suspicionLifetime{600};
constexpr seconds heldLifetime{6 * 3'600};
constexpr seconds tellTime{6}; // Two hints of a large fleet.
constexpr std::size_t maxCrashes = 8; // For each part.
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxToldSuspects = 8; // About 1 kB.
constexpr std::size_t maxAnsweredParts = 16'384; // About 600 kB.
constexpr seconds answeredLifetime{600};
constexpr milliseconds newerAnswer{1'000}; // Worth telling.
// A part that was answered a short time ago crashes nothing. Most prompts share such parts, so the
// crash of an upstream would otherwise make all hosts exchange messages about them.
constexpr seconds soundTime{10};

std::span<const prompt_part> sharedParts(const prompt_outline &prompt)
{
    const std::span<const prompt_part> parts(prompt.parts);
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

bool counts(const suspected_trait &suspect, const crash_evidence &evidence)
{
    return !evidence.isRefuted && evidence.at > suspect.answeredAt;
}

double weightOf(const crash_evidence &evidence)
{
    return evidence.wasAnswering ? answeringWeight : waitingWeight;
}

/// Weight of the evidence; only the strongest of each moment counts, and none of the crashes that
/// are @p explained.
double evidenceAgainst(const suspected_trait &suspect,
                       const std::set<std::uint64_t> &explained = {})
{
    double sum = 0;
    double ofMoment = 0;
    instant moment = instant::min();
    for (const crash_evidence &evidence : suspect.crashes) {
        if (!counts(suspect, evidence) || explained.contains(evidence.crash))
            continue;
        if (moment == instant::min() || evidence.at - moment >= sameMoment) {
            sum += ofMoment;
            ofMoment = 0;
            moment = evidence.at;
        }
        ofMoment = std::max(ofMoment, weightOf(evidence));
    }
    return sum + ofMoment;
}

double thresholdOf(const suspected_trait &suspect)
{
    return suspect.answeredAt == instant::min() ? heldFrom : answeredHeldFrom;
}

instant lastCrashAt(const suspected_trait &suspect)
{
    instant last = instant::min();
    for (const crash_evidence &evidence : suspect.crashes) {
        if (counts(suspect, evidence))
            last = std::max(last, evidence.at);
    }
    return last;
}

std::size_t crashCount(const suspected_trait &suspect)
{
    return std::size_t(std::count_if(
        suspect.crashes.begin(), suspect.crashes.end(),
        [&suspect](const crash_evidence &evidence) { return counts(suspect, evidence); }));
}

seconds holdTime(const suspected_trait &suspect)
{
    const int doublings = int(evidenceAgainst(suspect) - thresholdOf(suspect));
    return std::min(minHoldTime * (1 << std::clamp(doublings, 0, maxDoublings)), maxHoldTime);
}

std::int64_t currentRound(const suspected_trait &suspect, instant now)
{
    return (now - lastCrashAt(suspect)) / holdTime(suspect);
}

/// The same on all hosts that know the same hosts.
bool isTrialHost(std::uint64_t part, std::int64_t round, const host_address &own,
                 std::span<const host_address> others)
{
    const auto score = [part, round](const host_address &host) {
        const std::string name = toString(host);
        return XXH64(name.data(), name.size(), part + std::uint64_t(round));
    };
    const auto ownScore = score(own);
    return std::none_of(others.begin(), others.end(), [&](const host_address &host) {
        return host != own && score(host) > ownScore;
    });
}

told_suspect toTell(std::uint64_t part, const suspected_trait &suspect, instant now)
{
    const auto ageOf = [now](instant at) { return std::chrono::floor<milliseconds>(now - at); };
    told_suspect told;
    told.part = part;
    told.depth = suspect.depth;
    told.isHeld = suspect.isHeld;
    if (suspect.answeredAt != instant::min())
        told.answeredAge = ageOf(suspect.answeredAt);
    for (const crash_evidence &evidence : suspect.crashes)
        told.crashes.push_back(
            {evidence.crash, ageOf(evidence.at), evidence.wasAnswering, evidence.isRefuted});
    return told;
}

void dropOldestSuspect(crash_quarantine &quarantine)
{
    const auto oldest
        = std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(),
                           [](const auto &left, const auto &right) {
                               return std::pair(left.second.isHeld, left.second.changedAt)
                                   < std::pair(right.second.isHeld, right.second.changedAt);
                           });
    quarantine.suspects.erase(oldest);
}

suspected_trait &suspectFor(crash_quarantine &quarantine, std::uint64_t part, instant now)
{
    const auto found = quarantine.suspects.find(part);
    if (found != quarantine.suspects.end())
        return found->second;
    if (quarantine.suspects.size() >= maxSuspects)
        dropOldestSuspect(quarantine);
    suspected_trait &suspect = quarantine.suspects[part];
    suspect.changedAt = now;
    const auto answered = quarantine.answeredParts.find(part);
    if (answered != quarantine.answeredParts.end())
        suspect.answeredAt = answered->second;
    return suspect;
}

/// Adds evidence, or what is new in it. A time passed on by several hosts gets later with each, so
/// the earliest holds.
void addEvidence(suspected_trait &suspect, const crash_evidence &added, instant now)
{
    auto &crashes = suspect.crashes;
    const auto known
        = std::find_if(crashes.begin(), crashes.end(), [&added](const crash_evidence &evidence) {
              return evidence.crash == added.crash;
          });
    if (known != crashes.end()) {
        const bool isNew = (added.wasAnswering && !known->wasAnswering)
            || (added.isRefuted && !known->isRefuted);
        known->at = std::min(known->at, added.at);
        known->wasAnswering = known->wasAnswering || added.wasAnswering;
        known->isRefuted = known->isRefuted || added.isRefuted;
        if (isNew)
            suspect.changedAt = now;
    } else {
        const bool isRepeated
            = std::any_of(crashes.begin(), crashes.end(), [&added](const crash_evidence &evidence) {
                  return std::chrono::abs(evidence.at - added.at) < sameMoment
                      && evidence.wasAnswering >= added.wasAnswering && !evidence.isRefuted;
              });
        if (crashes.size() >= maxCrashes) {
            if (isRepeated)
                return;
            crashes.erase(crashes.begin());
        }
        crashes.push_back(added);
        suspect.changedAt = now;
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const auto &left, const auto &right) { return left.at < right.at; });
}

/// A crash has one cause, so the part with most evidence is held and the crashes of its prompts
/// speak against no other part. Of parts with the same evidence it is the one that comes last in
/// prompts, which holds back the fewest.
std::set<std::uint64_t> partsToHold(const crash_quarantine &quarantine)
{
    struct candidate
    {
        double evidence = 0;
        unsigned depth = 0;
        std::uint64_t part = 0;

        auto operator<=>(const candidate &) const = default;
    };

    std::vector<candidate> candidates;
    for (const auto &[part, suspect] : quarantine.suspects) {
        const double evidence = evidenceAgainst(suspect);
        if (evidence >= thresholdOf(suspect))
            candidates.push_back({evidence, suspect.depth, part});
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::set<std::uint64_t> held;
    std::set<std::uint64_t> explained;
    for (const candidate &row : candidates) {
        const suspected_trait &suspect = quarantine.suspects.at(row.part);
        if (evidenceAgainst(suspect, explained) < thresholdOf(suspect))
            continue;
        held.insert(row.part);
        for (const crash_evidence &evidence : suspect.crashes)
            explained.insert(evidence.crash);
    }
    return held;
}

void dropExpired(crash_quarantine &quarantine, instant now)
{
    std::erase_if(quarantine.suspects, [now](const auto &row) {
        const auto lifetime = row.second.isHeld ? heldLifetime : suspicionLifetime;
        const instant newest
            = row.second.crashes.empty() ? row.second.changedAt : row.second.crashes.back().at;
        return now - newest > lifetime;
    });
}

} // namespace

std::uint64_t crashId(const upstream_entry &entry)
{
    return XXH64(entry.id.data(), entry.id.size(), std::uint64_t(entry.started));
}

void recordAnswered(crash_quarantine &quarantine, const prompt_outline &prompt, instant now)
{
    for (const prompt_part &part : sharedParts(prompt)) {
        quarantine.answeredParts[part.id] = now;
        const auto suspect = quarantine.suspects.find(part.id);
        if (suspect == quarantine.suspects.end())
            continue;
        if (suspect->second.isHeld)
            quarantine.news.insert(part.id);
        suspect->second.answeredAt = now;
        suspect->second.changedAt = now;
    }
    if (quarantine.answeredParts.size() > maxAnsweredParts) {
        std::erase_if(quarantine.answeredParts,
                      [now](const auto &row) { return now - row.second > answeredLifetime; });
        if (quarantine.answeredParts.size() > maxAnsweredParts)
            quarantine.answeredParts.clear();
    }
}

void recordCrash(crash_quarantine &quarantine, std::uint64_t crash, const prompt_outline &prompt,
                 bool wasAnswering, instant now)
{
    dropExpired(quarantine, now);
    unsigned depth = 0;
    for (const prompt_part &part : sharedParts(prompt)) {
        ++depth;
        const auto answered = quarantine.answeredParts.find(part.id);
        if (answered != quarantine.answeredParts.end() && now - answered->second < soundTime)
            continue;
        quarantine.news.insert(part.id);
        suspected_trait &suspect = suspectFor(quarantine, part.id, now);
        suspect.isFirstHand = true;
        suspect.depth = std::max(suspect.depth, depth - 1);
        addEvidence(suspect, {crash, now, wasAnswering, false}, now);
    }
}

void recordSurvival(crash_quarantine &quarantine, std::uint64_t crash, instant sent, instant now)
{
    for (auto &[part, suspect] : quarantine.suspects) {
        for (crash_evidence &evidence : suspect.crashes) {
            if (evidence.crash != crash || evidence.isRefuted || sent >= evidence.at
                || now - evidence.at < survivalTime)
                continue;
            evidence.isRefuted = true;
            suspect.changedAt = now;
            quarantine.news.insert(part);
        }
    }
}

bool hasUnansweredPart(const crash_quarantine &quarantine, const prompt_outline &prompt)
{
    const auto parts = sharedParts(prompt);
    return std::any_of(parts.begin(), parts.end(), [&quarantine](const prompt_part &part) {
        return !quarantine.answeredParts.contains(part.id);
    });
}

std::optional<held_trait> findHeldTrait(crash_quarantine &quarantine, const prompt_outline &prompt,
                                        const host_address &own,
                                        std::span<const host_address> others, instant now)
{
    for (const prompt_part &part : sharedParts(prompt)) {
        const auto found = quarantine.suspects.find(part.id);
        if (found == quarantine.suspects.end() || !found->second.isHeld)
            continue;
        suspected_trait &suspect = found->second;
        if (crashCount(suspect) == 0)
            continue;
        const std::int64_t round = currentRound(suspect, now);
        if (round > 0 && suspect.trialRound != round && isTrialHost(part.id, round, own, others)) {
            suspect.trialRound = round;
            continue;
        }
        const instant nextRound = lastCrashAt(suspect) + holdTime(suspect) * (round + 1);
        return held_trait{part.id, crashCount(suspect),
                          std::chrono::duration_cast<microseconds>(nextRound - now)};
    }
    return std::nullopt;
}

bool isHeld(const crash_quarantine &quarantine, const prompt_outline &prompt)
{
    const auto parts = sharedParts(prompt);
    return std::any_of(parts.begin(), parts.end(), [&quarantine](const prompt_part &part) {
        const auto suspect = quarantine.suspects.find(part.id);
        return suspect != quarantine.suspects.end() && suspect->second.isHeld;
    });
}

std::vector<told_suspect> suspectsToTell(const crash_quarantine &quarantine, instant now)
{
    using row_type = std::pair<const std::uint64_t, suspected_trait>;
    std::vector<const row_type *> rows;
    for (const row_type &row : quarantine.suspects) {
        const bool isRecent = row.second.isFirstHand && now - row.second.changedAt < tellTime;
        if (row.second.isHeld || isRecent)
            rows.push_back(&row);
    }
    std::sort(rows.begin(), rows.end(), [](const row_type *left, const row_type *right) {
        return std::pair(left->second.isHeld, left->second.changedAt)
            > std::pair(right->second.isHeld, right->second.changedAt);
    });
    rows.resize(std::min(rows.size(), maxToldSuspects));
    std::vector<told_suspect> told;
    told.reserve(rows.size());
    for (const row_type *row : rows)
        told.push_back(toTell(row->first, row->second, now));
    return told;
}

std::vector<told_suspect> takeNews(crash_quarantine &quarantine, instant now)
{
    std::vector<told_suspect> told;
    for (const std::uint64_t part : std::exchange(quarantine.news, {})) {
        const auto suspect = quarantine.suspects.find(part);
        if (suspect != quarantine.suspects.end())
            told.push_back(toTell(part, suspect->second, now));
    }
    return told;
}

void applySuspect(crash_quarantine &quarantine, const told_suspect &told, instant now)
{
    suspected_trait &suspect = suspectFor(quarantine, told.part, now);
    const instant toldAnsweredAt = told.answeredAge ? now - *told.answeredAge : instant::min();
    const bool isAnsweredLater = suspect.answeredAt != instant::min()
        && (!told.answeredAge || suspect.answeredAt - toldAnsweredAt > newerAnswer);
    if (toldAnsweredAt > suspect.answeredAt)
        suspect.answeredAt = toldAnsweredAt;
    suspect.depth = std::max(suspect.depth, told.depth);
    bool isRefutedHere = false;
    for (const told_crash &crash : told.crashes) {
        addEvidence(suspect, {crash.crash, now - crash.age, crash.wasAnswering, crash.isRefuted},
                    now);
        const auto own = std::find_if(
            suspect.crashes.begin(), suspect.crashes.end(),
            [&crash](const crash_evidence &evidence) { return evidence.crash == crash.crash; });
        isRefutedHere
            = isRefutedHere || (own != suspect.crashes.end() && own->isRefuted && !crash.isRefuted);
    }
    if (told.isHeld && (isAnsweredLater || isRefutedHere))
        quarantine.news.insert(told.part);
}

std::size_t heldCount(const crash_quarantine &quarantine)
{
    return std::size_t(std::count_if(quarantine.suspects.begin(), quarantine.suspects.end(),
                                     [](const auto &row) { return row.second.isHeld; }));
}

std::vector<std::uint64_t> updateHeldTraits(crash_quarantine &quarantine, instant now)
{
    dropExpired(quarantine, now);
    const std::set<std::uint64_t> held = partsToHold(quarantine);
    std::vector<std::uint64_t> changed;
    for (auto &[part, suspect] : quarantine.suspects) {
        if (held.contains(part) != suspect.isHeld)
            changed.push_back(part);
        suspect.isHeld = held.contains(part);
    }
    return changed;
}

} // namespace quincefall
