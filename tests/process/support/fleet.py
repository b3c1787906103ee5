"""Stand-ins and quincefall hosts on loopback for process tests, the demo and measurements."""

import hashlib
import json
import os
import tempfile
import uuid

from support import client
from support.processes import Process, wait_for

SECRET = "fleet-secret-for-tests-only"
OPERATOR_KEY = "operator-key-for-tests-only"
CALLER_KEY = "caller-key-for-tests-only"
CONFIG_STREAM = "config"
ORGANISATION = "daycare"
LOGGED_LINES = 300


def binary(variable):
    path = os.environ.get(variable)
    if not path:
        raise SystemExit(f"{variable} must name the program")
    return path


def key_digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Standin:
    """One stand-in process, controlled through its /admin endpoints."""

    def __init__(self, role, name, folder, flags=None):
        self.role = role
        self.name = name
        self.flags = dict(flags or {})
        command = [binary("STANDIN_BIN"), role, f"--name={name}", "--listen=127.0.0.1:0"]
        command += [f"--{flag}={value}" for flag, value in self.flags.items()]
        self.process = Process(name, command, folder)
        self.address = self.process.ready_words[2]

    def set_faults(self, **faults):
        """Replaces the active faults; without arguments it clears them."""
        answer = client.send(self.address, "POST", "/admin/faults", faults)
        assert answer.status == 200, (answer.status, answer.body, answer.error)

    def get(self, path):
        answer = client.send(self.address, "GET", path)
        assert answer.status == 200, (path, answer.status, answer.error)
        return answer.json()

    def runs(self):
        """Run counts from /admin/runs, by request id (engine) or idempotency key (service)."""
        answer = self.get("/admin/runs")
        return answer.get("requests", answer.get("runs"))


class Host:
    """One `quincefall serve` process."""

    def __init__(self, name, config_path, folder):
        self.name = name
        self.process = Process(name, [binary("QUINCEFALL_BIN"), "serve", "--config", config_path],
                               folder)
        ports = dict(word.split("=", 1) for word in self.process.ready_words[1:])
        self.caller = ports["caller"]
        self.peer = ports["peer"]
        self.operator = ports["operator"]


