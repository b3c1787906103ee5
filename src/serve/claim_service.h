#pragma once

#include "kernel/clock.h"
#include "ledger/claim_decisions.h"
#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quincefall {

class log_client;
class peer_mesh;
class timeline;

/// Ensures that each call which must not be repeated runs at most once, by claims in the log's
/// stream `claims`. Entries of several calls are batched into one append.
class claim_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        const log_client &log;
        peer_mesh &mesh;
        timeline &events;
        clock_source clock;
        std::string hostName;
        std::uint64_t incarnation = 0;
        /// Returns true when the process that made a claim may still be running.
        std::function<bool(const std::string &host, std::uint64_t incarnation)> mayBeRunning;
    };

    struct request
    {
        claim_key key;
        std::string digest; ///< Digest of the request; the same for each repetition.
        instant deadline; ///< Latest time at which the call may be sent.
        milliseconds serviceTimeout{0}; ///< Timeout of the call once it was sent.
    };

    /// The exclusive right to send the call. Must be ended with settle or release.
    struct grant
    {
        std::string attempt;
    };

    /// Result of a claim: the right to send, the stored response of an earlier run, or an error.
    using outcome = std::variant<grant, claim_result, problem>;

    static std::unique_ptr<claim_service> makeClaimService(dependencies needs);
    ~claim_service();

    void start();
    void stop();

    /// Sets the hosts that may make claims. While this host cannot claim in the log, it asks them
    /// whether a call was claimed.
    void setMembers(const std::vector<std::string> &names);

    /// Claims the call and waits for the decision. A grant is returned only after the claim has
    /// been read back from the log.
    boost::asio::awaitable<outcome> claim(request call);

    /// Whether a granted call may be sent now. Must be called directly before sending; a call may
    /// be sent only after true, and only once.
    bool mayStillSend(const std::string &attempt, instant deadline) const;

    /// Withdraws the claim of a granted call of which nothing was sent.
    void release(const std::string &attempt);

    /// Records the response of a granted call; without one the outcome stays unknown for good.
    void settle(const std::string &attempt, const std::optional<claim_result> &result);

    /// True when no entry of this process waits to be written to the log.
    bool isFlushed() const;

private:
    struct state;
    explicit claim_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

/// The part of a response that is stored for repetitions of the call. Of a body that is over 64 KiB
/// or not valid UTF-8, only the digest is stored.
claim_result makeClaimResult(int status, std::string_view contentType, std::string_view body);

} // namespace quincefall
