#include "policy/membership.h"

#include "support/golden.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>
#include <sstream>

using namespace quincefall;

namespace {

constexpr milliseconds tick{100};
constexpr milliseconds unansweredProbe{500};

/// Simulated behaviour of a remote host.
struct remote_host
{
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    bool sendsHeartbeats = true;
    bool leaving = false;
    bool answersPing = true;
    bool answersConnection = true;
};

/// Simulates how host `a` monitors other hosts. `text` has a line for each state change and probe.
struct session
{
    membership fleet;
    std::map<std::string, remote_host> remotes;
    std::multimap<instant, std::pair<host_probe, bool>> results;
    std::vector<std::string> reported;
    instant now = instant{} + seconds(100);
    std::ostringstream text;

    session() { fleet.self = "a"; }

    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(now - instant{} - seconds(100));
    }

    void writeHeading(const std::string &line) { text << "-- " << line << '\n'; }

    void applyStep(const membership_step &step)
    {
        for (const state_change &change : step.changes) {
            text << elapsed().count() << " ms: " << change.host << ' ' << toString(change.before)
                 << " -> " << toString(change.after) << " (" << toString(change.reason)
                 << "), owners:";
            for (const std::string &owner : ownerCandidates(fleet))
                text << ' ' << owner;
            text << '\n';
        }
        for (const host_probe &probe : step.probes) {
            const remote_host &remote = remotes[probe.host];
            const bool isPing = probe.kind == probe_kind::ping;
            const bool answered = isPing ? remote.answersPing : remote.answersConnection;
            results.emplace(now + (answered ? tick : unansweredProbe), std::pair(probe, answered));
            text << elapsed().count() << " ms: probe " << probe.host
                 << (isPing ? " by ping\n" : " by new connection\n");
        }
    }

    void list(const std::vector<member_listing> &hosts)
    {
        applyStep(applyHostList(fleet, hosts, now));
    }

    void sendHeartbeat(const std::string &host)
    {
        remote_host &remote = remotes[host];
        applyStep(applyHeartbeat(
            fleet, {host, remote.incarnation, ++remote.sequence, remote.leaving, reported}, now));
    }

    void run(milliseconds span)
    {
        for (milliseconds done{}; done < span; done += tick) {
            now += tick;
            while (!results.empty() && results.begin()->first <= now) {
                const auto [probe, answered] = results.begin()->second;
                results.erase(results.begin());
                applyStep(applyProbeResult(fleet, probe, answered, now));
            }
            if (elapsed() % fleet.rules.heartbeatInterval != milliseconds{})
                continue;
            for (auto &[host, remote] : remotes) {
                if (remote.sendsHeartbeats)
                    sendHeartbeat(host);
            }
            applyStep(advance(fleet, now));
        }
    }

    host_state stateOf(const std::string &host) const { return fleet.members.at(host).state; }
};

void stopAnswering(remote_host &remote)
{
    remote.sendsHeartbeats = false;
    remote.answersPing = false;
    remote.answersConnection = false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_test)

