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

/// Guards that a trial can take out, to see that the checks notice.
struct claim_guards
{
    bool firstClaimWins = true; ///< Off: a host sends without reading its claim back.
    bool asksPeers = true; ///< Off: a host that lost the log trusts its own book.
    bool abandons = true; ///< Off: an attempt whose caller was refused may still send.
};

/// What one run of a fleet did.
struct claim_counts
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t toldNotRun = 0;
    std::uint64_t toldUnknown = 0;
    std::uint64_t sameResults = 0;
    std::uint64_t faults = 0; ///< Kills, pauses, outages, lost and refused appends, lost answers.
    std::uint64_t ranTwice = 0; ///< Violation: runs of a key after its first.
    std::uint64_t falseNotRun = 0; ///< Violation: told "not run" after a run, or before its own.
    std::uint64_t wrongResults = 0; ///< Violation: another answer than the run gave.
};

/// Hosts that share a fake log and a counting service, driven step by step from one seed. Appends
/// land late, twice, out of order or not at all; hosts die, restart, pause and lose the log.
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
        bool isRefused = false; ///< Told "not run"; its attempt lives on only without a guard.
    };

    struct host
    {
        claim_table book;
        claim_attempts own;
        bool isAlive = true;
        bool isPaused = false;
        bool hasLog = true;
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
    void note(std::string_view what, std::size_t host, std::string_view detail);
    bool isAwake(const host &subject) const { return subject.isAlive && !subject.isPaused; }

    void step();
    void ask(std::size_t index);
    void answerFromBook(std::size_t index, std::size_t key, const claim_record &holder);
    void refuse(std::size_t index, std::size_t key);
    void tellNotRun(std::size_t index, std::size_t key);
    void append(std::size_t index);
    void land();
    void read(std::size_t index);
    void work(std::size_t index);
    void giveUp(std::size_t index, request subject);
    void deliverCall();
    void harm(std::size_t index);
    void restart(std::size_t index);

    std::mt19937_64 m_random;
    claim_guards m_guards;
    std::size_t m_calmActions; ///< Of 100 actions; the others do harm.
    claim_counts m_counts;
    std::string m_trace;
    instant m_now{};
    std::uint64_t m_nextIncarnation = 1;
    std::array<host, hostCount> m_hosts;
    std::vector<std::string> m_log;
    std::vector<std::string> m_inFlight; ///< Appends that have not landed.
    std::vector<call> m_calls; ///< Sent, not arrived.
    std::array<int, keyCount> m_runs{};
    std::array<int, keyCount> m_firstBody{};
};

} // namespace quincefall::testing
