"""A fleet whose hosts can lose their links to upstreams, and callers that count what is served."""

import http.client
import threading
import time
import unittest

from support.cut_link import HostLinks, HostView
from support.route_fleet import KEY, RouteFleet, ask, wait_for

STABLE_SECONDS = 4.0  # stable_window_ms of the platform.


class StrandedFleet(RouteFleet):
    """A fleet of three hosts, of which the first `cuttable` have links that can be cut."""

    def __init__(self, cuttable=1, hosts=3, **more):
        self.links = []
        super().__init__(hosts=hosts, **more)
        for host in self.hosts[:cuttable]:
            view = HostView(self.thread.loop, self.store.topics)
            self.thread.call(view.server.listen())
            host.use_store(view.server.port)
            self.own_stores.append(view)
            self.links.append(HostLinks(self, view))

    def add_engine(self, name, service, version="v1"):
        super().add_engine(name, service, version)
        for links in self.links:
            links.add(self.engines[name])

    def cut(self, how, engines=None):
        for links in self.links:
            links.cut(how, engines)

    def heal(self):
        for links in self.links:
            links.heal()

    def close_servers(self):
        for links in self.links:
            links.close()
        super().close_servers()


CALLS = {  # Kind: method, path, body.
    "read": ("GET", "/read/1", None),
    "book": ("POST", "/book/1", b"body"),
    "stream": ("GET", "/stream/1", None),
    "once": ("GET", "/once/1", None),
    "open": ("GET", "/open/1", None),
}


class Callers:
    """Sends first tries of each kind to a host, over new connections and one that is kept."""

    def __init__(self, host, label):
        self.host = host
        self.label = label
        self.kept = http.client.HTTPConnection("127.0.0.1", host.caller, timeout=5)
        self.number = 0
        self.ends = []  # (time, kind, whether served)

    def ask_kept(self, kind):
        method, path, body = CALLS[kind]
        self.number += 1
        headers = {"Host": "rounds.example", "Quincefall-Deadline-Ms": "1500",
                   "Quincefall-Request-Id": f"{self.label}-kept{self.number}",
                   "Quincefall-Credential": KEY}
        try:
            self.kept.request(method, path, body=body, headers=headers)
            answer = self.kept.getresponse()
            answer.read()
            return answer.status == 200
        except (http.client.HTTPException, OSError):
            self.kept.close()
            return False

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for kind, (method, path, body) in CALLS.items():
                sent = time.monotonic()
                self.ends.append((sent, kind, self.ask_kept(kind)))
                sent = time.monotonic()
                self.number += 1
                answer = ask(self.host.caller, f"{self.label}-{self.number}", path, method, body,
                             deadline_ms=1500)
                self.ends.append((sent, kind, answer.status == 200 and answer.is_whole))
            time.sleep(0.05)


def run_callers(hosts, seconds):
    callers = [Callers(host, f"{host.name}-{time.monotonic():.3f}") for host in hosts]
    threads = [threading.Thread(target=one.run, args=(seconds,)) for one in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return callers


def settle(fleet):
    """Lets all hosts hear of each other and open connections to all engines."""
    run_callers(fleet.hosts, 1.0)


def has_line(host, part):
    return any(part in line for line in host.lines())


def metric(host, name):
    """The value of a metric without labels."""
    connection = http.client.HTTPConnection(host.ip, host.peer, timeout=5)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    return next(float(line.split()[1]) for line in lines if line.startswith(name + " "))


class CutTestCase(unittest.TestCase):
    """Cuts links of hosts and checks that their callers are served, and then the direct links used."""

    def check_served(self, fleet, cut_at, callers):
        """RECOVER, for each kind of request."""
        for one in callers:
            for kind in CALLS:
                ends = [served for sent, of, served in one.ends
                        if of == kind and sent >= cut_at + STABLE_SECONDS]
                self.assertGreater(len(ends), 5, (one.label, kind))
                failed = ends.count(False)
                self.assertFalse(failed > 10 + len(ends) / 50 or 3 * failed > len(ends),
                                 (one.label, kind, failed, len(ends)))

    def play_cut(self, how, cuttable=1, engines=None, before=None):
        with StrandedFleet(cuttable) as fleet:
            settle(fleet)
            if before:
                before(fleet)
            fleet.cut(how, engines)
            cut_at = time.monotonic()
            callers = run_callers(fleet.hosts[:cuttable], STABLE_SECONDS + 2)
            try:
                self.check_served(fleet, cut_at, callers)
            except AssertionError:
                for host in fleet.hosts[:cuttable]:
                    print(f"{host.name}:", *host.lines(), sep="\n")
                raise
            fleet.heal()
            self.check_direct_again(fleet.hosts[:cuttable])
        self.assertEqual(fleet.codes, [0, 0, 0])
        for request, count in self.repeated_bookings(fleet):
            self.assertLessEqual(count, 1, request)

    def check_direct_again(self, hosts):
        def are_direct():
            run_callers(hosts, 0.3)
            return all(metric(host, "quincefall_upstreams_relayed") == 0 for host in hosts)

        wait_for(are_direct, "the direct links to be used again", 5)

    @staticmethod
    def repeated_bookings(fleet):
        for engine in fleet.engines.values():
            for request, count in engine.runs.items():
                head = engine.request_heads.get(request, {})
                if head.get("target", "").startswith(("/book/", "/once/")):
                    yield request, fleet.runs(request)
