#include "ledger/field_reader.h"

#include <boost/json/value.hpp>

#include <algorithm>

namespace quincefall {
namespace {

std::string describeRange(std::int64_t minimum, std::int64_t maximum)
{
    return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

} // namespace

field_reader::field_reader(const boost::json::object &object, std::string path,
                           std::vector<std::string> &errors)
    : m_object(object)
    , m_path(std::move(path))
    , m_errors(errors)
{
}

bool field_reader::has(std::string_view name) const
{
    return m_object.contains(name);
}

std::string field_reader::text(std::string_view name, std::string fallback)
{
    const boost::json::value *value = readField(name);
    if (value == nullptr)
        return fallback;
    if (value->is_string() && !value->get_string().empty())
        return std::string(value->get_string());
    report(name, "a string");
    return fallback;
}

std::string field_reader::requiredText(std::string_view name)
{
    if (!has(name))
        report(name, "a string; the field is missing");
    return text(name, {});
}

std::int64_t field_reader::integer(std::string_view name, std::int64_t fallback,
                                   std::int64_t minimum, std::int64_t maximum)
{
    const boost::json::value *value = readField(name);
    if (value == nullptr)
        return fallback;
    boost::system::error_code failure;
    const auto parsed = value->to_number<std::int64_t>(failure);
    if (!failure && parsed >= minimum && parsed <= maximum)
        return parsed;
    report(name, describeRange(minimum, maximum));
    return fallback;
}

std::int64_t field_reader::requiredInteger(std::string_view name, std::int64_t minimum,
                                           std::int64_t maximum)
{
    if (!has(name))
        report(name, describeRange(minimum, maximum) + "; the field is missing");
    return integer(name, minimum, minimum, maximum);
}

double field_reader::number(std::string_view name, double fallback, double minimum, double maximum)
{
    const boost::json::value *value = readField(name);
    if (value == nullptr)
        return fallback;
    boost::system::error_code failure;
    const auto parsed = value->to_number<double>(failure);
    if (!failure && parsed >= minimum && parsed <= maximum)
        return parsed;
    report(name, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

bool field_reader::boolean(std::string_view name, bool fallback)
{
    const boost::json::value *value = readField(name);
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
    const boost::json::value *value = readField(name);
    if (value == nullptr)
        return found;
    if (!value->is_array()) {
        report(name, "a list of strings");
        return found;
    }
    for (const boost::json::value &item : value->get_array()) {
        if (item.is_string())
            found.emplace_back(item.get_string());
        else
            report(name, "a list of strings");
    }
    return found;
}

void field_reader::objects(std::string_view name,
                           const std::function<void(field_reader &)> &function)
{
    const boost::json::value *value = readField(name);
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
            m_errors.push_back(path + ": expected an object");
            continue;
        }
        field_reader reader(item.get_object(), path + ".", m_errors);
        function(reader);
        reader.rejectUnknown();
    }
}

void field_reader::report(std::string_view name, std::string_view expected)
{
    m_errors.push_back(m_path + std::string(name) + ": expected " + std::string(expected));
}

void field_reader::rejectUnknown()
{
    for (const auto &entry : m_object) {
        if (std::find(m_readFields.begin(), m_readFields.end(), entry.key()) == m_readFields.end())
            m_errors.push_back(m_path + std::string(entry.key()) + ": no such field");
    }
}

const boost::json::value *field_reader::readField(std::string_view name)
{
    m_readFields.emplace_back(name);
    return m_object.if_contains(name);
}

} // namespace quincefall
