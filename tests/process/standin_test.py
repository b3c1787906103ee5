"""The stand-ins behave as docs/PLATFORM.md specifies, including injected faults."""

import threading

from support import client
from support.fleet import Fleet
from support.golden import check_golden
from support.processes import wait_for

PROMPT = "Who covers naps? " * 9
TOKENS = 12


def stream_prompt(engine, request_id, tokens=TOKENS, **headers):
    named = {"X-Request-Id": request_id, "X-Attempt-Id": request_id + "-1"}
    named.update({name.replace("_", "-"): value for name, value in headers.items()})
    return client.stream_chat(engine.address, PROMPT, tokens, headers=named, timeout_s=20)


def describe(stream):
    return f"{len(stream.tokens)} tokens, done {stream.is_done}, ids {sorted(stream.ids)}"


def check_engine_streams(fleet, lines):
    engine = fleet.start_engine("e1", token_delay_ms=0, first_token_delay_ms=0)
    complete = stream_prompt(engine, "complete")
    assert client.is_whole(complete, PROMPT, TOKENS), complete
    lines.append(f"complete: {describe(complete)}")
    resumed = stream_prompt(engine, "resumed", Last_Event_ID="5")
    assert resumed.text() == client.expected_text(PROMPT, TOKENS)[len(
        client.expected_text(PROMPT, 5)):]
    lines.append(f"resumed after 5: {describe(resumed)}, numbers {resumed.numbers}")
    engine.set_faults(cut_after=4)
    lines.append(f"cut_after 4: {describe(stream_prompt(engine, 'cut'))}")
    engine.set_faults(cross_frames=5)
    lines.append(f"cross_frames 5: {describe(stream_prompt(engine, 'crossed'))}")
    engine.set_faults(duplicate_frames=4)
    lines.append(f"duplicate_frames 4: numbers {stream_prompt(engine, 'twice').numbers}")
    engine.set_faults(lose_answers=1)
    lost = stream_prompt(engine, "lost")
    lines.append(f"lose_answers 1: status {lost.status}, runs {engine.runs()['lost']}")
    engine.set_faults(down=True)
    lines.append(f"down: {stream_prompt(engine, 'down').status}")
    engine.set_faults(refuse=True)
    lines.append(f"refuse: {stream_prompt(engine, 'refused').status}")
    engine.set_faults()


def check_silence_and_stall(fleet, lines):
    """A stream stalls, then its connection stops sending while a new connection works."""
    engine = fleet.start_engine("e2", token_delay_ms=0, first_token_delay_ms=0)
    engine.set_faults(stall_after=3)
    answers = {}
    caller = threading.Thread(target=lambda: answers.update(old=stream_prompt(engine, "old")))
    caller.start()
    wait_for(lambda: engine.get("/admin/runs")["generated_tokens"] == 3, what="the stall")
    engine.set_faults(silent_open=True)
    new = stream_prompt(engine, "new")
    lines.append(f"silent_open: new {describe(new)}, old answered {'old' in answers}")
    engine.set_faults()
    caller.join(20)
    lines.append(f"cleared: old {describe(answers['old'])}")


def check_queue(fleet, lines):
    """Priority order and limit of the engine's queue, and cancellation."""
    engine = fleet.start_engine("e3", slots=1, queue=2, token_delay_ms=0, first_token_delay_ms=0)
    engine.set_faults(stall_after=1)
    started = []
    threads = []

    def submit(name, priority):
        headers = {"X-Request-Id": name, "X-Priority": priority}
        threads.append(threading.Thread(target=lambda: client.stream_chat(
            engine.address, PROMPT, TOKENS, headers=headers,
            on_token=lambda number: started.append(name) if number == 1 else None)))
        threads[-1].start()
        wait_for(lambda: engine.runs().get(name), what=f"{name} in the queue")

    def cancel(name):
        body = {"request_id": name}
        return client.send(engine.address, "POST", "/cancel", body).json()

    submit("first", "2")
    submit("low", "3")
    submit("high", "1")
    full = stream_prompt(engine, "refused")
    lines.append(f"queue full: {full.status}, Retry-After {full.headers.get('Retry-After')}")
    lines.append(f"cancel of an unknown request: {cancel('none')}")
    for count, name in enumerate(("first", "high"), 1):
        wait_for(lambda: len(started) == count, what=f"{count} started")
        lines.append(f"cancel of {name}: {cancel(name)}")
    engine.set_faults()
    for thread in threads:
        thread.join(20)
    lines.append(f"started in order: {started}")
    lines.append(f"first: {engine.runs()['first']}")


def check_orders(fleet, lines):
    weights = fleet.start_standin("weights", "weights", {"transfer_ms": 1})
    engine = fleet.start_engine("e4", weights=weights.address)

    def order(fencing, operation, **fields):
        body = {"action": "load", "model": "n", "version": "2", "fencing": fencing,
                "operation": operation, **fields}
        return client.send(engine.address, "POST", "/orders", body)

    lines.append(f"load: {order(7, 'a').status}, repeated: {order(7, 'a').status}, "
                 f"old fencing: {order(6, 'b').status} {order(6, 'b').json()}")
    engine.set_faults(ignore_fencing=True)
    lines.append(f"ignore_fencing: {order(5, 'c', action='unload', model='m').status}")
    wait_for(lambda: not engine.get("/orders")["loading"], what="the load")
    lines.append(f"loaded: {engine.get('/orders')['loaded']}, {weights.get('/admin/transfers')}")


def check_log(fleet, lines):
    path = "/streams/s/records"

    def append(*records):
        return client.send(fleet.log.address, "POST", path, {"records": list(records)})

    lines.append(f"append: {append('a', 'b').json()}")
    answers = []
    reader = threading.Thread(target=lambda: answers.append(
        client.send(fleet.log.address, "GET", path + "?from=2&wait_ms=20000")))
    reader.start()
    fleet.log.set_faults(lose_answers=1)
    lines.append(f"lose_answers: {append('c').error or 'answered'}")
    reader.join(20)
    lines.append(f"long poll: {answers[0].json()}")
    fleet.log.set_faults(retention=1)
    old = client.send(fleet.log.address, "GET", path + "?from=0")
    lines.append(f"retention 1: {old.status} {old.json()}")
    limited = fleet.start_standin("log", "slow-log", {"appends_per_second": 0.001})
    statuses = [client.send(limited.address, "POST", path, {"records": ["x"]}).status
                for _ in range(3)]
    lines.append(f"append rate: {statuses}")


def check_service(fleet, lines):
    service = fleet.start_service("desk")
    for key in ("k1", "k1", "k2"):
        answer = client.send(service.address, "POST", "/bookings", {"stable": 4},
                             {"Idempotency-Key": key})
        lines.append(f"service: {answer.json()}")
    lines.append(f"service runs: {service.runs()}")


def main():
    lines = []
    with Fleet() as fleet:
        for check in (check_engine_streams, check_silence_and_stall, check_queue, check_orders,
                      check_log, check_service):
            lines.append(f"# {check.__name__}")
            check(fleet, lines)
    check_golden("standin.txt", lines)


main()
