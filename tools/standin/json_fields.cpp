#include "standin/json_fields.h"

#include <boost/json/parse.hpp>

namespace quincefall::standin {

std::optional<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code failure;
    boost::json::value value = boost::json::parse(text, failure);
    if (failure || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::string textField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t numberField(const boost::json::object &object, std::string_view name,
                         std::int64_t fallback)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return fallback;
    boost::system::error_code failure;
    const auto number = value->to_number<std::int64_t>(failure);
    return failure ? fallback : number;
}

bool flagField(const boost::json::object &object, std::string_view name, bool fallback)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

} // namespace quincefall::standin
