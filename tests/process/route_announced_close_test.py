"""Sound answers whose heads announce the close that ends them were never whole for their callers."""

import time
import unittest

from route_hushed import Hushed, lines_of, options_from
from support.platform_standin import complete_stream
from support.route_fleet import RouteFleet, ask

KINDS = {  # Path, method and the engine that answers.
    "book": ("/book/", "POST", "d"), "read": ("/read/", "GET", "d"),
    "once": ("/once/", "GET", "e"), "stream": ("/stream/", "GET", "e"),
}
FLEET = ("--hosts 3 --engines 6 --processes 3 --unframed 1 --announce-close --breaks 0 --split 0"
         " --events 30 --event-seconds 0.06 --pauses 0.05-0.1 --streams 16 --seconds 6")


class AnnouncedCloseTest(unittest.TestCase):
    def ask_one(self, fleet, kind, request):
        path, method, _ = KINDS[kind]
        return ask(fleet.hosts[0].caller, request, path + request, method)

    def check_sound(self, kind, fleet, count=6):
        for number in range(count):
            request = f"{kind}-{number}"
            answer = self.ask_one(fleet, kind, request)
            is_stream = kind in ("once", "stream")
            body = complete_stream() if is_stream else f"done:{request}"
            if not answer.is_whole:
                print(*(line for line in fleet.hosts[0].lines() if request in line), sep="\n")
            self.assertEqual((answer.status, answer.is_whole, answer.body), (200, True, body))
            self.assertEqual(fleet.runs(request), 1)

    def lose_framing(self, fleet, letter):
        for name in (f"{letter}1", f"{letter}2"):
            fleet.engines[name].fault = "unframed"
            fleet.engines[name].announces_close = True

    def test_a_sound_answer_is_whole_where_earlier_ones_had_a_length(self):
        for kind, (_, _, letter) in KINDS.items():
            with self.subTest(kind), RouteFleet() as fleet:
                for number in range(4):
                    self.ask_one(fleet, kind, f"framed-{number}")
                time.sleep(2.2)  # The connections of these are not used for requests any more.
                self.lose_framing(fleet, letter)
                self.check_sound(kind, fleet)

    def test_only_the_first_answer_of_an_unknown_service_needs_a_further_run(self):
        for kind in ("read", "stream"):
            with self.subTest(kind), RouteFleet() as fleet:
                self.lose_framing(fleet, KINDS[kind][2])
                self.ask_one(fleet, kind, "first")
                self.check_sound(kind, fleet)

    def check_early_ends(self, seed, options, least_whole):
        """No early end looks whole; of the streams, at least a share of `least_whole` is whole."""
        play = Hushed(options_from([*FLEET.split(), *options.split()]), seed)
        logs = play.run()
        counts = play.report.counts
        print(f"seed {seed} {options}:", dict(sorted(counts.items())), flush=True)
        for _, request, _ in play.report.violations[:2]:
            print(*lines_of(logs, request), sep="\n")
        self.assertEqual([text for _, _, text in play.report.violations], [])
        streams = counts["streams"] + counts["once-streams"]
        whole = counts["streams complete"] + counts["once-streams complete"]
        self.assertGreaterEqual(whole, least_whole * streams)
        return counts

    def test_sound_streams_are_whole_while_nothing_fails(self):
        counts = self.check_early_ends(11, "--once 0.5", 0.9)
        self.assertLessEqual(counts["stream attempts"], 1.1 * counts["streams"] + 6)

    def test_a_stream_is_not_whole_whose_engine_shut_down(self):
        counts = self.check_early_ends(12, "--shut-down-engines --streams 24 --once 0.5", 0)
        self.assertGreater(counts["streams that an engine ended early"], 0)

    def test_a_stream_is_not_whole_whose_engine_met_its_deadline(self):
        counts = self.check_early_ends(13, "--deadline-share 1 --deadline-seconds 1.7 --once 0.5", 0)
        self.assertGreater(counts["streams that an engine ended early"], 0)

    def test_a_stream_is_not_whole_that_its_host_left_unread(self):
        counts = self.check_early_ends(14, "--streams 8 --unread-seconds 1 --padding 200000"
                                       " --late-hosts 0.5 --host-pauses 1.6-1.9 --once 0.5", 0)
        self.assertGreater(counts["streams that an engine ended early"], 0)

    def test_a_stream_is_not_whole_whose_engine_was_killed_and_listens_again(self):
        self.check_early_ends(15, "--kill-engines --crash-engines --once 0.5", 0)


if __name__ == "__main__":
    unittest.main()
