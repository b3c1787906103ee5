#include "observe/output_appender.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace quincefall {
namespace {

// PIPE_BUF: a pipe that polls as writable accepts this many bytes at once, so that a write of at
// most this size does not block.
constexpr std::size_t maxLineBytes = 4'096;

bool isWritable(int descriptor)
{
    pollfd state{descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

bool writeLine(std::string line)
{
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line += '\n';
    }
    return isWritable(STDOUT_FILENO)
        && ::write(STDOUT_FILENO, line.data(), line.size()) == ssize_t(line.size());
}

class output_appender : public log4cxx::AppenderSkeleton
{
public:
    explicit output_appender(const log4cxx::LayoutPtr &layout)
        : AppenderSkeleton(layout)
        , m_layout(layout)
        , m_clock(makeSystemClock())
    {
    }

    void close() override { }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        if (!tryWithdrawLine(m_budget, m_clock.now())) {
            ++m_dropped;
            return;
        }
        if (m_dropped > 0 && !writeLine(droppedNotice())) {
            ++m_dropped;
            return;
        }
        m_dropped = 0;
        std::string line;
        m_layout->format(line, event, pool);
        if (!writeLine(std::move(line)))
            ++m_dropped;
    }

private:
    std::string droppedNotice() const
    {
        return "log lines dropped count=" + std::to_string(m_dropped) + "\n";
    }

    log4cxx::LayoutPtr m_layout;
    clock_source m_clock;
    line_budget m_budget;
    std::uint64_t m_dropped = 0;
};

} // namespace

bool tryWithdrawLine(line_budget &budget, instant now)
{
    if (budget.refilledAt != instant::min())
        budget.balance += toMilliseconds(now - budget.refilledAt) / 1000 * budget.linesPerSecond;
    budget.balance = std::min(budget.balance, budget.burst);
    budget.refilledAt = now;
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

log4cxx::AppenderPtr makeOutputAppender(const log4cxx::LayoutPtr &layout)
{
    return std::make_shared<output_appender>(layout);
}

} // namespace quincefall
