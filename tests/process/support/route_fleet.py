"""Runs `quincefall route` hosts as real processes against the platform stand-in."""

import http.client
import os
import signal
import socket
import subprocess
import tempfile
import time

from support.platform_standin import Engine, LoopThread, Store
from support.ports import free_ports

KEY = "key-of-stable"


def desired_state(version, **changes):
    """A desired state with a streaming, an idempotent and a non-idempotent route."""
    def route(name, prefix, kind, service, **more):
        fields = {"name": name, "authority": "rounds.example", "path_prefix": prefix,
                  "route_type": kind, "timeout_ms": 4000, "target_latency_ms": 1000,
                  "priority": 1, "service": service, "max_attempts": 2, "auth_exempt": False}
        return dict(fields, **more)

    state = {
        "version": version,
        "routes": [
            route("plans", "/stream/", "streaming", "engines", stream_resume=True, gap_aim_ms=500),
            route("read", "/read/", "idempotent", "desk"),
            route("book", "/book/", "non_idempotent", "desk"),
            route("once", "/once/", "streaming", "engines", gap_aim_ms=500),
            route("open", "/open/", "idempotent", "desk", auth_exempt=True),
        ],
        "services": [{"name": "engines", "max_connections": 50},
                     {"name": "desk", "max_connections": 50}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 1000,
                   "idle_timeout_ms": 5000},
        "tenants": [{"name": "stable", "api_keys": [KEY], "priority": 1}],
    }
    state.update(changes)
    return state


