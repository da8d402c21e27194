"""Requests that crash upstreams while daemons, upstreams and the store fail;
what, when and how often is drawn from the seed."""
import contextlib
import random
import threading
import time

from basics import case, check, together, wait
from case_front_crashes import BAD_PART, CONTACT_S, Load, PART_CRASHES, \
    REQUEST_CRASHES, SERVED, TOLERATED, UPSTREAMS, ask_same_stream, \
    ask_with_parts, bad_parts, holds_bad_part, is_bad_request, sound_parts, \
    start
from platform_standins import Caller

FRONTS = 5
STEADY = 2          # daemons that are only frozen, so that some are in touch
SERIES = 2          # of faults, which overlap
MOVES = 6           # in each of them
CULPRITS = {
    "part": (ask_with_parts(bad_parts), holds_bad_part, PART_CRASHES),
    "request": (ask_same_stream, is_bad_request, REQUEST_CRASHES)}


def is_listening(front):
    with contextlib.suppress(OSError):
        Caller(front).close()
        return True
    return False


class Faults:
    """Each method injects a fault and ends it."""

    def __init__(self, rng, upstreams, fleet):
        self.rng, self.upstreams, self.fleet = rng, upstreams, fleet
        self.locks = [threading.Lock() for _ in range(FRONTS)]
        self.ended = threading.Barrier(SERIES + 1)
        self.judged = threading.Event()

    def replace(self, end):
        n = self.rng.randrange(STEADY, FRONTS)
        with self.locks[n]:
            end(n)
            time.sleep(self.rng.random())
            self.fleet.add(n)

    def kill(self):
        self.replace(self.fleet.kill)

    def stop(self):
        def end(n):
            front = self.fleet.fronts[n]
            self.fleet.note(front.name, time.monotonic())
            # from then on, it handles signals
            wait("it listens", lambda: is_listening(front))
            status = front.stop()
            check(status == 0, "exit status %d after SIGTERM", status)
        self.replace(end)

    def freeze(self):
        n = self.rng.randrange(FRONTS)
        with self.locks[n]:
            self.fleet.freeze(n, self.rng.uniform(0.2, 2))

    def hup(self):
        n = self.rng.randrange(STEADY)
        with self.locks[n]:
            self.fleet.fronts[n].signal(1)

    def add(self):
        self.fleet.add()

    def crash_one(self):
        self.upstreams.crash_some(self.rng, 1)

    def crash_some(self):
        self.upstreams.crash_some(self.rng, 5)

    def store_outage(self):
        self.fleet.store.error_status = self.rng.choice((429, 503))
        time.sleep(self.rng.uniform(0.2, 2))
        self.fleet.store.error_status = None

    def run_series(self):
        try:
            for _ in range(MOVES):
                time.sleep(self.rng.uniform(0.1, 0.8))
                getattr(self, self.rng.choice((
                    "kill", "stop", "freeze", "hup", "add", "crash_one",
                    "crash_some", "store_outage")))()
        except Exception:
            self.ended.abort()
            raise
        self.ended.wait()
        # the kernel kills a daemon with the thread that started it
        self.judged.wait()

    def run(self, judge):
        """Runs the series, and judge() after the last fault."""
        def run_judge():
            try:
                self.ended.wait()
                judge()
            finally:
                self.ended.abort()
                self.judged.set()
        together(run_judge, *[self.run_series] * SERIES)


def check_culprit(upstreams, fleet, holds, allowed, what):
    crashes = [at for at, req in upstreams.crashed_by if holds(req)]
    if len(crashes) < allowed:
        return
    late = [at for at, front, req in upstreams.arrivals
            if holds(req) and at > crashes[allowed - 1] + CONTACT_S
            and fleet.in_touch(front, at)]
    check(len(late) <= TOLERATED, "%s: %d later, %d crashed in all", what,
          len(late), len(crashes))


@case
def soak_front_crashes(world):
    """The repeats that a part or a request that crashes upstreams may cause
    stay within their number at daemons in touch, sound requests are served
    beside it, and no sound part is refused at the end."""
    rng = random.Random(world.seed)
    kinds = rng.choice((["part"], ["request"], ["part", "request"]))
    upstreams, fleet = start(
        world, FRONTS, lambda req: any(CULPRITS[x][1](req) for x in kinds),
        2 * UPSTREAMS)
    faults = Faults(rng, upstreams, fleet)
    loads = [Load(fleet, CULPRITS[x][0], rng.uniform(0.3, 1)) for x in kinds]
    sound = Load(fleet, ask_with_parts(sound_parts), 0.1, each=3)
    faulty_until = []

    def judge():
        faulty_until.append(time.monotonic())
        time.sleep(2 * CONTACT_S + 3)
    try:
        faults.run(judge)
    finally:
        for load in loads + [sound]:
            load.stop()
    check(upstreams.crashed_by, "no upstream crashed")
    for kind in kinds:
        check_culprit(upstreams, fleet, *CULPRITS[kind][1:], kind)
    wrong = [x for x in fleet.events("verdict") if x["kind"] == "part"
             and x["trait"] != BAD_PART.split(":")[0]]
    lifted = {x["trait"] for x in fleet.events("verdict lifted")}
    check(all(x["trait"] in lifted for x in wrong), "%s", wrong)
    served = sound.served_after(faulty_until[0] + 2 * CONTACT_S)
    check(served >= SERVED, "%.2f of the sound requests served", served)
