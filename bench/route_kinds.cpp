#include "route_model.h"

namespace quincefall::model {
namespace {

request_kind makeKind(const char *name, int priority, int targetMs, int gapMs, int timeoutMs)
{
    request_kind kind;
    kind.name = name;
    kind.route.name = name;
    kind.route.isStream = true;
    kind.route.priority = priority;
    kind.route.targetLatency = milliseconds(targetMs);
    kind.route.gapTarget = milliseconds(gapMs);
    kind.route.timeout = milliseconds(timeoutMs);
    return kind;
}

} // namespace

std::vector<request_kind> typicalKinds(double perSecond)
{
    request_kind plan = makeKind("plan", 2, 2'000, 1'200, 10'000);
    plan.perSecond = perSecond * 0.36;
    plan.sharedTokens = 13'300;
    plan.ownTokens = 3'720;
    plan.answerTokens = 120;
    plan.subjects = 140;
    request_kind digest = makeKind("digest", 1, 800, 500, 5'000);
    digest.perSecond = perSecond * 0.25;
    digest.sharedTokens = 6'300;
    digest.ownTokens = 2'890;
    digest.answerTokens = 52;
    digest.subjects = 100;
    request_kind query = makeKind("query", 0, 500, 300, 12'000);
    query.perSecond = perSecond * 0.39;
    query.sharedTokens = 350;
    query.ownTokens = 1'110;
    query.answerTokens = 172;
    query.subjects = 70;
    return {plan, digest, query};
}

} // namespace quincefall::model
