"""Two engines that shut down within the pause between two events do not agree on an end."""

import asyncio
import threading
import time
import unittest

from support.route_fleet import wait_for
from support.scripted_fleet import PacedFleet, ids_in, show, take


class DoubleShutdownTest(unittest.TestCase):
    def test_engines_that_shut_down_one_after_the_other_do_not_agree(self):
        """e2 shuts down 0.25 s behind e1, which is within the pause between two events."""
        with PacedFleet() as fleet:
            engines = [fleet.engines[name] for name in ("e1", "e2")]
            for engine in engines:
                engine.unframed_share, engine.events, engine.event_seconds = 1, 3, 0.02
            for number in range(6):
                take(fleet, f"teach{number}")
            for engine in engines:
                engine.events, engine.event_seconds = 12, 0.5
            wrong = []
            for number in range(3):
                name, rows = f"both{number}", []
                thread = threading.Thread(target=lambda: rows.append(take(fleet, name, rounds=1)))
                thread.start()
                wait_for(lambda: any(f"{name}-0" in one.streaming for one in engines), "a run")
                at = [one for one in engines if f"{name}-0" in one.streaming][0]
                other = [one for one in engines if one is not at][0]
                time.sleep(1.2)
                first = asyncio.run_coroutine_threadsafe(at.shut_down(0.2, 0.1), fleet.thread.loop)
                time.sleep(0.25)
                second = asyncio.run_coroutine_threadsafe(other.shut_down(0.2, 0.1),
                                                          fleet.thread.loop)
                thread.join()
                first.result()
                second.result()
                if rows[0][0] and ids_in(rows[0][1])[-1] != 12:
                    wrong.append((name, ids_in(rows[0][1])))
                show(fleet, name)
                time.sleep(1.5)
            self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()
