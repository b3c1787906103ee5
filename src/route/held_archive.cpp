#include "route/held_archive.h"

#include "kernel/asio_headers.h"
#include "kernel/elapsed_time.h"
#include "observe/background_task.h"
#include "observe/log_setup.h"
#include "policy/keepers.h"
#include "route/hint_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds interval{500};
constexpr int maxReads = 10;
// Hosts that have run for this much longer know what is held. More than wall clocks differ by.
constexpr seconds knowsAfter{10};

} // namespace

struct held_archive::state : std::enable_shared_from_this<held_archive::state>
{
    state(asio::io_context &io, routing_state &target, state_source reader, const host_address &own,
          clock_source clocks, std::function<void()> listener)
        : timer(io)
        , context(io)
        , routing(target)
        , source(std::move(reader))
        , self(own)
        , clock(std::move(clocks))
        , onRead(std::move(listener))
        , started(clock.wall())
    {
    }

    asio::steady_timer timer;
    asio::io_context &context;
    routing_state &routing;
    state_source source;
    host_address self;
    clock_source clock;
    std::function<void()> onRead;
    wall_milliseconds started;
    bool isStopped = false;

    asio::awaitable<void> pause(microseconds time)
    {
        timer.expires_after(time);
        co_await timer.async_wait(asTuple);
    }

    bool hearsOfOlderHosts() const
    {
        const auto &hosts = routing.otherHostsLoad.hosts;
        return std::any_of(hosts.begin(), hosts.end(), [this](const auto &row) {
            return elapsed(wall_milliseconds(row.second.hint.started), started) > knowsAfter;
        });
    }

    asio::awaitable<bool> readOnce()
    {
        const auto records = co_await source.held();
        if (!records) {
            logInfo("held traits not read", {{"cause", records.error().detail}});
            co_return false;
        }
        crash_quarantine &quarantine = routing.quarantine;
        std::vector<std::uint64_t> read;
        for (const std::string &record : *records) {
            const auto told = decodeHeldTrait(record, clock.wall());
            if (!told)
                continue; // Not a record of this program.
            applySuspect(quarantine, *told, clock.now());
            read.push_back(told->trait);
        }
        if (updateQuarantine(routing, clock.now()))
            onRead();
        for (const std::uint64_t trait : read) {
            if (findHeld(quarantine, trait, clock.now()))
                quarantine.holdChanges.erase(trait);
            else
                quarantine.holdChanges.insert(trait); // Expired; to be withdrawn.
        }
        if (!records->empty())
            logInfo("held traits read",
                    {{"records", std::to_string(records->size())},
                     {"valid", std::to_string(read.size())}});
        co_return true;
    }

    asio::awaitable<void> storeOne(std::uint64_t trait)
    {
        const auto held = findHeld(routing.quarantine, trait, clock.now());
        std::optional<std::string> record;
        if (held)
            record = encodeHeldTrait(*held, clock.wall());
        const auto done = co_await source.storeHeld(formatTraitId(trait), std::move(record));
        if (done)
            co_return;
        logWarning("held trait not stored",
                   {{"trait", formatTraitId(trait)}, {"cause", done.error().detail}});
        routing.quarantine.holdChanges.insert(trait);
    }

    static asio::awaitable<void> run(std::shared_ptr<state> shared)
    {
        for (int reads = 0; reads < maxReads && !shared->isStopped; ++reads) {
            if (shared->hearsOfOlderHosts() || co_await shared->readOnce())
                break;
            co_await shared->pause(interval);
        }
        while (!shared->isStopped) {
            for (const std::uint64_t trait :
                 std::exchange(shared->routing.quarantine.holdChanges, {})) {
                if (isKeeper(trait, shared->routing.otherHostsLoad, shared->self))
                    co_await shared->storeOne(trait);
            }
            co_await shared->pause(interval);
        }
    }
};

std::unique_ptr<held_archive>
held_archive::makeHeldArchive(asio::io_context &context, routing_state &target, state_source source,
                              const host_address &self, clock_source clock,
                              std::function<void()> onRead)
{
    return std::unique_ptr<held_archive>(new held_archive(std::make_shared<state>(
        context, target, std::move(source), self, std::move(clock), std::move(onRead))));
}

held_archive::held_archive(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

held_archive::~held_archive()
{
    stop();
}

void held_archive::start()
{
    startService(m_state->context, "held archive",
                 [shared = m_state] { return state::run(shared); });
}

void held_archive::stop()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

} // namespace quincefall