BOOST_AUTO_TEST_CASE(wholeSession)
{
    session s;
    s.remotes = {{"b", {}}, {"c", {}}, {"d", {}}};
    s.writeHeading("the list names b, c and d; d sends no heartbeat yet");
    s.remotes["d"].sendsHeartbeats = false;
    s.list({{"a"}, {"b"}, {"c"}, {"d"}});
    s.run(milliseconds(400));
    s.remotes["d"].sendsHeartbeats = true;
    s.run(milliseconds(400));

    s.writeHeading("b is killed");
    stopAnswering(s.remotes["b"]);
    s.run(milliseconds(2000));
    s.writeHeading("b starts again with a new incarnation");
    s.remotes["b"] = {2};
    s.run(milliseconds(400));

    s.writeHeading("c is paused for 10 s and continues");
    stopAnswering(s.remotes["c"]);
    s.run(milliseconds(10000));
    s.remotes["c"] = {1, s.remotes["c"].sequence};
    s.run(milliseconds(400));

    s.writeHeading(
        "the connection to d stops answering; a new one works and carries its heartbeats");
    s.remotes["d"].sendsHeartbeats = false;
    s.remotes["d"].answersPing = false;
    s.run(milliseconds(1200));
    s.remotes["d"].sendsHeartbeats = true;
    s.remotes["d"].answersPing = true;
    s.run(milliseconds(800));

    s.writeHeading("d announces that it is leaving, then exits; the list still has it as live");
    s.remotes["d"].leaving = true;
    s.run(milliseconds(400));
    stopAnswering(s.remotes["d"]);
    s.run(milliseconds(2000));
    s.writeHeading("the list has d as leaving; a new process of d sends heartbeats before the list "
                   "is updated");
    s.list({{"a"}, {"b"}, {"c"}, {"d", true}});
    s.remotes["d"] = {2};
    s.run(milliseconds(400));
    s.writeHeading("the list is updated, then has d as leaving again");
    s.list({{"a"}, {"b"}, {"c"}, {"d"}});
    s.run(milliseconds(400));
    s.list({{"a"}, {"b"}, {"c"}, {"d", true}});
    s.run(milliseconds(400));

    s.writeHeading(
        "e sends heartbeats before it is listed; c is removed from the list while it sends them");
    s.remotes["e"] = {};
    s.run(milliseconds(400));
    s.list({{"a"}, {"b"}, {"d", true}, {"e"}});
    s.run(milliseconds(400));
    s.writeHeading("c is listed again");
    s.list({{"a"}, {"b"}, {"c"}, {"d", true}, {"e"}});
    s.run(milliseconds(400));
    s.writeHeading("a itself is leaving");
    s.fleet.selfAnnouncedLeaving = true;
    s.list({{"a"}, {"b"}, {"c"}, {"e"}});
    s.run(milliseconds(400));
    quincefall::testing::checkGolden("policy/membership_session.txt", s.text.str());
}

BOOST_AUTO_TEST_CASE(tableOfTransitions)
{
    using enum host_state;
    struct row
    {
        const char *name;
        std::function<void(session &)> input;
        host_state after;
    };
    const auto missHeartbeats = [](session &s) {
        s.remotes["b"].sendsHeartbeats = false;
        s.remotes["b"].answersPing = false;
        s.run(milliseconds(900));
    };
    const std::vector<row> rows{
        {"three heartbeats missed", missHeartbeats, suspected},
        {"late heartbeat of a lower sequence number",
         [&](session &s) {
             missHeartbeats(s);
             s.applyStep(applyHeartbeat(s.fleet, {"b", 1, 1, false, {}}, s.now));
         },
         suspected},
        {"heartbeat of an earlier incarnation while the later one sends them",
         [](session &s) {
             s.applyStep(applyHeartbeat(s.fleet, {"b", 0, 99, true, {}}, s.now));
         },
         live},
        {"heartbeat of an earlier incarnation after the later one has stopped",
         [&](session &s) {
             missHeartbeats(s);
             s.applyStep(applyHeartbeat(s.fleet, {"b", 0, 1, false, {}}, s.now));
         },
         live},
        {"next heartbeat",
         [&](session &s) {
             missHeartbeats(s);
             s.sendHeartbeat("b");
         },
         live},
        {"unreachable, then ping answered",
         [](session &s) {
             s.applyStep(applyUnreachable(s.fleet, "b", s.now));
             BOOST_TEST((s.stateOf("b") == suspected));
             s.remotes["b"].sendsHeartbeats = false;
             s.run(milliseconds(100));
         },
         live},
        {"result of an outdated probe",
         [](session &s) {
             s.applyStep(applyUnreachable(s.fleet, "b", s.now));
             s.sendHeartbeat("b");
             s.applyStep(applyUnreachable(s.fleet, "b", s.now));
             s.applyStep(applyProbeResult(s.fleet, {"b", probe_kind::connection, 1}, false, s.now));
         },
         suspected},
        {"reported by another host while its heartbeats arrive",
         [](session &s) {
             s.applyStep(applyHeartbeat(s.fleet, {"c", 1, 99, false, {"b"}}, s.now));
         },
         live},
    };
    for (const row &entry : rows) {
        session s;
        s.remotes = {{"b", {}}, {"c", {}}};
        s.list({{"a"}, {"b"}, {"c"}});
        s.run(milliseconds(200));
        BOOST_REQUIRE((s.stateOf("b") == live));
        entry.input(s);
        BOOST_TEST((s.stateOf("b") == entry.after), entry.name << "\n" << s.text.str());
    }
}

