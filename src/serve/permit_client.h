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

/// Finds the host that owns a queue.
struct queue_owner_lookup
{
    /// Returns the name of the current owner of @p key; empty when there is none.
    std::function<std::string(std::string_view key)> ownerOf;
};

/// A request for a slot on any upstream of a pool.
struct permit_query
{
    std::string pool;
    std::string requestId;
    std::string organisation;
    std::string serviceClass;
    std::string model;
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t resumeFrom = 0; ///< Tokens already delivered; 0 for a new request.
    std::vector<std::string> excluded; ///< Upstreams that must not be chosen.
    instant arrival;
    milliseconds maxWait{10'000};
};

/// The right to use a slot on an upstream until permit_client::release.
struct permit
{
    std::string pool;
    std::string requestId;
    std::string organisation;
    std::string serviceClass;
    std::string upstream;
    std::uint64_t number = 0;
    instant grantedAt;
};

/// Resource use and end of an attempt, reported to the queue's owner.
struct attempt_usage
{
    std::uint32_t tokens = 0;
    microseconds timeToFirstToken{0};
    microseconds duration{0};
    bool failed = false;
    bool stopped = false; ///< Ended early: abandoned, moved or not started.
};

/// Acquires permits from queue owners on behalf of this entry host. When an owner is lost, the
/// query is sent to the next one.
class permit_client
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        timeline &events;
        clock_source clock;
        queue_owner_lookup owners;
        std::string hostName;
        std::string region;
        metrics &meters;
    };

    static std::unique_ptr<permit_client> makePermitClient(dependencies needs);
    ~permit_client();

    void start();
    void stop();

    /// Waits for a permit or a final refusal. Once @p isCancelled is set, no further owner is asked
    /// and the wait ends with the code `cancelled`; cancelAcquire ends it at the current owner.
    boost::asio::awaitable<tl::expected<permit, problem>>
    acquire(permit_query query, std::shared_ptr<bool> isCancelled);

    /// Asks the queue's owner to drop the waiting request @p requestId.
    void cancelAcquire(const std::string &pool, const std::string &requestId);

    /// Returns @p held to the queue's owner.
    void release(const permit &held, const attempt_usage &usage);

    /// Reports to the queue's owner that the attempt under @p held runs at @p tokensPerSecond,
    /// below the target of its class.
    void reportSlow(const permit &held, double tokensPerSecond);

    /// Announces the permits that this host holds to new queue owners. Must be called after each
    /// change of the fleet's members.
    void announceHeldPermits();

private:
    struct state;
    explicit permit_client(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
