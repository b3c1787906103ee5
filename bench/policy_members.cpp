#include "policy_world.h"

#include "policy/ownership.h"

#include <algorithm>

namespace quincefall::bench {
namespace {

constexpr milliseconds detectionTime{500};
constexpr seconds engineDowntime{20};
constexpr seconds pauseLength{10};
constexpr double stragglerSpeed = 0.1;

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

} // namespace

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

} // namespace quincefall::bench
