#include "serve/answer_metrics.h"

#include "observe/metrics.h"

namespace quincefall {
namespace {

constexpr double microsecondsPerSecond = 1e6;

void countTarget(metrics &meters, const answer_facts &facts, const char *target, bool isMet)
{
    meters.add(metric::targetResults,
               {{"class", facts.serviceClass}, {"target", target}, {"met", isMet ? "yes" : "no"}});
}

void countComplete(metrics &meters, const answer_facts &facts)
{
    const bool isFirstMet = meetsFirstToken(facts);
    const bool isGapMet = meetsTokenGap(facts);
    countTarget(meters, facts, "first_token", isFirstMet);
    countTarget(meters, facts, "token_gap", isGapMet);
    meters.add(metric::tokens, {{"class", facts.serviceClass}}, facts.tokens);
    if (isFirstMet && isGapMet)
        meters.add(metric::goodTokens, {{"class", facts.serviceClass}}, facts.tokens);
}

} // namespace

const char *toString(answer_facts::outcome result)
{
    switch (result) {
    case answer_facts::outcome::complete:
        return "complete";
    case answer_facts::outcome::failed:
        return "failed";
    case answer_facts::outcome::refused:
        return "refused";
    case answer_facts::outcome::abandoned:
        return "abandoned";
    }
    return "failed";
}

microseconds tokenGap(const answer_facts &facts)
{
    if (!facts.firstToken || facts.tokens < 2)
        return microseconds(0);
    return (facts.total - *facts.firstToken) / (facts.tokens - 1);
}

bool meetsFirstToken(const answer_facts &facts)
{
    return facts.firstToken && *facts.firstToken <= facts.policy.firstTokenTarget;
}

bool meetsTokenGap(const answer_facts &facts)
{
    return tokenGap(facts) <= facts.policy.tokenGapTarget;
}

void countAnswer(metrics &meters, const answer_facts &facts)
{
    meters.add(metric::answers,
               {{"class", facts.serviceClass}, {"outcome", toString(facts.result)}});
    if (facts.firstToken)
        meters.observe(metric::firstToken, {{"class", facts.serviceClass}},
                       double(facts.firstToken->count()) / microsecondsPerSecond);
    if (facts.result == answer_facts::outcome::complete)
        countComplete(meters, facts);
    else if (facts.tokens > 0)
        meters.add(metric::wastedTokens, {{"cause", toString(facts.result)}}, facts.tokens);
    if (facts.droppedTokens > 0)
        meters.add(metric::wastedTokens, {{"cause", "dropped"}}, double(facts.droppedTokens));
}

} // namespace quincefall
