#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace quincefall {

inline std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text.append(part);
    return text;
}

} // namespace quincefall
