#include "policy_fleet.h"

#include "policy/ownership.h"
#include "policy/retry_budget.h"
#include "policy/stream_watch.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <memory>

namespace quincefall::bench {
namespace {

constexpr microseconds localDelay{1'000};
constexpr microseconds regionDelay{10'000};
constexpr milliseconds detectionTime{500};
constexpr milliseconds reportInterval{500};
constexpr milliseconds tickInterval{50};
constexpr milliseconds lendInterval{100};
constexpr milliseconds crashNotice{50};
constexpr milliseconds watchInterval{500};
constexpr seconds engineDowntime{20};
constexpr seconds pauseLength{10};
constexpr seconds drainTime{140}; // After the last arrival, so that every request ends.
constexpr double submitBytes = 72;
constexpr double grantBytes = 40;
constexpr double finishBytes = 40;
constexpr double reportBytes = 28;
constexpr double lendBytesPerEngine = 6;
constexpr double demandBytes = 24;
constexpr double promptBytesPerToken = 4;
constexpr double eventBytes = 180; // One server-sent event.
constexpr double prefillUnitsPerToken = 0.01;
constexpr double returnProbability = 0.5;
constexpr double stragglerSpeed = 0.1;
const char *const poolKey = "pool";

enum class request_state { waiting, running, done, refused };

struct request
{
    work_item item;
    const demand *of = nullptr;
    int host = 0;
    double tokens = 0;
    double delivered = 0;
    request_state state = request_state::waiting;
    bool isReturn = false;
    instant arrival{};
    instant firstToken = instant::min();
    std::uint64_t attempt = 0;
    instant attemptStart{};
    stream_watch watch;
    grant permit;
};

struct entry_host
{
    std::string name;
    std::string region;
    pool_state state;
    bool alive = true;
    instant pausedUntil = instant::min();
    std::vector<std::string> view;
    std::string owner;
    retry_budget retries;
};

struct fleet
{
    const scenario &plan;
    sharing_way way;
    event_queue events;
    std::mt19937_64 random;
    std::vector<entry_host> hosts;
    std::vector<engine_model> engines;
    std::deque<request> requests; // Keeps references while it grows.
    fleet_figures figures;
    std::uint64_t nextAttempt = 1;
    std::map<std::string, std::size_t> engineIndex;
    std::vector<std::set<std::pair<instant, std::size_t>>> oracleWaiting; ///< By demand.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> quietOrganisations;
    drain_rate oracleDrain;
    retry_schedule oracleReturns;
};

void route(fleet &world, int from, const decisions &decided);
void submitRequest(fleet &world, std::size_t index);
microseconds oracleFirstTokenTime(const fleet &world, const request &of);
void oracleAssign(fleet &world);

double uniform(fleet &world)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random);
}

engine_model &engineOf(fleet &world, const std::string &name)
{
    return world.engines[world.engineIndex.at(name)];
}

microseconds delayBetween(const std::string &one, const std::string &other)
{
    return one == other ? localDelay : regionDelay;
}

int hostIndex(const fleet &world, const std::string &name)
{
    for (std::size_t index = 0; index < world.hosts.size(); ++index) {
        if (world.hosts[index].name == name)
            return static_cast<int>(index);
    }
    return -1;
}

/// Runs @p action on a host unless it is dead; a paused host runs it when it goes on.
void onHost(fleet &world, int index, std::function<void()> action)
{
    const entry_host &host = world.hosts[static_cast<std::size_t>(index)];
    if (!host.alive)
        return;
    if (host.pausedUntil > world.events.now) {
        world.events.at(host.pausedUntil, [&world, index, action = std::move(action)] {
            onHost(world, index, action);
        });
        return;
    }
    action();
}

void sendMessage(fleet &world, int from, int to, double bytes, std::function<void()> action)
{
    const entry_host &source = world.hosts[static_cast<std::size_t>(from)];
    const entry_host &target = world.hosts[static_cast<std::size_t>(to)];
    if (from == to) {
        onHost(world, to, std::move(action));
        return;
    }
    if (world.events.now > instant{} + world.plan.length)
        bytes = 0; // Only what the demand's time costs.
    world.figures.controlBytes += bytes;
    if (source.region != target.region)
        world.figures.crossRegionBytes += bytes;
    world.events.after(delayBetween(source.region, target.region),
                       [&world, to, action = std::move(action)] { onHost(world, to, action); });
}

/// Calls a decision function of a host's scheduler and routes what it decided.
template <typename step_type>
void decide(fleet &world, int index, step_type step)
{
    pool_state &state = world.hosts[static_cast<std::size_t>(index)].state;
    const std::clock_t before = std::clock();
    const decisions decided = step(state);
    if (world.events.now <= instant{} + world.plan.length) {
        world.figures.schedulerSeconds
            += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        ++world.figures.schedulerCalls;
    }
    route(world, index, decided);
}

/// The host whose scheduler decides for @p host; -1 when it knows of none.
int schedulerOf(const fleet &world, int host)
{
    if (world.way != sharing_way::owner)
        return host;
    return hostIndex(world, world.hosts[static_cast<std::size_t>(host)].owner);
}

enum class attempt_end { complete, failed, stopped };

void endPermit(fleet &world, int host, int scheduler, const grant &permit, double tokens,
               microseconds duration, microseconds firstToken, attempt_end end)
{
    if (scheduler < 0)
        return;
    completion done;
    done.permit = permit.permit;
    done.upstream = permit.upstream;
    done.tokens = static_cast<std::uint32_t>(tokens);
    done.duration = duration;
    done.firstToken = firstToken;
    done.failed = end == attempt_end::failed;
    done.stopped = end == attempt_end::stopped;
    sendMessage(world, host, scheduler, finishBytes, [&world, scheduler, done] {
        decide(world, scheduler,
               [&](pool_state &state) { return finish(state, done, world.events.now); });
    });
}

void countStartWindow(fleet &world, const request &of)
{
    auto &windows = world.figures.classes[of.of->policy.name].windows;
    ++windows[world.events.now.time_since_epoch() / of.of->policy.maxWait].second;
}

void finishRequest(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.state = request_state::done;
    const class_policy &policy = of.of->policy;
    const microseconds total = world.events.now - of.firstToken;
    const microseconds gap = total / std::max<std::int64_t>(1, std::llround(of.tokens) - 1);
    const microseconds wait = of.firstToken - of.arrival;
    const bool attained = wait <= policy.firstTokenTarget && gap <= policy.tokenGapTarget;
    const double made = of.tokens - of.delivered;
    of.delivered = of.tokens;
    earnRetry(world.hosts[static_cast<std::size_t>(of.host)].retries);
    world.figures.allTokens += made;
    world.figures.goodTokens += attained ? of.tokens : 0;
    class_figures &figures = world.figures.classes[policy.name];
    ++figures.served;
    figures.waitSum += toMilliseconds(wait) / 1000;
    world.figures.returnedServed += of.isReturn ? 1 : 0;
    figures.attained += attained && !of.isReturn ? 1 : 0;
    if (of.of->burstOrganisation != of.item.organisation && !of.isReturn)
        world.quietOrganisations[policy.name].second += attained ? 1 : 0;
    const microseconds duration = world.events.now - of.attemptStart;
    if (world.way == sharing_way::oracle)
        oracleAssign(world);
    else
        endPermit(world, of.host, schedulerOf(world, of.host), of.permit, made, duration,
                  std::max(of.firstToken, of.attemptStart) - of.attemptStart,
                  attempt_end::complete);
}

void startAttempt(fleet &world, std::size_t index, const std::string &upstream)
{
    request &of = world.requests[index];
    engine_model &engine = engineOf(world, upstream);
    of.state = request_state::running;
    of.attempt = world.nextAttempt++;
    of.attemptStart = world.events.now;
    of.watch = {world.events.now + watchInterval, 0, 0};
    countStartWindow(world, of);
    const std::string &region = world.hosts[static_cast<std::size_t>(of.host)].region;
    if (region != engine.region) {
        world.figures.crossRegionBytes
            += of.item.promptTokens * promptBytesPerToken + (of.tokens - of.delivered) * eventBytes;
    }
    engine_stream stream;
    stream.attempt = of.attempt;
    stream.tier = of.of->policy.tier;
    stream.prefix = of.item.prefixHash;
    stream.prefill = (of.item.promptTokens + of.delivered) * prefillUnitsPerToken;
    stream.tokens = std::max(1.0, of.tokens - of.delivered);
    if (of.delivered > 0 || of.item.resumeFrom > 0)
        world.figures.wastedTokens["resume"] += stream.prefill;
    stream.firstToken = [&world, index] {
        request &started = world.requests[index];
        if (started.firstToken == instant::min())
            started.firstToken = world.events.now + localDelay;
    };
    stream.done = [&world, index] { finishRequest(world, index); };
    if (world.way == sharing_way::oracle) {
        startStream(world.events, engine, stream);
        return;
    }
    world.events.after(delayBetween(region, engine.region), [&world, index, &engine, stream] {
        const request &current = world.requests[index];
        if (current.attempt == stream.attempt && current.state == request_state::running
            && engine.up)
            startStream(world.events, engine, stream);
    });
}

enum class attempt_fault { upstreamFailed, slow, entryHostLost };

/// Ends the answer with an error, since the retry budget is used up.
void giveUp(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.state = request_state::refused;
    ++world.figures.failed;
    world.figures.wastedTokens["retry budget used up"] += of.delivered;
}

/// Ends the attempt of a running request early and, if the retry budget allows it, resumes it on
/// another upstream.
void failAttempt(fleet &world, std::size_t index, attempt_fault fault)
{
    request &of = world.requests[index];
    engine_model &engine = engineOf(world, of.permit.upstream);
    entry_host &host = world.hosts[static_cast<std::size_t>(of.host)];
    const bool neverStarted = of.attemptStart == instant::min();
    const double made = stopStream(world.events, engine, of.attempt);
    world.figures.allTokens += made;
    of.delivered += std::floor(made);
    of.state = request_state::waiting;
    if (fault == attempt_fault::entryHostLost) {
        world.figures.wastedTokens["entry host lost"] += of.delivered;
        return;
    }
    of.item.resumeFrom = static_cast<std::uint32_t>(of.delivered);
    of.item.excluded.assign(1, of.permit.upstream);
    if (world.way != sharing_way::oracle) {
        endPermit(world, of.host, schedulerOf(world, of.host), of.permit, made,
                  neverStarted ? microseconds(0) : world.events.now - of.attemptStart, {},
                  fault == attempt_fault::slow ? attempt_end::stopped : attempt_end::failed);
    }
    // An attempt that never reached an upstream adds no load to any.
    if (!neverStarted) {
        ++world.figures.retries;
        if (fault != attempt_fault::slow && !takeRetry(host.retries)) {
            giveUp(world, index);
            return;
        }
    }
    submitRequest(world, index);
}

/// What an entry host does about its running answers each half second.
void watchStreams(fleet &world)
{
    for (std::size_t index = 0; index < world.requests.size(); ++index) {
        request &of = world.requests[index];
        if (of.state != request_state::running || of.attemptStart == instant::min()
            || world.events.now - of.attemptStart < watchInterval)
            continue;
        engine_model &engine = engineOf(world, of.permit.upstream);
        const auto tokens
            = static_cast<std::uint32_t>(tokensMade(world.events, engine, of.attempt));
        if (!engine.up || of.tokens - of.delivered - tokens < 1)
            continue;
        const double rate = intervalRate(of.watch, tokens, world.events.now);
        const stream_action action
            = watchStream(of.watch, tokens, of.of->policy.tokenGapTarget, world.events.now);
        if (action == stream_action::none)
            continue;
        const int scheduler = schedulerOf(world, of.host);
        const slow_progress progress{of.permit.permit, of.permit.upstream, rate};
        if (scheduler >= 0) {
            sendMessage(world, of.host, scheduler, finishBytes, [&world, scheduler, progress] {
                decide(world, scheduler, [&](pool_state &state) {
                    return reportSlow(state, progress, world.events.now);
                });
            });
        }
        if (action == stream_action::move
            && takeRetry(world.hosts[static_cast<std::size_t>(of.host)].retries))
            failAttempt(world, index, attempt_fault::slow);
    }
    world.events.after(watchInterval, [&world] { watchStreams(world); });
}

void takeGrant(fleet &world, int scheduler, const grant &permit)
{
    const auto index = static_cast<std::size_t>(std::stoull(permit.id));
    request &of = world.requests[index];
    const int host = hostIndex(world, permit.entryHost);
    if (of.state != request_state::waiting || of.host != host
        || schedulerOf(world, host) != scheduler) {
        endPermit(world, host, scheduler, permit, 0, {}, {}, attempt_end::stopped);
        return;
    }
    of.permit = permit;
    if (!engineOf(world, permit.upstream).up) {
        of.state = request_state::running;
        of.attempt = world.nextAttempt++;
        of.attemptStart = instant::min();
        world.events.after(crashNotice, [&world, index, attempt = of.attempt] {
            if (world.requests[index].attempt == attempt)
                failAttempt(world, index, attempt_fault::upstreamFailed);
        });
        return;
    }
    startAttempt(world, index, permit.upstream);
}

void arrive(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    of.arrival = world.events.now;
    of.item.arrival = world.events.now;
    if (!of.isReturn) {
        class_figures &figures = world.figures.classes[of.of->policy.name];
        ++figures.offered;
        ++figures.windows[world.events.now.time_since_epoch() / of.of->policy.maxWait].first;
        if (of.of->burstOrganisation != of.item.organisation)
            ++world.quietOrganisations[of.of->policy.name].first;
    }
    submitRequest(world, index);
}

void takeRefusal(fleet &world, std::size_t index, milliseconds retryAfter)
{
    request &of = world.requests[index];
    if (of.state != request_state::waiting)
        return;
    of.state = request_state::refused;
    ++world.figures.classes[of.of->policy.name].refused;
    if (of.delivered > 0)
        world.figures.wastedTokens["refused"] += of.delivered;
    if (of.isReturn || uniform(world) >= returnProbability)
        return;
    request again = of;
    again.isReturn = true;
    again.state = request_state::waiting;
    again.arrival = instant{};
    again.firstToken = instant::min();
    again.delivered = 0;
    again.item.excluded.clear();
    again.item.resumeFrom = 0;
    const std::size_t next = world.requests.size();
    again.item.id = std::to_string(next);
    world.requests.push_back(again);
    ++world.figures.returned;
    world.events.after(retryAfter, [&world, next] { arrive(world, next); });
}

void route(fleet &world, int from, const decisions &decided)
{
    for (const grant &permit : decided.grants) {
        sendMessage(world, from, hostIndex(world, permit.entryHost), grantBytes,
                    [&world, from, permit] { takeGrant(world, from, permit); });
    }
    for (const refusal &refused : decided.refusals) {
        const auto index = static_cast<std::size_t>(std::stoull(refused.id));
        sendMessage(world, from, hostIndex(world, refused.entryHost), grantBytes,
                    [&world, index, retryAfter = refused.retryAfter] {
                        takeRefusal(world, index, retryAfter);
                    });
    }
}

void submitRequest(fleet &world, std::size_t index)
{
    request &of = world.requests[index];
    entry_host *host = &world.hosts[static_cast<std::size_t>(of.host)];
    while (!host->alive) { // The balancer sends the caller to another host of the region.
        of.host = (of.host + 2) % static_cast<int>(world.hosts.size());
        host = &world.hosts[static_cast<std::size_t>(of.host)];
    }
    of.item.entryHost = host->name;
    of.item.entryRegion = host->region;
    if (world.way == sharing_way::oracle) {
        const auto demandIndex = static_cast<std::size_t>(of.of - world.plan.demands.data());
        const instant latestStart
            = of.arrival + of.of->policy.firstTokenTarget - oracleFirstTokenTime(world, of);
        world.oracleWaiting[demandIndex].emplace(latestStart, index);
        oracleAssign(world);
        return;
    }
    const int scheduler = schedulerOf(world, of.host);
    if (scheduler < 0)
        return;
    sendMessage(world, of.host, scheduler, submitBytes, [&world, scheduler, item = of.item] {
        decide(world, scheduler,
               [&](pool_state &state) { return submit(state, item, world.events.now); });
    });
}

// ---- The oracle: strict tiers, deadline order, only requests that can be on time, true state.

engine_model *oracleChoice(fleet &world, const request &of)
{
    engine_model *best = nullptr;
    double bestLoad = 1;
    for (engine_model &engine : world.engines) {
        const double streams = static_cast<double>(engine.running.size() + engine.waiting.size())
            + engine.background;
        const bool far = engine.region != of.item.entryRegion;
        const double load = streams / engine.slots + (far ? 0.001 : 0);
        if (!engine.up || engine.speed < 0.5 || streams >= engine.slots || load >= bestLoad)
            continue;
        best = &engine;
        bestLoad = load;
    }
    return best;
}

/// Time from the start to the first token, which only the oracle knows.
microseconds oracleFirstTokenTime(const fleet &world, const request &of)
{
    const double units = of.item.promptTokens * prefillUnitsPerToken + 1;
    return microseconds(static_cast<std::int64_t>(units / world.engines[0].streamRate * 1e6))
        + localDelay;
}

void oracleRefuse(fleet &world, std::size_t index)
{
    const class_policy &policy = world.requests[index].of->policy;
    const double rate = drainForTier(world.oracleDrain, policy.tier, world.events.now);
    takeRefusal(world, index,
                retryAfter(world.oracleReturns, policy.tier, {}, policy.firstTokenTarget, rate,
                           world.events.now));
}

void oracleDropLate(fleet &world, std::set<std::pair<instant, std::size_t>> &waiting)
{
    while (!waiting.empty() && waiting.begin()->first < world.events.now) {
        const std::size_t index = waiting.begin()->second;
        if (world.requests[index].delivered > 0)
            return; // A resumed answer goes on.
        waiting.erase(waiting.begin());
        oracleRefuse(world, index);
    }
}

void oracleAssign(fleet &world)
{
    std::vector<std::size_t> order(world.plan.demands.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::stable_sort(order.begin(), order.end(), [&world](std::size_t a, std::size_t b) {
        return world.plan.demands[a].policy.tier < world.plan.demands[b].policy.tier;
    });
    for (const std::size_t demandIndex : order) {
        auto &waiting = world.oracleWaiting[demandIndex];
        oracleDropLate(world, waiting);
        while (!waiting.empty()) {
            const std::size_t index = waiting.begin()->second;
            engine_model *engine = oracleChoice(world, world.requests[index]);
            if (engine == nullptr)
                return;
            waiting.erase(waiting.begin());
            world.requests[index].permit.upstream = engine->name;
            recordStart(world.oracleDrain, world.requests[index].of->policy.tier, world.events.now);
            startAttempt(world, index, engine->name);
        }
    }
}

// ---- Membership, reports and lent slots.

/// A host that follows a new owner tells it anew what waits and what runs.
void follow(fleet &world, int index, const std::string &owner)
{
    entry_host &host = world.hosts[static_cast<std::size_t>(index)];
    if (host.owner == owner || !host.alive)
        return;
    host.owner = owner;
    if (world.way != sharing_way::owner)
        return;
    const int scheduler = hostIndex(world, owner);
    sendMessage(world, index, scheduler, finishBytes, [&world, scheduler, name = host.name] {
        decide(world, scheduler,
               [&](pool_state &state) { return dropEntryHost(state, name, world.events.now); });
    });
    for (std::size_t number = 0; number < world.requests.size(); ++number) {
        const request &of = world.requests[number];
        if (of.host != index || of.arrival == instant{})
            continue;
        if (of.state == request_state::waiting) {
            submitRequest(world, number);
        } else if (of.state == request_state::running) {
            const running_attempt attempt{of.item.id,
                                          host.name,
                                          of.permit.permit,
                                          of.permit.upstream,
                                          of.item.serviceClass,
                                          of.item.organisation,
                                          world.events.now - of.attemptStart};
            sendMessage(world, index, scheduler, submitBytes, [&world, scheduler, attempt] {
                decide(world, scheduler, [&](pool_state &state) {
                    return adoptRunning(state, attempt, world.events.now);
                });
            });
        }
    }
}

void updateView(fleet &world, int index, const std::string &name, bool present)
{
    auto &view = world.hosts[static_cast<std::size_t>(index)].view;
    std::erase(view, name);
    if (present)
        view.push_back(name);
    follow(world, index, std::string(rendezvousOwner(poolKey, view)));
}

void seeAfter(fleet &world, microseconds delay, int subject, bool present)
{
    for (int index = 0; index < world.plan.hosts; ++index) {
        if (index == subject && !present)
            continue;
        const microseconds jitter(static_cast<std::int64_t>(uniform(world) * 100'000));
        world.events.after(delay + jitter, [&world, index, subject, present] {
            onHost(world, index, [&world, index, subject, present] {
                updateView(world, index, world.hosts[static_cast<std::size_t>(subject)].name,
                           present);
            });
        });
    }
}

load_report reportOf(const engine_model &engine, microseconds age)
{
    load_report report;
    report.upstream = engine.name;
    report.running = static_cast<std::uint32_t>(engine.running.size()) + engine.background;
    report.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    report.slots = engine.slots;
    report.age = age;
    return report;
}

void publishReport(fleet &world, std::size_t engineNumber)
{
    const engine_model &engine = world.engines[engineNumber];
    const load_report report = reportOf(engine, world.plan.reportLag);
    const bool up = engine.up;
    world.events.after(world.plan.reportLag, [&world, report, up, engineNumber] {
        if (!up)
            return;
        const int poller = static_cast<int>(engineNumber) % world.plan.hosts;
        for (int index = 0; index < world.plan.hosts; ++index) {
            const bool reads = world.way == sharing_way::separate;
            if (!reads && index != schedulerOf(world, poller))
                continue;
            sendMessage(world, reads ? (index + 1) % world.plan.hosts : poller, index, reportBytes,
                        [&world, index, report] {
                            decide(world, index, [&](pool_state &state) {
                                return applyLoadReport(state, report, world.events.now);
                            });
                        });
        }
    });
    world.events.after(reportInterval,
                       [&world, engineNumber] { publishReport(world, engineNumber); });
}

std::size_t runningOn(const pool_state &state, const std::string &engine)
{
    const auto found = state.upstreams.records.find(engine);
    return found == state.upstreams.records.end() ? 0 : found->second.running.size();
}

/// Waiting and running requests of each tier, from the highest down.
std::map<int, double> demandByTier(const entry_host &host)
{
    std::map<int, double> wanted;
    for (const auto &[name, queue] : host.state.queue.classes)
        wanted[queue.policy.tier] += static_cast<double>(queue.size);
    return wanted;
}

/// Deals out the free slots of one engine: tier by tier in proportion to what waits, and what is
/// left over evenly.
std::vector<double> dealSlots(fleet &world, const std::vector<std::map<int, double>> &wanted,
                              double free)
{
    std::vector<double> shares(world.hosts.size(), 0);
    for (const demand &of : world.plan.demands) {
        double sum = 0;
        for (const auto &tiers : wanted)
            sum += tiers.contains(of.policy.tier) ? tiers.at(of.policy.tier) : 0;
        if (sum <= 0 || free <= 0)
            continue;
        const double dealt = std::min(sum / static_cast<double>(world.engines.size()), free);
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            const auto own = wanted[index].find(of.policy.tier);
            shares[index] += own == wanted[index].end() ? 0 : dealt * own->second / sum;
        }
        free -= dealt;
    }
    for (double &share : shares)
        share += std::max(0.0, free) / static_cast<double>(shares.size());
    return shares;
}

bool hasLender(const fleet &world)
{
    const auto follower
        = std::find_if(world.hosts.begin(), world.hosts.end(), [&world](const entry_host &host) {
              return host.alive && host.pausedUntil <= world.events.now;
          });
    const entry_host &lender
        = world.hosts[static_cast<std::size_t>(hostIndex(world, follower->owner))];
    return lender.alive && lender.pausedUntil <= world.events.now;
}

void lendSlots(fleet &world)
{
    const bool counted = world.events.now <= instant{} + world.plan.length;
    world.events.after(lendInterval, [&world] { lendSlots(world); });
    if (!hasLender(world))
        return;
    std::vector<std::map<int, double>> wanted;
    for (const entry_host &host : world.hosts)
        wanted.push_back(host.alive ? demandByTier(host) : std::map<int, double>{});
    for (const engine_model &engine : world.engines) {
        double used = engine.background;
        for (const entry_host &host : world.hosts)
            used += static_cast<double>(runningOn(host.state, engine.name));
        auto shares = dealSlots(world, wanted, engine.slots - used);
        double carried = uniform(world); // Rounds fractions at random without losing slots.
        for (std::size_t index = 0; index < shares.size(); ++index) {
            carried += shares[index];
            const double lent = std::floor(carried);
            carried -= lent;
            world.figures.controlBytes += counted ? lendBytesPerEngine : 0;
            world.events.after(regionDelay, [&world, index, lent, &engine] {
                const pool_state &lentTo = world.hosts[index].state;
                load_report limit = reportOf(engine, {});
                const double own = static_cast<double>(runningOn(lentTo, engine.name));
                limit.waiting = 0;
                limit.running = static_cast<std::uint32_t>(std::max(own, engine.slots - lent));
                onHost(world, static_cast<int>(index), [&world, index, limit] {
                    decide(world, static_cast<int>(index), [&](pool_state &state) {
                        return applyLoadReport(state, limit, world.events.now);
                    });
                });
            });
        }
    }
    if (counted)
        world.figures.controlBytes += demandBytes * static_cast<double>(world.hosts.size());
}

void tick(fleet &world, int index)
{
    onHost(world, index, [&world, index] {
        decide(world, index, [&](pool_state &state) { return advance(state, world.events.now); });
    });
    world.events.after(tickInterval, [&world, index] { tick(world, index); });
}

// ---- Faults.

void crashEngine(fleet &world, std::size_t number)
{
    engine_model &engine = world.engines[number];
    engine.up = false;
    for (std::size_t index = 0; index < world.requests.size(); ++index) {
        const request &of = world.requests[index];
        if (of.state != request_state::running || of.permit.upstream != engine.name)
            continue;
        world.events.after(crashNotice, [&world, index, attempt = of.attempt] {
            request &failed = world.requests[index];
            if (failed.attempt == attempt && failed.state == request_state::running)
                failAttempt(world, index, attempt_fault::upstreamFailed);
        });
    }
    // What ran has made no tokens since the crash.
    setSpeed(world.events, engine, 1e-9);
    world.events.after(engineDowntime, [&world, &engine] {
        setSpeed(world.events, engine, 1);
        engine.up = true;
        if (world.way == sharing_way::oracle)
            oracleAssign(world);
    });
    const std::size_t next = (number + 3) % world.engines.size();
    world.events.after(seconds(world.plan.crashEverySeconds),
                       [&world, next] { crashEngine(world, next); });
}

void killOwner(fleet &world)
{
    const int owner = hostIndex(world, world.hosts[0].owner);
    world.hosts[static_cast<std::size_t>(owner)].alive = false;
    for (std::size_t index = 0; index < world.requests.size(); ++index) {
        request &of = world.requests[index];
        if (of.host != owner || of.arrival == instant{})
            continue;
        // The caller lost its connection and comes again through another host.
        if (of.state == request_state::running) {
            failAttempt(world, index, attempt_fault::entryHostLost);
            of.delivered = 0;
            of.item.resumeFrom = 0;
            of.firstToken = instant::min();
        }
        if (of.state == request_state::waiting)
            world.events.after(crashNotice, [&world, index] { submitRequest(world, index); });
    }
    seeAfter(world, detectionTime, owner, false);
}

void pauseOwner(fleet &world)
{
    const int owner = hostIndex(world, world.hosts[0].owner);
    world.hosts[static_cast<std::size_t>(owner)].pausedUntil = world.events.now + pauseLength;
    seeAfter(world, detectionTime, owner, false);
    seeAfter(world, pauseLength + milliseconds(100), owner, true);
}

void splitViews(fleet &world)
{
    const std::string owner = world.hosts[0].owner;
    for (const int index : {0, 1}) {
        updateView(world, index, owner, false);
        world.events.after(pauseLength,
                           [&world, index, owner] { updateView(world, index, owner, true); });
    }
}

void scheduleFaults(fleet &world)
{
    const scenario &plan = world.plan;
    const instant start = instant{} + plan.burstFrom;
    if (plan.straggler) {
        world.events.at(start,
                        [&world] { setSpeed(world.events, world.engines[1], stragglerSpeed); });
    }
    if (plan.crashEverySeconds > 0)
        world.events.at(instant{} + seconds(20), [&world] { crashEngine(world, 0); });
    if (world.way == sharing_way::oracle)
        return;
    if (plan.ownerKilled)
        world.events.at(start, [&world] { killOwner(world); });
    if (plan.ownerPaused)
        world.events.at(start, [&world] { pauseOwner(world); });
    if (plan.viewsDiffer && world.way == sharing_way::owner)
        world.events.at(start, [&world] { splitViews(world); });
}

// ---- Demand.

void addRequest(fleet &world, const demand &of, instant time, const std::string &organisation)
{
    request made;
    made.of = &of;
    made.item.id = std::to_string(world.requests.size());
    made.item.serviceClass = of.policy.name;
    made.item.organisation = organisation;
    made.item.model = "m";
    std::lognormal_distribution<double> tokens(std::log(of.medianTokens), 0.6);
    made.tokens = std::clamp(std::round(tokens(world.random)), 5.0, 4000.0);
    made.item.promptTokens = 200 + static_cast<std::uint32_t>(uniform(world) * 800);
    made.item.prefixHash = 1 + world.random() % 400;
    const bool far = uniform(world) < world.plan.farDemand;
    const int hosts = world.plan.hosts;
    // Hosts with odd numbers stand in the second region.
    made.host = static_cast<int>(uniform(world) * hosts / 2) * 2 + (far ? 1 : 0);
    made.host = made.host >= hosts ? (far ? 1 : 0) : made.host;
    const std::size_t index = world.requests.size();
    world.requests.push_back(std::move(made));
    world.events.at(time, [&world, index] { arrive(world, index); });
}

double fleetTokenRate(const fleet &world)
{
    double rate = 0;
    for (const engine_model &engine : world.engines)
        rate += engine.budget;
    return rate;
}

void generate(fleet &world, const demand &of, double share, instant from, instant until,
              const std::string &organisation)
{
    constexpr double lognormalMean = 1.197; // exp(0.6 * 0.6 / 2): mean over median.
    constexpr int organisations = 10;
    const double rate = share * fleetTokenRate(world) / (of.medianTokens * lognormalMean);
    if (rate <= 0)
        return;
    std::exponential_distribution<double> gap(rate);
    double time = toMilliseconds(from.time_since_epoch()) / 1000;
    const double end = toMilliseconds(until.time_since_epoch()) / 1000;
    for (time += gap(world.random); time < end; time += gap(world.random)) {
        const std::string name = organisation.empty()
            ? "org-" + std::to_string(world.random() % organisations)
            : organisation;
        addRequest(world, of, instant{} + microseconds(static_cast<std::int64_t>(time * 1e6)),
                   name);
    }
}

pool_plan makePlan(const fleet &world)
{
    pool_plan plan;
    plan.twoChoices = world.way == sharing_way::separate;
    plan.linkBytesPerSecond
        = world.plan.linkBytesPerSecond / (world.way == sharing_way::owner ? 1 : world.plan.hosts);
    for (const demand &of : world.plan.demands)
        plan.classes.push_back(of.policy);
    for (const engine_model &engine : world.engines) {
        upstream_info info;
        info.name = engine.name;
        info.region = engine.region;
        info.slots = engine.slots;
        plan.upstreams.push_back(info);
    }
    return plan;
}

void build(fleet &world)
{
    const scenario &plan = world.plan;
    for (int number = 0; number < plan.engines; ++number) {
        engine_model engine;
        engine.name = "engine-" + std::to_string(1000 + number);
        engine.region = number % 10 < 7 ? "near" : "far";
        engine.background = plan.unevenLoad && number % 3 == 0 ? engine.slots / 2 : 0;
        world.engineIndex[engine.name] = world.engines.size();
        world.engines.push_back(engine);
    }
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(plan.hosts));
    for (int number = 0; number < plan.hosts; ++number)
        names.push_back("entry-" + std::to_string(100 + number));
    const pool_plan pool = makePlan(world);
    for (int number = 0; number < plan.hosts; ++number) {
        entry_host host;
        host.name = names[static_cast<std::size_t>(number)];
        host.region = number % 2 == 0 ? "near" : "far";
        host.view = names;
        host.owner = std::string(rendezvousOwner(poolKey, names));
        host.state.random.seed(static_cast<unsigned>(number) + 1);
        host.state.nextPermit = static_cast<std::uint64_t>(number + 1) << 40U;
        configure(host.state, pool, world.events.now);
        world.hosts.push_back(std::move(host));
    }
    world.oracleWaiting.resize(plan.demands.size());
}

void collect(fleet &world)
{
    fleet_figures &figures = world.figures;
    figures.requests = 0;
    for (const request &of : world.requests) {
        figures.requests += of.isReturn ? 0 : 1;
        figures.lost += of.state == request_state::waiting || of.state == request_state::running;
    }
    for (const entry_host &host : world.hosts) {
        figures.shedForLower += host.state.rule.higherTierShedForLower;
        figures.shedForGuarantee += host.state.rule.higherTierShedForGuarantee;
    }
    for (const auto &[name, counts] : world.quietOrganisations) {
        if (counts.first > 0)
            figures.burstOfOthers[name]
                = static_cast<double>(counts.second) / static_cast<double>(counts.first);
    }
}

} // namespace

fleet_figures runFleet(const scenario &plan, sharing_way way, unsigned seed)
{
    const auto world = std::make_unique<fleet>(
        fleet{plan, way, {}, std::mt19937_64(seed), {}, {}, {}, {}, 1, {}, {}, {}, {}, {}});
    build(*world);
    const instant end = instant{} + plan.length;
    for (const demand &of : plan.demands) {
        generate(*world, of, of.capacityShare, instant{}, end, {});
        generate(*world, of, of.burstShare, instant{} + plan.burstFrom, instant{} + plan.burstTo,
                 of.burstOrganisation);
    }
    if (way != sharing_way::oracle) {
        for (int index = 0; index < plan.hosts; ++index)
            tick(*world, index);
        watchStreams(*world);
        if (way == sharing_way::lent)
            lendSlots(*world);
        else
            for (std::size_t engine = 0; engine < world->engines.size(); ++engine)
                publishReport(*world, engine);
    }
    scheduleFaults(*world);
    world->events.runUntil(end + drainTime);
    collect(*world);
    return std::move(world->figures);
}

} // namespace quincefall::bench
