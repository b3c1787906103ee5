#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall::standin {

/// Parses @p text as a JSON object. Empty when it is not one.
std::optional<boost::json::object> parseObject(std::string_view text);

/// The string field @p name; empty when it is missing or not a string.
std::string textField(const boost::json::object &object, std::string_view name);

/// The integer field @p name, or @p fallback when it is missing or not an integer.
std::int64_t numberField(const boost::json::object &object, std::string_view name,
                         std::int64_t fallback = 0);

/// The boolean field @p name, or @p fallback when it is missing or not a boolean.
bool flagField(const boost::json::object &object, std::string_view name, bool fallback = false);

} // namespace quincefall::standin
