"""Answers that an engine which lives ends early, in good order, are not taken for whole."""

import unittest

from route_hushed import Hushed, lines_of, options_from
from support.platform_standin import complete_stream
from support.route_fleet import RouteFleet, ask

BUDGET = ", further_attempt_slack: 5000"
FLEET = ("--hosts 3 --engines 6 --processes 3 --unframed 1 --breaks 0 --split 0 --events 30"
         " --event-seconds 0.06 --pauses 0.05-0.1 --streams 16 --seconds 6")
SHUT_DOWN = "--shut-down-engines --streams 24 --seconds 8"
UNREAD = ("--streams 8 --unread-seconds 1 --padding 200000 --late-hosts 0.5"
          " --host-pauses 1.6-1.9")
DEADLINE = "--deadline-share 1 --deadline-seconds 1.7"
MOST_OF_THE_DEADLINE = "--deadline-share 0.8 --deadline-seconds 2"


class EarlyEndTest(unittest.TestCase):
    def check_streams(self, seed, options, once):
        play = Hushed(options_from([*FLEET.split(), *options.split(), "--once", once]), seed)
        logs = play.run()
        counts = play.report.counts
        print(f"seed {seed} {options} --once {once}:", dict(sorted(counts.items())), flush=True)
        for _, request, _ in play.report.violations[:2]:
            print(*lines_of(logs, request), sep="\n")
        self.assertGreater(counts["streams that an engine ended early"], 0)
        self.assertEqual([text for _, _, text in play.report.violations], [])

    def test_a_stream_is_not_whole_whose_engine_shut_down(self):
        self.check_streams(1, SHUT_DOWN, "0.5")

    def test_a_stream_is_not_whole_whose_engine_met_its_deadline(self):
        self.check_streams(2, DEADLINE, "0.5")

    def test_a_stream_is_not_whole_whose_engine_stopped_before_its_deadline(self):
        self.check_streams(3, MOST_OF_THE_DEADLINE, "0.5")

    def test_a_stream_is_not_whole_that_its_host_left_unread(self):
        self.check_streams(4, UNREAD, "0.5")

    def test_a_stream_is_not_whole_where_early_ends_are_all_that_a_host_has_seen(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            for name in ("e1", "e2"):
                fleet.engines[name].fault = "unframed-early"
            for number in range(12):
                answer = ask(fleet.hosts[0].caller, f"o{number}", f"/once/o{number}")
                self.assertFalse(answer.is_whole, answer.body)
                self.assertTrue(complete_stream().startswith(answer.body), answer.body)

    def test_a_plain_answer_is_not_whole_whose_engine_ended_it_early(self):
        for path, method in (("/read/", "GET"), ("/book/", "POST")):
            with self.subTest(path), RouteFleet(more_bounds=BUDGET) as fleet:
                for name in ("d1", "d2"):
                    fleet.engines[name].fault = "plain-early"
                for number in range(8):
                    request = f"p{number}"
                    answer = ask(fleet.hosts[0].caller, request, path + request, method)
                    self.assertGreater(fleet.runs(request), 0)
                    self.assertFalse(answer.status == 200 and answer.is_whole, answer.body)

    def test_a_plain_answer_that_ends_early_is_asked_for_again(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            fleet.engines["d1"].fault = "plain-early"
            for fault in (None, "unframed"):
                fleet.engines["d2"].fault = fault
                for number in range(6):
                    request = f"{fault}-{number}"
                    answer = ask(fleet.hosts[0].caller, request, f"/read/{request}")
                    if answer.status == 200:
                        self.assertEqual(answer.body, f"done:{request}")
                    else:
                        self.assertEqual((answer.status, fault), (502, "unframed"))


if __name__ == "__main__":
    unittest.main()
