"""Streams go on only at engines of the software version that began them."""

import re
import signal
import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask, wait_for

EVENTS = 8


def versions_of(body):
    return set(re.findall(r"-of-engines-(v\d+)", body))


def last_event(body):
    return int(re.findall(r"^id: (\d+)$", body, re.M)[-1])


def add_versions(fleet, per_version=3):
    for number in range(per_version):
        fleet.add_engine(f"n{number}", "engines", "v2")
        fleet.add_engine(f"o{number}", "engines", "v1")
    for engine in fleet.engines.values():
        engine.events, engine.shows_version = EVENTS, True
    wait_for(lambda: all(sum("upstream listed upstream=n" in line for line in host.lines())
                         >= per_version for host in fleet.hosts), "the engines to be listed")
    others = len(fleet.hosts) - 1
    wait_for(lambda: not others or all(any(f"hosts known others={others}" in line
                                           for line in host.lines()) for host in fleet.hosts),
             "the hosts to discover each other")
    time.sleep(0.5)


def resume(host, request, origin, body):
    return ask(host.caller, request, f"/stream/{origin}",
               fields={"Last-Event-Id": str(last_event(body)), "Resumes": origin})


def begin_streams(fleet, host, count, event_seconds=0.25):
    """Streams through `host` that have begun; returns (threads, answers by request id)."""
    for engine in fleet.engines.values():
        engine.event_seconds = event_seconds
    answers = {}

    def begin(request):
        answers[request] = ask(host.caller, request, f"/stream/{request}")

    threads = [threading.Thread(target=begin, args=(f"s{number}",)) for number in range(count)]
    for thread in threads:
        thread.start()
    wait_for(lambda: all(fleet.runs(f"s{number}") for number in range(count)), "the streams to run")
    time.sleep(2.5 * event_seconds)
    return threads, answers


def kill(hosts):
    for host in hosts:
        host.send(signal.SIGKILL)
        host.process.wait(5)


class StreamVersionTest(unittest.TestCase):
    def check_resumed(self, fleet, broken, hosts, least_share):
        """Takes broken streams up at `hosts`; none may hold events of two versions."""
        gone_on = 0
        for number, (request, answer) in enumerate(sorted(broken.items())):
            rest = resume(hosts[number % len(hosts)], f"r{number}", request, answer.body)
            self.assertIn(rest.status, (200, 503))
            self.assertEqual(len(versions_of(answer.body + rest.body)), 1, answer.body + rest.body)
            gone_on += rest.status == 200 and rest.is_whole
        self.assertGreaterEqual(gone_on, least_share * len(broken))
        return gone_on

    def break_streams(self, fleet, count, killed):
        threads, answers = begin_streams(fleet, fleet.hosts[0], count)
        kill(killed)
        for thread in threads:
            thread.join()
        broken = {request: answer for request, answer in answers.items() if "id: " in answer.body}
        self.assertGreaterEqual(len(broken), 0.8 * count)
        for engine in fleet.engines.values():
            engine.event_seconds = 0.02
        return broken

    def test_an_answer_goes_on_at_the_version_that_began_it(self):
        with RouteFleet(hosts=1) as fleet:
            add_versions(fleet)
            whole = 0
            for number in range(24):
                for engine in fleet.engines.values():
                    engine.fault, engine.faults_left = "cut", 1
                answer = ask(fleet.hosts[0].caller, f"c{number}", f"/stream/c{number}")
                self.assertLessEqual(len(versions_of(answer.body)), 1, answer.body)
                whole += answer.is_whole
                time.sleep(0.1)
        self.assertEqual(fleet.codes, [0])

    def test_a_stream_goes_on_at_its_version_after_its_host_was_killed(self):
        with RouteFleet(hosts=5) as fleet:
            add_versions(fleet)
            broken = self.break_streams(fleet, 16, fleet.hosts[:1])
            self.check_resumed(fleet, broken, fleet.hosts[1:], 0.9)

    def test_streams_go_on_at_their_version_after_most_hosts_were_killed(self):
        with RouteFleet(hosts=6) as fleet:
            add_versions(fleet)
            broken = self.break_streams(fleet, 16, fleet.hosts[:4])
            for host in fleet.hosts[:4]:
                host.start()
            for host in fleet.hosts:
                wait_for(host.is_ready, f"{host.name} to be ready")
            self.check_resumed(fleet, broken, fleet.hosts, 0.5)

    def test_a_stream_of_a_version_that_has_left_does_not_go_on(self):
        with RouteFleet(hosts=2) as fleet:
            add_versions(fleet)
            broken = self.break_streams(fleet, 8, fleet.hosts[:1])
            for name, engine in fleet.engines.items():
                if engine.service == "engines" and engine.version == "v1":
                    fleet.store.put("keyed.servers", name, engine.entry("draining", sequence=2))
            time.sleep(2)
            gone_on = self.check_resumed(fleet, broken, fleet.hosts[1:], 0)
            begun_new = [answer for answer in broken.values() if versions_of(answer.body) == {"v2"}]
            self.assertEqual(gone_on, len(begun_new))

    def test_a_stream_of_unknown_origin_does_not_go_on_beside_two_versions(self):
        with RouteFleet(hosts=3) as fleet:
            add_versions(fleet)
            for number in range(6):
                answer = resume(fleet.hosts[number % 3], f"u{number}", "unheard-of", "id: 2\n")
                self.assertEqual(answer.status, 503)
                self.assertEqual(fleet.runs(f"u{number}"), 0)

    def test_a_stream_goes_on_at_a_host_that_just_started_where_all_engines_are_alike(self):
        with RouteFleet(hosts=3) as fleet:
            for number in range(6):
                host = fleet.hosts[number % 3]
                answer = resume(host, f"k{number}", f"origin{number}", "id: 2\n")
                self.assertEqual((answer.status, answer.is_whole), (200, True))
                self.assertTrue(answer.body.startswith("id: 3\n"))


if __name__ == "__main__":
    unittest.main()
