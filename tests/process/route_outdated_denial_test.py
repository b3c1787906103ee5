"""A host denies no request, with 401 or 404, by a desired state that it has to take for outdated."""

import itertools
import time
import unittest

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

APPLY_SECONDS = 1.0  # As in the hosts' settings.
DENIED = (401, 404)


class OutdatedDenialTest(unittest.TestCase):
    def start(self, **options):
        self.numbers = itertools.count()
        self.fleet = RouteFleet(**options)
        self.fleet.__enter__()
        self.addCleanup(self.stop)
        for host in self.fleet.hosts:
            wait_for(lambda host=host: self.status(host, "/read/1") == 200, host.name)

    def stop(self):
        self.fleet.__exit__()
        self.assertEqual(self.fleet.codes, [0] * len(self.fleet.hosts))

    def status(self, host, path):
        return ask(host.caller, f"r{next(self.numbers)}", path).status

    def test_a_host_that_is_told_of_a_newer_version_by_another_one(self):
        self.start(hosts=3, own_stores=3)
        for store in self.fleet.own_stores[1:]:
            store.bytes_per_second = 30_000
        time.sleep(0.5)
        state = desired_state(2)
        read = state["routes"][1]
        state["routes"] += [dict(read, name=f"new{n}", path_prefix=f"/new{n}/") for n in range(400)]
        self.fleet.store.put("keyed.op", "config", state)
        for host in self.fleet.hosts:
            wait_for(lambda host=host: self.status(host, "/new1/1") == 200, host.name)
        outdated = [line for host in self.fleet.hosts for line in host.lines()
                    if "request refused" in line and " version=1 others_version=2 " in line]
        self.assertTrue(outdated)  # Else no host was outdated and told so.
        self.assertEqual([line for line in outdated if "status=404" in line], [])

    def test_a_host_that_could_not_confirm_its_state_for_longer_than_a_change_may_take(self):
        self.start()
        host = self.fleet.hosts[0]
        self.assertEqual(self.status(host, "/nowhere/"), 404)
        self.fleet.store.mode = "hang"
        begun = time.monotonic()
        while time.monotonic() < begun + 4 * APPLY_SECONDS:
            status = self.status(host, "/nowhere/")
            if time.monotonic() - begun > 2 * APPLY_SECONDS:
                self.assertNotIn(status, DENIED)
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
