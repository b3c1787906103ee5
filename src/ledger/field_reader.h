#pragma once

#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Reads and validates the fields of a JSON object. Collects all errors instead of stopping at the
/// first; a field that is missing or invalid reads as its fallback.
class field_reader
{
public:
    field_reader(const boost::json::object &object, std::string path,
                 std::vector<std::string> &errors);

    bool has(std::string_view name) const;
    std::string text(std::string_view name, std::string fallback);
    std::string requiredText(std::string_view name);
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t minimum,
                         std::int64_t maximum);
    std::int64_t requiredInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum);
    double number(std::string_view name, double fallback, double minimum, double maximum);
    bool boolean(std::string_view name, bool fallback);
    std::vector<std::string> texts(std::string_view name);
    void objects(std::string_view name, const std::function<void(field_reader &)> &function);

    /// Adds the error "<name>: expected <expected>".
    void report(std::string_view name, std::string_view expected);

    /// Reports every field of the object that was not read.
    void rejectUnknown();

private:
    const boost::json::value *readField(std::string_view name);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_readFields;
};

} // namespace quincefall
