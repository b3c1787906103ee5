#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincefall::standin {

/// Parses @p text as a JSON object; empty when it is anything else.
std::optional<boost::json::object> parseObject(std::string_view text);

/// The text field @p name, or empty.
std::string textField(const boost::json::object &object, std::string_view name);

/// The number field @p name, or @p fallback.
std::int64_t numberField(const boost::json::object &object, std::string_view name,
                         std::int64_t fallback = 0);

/// The boolean field @p name, or @p fallback.
bool flagField(const boost::json::object &object, std::string_view name, bool fallback = false);

} // namespace quincefall::standin
