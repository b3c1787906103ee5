#include "route/duty_refusals.h"

#include <memory>
#include <utility>

namespace quincefall {
namespace {

namespace asio = boost::asio;

struct checked_calls
{
    duty_calls calls;
    duty_holder &holder;
};

using checked_ptr = std::shared_ptr<checked_calls>;

asio::awaitable<result<void>> orderEngines(checked_ptr checked, scaling_order order,
                                           std::uint64_t fence)
{
    auto ordered = co_await checked->calls.orderEngines(std::move(order), fence);
    if (ordered || ordered.error().code != result_code::fencingStale)
        co_return ordered;
    // The record is stored only if no other host has stored one since the token was given out, and
    // thus none has had a higher token.
    const auto committed = co_await checked->holder.commit();
    if (committed)
        co_return makeError(result_code::enginesUnavailable, ordered.error().detail);
    co_return ordered;
}

} // namespace

duty_calls tellRefusalsApart(duty_calls calls, duty_holder &holder)
{
    auto checked = std::make_shared<checked_calls>(checked_calls{std::move(calls), holder});
    duty_calls result = checked->calls;
    result.orderEngines = [checked](scaling_order order, std::uint64_t fence) {
        return orderEngines(checked, std::move(order), fence);
    };
    return result;
}

} // namespace quincefall
