"""A fleet of which some hosts are out of step with the others: cut off from them and from the store."""

import concurrent.futures
import re
import time
import unittest

from support.ports import free_ports
from support.route_fleet import RouteFleet, ask, begin_stream, desired_state, wait_for

POLL = 0.6  # Longer than a read of the desired state waits at the store.


class SplitFleet(RouteFleet):
    """Three hosts. The last `apart` hosts exchange no hints with the others, and the last
    `own_stores` hosts have store servers of their own."""

    def __init__(self, apart=1, own_stores=1):
        super().__init__(hosts=3, own_stores=own_stores)
        exchange = free_ports(1)[0]
        for host in self.hosts[len(self.hosts) - apart:]:
            host.exchange_port = exchange
            host.use_store(self.store_port(host))
        for engine in self.engines.values():
            engine.events, engine.event_seconds, engine.shows_version = 12, 0.05, True

    def store_port(self, host):
        own = self.hosts.index(host) - (len(self.hosts) - len(self.own_stores))
        return (self.own_stores[own] if own >= 0 else self.store).server.port

    def cut_stores(self, mode="hang"):
        for store in self.own_stores:
            store.mode = mode
        time.sleep(POLL if mode == "hang" else 0.3)

    def settle(self):
        for host in self.hosts:
            wait_for(lambda one=host: any("hosts known" in line for line in one.lines()),
                     f"{host.name} to know the others")
        time.sleep(0.5)

    def __exit__(self, *more):
        with concurrent.futures.ThreadPoolExecutor(len(self.hosts)) as pool:
            list(pool.map(lambda host: host.stop(), self.hosts))
        super().__exit__(*more)

    def join(self, names, version):
        """Adds engines of `version`; the hosts in touch list them."""
        for name in names:
            self.add_engine(name, "engines", version)
            engine = self.engines[name]
            engine.events, engine.event_seconds, engine.shows_version = 12, 0.05, True
        wait_for(lambda: all(f"upstream listed upstream={name} " in "\n".join(host.lines())
                             for name in names for host in self.hosts[:1]),
                 "the engines to be listed")

    def leave(self, names):
        for name in names:
            self.store.put("keyed.servers", name, None)

    def move_streams(self):
        state = desired_state(2)
        state["routes"][0]["service"] = "spare"
        state["services"].append({"name": "spare", "max_connections": 50})
        self.store.put("keyed.op", "config", state)
        wait_for(lambda: any("in force version=2 " in line for line in self.hosts[0].lines()),
                 "version 2 to be in force")

    def begin_at(self, host, kind, name="a"):
        """Begins a stream of `kind`; returns its connection, request and events."""
        others = [engine for engine in self.engines.values() if kind_of(engine) != kind]
        for engine in others:
            engine.fault = "full"
        connection, begun = begin_stream(host, f"{host.name}-{name}")
        for engine in others:
            engine.fault = None
        assert kinds_of(begun) == {kind}, begun
        return connection, f"{host.name}-{name}", begun


def kind_of(engine):
    return f"{engine.service}-{engine.version}" if engine.shows_version else engine.service


def kinds_of(body):
    return set(re.findall(r"-of-(\w+(?:-v\d+)?)", body))


def take_up(host, request, begun, name="b"):
    last = re.findall(r"^id: (\d+)$", begun, re.M)[-1]
    return ask(host.caller, f"{name}-{request}", f"/stream/{request}",
               fields={"Resumes": request, "Last-Event-Id": last})


class SplitTestCase(unittest.TestCase):
    def check(self, begun, rest, kind):
        self.assertEqual(kinds_of(begun), {kind})
        self.assertLessEqual(kinds_of(rest.body), {kind}, "the rest is of another kind")
        self.assertIn(rest.status, (200, 503))
