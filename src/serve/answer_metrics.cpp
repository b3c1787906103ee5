#include "serve/answer_metrics.h"

#include "observe/metrics.h"

namespace quincefall {
namespace {

constexpr double microsecondsPerSecond = 1e6;

void countTarget(metrics &meters, const answer_summary &facts, const char *target, bool isMet)
{
    meters.add(metric::targetResults,
               {{"class", facts.serviceClass}, {"target", target}, {"met", isMet ? "yes" : "no"}});
}

void countComplete(metrics &meters, const answer_summary &facts)
{
    const bool isFirstMet = meetsFirstTokenTarget(facts);
    const bool isGapMet = meetsTokenGapTarget(facts);
    countTarget(meters, facts, "first_token", isFirstMet);
    countTarget(meters, facts, "token_gap", isGapMet);
    meters.add(metric::tokens, {{"class", facts.serviceClass}}, facts.tokens);
    if (isFirstMet && isGapMet)
        meters.add(metric::goodTokens, {{"class", facts.serviceClass}}, facts.tokens);
}

} // namespace

const char *toString(answer_summary::outcome result)
{
    switch (result) {
    case answer_summary::outcome::complete:
        return "complete";
    case answer_summary::outcome::failed:
        return "failed";
    case answer_summary::outcome::refused:
        return "refused";
    case answer_summary::outcome::abandoned:
        return "abandoned";
    }
    return "failed";
}

microseconds meanTokenGap(const answer_summary &facts)
{
    if (!facts.timeToFirstToken || facts.tokens < 2)
        return microseconds(0);
    return (facts.total - *facts.timeToFirstToken) / (facts.tokens - 1);
}

bool meetsFirstTokenTarget(const answer_summary &facts)
{
    return facts.timeToFirstToken && *facts.timeToFirstToken <= facts.policy.firstTokenTarget;
}

bool meetsTokenGapTarget(const answer_summary &facts)
{
    return meanTokenGap(facts) <= facts.policy.tokenGapTarget;
}

void recordAnswerMetrics(metrics &meters, const answer_summary &facts)
{
    meters.add(metric::answers,
               {{"class", facts.serviceClass}, {"outcome", toString(facts.result)}});
    if (facts.timeToFirstToken)
        meters.observe(metric::firstToken, {{"class", facts.serviceClass}},
                       double(facts.timeToFirstToken->count()) / microsecondsPerSecond);
    if (facts.result == answer_summary::outcome::complete)
        countComplete(meters, facts);
    else if (facts.tokens > 0)
        meters.add(metric::wastedTokens, {{"cause", toString(facts.result)}}, facts.tokens);
    if (facts.droppedTokens > 0)
        meters.add(metric::wastedTokens, {{"cause", "dropped"}}, double(facts.droppedTokens));
}

} // namespace quincefall
