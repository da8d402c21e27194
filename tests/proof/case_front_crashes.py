"""Requests that crash the upstreams that run them. The environment variable
FRONTS sets the number of daemons, e.g. FRONTS=60.
"""
import os
import random
import threading
import time

from basics import case, check
from case_front import chunk, stream_bytes, stream_head
from case_front_limit import hear_each_other
from case_front_state import ENGINE
from platform_standins import Caller, Front, Replica, Store, configure, route

FRONTS = int(os.environ.get("FRONTS", "3"))
UPSTREAMS = 16
BACK_S = 2          # until a new process is in the place of one that crashed
ROW_S = 3           # until the store drops the row of one that crashed
CONTACT_S = 3       # until all daemons must know of the last crash that counts
PART_CRASHES = 5    # crashes after which a part of prompts must be known
TOLERATED = 3       # requests that may still reach upstreams after that
SERVED = 0.9        # of the requests that hold nothing bad
EVENTS = 4
EVENT_S = 0.08
FIRST_PART = "f1:100"
BAD_PART = "bad0:50"


class Upstreams:
    """Upstreams that crash when they begin to answer a bad request, and come
    back as new processes."""

    def __init__(self, store, is_bad, models=None, service="llm", slots=64,
                 count=UPSTREAMS):
        self.store, self.is_bad, self.service = store, is_bad, service
        self.models, self.slots = models, slots
        self.lock, self.crashes, self.arrivals = threading.Lock(), [], []
        self.started, self.bad_until = 0, float("inf")
        for _ in range(count):
            self.start()

    def start(self):
        with self.lock:
            self.started += 1
            name = "u-%d" % self.started
        upstream = Replica(
            self.store, name, self.service, self.slots,
            models=None if self.models is None else
            {x: set() for x in self.models})
        upstream.handlers = [
            lambda req, sock: self.serve(upstream, req, sock)]

    def serve(self, upstream, req, sock):
        now = time.monotonic()
        bad = self.is_bad(req)
        if bad:
            with self.lock:
                self.arrivals.append(now)
        time.sleep(0.02)
        sock.sendall(stream_head(req))
        if bad and now < self.bad_until:
            self.crash(upstream)
            return False
        for number in range(1, EVENTS + 1):
            sock.sendall(chunk(stream_bytes(number, number)))
            time.sleep(EVENT_S)
        sock.sendall(b"0\r\n\r\n")
        return True

    def crash(self, upstream):
        with self.lock:
            if upstream.ended:
                return
            self.crashes.append(time.monotonic())
        upstream.crash()
        threading.Timer(BACK_S, self.start).start()
        threading.Timer(ROW_S, self.store.put, (
            "servers", upstream.id, None)).start()


    def arrivals_after(self, moment):
        return len([x for x in self.arrivals if x > moment])


class Load:
    """Callers at all daemons that ask all the time, in threads."""

    def __init__(self, fronts, make_request, pause_s):
        self.lock, self.sent = threading.Lock(), []  # (time, whether served)
        self.stopped = threading.Event()
        self.threads = [threading.Thread(
            target=self.run, args=(front, make_request, pause_s, n))
            for n, front in enumerate(fronts)]
        for thread in self.threads:
            thread.start()

    def run(self, front, make_request, pause_s, n):
        rng = random.Random(n)
        caller = Caller(front)
        self.stopped.wait(rng.uniform(0, pause_s))
        while not self.stopped.is_set():
            at = time.monotonic()
            answer = make_request(caller, rng)
            if not answer[3]:
                caller.close()
                caller = Caller(front)
            with self.lock:
                self.sent.append((at, answer[0] == 200 and answer[3]))
            self.stopped.wait(pause_s)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def served_after(self, moment):
        served = [ok for at, ok in self.sent if at > moment]
        check(len(served) >= 20, "only %d requests", len(served))
        return sum(served) / len(served)


def ask_with_parts(parts):
    """parts(rng): the parts of the prompt but the last."""
    def ask(caller, rng):
        own = rng.getrandbits(48)
        return caller.ask("/llm/", b"prompt %x" % own, X_Model="m1",
                          X_Token_Count="200,10",
                          X_Prompt_Prefix="%s,%x:50" % (parts(rng), own))
    return ask


def sound_parts(rng):
    return "%s,c%x:50" % (FIRST_PART, rng.randrange(12))


def bad_parts(rng):
    return "%s,%s" % (FIRST_PART, BAD_PART)


def holds_bad_part(req):
    return BAD_PART in req.fields.get("x-prompt-prefix", "")


def start(world, fronts, is_bad, **keys):
    store = Store()
    configure(store, 1, [route("llm", "streaming", service="llm")], ("llm",),
              ENGINE)
    upstreams = Upstreams(store, is_bad, models=["m1"], **keys)
    daemons = [Front(world, store, "front-%d" % n) for n in range(fronts)]
    for daemon in daemons:
        daemon.await_ready()
    hear_each_other(daemons)
    return upstreams, daemons


def check_bad_part(upstreams, sound):
    """Judges what came after the crashes that are allowed."""
    crashes = upstreams.crashes
    check(crashes, "no upstream crashed")
    last = crashes[min(len(crashes), PART_CRASHES) - 1]
    late = upstreams.arrivals_after(last + CONTACT_S) \
        if len(crashes) >= PART_CRASHES else 0
    check(late <= TOLERATED, "%d requests with the part reached upstreams "
          "later; %d crashed in all", late, len(crashes))
    served = sound.served_after(last + 2 * CONTACT_S)
    check(served >= SERVED, "%.2f of the sound requests served", served)


@case
def crashes_by_part_of_prompts(world):
    """A part of prompts crashes each upstream that begins to answer a request
    with it. Requests with it come at all daemons, each with other parts of its
    own; sound ones have the same first part, caller and upstreams."""
    upstreams, fronts = start(world, FRONTS, holds_bad_part)
    sound = Load(fronts * 3, ask_with_parts(sound_parts), 0.1)
    time.sleep(1)
    bad = Load(fronts, ask_with_parts(bad_parts), 0.15 * FRONTS)
    time.sleep(10)
    bad.stop()
    sound.stop()
    check_bad_part(upstreams, sound)
