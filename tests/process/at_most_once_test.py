"""Non-idempotent calls run at most once despite killed or paused hosts, log outages and lost
responses."""

import itertools
import json
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from support.fleet import Fleet
from support.golden import check_golden
from support.processes import wait_for

RUN_DELAY_MS = 1500
SERVICE_TIMEOUT_MS = 4000


class BackgroundCall:
    """A call that runs in its own thread."""

    def __init__(self, function, *arguments, **options):
        self.answer = None
        self._thread = threading.Thread(target=self._run, args=(function, arguments, options))
        self._thread.start()

    def _run(self, function, arguments, options):
        self.answer = function(*arguments, **options)

    def join(self):
        self._thread.join()
        return self.answer


def outcome(answer):
    """The response's status, error code and run state as one line of the transcript."""
    if answer.status == 0:
        return "cut"
    body = answer.json()
    if answer.status == 200:
        return f"200 run={body['run']}"
    return f"{answer.status} code={body['code']} run={body['run']}"


class Session:
    """The fleet, the service that counts runs by idempotency key, and the transcript."""

    def __init__(self, fleet, service):
        self.fleet = fleet
        self.service = service
        self.lines = []

    def note(self, label, *answers):
        self.lines.append(f"{label}: " + ", ".join(outcome(answer) for answer in answers))

    def runs(self, key):
        return self.service.runs().get(key, 0)

    def note_runs(self, key):
        self.lines.append(f"  runs of {key}: {self.runs(key)}")

    def wait_running(self, key):
        wait_for(lambda: self.runs(key) > 0, 30, f"{key} runs")

    def wait_until_claims_work(self):
        """Waits until every host can claim a new idempotency key."""
        for number, name in enumerate(sorted(self.fleet.hosts)):
            serial = itertools.count()
            wait_for(lambda: self.fleet.book(name, f"probe-{number}-{len(self.lines)}"
                                             f"-{next(serial)}", {}).status == 200,
                     30, f"{name} claims")


def same_answer_everywhere(session):
    fleet = session.fleet
    first = fleet.book("h1", "plain", {"day": 1})
    again = [fleet.book(name, "plain", {"day": 1}) for name in ("h1", "h2", "h3")]
    session.note("first", first)
    session.note("again through each host", *again)
    session.lines.append(f"  same body: {all(one.body == first.body for one in again)}")
    session.note("same key, other request", fleet.book("h2", "plain", {"day": 2}))
    session.note_runs("plain")


def two_hosts_at_once(session):
    calls = [BackgroundCall(session.fleet.book, name, "twins", {"day": 1})
             for name in ("h1", "h2", "h3", "h1", "h2", "h3")]
    session.note("six at once over three hosts", *[call.join() for call in calls])
    session.note_runs("twins")


def lost_log_answers(session):
    session.fleet.log.set_faults(lose_answers=2, lose_path="/streams/claims")
    session.note("log loses two answers", session.fleet.book("h1", "lost-append", {}))
    session.fleet.log.set_faults()
    session.note_runs("lost-append")


def lost_service_answer(session):
    session.service.set_faults(lose_answers=1)
    first = session.fleet.book("h1", "lost-answer", {})
    session.service.set_faults()
    session.note("service's answer lost", first)
    session.note("asked again through h2", session.fleet.book("h2", "lost-answer", {}))
    session.note_runs("lost-answer")


