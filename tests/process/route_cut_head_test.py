"""An engine's answer that stops in its head is never answered as a whole one, and a call that may
run at most once runs once: on new and kept connections, and through another host."""

import unittest

from support.platform_standin import answer_bytes
from support.route_fleet import RouteFleet, ask, wait_for
from support.stranded_fleet import StrandedFleet, has_line, run_callers, settle

PATHS = ("/read/1", "/book/1", "/stream/1", "/once/1")
LONGEST_HEAD = len(answer_bytes(200, b"", [("Quincefall-Request-Id", "x" * 12)]))


def set_fault(fleet, fault, head_bytes=0):
    for engine in fleet.engines.values():
        engine.fault, engine.head_bytes = fault, head_bytes


class CutHeadTest(unittest.TestCase):
    def check_cuts(self, fleet, port, fault, sizes, deadline_ms=4000):
        runs = 0
        for size in sizes:
            for path in PATHS:
                set_fault(fleet, None)  # Leaves a kept connection behind.
                request = f"{fault}-{size}-{path[1:-2]}"
                ask(port, request + "-first", path, "POST", b"x")
                set_fault(fleet, fault, size)
                answer = ask(port, request, path, "POST", b"x", deadline_ms=deadline_ms)
                self.assertFalse(answer.status == 200, (request, answer.body))
                if path in ("/book/1", "/once/1"):
                    self.assertLessEqual(fleet.runs(request), 1, request)
                    if fleet.runs(request):
                        self.assertIn(answer.status, (0, 502, 504), request)
                runs += fleet.runs(request)
        set_fault(fleet, None)
        self.assertGreater(runs, len(sizes) * len(PATHS) // 2, "hardly any request was cut")

    def test_an_answer_that_is_closed_in_its_head_is_no_answer(self):
        with RouteFleet() as fleet:
            self.check_cuts(fleet, fleet.hosts[0].caller, "head-cut", range(0, LONGEST_HEAD, 9))
        self.assertEqual(fleet.codes, [0])

    def test_an_answer_that_falls_silent_in_its_head_is_no_answer(self):
        with RouteFleet() as fleet:
            self.check_cuts(fleet, fleet.hosts[0].caller, "head-silent", (1, 17, 60), 400)
        self.assertEqual(fleet.codes, [0])

    def test_an_answer_that_stops_in_its_head_behind_a_relay_is_no_answer(self):
        with StrandedFleet() as fleet:
            settle(fleet)
            fleet.cut("hang")
            host = fleet.hosts[0]

            def is_isolated():
                run_callers([host], 0.2)
                return has_line(host, "host cut off from upstreams")

            wait_for(is_isolated, "the host to notice", 5)
            self.check_cuts(fleet, host.caller, "head-cut", (0, 9, 17, 40, 60))


if __name__ == "__main__":
    unittest.main()
