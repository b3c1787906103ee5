"""After all hosts had been stopped and started in turn, the streams of the last one went nowhere."""

import re
import signal
import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

HOSTS = 4
GAP_SECONDS = 0.7
STREAMS = 12
DEADLINE_MS = 15_000


def split_state(version):
    state = desired_state(version)
    plans = state["routes"][0]
    del plans["service"]
    plans["traffic_split"] = [{"service": "engines", "weight": 50}, {"service": "spare", "weight": 50}]
    plans["timeout_ms"] = DEADLINE_MS
    state["services"].append({"name": "spare", "max_connections": 50})
    return state


def services_of(body):
    return set(re.findall(r"-of-(\w+)", body))


class RolledFleetTest(unittest.TestCase):
    def begin(self, host, names):
        answers = {}

        def run(name):
            answers[name] = ask(host.caller, name, f"/stream/{name}", deadline_ms=DEADLINE_MS,
                                timeout=20)

        threads = [threading.Thread(target=run, args=(name,)) for name in names]
        for thread in threads:
            thread.start()
        return threads, answers

    def restart(self, host):
        host.send(signal.SIGTERM)

        def finish():
            host.process.wait(10)
            time.sleep(0.1)
            host.start()

        thread = threading.Thread(target=finish)
        thread.start()
        return thread

    def play(self, fleet):
        """Restarts the hosts in turn; returns the answers of the streams at the last one."""
        for event in ("in force version=2 ", "upstream listed upstream=s1 ",
                      f"hosts known others={HOSTS - 1}"):
            wait_for(lambda: all(any(event in line for line in host.lines())
                                 for host in fleet.hosts), event)
        for engine in fleet.engines.values():
            engine.events, engine.event_seconds = 60, 0.2
        threads, answers, restarts = [], {}, []
        for number, host in enumerate(fleet.hosts[:-1]):  # Streams keep them until they must end.
            threads += self.begin(host, [f"o{number}-{one}" for one in range(2)])[0]
        time.sleep(0.5)
        for host in fleet.hosts[:-1]:
            restarts.append(self.restart(host))
            time.sleep(GAP_SECONDS)
        more, answers = self.begin(fleet.hosts[-1], [f"s{number}" for number in range(STREAMS)])
        wait_for(lambda: all(fleet.runs(f"s{number}") for number in range(STREAMS)),
                 "the streams to run")
        time.sleep(0.3)
        restarts.append(self.restart(fleet.hosts[-1]))
        for thread in [*threads, *more, *restarts]:
            thread.join()
        for host in fleet.hosts:
            wait_for(host.is_ready, f"{host.name} to be ready")
        return answers

    def test_streams_go_on_after_all_hosts_were_stopped_in_turn(self):
        for has_records in (True, False):
            with self.subTest(has_records=has_records), RouteFleet(hosts=HOSTS) as fleet:
                if not has_records:  # Only hosts can tell where streams began.
                    fleet.store.dropped_topics.add("keyed.quincefall-streams")
                fleet.add_engine("s1", "spare")
                fleet.store.put("keyed.op", "config", split_state(2))
                answers = self.play(fleet)
                for engine in fleet.engines.values():
                    engine.event_seconds = 0.01
                gone_on = 0
                for number, (name, begun) in enumerate(sorted(answers.items())):
                    self.assertFalse(begun.is_whole)
                    last = re.findall(r"^id: (\d+)$", begun.body, re.M)[-1]
                    rest = ask(fleet.hosts[number % (HOSTS - 1)].caller, f"r-{name}",
                               f"/stream/{name}", fields={"Resumes": name, "Last-Event-Id": last})
                    self.assertIn(rest.status, (200, 503))
                    if rest.status == 200:
                        self.assertEqual(services_of(begun.body), services_of(rest.body))
                    gone_on += rest.status == 200 and rest.is_whole
                self.assertEqual(gone_on, len(answers))


if __name__ == "__main__":
    unittest.main()
