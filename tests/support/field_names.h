#pragma once

#include <string>
#include <vector>

namespace quincefall {

/// Names with a blank, a control byte or another byte that no name of a field may hold, at their
/// begin, inside and at their end.
inline std::vector<std::string> invalidFieldNames()
{
    constexpr int byteCount = 256;
    const std::string separators = "\"(),/;<=>?@[\\]{}";
    std::vector<std::string> names;
    for (int byte = 0; byte < byteCount; ++byte) {
        const char one = char(byte);
        if (byte > ' ' && byte < '\x7f' && separators.find(one) == std::string::npos)
            continue;
        for (const std::string &name :
             {std::string(1, one) + "Content-Length", "Content" + std::string(1, one) + "Length",
              "Content-Length" + std::string(1, one)})
            names.push_back(name);
    }
    return names;
}

} // namespace quincefall
