"""What upstreams and the store tell in their answers: leaving, requests for time, a new era."""

import time
import unittest

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

HINT_SECONDS = 1.0  # Several hints of a small fleet.
PAUSE_SECONDS = 1.5


def has_line(host, *parts):
    return any(all(part in line for part in parts) for line in host.lines())


def arrivals_during(engine, action):
    before = engine.arrivals
    action()
    return engine.arrivals - before


def ask_many(host, label, count=16):
    """Sends requests to a host; returns the set of their statuses."""
    return {ask(host.caller, f"{label}{number}").status for number in range(count)}


def wait_for_discovery(fleet):
    others = len(fleet.hosts) - 1
    wait_for(lambda: all(has_line(host, f"hosts known others={others}") for host in fleet.hosts),
             "the hosts to discover each other")


class LeavingTest(unittest.TestCase):
    def test_an_upstream_that_says_it_is_leaving_gets_no_more_requests_from_any_host(self):
        with RouteFleet(hosts=2) as fleet:
            first, second = fleet.hosts
            wait_for_discovery(fleet)
            leaving = fleet.engines["d1"]
            leaving.is_leaving = True
            wait_for(lambda: ask_many(first, "w", 4) and leaving.arrivals > 0, "an answer of d1")
            self.assertEqual(
                arrivals_during(leaving, lambda: self.assertEqual(ask_many(first, "a"), {200})), 0)
            time.sleep(HINT_SECONDS)
            self.assertEqual(
                arrivals_during(leaving, lambda: self.assertEqual(ask_many(second, "b"), {200})), 0)
            # Its registration still says that it is ready.
            fleet.store.put("keyed.servers", "d1", leaving.entry(sequence=7))
            time.sleep(HINT_SECONDS)
            for host in fleet.hosts:
                self.assertEqual(arrivals_during(leaving, lambda: ask_many(host, host.name)), 0)
            self.assertTrue(has_line(second, "upstream says it is leaving", "upstream=d1",
                                     "source=host"))
            # It starts anew under the same id.
            leaving.is_leaving = False
            fleet.store.put("keyed.servers", "d1", dict(leaving.entry(), born=1700000900000))
            wait_for(lambda: arrivals_during(leaving, lambda: ask_many(first, "n")) > 0,
                     "the new process to be used")
        self.assertEqual(fleet.codes, [0, 0])

    def test_an_upstream_that_turns_a_request_away_may_say_that_it_is_leaving(self):
        with RouteFleet() as fleet:
            leaving = fleet.engines["d1"]
            leaving.is_leaving, leaving.fault = True, "full"
            wait_for(lambda: ask_many(fleet.hosts[0], "w", 4) and leaving.arrivals > 0,
                     "an answer of d1")
            leaving.fault = None
            self.assertEqual(
                arrivals_during(leaving, lambda: self.assertEqual(
                    ask_many(fleet.hosts[0], "a"), {200})), 0)


