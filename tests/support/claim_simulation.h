#pragma once

#include "ledger/claim_decisions.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quincefall::testing {

/// Safeguards of the protocol. Tests turn single ones off to verify that the counters then show
/// violations.
struct claim_guards
{
    bool firstClaimWins = true; ///< Off: a host sends before its claim is read back.
    bool asksPeers = true; ///< Off: a host without the log relies on its own table only.
    bool abandons = true; ///< Off: an attempt may send after its request was refused.
};

/// Event counts of a run; all violations must be 0.
struct claim_counts
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t toldNotRun = 0;
    std::uint64_t toldUnknown = 0;
    std::uint64_t sameResults = 0;
    std::uint64_t faults = 0; ///< Kills, pauses, outages, lost and refused appends, lost answers.
    std::uint64_t ranTwice = 0; ///< Violation: executions of a key after its first.
    std::uint64_t falseNotRun = 0; ///< Violation: answered "not run" for a key that ran or may run.
    std::uint64_t wrongResults = 0; ///< Violation: replayed result differs from the first run's.
};

/// Simulates hosts that share a log and a service that counts its calls. One seed determines all
/// steps. Appends arrive late, twice, out of order or not at all; hosts crash, restart, pause and
/// lose the connection to the log.
class claim_simulation
{
public:
    explicit claim_simulation(std::uint64_t seed, claim_guards guards = {});

    /// Takes @p steps random steps.
    void run(int steps);

    const claim_counts &counts() const { return m_counts; }
    const std::string &trace() const { return m_trace; }

private:
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t keyCount = 2;

    struct request
    {
        std::size_t host = 0;
        std::size_t key = 0;
        std::string attempt;
        instant deadline;
        bool isRefused = false; ///< Answered "not run" while its attempt goes on (guard off).
    };

    struct host
    {
        claim_table table;
        claim_attempts own;
        bool isAlive = true;
        bool isPaused = false;
        bool isLogReachable = true;
        bool isReady = true;
        std::vector<request> requests;
    };

    struct call
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        std::size_t key = 0;
        std::string attempt;
        bool isRefused = false;
    };

    bool chance(int percent);
    std::size_t pick(std::size_t size);
    void recordEvent(std::string_view what, std::size_t host, std::string_view detail);
    bool isRunning(const host &subject) const { return subject.isAlive && !subject.isPaused; }

    void step();
    void submitRequest(std::size_t index);
    void answerFromTable(std::size_t index, std::size_t key, const claim_record &holder);
    void refuse(std::size_t index, std::size_t key);
    void answerNotRun(std::size_t index, std::size_t key);
    void append(std::size_t index);
    void deliverAppend();
    void read(std::size_t index);
    void advanceRequest(std::size_t index);
    void giveUp(std::size_t index, request subject);
    void deliverCall();
    void injectFault(std::size_t index);
    void restart(std::size_t index);

    std::mt19937_64 m_random;
    claim_guards m_guards;
    std::size_t m_faultThreshold; ///< Actions from this to 99 inject a fault.
    claim_counts m_counts;
    std::string m_trace;
    instant m_now{};
    std::uint64_t m_nextIncarnation = 1;
    std::array<host, hostCount> m_hosts;
    std::vector<std::string> m_log;
    std::vector<std::string> m_inFlight; ///< Appends that have not reached the log.
    std::vector<call> m_calls; ///< Sent, not yet executed.
    std::array<int, keyCount> m_runs{};
    std::array<int, keyCount> m_firstRun{};
};

} // namespace quincefall::testing
