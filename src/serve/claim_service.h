#pragma once

#include "kernel/clock.h"
#include "ledger/claim_answer.h"
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

/// Lets each call that may not be repeated run at most once, by claims in the log's stream
/// `claims`. Entries of many calls share one append.
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
        /// Whether the process that claimed may still be at work.
        std::function<bool(const std::string &host, std::uint64_t incarnation)> isAlive;
    };

    struct request
    {
        claim_key key;
        std::string digest; ///< Of all that makes the request the same one.
        instant deadline; ///< The call is not sent later than this.
        milliseconds serviceTimeout{0}; ///< Longest time that a sent call is waited for.
    };

    /// The only right to send the call; ends with settle or release.
    struct grant
    {
        std::string attempt;
    };

    /// What a claim leads to: the right to send, an earlier call's answer, or a refusal.
    using outcome = std::variant<grant, claim_result, problem>;

    static std::unique_ptr<claim_service> makeClaimService(dependencies needs);
    ~claim_service();

    void start();
    void stop();

    /// Names all hosts that may claim, so that a host which lost the log knows whom to ask.
    void setMembers(const std::vector<std::string> &names);

    /// Claims the call and waits until that is decided. A grant has been read back from the log.
    boost::asio::awaitable<outcome> claim(request wanted);

    /// Whether a granted call may be sent now; it must be asked right before, and only when it is
    /// true the call may be sent, once.
    bool mayStillSend(const std::string &attempt, instant deadline) const;

    /// Gives a granted call back of which nothing was sent.
    void release(const std::string &attempt);

    /// Records the answer of a granted call; without one its outcome is unknown for good.
    void settle(const std::string &attempt, const std::optional<claim_result> &result);

    /// True when the log has all that this process has to write.
    bool isFlushed() const;

private:
    struct state;
    explicit claim_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

/// The part of an answer that is kept for later askers. A body over 64 KiB, or one that
/// is not valid UTF-8, is kept by its digest only.
claim_result makeClaimResult(int status, std::string_view contentType, std::string_view body);

} // namespace quincefall
