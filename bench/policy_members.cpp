#include "policy_world.h"

#include "policy/ownership.h"

#include <algorithm>

namespace quincefall::bench {
namespace {

constexpr milliseconds detectionTime{500};
constexpr seconds engineDowntime{20};
constexpr seconds pauseLength{10};
constexpr double stragglerSpeed = 0.1;

/// Switches a host to another owner of the queue. In owner mode, the host resubmits its waiting
/// requests to the new owner and reports its running attempts to it.
void followOwner(fleet_simulation &simulation, int index, const std::string &owner)
{
    entry_host &host = simulation.hosts[static_cast<std::size_t>(index)];
    if (host.owner == owner || !host.alive)
        return;
    host.owner = owner;
    if (simulation.mode != sharing_mode::owner)
        return;
    const int scheduler = hostIndex(simulation, owner);
    sendMessage(simulation, index, scheduler, finishMessageBytes,
                [&simulation, scheduler, name = host.name] {
                    decide(simulation, scheduler, [&](pool_state &state) {
                        return dropEntryHost(state, name, simulation.events.now);
                    });
                });
    for (std::size_t number = 0; number < simulation.requests.size(); ++number) {
        const simulated_request &request = simulation.requests[number];
        if (request.host != index || request.arrival == instant{})
            continue;
        if (request.state == simulated_request_state::waiting) {
            submitRequest(simulation, number);
        } else if (request.state == simulated_request_state::running) {
            const adopted_attempt attempt{request.item.id,
                                          host.name,
                                          request.permit.permit,
                                          request.permit.upstream,
                                          request.item.serviceClass,
                                          request.item.organisation,
                                          simulation.events.now - request.attemptStart};
            sendMessage(simulation, index, scheduler, submitMessageBytes,
                        [&simulation, scheduler, attempt] {
                            decide(simulation, scheduler, [&](pool_state &state) {
                                return adoptRunning(state, attempt, simulation.events.now);
                            });
                        });
        }
    }
}

void updateMembers(fleet_simulation &simulation, int index, const std::string &name, bool present)
{
    auto &members = simulation.hosts[static_cast<std::size_t>(index)].members;
    std::erase(members, name);
    if (present)
        members.push_back(name);
    followOwner(simulation, index, std::string(rendezvousOwner(poolKey, members)));
}

void updateMembersAfter(fleet_simulation &simulation, microseconds delay, int subject, bool present)
{
    for (int index = 0; index < simulation.plan.hosts; ++index) {
        if (index == subject && !present)
            continue;
        const microseconds jitter(static_cast<std::int64_t>(uniform(simulation) * 100'000));
        simulation.events.after(delay + jitter, [&simulation, index, subject, present] {
            onHost(simulation, index, [&simulation, index, subject, present] {
                updateMembers(simulation, index,
                              simulation.hosts[static_cast<std::size_t>(subject)].name, present);
            });
        });
    }
}

void crashEngine(fleet_simulation &simulation, std::size_t number)
{
    engine_model &engine = simulation.engines[number];
    engine.up = false;
    for (std::size_t index = 0; index < simulation.requests.size(); ++index) {
        const simulated_request &request = simulation.requests[index];
        if (request.state != simulated_request_state::running
            || request.permit.upstream != engine.name)
            continue;
        simulation.events.after(
            crashDetectionDelay, [&simulation, index, attempt = request.attempt] {
                simulated_request &failed = simulation.requests[index];
                if (failed.attempt == attempt && failed.state == simulated_request_state::running)
                    failAttempt(simulation, index, attempt_fault::upstreamFailed);
            });
    }
    // Running streams generate no tokens from the crash on, also before the crash is detected.
    setSpeed(simulation.events, engine, 1e-9);
    simulation.events.after(engineDowntime, [&simulation, &engine] {
        setSpeed(simulation.events, engine, 1);
        engine.up = true;
        if (simulation.mode == sharing_mode::oracle)
            oracleAssign(simulation);
    });
    const std::size_t next = (number + 3) % simulation.engines.size();
    simulation.events.after(seconds(simulation.plan.crashIntervalSeconds),
                            [&simulation, next] { crashEngine(simulation, next); });
}

void killOwner(fleet_simulation &simulation)
{
    const int owner = hostIndex(simulation, simulation.hosts[0].owner);
    simulation.hosts[static_cast<std::size_t>(owner)].alive = false;
    for (std::size_t index = 0; index < simulation.requests.size(); ++index) {
        simulated_request &request = simulation.requests[index];
        if (request.host != owner || request.arrival == instant{})
            continue;
        // The caller lost its connection and retries through another host.
        if (request.state == simulated_request_state::running) {
            failAttempt(simulation, index, attempt_fault::entryHostLost);
            request.delivered = 0;
            request.item.resumeFrom = 0;
            request.firstToken = instant::min();
        }
        if (request.state == simulated_request_state::waiting)
            simulation.events.after(crashDetectionDelay,
                                    [&simulation, index] { submitRequest(simulation, index); });
    }
    updateMembersAfter(simulation, detectionTime, owner, false);
}

void pauseOwner(fleet_simulation &simulation)
{
    const int owner = hostIndex(simulation, simulation.hosts[0].owner);
    simulation.hosts[static_cast<std::size_t>(owner)].pausedUntil
        = simulation.events.now + pauseLength;
    updateMembersAfter(simulation, detectionTime, owner, false);
    updateMembersAfter(simulation, pauseLength + milliseconds(100), owner, true);
}

void splitMembership(fleet_simulation &simulation)
{
    const std::string owner = simulation.hosts[0].owner;
    for (const int index : {0, 1}) {
        updateMembers(simulation, index, owner, false);
        simulation.events.after(pauseLength, [&simulation, index, owner] {
            updateMembers(simulation, index, owner, true);
        });
    }
}

} // namespace

void scheduleFaults(fleet_simulation &simulation)
{
    const scenario &plan = simulation.plan;
    const instant start = instant{} + plan.burstFrom;
    if (plan.straggler) {
        simulation.events.at(start, [&simulation] {
            setSpeed(simulation.events, simulation.engines[1], stragglerSpeed);
        });
    }
    if (plan.crashIntervalSeconds > 0)
        simulation.events.at(instant{} + seconds(20),
                             [&simulation] { crashEngine(simulation, 0); });
    if (simulation.mode == sharing_mode::oracle)
        return;
    if (plan.ownerKilled)
        simulation.events.at(start, [&simulation] { killOwner(simulation); });
    if (plan.ownerPaused)
        simulation.events.at(start, [&simulation] { pauseOwner(simulation); });
    if (plan.membershipDiffers && simulation.mode == sharing_mode::owner)
        simulation.events.at(start, [&simulation] { splitMembership(simulation); });
}

} // namespace quincefall::bench
