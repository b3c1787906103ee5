#include "operate/config_service.h"

#include "kernel/asio_headers.h"
#include "observe/timeline.h"

#include <deque>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr const char *configStream = "config";
constexpr milliseconds longPollTimeout{5000};
constexpr milliseconds retryPause{200};
constexpr milliseconds appendTimeout{1000};
constexpr milliseconds checkpointTimeout{10'000};
constexpr milliseconds outcomePollInterval{5};
constexpr std::size_t recentRecordLimit = 4096;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct config_service::state_data
{
    explicit state_data(dependencies wanted)
        : needs(std::move(wanted))
    {
    }

    dependencies needs;
    std::weak_ptr<state_data> self;
    config_state current;
    std::deque<log_record> recent;
    std::vector<std::function<void()>> listeners;
    std::vector<std::function<void(const config_effect &)>> recordListeners;
    std::uint64_t nextLogOffset = 0;
    bool isReady = false;
    bool isLogReachable = false;
    std::function<bool()> isCheckpointWriter;
    bool isWritingCheckpoint = false;
    bool isStopped = false;

    /// Applies @p record if it is the next one. Returns whether it was applied.
    bool apply(const log_record &record)
    {
        if (record.offset != current.next)
            return false;
        const config_effect effect = applyConfigRecord(current, record.offset, record.data);
        recent.push_back(record);
        if (recent.size() > recentRecordLimit)
            recent.pop_front();
        recordOutcome(effect);
        for (const auto &listener : recordListeners)
            listener(effect);
        return true;
    }

    void recordOutcome(const config_effect &effect)
    {
        if (!effect.outcome)
            return;
        const operation_outcome &outcome = *effect.outcome;
        const std::string resource = effect.changed ? toString(*effect.changed) : "";
        needs.events.record(effect.changed ? "config.applied" : "config.rejected", "", resource,
                            {{"offset", std::to_string(outcome.offset)},
                             {"operation", outcome.operation},
                             {"code", std::string(resultInfo(outcome.code).name)},
                             {"detail", outcome.detail}});
    }

    void notify()
    {
        for (const auto &listener : listeners)
            listener();
    }

    void setReachable(bool isReachable)
    {
        if (isReachable == isLogReachable)
            return;
        isLogReachable = isReachable;
        needs.events.record(isReachable ? "log.reachable" : "log.unreachable", "", configStream);
    }

    void setReady()
    {
        if (isReady)
            return;
        isReady = true;
        needs.events.record("config.ready", "", configStream,
                            {{"next", std::to_string(current.next)}});
    }

    void applyPage(const log_page &page)
    {
        bool hasChanged = false;
        nextLogOffset = page.nextOffset;
        for (const log_record &record : page.records)
            hasChanged |= apply(record);
        const bool wasReady = isReady;
        if (current.next >= page.nextOffset)
            setReady();
        if (hasChanged || !wasReady)
            notify();
    }

    void adopt(config_state newer)
    {
        if (newer.next <= current.next)
            return;
        current = std::move(newer);
        recent.clear();
        needs.events.record("config.adopted", "", configStream,
                            {{"next", std::to_string(current.next)}});
        notify();
    }

    /// Used when the log was truncated and no longer has the next record of this host. Reads from
    /// offset @p first, the oldest one that the log keeps, until a complete checkpoint restores a
    /// state with all records below @p first. follow() then applies the records after that state.
    static asio::awaitable<void> recover(std::shared_ptr<state_data> self, std::uint64_t first)
    {
        checkpoint_reader reader;
        std::uint64_t from = first;
        while (!self->isStopped && self->current.next < first) {
            const auto page = co_await self->needs.log.read(configStream, from, retryPause);
            if (!page || page->isTruncated)
                co_return;
            for (const log_record &record : page->records) {
                from = record.offset + 1;
                if (auto state = addCheckpointRecord(reader, record.data);
                    state && state->next >= first)
                    self->adopt(std::move(*state));
            }
        }
    }

    /// Appends a checkpoint of the current state. A duplicate checkpoint does no harm.
    static asio::awaitable<void> writeCheckpoint(std::shared_ptr<state_data> self)
    {
        self->isWritingCheckpoint = true;
        const std::string id = self->needs.hostName + "-" + std::to_string(self->current.next);
        auto records = encodeCheckpoint(self->current, id, self->needs.checkpoints);
        const auto appended
            = co_await self->needs.log.append(configStream, std::move(records), checkpointTimeout);
        self->needs.events.record("config.checkpoint", "", configStream,
                                  {{"id", id}, {"written", appended ? "yes" : "not known"}});
        self->isWritingCheckpoint = false;
    }

    void checkpointIfDue()
    {
        if (isWritingCheckpoint || !isReady || !isCheckpointWriter || !isCheckpointWriter())
            return;
        if (isCheckpointDue(current, needs.checkpoints))
            asio::co_spawn(needs.context, writeCheckpoint(self.lock()), asio::detached);
    }

    static asio::awaitable<void> follow(std::shared_ptr<state_data> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            // Reads do not wait for records until the host is ready. Otherwise a log without new
            // records would delay readiness by longPollTimeout.
            const milliseconds wait = self->isReady ? longPollTimeout : milliseconds(0);
            const auto page = co_await self->needs.log.read(configStream, self->current.next, wait);
            if (self->isStopped)
                co_return;
            self->setReachable(page.has_value());
            if (page && !page->isTruncated) {
                self->applyPage(*page);
                self->checkpointIfDue();
                continue;
            }
            if (page)
                co_await recover(self, page->oldestOffset);
            pause.expires_after(retryPause);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<config_service> config_service::makeConfigService(dependencies needs)
{
    return std::unique_ptr<config_service>(
        new config_service(std::make_shared<state_data>(std::move(needs))));
}

config_service::config_service(std::shared_ptr<state_data> shared)
    : m_state(std::move(shared))
{
    m_state->self = m_state;
}

config_service::~config_service()
{
    stop();
}

void config_service::start()
{
    asio::co_spawn(m_state->needs.context, state_data::follow(m_state), asio::detached);
}

void config_service::stop()
{
    m_state->isStopped = true;
    m_state->listeners.clear();
    m_state->isCheckpointWriter = nullptr;
    m_state->recordListeners.clear();
}

const config_state &config_service::state() const
{
    return m_state->current;
}

bool config_service::isReady() const
{
    return m_state->isReady;
}

bool config_service::isLogReachable() const
{
    return m_state->isLogReachable;
}

void config_service::setCheckpointWriter(std::function<bool()> isWriter)
{
    m_state->isCheckpointWriter = std::move(isWriter);
}

void config_service::onChange(std::function<void()> listener)
{
    m_state->listeners.push_back(std::move(listener));
}

void config_service::onRecordApplied(std::function<void(const config_effect &effect)> listener)
{
    m_state->recordListeners.push_back(std::move(listener));
}

std::uint64_t config_service::nextLogOffset() const
{
    return m_state->nextLogOffset;
}

asio::awaitable<result<operation_outcome>> config_service::publish(config_change change,
                                                                   milliseconds timeout)
{
    const auto self = m_state;
    const std::string operation = change.operation;
    const instant deadline = self->needs.clock.now() + timeout;
    std::vector<std::string> records{encodeChange(change)};
    const auto appended = co_await self->needs.log.append(configStream, std::move(records),
                                                          std::min(timeout, appendTimeout));
    if (!appended && appended.error().code == result_code::logUnavailable)
        co_return tl::unexpected(appended.error());
    asio::steady_timer pause(self->needs.context);
    while (self->needs.clock.now() < deadline && !self->isStopped) {
        if (const operation_outcome *outcome = findOutcome(self->current, operation)) {
            if (outcome->code != result_code::ok)
                co_return makeError(outcome->code, outcome->detail);
            co_return *outcome;
        }
        pause.expires_after(outcomePollInterval);
        co_await pause.async_wait(asTuple);
    }
    co_return makeError(result_code::writeUnknown,
                        "the outcome is not known yet; look it up as operation " + operation);
}

void config_service::adoptRecords(const std::vector<log_record> &records, std::uint64_t peerNext)
{
    bool hasChanged = false;
    for (const log_record &record : records)
        hasChanged |= m_state->apply(record);
    const bool becomesReady = !m_state->isReady && m_state->current.next >= peerNext;
    if (becomesReady)
        m_state->setReady();
    if (hasChanged || becomesReady)
        m_state->notify();
}

void config_service::adoptState(config_state newer)
{
    m_state->adopt(std::move(newer));
    m_state->setReady();
}

std::vector<log_record> config_service::recentRecords(std::uint64_t from) const
{
    const auto &recent = m_state->recent;
    if (recent.empty() || recent.front().offset > from)
        return {};
    const auto begin = std::min<std::uint64_t>(from - recent.front().offset, recent.size());
    return {recent.begin() + std::ptrdiff_t(begin), recent.end()};
}

} // namespace quincefall
