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

/// All kinds, in the order in which references allow them to be created.
inline constexpr resource_kind allResourceKinds[]
    = {resource_kind::serviceClass, resource_kind::organisation, resource_kind::pool,
       resource_kind::model, resource_kind::service};

struct resource_key
{
    resource_kind kind = resource_kind::pool;
    std::string name;

    auto operator<=>(const resource_key &) const = default;
};

/// "kind/name", for people and for the time line.
std::string toString(const resource_key &key);

/// Latency targets and priority that requests of a kind share.
struct service_class
{
    int tier = 1; ///< 1..4; 1 is served first.
    milliseconds firstTokenTarget{700};
    milliseconds tokenGapTarget{73};
    milliseconds maxWait{10'000}; ///< Longest time in the queue before a final answer.
    double share = 0; ///< Guaranteed share of a pool's slots, 0..0.5.

    bool operator==(const service_class &) const = default;
};

/// A customer of the fleet and its limits.
struct organisation
{
    std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, 64 hexadecimal digits.
    std::string defaultClass;
    std::vector<std::string> classes; ///< Allowed besides the default.
    std::uint32_t maxInFlight = 0; ///< Requests at once over the fleet; 0 means no limit.
    double weight = 1; ///< Relative share within a class.

    bool operator==(const organisation &) const = default;
};

/// One back end of a pool.
struct upstream
{
    std::string name;
    host_address address;
    std::string region;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests it is given at once.
    bool checksFencing = true; ///< Refuses orders with an old fencing number.

    bool operator==(const upstream &) const = default;
};

struct upstream_pool
{
    std::vector<upstream> upstreams;
    double crossRegionBytesPerSecond = 0; ///< Budget of the link between regions; 0: no limit.

    bool operator==(const upstream_pool &) const = default;
};

/// A model with the adapters and version that each engine of a pool should serve.
struct model
{
    std::string pool;
    std::string version = "1";
    std::vector<std::string> adapters;
    std::uint32_t replicas = 0; ///< Engines that should have it loaded; 0 means all.

    bool operator==(const model &) const = default;
};

/// A plain service beside the engines.
struct plain_service
{
    std::string pool;
    bool isRepeatable = false; ///< Calls may run more than once.
    milliseconds timeout{30'000};

    bool operator==(const plain_service &) const = default;
};

using resource_spec
    = std::variant<service_class, organisation, upstream_pool, model, plain_service>;

/// Checks @p spec against the schema of @p kind. Fails with resourceInvalid, naming every field
/// that is wrong.
result<resource_spec> parseResourceSpec(resource_kind kind, const boost::json::object &spec);

/// References of @p spec to other resources that must exist.
std::vector<resource_key> references(const resource_spec &spec);

/// True for names of 1..63 characters out of a-z, 0-9 and '-', beginning with a letter or digit.
bool isResourceName(std::string_view name);

} // namespace quincefall
