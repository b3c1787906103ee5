#include "route_model.h"

#include "policy/overload.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace quincefall::model {
namespace {

// The engine model prefills a part of the waiting prompts in each step and generates one token for
// each running request.
constexpr double stepBaseMs = 3.8;
constexpr double stepMsPerRequest = 0.03;
constexpr double enginePrefillTokensPerMs = 56.6;
constexpr double maxPrefillTokensPerStep = 4'500;
constexpr double cacheCapacityTokens = 700'000;
constexpr unsigned tokensPerEvent = 4;
constexpr double tickMs = 1;
constexpr double minRemainingMs = 50;

instant at(double ms)
{
    return instant(microseconds(std::int64_t(ms * 1000)));
}

/// One request from its arrival to its end.
struct request_run
{
    const request_kind *kind = nullptr;
    kind_result *result = nullptr;
    prompt_outline prompt;
    int urgency = 0;
    double arrivedMs = 0;
    double deadlineMs = 0;
    unsigned host = 0;
    unsigned tries = 0;
    attempt_work work;
    bool isSensitive = false;
    // State on the engine.
    double unreadTokens = 0;
    double tokensLeft = 0;
    double lastEventMs = 0;
    double maxGapMs = 0;
    double firstEventMs = -1;
    double placedMs = 0;
};

using run_ptr = std::shared_ptr<request_run>;

struct engine
{
    std::string id;
    std::deque<run_ptr> waiting; ///< In order of urgency, then arrival.
    std::vector<run_ptr> running;
    std::map<std::uint64_t, double> lastUsedMs; ///< Last use of each cached part, by its id.
    std::map<std::uint64_t, double> cachedTokens;
    double usedTokens = 0;
    double freeAtMs = 0;
    bool isLost = false;

    void cachePart(const prompt_part &part, double nowMs)
    {
        if (!lastUsedMs.contains(part.id)) {
            cachedTokens[part.id] = part.tokens;
            usedTokens += part.tokens;
        }
        lastUsedMs[part.id] = nowMs;
        while (usedTokens > cacheCapacityTokens) {
            const auto oldest = std::min_element(
                lastUsedMs.begin(), lastUsedMs.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
            usedTokens -= cachedTokens[oldest->first];
            cachedTokens.erase(oldest->first);
            lastUsedMs.erase(oldest);
        }
    }
};

struct host
{
    service_pool pool;
    fleet_load others;
    unsigned nextEngine = 0;
    std::uint64_t sequence = 0;
};

/// A refused request that its caller will send again.
struct scheduled_retry
{
    double atMs = 0;
    run_ptr run;

    bool operator>(const scheduled_retry &other) const { return atMs > other.atMs; }
};

class fleet
{
public:
    explicit fleet(const scenario &wanted)
        : m_scenario(wanted)
        , m_random(wanted.seed)
        , m_hosts(wanted.hosts)
        , m_engines(wanted.engines)
    {
        for (unsigned index = 0; index < wanted.engines; ++index) {
            m_engines[index].id = "engine-" + std::to_string(index);
            for (host &one : m_hosts)
                addUpstream(one, m_engines[index].id);
        }
        m_rule.slots = wanted.slots;
        m_rule.tokensPerEvent = tokensPerEvent;
    }

    scenario_result simulate()
    {
        double nextHints = 0;
        for (double now = 0; now < m_scenario.lengthMs; now += tickMs) {
            arrive(now);
            while (!m_scheduledRetries.empty() && m_scheduledRetries.top().atMs <= now) {
                const run_ptr run = m_scheduledRetries.top().run;
                m_scheduledRetries.pop();
                tryOnce(run, now);
            }
            if (m_scenario.hasLoadHints && now >= nextHints) {
                exchangeHints(now);
                nextHints = now + double(hintInterval(m_scenario.hosts).count());
            }
            if (now >= m_scenario.lengthMs / 4 && !m_hasLost)
                loseEngines();
            for (engine &one : m_engines)
                step(one, now);
        }
        return m_result;
    }

private:
    void addUpstream(host &one, const std::string &id) const
    {
        routed_upstream &upstream = one.pool.upstreams[id];
        upstream.listed.id = id;
        upstream.listed.service = "model";
        upstream.listed.slots = m_scenario.slots;
    }

    double rateOf(const request_kind &kind, double now) const
    {
        double rate = kind.perSecond;
        for (const burst &one : m_scenario.bursts) {
            if (one.kind == kind.name && now >= one.fromMs && now < one.toMs)
                rate *= one.factor;
        }
        return rate;
    }

    void arrive(double now)
    {
        for (const request_kind &kind : m_scenario.kinds) {
            std::poisson_distribution<int> count(rateOf(kind, now) * tickMs / 1000);
            for (int left = count(m_random); left > 0; --left)
                tryOnce(makeRun(kind, now), now);
        }
    }

