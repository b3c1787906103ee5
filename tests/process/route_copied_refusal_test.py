"""The copy of a refusal, which bears the id of the refused request, is not taken for the refusal of
the same request when that runs on the same connection."""

import collections
import itertools
import time
import unittest

from support.platform_standin import complete_stream
from support.route_fleet import RouteFleet, ask, wait_for

NOT_RUN = (408, 421, 429, 503)
ONCE = (("/book/1", "POST", b"x"), ("/once/1", "GET", None))
COPY_SECONDS = (0, 0.02)
BUDGET = ", further_attempt_ratio: 1, further_attempt_slack: 1000"
ROUNDS = 12


class CopiedRefusalTest(unittest.TestCase):
    def setUp(self):
        self.numbers = itertools.count()
        self.fleet = RouteFleet(more_bounds=BUDGET)
        self.fleet.store.put("keyed.servers", "d2", None)
        self.fleet.store.put("keyed.servers", "e2", None)
        self.engines = [self.fleet.engines["d1"], self.fleet.engines["e1"]]
        self.listed_before = collections.defaultdict(list)
        self.relisted = []  # Engines of which old entries expire before the new one is read.
        self.fleet.__enter__()
        self.addCleanup(self.stop)
        self.host = self.fleet.hosts[0]

    def stop(self):
        self.fleet.__exit__()
        self.assertEqual(self.fleet.codes, [0])

    def ask(self, name, path, method, body):
        return ask(self.host.caller, name, path, method, body)

    def serve(self, path, method, body):
        """Leaves a kept connection to the engine."""
        wait_for(lambda: self.ask(f"before-{next(self.numbers)}", path, method, body).status == 200,
                 "an engine to be used")

    def check(self, name, answer, is_repeated=False):
        runs = self.fleet.runs(name)
        self.assertLessEqual(runs, 1, f"{name} ran {runs} times")
        if runs > 0:
            self.assertNotIn(answer.status, NOT_RUN, f"{name} ran")

    def restart_under_new_ids(self, index):
        """The engines have new ids. The entries of those before have expired only in part."""
        for engine in self.engines:
            ids = self.listed_before[engine]
            ids.append(engine.identity)
            while len(ids) > (0 if engine in self.relisted else 1):
                self.fleet.store.put("keyed.servers", ids.pop(0), None)
            engine.identity = f"{engine.server.port}-{index}"
            self.fleet.store.put("keyed.servers", engine.identity, engine.entry())
        wait_for(lambda: all(any("upstream listed" in line and f"upstream={engine.identity} " in line
                                 for line in self.host.lines()) for engine in self.engines),
                 "the new ids to be listed", 5)

    def check_restarts(self):
        """Sends requests that run once while engines are listed under the ids of two starts."""
        for engine in self.engines:
            engine.refusal_copies = 1
        for round_, seconds in itertools.product(range(ROUNDS), COPY_SECONDS):
            for engine in self.engines:
                engine.copy_seconds = seconds
            self.restart_under_new_ids(f"{round_}-{seconds}")
            for path, method, body in ONCE:
                name = f"again{next(self.numbers)}"
                answer = self.ask(name, path, method, body)
                with self.subTest(name=name, path=path, seconds=seconds):
                    self.check(name, answer)

    def test_a_refusal_by_another_id_at_the_same_address(self):
        self.check_restarts()

    def test_a_refusal_by_another_id_at_the_same_address_with_a_second_engine(self):
        self.relisted = [self.fleet.engines["d2"], self.fleet.engines["e2"]]
        self.engines += self.relisted
        self.check_restarts()

    def refuse_next(self, engine, times, status):
        engine.refusal_status = status
        engine.fault, engine.faults_left = "full", times

    def test_a_caller_that_sends_a_refused_request_again_under_its_id(self):
        cases = itertools.product(ONCE, COPY_SECONDS, (503, 429), (1, 2))
        for (path, method, body), seconds, status, copies in cases:
            engine = self.engines[0 if path.startswith("/book") else 1]
            engine.refusal_copies, engine.copy_seconds = copies, seconds
            for _ in range(4):
                self.serve(path, method, body)
                name = f"repeat{next(self.numbers)}"
                self.refuse_next(engine, 1, status)
                first = self.ask(name, path, method, body)
                second = self.ask(name, path, method, body)
                with self.subTest(name=name, path=path, seconds=seconds, status=status):
                    self.assertIn(first.status, NOT_RUN)
                    self.check(name, second)

    def test_a_request_that_may_be_repeated_is_served_despite_copies(self):
        for seconds in COPY_SECONDS:
            engine = self.engines[0]
            engine.refusal_copies, engine.copy_seconds = 1, seconds
            for _ in range(4):
                self.serve("/read/1", "GET", None)
                name = f"read{next(self.numbers)}"
                self.refuse_next(engine, 1, 503)
                self.ask(name, "/read/1", "GET", None)
                with self.subTest(name=name, seconds=seconds):
                    self.assertEqual(self.ask(name, "/read/1", "GET", None).status, 200)

    def test_a_copy_does_not_fail_the_next_request_on_the_connection(self):
        for seconds in COPY_SECONDS:
            engine = self.engines[1]
            engine.refusal_copies, engine.copy_seconds = 1, seconds
            self.serve("/once/1", "GET", None)
            self.refuse_next(engine, 1, 503)
            self.ask(f"refused{next(self.numbers)}", "/once/1", "GET", None)
            answer = self.ask(f"next{next(self.numbers)}", "/once/1", "GET", None)
            self.assertEqual(answer.body, complete_stream())

    def come_back(self, engine, sequence):
        """Lists the engine, which has said that it leaves, as leaving and then as ready."""
        def listings():
            return sum("upstream listed" in line and f"upstream={engine.identity} " in line
                       for line in self.host.lines())

        before = listings()
        for state in ("draining", "ready"):
            sequence += 1
            self.fleet.store.put("keyed.servers", engine.identity, engine.entry(state, sequence))
            time.sleep(0.1)
        wait_for(lambda: listings() > before, "the engine to be back", 5)

    def test_an_engine_that_came_back_is_used_after_the_copy_of_a_refusal_that_said_it_leaves(self):
        engine = self.engines[0]
        for number, seconds in enumerate(COPY_SECONDS):
            with self.subTest(seconds=seconds):
                self.serve("/read/1", "GET", None)
                engine.is_leaving = True
                engine.refusal_copies, engine.copy_seconds = 1, seconds
                self.refuse_next(engine, 1, 503)
                self.ask(f"refused{next(self.numbers)}", "/read/1", "GET", None)
                engine.is_leaving = False
                self.come_back(engine, 2 * number + 1)
                answers = [self.ask(f"back{next(self.numbers)}", "/read/1", "GET", None)
                           for _ in range(3)]
                self.assertEqual([answer.status for answer in answers], [200] * 3)
                self.assertEqual(engine.due_copies, {})


if __name__ == "__main__":
    unittest.main()
