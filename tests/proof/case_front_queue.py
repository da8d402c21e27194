"""How requests wait in bk-front for an engine that is full."""
import re
import threading
import time

from basics import case, check, request, wait
from case_front_state import ENGINE, engines
from platform_standins import Caller, configure, route, sealed


class Slot:
    """An engine with one slot, whose runs end when they are told to."""

    def __init__(self, up):
        self.begun, self.go_on = [], threading.Semaphore(0)
        up.plays = [self.play]

    def play(self, asked, connection):
        self.begun.append(asked.id)
        self.go_on.acquire()
        connection.sendall(sealed(asked))


def start(world, **keys):
    store, (up,), (front,) = engines(world, [{"m1": set()}], slots=1)
    configure(store, 2, [route("llm", "streaming", service="llm", **keys)],
              ("llm",), ENGINE)
    wait("version 2", lambda: any(
        x["version"] == 2 for x in front.events("configuration")))
    return up, front


def waiting(front):
    text = request(front.ops, "GET", "/metrics")[2].decode()
    return int(re.search(r"^bk_front_waiting (\d+)$", text, re.M).group(1))


def ask_later(front, name, answers):
    """Sends a request and does not wait for its answer."""
    def ask():
        answers[name] = Caller(front).ask(
            "/llm/", b"", X_Model="m1", X_Token_Count="10,10",
            X_Request_Id=name)
    thread = threading.Thread(target=ask)
    thread.start()
    return thread


@case
def queue_late_give_way(world):
    """Of two that wait, the one that is late already gives way to one that
    can still be answered within its objective."""
    up, front = start(world, targetLatencyMs=1500)
    slot, answers = Slot(up), {}
    threads = [ask_later(front, "running", answers)]
    wait("it runs", lambda: slot.begun)
    threads.append(ask_later(front, "late", answers))
    time.sleep(1.6)  # until its objective is missed
    threads.append(ask_later(front, "timely", answers))
    wait("it waits", lambda: waiting(front) == 2)
    slot.go_on.release()
    wait("the next one runs", lambda: len(slot.begun) > 1)
    check(slot.begun[1] == "timely", "%s ran next", slot.begun[1])
    for _ in range(2):
        slot.go_on.release()
    for thread in threads:
        thread.join()
    check({x: answers[x][0] for x in answers} ==
          {"running": 200, "late": 200, "timely": 200}, "%s", answers)


@case
def queue_refuses_behind_others(world):
    """A queue that leaves one by one is too long for those at its end: they
    are refused at once and told when to come back, not when their callers
    turn away. Those before them are served."""
    up, front = start(world, targetLatencyMs=1000)
    slot, answers, count = Slot(up), {}, 30
    threads = [ask_later(front, "r%d" % n, answers) for n in range(count)]
    wait("they wait", lambda: waiting(front) == count - 1)

    def run_on():
        while any(thread.is_alive() for thread in threads):
            slot.go_on.release()
            time.sleep(0.3)
    run_on()
    for thread in threads:
        thread.join()
    refused = [x for x in front.events("answered") if x["code"] == 503]
    served = [x for x in answers.values() if x[0] == 200]
    check(len(served) + len(refused) == count, "%s", answers)
    check(len(served) >= 4, "%d served", len(served))
    # callers wait for four objectives
    early = [x for x in refused if x["took_ms"] < 2000]
    check(2 * len(early) >= len(refused), "only %d of %d refused early, after %s",
          len(early), len(refused), sorted(x["took_ms"] for x in refused))
    check(all("retry-after" in x[1] for x in answers.values()
              if x[0] == 503), "when to come back")