BOOST_AUTO_TEST_CASE(aKilledHostIsDeadWithinTwoSeconds)
{
    session s;
    s.remotes = {{"b", {}}};
    s.list({{"a"}, {"b"}});
    s.run(milliseconds(200));
    stopAnswering(s.remotes["b"]);
    s.run(milliseconds(1900));
    BOOST_TEST((s.stateOf("b") == host_state::dead));
}

BOOST_AUTO_TEST_CASE(ownPauseCausesNoSuspicion)
{
    session s;
    s.remotes = {{"b", {}}};
    s.list({{"a"}, {"b"}});
    s.run(milliseconds(400));
    s.now += seconds(10);
    s.applyStep(advance(s.fleet, s.now));
    BOOST_TEST((s.stateOf("b") == host_state::live));
    stopAnswering(s.remotes["b"]);
    s.run(milliseconds(800));
    BOOST_TEST((s.stateOf("b") == host_state::suspected));
}

BOOST_AUTO_TEST_CASE(hostsWithoutHeartbeatsAreProbedAndReportsAreApplied)
{
    session s;
    s.fleet.rules.partners = 2;
    std::vector<member_listing> hosts{{"a"}};
    for (const char *name : {"b", "c", "d", "e", "f", "g"}) {
        s.remotes[name] = {};
        hosts.push_back({name});
    }
    s.list(hosts);
    std::string nonPartner;
    for (auto &[host, target] : s.fleet.members) {
        s.remotes[host].sendsHeartbeats = target.partner;
        if (!target.partner)
            nonPartner = host;
    }
    s.run(milliseconds(400));
    BOOST_TEST(ownerCandidates(s.fleet).size() == 7U);
    s.run(milliseconds(5000));
    BOOST_TEST((s.stateOf(nonPartner) == host_state::live));

    stopAnswering(s.remotes[nonPartner]);
    s.reported = {nonPartner};
    s.run(milliseconds(200));
    BOOST_TEST((s.stateOf(nonPartner) == host_state::suspected));
    s.reported.clear();
    s.run(milliseconds(1200));
    BOOST_TEST((s.stateOf(nonPartner) == host_state::dead));
    s.remotes[nonPartner].answersConnection = true;
    s.run(milliseconds(5200));
    BOOST_TEST((s.stateOf(nonPartner) == host_state::live));
}

BOOST_AUTO_TEST_CASE(partnersAreMutualAndOneOfEachPairInitiates)
{
    std::vector<std::string> hosts(9, "host-");
    for (std::size_t number = 0; number < hosts.size(); ++number)
        hosts[number] += std::to_string(number);
    for (const std::size_t count : {0U, 4U}) {
        std::set<std::pair<std::string, std::string>> initiated;
        for (const std::string &self : hosts) {
            const auto partners = heartbeatPartners(self, hosts, count);
            BOOST_TEST(partners.size() == (count == 0 ? 8U : 4U));
            std::size_t initiates = 0;
            for (const heartbeat_partner &partner : partners) {
                if (partner.initiates && ++initiates > 0)
                    initiated.emplace(self, partner.host);
            }
            BOOST_TEST(initiates == (count == 0 ? 4U : 2U));
        }
        BOOST_TEST(initiated.size() == (count == 0 ? 36U : 18U));
        for (const auto &[first, second] : initiated)
            BOOST_TEST(!initiated.contains({second, first}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