def log_outage(session):
    fleet = session.fleet
    session.service.set_faults(run_delay_ms=RUN_DELAY_MS)
    running = BackgroundCall(fleet.book, "h1", "through-outage", {})
    session.wait_running("through-outage")
    fleet.log.set_faults(down=True)
    wait_for(lambda: fleet.book("h2", "probe-outage", {}).status == 503, 30, "log outage detected")
    refused = fleet.book("h2", "in-outage", {})
    session.note("log down, new key", refused)
    session.lines.append(f"  Retry-After: {refused.headers.get('Retry-After')}")
    session.note("log down, key that was answered", fleet.book("h3", "plain", {"day": 1}))
    session.note("call that ran when the log went down", running.join())
    session.note_runs("in-outage")
    fleet.log.set_faults()
    session.service.set_faults()
    session.wait_until_claims_work()
    session.note("log back, refused key", fleet.book("h2", "in-outage", {}))
    wait_for(lambda: fleet.book("h3", "through-outage", {}).status == 200, 30, "result recorded")
    session.note("log back, key that ran through", fleet.book("h3", "through-outage", {}))
    session.note_runs("in-outage")
    session.note_runs("through-outage")


def paused_claimer(session):
    fleet = session.fleet
    session.service.set_faults(run_delay_ms=RUN_DELAY_MS)
    paused = BackgroundCall(fleet.book, "h1", "paused", {})
    session.wait_running("paused")
    fleet.hosts["h1"].process.pause()
    wait_for(lambda: "code=801" in outcome(fleet.book("h2", "paused", {})), 60, "h1 given up")
    session.note("claimer paused, asked elsewhere", fleet.book("h3", "paused", {}))
    fleet.hosts["h1"].process.resume()
    session.service.set_faults()
    session.note_runs("paused")
    paused.join()
    session.wait_until_claims_work()
    session.note_runs("paused")


def truncated_log(session):
    """A host that starts after the log has truncated the first claims gets them from a peer."""
    fleet = session.fleet
    assert fleet.stop_host("h3") == 0
    fleet.log.set_faults(retention=4)
    session.wait_until_claims_work()
    fleet.start_host("h3")
    fleet.publish_hosts()
    session.wait_until_claims_work()
    first = fleet.log.get("/admin/streams")["streams"]["claims"]["first"]
    session.lines.append(f"  claims left the log: {first > 0}")
    session.note("key of a truncated claim, new host", fleet.book("h3", "plain", {"day": 1}))
    fleet.log.set_faults()
    session.note_runs("plain")


def killed_claimer(session):
    fleet = session.fleet
    session.service.set_faults(run_delay_ms=RUN_DELAY_MS)
    cut = BackgroundCall(fleet.book, "h1", "killed", {})
    session.wait_running("killed")
    fleet.hosts.pop("h1").process.kill()
    session.note("claimer killed during the call", cut.join())
    wait_for(lambda: "code=801" in outcome(fleet.book("h2", "killed", {})), 60, "h1 given up")
    session.note("asked elsewhere", fleet.book("h2", "killed", {}), fleet.book("h3", "killed", {}))
    session.service.set_faults()
    fleet.log.set_faults(down=True)
    wait_for(lambda: fleet.book("h2", "probe-killed", {}).status == 503, 30, "log outage detected")
    session.note("log down and a host gone, new key", fleet.book("h2", "in-doubt", {}))
    fleet.log.set_faults()
    session.wait_until_claims_work()
    session.note_runs("killed")
    session.note_runs("in-doubt")


def main():
    with Fleet() as fleet:
        fleet.start_engine("engine-1")
        service = fleet.start_service("desk-1")
        fleet.start_hosts(3)
        fleet.publish_defaults(max_wait_ms=3000)
        fleet.publish("service", "shift-desk",
                      {"pool": "shift-desk", "timeout_ms": SERVICE_TIMEOUT_MS})
        fleet.wait_ready()
        session = Session(fleet, service)
        session.wait_until_claims_work()
        for part in (same_answer_everywhere, two_hosts_at_once, lost_log_answers,
                     lost_service_answer, log_outage, paused_claimer, truncated_log,
                     killed_claimer):
            session.lines.append(f"{part.__name__}")
            part(session)
        twice = {key: count for key, count in service.runs().items() if count > 1}
        session.lines.append(f"keys run twice: {json.dumps(twice)}")
        assert not twice, twice
    check_golden("at_most_once.txt", session.lines)


main()
