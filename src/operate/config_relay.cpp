#include "operate/config_relay.h"

#include "kernel/asio_headers.h"
#include "observe/timeline.h"
#include "operate/config_service.h"
#include "peer.pb.h"
#include "peer/peer_mesh.h"

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr const char *configStream = "config";
constexpr milliseconds fetchTimeout{2000};
constexpr std::size_t maxRecordsPerResponse = 500;

} // namespace

struct config_relay::state
{
    explicit state(dependencies wanted)
        : needs(wanted)
    {
    }

    dependencies needs;
    bool isFetching = false;
    bool isStopped = false;

    asio::awaitable<result<std::string>> handleRecordsRequest(std::string body) const
    {
        wire::RecordsRequest request;
        if (!request.ParseFromString(body) || request.stream() != configStream)
            co_return makeError(result_code::messageInvalid,
                                "invalid RecordsRequest for the configuration stream");
        const config_state &current = needs.config.state();
        wire::RecordsResponse response;
        response.set_next(current.next);
        std::vector<log_record> records = needs.config.recentRecords(request.from());
        if (records.empty() && request.from() < current.next) {
            response.set_snapshot(dumpState(current));
            response.set_snapshot_next(current.next);
        }
        if (records.size() > maxRecordsPerResponse)
            records.resize(maxRecordsPerResponse);
        for (log_record &record : records) {
            wire::LogRecord *row = response.add_records();
            row->set_offset(record.offset);
            row->set_data(std::move(record.data));
        }
        co_return response.SerializeAsString();
    }

    void applyResponse(const wire::RecordsResponse &response) const
    {
        if (!response.snapshot().empty()) {
            if (auto newer = restoreState(response.snapshot()))
                needs.config.adoptState(std::move(*newer));
            return;
        }
        std::vector<log_record> records;
        for (const wire::LogRecord &row : response.records())
            records.push_back({row.offset(), row.data()});
        needs.config.adoptRecords(records, response.next());
    }

    static asio::awaitable<void> fetch(std::shared_ptr<state> self, std::string host)
    {
        wire::RecordsRequest request;
        request.set_stream(configStream);
        request.set_from(self->needs.config.state().next);
        const auto reply = co_await self->needs.mesh.call(
            host, "/records", request.SerializeAsString(), fetchTimeout);
        wire::RecordsResponse response;
        if (reply && !self->isStopped && response.ParseFromString(*reply))
            self->applyResponse(response);
        self->isFetching = false;
    }
};

std::unique_ptr<config_relay> config_relay::makeConfigRelay(dependencies needs)
{
    return std::unique_ptr<config_relay>(new config_relay(std::make_shared<state>(needs)));
}

config_relay::config_relay(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

config_relay::~config_relay()
{
    stop();
}

void config_relay::start()
{
    m_state->needs.mesh.handle("/records", [self = m_state](std::string body) {
        return self->handleRecordsRequest(std::move(body));
    });
}

void config_relay::stop()
{
    m_state->isStopped = true;
}

void config_relay::handlePeerOffset(const std::string &host, std::uint64_t offset)
{
    const config_state &current = m_state->needs.config.state();
    const bool isBehind = offset > current.next;
    const bool startsWithoutLog = offset > 0 && offset == current.next
        && !m_state->needs.config.isReady() && !m_state->needs.config.isLogReachable();
    if (m_state->isFetching || m_state->isStopped || (!isBehind && !startsWithoutLog))
        return;
    if (!isBehind)
        return m_state->needs.config.adoptRecords({}, offset);
    m_state->isFetching = true;
    asio::co_spawn(m_state->needs.context, state::fetch(m_state, host), asio::detached);
}

} // namespace quincefall
