"""After all hosts were killed at once, streams went on at another software version, or nowhere."""

import re
import signal
import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

EVENTS = 12
FOUR_ENGINES = (("n1", "v2"), ("n2", "v2"), ("o1", "v1"), ("o2", "v1"))


def kinds_of(body):
    return set(re.findall(r"-of-(\w+(?:-v\d+)?)", body))


def kill_all(hosts):
    for host in hosts:
        host.send(signal.SIGKILL)
    for host in hosts:
        host.process.wait(5)


def start_all(hosts):
    for host in hosts:
        host.start()
    for host in hosts:
        wait_for(host.is_ready, f"{host.name} to be ready")


class LostFleetTest(unittest.TestCase):
    def begin(self, fleet, count=12):
        """Streams at all hosts that have brought events; returns (threads, answers by request)."""
        for engine in fleet.engines.values():
            engine.events, engine.event_seconds, engine.shows_version = EVENTS, 0.25, True
        answers = {}

        def run(number):
            host = fleet.hosts[number % len(fleet.hosts)]
            answers[f"s{number}"] = ask(host.caller, f"s{number}", f"/stream/s{number}")

        threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(fleet.runs(f"s{number}") for number in range(count)),
                 "the streams to run")
        return threads, answers

    def lose_all(self, fleet, threads, down_seconds=0.2):
        kill_all(fleet.hosts)
        for thread in threads:
            thread.join()
        time.sleep(down_seconds)
        start_all(fleet.hosts)
        for engine in fleet.engines.values():
            engine.event_seconds = 0.02

    def take_up(self, fleet, answers):
        """Takes the streams up at all hosts; returns the number of those that end whole."""
        whole = 0
        for number, (request, begun) in enumerate(sorted(answers.items())):
            self.assertIn("id: ", begun.body)
            last = re.findall(r"^id: (\d+)$", begun.body, re.M)[-1]
            host = fleet.hosts[(number + 1) % len(fleet.hosts)]
            rest = ask(host.caller, f"r-{request}", f"/stream/{request}",
                       fields={"Resumes": request, "Last-Event-Id": last})
            self.assertIn(rest.status, (200, 503))
            self.assertEqual(len(kinds_of(begun.body + rest.body)), 1,
                             begun.body + rest.body)
            whole += rest.status == 200 and rest.is_whole
        return whole

    def two_versions(self, fleet):
        for name, version in FOUR_ENGINES:
            fleet.add_engine(name, "engines", version)
        for name in ("e1", "e2"):
            fleet.store.put("keyed.servers", name, None)
        wait_for(lambda: all(any("upstream gone upstream=e2" in line for line in host.lines())
                             for host in fleet.hosts), "the hosts to have two versions")
        time.sleep(0.7)

    def test_no_stream_goes_on_at_another_version_after_its_own_has_left(self):
        for unwritten in (False, True):
            with self.subTest(unwritten=unwritten), RouteFleet(hosts=3) as fleet:
                self.two_versions(fleet)
                if unwritten:  # Where single streams began is not stored.
                    fleet.store.dropped_topics.add("keyed.quincefall-streams")
                threads, answers = self.begin(fleet)
                time.sleep(0.8)
                for name, version in FOUR_ENGINES:
                    if version == "v1":
                        fleet.store.put("keyed.servers", name, None)
                time.sleep(0.3)
                self.lose_all(fleet, threads)
                whole = self.take_up(fleet, answers)
                of_v2 = sum("-v2" in answer.body for answer in answers.values())
                self.assertEqual(whole, 0 if unwritten else of_v2)

    def test_streams_go_on_at_their_version_after_two_losses(self):
        with RouteFleet(hosts=3) as fleet:
            self.two_versions(fleet)
            threads, answers = self.begin(fleet)
            time.sleep(0.8)
            self.lose_all(fleet, threads)
            kill_all(fleet.hosts)
            start_all(fleet.hosts)
            self.assertEqual(self.take_up(fleet, answers), len(answers))

    def test_streams_of_a_split_route_go_on_after_all_hosts_were_lost(self):
        with RouteFleet(hosts=3) as fleet:
            fleet.add_engine("s1", "spare")
            state = desired_state(2)
            del state["routes"][0]["service"]
            state["routes"][0]["traffic_split"] = [{"service": "engines", "weight": 50},
                                                   {"service": "spare", "weight": 50}]
            state["services"].append({"name": "spare", "max_connections": 50})
            fleet.store.put("keyed.op", "config", state)
            for event in ("in force version=2 ", "upstream listed upstream=s1 "):
                wait_for(lambda: all(any(event in line for line in host.lines())
                                     for host in fleet.hosts), event)
            threads, answers = self.begin(fleet)
            time.sleep(0.8)
            self.lose_all(fleet, threads)
            self.assertEqual(self.take_up(fleet, answers), len(answers))

    def test_streams_are_refused_while_the_store_does_not_say_where_they_began(self):
        with RouteFleet(hosts=3) as fleet:
            self.two_versions(fleet)
            threads, answers = self.begin(fleet)
            time.sleep(0.8)
            fleet.store.refused_topics.add("keyed.quincefall-streams")
            self.lose_all(fleet, threads)
            self.assertEqual(self.take_up(fleet, answers), 0)
            fleet.store.refused_topics.clear()
            wait_for(lambda: all(sum("stream records read" in line for line in host.lines()) == 2
                                 for host in fleet.hosts), "the records to be read")
            self.assertEqual(self.take_up(fleet, answers), len(answers))


if __name__ == "__main__":
    unittest.main()
