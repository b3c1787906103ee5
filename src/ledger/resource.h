#pragma once

#include "kernel/address.h"
#include "kernel/clock.h"
#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quincefall {

/// Kinds of resources that operators declare.
enum class resource_kind {
    serviceClass,
    organisation,
    pool,
    model,
    service,
};

/// Wire spelling of @p kind, such as "service_class".
std::string_view toString(resource_kind kind);

/// Reads the wire spelling. Fails with resourceInvalid.
result<resource_kind> parseResourceKind(std::string_view text);

/// All kinds, ordered so that each refers only to kinds before it.
inline constexpr resource_kind allResourceKinds[]
    = {resource_kind::serviceClass, resource_kind::organisation, resource_kind::pool,
       resource_kind::model, resource_kind::service};

struct resource_key
{
    resource_kind kind = resource_kind::pool;
    std::string name;

    auto operator<=>(const resource_key &) const = default;
};

/// "kind/name", for messages and the time line.
std::string toString(const resource_key &key);

/// Priority and latency targets of a class of requests.
struct service_class
{
    int tier = 1; ///< 1..4; 1 has the highest priority.
    milliseconds firstTokenTarget{700};
    milliseconds tokenGapTarget{73};
    milliseconds maxWait{10'000}; ///< Longest time in the queue before the request is rejected.
    double guaranteedShare = 0; ///< Fraction of a pool's slots, 0..0.5.

    bool operator==(const service_class &) const = default;
};

/// A customer of the fleet and its limits.
struct organisation
{
    std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, 64 hexadecimal digits.
    std::string defaultClass;
    std::vector<std::string> classes; ///< Allowed in addition to the default.
    std::uint32_t maxInFlight = 0; ///< Concurrent requests in the whole fleet; 0: no limit.
    double weight = 1; ///< Relative weight among organisations of a class.

    bool operator==(const organisation &) const = default;
};

/// A server of a pool.
struct upstream
{
    std::string name;
    host_address address;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Concurrent requests.
    bool checksFencing = true; ///< It rejects orders with an outdated fencing number.

    bool operator==(const upstream &) const = default;
};

struct upstream_pool
{
    std::vector<upstream> upstreams;
    double crossRegionBytesPerSecond = 0; ///< Limit of the link between regions; 0: none.

    bool operator==(const upstream_pool &) const = default;
};

/// A model with the version and adapters that engines of a pool should serve.
struct model
{
    std::string pool;
    std::string version = "1";
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Engines that should have it loaded; 0: all of the pool.

    bool operator==(const model &) const = default;
};

/// A service other than the model engines, called over HTTP.
struct plain_service
{
    std::string pool;
    bool isRepeatable = false; ///< Calls may run more than once.
    milliseconds timeout{30'000};

    bool operator==(const plain_service &) const = default;
};

using resource_spec
    = std::variant<service_class, organisation, upstream_pool, model, plain_service>;

/// Parses @p spec by the schema of @p kind. Fails with resourceInvalid; the error lists every
/// invalid field.
result<resource_spec> parseResourceSpec(resource_kind kind, const boost::json::object &spec);

/// The resources that @p spec refers to; they must exist.
std::vector<resource_key> references(const resource_spec &spec);

/// True for names of 1 to 63 characters from a-z, 0-9 and '-' that begin with a letter or digit.
bool isResourceName(std::string_view name);

} // namespace quincefall
