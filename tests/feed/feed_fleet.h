#pragma once

#include "route/feed.h"
#include "route/load_exchange.h"
#include "route/peer_calls.h"
#include "serve/http_server.h"
#include "support/slow_link.h"

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quincefall::testing {

constexpr milliseconds leaveTime{4'000}; // In which a leaving has to be known everywhere.
constexpr milliseconds applyTime{4'000}; // In which a desired state has to be in force everywhere.

/// Text of a desired state: its version, and routes with names that do not repeat.
inline std::string makeDesiredText(std::uint64_t version, int routes)
{
    static constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::mt19937 random(7);
    const auto word = [&random](int length) {
        std::string text;
        for (int index = 0; index < length; ++index)
            text += letters[random() % letters.size()];
        return text;
    };
    std::string text = std::to_string(version) + "\n";
    for (int route = 0; route < routes; ++route)
        text += R"({"name":"r-)" + word(7) + R"(","authority":"rounds.example","path_prefix":"/)"
            + word(8)
            + R"(/","route_type":"idempotent","timeout_ms":1200,"target_latency_ms":200,)"
              R"("priority":2,"service":"desk"},)";
    return text;
}

/// The store: one desired state, whose version is also its offset.
class desired_store
{
public:
    explicit desired_store(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void publish(std::uint64_t version, std::string text)
    {
        m_version = version;
        m_text = std::move(text);
    }

    /// Publishes a version that no host can read.
    void publishUnreadable(std::uint64_t version) { publish(version, ""); }

    /// Sets whether the store's answers end before its newest record.
    void setPartial(bool isPartial) { m_isPartial = isPartial; }

    void announceLeaving() { m_isLeaving = true; }

    /// Makes calls of a host fail.
    void setAccess(int host, bool hasAccess) { m_access[host] = hasAccess; }

    state_source makeSource(int host)
    {
        state_source source;
        source.desired = [this, host](std::optional<store_position> from, milliseconds wait) {
            m_readAt[host] = std::chrono::steady_clock::now();
            return read(host, from ? from->offset : 0, wait);
        };
        source.upstreams = [this, host](std::optional<store_position> from, milliseconds) {
            m_readAt[host] = std::chrono::steady_clock::now();
            return readUpstreams(host, from);
        };
        source.decodeDesired
            = [](const std::string &text) -> result<desired_state> { return decode(text); };
        return source;
    }

    /// Whether a host has begun a read of the store within @p time.
    bool hasRead(int host, milliseconds time) const
    {
        const auto found = m_readAt.find(host);
        return found != m_readAt.end() && std::chrono::steady_clock::now() - found->second < time;
    }

private:
    static desired_state decode(const std::string &text)
    {
        desired_state desired;
        std::from_chars(text.data(), text.data() + text.size(), desired.version);
        return desired;
    }

    boost::asio::awaitable<void> pause(milliseconds time)
    {
        boost::asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    bool hasAccess(int host) const
    {
        const auto found = m_access.find(host);
        return found == m_access.end() || found->second;
    }

    boost::asio::awaitable<result<desired_page>> read(int host, std::uint64_t from,
                                                      milliseconds wait)
    {
        const auto end = std::chrono::steady_clock::now() + wait;
        while (hasAccess(host) && m_version <= from && std::chrono::steady_clock::now() < end)
            co_await pause(milliseconds(5));
        if (!hasAccess(host))
            co_return makeError(result_code::logUnavailable, "no path to the store");
        desired_page page;
        page.next = {1, m_version};
        page.isComplete = from + 1 >= m_version;
        page.isWhole = !m_isPartial;
        page.isNewestUnreadable = m_version > from && m_text.empty();
        if (m_version > from && !m_text.empty()) {
            page.newest = decode(m_text);
            page.text = m_text;
        }
        co_return page;
    }

    /// Record n of the list is upstream n; the last one says that upstream 1 is leaving.
    boost::asio::awaitable<result<upstream_page>> readUpstreams(int host,
                                                                std::optional<store_position> from)
    {
        co_await pause(milliseconds(5));
        if (!hasAccess(host))
            co_return makeError(result_code::logUnavailable, "no path to the store");
        upstream_page page;
        page.isSnapshot = !from;
        page.next = {1, m_upstreams + (m_isLeaving ? 1U : 0U)};
        for (std::uint64_t record = from ? from->offset + 1 : 1; record <= page.next.offset;
             ++record)
            page.changes.push_back(makeChange(record));
        co_return page;
    }

    upstream_change makeChange(std::uint64_t record) const
    {
        const bool isLeaving = record > m_upstreams;
        upstream_entry entry;
        entry.id = "upstream-" + std::to_string(isLeaving ? 1 : record);
        entry.service = "engines";
        entry.address = {"10.0.0.1", 80};
        entry.slots = 24;
        entry.isLeaving = isLeaving;
        return {entry.id, entry, std::int64_t(record), record};
    }

    boost::asio::io_context &m_context;
    std::uint64_t m_upstreams = 140;
    bool m_isLeaving = false;
    bool m_isPartial = false;
    std::map<int, std::chrono::steady_clock::time_point> m_readAt; ///< By host.
    std::map<int, bool> m_access; ///< By host; true for those that are missing.
    std::uint64_t m_version = 0;
    std::string m_text;
};

/// Hosts with their feeds, answers and hints, each on its own loopback address and behind its own
/// slow link.
class feed_fleet
{
public:
    feed_fleet(boost::asio::io_context &context, int hosts, double linkBytesPerSecond)
        : m_context(context)
        , m_store(context)
        , m_clock(makeSystemClock())
    {
        for (int index = 0; index < hosts; ++index)
            m_hosts.push_back(makeHost(index, linkBytesPerSecond));
        for (int index = 0; index < hosts; ++index)
            startHost(index);
    }

    desired_store &store() { return m_store; }

    std::size_t sentBytes() const
    {
        std::size_t sum = 0;
        for (const auto &host : m_hosts)
            sum += host->link->sentBytes();
        return sum;
    }

    fleet_load &hintsAt(int host) { return m_hosts.at(std::size_t(host))->routing.otherHostsLoad; }

    /// Age of the last time that a host's desired state was known to be the newest.
    milliseconds desiredAgeAt(int host)
    {
        return std::chrono::floor<milliseconds>(m_clock.now() - routingAt(host).desiredConfirmedAt);
    }

    /// Ends a host's process and starts it again.
    void restart(int host)
    {
        feed_host &self = *m_hosts.at(std::size_t(host));
        self.reader->stop();
        self.exchange->stop();
        runFor(applyTime);
        self.exchange.reset();
        self.routing = routing_state();
        startHost(host);
    }

    const routing_state &routingAt(int host) { return m_hosts.at(std::size_t(host))->routing; }

    /// Lets a host confirm what it has; returns whether it could.
    bool confirm(int host)
    {
        std::optional<bool> isConfirmed;
        boost::asio::co_spawn(
            m_context, m_hosts.at(std::size_t(host))->reader->confirm(),
            [&isConfirmed](const std::exception_ptr &, bool result) { isConfirmed = result; });
        runUntil([&isConfirmed] { return isConfirmed.has_value(); }, applyTime);
        BOOST_TEST_REQUIRE(isConfirmed.has_value());
        return *isConfirmed;
    }

    /// Hosts that have desired state @p version or a newer one in force.
    std::size_t hostsWith(std::uint64_t version) const
    {
        return std::size_t(
            std::count_if(m_hosts.begin(), m_hosts.end(), [version](const auto &host) {
                return !host->isKilled && host->routing.desired
                    && host->routing.desired->version >= version;
            }));
    }

    /// Hosts that know that upstream 1 is leaving.
    std::size_t hostsThatKnowLeaving() const
    {
        return std::size_t(std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
            const auto &listings = host->routing.membership.listings;
            const auto found = listings.find("upstream-1");
            return !host->isKilled && found != listings.end() && found->second.entry.isLeaving;
        }));
    }

    /// Ends the processes of the hosts that read the store; returns their number.
    int killReaders()
    {
        int killed = 0;
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (!m_store.hasRead(int(index), applyTime))
                continue;
            m_hosts[index]->reader->stop();
            m_hosts[index]->exchange->stop();
            m_hosts[index]->server->stop();
            m_hosts[index]->isKilled = true;
            ++killed;
        }
        return killed;
    }

    std::size_t size() const
    {
        return std::size_t(std::count_if(m_hosts.begin(), m_hosts.end(),
                                         [](const auto &host) { return !host->isKilled; }));
    }

    void runFor(milliseconds time) { m_context.run_for(time); }

    /// Runs until @p isDone or until @p limit has passed; returns the time taken.
    milliseconds runUntil(const std::function<bool()> &isDone, milliseconds limit)
    {
        const instant started = m_clock.now();
        while (!isDone() && m_clock.now() - started < limit)
            m_context.run_for(milliseconds(10));
        return std::chrono::floor<milliseconds>(m_clock.now() - started);
    }

    milliseconds runUntilAllHave(std::uint64_t version, milliseconds limit)
    {
        return runUntil([this, version] { return hostsWith(version) == size(); }, limit);
    }

private:
    struct feed_host
    {
        routing_state routing;
        state_answers answers;
        std::unique_ptr<http_server> server;
        std::shared_ptr<slow_link> link;
        host_address address; ///< At which the others reach it, that of its link.
        std::unique_ptr<load_exchange> exchange;
        std::unique_ptr<feed> reader;
        bool isKilled = false;
    };

    std::unique_ptr<feed_host> makeHost(int index, double linkBytesPerSecond)
    {
        auto made = std::make_unique<feed_host>();
        const std::string ip
            = "127.0." + std::to_string(1 + index / 250) + "." + std::to_string(1 + index % 250);
        http_server::options options;
        options.listen = {ip, 0};
        made->answers.pace.bytesPerSecond = linkBytesPerSecond;
        feed_host &self = *made;
        auto server = http_server::makeHttpServer(
            m_context, options, [this, &self](http_exchange &exchange) {
                return answerStateQuery(exchange, self.routing, self.answers, m_clock);
            });
        BOOST_REQUIRE(server.has_value());
        made->server = std::move(*server);
        made->link
            = slow_link::makeSlowLink(m_context, ip, made->server->port(), linkBytesPerSecond);
        made->address = {ip, made->link->port()};
        return made;
    }

    void startHost(int index)
    {
        feed_host &self = *m_hosts[std::size_t(index)];
        for (const auto &other : m_hosts) {
            if (other->address != self.address)
                self.routing.peers.push_back({other->address, "", m_clock.wall()});
        }
        self.routing.hasReadPeers = true;
        auto exchange = load_exchange::makeLoadExchange(
            m_context, self.routing, {self.address.ip, exchangePort()}, self.address, m_clock);
        BOOST_REQUIRE(exchange.has_value());
        self.exchange = std::move(*exchange);
        self.reader = feed::makeFeed(m_context, self.routing, m_store.makeSource(index),
                                     feed::optionsFor(leaveTime, applyTime), self.address, m_clock);
        self.reader->onStoreNews([exchange = self.exchange.get()] { exchange->sendSoon(); });
        self.exchange->start();
        self.reader->start();
    }

    /// A port that was free on the first call; all hosts use it, each on its own address.
    std::uint16_t exchangePort()
    {
        if (m_exchangePort == 0) {
            boost::asio::ip::udp::socket probe(m_context,
                                               {boost::asio::ip::address_v4::loopback(), 0});
            m_exchangePort = probe.local_endpoint().port();
        }
        return m_exchangePort;
    }

    boost::asio::io_context &m_context;
    desired_store m_store;
    clock_source m_clock;
    std::uint16_t m_exchangePort = 0;
    std::vector<std::unique_ptr<feed_host>> m_hosts;
};

} // namespace quincefall::testing