class Answer:
    """A response as the caller received it; status 0 if the connection ended without one."""

    def __init__(self, status, fields, body, is_whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_whole = is_whole


def ask(port, request_id, path="/read/1", method="GET", body=None, key=KEY, deadline_ms=4000,
        fields=None, timeout=10):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    headers = {"Host": "rounds.example", "Quincefall-Request-Id": request_id,
               "Quincefall-Deadline-Ms": str(deadline_ms), "Quincefall-Credential": key}
    headers.update(fields or {})
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        try:
            text = answer.read()
            return Answer(answer.status, dict(answer.getheaders()), text.decode(), True)
        except (http.client.HTTPException, OSError) as failure:
            part = getattr(failure, "partial", b"")
            return Answer(answer.status, dict(answer.getheaders()), part.decode(), False)
    except (http.client.HTTPException, OSError):
        return Answer(0, {}, "", False)
    finally:
        connection.close()


def begin_stream(host, request):
    """Reads the first two events of a stream; returns the open connection and the events."""
    connection = http.client.HTTPConnection("127.0.0.1", host.caller, timeout=10)
    connection.request("GET", f"/stream/{request}", headers={
        "Host": "rounds.example", "Quincefall-Request-Id": request,
        "Quincefall-Deadline-Ms": "4000", "Quincefall-Credential": KEY})
    answer = connection.getresponse()
    body = b""
    while body.count(b"\n\n") < 2:
        body += answer.read1(1)
    return connection, body.decode()


# Engines are declared to end answers without a length or chunks only once they are whole.
TRUST = ", trust_closed_ends: true"


class RouteHost:
    def __init__(self, name, store_port, seeds, exchange_port, ip="127.0.0.1", more_settings="",
                 more_bounds=""):
        self.name = name
        self.ip = ip
        self.caller, self.ready, self.peer = free_ports(3)
        self.log = tempfile.NamedTemporaryFile("w+", suffix=".log")
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        self.seeds = seeds
        self.more_settings = more_settings
        self.more_bounds = more_bounds
        self.exchange_port = exchange_port
        self.use_store(store_port)
        self.process = None

    def use_store(self, store_port):
        """Writes the settings, with the store at `store_port`."""
        self.settings.seek(0)
        self.settings.truncate()
        self.settings.write(f"""host: {{name: {self.name}, region: north, failure_domain: a}}
listen:
  caller: 127.0.0.1:{self.caller}
  ready: 127.0.0.1:{self.ready}
  peer: {self.ip}:{self.peer}
  exchange: {self.ip}:{self.exchange_port}
fleet:
  store: 127.0.0.1:{store_port}
  seeds: [{', '.join(f'"{seed}"' for seed in self.seeds)}]
  failure_domains: [{{name: a, region: north}}]
bounds: {{leave_ms: 1000, apply_ms: 1000, stop_s: 4{self.more_bounds}}}
{self.more_settings}""")
        self.settings.flush()

    def start(self):
        self.process = subprocess.Popen(
            [os.environ["QUINCEFALL_BIN"], "route", "--config", self.settings.name],
            stdout=self.log, stderr=subprocess.STDOUT, start_new_session=True)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (http.client.HTTPException, OSError):
            return False

    def lines(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if not self.process:
            return None
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait(5)


def wait_for(condition, what, seconds=15):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {seconds} s waiting for {what}")
        time.sleep(0.02)


class FullBacklogPort:
    """A port whose listen backlog is full: connection attempts neither succeed nor fail."""

    def __enter__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.waiting = []
        for _ in range(3):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            self.waiting.append(one)
        return self

    def open(self):
        """Lets the kernel accept connections; no data is sent on them."""
        self.listener.listen(100)

    def __exit__(self, *_):
        for one in [self.listener, *self.waiting]:
            one.close()


class RouteFleet:
    """A store, two engines, two "desk" services and hosts, each host on its own loopback address.

    The last `own_stores` hosts each use a separate store server with the same records, so that a
    test can fail the store for one host only. The engines are of `engine_type`. `link` maps a
    server's port to the port that clients connect to, for example that of a proxy. `more_settings`
    is added to the settings of each host, `more_bounds` to its bounds.
    """

    engine_type = Engine

    def __init__(self, hosts=1, own_stores=0, link=lambda port: port, thread=None,
                 more_settings="", more_bounds=""):
        self.thread = thread or LoopThread()
        self.store = Store(self.thread.loop)
        self.thread.call(self.store.server.listen())
        self.own_stores = [Store(self.thread.loop, self.store.topics) for _ in range(own_stores)]
        for store in self.own_stores:
            self.thread.call(store.server.listen())
        self.link = link
        self.engines = {}
        for name, service in (("e1", "engines"), ("e2", "engines"),
                              ("d1", "desk"), ("d2", "desk")):
            self.add_engine(name, service)
        self.store.put("keyed.op", "config", desired_state(1))
        exchange = free_ports(1)[0]
        self.hosts = []
        for index in range(hosts):
            own = index - (hosts - own_stores)
            port = link((self.own_stores[own] if own >= 0 else self.store).server.port)
            seeds = [f"{host.ip}:{host.peer}" for host in self.hosts]
            self.hosts.append(
                RouteHost(f"h{index + 1}", port, seeds, exchange, f"127.0.0.{index + 2}",
                          more_settings, more_bounds))

    def add_engine(self, name, service, version="v1"):
        engine = self.engine_type(self.thread.loop, name, service)
        engine.version = version
        self.thread.call(engine.server.listen())
        engine.listed_port = self.link(engine.server.port)
        self.engines[name] = engine
        self.store.put("keyed.servers", name, engine.entry())

    def __enter__(self):
        for host in self.hosts:
            host.start()
        try:
            for host in self.hosts:
                wait_for(host.is_ready, f"{host.name} to be ready")
        except AssertionError:
            for host in self.hosts:
                print(f"{host.name}:", *host.lines(), sep="\n")
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        codes = [host.stop() for host in self.hosts]
        self.close_servers()
        self.thread.stop()
        self.codes = codes

    def close_servers(self):
        for engine in self.engines.values():
            self.thread.call(engine.server.close())
        for store in [self.store, *self.own_stores]:
            self.thread.call(store.server.close())

    def runs(self, request_id):
        return sum(engine.runs[request_id] for engine in self.engines.values())