class Fleet:
    """The platform stand-ins and hosts of one test; all are stopped when the with block ends."""

    def __init__(self, log_flags=None, hosts_flags=None):
        self._folder = tempfile.TemporaryDirectory(prefix="quincefall-")
        self.folder = self._folder.name
        self.standins = {}
        self.hosts = {}
        self.listed_upstreams = {}
        self.leaving = set()
        self._locations = {}
        try:
            self.log = self.start_standin("log", "log", log_flags)
            self.host_list = self.start_standin("hosts", "hosts", hosts_flags)
        except BaseException:
            self.stop()
            raise

    def __enter__(self):
        return self

    def __exit__(self, failure, *_):
        if failure:
            self.print_logs()
        self.stop()

    def print_logs(self):
        """Prints the last lines that each host wrote, to explain a failed test."""
        for name, host in self.hosts.items():
            print(f"--- {name}", *host.process.stderr().splitlines()[-LOGGED_LINES:], sep="\n")

    # Starting and stopping.

    def start_standin(self, role, name, flags=None):
        standin = Standin(role, name, self.folder, flags)
        self.standins[name] = standin
        return standin

    def start_engine(self, name, region="uusimaa", failure_domain="espoo", **flags):
        engine = self.start_standin("engine", name, {"models": "m", **flags})
        self.listed_upstreams[name] = (engine, region, failure_domain)
        return engine

    def start_service(self, name, region="uusimaa", failure_domain="espoo", **flags):
        service = self.start_standin("service", name, flags)
        self.listed_upstreams[name] = (service, region, failure_domain)
        return service

    def write_settings(self, name, region, failure_domain, extra=None):
        settings = {
            "host": {"name": name, "region": region, "failure_domain": failure_domain},
            "listen": {role: "127.0.0.1:0" for role in ("caller", "peer", "operator")},
            "fleet": {"secret": SECRET, "operator_key": OPERATOR_KEY},
            "platform": {"log": self.log.address, "hosts": self.host_list.address,
                         "checkpoint_every": 20},
            "log": {"target": "stderr", "level": "info"},
            **(extra or {}),
        }
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)  # JSON is YAML
        return path

    def start_host(self, name, region="uusimaa", failure_domain="espoo", extra=None):
        """Starts a host; the others discover it after publish_hosts()."""
        path = self.write_settings(name, region, failure_domain, extra)
        host = Host(name, path, self.folder)
        self.hosts[name] = host
        self._locations[name] = (region, failure_domain)
        return host

    def start_hosts(self, count=3, extra=None):
        for number in range(1, count + 1):
            self.start_host(f"h{number}", extra=extra)
        self.publish_hosts()

    def stop_host(self, name):
        """Graceful stop; returns the exit code."""
        host = self.hosts.pop(name)
        host.process.terminate()
        return host.process.wait()

    def stop(self):
        """Stops hosts, then stand-ins. Returns the exit codes of the hosts by name."""
        codes = {}
        try:
            for host in self.hosts.values():
                host.process.resume_if_running()
                host.process.terminate()
            for name, host in self.hosts.items():
                codes[name] = host.process.wait()
        finally:
            self.hosts = {}
            for standin in self.standins.values():
                standin.process.resume_if_running()
                standin.process.terminate()
            for standin in self.standins.values():
                standin.process.wait()
            self.standins = {}
            self._folder.cleanup()
        return codes

    # Platform.

    def publish_hosts(self):
        """Replaces the platform's host list with the hosts and upstreams of this fleet."""
        entries = []
        for name, host in self.hosts.items():
            region, domain = self._locations[name]
            entries.append(self._entry(name, "entry", host.peer, region, domain))
        for name, (standin, region, domain) in self.listed_upstreams.items():
            entries.append(self._entry(name, "upstream", standin.address, region, domain))
        answer = client.send(self.host_list.address, "PUT", "/admin/hosts", {"hosts": entries})
        assert answer.status == 200, answer

    def _entry(self, name, role, address, region, failure_domain):
        state = "leaving" if name in self.leaving else "live"
        return {"name": name, "role": role, "address": address, "region": region,
                "failure_domain": failure_domain, "state": state}

    def set_leaving(self, name):
        self.leaving.add(name)
        self.publish_hosts()

    def publish(self, kind, name, spec):
        """Appends a declared resource directly to the configuration stream of the log."""
        record = {"operation": str(uuid.uuid4()), "kind": kind, "name": name, "spec": spec}
        answer = client.send(self.log.address, "POST", f"/streams/{CONFIG_STREAM}/records",
                             {"records": [json.dumps(record)]})
        assert answer.status == 200, answer

    def publish_defaults(self, slots=8, classes=None, max_wait_ms=10000):
        """Publishes service classes, one organisation, a pool of all engines that serves model m,
        and a pool of all services."""
        classes = classes or {"director": 1, "leader": 3}
        for name, tier in classes.items():
            self.publish("service_class", name, {"tier": tier, "max_wait_ms": max_wait_ms})
        names = list(classes)
        self.publish("organisation", ORGANISATION, {
            "key_sha256": [key_digest(CALLER_KEY)], "default_class": names[0], "classes": names})
        engines = self.upstream_specs("engine", slots)
        if engines:
            self.publish("pool", "roster-assistant", {"upstreams": engines})
            self.publish("model", "m", {"pool": "roster-assistant"})
        services = self.upstream_specs("service", slots)
        if services:
            self.publish("pool", "shift-desk", {"upstreams": services})
            self.publish("service", "shift-desk", {"pool": "shift-desk"})

    def upstream_specs(self, role, slots):
        return [{"name": name, "address": standin.address, "region": region,
                 "failure_domain": domain, "slots": slots}
                for name, (standin, region, domain) in self.listed_upstreams.items()
                if standin.role == role]

    # Callers.

    def headers(self, request_id=None, service_class=None, key=None):
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "Content-Type": "application/json"}
        if request_id:
            headers["X-Request-Id"] = request_id
        if service_class:
            headers["X-Service-Class"] = service_class
        if key:
            headers["Idempotency-Key"] = key
        return headers

    def stream(self, host, prompt, tokens, request_id=None, service_class=None, **options):
        """Sends a streamed chat completion to a host."""
        return client.stream_chat(self.hosts[host].caller, prompt, tokens,
                                  headers=self.headers(request_id, service_class), **options)

    def chat(self, host, prompt, tokens, request_id=None, service_class=None, **options):
        """Sends a chat completion that is not streamed to a host."""
        body = client.chat_body(prompt, tokens, stream=False)
        return client.send(self.hosts[host].caller, "POST", "/v1/chat/completions", body,
                           self.headers(request_id, service_class), **options)

    def book(self, host, key, body, service="shift-desk", path="bookings", **options):
        """Sends a non-idempotent service call, identified by its idempotency key, to a host."""
        return client.send(self.hosts[host].caller, "POST", f"/services/{service}/{path}", body,
                           self.headers(key=key), **options)

    def timeline(self, host, request=""):
        """Events of a host's time line: those of one request, or all if `request` is empty."""
        answer = client.send(self.hosts[host].operator, "GET", f"/timeline?request={request}",
                             headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
        assert answer.status == 200, answer
        return [json.loads(line) for line in answer.body.splitlines()]

    def granting_hosts(self, request_id):
        """Names of the hosts whose queue granted the request."""
        return {host for host in self.hosts
                if any(event["event"] == "request.granted"
                       for event in self.timeline(host, f"{ORGANISATION}.{request_id}"))}

    def queue_owner(self):
        """The host whose queue grants the requests of all hosts; None while a request fails or they
        use different queues."""
        owners = set()
        for host in list(self.hosts):
            request_id = f"probe-{uuid.uuid4().hex}"
            answer = self.chat(host, "ready?", 1, request_id)
            if answer.status != 200:
                return None
            owners |= self.granting_hosts(request_id)
        return owners.pop() if len(owners) == 1 else None

    def wait_ready(self, limit_s=30):
        """Waits until every host serves requests and all use the same queue; returns its owner."""
        return wait_for(self.queue_owner, limit_s, "one queue for all hosts")
