"""Upstreams that name a limit of requests a second in their answers."""
import threading
import time

from basics import case, check, wait
from case_front_state import engines
from platform_standins import Caller, Front, Replica, Store, configure, \
    route, sealed

WINDOW_S = 4
CONTACT_S = 3  # from the first naming until the limit binds
OVERSHOOT, SLACK = 1.5, 5
FRONTS = 3


class LimitedUpstream:
    """Has an upstream name a limit, and records when requests come."""

    def __init__(self, upstream, limit):
        self.limit, self.arrivals, self.lock = limit, [], threading.Lock()
        self.named_at = time.monotonic()
        upstream.handlers = [self.serve]

    def serve(self, req, connection):
        with self.lock:
            self.arrivals.append(time.monotonic())
            limit = self.limit
        connection.sendall(sealed(req, fields="" if limit is None else
                                  "Server-Limit: %s\r\n" % limit))

    def check(self):
        """The most that it got in any window after the limit bound all."""
        with self.lock:
            times = [x for x in self.arrivals
                     if x >= self.named_at + CONTACT_S]
        allowed = OVERSHOOT * self.limit * WINDOW_S + SLACK
        most = max((sum(1 for x in times if start <= x < start + WINDOW_S)
                    for start in times), default=0)
        check(most <= allowed, "%d requests in %d s; allowed %d", most,
              WINDOW_S, allowed)
        check(times, "no request came: the limit is not used")


def press(fronts, duration, ask):
    """Callers at all fronts ask all the time; returns (status, fields) of
    each answer."""
    answers, end = [], time.monotonic() + duration

    def run(front):
        caller = Caller(front)
        while time.monotonic() < end:
            answers.append(ask(caller)[:2])
            time.sleep(0.02)
    threads = [threading.Thread(target=run, args=(front,))
               for front in fronts for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def hear_each_other(fronts):
    wait("the daemons hear each other", lambda: all(
        len({x["name"] for x in front.events("peer heard")}) ==
        len(fronts) - 1 for front in fronts))


@case
def limit_shared_by_daemons(world):
    """An upstream of a plain service names a limit: the requests of all
    daemons together keep to it, and the other upstream serves the rest."""
    store = Store()
    configure(store, 1, [route("safe", "safe")])
    upstreams = [Replica(store, "i-%d" % n, slots=50) for n in range(2)]
    fronts = [Front(world, store, "front-%d" % n) for n in range(FRONTS)]
    for front in fronts:
        front.await_ready()
    hear_each_other(fronts)
    limited = LimitedUpstream(upstreams[0], 1.2)
    answers = press(fronts, 12, lambda caller: caller.ask("/safe/"))
    limited.check()
    check({code for code, _ in answers} == {200}, "%s",
          {code for code, _ in answers})


@case
def limit_shared_by_daemons_at_engine(world):
    """The same for an engine, beside another one with the same model."""
    _, upstreams, fronts = engines(
        world, [{"m1": set()}, {"m1": set()}], FRONTS)
    hear_each_other(fronts)
    limited = LimitedUpstream(upstreams[0], 2)
    answers = press(fronts, 12, lambda caller: caller.ask(
        "/llm/", b"", X_Model="m1", X_Token_Count="10,1"))
    limited.check()
    check({code for code, _ in answers} == {200}, "%s",
          {code for code, _ in answers})


@case
def limit_of_last_engine(world):
    """The only engine of a model names a limit of 1.5 a second: it gets that
    many, and the rest is refused as not run with Retry-After. When it no
    longer names the limit, all is served again."""
    _, upstreams, fronts = engines(world, [{"m1": set()}], FRONTS)
    hear_each_other(fronts)
    limited = LimitedUpstream(upstreams[0], 1.5)

    def ask(caller):
        return caller.ask("/llm/", b"", X_Model="m1", X_Token_Count="10,1",
                          X_Deadline_Ms="2000")
    answers = press(fronts, 12, ask)
    limited.check()
    check({code for code, _ in answers} == {200, 503}, "%s",
          {code for code, _ in answers})
    check(all(float(fields["retry-after"]) > 0 for code, fields in answers
              if code == 503), "a refusal without Retry-After")
    with limited.lock:
        limited.limit = None
    callers = [Caller(front) for front in fronts]
    wait("the limit has ended", lambda: all(
        ask(caller)[0] == 200 for caller in callers for _ in range(5)))
