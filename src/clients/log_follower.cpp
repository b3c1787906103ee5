#include "clients/log_follower.h"

#include "kernel/asio_headers.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds readWait{1000};
constexpr milliseconds retryPause{200};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct log_follower::state
{
    explicit state(dependencies values)
        : needs(std::move(values))
    {
    }

    dependencies needs;
    bool isReachable = false;
    bool isStopped = false;
    bool hasRead = false;

    void setReachable(bool value)
    {
        if (value == isReachable)
            return;
        isReachable = value;
        needs.onReachable(value);
    }

    static asio::awaitable<void> follow(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            // The first read does not wait for records, so that onPage is called at once even when
            // the stream has no new ones.
            const milliseconds wait = self->hasRead ? readWait : milliseconds(0);
            const std::uint64_t from = self->needs.nextOffset();
            const auto page = co_await self->needs.log.read(self->needs.stream, from, wait);
            if (self->isStopped)
                co_return;
            if (page) {
                self->hasRead = true;
                self->needs.onPage(*page);
            }
            self->setReachable(page.has_value());
            if (page && !page->isTruncated)
                continue;
            pause.expires_after(retryPause);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<log_follower> log_follower::makeLogFollower(dependencies needs)
{
    return std::unique_ptr<log_follower>(
        new log_follower(std::make_shared<state>(std::move(needs))));
}

log_follower::log_follower(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

log_follower::~log_follower()
{
    stop();
}

void log_follower::start()
{
    asio::co_spawn(m_state->needs.context, state::follow(m_state), asio::detached);
}

void log_follower::stop()
{
    m_state->isStopped = true;
}

bool log_follower::isReachable() const
{
    return m_state->isReachable;
}

} // namespace quincefall
