#pragma once

#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// A resource as an operator's file declares it.
struct declared_resource
{
    std::string kind;
    std::string name;
    boost::json::object spec;
};

/// Reads YAML documents with the keys `kind`, `name` and `spec`. The resources come in the order in
/// which references allow them to be created. Plain scalars become numbers, booleans or null only
/// where the value survives unchanged; quoted scalars are texts. Fails with resourceInvalid, naming
/// the document and the line.
result<std::vector<declared_resource>> readManifest(std::string_view yaml);

} // namespace quincefall
