#pragma once

#include "kernel/clock.h"
#include "kernel/result.h"
#include "serve/problem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

class metrics;
class peer_mesh;
class timeline;

/// What this host needs to know of the fleet to find the owner of a queue.
struct queue_owner_lookup
{
    /// Name of the host that owns @p key now; empty when there is none.
    std::function<std::string(std::string_view key)> ownerOf;
};

/// A request for a place on an upstream of a pool.
struct permit_query
{
    std::string pool;
    std::string requestId;
    std::string organisation;
    std::string serviceClass;
    std::string model;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t resumeFrom = 0;
    std::vector<std::string> excluded;
    instant arrival;
    milliseconds maxWait{10'000};
};

/// A place on an upstream, to be given back by release.
struct permit
{
    std::string pool;
    std::string requestId;
    std::string organisation;
    std::string serviceClass;
    std::string upstream;
    std::uint64_t number = 0;
    instant since;
};

/// What an attempt came to, told to the queue's owner.
struct attempt_usage
{
    std::uint32_t tokens = 0;
    microseconds timeToFirstToken{0};
    microseconds duration{0};
    bool failed = false;
    bool stopped = false; ///< Before its end, by the caller or to go on elsewhere.
};

/// Asks the owners of queues for permits on behalf of this entry host, and keeps asking the next
/// owner when one is lost.
class permit_client
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        timeline &events;
        clock_source clock;
        queue_owner_lookup fleet;
        std::string hostName;
        std::string region;
        metrics &meters;
    };

    static std::unique_ptr<permit_client> makePermitClient(dependencies needs);
    ~permit_client();

    void start();
    void stop();

    /// Waits for a permit or a final refusal. @p isCancelled, set by the caller's side, ends the
    /// wait with the code `cancelled`.
    boost::asio::awaitable<tl::expected<permit, problem>>
    acquire(permit_query query, std::shared_ptr<bool> isCancelled);

    /// Ends the wait of @p requestId at the queue's owner.
    void abandon(const std::string &pool, const std::string &requestId);

    /// Gives back @p used.
    void release(const permit &used, const attempt_usage &usage);

    /// Tells the queue's owner that @p held progresses at @p tokensPerSecond, too slow for its
    /// class.
    void reportSlow(const permit &held, double tokensPerSecond);

    /// Tells new owners of this host's permits in use; to be called when members change.
    void announceHeldPermits();

private:
    struct state;
    explicit permit_client(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