    run_ptr makeRun(const request_kind &kind, double now)
    {
        auto run = std::make_shared<request_run>();
        run->kind = &kind;
        run->result = &m_result.kinds[kind.name];
        ++run->result->offered;
        const std::uint64_t subject = m_random() % kind.subjects;
        const std::uint64_t shared = nameHash(kind.name + std::to_string(subject));
        run->prompt.parts = {{shared, kind.sharedTokens}, {++m_lastPart, kind.ownTokens}};
        run->prompt.promptTokens = kind.sharedTokens + kind.ownTokens;
        run->urgency = kind.route.priority;
        run->arrivedMs = now;
        run->deadlineMs = now + double(kind.route.timeout.count());
        run->host = unsigned(m_random() % m_hosts.size());
        return run;
    }

    engine *engineOf(const std::string &id)
    {
        const auto found = std::find_if(m_engines.begin(), m_engines.end(),
                                        [&id](const engine &one) { return one.id == id; });
        return found == m_engines.end() ? nullptr : &*found;
    }

    placement chooseBaseline(host &one)
    {
        placement chosen;
        auto row = one.pool.upstreams.begin();
        if (m_scenario.policy == placement_policy::roundRobin) {
            std::advance(row, one.nextEngine++ % one.pool.upstreams.size());
        } else {
            row = std::min_element(one.pool.upstreams.begin(), one.pool.upstreams.end(),
                                   [](const auto &left, const auto &right) {
                                       return ownInFlight(left.second) < ownInFlight(right.second);
                                   });
        }
        chosen.upstream = &row->second;
        return chosen;
    }

    placement choose(host &one, const run_ptr &run, double now)
    {
        if (m_scenario.policy != placement_policy::router)
            return chooseBaseline(one);
        placement_request wanted;
        wanted.prompt = &run->prompt;
        wanted.urgency = run->urgency;
        wanted.isGapSensitive = run->isSensitive;
        return chooseUpstream(one.pool, wanted, {}, one.others, at(now));
    }

    bool isAdmitted(const run_ptr &run, const placement &chosen, double now)
    {
        if (!m_scenario.hasAdmissionControl || m_scenario.policy != placement_policy::router)
            return true;
        overload_input input;
        input.delayMs = chosen.delayMs;
        input.targetMs = double(run->kind->route.targetLatency.count());
        input.remainingMs = run->deadlineMs - now;
        input.isCallerRetry = run->tries > 0;
        const overload_decision decision = decideOverload(input);
        if (decision.isAdmitted)
            return true;
        // Callers retry once.
        if (run->tries++ > 0)
            ++run->result->refused;
        else
            m_scheduledRetries.push({now + double(decision.retryAfter.count()), run});
        return false;
    }

    void tryOnce(const run_ptr &run, double now)
    {
        host &one = m_hosts[run->host];
        placement_request wanted;
        wanted.prompt = &run->prompt;
        run->isSensitive
            = isGapSensitive(run->kind->route, m_rule, one.pool, run->prompt.promptTokens);
        wanted.isGapSensitive = run->isSensitive;
        recordDemand(one.pool, wanted, at(now));
        const placement chosen = choose(one, run, now);
        if (!chosen.upstream || !isAdmitted(run, chosen, now))
            return;
        run->work = {chosen.unreadTokens, chosen.estimatedFirstByteMs, chosen.delayMs, run->urgency,
                     run->isSensitive};
        run->placedMs = now;
        recordStart(one.pool, *chosen.upstream, run->prompt, run->work, at(now));
        enqueue(*engineOf(chosen.upstream->listed.id), run);
    }

    static void enqueue(engine &target, const run_ptr &run)
    {
        const auto place
            = std::find_if(target.waiting.begin(), target.waiting.end(),
                           [&run](const run_ptr &other) { return other->urgency > run->urgency; });
        run->unreadTokens = -1; // Set by startPrefill().
        run->tokensLeft = run->kind->answerTokens;
        target.waiting.insert(place, run);
    }

    void exchangeHints(double now)
    {
        for (unsigned from = 0; from < m_hosts.size(); ++from) {
            load_hint hint = hintOf(m_hosts[from], now);
            hint.host.port = std::uint16_t(from + 1);
            for (unsigned to = 0; to < m_hosts.size(); ++to) {
                if (to != from)
                    applyHint(m_hosts[to].others, hint, at(now));
            }
        }
    }

    static load_hint hintOf(host &one, double now)
    {
        load_hint hint;
        hint.sequence = ++one.sequence;
        for (const auto &[id, upstream] : one.pool.upstreams)
            hint.upstreams.push_back({nameHash(id), upstream.inFlight, upstream.unreadTokens});
        service_demand demand = ownDemand(one.pool, at(now));
        demand.service = nameHash("model");
        hint.demands.push_back(demand);
        return hint;
    }

    void loseEngines()
    {
        m_hasLost = true;
        for (unsigned index = 0; index < m_scenario.enginesLost; ++index) {
            engine &lost = m_engines[index];
            lost.isLost = true;
            for (const run_ptr &run : lost.waiting)
                end(lost, run, false, 0);
            for (const run_ptr &run : lost.running)
                end(lost, run, false, 0);
            for (host &one : m_hosts)
                one.pool.upstreams.erase(lost.id);
        }
    }

