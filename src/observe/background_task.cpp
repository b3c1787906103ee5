#include "observe/background_task.h"

#include "kernel/asio_headers.h"
#include "kernel/clock.h"
#include "observe/log_setup.h"

#include <exception>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds restartPause{500};

std::string describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &reason) {
        return reason.what();
    } catch (...) {
        return "not a std::exception";
    }
}

void logUnexpected(const std::string &name, const std::string &cause)
{
    logError("unexpected error", {{"task", name}, {"cause", cause}});
}

asio::awaitable<void> runService(std::string name, std::function<asio::awaitable<void>()> makeTask)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        std::exception_ptr failure;
        try {
            co_await makeTask();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        logUnexpected(name, describe(failure));
        timer.expires_after(restartPause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

void startTask(asio::io_context &context, std::string name, asio::awaitable<void> task)
{
    asio::co_spawn(context, std::move(task),
                   [name = std::move(name)](const std::exception_ptr &failure) {
                       if (failure)
                           logUnexpected(name, describe(failure));
                   });
}

void startService(asio::io_context &context, std::string name,
                  std::function<asio::awaitable<void>()> makeTask)
{
    startTask(context, name, runService(name, std::move(makeTask)));
}

void runContext(asio::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &failure) {
            logUnexpected("event loop", failure.what());
        }
    }
}

} // namespace quincefall
