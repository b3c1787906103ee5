#include "ledger/field_reader.h"

#include <boost/json/value.hpp>

#include <algorithm>

namespace quincefall {
namespace {

std::string rangeText(std::int64_t lowest, std::int64_t highest)
{
    return "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
}

} // namespace

field_reader::field_reader(const boost::json::object &object, std::string path,
                           std::vector<std::string> &mistakes)
    : m_object(object)
    , m_path(std::move(path))
    , m_mistakes(mistakes)
{
}

bool field_reader::has(std::string_view name) const
{
    return m_object.contains(name);
}

std::string field_reader::text(std::string_view name, std::string fallback)
{
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return fallback;
    if (value->is_string() && !value->get_string().empty())
        return std::string(value->get_string());
    report(name, "a text");
    return fallback;
}

std::string field_reader::requiredText(std::string_view name)
{
    if (!has(name))
        report(name, "a text; the field is missing");
    return text(name, {});
}

std::int64_t field_reader::integer(std::string_view name, std::int64_t fallback,
                                   std::int64_t lowest, std::int64_t highest)
{
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return fallback;
    boost::system::error_code failure;
    const auto parsed = value->to_number<std::int64_t>(failure);
    if (!failure && parsed >= lowest && parsed <= highest)
        return parsed;
    report(name, rangeText(lowest, highest));
    return fallback;
}

std::int64_t field_reader::requiredInteger(std::string_view name, std::int64_t lowest,
                                           std::int64_t highest)
{
    if (!has(name))
        report(name, rangeText(lowest, highest) + "; the field is missing");
    return integer(name, lowest, lowest, highest);
}

double field_reader::number(std::string_view name, double fallback, double lowest, double highest)
{
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return fallback;
    boost::system::error_code failure;
    const auto parsed = value->to_number<double>(failure);
    if (!failure && parsed >= lowest && parsed <= highest)
        return parsed;
    report(name, "a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return fallback;
}

bool field_reader::boolean(std::string_view name, bool fallback)
{
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    report(name, "true or false");
    return fallback;
}

std::vector<std::string> field_reader::texts(std::string_view name)
{
    std::vector<std::string> found;
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return found;
    if (!value->is_array()) {
        report(name, "a list of texts");
        return found;
    }
    for (const boost::json::value &item : value->get_array()) {
        if (item.is_string())
            found.emplace_back(item.get_string());
        else
            report(name, "a list of texts");
    }
    return found;
}

void field_reader::objects(std::string_view name,
                           const std::function<void(field_reader &)> &function)
{
    const boost::json::value *value = take(name);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        report(name, "a list of objects");
        return;
    }
    std::size_t index = 0;
    for (const boost::json::value &item : value->get_array()) {
        const std::string path = m_path + std::string(name) + "[" + std::to_string(index++) + "]";
        if (!item.is_object()) {
            m_mistakes.push_back(path + ": expected an object");
            continue;
        }
        field_reader reader(item.get_object(), path + ".", m_mistakes);
        function(reader);
        reader.rejectUnknown();
    }
}

void field_reader::report(std::string_view name, std::string_view expected)
{
    m_mistakes.push_back(m_path + std::string(name) + ": expected " + std::string(expected));
}

void field_reader::rejectUnknown()
{
    for (const auto &entry : m_object) {
        if (std::find(m_known.begin(), m_known.end(), entry.key()) == m_known.end())
            m_mistakes.push_back(m_path + std::string(entry.key()) + ": no such field");
    }
}

const boost::json::value *field_reader::take(std::string_view name)
{
    m_known.emplace_back(name);
    return m_object.if_contains(name);
}

} // namespace quincefall
