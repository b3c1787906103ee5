#include "policy/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace quincefall {
namespace {

// Crashes closer together may have one cause, such as the loss of a failure domain, which ends many
// prompts with the same parts.
constexpr milliseconds sameMoment{250};
// Unless the request was sent after the earlier crash. Less than this apart, the second crash may
// only have been noticed later.
constexpr milliseconds minCrashGap{50};
// Of a request whose sender does not tell it.
constexpr seconds assumedWait{60};
// Evidence of one moment: a prompt that waits at the upstream is less likely to have crashed it
// than one whose answer has just begun.
constexpr double answeringWeight = 1;
constexpr double waitingWeight = 0.5;
constexpr double heldFrom = 2;
// Three crashes while the request waited. Requests that come again unchanged are rare, so the same
// one is unlikely to be at that many crashes by chance.
constexpr double requestHeldFrom = 1.5;
// A part that was answered before most likely crashes nothing.
constexpr double answeredHeldFrom = 4;
constexpr double answeredRequestHeldFrom = 3;
// Bytes of a crashed upstream may still arrive, and times of other hosts are off by their way here.
constexpr milliseconds survivalTime{1'000};
// Each trial costs an upstream if the trait still crashes it.
constexpr seconds minHoldTime{60};
constexpr seconds maxHoldTime{3'600};
constexpr int maxDoublings = 6;
// Of a whole request that is tried again: three to recognise it, and two trials.
constexpr std::size_t maxCrashesForTrial = 4;
constexpr seconds suspicionLifetime{600};
constexpr seconds heldLifetime{6 * 3'600};
constexpr seconds tellTime{6}; // Two hints of a large fleet.
constexpr std::size_t maxCrashes = 8; // For each trait.
constexpr std::size_t maxSuspects = 1'024; // About 300 kB.
constexpr seconds survivalWindow{60}; // After a crash, for requests that were sent before.
constexpr std::size_t maxToldSuspects = 8; // About 1 kB.
constexpr std::size_t maxLosses = 256; // About 100 kB.
constexpr std::size_t maxAnsweredParts = 16'384; // About 600 kB.
constexpr std::size_t maxAnsweredRequests = 8'192; // In each generation; about 300 kB.
constexpr seconds answeredLifetime{600};
constexpr milliseconds newerAnswer{1'000}; // Worth telling.
// A trait that was answered a short time ago crashes nothing. Most prompts share such parts, so the
// crash of an upstream would otherwise make all hosts exchange messages about them.
constexpr seconds soundTime{10};

/// When a request with the trait was last answered on this host.
std::optional<instant> answeredHere(const crash_quarantine &quarantine, std::uint64_t trait,
                                    bool isWholeRequest)
{
    const auto find = [trait](const auto &answers) {
        const auto row = answers.find(trait);
        return row == answers.end() ? std::nullopt : std::optional<instant>(row->second);
    };
    if (!isWholeRequest)
        return find(quarantine.answeredParts);
    const auto newer = find(quarantine.answeredRequests.newer);
    return newer ? newer : find(quarantine.answeredRequests.older);
}

void recordAnsweredRequest(answered_requests &answered, std::uint64_t digest, instant now)
{
    if (answered.newer.size() >= maxAnsweredRequests) {
        answered.older = std::move(answered.newer);
        answered.newer.clear();
    }
    answered.newer[digest] = now;
}

void recordAnsweredPart(std::unordered_map<std::uint64_t, instant> &answered, std::uint64_t part,
                        instant now)
{
    answered[part] = now;
    if (answered.size() <= maxAnsweredParts)
        return;
    std::erase_if(answered, [now](const auto &row) { return now - row.second > answeredLifetime; });
    if (answered.size() > maxAnsweredParts)
        answered.clear();
}

bool counts(const suspected_trait &suspect, const crash_evidence &evidence)
{
    return !evidence.isRefuted && evidence.at > suspect.answeredAt;
}

double weightOf(const crash_evidence &evidence)
{
    return evidence.wasAnswering ? answeringWeight : waitingWeight;
}

/// Whether a crash may have the same cause as one noticed at @p moment, such as the loss of a
/// failure domain.
bool isOfMoment(const crash_evidence &evidence, instant moment)
{
    const bool wasSentLater
        = evidence.at - evidence.waited >= moment && evidence.at - moment >= minCrashGap;
    return !wasSentLater && evidence.at - moment < sameMoment;
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
        if (moment == instant::min() || !isOfMoment(evidence, moment)) {
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
    if (suspect.isWholeRequest)
        return suspect.answeredAt == instant::min() ? requestHeldFrom : answeredRequestHeldFrom;
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
bool isTrialHost(std::uint64_t trait, std::int64_t round, const host_address &own,
                 std::span<const host_address> others)
{
    const auto score = [trait, round](const host_address &host) {
        const std::string name = toString(host);
        return XXH64(name.data(), name.size(), trait + std::uint64_t(round));
    };
    const auto ownScore = score(own);
    return std::none_of(others.begin(), others.end(), [&](const host_address &host) {
        return host != own && score(host) > ownScore;
    });
}

told_suspect toTell(std::uint64_t trait, const suspected_trait &suspect, instant now)
{
    const auto ageOf = [now](instant at) { return std::chrono::floor<milliseconds>(now - at); };
    told_suspect told;
    told.trait = trait;
    told.isWholeRequest = suspect.isWholeRequest;
    told.depth = suspect.depth;
    told.isHeld = suspect.isHeld;
    if (suspect.answeredAt != instant::min())
        told.answeredAge = ageOf(suspect.answeredAt);
    for (const crash_evidence &evidence : suspect.crashes)
        told.crashes.push_back({evidence.crash, ageOf(evidence.at), evidence.waited,
                                evidence.wasAnswering, evidence.isRefuted});
    return told;
}

void dropLeastSuspect(crash_quarantine &quarantine)
{
    const auto importance = [](const suspected_trait &suspect) {
        return std::tuple(suspect.isHeld, suspect.crashes.size() > 1, suspect.changedAt);
    };
    const auto least
        = std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(),
                           [&importance](const auto &left, const auto &right) {
                               return importance(left.second) < importance(right.second);
                           });
    quarantine.suspects.erase(least);
}

suspected_trait &suspectFor(crash_quarantine &quarantine, std::uint64_t trait, bool isWholeRequest,
                            instant now)
{
    const auto found = quarantine.suspects.find(trait);
    if (found != quarantine.suspects.end())
        return found->second;
    if (quarantine.suspects.size() >= maxSuspects)
        dropLeastSuspect(quarantine);
    suspected_trait &suspect = quarantine.suspects[trait];
    suspect.isWholeRequest = isWholeRequest;
    suspect.changedAt = now;
    suspect.answeredAt = answeredHere(quarantine, trait, isWholeRequest).value_or(instant::min());
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
        known->waited = std::min(known->waited, added.waited);
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

/// Whether the same crashes speak against both.
bool haveSameCrashes(const suspected_trait &left, const suspected_trait &right)
{
    return std::equal(left.crashes.begin(), left.crashes.end(), right.crashes.begin(),
                      right.crashes.end(), [](const auto &one, const auto &other) {
                          return one.crash == other.crash && one.isRefuted == other.isRefuted;
                      });
}

/// A crash has one cause, so the trait with most evidence is held and the crashes of its requests
/// speak against no other trait. Of traits with the same evidence it is the one that holds back the
/// fewest requests: a whole request, or the part that comes last in prompts. Whole requests that
/// were at the same crashes are all held until a further crash tells them apart.
std::set<std::uint64_t> traitsToHold(const crash_quarantine &quarantine)
{
    struct candidate
    {
        double evidence = 0;
        bool isWholeRequest = false;
        unsigned depth = 0;
        std::uint64_t trait = 0;

        auto operator<=>(const candidate &) const = default;
    };

    std::vector<candidate> candidates;
    for (const auto &[trait, suspect] : quarantine.suspects) {
        const double evidence = evidenceAgainst(suspect);
        if (evidence >= thresholdOf(suspect))
            candidates.push_back({evidence, suspect.isWholeRequest, suspect.depth, trait});
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::set<std::uint64_t> held;
    std::set<std::uint64_t> explained;
    for (const candidate &row : candidates) {
        const suspected_trait &suspect = quarantine.suspects.at(row.trait);
        const bool isLikeHeld
            = row.isWholeRequest && std::any_of(held.begin(), held.end(), [&](std::uint64_t trait) {
                  const suspected_trait &other = quarantine.suspects.at(trait);
                  return other.isWholeRequest && haveSameCrashes(other, suspect);
              });
        if (!isLikeHeld && evidenceAgainst(suspect, explained) < thresholdOf(suspect))
            continue;
        held.insert(row.trait);
        for (const crash_evidence &evidence : suspect.crashes)
            explained.insert(evidence.crash);
    }
    return held;
}

std::vector<told_suspect> tellAll(const crash_quarantine &quarantine,
                                  const std::set<std::uint64_t> &traits, instant now)
{
    std::vector<told_suspect> told;
    for (const std::uint64_t trait : traits) {
        const auto suspect = quarantine.suspects.find(trait);
        if (suspect != quarantine.suspects.end())
            told.push_back(toTell(trait, suspect->second, now));
    }
    return told;
}

void dropExpired(crash_quarantine &quarantine, instant now)
{
    std::erase_if(quarantine.recentCrashes,
                  [now](const auto &row) { return now - row.second > survivalWindow; });
    std::erase_if(quarantine.losses,
                  [now](const unexplained_loss &loss) { return now - loss.at > survivalWindow; });
    std::erase_if(quarantine.suspects, [&quarantine, now](const auto &row) {
        const bool isKeptLong = row.second.isHeld || row.second.isWholeRequest;
        const auto lifetime = isKeptLong ? heldLifetime : suspicionLifetime;
        const instant newest
            = row.second.crashes.empty() ? row.second.changedAt : row.second.crashes.back().at;
        const bool isExpired = now - newest > lifetime;
        if (isExpired && row.second.isHeld)
            quarantine.holdChanges.insert(row.first);
        return isExpired;
    });
}

/// Adds a crash that was noticed at @p at.
void addCrash(crash_quarantine &quarantine, const upstream_crash &crash,
              std::span<const request_trait> traits, instant at, instant now)
{
    quarantine.recentCrashes.emplace(crash.crash, at);
    const auto waited = std::chrono::ceil<milliseconds>(at - std::min(crash.sent, at));
    for (const request_trait &trait : traits) {
        const auto answered = answeredHere(quarantine, trait.id, trait.isWholeRequest);
        if (answered && at - *answered < soundTime)
            continue;
        suspected_trait &suspect = suspectFor(quarantine, trait.id, trait.isWholeRequest, now);
        suspect.isFirstHand = true;
        suspect.depth = std::max(suspect.depth, trait.depth);
        addEvidence(suspect, {crash.crash, at, waited, crash.wasAnswering, false}, now);
        const bool isForKeepers = trait.isWholeRequest && crashCount(suspect) < 2;
        (isForKeepers ? quarantine.keeperNews : quarantine.news).insert(trait.id);
    }
}

} // namespace

std::uint64_t crashId(const upstream_entry &entry)
{
    return XXH64(entry.id.data(), entry.id.size(), std::uint64_t(entry.started));
}

std::vector<request_trait> sharedPartTraits(const prompt_outline &prompt)
{
    std::vector<request_trait> traits;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index)
        traits.push_back({prompt.parts[index].id, unsigned(index), false});
    return traits;
}

void recordAnswered(crash_quarantine &quarantine, std::span<const request_trait> traits,
                    instant now)
{
    for (const request_trait &trait : traits) {
        if (trait.isWholeRequest)
            recordAnsweredRequest(quarantine.answeredRequests, trait.id, now);
        else
            recordAnsweredPart(quarantine.answeredParts, trait.id, now);
        const auto suspect = quarantine.suspects.find(trait.id);
        if (suspect == quarantine.suspects.end())
            continue;
        if (suspect->second.isHeld) {
            quarantine.news.insert(trait.id);
        } else if (trait.isWholeRequest) {
            quarantine.suspects.erase(suspect);
            continue;
        }
        suspect->second.answeredAt = now;
        suspect->second.changedAt = now;
    }
}

void recordCrash(crash_quarantine &quarantine, const upstream_crash &crash,
                 std::span<const request_trait> traits, instant now)
{
    dropExpired(quarantine, now);
    addCrash(quarantine, crash, traits, now, now);
}

bool isLaterStart(const upstream_entry &listed, const upstream_entry &earlier)
{
    const bool isSamePlace = listed.id == earlier.id || listed.address == earlier.address;
    return isSamePlace && earlier.started != 0 && listed.started > earlier.started;
}

void recordLoss(crash_quarantine &quarantine, unexplained_loss loss)
{
    dropExpired(quarantine, loss.at);
    if (quarantine.losses.size() >= maxLosses)
        quarantine.losses.erase(quarantine.losses.begin());
    quarantine.losses.push_back(std::move(loss));
}

std::size_t recordListing(crash_quarantine &quarantine, const upstream_entry &listed, instant now)
{
    auto &losses = quarantine.losses;
    const auto first
        = std::stable_partition(losses.begin(), losses.end(), [&listed, now](const auto &loss) {
              return now - loss.at > survivalWindow || !isLaterStart(listed, loss.entry);
          });
    const std::vector<unexplained_loss> crashes(std::make_move_iterator(first),
                                                std::make_move_iterator(losses.end()));
    losses.erase(first, losses.end());
    for (const unexplained_loss &loss : crashes)
        addCrash(quarantine, loss.crash, loss.traits, loss.at, now);
    return crashes.size();
}

void recordSurvival(crash_quarantine &quarantine, std::uint64_t crash, instant sent, instant now)
{
    std::erase_if(quarantine.losses, [crash, sent, now](const unexplained_loss &loss) {
        return loss.crash.crash == crash && sent < loss.at && now - loss.at >= survivalTime;
    });
    const auto recent = quarantine.recentCrashes.find(crash);
    if (recent == quarantine.recentCrashes.end() || sent >= recent->second
        || now - recent->second < survivalTime)
        return;
    quarantine.recentCrashes.erase(recent);
    for (auto &[trait, suspect] : quarantine.suspects) {
        for (crash_evidence &evidence : suspect.crashes) {
            if (evidence.crash != crash || evidence.isRefuted)
                continue;
            evidence.isRefuted = true;
            suspect.changedAt = now;
            quarantine.news.insert(trait);
        }
    }
}

bool hasUnansweredPart(const crash_quarantine &quarantine, std::span<const request_trait> traits)
{
    return std::any_of(traits.begin(), traits.end(), [&quarantine](const request_trait &trait) {
        return !trait.isWholeRequest && !quarantine.answeredParts.contains(trait.id);
    });
}

std::size_t crashesOfRequest(const crash_quarantine &quarantine,
                             std::span<const request_trait> traits)
{
    for (const request_trait &trait : traits) {
        const auto suspect = quarantine.suspects.find(trait.id);
        if (trait.isWholeRequest && suspect != quarantine.suspects.end())
            return crashCount(suspect->second);
    }
    return 0;
}

std::optional<held_trait> findHeldTrait(crash_quarantine &quarantine,
                                        std::span<const request_trait> traits,
                                        const host_address &own,
                                        std::span<const host_address> others, instant now)
{
    for (const request_trait &trait : traits) {
        const auto found = quarantine.suspects.find(trait.id);
        if (found == quarantine.suspects.end() || !found->second.isHeld)
            continue;
        suspected_trait &suspect = found->second;
        const std::size_t crashes = crashCount(suspect);
        if (crashes == 0)
            continue;
        const std::int64_t round = currentRound(suspect, now);
        const bool hasTrials = !suspect.isWholeRequest || crashes <= maxCrashesForTrial;
        if (hasTrials && round > 0 && suspect.trialRound != round
            && isTrialHost(trait.id, round, own, others)) {
            suspect.trialRound = round;
            continue;
        }
        const instant nextRound = lastCrashAt(suspect) + holdTime(suspect) * (round + 1);
        return held_trait{trait.id, trait.isWholeRequest, crashes,
                          std::chrono::duration_cast<microseconds>(nextRound - now)};
    }
    return std::nullopt;
}

bool isHeld(const crash_quarantine &quarantine, std::span<const request_trait> traits)
{
    return std::any_of(traits.begin(), traits.end(), [&quarantine](const request_trait &trait) {
        const auto suspect = quarantine.suspects.find(trait.id);
        return suspect != quarantine.suspects.end() && suspect->second.isHeld;
    });
}

std::vector<told_suspect> suspectsToTell(const crash_quarantine &quarantine, instant now)
{
    using row_type = std::pair<const std::uint64_t, suspected_trait>;
    std::vector<const row_type *> rows;
    for (const row_type &row : quarantine.suspects) {
        const bool isRecent = !row.second.isWholeRequest && row.second.isFirstHand
            && now - row.second.changedAt < tellTime;
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
    return tellAll(quarantine, std::exchange(quarantine.news, {}), now);
}

std::vector<told_suspect> takeKeeperNews(crash_quarantine &quarantine, instant now)
{
    return tellAll(quarantine, std::exchange(quarantine.keeperNews, {}), now);
}

std::optional<told_suspect> findHeld(const crash_quarantine &quarantine, std::uint64_t trait,
                                     instant now)
{
    const auto suspect = quarantine.suspects.find(trait);
    if (suspect == quarantine.suspects.end() || !suspect->second.isHeld)
        return std::nullopt;
    return toTell(trait, suspect->second, now);
}

bool applySuspect(crash_quarantine &quarantine, const told_suspect &told, instant now)
{
    suspected_trait &suspect = suspectFor(quarantine, told.trait, told.isWholeRequest, now);
    const instant toldAnsweredAt = told.answeredAge ? now - *told.answeredAge : instant::min();
    const bool isAnsweredLater = suspect.answeredAt != instant::min()
        && (!told.answeredAge || suspect.answeredAt - toldAnsweredAt > newerAnswer);
    if (toldAnsweredAt > suspect.answeredAt)
        suspect.answeredAt = toldAnsweredAt;
    suspect.depth = std::max(suspect.depth, told.depth);
    bool isRefutedHere = false;
    bool isNewCrash = false;
    for (const told_crash &crash : told.crashes) {
        const auto findOwn = [&suspect, &crash] {
            return std::find_if(
                suspect.crashes.begin(), suspect.crashes.end(),
                [&crash](const crash_evidence &evidence) { return evidence.crash == crash.crash; });
        };
        if (findOwn() == suspect.crashes.end() && !crash.isRefuted) {
            isNewCrash = true;
            quarantine.recentCrashes.emplace(crash.crash, now - crash.age);
        }
        addEvidence(suspect,
                    {crash.crash, now - crash.age, crash.waited.value_or(assumedWait),
                     crash.wasAnswering, crash.isRefuted},
                    now);
        const auto own = findOwn();
        isRefutedHere
            = isRefutedHere || (own != suspect.crashes.end() && own->isRefuted && !crash.isRefuted);
    }
    if (told.isHeld && (isAnsweredLater || isRefutedHere))
        quarantine.news.insert(told.trait);
    return isNewCrash && suspect.isWholeRequest && suspect.crashes.size() > told.crashes.size();
}

std::size_t heldCount(const crash_quarantine &quarantine, bool wholeRequests)
{
    return std::size_t(std::count_if(
        quarantine.suspects.begin(), quarantine.suspects.end(), [wholeRequests](const auto &row) {
            return row.second.isHeld && row.second.isWholeRequest == wholeRequests;
        }));
}

std::vector<std::uint64_t> updateHeldTraits(crash_quarantine &quarantine, instant now)
{
    dropExpired(quarantine, now);
    const std::set<std::uint64_t> held = traitsToHold(quarantine);
    std::vector<std::uint64_t> changed;
    for (auto &[trait, suspect] : quarantine.suspects) {
        if (held.contains(trait) != suspect.isHeld) {
            changed.push_back(trait);
            quarantine.holdChanges.insert(trait);
        }
        suspect.isHeld = held.contains(trait);
    }
    return changed;
}

} // namespace quincefall