class PauseTest(unittest.TestCase):
    def test_an_upstream_that_asks_for_time_gets_no_request_until_its_end(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            busy = fleet.engines["d1"]
            busy.fault, busy.pause = "full", str(PAUSE_SECONDS)
            wait_for(lambda: ask_many(host, "w", 4) and busy.arrivals > 0, "an answer of d1")
            asked = time.monotonic()

            def ask_until_end():
                while time.monotonic() < asked + PAUSE_SECONDS - 0.3:
                    self.assertEqual(ask_many(host, "p", 4), {200})

            self.assertEqual(arrivals_during(busy, ask_until_end), 0)
            busy.fault = None
            wait_for(lambda: arrivals_during(busy, lambda: ask_many(host, "q", 4)) > 0,
                     "d1 to be used again", 3)

    def test_a_pause_is_no_failure_and_an_invalid_one_is_ignored(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            busy = fleet.engines["d1"]
            for value in ("0", "-1", "soon", ""):
                busy.fault, busy.faults_left, busy.pause = "full", 1, value
                wait_for(lambda: ask_many(host, "w", 4) and busy.faults_left == 0, "d1 to be asked")
                wait_for(lambda: arrivals_during(busy, lambda: ask_many(host, "q", 4)) > 0,
                         "d1 to be used at once", 1)
            self.assertFalse(has_line(host, "upstream asked for a pause"))

    def test_the_caller_is_told_when_the_first_upstream_is_back(self):
        with RouteFleet() as fleet:
            for name, pause in (("d1", "5"), ("d2", "2.4")):
                fleet.engines[name].fault, fleet.engines[name].pause = "full", pause
            wait_for(lambda: ask_many(fleet.hosts[0], "w", 1) == {503}
                     and all(fleet.engines[name].arrivals for name in ("d1", "d2")),
                     "both upstreams to ask for time")
            answer = ask(fleet.hosts[0].caller, "told")
            self.assertEqual(answer.status, 503)
            wait = float(answer.fields["Retry-After"])
            self.assertTrue(1.8 <= wait <= 2.4, wait)
            for name in ("d1", "d2"):
                fleet.engines[name].fault = None
            time.sleep(wait)
            self.assertEqual(ask(fleet.hosts[0].caller, "returned").status, 200)


class StoreEpochTest(unittest.TestCase):
    def test_a_store_that_came_back_from_a_copy_loses_no_upstream_and_no_desired_state(self):
        with RouteFleet(hosts=3) as fleet:
            wait_for_discovery(fleet)
            copy = fleet.store.copy()
            hosts_topic = "keyed.quincefall-hosts"
            copy[hosts_topic] = []
            fleet.add_engine("d3", "desk")
            newer = desired_state(2)
            newer["routes"] = newer["routes"][1:]
            fleet.store.put("keyed.op", "config", newer)
            for host in fleet.hosts:
                wait_for(lambda host=host: ask(host.caller, "v", "/stream/1").status == 404
                         and has_line(host, "upstream listed", "upstream=d3"), "version 2 and d3")
            # The others ask for time, so that only d3 serves.
            for name in ("d1", "d2"):
                fleet.engines[name].fault, fleet.engines[name].pause = "full", "60"
            for host in fleet.hosts:
                wait_for(lambda host=host: ask_many(host, "f", 4) == {200}, "only d3 to be used")
            fleet.store.come_back_from(copy)  # The registration of d3 is lost.
            begun = time.monotonic()
            while time.monotonic() < begun + 1.5:
                for host in fleet.hosts:
                    self.assertEqual(ask_many(host, "d"), {200})
                    self.assertEqual(ask(host.caller, "s", "/stream/1").status, 404)
            fleet.store.put("keyed.servers", "d3", fleet.engines["d3"].entry(sequence=5))
            time.sleep(3)
            self.assertEqual(ask_many(fleet.hosts[2], "e"), {200})
            # The offsets of these records were given out before.
            fleet.store.put("keyed.op", "config", newer)
            fleet.store.put("keyed.op", "config", desired_state(3))
            fleet.store.put("keyed.servers", "d3", None)
            for host in fleet.hosts:
                wait_for(lambda host=host: ask(host.caller, "w", "/stream/1", "POST",
                                               b"x").status == 200, "version 3", 4)
                wait_for(lambda host=host: has_line(host, "upstream gone", "upstream=d3"),
                         "d3 to be gone", 8)
            wait_for(lambda: len({key for key, _ in fleet.store.topics[hosts_topic]}) == 3,
                     "the hosts to announce themselves again", 8)
            self.assertTrue(any(has_line(host, "store came back from an older copy")
                                for host in fleet.hosts))
        self.assertEqual(fleet.codes, [0, 0, 0])

    def test_a_removed_upstream_does_not_return_with_the_copy(self):
        with RouteFleet() as fleet:
            copy = fleet.store.copy()
            fleet.store.put("keyed.servers", "d1", None)
            host = fleet.hosts[0]
            wait_for(lambda: has_line(host, "upstream gone", "upstream=d1"), "d1 to be gone")
            fleet.store.come_back_from(copy)
            wait_for(lambda: has_line(host, "store came back from an older copy"), "the new era")
            time.sleep(1)
            self.assertEqual(
                arrivals_during(fleet.engines["d1"], lambda: ask_many(host, "a")), 0)
            fleet.store.put("keyed.servers", "d1", fleet.engines["d1"].entry(sequence=2))
            wait_for(lambda: arrivals_during(fleet.engines["d1"],
                                             lambda: ask_many(host, "b")) > 0, "d1 to be used")

    def test_an_answer_of_an_older_era_is_a_failed_call(self):
        with RouteFleet() as fleet:
            host = fleet.hosts[0]
            fleet.store.era = 2
            wait_for(lambda: has_line(host, "store came back from an older copy", "epoch=2"),
                     "the new era")
            fleet.store.era = 1
            wait_for(lambda: has_line(host, "store lost", "epoch 1, before 2"), "the older era")
            fleet.store.put("keyed.op", "config", desired_state(2, routes=[]))
            time.sleep(1)
            self.assertEqual(ask(host.caller, "v").status, 200)
            fleet.store.era = 2
            wait_for(lambda: ask(host.caller, "w").status == 404, "version 2", 4)

    def test_a_host_whose_store_is_of_an_older_era_than_the_others_does_not_read_it(self):
        with RouteFleet(hosts=3, own_stores=1) as fleet:
            wait_for_discovery(fleet)
            behind = fleet.hosts[2]
            fleet.store.era = 2
            wait_for(lambda: has_line(behind, "store lost", "epoch 1, before 2"),
                     "the host to learn of the new era from the others", 20)
            fleet.own_stores[0].era = 2
            wait_for(lambda: has_line(behind, "store answers again"), "the store", 5)
        self.assertEqual(fleet.codes, [0, 0, 0])

    def test_a_store_without_an_era_is_served_from_as_before(self):
        with RouteFleet() as fleet:
            fleet.store.era = None
            fleet.store.put("keyed.op", "config", desired_state(2, routes=[]))
            wait_for(lambda: ask(fleet.hosts[0].caller, "v").status == 404, "version 2", 3)


if __name__ == "__main__":
    unittest.main()
