#include "standin/token_text.h"

#define XXH_STATIC_LINKING_ONLY // Needed to hold and copy XXH64_state_t by value.
#include <xxhash.h>

#include <array>
#include <charconv>

namespace quincefall::standin {
namespace {

constexpr std::size_t prefixBytes = 256;
constexpr int hashDigits = 16;
constexpr std::size_t digitsPerToken = 8;

std::string toHex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bitsPerDigit = 4;
    std::string text(hashDigits, '0');
    for (int i = hashDigits - 1; i >= 0; --i, value >>= bitsPerDigit)
        text[std::size_t(i)] = digits[value & 0xf];
    return text;
}

} // namespace

struct token_text::state
{
    XXH64_state_t prompt;
};

token_text::token_text(std::string_view prompt)
    : m_state(std::make_unique<state>())
{
    XXH64_reset(&m_state->prompt, 0);
    XXH64_update(&m_state->prompt, prompt.data(), prompt.size());
}

token_text::~token_text() = default;

std::string token_text::token(std::int64_t number) const
{
    const std::string index = std::to_string(number);
    // Continues from the state after the prompt, so that the prompt is hashed only once.
    XXH64_state_t hash = m_state->prompt;
    XXH64_update(&hash, index.data(), index.size());
    return " w" + index + "-" + toHex(XXH64_digest(&hash)).substr(0, digitsPerToken);
}

std::string prefixHash(std::string_view prompt)
{
    const std::string_view prefix = prompt.substr(0, prefixBytes);
    return toHex(XXH64(prefix.data(), prefix.size(), 0));
}

} // namespace quincefall::standin
