"""Requests that crash each engine which runs them, and come again at any host of a fleet."""

import threading
import time
import unittest

from support.route_fleet import KEY, RouteFleet, ask, desired_state, wait_for

KEY_OF_OTHER = "key-of-other"
STABLE_SECONDS = 4.0  # stable_window_ms of the platform.
MOST_RETRIES = 3  # Later than STABLE_SECONDS after the third crash.
DEADLY_BODY = b'{"visit": 7, "hoof": "left hind"}'
KNOWN_PARTS = {"Quincefall-Prompt-Prefix": "5a0001:400,5a0002:200,100001:50",
               "Quincefall-Token-Count": "650,40"}


class Sender:
    """Sends a request every `gap` seconds to the fleet's hosts in turn."""

    def __init__(self, fleet, label, gap, seconds, request_of):
        self.answers = []  # (time of sending, answer)
        self.threads = []
        self.sender = threading.Thread(target=self.send,
                                       args=(fleet, label, gap, seconds, request_of))
        self.sender.start()

    def send(self, fleet, label, gap, seconds, request_of):
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            host = fleet.hosts[number % len(fleet.hosts)]
            thread = threading.Thread(target=self.ask,
                                      args=(host, f"{label}{number}", request_of(number)))
            thread.start()
            self.threads.append(thread)
            number += 1
            time.sleep(gap)

    def ask(self, host, request, options):
        sent = time.monotonic()
        self.answers.append((sent, ask(host.caller, request, **options)))

    def join(self):
        self.sender.join()
        for thread in self.threads:
            thread.join()
        return self.answers


def post(path, body=DEADLY_BODY, **more):
    return dict({"path": path, "method": "POST", "body": body}, **more)


def crashes_of(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.crashes)


def arrivals_of(fleet):
    return sorted(at for engine in fleet.engines.values() for at in engine.deadly_arrivals)


def late_arrivals(fleet):
    crashes = crashes_of(fleet)
    if len(crashes) < 3:
        return []
    return [at for at in arrivals_of(fleet) if at > crashes[2] + STABLE_SECONDS]


def routes():
    """The routes of desired_state(), one without a key and one whose streams can't be resumed."""
    kinds = desired_state(1)["routes"]
    open_calls = dict(kinds[1], name="open", path_prefix="/open/", auth_exempt=True)
    streams = {name: value for name, value in kinds[0].items() if name != "stream_resume"}
    return kinds + [open_calls, dict(streams, name="once", path_prefix="/once/")]


def prepare(fleet, path, service, organisation="stable", body=DEADLY_BODY):
    """Makes a request deadly at eight engines of a service."""
    for number in range(6):
        fleet.add_engine(f"x{number}", service)
    tenants = [{"name": "stable", "api_keys": [KEY], "priority": 1},
               {"name": "other", "api_keys": [KEY_OF_OTHER], "priority": 1}]
    fleet.store.put("keyed.op", "config", desired_state(2, tenants=tenants, routes=routes()))
    for engine in fleet.engines.values():
        engine.deadly_requests = {(path, organisation, body)}
    wait_for(lambda: all(any("desired state in force version=2" in line for line in host.lines())
                         for host in fleet.hosts), "the second desired state to be in force")
    for host in fleet.hosts:  # Prompt parts that were answered before.
        ask(host.caller, f"known-{host.name}", "/stream/known", fields=KNOWN_PARTS)


class DeadlyRequestCase(unittest.TestCase):
    """Plays one kind of request. Engines that crash are down for a while or, with `listens_at_once`,
    are replaced at once by new processes, which the store lists, with `gets_new_id` under new ids.
    """

    listens_at_once = False
    gets_new_id = False

    def list_anew(self, fleet, engine):
        if self.gets_new_id:
            fleet.store.put("keyed.servers", engine.identity, None)
            engine.identity += "n"
        fleet.store.put("keyed.servers", engine.identity, engine.entry())

    def play(self, path, service, fields=None, organisation="stable", method="POST",
             after_event=False):
        """Sends a deadly request beside sound ones that share its path, caller or body."""
        body = DEADLY_BODY if method == "POST" else b""
        deadly = dict(post(path, body=body or None, fields=fields), method=method)
        variants = [dict(deadly, path=path + "9")]
        if organisation:
            variants.append(dict(deadly, key=KEY_OF_OTHER))
        if body:
            variants.append(dict(deadly, body=b"sound"))
        with RouteFleet(hosts=5) as fleet:
            prepare(fleet, path, service, organisation, body)
            for engine in fleet.engines.values():
                engine.deadly_after_event = after_event
                if self.listens_at_once:
                    engine.down_seconds = 0
                    engine.on_start = lambda started: self.list_anew(fleet, started)
            sender = Sender(fleet, "d", 0.24, 9, lambda number: deadly)
            sound = Sender(fleet, "s", 0.08, 9, lambda number: variants[number % len(variants)])
            sender.join()
            self.check(fleet, sound.join())
        self.assertEqual(set(fleet.codes), {0})

    def check(self, fleet, sound_answers):
        crashes = crashes_of(fleet)
        self.assertGreaterEqual(len(crashes), 2)
        self.assertLessEqual(len(late_arrivals(fleet)), MOST_RETRIES, f"{len(crashes)} crashes")
        settled = [answer for sent, answer in sound_answers
                   if sent > crashes[:3][-1] + STABLE_SECONDS]
        self.assertGreater(len(settled), 20)
        served = [answer for answer in settled if answer.status == 200 and answer.is_whole]
        self.assertGreater(len(served), 0.95 * len(settled))
