"""Sound streams of engines that frame nothing for which no proof is found yet."""

import unittest

from support.scripted_fleet import ScriptedFleet, ids_in, plain_script, show, take


class SoundUnframedOpenTest(unittest.TestCase):
    def sound(self, fleet, name, ids, rounds=6, **more):
        is_whole, body, answers = take(fleet, name, rounds=rounds, **more)
        if not is_whole or ids_in(body) != list(ids):
            show(fleet, name)
        self.assertEqual(ids_in(body), list(ids))
        return is_whole, body, answers

    def check(self, ids, changes=None, **more):
        with ScriptedFleet(changes) as fleet:
            script = plain_script(ids)
            fleet.play({"e1": script, "e2": script})
            for number in range(6):
                take(fleet, f"teach{number}")
            rows = [self.sound(fleet, f"s{number}", ids, **more) for number in range(4)]
            print(list(ids)[:8], "whole", [row[0] for row in rows], "attempts",
                  [len(row[2]) for row in rows], flush=True)
            self.assertEqual([row[0] for row in rows], [True] * 4)

    def test_an_end_marker_without_id(self):
        with ScriptedFleet() as fleet:
            def script(after, left):
                return [*plain_script(range(1, 7))(after, left), (0.01, b"data: [DONE]\n\n")]
            fleet.play({"e1": script, "e2": script})
            for number in range(6):
                take(fleet, f"teach{number}")
            rows = [take(fleet, f"done{number}") for number in range(3)]
            for number, row in enumerate(rows):
                print("done", row[0], row[1].count("[DONE]"), len(row[2]), flush=True)
            show(fleet, "done0")
            self.assertEqual([row[0] for row in rows], [True] * 3)

    def test_unframed_streams_are_never_whole_for_a_minute_after_a_framed_one(self):
        with ScriptedFleet() as fleet:
            script = plain_script(range(1, 7))
            fleet.play({"e1": script, "e2": script})
            for number in range(6):
                take(fleet, f"teach{number}")
            for name in ("e1", "e2"):
                fleet.engines[name].is_framed = True
            take(fleet, "framed")
            for name in ("e1", "e2"):
                fleet.engines[name].is_framed = False
            rows = [self.sound(fleet, f"m{number}", range(1, 7)) for number in range(4)]
            print("after framed: whole", [row[0] for row in rows], "attempts",
                  [len(row[2]) for row in rows], flush=True)
            show(fleet, "m0")
            self.assertEqual([row[0] for row in rows], [True] * 4)


if __name__ == "__main__":
    unittest.main()
