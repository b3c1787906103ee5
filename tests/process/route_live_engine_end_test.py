"""A stream that may run once and ends early at an engine that lives is not taken for whole."""

import itertools
import re
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import TRUST, RouteFleet, ask, wait_for

# Streams without an end of their own that show that a service sends none.
SHOWS_NO_FRAMING = 4


def set_fault(fleet, fault, times=10 ** 9):
    for name in ("e1", "e2"):
        fleet.engines[name].fault, fleet.engines[name].faults_left = fault, times


class LiveEngineEndTest(unittest.TestCase):
    def ask_once(self, fleet, request, host=0):
        return ask(fleet.hosts[host].caller, request, f"/once/{request}")

    def check_not_whole(self, answer, body):
        self.assertFalse(answer.status == 200 and answer.is_whole, answer.body)
        if answer.status == 200:
            self.assertTrue(body.startswith(answer.body), answer.body)
        else:  # Nothing came of the stream, and whether it ran is open.
            self.assertEqual(answer.status, 502, answer.body)

    def test_an_early_end_is_not_whole_where_engines_send_chunks_otherwise(self):
        with RouteFleet() as fleet:
            sound = self.ask_once(fleet, "sound")
            self.assertEqual((sound.is_whole, sound.body), (True, complete_stream()))
            for fault in ("unframed-early", "unframed-empty"):
                set_fault(fleet, fault)
                for number in range(8):
                    with self.subTest(fault, number=number):
                        answer = self.ask_once(fleet, f"{fault}-{number}")
                        self.check_not_whole(answer, complete_stream())
            # The caller has all that came, and the host says why the stream is not whole.
            log = "\n".join(fleet.hosts[0].lines())
            self.assertTrue(re.search(r"request=unframed-early-0 .*end=failed.*:unproven", log), log)

    def test_an_early_end_is_not_whole_before_the_host_knows_the_service(self):
        with RouteFleet() as fleet:
            set_fault(fleet, "unframed-early")
            self.check_not_whole(self.ask_once(fleet, "first"), complete_stream())

    def test_all_events_arrive_where_only_the_end_is_not_proved(self):
        with RouteFleet() as fleet:
            self.ask_once(fleet, "sound")
            set_fault(fleet, "unframed")
            for number in range(8):
                answer = self.ask_once(fleet, f"u{number}")
                self.assertEqual((answer.status, answer.is_whole, answer.body),
                                 (200, False, complete_stream()))

    def test_streams_without_ends_are_whole_only_where_engines_are_declared_sound(self):
        for bounds, is_whole in ((TRUST, True), ("", False)):
            with self.subTest(bounds), RouteFleet(more_bounds=bounds) as fleet:
                set_fault(fleet, "unframed")
                for number in range(SHOWS_NO_FRAMING):
                    self.ask_once(fleet, f"w{number}")
                for number in range(8):
                    answer = self.ask_once(fleet, f"u{number}")
                    self.assertEqual((answer.status, answer.is_whole, answer.body),
                                     (200, is_whole, complete_stream()))

    def test_a_host_hears_of_other_hosts_that_engines_send_chunks(self):
        with RouteFleet(hosts=2) as fleet:
            sound = self.ask_once(fleet, "sound")
            self.assertEqual((sound.is_whole, sound.body), (True, complete_stream()))
            set_fault(fleet, "unframed")
            requests = (f"u{number}" for number in itertools.count())

            def has_heard():
                self.ask_once(fleet, next(requests), host=1)
                return any("others=framed" in line for line in fleet.hosts[1].lines())

            wait_for(has_heard, "the second host to hear of the first one's stream")
            set_fault(fleet, "unframed-early")
            for number in range(2 * SHOWS_NO_FRAMING):
                self.check_not_whole(self.ask_once(fleet, f"e{number}", host=1),
                                     complete_stream())


if __name__ == "__main__":
    unittest.main()
