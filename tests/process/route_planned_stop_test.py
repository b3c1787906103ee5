"""Requests late in the grace of a planned stop get an answer, and none that may run at most once is
begun without the time to end. They were taken, and cut at the end of the grace."""

import threading
import time

from support.route_fleet import RouteFleet, ask, desired_state, wait_for

STOP_SECONDS = 4  # Of the fleet's settings.
CALL_SECONDS = 6


def long_calls(version):
    state = desired_state(version)
    for route in state["routes"]:
        route["timeout_ms"] = 10000
    return state


def ask_in_thread(threads, answers, host, request, path):
    def run():
        answers[request] = ask(host.caller, request, path, "POST", b"x", deadline_ms=10000,
                               timeout=15)

    threads.append(threading.Thread(target=run))
    threads[-1].start()


def main():
    fleet = RouteFleet(hosts=1)
    fleet.store.put("keyed.op", "config", long_calls(2))
    answers, threads = {}, []
    with fleet:
        host = fleet.hosts[0]
        for name in ("d1", "d2"):
            fleet.engines[name].call_seconds = CALL_SECONDS
        for path in ("book", "read"):
            ask_in_thread(threads, answers, host, f"running-{path}", f"/{path}/1")
        wait_for(lambda: all(fleet.runs(f"running-{path}") for path in ("book", "read")), "runs")
        stopped_at = time.monotonic()
        thread = threading.Thread(target=host.stop)
        thread.start()
        for number in range(8):
            time.sleep(0.25)
            for path in ("book", "read"):
                ask_in_thread(threads, answers, host, f"late-{path}-{number}", f"/{path}/1")
        for one in [thread, *threads]:
            one.join()
        took = time.monotonic() - stopped_at
        for request, answer in sorted(answers.items()):
            print(request, answer.status, answer.is_whole, "ran", fleet.runs(request))
    cut = [request for request, answer in answers.items() if not answer.is_whole]
    assert not cut, f"without an answer: {cut}"
    promised = [request for request, answer in answers.items()
                if answer.status in (408, 421, 429, 503) and fleet.runs(request)]
    assert not promised, f"answered as not run, but ran: {promised}"
    begun = [request for request in answers if request.startswith("late-book")
             and fleet.runs(request)]
    assert not begun, f"begun without the time to end: {begun}"
    for request in ("running-book", "running-read"):
        assert answers[request].status == 504, (request, answers[request].status)
    assert took < STOP_SECONDS + 0.5, took


main()
