#include "support/claim_simulation.h"

#include <algorithm>

namespace quincefall::testing {
namespace {

constexpr std::string_view digest = "request";
constexpr milliseconds stepLength{10};
constexpr milliseconds requestTimeout{1500};
constexpr std::size_t batchLimit = 4;

claim_key keyOf(std::size_t index)
{
    return {"daycare", "shift-desk", "key-" + std::to_string(index)};
}

claim_result resultOf(int run)
{
    return {200, "application/json", "run " + std::to_string(run), true, ""};
}

} // namespace

claim_simulation::claim_simulation(std::uint64_t seed, claim_guards guards)
    : m_random(seed)
    , m_guards(guards)
    , m_faultThreshold(seed % 2 == 0 ? 92 : 98)
{
    for (std::size_t index = 0; index < hostCount; ++index) {
        m_hosts[index].own.host = "h" + std::to_string(index);
        m_hosts[index].own.incarnation = m_nextIncarnation++;
    }
}

bool claim_simulation::chance(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

std::size_t claim_simulation::pick(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_random);
}

void claim_simulation::recordEvent(std::string_view what, std::size_t index,
                                   std::string_view detail)
{
    m_trace += std::to_string(m_now.time_since_epoch() / milliseconds(1)) + " h"
        + std::to_string(index) + " " + std::string(what) + " " + std::string(detail) + "\n";
}

void claim_simulation::run(int steps)
{
    for (int count = 0; count < steps; ++count) {
        m_now += stepLength;
        step();
    }
}

void claim_simulation::step()
{
    const std::size_t index = pick(hostCount);
    const std::size_t action = pick(100);
    const bool canAct = isRunning(m_hosts[index]);
    if (action < 8 && canAct)
        submitRequest(index);
    else if (action < 25 && canAct)
        append(index);
    else if (action < 42)
        deliverAppend();
    else if (action < 62 && canAct)
        read(index);
    else if (action < 80 && canAct)
        advanceRequest(index);
    else if (action < m_faultThreshold)
        deliverCall();
    else
        injectFault(index);
}

void claim_simulation::submitRequest(std::size_t index)
{
    host &asked = m_hosts[index];
    const std::size_t key = pick(keyCount);
    ++m_counts.requests;
    if (const claim_record *holder = findClaim(asked.table, keyOf(key))) {
        answerFromTable(index, key, *holder);
    } else if (hasActiveAttempt(asked.own, keyOf(key))) {
        recordEvent("in-progress", index, keyOf(key).key);
    } else if (!asked.isReady || !asked.isLogReachable) {
        refuse(index, key);
    } else {
        const std::string attempt = beginClaim(asked.own, keyOf(key), std::string(digest), 1000);
        asked.requests.push_back({index, key, attempt, m_now + requestTimeout, false});
        recordEvent("claims", index, attempt + " " + keyOf(key).key);
    }
}

void claim_simulation::answerFromTable(std::size_t index, std::size_t key,
                                       const claim_record &holder)
{
    const duplicate_verdict verdict = judgeDuplicate(holder, digest, true, true);
    if (verdict == duplicate_verdict::replayResult) {
        ++m_counts.sameResults;
        m_counts.wrongResults += holder.result == resultOf(m_firstRun[key]) ? 0 : 1;
        recordEvent("same-result", index, holder.result.body);
    } else {
        ++m_counts.toldUnknown;
        recordEvent(verdict == duplicate_verdict::wait ? "in-progress" : "unknown", index,
                    keyOf(key).key);
    }
}

void claim_simulation::refuse(std::size_t index, std::size_t key)
{
    host &asked = m_hosts[index];
    const auto describe = [&](const host &subject) {
        const bool answers = isRunning(subject);
        return answers ? claimStatusOf(subject.table, subject.own, keyOf(key), subject.isReady)
                       : peer_claim_status{};
    };
    std::vector<peer_claim_status> peers;
    for (std::size_t other = 0; m_guards.asksPeers && other < hostCount; ++other) {
        if (other != index)
            peers.push_back(describe(m_hosts[other]));
    }
    if (isCertainlyUnclaimed(describe(asked), peers)) {
        answerNotRun(index, key);
    } else {
        ++m_counts.toldUnknown;
        recordEvent("unknown", index, keyOf(key).key);
    }
}

void claim_simulation::answerNotRun(std::size_t index, std::size_t key)
{
    ++m_counts.toldNotRun;
    const bool isInFlight = std::any_of(m_calls.begin(), m_calls.end(),
                                        [key](const call &sent) { return sent.key == key; });
    m_counts.falseNotRun += m_runs[key] > 0 || isInFlight ? 1 : 0;
    recordEvent("not-run", index, keyOf(key).key);
}

void claim_simulation::append(std::size_t index)
{
    host &writer = m_hosts[index];
    const auto batch = nextBatch(writer.own, batchLimit);
    if (batch.empty())
        return;
    if (!writer.isLogReachable || chance(10)) {
        ++m_counts.faults;
        return; // The append is refused; the outbox keeps the entries.
    }
    m_inFlight.push_back(encodeBatch(batch));
    recordEvent("appends", index,
                std::string(toString(batch.front().action)) + " " + batch.front().attempt);
}

void claim_simulation::deliverAppend()
{
    if (m_inFlight.empty())
        return;
    const std::size_t index = pick(m_inFlight.size());
    m_log.push_back(m_inFlight[index]);
    if (chance(15)) {
        ++m_counts.faults; // Stays in flight, so that it is delivered a second time.
        return;
    }
    m_inFlight.erase(m_inFlight.begin() + std::ptrdiff_t(index));
}

void claim_simulation::read(std::size_t index)
{
    host &reader = m_hosts[index];
    if (!reader.isLogReachable)
        return;
    const std::size_t end
        = chance(30) ? m_log.size() : std::min(m_log.size(), reader.table.next + 1);
    while (reader.table.next < end) {
        const auto effects
            = applyClaimRecord(reader.table, reader.table.next, m_log[reader.table.next]);
        handleReadBack(reader.own, effects, 1000);
    }
    reader.isReady = reader.isReady || reader.table.next == m_log.size();
}

void claim_simulation::advanceRequest(std::size_t index)
{
    host &worker = m_hosts[index];
    if (worker.requests.empty())
        return;
    const std::size_t position = pick(worker.requests.size());
    const request subject = worker.requests[position];
    if (m_guards.abandons && !worker.isLogReachable
        && findClaim(worker.table, keyOf(subject.key)) == nullptr) {
        worker.requests.erase(worker.requests.begin() + std::ptrdiff_t(position));
        giveUp(index, subject);
        return;
    }
    if (!m_guards.abandons && !worker.isLogReachable && !subject.isRefused) {
        worker.requests[position].isRefused = true;
        answerNotRun(index, subject.key);
        return;
    }
    send_verdict verdict
        = decideSend(worker.own, worker.table, subject.attempt, m_now, subject.deadline);
    if (verdict == send_verdict::wait && !m_guards.firstClaimWins) {
        worker.own.attempts.at(subject.attempt).phase = attempt_phase::sending;
        verdict = send_verdict::send;
    }
    if (verdict == send_verdict::wait)
        return;
    worker.requests.erase(worker.requests.begin() + std::ptrdiff_t(position));
    if (verdict != send_verdict::send) {
        giveUp(index, subject);
    } else if (chance(10)) {
        // No connection could be opened: nothing was sent.
        revertToClaiming(worker.own, subject.attempt);
        giveUp(index, subject);
    } else {
        m_calls.push_back(
            {index, worker.own.incarnation, subject.key, subject.attempt, subject.isRefused});
        recordEvent("sends", index, subject.attempt);
    }
}

void claim_simulation::giveUp(std::size_t index, request subject)
{
    host &worker = m_hosts[index];
    const claim_record *holder = findClaim(worker.table, keyOf(subject.key));
    const bool isHolder = holder != nullptr && holder->attempt == subject.attempt;
    const bool isOther = holder != nullptr && !isHolder;
    const claim_record other = isOther ? *holder : claim_record();
    abandon(worker.own, subject.attempt, 1000);
    if (isHolder)
        answerNotRun(index, subject.key);
    else if (isOther)
        answerFromTable(index, subject.key, other);
    else
        refuse(index, subject.key);
}

void claim_simulation::deliverCall()
{
    if (m_calls.empty())
        return;
    const std::size_t index = pick(m_calls.size());
    const call sent = m_calls[index];
    m_calls.erase(m_calls.begin() + std::ptrdiff_t(index));
    const int run = ++m_runs[sent.key];
    ++m_counts.runs;
    m_counts.ranTwice += run > 1 ? 1 : 0;
    m_counts.falseNotRun += sent.isRefused ? 1 : 0;
    if (run == 1)
        m_firstRun[sent.key] = run;
    recordEvent("runs", sent.host, keyOf(sent.key).key);
    host &sender = m_hosts[sent.host];
    if (!sender.isAlive || sender.own.incarnation != sent.incarnation)
        return;
    const bool isAnswered = !chance(20);
    m_counts.faults += isAnswered ? 0 : 1;
    settle(sender.own, sent.attempt, isAnswered ? std::optional(resultOf(run)) : std::nullopt,
           1000);
}

void claim_simulation::injectFault(std::size_t index)
{
    host &disrupted = m_hosts[index];
    const std::size_t kind = pick(3);
    ++m_counts.faults;
    if (kind == 0) {
        if (disrupted.isAlive)
            disrupted.isAlive = false;
        else
            restart(index);
        recordEvent(disrupted.isAlive ? "starts" : "dies", index, "");
    } else if (kind == 1) {
        disrupted.isPaused = !disrupted.isPaused;
        recordEvent(disrupted.isPaused ? "pauses" : "resumes", index, "");
    } else {
        disrupted.isLogReachable = !disrupted.isLogReachable;
        recordEvent(disrupted.isLogReachable ? "has-log" : "loses-log", index, "");
    }
}

void claim_simulation::restart(std::size_t index)
{
    const std::string name = m_hosts[index].own.host;
    m_hosts[index] = host();
    m_hosts[index].own.host = name;
    m_hosts[index].own.incarnation = m_nextIncarnation++;
    m_hosts[index].isReady = false;
}

} // namespace quincefall::testing
