"""Hosts with a store server each, which may be slow, and versions with a new route each."""

import threading
import time
import unittest

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

HOSTS = 5
APPLY_SECONDS = 1.0  # As in the hosts' settings.
SLOW = 30_000  # Bytes a second.


def add_routes(state, size):
    """Adds a route for the version and each before it, and further ones up to about `size` bytes."""
    read = state["routes"][1]

    def add(name):
        state["routes"].append(dict(read, name=name, path_prefix=f"/{name}/"))

    for number in range(2, state["version"] + 1):
        add(f"new{number}")
    left = size - len(str(state))
    for number in range(left // len(str(read)) + 1 if left > 0 else 0):
        add(f"pad{number}")
    return state


class SlowReads(unittest.TestCase):
    def setUp(self):
        self.fleet = RouteFleet(hosts=HOSTS, own_stores=HOSTS)
        self.version = 1
        self.fleet.__enter__()
        self.addCleanup(self.stop)
        for host in self.fleet.hosts:
            wait_for(lambda host=host: ask(host.caller, "before").status == 200, host.name)
        time.sleep(1)  # Until the hosts agree on who reads the store.

    def stop(self):
        self.fleet.__exit__()
        self.assertEqual(self.fleet.codes, [0] * HOSTS)

    def readers(self):
        """The stores of the three hosts that read the desired state. More do while one is late, so
        that it waits until three do."""
        stores = self.fleet.own_stores
        for _ in range(5):
            before = [store.topic_calls["keyed.op"] for store in stores]
            time.sleep(1.5)
            found = [store for store, calls in zip(stores, before)
                     if store.topic_calls["keyed.op"] > calls + 1]
            if len(found) == 3:
                return found
        raise AssertionError(f"{len(found)} hosts read the store")

    def write(self, size):
        self.version += 1
        self.fleet.store.put("keyed.op", "config", add_routes(desired_state(self.version), size))

    def seconds_until_served(self, host, path, limit=8):
        begun = time.monotonic()
        while time.monotonic() < begun + limit:
            if ask(host.caller, f"r{time.monotonic_ns()}", path).status == 200:
                break
            time.sleep(0.02)
        return time.monotonic() - begun

    def measure(self):
        """By host, how long it took until the newest version was in force."""
        results = {}

        def run(host):
            results[host.name] = self.seconds_until_served(host, f"/new{self.version}/1")

        threads = [threading.Thread(target=run, args=(host,)) for host in self.fleet.hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def check(self, what):
        for name, seconds in self.measure().items():
            with self.subTest(what=what, host=name):
                self.assertLessEqual(seconds, APPLY_SECONDS)
