"""The copy of a refusal, which comes where a report of an engine is due, is not taken for the report."""

import itertools
import time
import unittest

from support.route_fleet import ask, wait_for
from support.split_fleet import SplitFleet, SplitTestCase, take_up

COPY_SECONDS = (0, 0.02)
MOST_FLEETS = 3


class CopiedRefusalReportTest(SplitTestCase):
    def begin(self, fleet):
        """Begins a stream at the only engine; returns the engine and what begin_at() returns."""
        fleet.leave(["e2"])
        wait_for(lambda: all(any("upstream gone upstream=e2" in line for line in host.lines())
                             for host in fleet.hosts), "e2 to leave")
        fleet.settle()
        engine = fleet.engines["e1"]
        engine.events, engine.event_seconds, engine.keep_alive = 40, 0.08, 30
        return engine, *fleet.begin_at(fleet.hosts[0], "engines-v1")

    def restart(self, fleet, engine, version):
        """Another process with other software takes the place of the engine, and is not listed."""
        engine.version, engine.born = version, int(time.time() * 1000)
        fleet.thread.loop.call_soon_threadsafe(engine.server.close_connections)
        time.sleep(0.1)

    def refuse(self, engine, host, copies, seconds):
        """Leaves a kept connection to the engine, on which copies of a refusal are due."""
        engine.refusal_copies, engine.copy_seconds = copies, seconds
        engine.fault, engine.faults_left = "full", 1
        self.assertEqual(ask(host.caller, "refused", "/once/1").status, 503)
        engine.fault, engine.refusal_copies = None, 0

    def take_up_once(self, copies, seconds, is_restarted):
        """Takes a stream up where copies are due. Returns whether they came before a report; a host
        may use a connection that it has opened since the refusal instead."""
        with SplitFleet(apart=0, own_stores=0) as fleet:
            engine, connection, request, begun = self.begin(fleet)
            if is_restarted:
                self.restart(fleet, engine, "v2")
            self.refuse(engine, fleet.hosts[2], copies, seconds)
            connection.close()
            rest = take_up(fleet.hosts[2], request, begun)
            self.check(begun, rest, "engines-v1")
            if is_restarted:
                self.assertEqual(fleet.runs(f"b-{request}"), 0)
            else:
                self.assertEqual(rest.status, 200)
                self.assertIn("id: 40\n", rest.body)
            return engine.copies_before_reports == 1

    def check_take_up(self, is_restarted):
        for copies, seconds in itertools.product((1, 2), COPY_SECONDS):
            with self.subTest(copies=copies, seconds=seconds):
                self.assertTrue(any(self.take_up_once(copies, seconds, is_restarted)
                                    for _ in range(MOST_FLEETS)), "no copy came before a report")

    def test_a_restarted_engine_that_has_refused_goes_on_with_no_stream_of_the_version_before(self):
        self.check_take_up(is_restarted=True)

    def test_a_stream_goes_on_at_an_engine_whose_report_follows_a_copy(self):
        self.check_take_up(is_restarted=False)


if __name__ == "__main__":
    unittest.main()
