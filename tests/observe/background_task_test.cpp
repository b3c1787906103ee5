#include "observe/background_task.h"

#include "kernel/asio_headers.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

namespace quincefall {
namespace {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(background_task_tests)

BOOST_AUTO_TEST_CASE(an_unexpected_error_ends_one_task_and_not_the_process)
{
    asio::io_context context;
    int runs = 0;
    const auto fail = [&runs]() -> asio::awaitable<void> {
        ++runs;
        throw std::runtime_error("once");
        co_return;
    };
    startTask(context, "once", fail());
    asio::post(context, [] { throw std::runtime_error("handler"); });
    asio::post(context, [&runs] { ++runs; });
    runContext(context);
    BOOST_TEST(runs == 2);
}

BOOST_AUTO_TEST_CASE(a_service_that_fails_is_started_again_until_it_returns)
{
    asio::io_context context;
    int runs = 0;
    startService(context, "service", [&runs]() -> asio::awaitable<void> {
        if (++runs < 3)
            throw std::runtime_error("service");
        co_return;
    });
    runContext(context);
    BOOST_TEST(runs == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
