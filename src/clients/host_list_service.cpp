#include "clients/host_list_service.h"

#include "kernel/asio_headers.h"
#include "observe/timeline.h"

#include <algorithm>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr milliseconds pollInterval{500};
constexpr milliseconds readTimeout{1000};
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct host_list_service::state
{
    explicit state(dependencies values)
        : needs(std::move(values))
    {
    }

    dependencies needs;
    std::vector<listed_host> hosts;
    std::vector<std::function<void()>> listeners;
    bool isReachable = true;
    bool isStopped = false;

    void recordNewlyLeaving(const std::vector<listed_host> &latest)
    {
        for (const listed_host &host : latest) {
            const auto previous = std::find_if(hosts.begin(), hosts.end(), [&](const auto &entry) {
                return entry.name == host.name;
            });
            if (host.isLeaving && (previous == hosts.end() || !previous->isLeaving))
                needs.events.record("host.leaving", "", host.name);
        }
    }

    void applyList(std::vector<listed_host> latest)
    {
        if (latest == hosts)
            return;
        recordNewlyLeaving(latest);
        hosts = std::move(latest);
        for (const auto &listener : listeners)
            listener();
    }

    void setReachable(bool value)
    {
        if (value != isReachable)
            needs.events.record(value ? "hosts.reachable" : "hosts.unreachable", "", "hosts");
        isReachable = value;
    }

    static asio::awaitable<void> poll(std::shared_ptr<state> self)
    {
        asio::steady_timer pause(self->needs.context);
        while (!self->isStopped) {
            auto list = co_await readHostList(self->needs.client, self->needs.address, readTimeout);
            if (self->isStopped)
                co_return;
            self->setReachable(list.has_value());
            // When a read fails, the last list stays in use.
            if (list)
                self->applyList(std::move(*list));
            pause.expires_after(pollInterval);
            co_await pause.async_wait(asTuple);
        }
    }
};

std::unique_ptr<host_list_service> host_list_service::makeHostListService(dependencies needs)
{
    return std::unique_ptr<host_list_service>(
        new host_list_service(std::make_shared<state>(std::move(needs))));
}

host_list_service::host_list_service(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

host_list_service::~host_list_service()
{
    stop();
}

void host_list_service::start()
{
    asio::co_spawn(m_state->needs.context, state::poll(m_state), asio::detached);
}

void host_list_service::stop()
{
    m_state->isStopped = true;
    m_state->listeners.clear();
}

const std::vector<listed_host> &host_list_service::hosts() const
{
    return m_state->hosts;
}

bool host_list_service::isLeavingUpstream(std::string_view name) const
{
    return std::any_of(m_state->hosts.begin(), m_state->hosts.end(), [name](const auto &host) {
        return !host.isEntry && host.isLeaving && host.name == name;
    });
}

void host_list_service::onChange(std::function<void()> listener)
{
    m_state->listeners.push_back(std::move(listener));
}

} // namespace quincefall
