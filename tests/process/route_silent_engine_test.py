"""Sound engines that send nothing for a second and go on."""

import threading
import time
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import RouteFleet, ask, desired_state

SILENCE_SECONDS = 1.2
EVENTS = 30


class SilentEngineTest(unittest.TestCase):
    def play(self, path, method="GET", body=None, silent_after=0.3):
        """Sends requests, one of which each engine runs when it falls silent; the answers."""
        with RouteFleet() as fleet:
            routes = [dict(route, target_latency_ms=200) for route in desired_state(1)["routes"]]
            fleet.store.put("keyed.op", "config", desired_state(2, routes=routes))
            host = fleet.hosts[0]
            ask(host.caller, "warm", path, method, body)
            for engine in fleet.engines.values():
                engine.events, engine.event_seconds = EVENTS, 0.04
            answers = {}
            threads = [threading.Thread(target=lambda name=f"r{number}": answers.update(
                {name: ask(host.caller, name, path, method, body)})) for number in range(6)]
            for thread in threads:
                thread.start()
            time.sleep(silent_after)
            for engine in fleet.engines.values():
                engine.silent_until = time.monotonic() + SILENCE_SECONDS
            for thread in threads:
                thread.join()
            for name, answer in answers.items():
                self.assertEqual((answer.status, answer.is_whole, fleet.runs(name)),
                                 (200, True, 1), name)
            self.assertFalse([line for line in host.lines()
                              if "upstream crashed" in line or "cut off" in line])
        self.assertEqual(fleet.codes, [0])
        return [answer.body for answer in answers.values()]

    def test_streams_at_an_engine_that_is_silent_for_a_second_are_not_started_again(self):
        self.assertEqual(self.play("/stream/1"), [complete_stream(EVENTS)] * 6)

    def test_streams_that_have_not_begun_wait_for_an_engine_that_is_silent_for_a_second(self):
        self.assertEqual(self.play("/stream/1", silent_after=0), [complete_stream(EVENTS)] * 6)

    def test_streams_that_run_once_outlast_the_silence_of_their_engine(self):
        self.assertEqual(self.play("/once/1"), [complete_stream(EVENTS)] * 6)

    def test_calls_that_may_not_be_repeated_wait_for_an_engine_that_is_silent_for_a_second(self):
        self.play("/book/1", "POST", b"body", silent_after=0)


if __name__ == "__main__":
    unittest.main()
