#pragma once

#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// A resource that an operator's file declares.
struct declared_resource
{
    std::string kind;
    std::string name;
    boost::json::object spec;
};

/// Reads YAML documents with the keys `kind`, `name` and `spec`. Returns the resources in an order
/// in which they can be created: a resource comes after all kinds that it may refer to. Plain
/// scalars become numbers, booleans or null only if that preserves their value: 007 or a digest
/// that consists of digits stays a string. Quoted scalars are always strings. Fails with
/// resourceInvalid and names the line.
result<std::vector<declared_resource>> readManifest(std::string_view yaml);

} // namespace quincefall
