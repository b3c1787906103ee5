#include "operate/operator_answers.h"

#include "serve/http_server.h"
#include "serve/respond.h"

#include <charconv>

namespace quincefall {
namespace {

constexpr milliseconds writeRetryAfter{1000};

} // namespace

boost::asio::awaitable<void> refuseOperator(http_exchange &exchange, result_code code,
                                            std::string detail)
{
    problem answer{code, std::move(detail), run_state::notRun, {}};
    if (answer.code == result_code::writeUnknown)
        answer.run = run_state::unknown;
    if (answer.code == result_code::writeUnknown || answer.code == result_code::logUnavailable)
        answer.retryAfter = writeRetryAfter;
    co_await respondProblem(exchange, std::move(answer), std::string());
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t version = 0;
    const auto [end, failure] = std::from_chars(text.begin(), text.end(), version);
    if (failure != std::errc() || end != text.end() || text.empty())
        return std::nullopt;
    return version;
}

} // namespace quincefall
