#include "operate/lease_service.h"

#include "clients/log_follower.h"
#include "kernel/asio_headers.h"
#include "ledger/lease_candidate.h"
#include "observe/timeline.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr const char *leaseStream = "leases";
constexpr milliseconds checkInterval{100};
constexpr milliseconds appendTimeout{1000};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct lease_service::state
{
    explicit state(dependencies wanted)
        : needs(std::move(wanted))
    {
        self.lease = needs.lease;
        self.host = needs.hostName;
        self.incarnation = needs.incarnation;
        self.timing = needs.timing;
    }

    dependencies needs;
    lease_table table;
    lease_candidate self;
    std::unique_ptr<log_follower> follower;
    bool isReady = false;
    bool isStopped = false;

    lease_state current() const { return leaseOf(table, needs.lease); }

    void applyPage(const log_page &page)
    {
        if (page.isTruncated) {
            table.next = std::max(table.next, page.oldestOffset);
            return;
        }
        for (const log_record &record : page.records) {
            if (record.offset < table.next)
                continue;
            if (const auto applied = applyLeaseRecord(table, record.offset, record.data))
                handleEntry(*applied, record.offset);
        }
        isReady = isReady || table.next >= page.nextOffset;
        watchLease(self.watch, current(), needs.clock.now());
    }

    void handleEntry(const lease_entry &entry, std::uint64_t offset)
    {
        handleAppliedRecord(self, entry, offset);
        if (entry.action != lease_action::renew)
            needs.events.record(entry.action == lease_action::take ? "lease.taken" : "lease.freed",
                                "", entry.lease,
                                {{"holder", entry.holder}, {"offset", std::to_string(offset)}});
    }

    static asio::awaitable<void> run(std::shared_ptr<state> shared)
    {
        asio::steady_timer pause(shared->needs.context);
        while (!shared->isStopped) {
            std::optional<lease_entry> entry;
            if (shared->isReady)
                entry = nextLeaseEntry(shared->self, shared->table, shared->needs.clock.now());
            if (entry) {
                std::vector<std::string> records{encodeLease(*entry)};
                // The result is not needed: if the record was written, it takes effect when the
                // follower reads it.
                co_await shared->needs.log.append(leaseStream, std::move(records), appendTimeout);
            }
            pause.expires_after(checkInterval);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<lease_service> lease_service::makeLeaseService(dependencies needs)
{
    auto shared = std::make_shared<state>(std::move(needs));
    state *raw = shared.get();
    shared->follower = log_follower::makeLogFollower(
        {raw->needs.context, raw->needs.log, leaseStream, [raw] { return raw->table.next; },
         [raw](const log_page &page) { raw->applyPage(page); }, [](bool) {}});
    return std::unique_ptr<lease_service>(new lease_service(std::move(shared)));
}

lease_service::lease_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

lease_service::~lease_service()
{
    stop();
}

void lease_service::start()
{
    m_state->follower->start();
    asio::co_spawn(m_state->needs.context, state::run(m_state), asio::detached);
}

void lease_service::stop()
{
    m_state->isStopped = true;
    m_state->follower->stop();
}

bool lease_service::mayAct() const
{
    return quincefall::mayAct(m_state->self, m_state->needs.clock.now());
}

std::uint64_t lease_service::fence() const
{
    return m_state->self.hold.fence;
}

lease_state lease_service::leaseState() const
{
    return m_state->current();
}

void lease_service::giveUp()
{
    quincefall::giveUp(m_state->self);
}

} // namespace quincefall
