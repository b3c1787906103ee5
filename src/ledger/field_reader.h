#pragma once

#include "kernel/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {

/// Reads the fields of a JSON object against a schema and collects every mistake.
class field_reader
{
public:
    field_reader(const boost::json::object &object, std::string path,
                 std::vector<std::string> &mistakes);

    bool has(std::string_view name) const;
    std::string text(std::string_view name, std::string fallback);
    std::string requiredText(std::string_view name);
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t lowest,
                         std::int64_t highest);
    std::int64_t requiredInteger(std::string_view name, std::int64_t lowest, std::int64_t highest);
    double number(std::string_view name, double fallback, double lowest, double highest);
    bool boolean(std::string_view name, bool fallback);
    std::vector<std::string> texts(std::string_view name);
    void objects(std::string_view name, const std::function<void(field_reader &)> &function);

    /// Adds a mistake about field @p name.
    void report(std::string_view name, std::string_view expected);

    /// Reports fields that nobody asked for.
    void rejectUnknown();

private:
    const boost::json::value *take(std::string_view name);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<std::string> &m_mistakes;
    std::vector<std::string> m_known;
};

} // namespace quincefall