    /// Runs one engine step: prefills up to `maxPrefillTokensPerStep` tokens, then generates one
    /// token for each running request.
    void step(engine &one, double now)
    {
        if (one.isLost || now < one.freeAtMs || (one.waiting.empty() && one.running.empty()))
            return;
        double room = maxPrefillTokensPerStep;
        while (room > 0 && !one.waiting.empty() && one.running.size() < m_scenario.slots) {
            const run_ptr run = one.waiting.front();
            if (run->unreadTokens < 0)
                run->unreadTokens = startPrefill(one, *run, now);
            const double part = std::min(room, run->unreadTokens);
            run->unreadTokens -= part;
            room -= part;
            m_result.prefilledTokens += part;
            if (run->unreadTokens > 0)
                break;
            one.waiting.pop_front();
            one.running.push_back(run);
            for (const prompt_part &cached : run->prompt.parts)
                one.cachePart(cached, now);
        }
        const double took = stepBaseMs + stepMsPerRequest * double(one.running.size())
            + (maxPrefillTokensPerStep - room) / enginePrefillTokensPerMs;
        one.freeAtMs = now + took;
        generateTokens(one, one.freeAtMs);
    }

    double startPrefill(engine &one, const request_run &run, double now)
    {
        const prompt_part &shared = run.prompt.parts.front();
        if (one.lastUsedMs.contains(shared.id)) {
            one.lastUsedMs[shared.id] = now;
            return run.kind->ownTokens;
        }
        if (!m_prefilledParts.insert(shared.id).second)
            m_result.repeatedPrefillTokens += shared.tokens;
        return run.prompt.promptTokens;
    }

    void generateTokens(engine &one, double now)
    {
        std::vector<run_ptr> still;
        for (const run_ptr &run : one.running) {
            run->tokensLeft -= 1;
            recordProgress(one, *run, now);
            if (now > run->deadlineMs)
                end(one, run, false, now);
            else if (run->tokensLeft <= 0)
                end(one, run, true, now);
            else
                still.push_back(run);
        }
        one.running = std::move(still);
        std::erase_if(one.waiting, [&](const run_ptr &run) {
            const bool isOver = now + minRemainingMs > run->deadlineMs;
            if (isOver)
                end(one, run, false, now);
            return isOver;
        });
    }

    void recordProgress(engine &one, request_run &run, double now)
    {
        const auto made = std::int64_t(run.kind->answerTokens - run.tokensLeft);
        const bool isFirst = run.firstEventMs < 0;
        if (!isFirst && made % tokensPerEvent != 0)
            return;
        host &entry = m_hosts[run.host];
        const auto row = entry.pool.upstreams.find(one.id);
        if (row != entry.pool.upstreams.end())
            row->second.lastByteAt = at(now);
        if (isFirst) {
            run.firstEventMs = now;
            if (row != entry.pool.upstreams.end())
                recordFirstByte(entry.pool, row->second, run.work,
                                microseconds(std::int64_t((now - run.placedMs) * 1000)), at(now));
        } else {
            run.maxGapMs = std::max(run.maxGapMs, now - run.lastEventMs);
        }
        run.lastEventMs = now;
    }

    void end(engine &one, const run_ptr &run, bool isComplete, double now)
    {
        host &entry = m_hosts[run->host];
        const auto row = entry.pool.upstreams.find(one.id);
        routed_upstream *upstream = row == entry.pool.upstreams.end() ? nullptr : &row->second;
        if (upstream && run->firstEventMs < 0)
            recordFirstByte(entry.pool, *upstream, run->work, std::nullopt, at(now));
        recordEnd(entry.pool, upstream, run->work);
        if (!isComplete) {
            ++run->result->failed;
            return;
        }
        if (!run->isSensitive)
            recordStream(entry.pool, microseconds(std::int64_t((now - run->firstEventMs) * 1000)));
        const route_rule &route = run->kind->route;
        const bool isOnTime
            = run->firstEventMs - run->arrivedMs <= double(route.targetLatency.count())
            && run->maxGapMs <= double(route.gapTarget.count());
        ++(isOnTime ? run->result->onTime : run->result->late);
    }

    const scenario &m_scenario;
    std::mt19937_64 m_random;
    std::vector<host> m_hosts;
    std::vector<engine> m_engines;
    engine_rule m_rule;
    std::priority_queue<scheduled_retry, std::vector<scheduled_retry>, std::greater<>>
        m_scheduledRetries;
    std::set<std::uint64_t> m_prefilledParts;
    std::uint64_t m_lastPart = 0;
    bool m_hasLost = false;
    scenario_result m_result;
};

} // namespace

scenario_result runScenario(const scenario &wanted)
{
    return fleet(wanted).simulate();
}

} // namespace quincefall::model
