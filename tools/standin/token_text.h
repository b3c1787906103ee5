#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace quincefall::standin {

/// Deterministic answer to a prompt: token i is " w<i>-" and the first 8 hexadecimal digits of
/// XXH64(prompt followed by i in decimal), so that a client can verify an answer from its prompt.
class token_text
{
public:
    explicit token_text(std::string_view prompt);
    ~token_text();

    /// Text of token @p number, counted from 1.
    std::string token(std::int64_t number) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Hash of a prompt's first 256 bytes as 16 hexadecimal digits.
std::string prefixHash(std::string_view prompt);

} // namespace quincefall::standin
