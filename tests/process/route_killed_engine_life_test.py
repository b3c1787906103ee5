"""An answer whose engine was killed is not whole because something listens at its address."""

import threading
import time
import unittest

from support.route_fleet import TRUST, RouteFleet, ask, wait_for
from support.stranded_fleet import StrandedFleet, has_line, settle

# Streams without an end of their own that show that a service sends none.
SHOWS_NO_FRAMING = 4
EVENTS = 10
BUDGET = ", further_attempt_slack: 5000" + TRUST


def events(last=EVENTS):
    return "".join(f"id: {number}\ndata: {number}-of-engines\n\n"
                   for number in range(1, last + 1))


class KilledEngineLifeTest(unittest.TestCase):
    def prepare(self, fleet):
        """Leaves one engine for streams, which the host knows to send no ends of its own."""
        fleet.thread.call(fleet.engines["e2"].server.close())
        fleet.store.put("keyed.servers", "e2", None)
        engine = fleet.engines["e1"]
        engine.events, engine.event_seconds, engine.fault = EVENTS, 0.01, "unframed"
        wait_for(lambda: has_line(fleet.hosts[0], "upstream gone"), "the host to hear that e2 is gone")
        for number in range(SHOWS_NO_FRAMING):
            ask(fleet.hosts[0].caller, f"b{number}", f"/once/b{number}")
        return engine

    def ask_meanwhile(self, fleet, engine, act, path="/once/", count=1, event_seconds=0.1):
        """The answers to `count` streams during which `act` acts."""
        engine.event_seconds = event_seconds
        answers = [None] * count

        def ask_one(number):
            answers[number] = ask(fleet.hosts[0].caller, f"o{number}", f"{path}o{number}")

        threads = [threading.Thread(target=ask_one, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(fleet.runs(f"o{number}") for number in range(count)), "all to run")
        time.sleep(0.35)
        act()
        for thread in threads:
            thread.join()
        return answers

    def check_not_whole(self, fleet, answers):
        """Prints by what the host judged the ends, if one of them counts as whole."""
        if any(answer.status == 200 and answer.is_whole for answer in answers):
            print(*[line for line in fleet.hosts[0].lines() if "request=o" in line], sep="\n")
        for answer in answers:
            self.assertFalse(answer.status == 200 and answer.is_whole, answer.body)

    def check_plain(self, path, answer):
        """The caller of what may run once gets what there is, without an end."""
        expected = (200, False) if path in ("/book/", "/once/") else (502, True)
        self.assertEqual((answer.status, answer.is_whole), expected, answer.body)

    def test_a_stream_is_not_whole_whose_killed_engine_has_other_connections_for_a_moment(self):
        for late in (0, 0.05, 0.3):
            with self.subTest(late=late), RouteFleet(more_bounds=BUDGET) as fleet:
                engine = self.prepare(fleet)
                act = lambda: fleet.thread.call(engine.server.die(late))
                self.check_not_whole(fleet, self.ask_meanwhile(fleet, engine, act, count=6))

    def test_a_resumable_stream_is_not_whole_at_an_engine_that_is_killed_twice(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            engine = self.prepare(fleet)
            self.check_not_whole(fleet, self.ask_meanwhile(
                fleet, engine, lambda: fleet.thread.call(engine.server.die(0.3)), "/stream/"))

    def test_a_stream_is_not_whole_whose_engine_closed_other_connections_before(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            engine = self.prepare(fleet)
            engine.server.idle_seconds = 0.1
            self.check_not_whole(fleet, self.ask_meanwhile(
                fleet, engine, lambda: fleet.thread.call(engine.server.die())))

    def test_a_stream_is_not_whole_whose_killed_engine_had_no_room_for_connections(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            engine = self.prepare(fleet)
            engine.server.most_connections = 1
            self.check_not_whole(fleet, self.ask_meanwhile(
                fleet, engine, lambda: fleet.thread.call(engine.server.die())))

    def test_a_stream_is_not_whole_whose_killed_engine_another_host_reaches(self):
        with StrandedFleet(hosts=2, more_bounds=BUDGET) as fleet:
            for name in ("e1", "e2"):
                fleet.engines[name].fault = "unframed"
            settle(fleet)  # The hosts hear of each other.
            engine = self.prepare(fleet)
            fleet.thread.loop.call_soon_threadsafe(engine.server.close_connections)
            time.sleep(0.3)
            engine.server.most_connections = 1

            def die_behind_a_cut_link():
                fleet.cut("refuse", ["e1"])
                fleet.thread.call(engine.server.die())

            self.check_not_whole(fleet, self.ask_meanwhile(fleet, engine, die_behind_a_cut_link))

    def test_a_stream_is_not_whole_whose_leaving_engine_was_killed(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            engine = self.prepare(fleet)

            def leave_and_die():
                fleet.store.put("keyed.servers", "e1", engine.entry("draining", 2))
                wait_for(lambda: has_line(fleet.hosts[0], "leaving=yes"), "e1 to leave")
                fleet.thread.call(engine.server.die())

            self.check_not_whole(fleet, self.ask_meanwhile(fleet, engine, leave_and_die,
                                                           event_seconds=0.3))

    def test_a_plain_answer_is_not_whole_whose_killed_engine_listens_again(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            for path, method in (("/read/", "GET"), ("/book/", "POST")):
                with self.subTest(path):
                    for name in ("d1", "d2"):
                        fleet.engines[name].fault = "unframed"
                    # These show that the service's answers end with their connections.
                    for number in range(4):
                        answer = ask(fleet.hosts[0].caller, f"b{path}{number}", path, method)
                        self.assertEqual((answer.status, answer.is_whole), (200, True))
                    for name in ("d1", "d2"):
                        fleet.engines[name].fault = "plain-replaced"
                    answer = ask(fleet.hosts[0].caller, f"k{path}", path, method)
                    self.assertGreater(fleet.runs(f"k{path}"), 0)
                    self.check_plain(path, answer)

    def test_the_first_plain_answer_is_not_whole_whose_killed_engine_listens_again(self):
        for path, method in (("/read/", "GET"), ("/book/", "POST"), ("/stream/", "GET"),
                             ("/once/", "GET")):
            with self.subTest(path), RouteFleet(more_bounds=BUDGET) as fleet:
                for engine in fleet.engines.values():
                    engine.fault = "plain-replaced"
                answer = ask(fleet.hosts[0].caller, "k", path, method)
                self.assertGreater(fleet.runs("k"), 0)
                self.check_plain(path, answer)

    def test_streams_are_whole_where_their_engine_closes_after_some_calls_or_all(self):
        for closes in (lambda number: number == 1, lambda number: number % 3 == 0,
                       lambda number: True):
            with RouteFleet(more_bounds=BUDGET) as fleet:
                engine = self.prepare(fleet)
                engine.closes_after_report = closes
                answers = self.ask_meanwhile(fleet, engine, lambda: None, count=6,
                                             event_seconds=0.25)
                self.assertGreater(engine.reports, 1)
                self.assertEqual([(answer.is_whole, answer.body) for answer in answers],
                                 [(True, events())] * 6)

    def test_streams_are_whole_where_their_engine_answers(self):
        with RouteFleet(more_bounds=BUDGET) as fleet:
            engine = self.prepare(fleet)
            for event_seconds in (0.02, 0.25):
                answers = self.ask_meanwhile(fleet, engine, lambda: None, count=6,
                                             event_seconds=event_seconds)
                for answer in answers:
                    self.assertEqual((answer.status, answer.is_whole, answer.body),
                                     (200, True, events()))


if __name__ == "__main__":
    unittest.main()
